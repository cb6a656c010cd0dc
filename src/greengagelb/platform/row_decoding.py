"""Decodes rows in the store's answers; any row may be malformed."""

from collections.abc import Callable
import json

import msgspec

from greengagelb import errors
from greengagelb.platform import json_members
from greengagelb.platform import rows
from greengagelb.protocol import codec


class AnswerHead(msgspec.Struct):
    """The fields of an answer other than its rows."""

    ver: int
    has_more: bool = False


def read_rows(body: bytes) -> rows.Rows:
    """Return the rows in an answer.

    A malformed row is returned with its ``mistake`` set. If the whole answer
    were rejected for it, the store would appear unavailable for as long as
    that row exists.

    Raises :class:`~greengagelb.errors.ProtocolError` if the body is not an
    answer of the store.
    """
    try:
        return codec.decode(body, rows.Rows)
    except errors.ProtocolError:
        return read_rows_individually(body)


def read_rows_individually(body: bytes) -> rows.Rows:
    """Return the rows in an answer that contains malformed rows.

    Each row, and each of its fields that is used, is decoded by itself.
    """
    body = body.decode('utf-8', 'replace').encode()
    members = json_members.split_object(body)
    listed = json_members.split_array(members.get(b'"rows"', b''))
    try:
        fields = decode_fields(members, msgspec.json.decode, AnswerHead)
        head = msgspec.convert(fields, AnswerHead)
    except (ValueError, RecursionError) as exc:
        raise errors.ProtocolError(f'not a list of rows: {exc}') from exc
    return rows.Rows(
        [read_row(text) for text in listed], head.ver, head.has_more
    )


def read_row(text: bytes) -> rows.Row:
    """Return the row in a text; its ``mistake`` is set if it is malformed."""
    try:
        members = json_members.split_object(text)
        key = read_key(members)
    except (errors.ProtocolError, ValueError):
        # All rows without a key count as the same mistake.
        return rows.Row('', mistake='row without a key')
    try:
        # The standard library's parser also accepts strings that are not
        # valid Unicode.
        fields = decode_fields(members, json.loads, rows.Row)
        return msgspec.convert(fields, rows.Row)
    except (ValueError, RecursionError) as exc:
        return rows.Row(key, mistake=str(exc))


def read_key(members: dict[bytes, bytes]) -> str:
    """Return the key of a row; raise ``ValueError`` if it has none."""
    try:
        key = json.loads(members.get(b'"key"', b''))
    except RecursionError as exc:
        raise ValueError('key is nested too deeply') from exc
    if not isinstance(key, str):
        raise ValueError('key is not a string')
    return key


def decode_fields(
    members: dict[bytes, bytes],
    decode: Callable[[bytes], object],
    kind: type[msgspec.Struct],
) -> dict[str, object]:
    """Return the decoded members that a type has as fields."""
    return {
        name: decode(members[b'"%s"' % name.encode()])
        for name in kind.__struct_fields__
        if b'"%s"' % name.encode() in members
    }
