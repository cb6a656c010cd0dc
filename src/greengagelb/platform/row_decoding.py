"""Rows out of the store's answers, of which each may be anything."""

import json
from typing import Any

import msgspec

from greengagelb import errors
from greengagelb.platform import rows
from greengagelb.protocol import codec


class UntypedRows(msgspec.Struct):
    """An answer whose rows may be of any type."""

    rows: list[Any]
    ver: int
    has_more: bool = False


class RowKey(msgspec.Struct):
    """As much of a row as names it."""

    key: str


def read_rows(body: bytes) -> rows.Rows:
    """Return the rows in an answer.

    Raises :class:`~greengagelb.errors.ProtocolError` where it is no answer of
    a store. A row that is of another type is only noted: with the answer
    refused for it, the store would seem away for as long as that row is there.
    """
    try:
        return codec.decode(body, rows.Rows)
    except errors.ProtocolError:
        return read_rows_individually(body)


def read_rows_individually(body: bytes) -> rows.Rows:
    """Return the rows in an answer of which some are not as agreed.

    Read by the parser that also accepts texts which are no Unicode; the
    other one is the faster.
    """
    try:
        document = json.loads(body.decode('utf-8', 'replace'))
        found = msgspec.convert(document, UntypedRows)
    except (ValueError, RecursionError) as exc:
        raise errors.ProtocolError(f'no rows: {exc}') from exc
    answer = rows.Rows([], found.ver, found.has_more)
    for value in found.rows:
        try:
            answer.rows.append(msgspec.convert(value, rows.Row))
        except msgspec.ValidationError as exc:
            key = key_of_row(value)
            # Those without a key are one for whoever counts mistakes.
            mistake = str(exc) if key else 'row without a key'
            answer.rows.append(rows.Row(key, mistake=mistake))
    return answer


def key_of_row(value: object) -> str:
    """Return the key of a row of any type, empty where it has none."""
    try:
        return msgspec.convert(value, RowKey).key
    except msgspec.ValidationError:
        return ''
