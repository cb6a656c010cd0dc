"""Cuts a streamed answer into whole events, byte for byte."""

from collections.abc import Callable

from greengagelb import errors
from greengagelb.state.relay import requests

END_OF_EVENT = b'\n\n'
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Keeps an unfinished event back until the rest of it is here.

    An engine may die in the middle of an event. Were its beginning passed on,
    the event of the next engine would be glued to it.
    """

    def __init__(self, read_number: Callable[[bytes], int]) -> None:
        self.read_number = read_number
        self.remainder = b''

    def add_bytes(self, data: bytes) -> tuple[requests.StreamEvent, ...]:
        """Return the events that are whole now.

        Raises :class:`~greengagelb.errors.ProtocolError` for an event
        without a number, or one that never ends.
        """
        *whole, self.remainder = (self.remainder + data).split(END_OF_EVENT)
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise errors.ProtocolError('event without an end')
        return tuple(
            requests.StreamEvent(self.read_number(raw), raw + END_OF_EVENT)
            for raw in whole
        )
