"""The near end of a connection to an engine through another instance."""

from collections.abc import Callable

import h11
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from greengagelb import errors
from greengagelb.coordination import timers
from greengagelb.coordination.relay.forwarding import events
from greengagelb.state.relay import engines
from greengagelb.transport import reactors
from greengagelb.transport.relay import http1
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay.forwarding import handshake
from greengagelb.transport.relay.forwarding import leases

# A renewal is answered in this time if the path works.
ANSWER_SECONDS = 0.1


class Lease:
    """Renews the lease of an open connection, and hears the other instance.

    ``expired`` is called if nothing has come from there until ``heard_until``,
    a monotonic time. A suspended lease is renewed no more from
    ``suspended_at`` until it is resumed; only the answer to the last renewal
    is due then.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        transport: interfaces.ITCPTransport,
        expired: Callable[[], None],
    ) -> None:
        self.reactor = reactor
        self.transport = transport
        self.expired = expired
        self.is_suspended = False
        self.suspended_at = float('-inf')
        self.answer_due_at = float('-inf')
        self.heard_until = 0.0
        self.note_heard()
        self.timer: interfaces.IDelayedCall | None = None
        self.renew()

    def note_heard(self) -> None:
        """Note that the other instance was heard just now."""
        self.heard_until = self.reactor.seconds() + leases.LEASE_SECONDS

    def set_suspended(self, is_suspended: bool) -> None:
        """Stop renewing the lease after one more time, or go on with that."""
        if is_suspended == self.is_suspended or self.timer is None:
            return
        self.is_suspended = is_suspended
        self.transport.write(leases.RENEWAL)
        now = self.reactor.seconds()
        if is_suspended:
            self.suspended_at = now
            self.answer_due_at = now + ANSWER_SECONDS
        elif self.was_answered() or now < self.answer_due_at:
            self.note_heard()

    def was_answered(self) -> bool:
        """Return whether the renewal before a suspension was answered."""
        heard_at = self.heard_until - leases.LEASE_SECONDS
        return heard_at >= self.suspended_at

    def renew(self) -> None:
        """Renew the lease, unless the other instance is silent too long."""
        if self.timer is not None:
            late = reactors.lateness(self.reactor, self.timer)
            if late > timers.LATE_TIMER_SECONDS:
                self.note_heard()
        if not self.is_suspended:
            if self.reactor.seconds() >= self.heard_until:
                self.expired()
                return
            self.transport.write(leases.RENEWAL)
        self.timer = self.reactor.callLater(leases.RENEWAL_SECONDS, self.renew)

    def end(self) -> None:
        """Stop renewing the lease."""
        timer, self.timer = self.timer, None
        if timer is not None and timer.active():
            timer.cancel()


class ForwardedConnection(protocol.Protocol):
    """Asks for the connection, then carries that of a request.

    ``opened`` is called with the connection once it may carry a request, and
    ``failed`` if it is not opened, with the outcome and whether the other
    instance has lately reached engines; one of them is called, once.
    ``path_lost`` is called if the other instance is not heard any more on an
    open connection with a lease, which ``is_leased`` asks for.
    """

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        entry: engines.EngineEntry,
        via: str,
        request: str,
        opened: Callable[[http_client.ClientConnection], None],
        failed: Callable[[events.ForwardingOutcome, bool], None],
        path_lost: Callable[[], None] = lambda: None,
        *,
        is_leased: bool = False,
    ) -> None:
        self.reactor = pool.reactor
        self.path_lost = path_lost
        self.is_leased = is_leased
        self.frames: leases.FrameReader | None = None
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
        lease_ms = round(1000 * leases.LEASE_SECONDS) * self.is_leased
        order = handshake.write_order(self.entry, self.request, lease_ms)
        out = self.http.send(order) + self.http.send(h11.EndOfMessage())
        self.transport.write(out)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the answer to the order; then pass bytes on."""
        if self.is_open:
            self.pass_on(data)
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
            self.open(answer)
            return
        outcome = handshake.OUTCOMES.get(
            answer.status_code, events.ForwardingOutcome.UNWILLING
        )
        fields = tuple(answer.headers.raw_items())
        verified = http1.first_header_value(
            fields, handshake.VERIFIED_HEADER.lower()
        )
        self.fail(outcome, is_verified=verified is not None)

    def open(self, answer: h11.Response) -> None:
        """Hand the connection over to the request that waits for it."""
        try:
            has_lease = handshake.read_lease_ms(answer) > 0
        except errors.ProtocolError:
            self.fail(events.ForwardingOutcome.UNWILLING)
            return
        self.is_open = True
        if not has_lease:
            self.connection.makeConnection(self.transport)
            self.opened(self.connection)
            return
        self.frames = leases.FrameReader()
        self.connection.lease = Lease(
            self.reactor, self.transport, self.handle_expiry
        )
        framing = leases.FramingTransport(self.transport)
        self.connection.makeConnection(framing)
        self.opened(self.connection)

    def pass_on(self, data: bytes) -> None:
        """Pass bytes on to the request."""
        if self.frames is None:
            self.connection.dataReceived(data)
            return
        self.connection.lease.note_heard()
        for part in self.frames.add_bytes(data):
            if part:
                self.connection.dataReceived(part)
        if self.frames.is_expired:
            self.end_by_path('the other instance did not hear this one')

    def handle_expiry(self) -> None:
        """End the connection, as the other instance is not heard."""
        self.path_lost()
        self.end_by_path('the other instance is not heard')

    def end_by_path(self, detail: str) -> None:
        """Fail the request, as the path between the instances is lost."""
        self.connection.is_path_lost = True
        self.connection.fail_request(True, detail)

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
        if self.connection.lease is not None:
            self.connection.lease.end()
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
