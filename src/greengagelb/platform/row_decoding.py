"""Decodes rows in the store's answers; any row may be malformed."""

import json
from typing import Any

import msgspec

from greengagelb import errors
from greengagelb.platform import rows
from greengagelb.protocol import codec


class UntypedRows(msgspec.Struct):
    """An answer whose rows may have any type."""

    rows: list[Any]
    ver: int
    has_more: bool = False


class RowKey(msgspec.Struct):
    """The key of a row; other fields are ignored."""

    key: str


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

    Uses the standard library's parser, which is slower than msgspec's but
    also accepts strings that are not valid Unicode.
    """
    try:
        document = json.loads(body.decode('utf-8', 'replace'))
        found = msgspec.convert(document, UntypedRows)
    except (ValueError, RecursionError) as exc:
        raise errors.ProtocolError(f'not a list of rows: {exc}') from exc
    answer = rows.Rows([], found.ver, found.has_more)
    for value in found.rows:
        try:
            answer.rows.append(msgspec.convert(value, rows.Row))
        except msgspec.ValidationError as exc:
            key = key_of_row(value)
            # All rows without a key count as the same mistake.
            mistake = str(exc) if key else 'row without a key'
            answer.rows.append(rows.Row(key, mistake=mistake))
    return answer


def key_of_row(value: object) -> str:
    """Return the key of a row of any type; empty if it has none."""
    try:
        return msgspec.convert(value, RowKey).key
    except msgspec.ValidationError:
        return ''
