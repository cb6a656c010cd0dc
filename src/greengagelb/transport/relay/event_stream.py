"""Splits a streamed answer into events, byte for byte."""

from collections.abc import Callable

from greengagelb.protocol import sse
from greengagelb.state.relay import requests


class EventSplitter:
    """Holds an incomplete event back until the rest of it arrives.

    An engine may die in the middle of an event. If the first part had been
    passed on, the next engine's event would be appended to it.
    """

    def __init__(self, read_number: Callable[[bytes], int]) -> None:
        self.read_number = read_number
        self.splitter = sse.BlockSplitter()

    @property
    def remainder(self) -> bytearray:
        """Return what was received of an incomplete event."""
        return self.splitter.pending_bytes

    def add_bytes(self, data: bytes) -> tuple[requests.StreamEvent, ...]:
        """Return the events that are complete with the added bytes.

        Raises :class:`~greengagelb.errors.ProtocolError` for an event without
        a number, or one that is too long.
        """
        return tuple(
            requests.StreamEvent(self.read_number(raw), raw + sse.END_OF_EVENT)
            for raw in self.splitter.feed(data)
        )
