"""Server-sent events: writing them, and splitting a byte stream into them.

None of the libraries in use reads server-sent events on Twisted, so the few
lines that are needed stand here. Only the fields that engines use are read.
"""

import dataclasses

from greengagelb import errors

MAX_EVENT_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """An event's type and data; the type is empty if the event names none."""

    kind: str
    data: bytes


def encode_event(data: bytes, kind: str = '', event_id: str = '') -> bytes:
    """Return an event as bytes; ``data`` must hold no line break."""
    field_lines = b''
    if kind:
        field_lines += b'event: ' + kind.encode() + b'\n'
    if event_id:
        field_lines += b'id: ' + event_id.encode() + b'\n'
    return field_lines + b'data: ' + data + b'\n\n'


class EventReader:
    """Cuts a byte stream into events; keeps an unfinished one for later."""

    def __init__(self) -> None:
        self.pending_bytes = b''

    def feed(self, raw: bytes) -> list[ServerSentEvent]:
        """Return the events that ``raw`` completes.

        Raises :class:`~greengagelb.errors.ProtocolError` where an event grows
        past a bound: an upstream gone wrong must not fill the memory.
        """
        *blocks, self.pending_bytes = (self.pending_bytes + raw).split(b'\n\n')
        if len(self.pending_bytes) > MAX_EVENT_BYTES:
            raise errors.ProtocolError('event without an end')
        return [parse_event(block) for block in blocks]


def parse_event(block: bytes) -> ServerSentEvent:
    """Return the event in a block of lines."""
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
