"""Encoding and parsing of server-sent events.

None of the libraries in use parses server-sent events on Twisted. Only the
fields that engines use are parsed.
"""

import dataclasses

from greengagelb import errors

END_OF_EVENT = b'\n\n'
MAX_EVENT_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """An event's type and data; the type is empty if not specified."""

    kind: str
    data: bytes


def encode_event(data: bytes, kind: str = '', event_id: str = '') -> bytes:
    """Return an event as bytes; ``data`` must not contain line breaks."""
    field_lines = b''
    if kind:
        field_lines += b'event: ' + kind.encode() + b'\n'
    if event_id:
        field_lines += b'id: ' + event_id.encode() + b'\n'
    return field_lines + b'data: ' + data + b'\n\n'


class BlockSplitter:
    """Splits a byte stream at blank lines; holds back an incomplete block.

    Each byte is searched about once, however the stream is cut.
    """

    def __init__(self) -> None:
        self.pending_bytes = bytearray()

    def feed(self, raw: bytes) -> list[bytes]:
        """Return the blocks that ``raw`` completes.

        Raises :class:`~greengagelb.errors.ProtocolError` if an incomplete one
        exceeds ``MAX_EVENT_BYTES``, so that a faulty upstream can't exhaust
        the memory.
        """
        pending = self.pending_bytes
        blocks: list[bytes] = []
        begin, searched = 0, max(0, len(pending) - len(END_OF_EVENT) + 1)
        pending += raw
        while (end := pending.find(END_OF_EVENT, searched)) >= 0:
            blocks.append(bytes(pending[begin:end]))
            begin = searched = end + len(END_OF_EVENT)
        del pending[:begin]
        if len(pending) > MAX_EVENT_BYTES:
            raise errors.ProtocolError('event without an end')
        return blocks


class EventReader:
    """Reads events from a byte stream."""

    def __init__(self) -> None:
        self.splitter = BlockSplitter()

    def feed(self, raw: bytes) -> list[ServerSentEvent]:
        """Return the events that ``raw`` completes.

        Raises the errors of :meth:`BlockSplitter.feed`.
        """
        return [parse_event(block) for block in self.splitter.feed(raw)]


def parse_event(block: bytes) -> ServerSentEvent:
    """Return the event in the lines of a block."""
    kind = ''
    data = []
    for line in block.split(b'\n'):
        field, _, value = line.partition(b': ')
        match field:
            case b'event':
                kind = value.decode('utf-8', 'replace')
            case b'data':
                data.append(value)
    return ServerSentEvent(kind, b'\n'.join(data))
