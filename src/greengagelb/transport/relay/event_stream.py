"""Splits a streamed answer into events, byte for byte."""

from collections.abc import Callable

from greengagelb import errors
from greengagelb.state.relay import requests

END_OF_EVENT = b'\n\n'
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Holds an incomplete event back until the rest of it arrives.

    An engine may die in the middle of an event. If the first part had been
    passed on, the next engine's event would be appended to it.
    """

    def __init__(self, read_number: Callable[[bytes], int]) -> None:
        self.read_number = read_number
        self.remainder = b''

    def add_bytes(self, data: bytes) -> tuple[requests.StreamEvent, ...]:
        """Return the events that are complete with the added bytes.

        Raises :class:`~greengagelb.errors.ProtocolError` for an event without
        a number or of more than ``MAX_EVENT_BYTES``.
        """
        *whole, self.remainder = (self.remainder + data).split(END_OF_EVENT)
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise errors.ProtocolError('event without an end')
        return tuple(
            requests.StreamEvent(self.read_number(raw), raw + END_OF_EVENT)
            for raw in whole
        )
