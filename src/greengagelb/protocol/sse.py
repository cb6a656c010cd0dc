"""Encoding and parsing of server-sent events.

None of the libraries in use parses server-sent events on Twisted. Only the
fields that engines use are parsed.
"""

import dataclasses

from greengagelb import errors

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


class EventReader:
    """Splits a byte stream into events and buffers an incomplete one."""

    def __init__(self) -> None:
        self.pending_bytes = b''

    def feed(self, raw: bytes) -> list[ServerSentEvent]:
        """Return the events that ``raw`` completes.

        Raises :class:`~greengagelb.errors.ProtocolError` if an event exceeds
        the size limit, so that a faulty upstream can't exhaust the memory.
        """
        *blocks, self.pending_bytes = (self.pending_bytes + raw).split(b'\n\n')
        if len(self.pending_bytes) > MAX_EVENT_BYTES:
            raise errors.ProtocolError('event exceeds the size limit')
        return [parse_event(block) for block in blocks]


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
