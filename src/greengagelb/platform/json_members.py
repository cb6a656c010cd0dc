"""Splits JSON texts into their members without decoding them.

The parsers of libraries refuse a whole document if any value in it is nested
too deeply or is too large a number.
"""

from collections.abc import Iterator
import re

from greengagelb import errors

# What shows where values end: strings, which may contain the others, brackets
# and separators.
TOKEN_PATTERN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[][{},:]', re.DOTALL)
CLOSING = {b'[': b']', b'{': b'}'}


def split_array(text: bytes) -> list[bytes]:
    """Return the texts of the elements of an array.

    Raises :class:`~greengagelb.errors.ProtocolError` if the brackets of the
    text don't match or it is no array.
    """
    text = text.strip()
    if not text.startswith(b'['):
        raise errors.ProtocolError('not an array')
    return [text[start:end] for start, end, _ in find_members(text)]


def split_object(text: bytes) -> dict[bytes, bytes]:
    """Return the texts of the members of an object, by those of their names.

    Raises :class:`~greengagelb.errors.ProtocolError` if the brackets of the
    text don't match or it is no object.
    """
    text = text.strip()
    if not text.startswith(b'{'):
        raise errors.ProtocolError('not an object')
    return {
        text[start:colon].strip(): text[colon + 1 : end]
        for start, end, colon in find_members(text)
        if colon is not None
    }


def find_members(text: bytes) -> Iterator[tuple[int, int, int | None]]:
    """Yield where the members of an array or an object begin and end.

    The third number is the position of the first colon of a member, or None.
    """
    expected: list[bytes] = []
    start = 1
    colon = None
    for found in TOKEN_PATTERN.finditer(text):
        token = found.group()
        if token in CLOSING:
            expected.append(CLOSING[token])
            continue
        is_outermost = len(expected) == 1
        if expected and token == expected[-1]:
            expected.pop()
            if expected:
                continue
            if text[start : found.start()].strip():
                yield start, found.start(), colon
            if found.end() != len(text):
                raise errors.ProtocolError('text after the end')
            return
        if token in (b']', b'}'):
            break
        if token == b':' and is_outermost and colon is None:
            colon = found.start()
        elif token == b',' and is_outermost:
            yield start, found.start(), colon
            start, colon = found.end(), None
    raise errors.ProtocolError('brackets do not match')
