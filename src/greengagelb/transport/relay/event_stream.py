"""Cuts a streamed answer into whole events, byte for byte."""

from collections.abc import Callable

from greengagelb import errors
from greengagelb.state.relay import requests

END_OF_EVENT = b'\n\n'
MOST_EVENT_BYTES = 1 << 20


class EventCutter:
    """Keeps an unfinished event back until the rest of it is here.

    An engine may die in the middle of an event. Were its beginning passed on,
    the event of the next engine would be glued to it.
    """

    def __init__(self, number_of: Callable[[bytes], int]) -> None:
        self.number_of = number_of
        self.rest = b''

    def feed(self, data: bytes) -> tuple[requests.StreamEvent, ...]:
        """Return the events that are whole now.

        Raises :class:`~greengagelb.errors.ProtocolError` for an event
        without a number, or one that never ends.
        """
        *whole, self.rest = (self.rest + data).split(END_OF_EVENT)
        if len(self.rest) > MOST_EVENT_BYTES:
            raise errors.ProtocolError('event without an end')
        return tuple(
            requests.StreamEvent(self.number_of(raw), raw + END_OF_EVENT)
            for raw in whole
        )
