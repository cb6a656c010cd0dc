"""The near end of a connection to an engine through another instance."""

from collections.abc import Callable

import h11
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from greengagelb.coordination.relay.forwarding import events
from greengagelb.state.relay import engines
from greengagelb.transport.relay import http1
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay.forwarding import handshake


class ForwardedConnection(protocol.Protocol):
    """Asks for the connection, then carries that of a request.

    ``opened`` is called with the connection once it may carry a request, and
    ``failed`` if it is not opened, with the outcome and whether the other
    instance has lately reached engines; one of them is called, once.
    """

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        entry: engines.EngineEntry,
        via: str,
        request: str,
        opened: Callable[[http_client.ClientConnection], None],
        failed: Callable[[events.ForwardingOutcome, bool], None],
    ) -> None:
        self.entry = entry
        self.request = request
        self.opened = opened
        self.failed = failed
        self.http = h11.Connection(h11.CLIENT)
        self.connection = http_client.ClientConnection(
            pool, entry.life, via=via
        )
        self.is_open = False
        self.has_ended = False

    def connectionMade(self) -> None:  # noqa: N802
        """Ask for the connection to the engine, if it is still wanted."""
        if self.has_ended:
            self.transport.abortConnection()
            return
        http1.configure_socket(self.transport)
        order = handshake.write_order(self.entry, self.request)
        out = self.http.send(order) + self.http.send(h11.EndOfMessage())
        self.transport.write(out)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the answer to the order; then pass bytes on."""
        if self.is_open:
            self.connection.dataReceived(data)
            return
        if self.has_ended:
            return
        try:
            self.http.receive_data(data)
            answer = self.http.next_event()
        except h11.RemoteProtocolError:
            self.fail(events.ForwardingOutcome.UNWILLING)
            return
        if not isinstance(answer, h11.Response):
            return
        if answer.status_code == handshake.STATUS_OK:
            self.open()
            return
        outcome = handshake.OUTCOMES.get(
            answer.status_code, events.ForwardingOutcome.UNWILLING
        )
        fields = tuple(answer.headers.raw_items())
        verified = http1.first_header_value(
            fields, handshake.VERIFIED_HEADER.lower()
        )
        self.fail(outcome, is_verified=verified is not None)

    def open(self) -> None:
        """Hand the connection over to the request that waits for it."""
        self.is_open = True
        self.connection.makeConnection(self.transport)
        self.opened(self.connection)

    def fail(
        self, outcome: events.ForwardingOutcome, *, is_verified: bool = False
    ) -> None:
        """Report that there is no connection, and close this one."""
        if not self.has_ended:
            self.has_ended = True
            self.transport.abortConnection()
            self.failed(outcome, is_verified)

    def abandon(self) -> None:
        """Close the connection, as another one is used."""
        self.has_ended = True
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Pass on that the connection has ended.

        The other instance closes it in the same way whether the engine has
        closed its end or the instance itself has ended, so that an answer
        without a length can't be taken for complete.
        """
        if not self.is_open:
            self.fail(events.ForwardingOutcome.UNREACHABLE)
            return
        if reason.check(error.ConnectionDone):
            reason = failure.Failure(error.ConnectionLost())
        self.connection.connectionLost(reason)


class ForwardedConnectionFactory(http_client.SingleUseFactory):
    """Opens a connection to another instance for one to an engine."""

    def __init__(self, connection: ForwardedConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: object) -> ForwardedConnection:  # noqa: N802
        """Return the connection that asks for one to the engine."""
        return self.connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: failure.Failure
    ) -> None:
        """Report that the other instance can't be reached."""
        if not self.connection.has_ended:
            self.connection.has_ended = True
            outcome = events.ForwardingOutcome.UNREACHABLE
            self.connection.failed(outcome, False)
