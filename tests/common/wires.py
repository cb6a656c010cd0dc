"""HTTP clients over connections that exist in memory only."""

import dataclasses

from twisted.internet import error
from twisted.internet import reactor
from twisted.internet import testing
from twisted.python import failure

CLOSED = failure.Failure(error.ConnectionDone())
ADDRESS = '10.0.0.1'
PORT = 8001


@dataclasses.dataclass
class Wire:
    """The far end of one connection that a client has opened."""

    protocol: object
    transport: testing.StringTransport

    @property
    def sent(self) -> bytes:
        """Return what the client has sent so far."""
        return self.transport.value()

    @property
    def closed(self) -> bool:
        """Return whether the client has closed the connection."""
        transport = self.transport
        return transport.disconnecting or transport.disconnected

    def answer(
        self, body: bytes, *headers: str, status: str = '200 OK', length=None
    ) -> None:
        """Send an answer, with a false length where one is given."""
        announced = len(body) if length is None else length
        lines = [
            f'HTTP/1.1 {status}',
            f'Content-Length: {announced}',
            *headers,
        ]
        head = '\r\n'.join([*lines, '', ''])
        self.protocol.dataReceived(head.encode() + body)

    def break_off(self) -> None:
        """Close the connection from the far end."""
        self.protocol.connectionLost(CLOSED)


class Network:
    """Accepts each connection that a client opens."""

    def __init__(self) -> None:
        self.reactor = testing.MemoryReactorClock()

    @property
    def connections(self) -> int:
        """Return how many connections were ever asked for."""
        return len(self.reactor.tcpClients)

    def accept(self, number: int = -1) -> Wire:
        """Let a connection that was asked for come about."""
        factory = self.reactor.tcpClients[number][2]
        protocol = factory.buildProtocol(None)
        transport = testing.StringTransport()
        transport.protocol = protocol
        protocol.makeConnection(transport)
        send_bodies()
        return Wire(protocol, transport)

    def refuse(self, number: int = -1) -> None:
        """Let a connection that was asked for fail."""
        factory = self.reactor.tcpClients[number][2]
        factory.clientConnectionFailed(
            None, failure.Failure(error.ConnectionRefusedError())
        )
        self.reactor.advance(5.0)


def send_bodies() -> None:
    """Let request bodies go out; twisted.web sends them a step at a time.

    It takes these steps on the global reactor, which nobody runs here.
    """
    for _ in range(5):
        reactor.runUntilCurrent()
