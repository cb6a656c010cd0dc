"""Encoding and decoding of messages; raises protocol errors."""

import base64
import binascii
import hashlib
import hmac
from typing import Any
from typing import TypeVar
import zlib

import msgspec

from greengagelb import errors
from greengagelb.state import requests
from greengagelb.state import timeline

T = TypeVar('T')
SEAL_BYTES = 16
MAX_DOCUMENT_BYTES = 16 << 20
NO_STAMP = timeline.Stamp(0, 0)

_encoder = msgspec.json.Encoder()


def encode(message: Any) -> bytes:
    """Return a message or data class as JSON."""
    return _encoder.encode(message)


def decode(raw: bytes | str, message_type: type[T]) -> T:
    """Return the message in ``raw``, validated.

    Raises :class:`~greengagelb.errors.ProtocolError` that names the invalid
    part, also for a message that is nested too deeply to decode.
    """
    try:
        return msgspec.json.decode(raw, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.ProtocolError(str(exc)) from exc


class SealedCursor(msgspec.Struct, frozen=True, array_like=True):
    """The content of a cursor: a resume point and a time line stamp.

    The stamp is the latest one of the instance that signed the cursor. The
    caller passes it to the next instance, whose events then sort after it.
    """

    point: requests.ResumePoint
    stamp: timeline.Stamp


def compress(message: Any) -> bytes:
    """Return a message or data class as compressed JSON.

    A configuration of the design size is some 300 KB of JSON, and each
    instance receives over a thousand changes of it a day.
    """
    return zlib.compress(encode(message))


def decompress(raw: bytes, message_type: type[T]) -> T:
    """Return the message in compressed JSON, validated.

    Raises :class:`~greengagelb.errors.ProtocolError`, also for a document
    that is larger than any configuration, as a few bytes can decompress to
    more than fits into memory.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(raw, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise errors.ProtocolError('message is not compressed') from exc
    if decompressor.unconsumed_tail:
        raise errors.ProtocolError('message is too large')
    return decode(document, message_type)


def compress_to_text(message: Any) -> str:
    """Return a message as text for a row of a platform table."""
    return base64.b64encode(compress(message)).decode()


def decompress_from_text(text: str, message_type: type[T]) -> T:
    """Return the validated message in the text of a row."""
    try:
        raw = base64.b64decode(text, validate=True)
    except ValueError as exc:
        raise errors.ProtocolError('row is not base64') from exc
    return decompress(raw, message_type)


class CursorSeal:
    """Encodes resume points as signed event ids and verifies them.

    Callers return these ids and could otherwise refer to another account's
    request or claim tokens that were never generated. All instances share
    ``secret``, so any of them can verify any cursor, and no instance has to
    keep state about the streams of another one.
    """

    def __init__(self, secret: bytes) -> None:
        self.secret = secret

    def seal_point(
        self,
        point: requests.ResumePoint,
        stamp: timeline.Stamp = NO_STAMP,
    ) -> str:
        """Return the signed cursor of a resume point as URL-safe text."""
        payload = msgspec.msgpack.encode(SealedCursor(point, stamp))
        return base64.urlsafe_b64encode(
            self.compute_tag(payload) + payload
        ).decode()

    def open_point(self, cursor: str) -> requests.ResumePoint:
        """Return the resume point of a cursor that this fleet signed."""
        return self.open_cursor(cursor).point

    def open_cursor(self, cursor: str) -> SealedCursor:
        """Return the whole content of a cursor that this fleet signed.

        Raises :class:`~greengagelb.errors.BadCursor`.
        """
        try:
            raw = base64.urlsafe_b64decode(cursor.encode())
        except (binascii.Error, ValueError) as exc:
            raise errors.BadCursor('cursor was not sealed here') from exc
        tag, payload = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
        if not hmac.compare_digest(tag, self.compute_tag(payload)):
            raise errors.BadCursor('cursor was not sealed here')
        try:
            return msgspec.msgpack.decode(payload, type=SealedCursor)
        except msgspec.DecodeError as exc:
            raise errors.BadCursor('cursor format of another release') from exc

    def compute_tag(self, payload: bytes) -> bytes:
        """Return the keyed digest of a payload; 16 bytes."""
        digest = hmac.digest(self.secret, payload, hashlib.sha256)
        return digest[:SEAL_BYTES]
