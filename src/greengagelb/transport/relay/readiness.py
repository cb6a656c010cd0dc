"""Answers the balancer's question whether callers may be sent here."""

from collections.abc import Callable

import h11
from twisted.internet import protocol

READY = 200
NOT_READY = 503


class ReadinessConnection(protocol.Protocol):
    """One connection of the balancer; any path is the same question."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready = ready
        self.http = h11.Connection(h11.SERVER)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer each request that is whole."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.EndOfMessage):
                    self.answer()
                if isinstance(event, h11.ConnectionClosed):
                    return
        except h11.ProtocolError:
            self.transport.abortConnection()

    def answer(self) -> None:
        """Say whether this instance takes callers."""
        status = READY if self.ready() else NOT_READY
        head = h11.Response(
            status_code=status, headers=[(b'Content-Length', b'0')]
        )
        out = self.http.send(head)
        self.transport.write(out + self.http.send(h11.EndOfMessage()))
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.transport.loseConnection()


class ReadinessFactory(protocol.ServerFactory):
    """Serves the question on one port."""

    noisy = False

    def __init__(self, ready: Callable[[], bool]) -> None:
        self.ready = ready

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> ReadinessConnection:
        """Return the protocol of a new connection."""
        return ReadinessConnection(self.ready)
