"""Opens connections to engines for instances that can't reach them.

Bytes are passed on unread both ways, except that the head of the answer is
looked at for what the engine states about itself. Connections are opened
directly only, so that no request passes through a third instance.
"""

from collections.abc import Callable

import h11
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from greengagelb import errors
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay.forwarding import engine_paths
from greengagelb.coordination.relay.forwarding import events
from greengagelb.state.relay import engines
from greengagelb.state.relay import forwarding
from greengagelb.transport.relay import http1
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay.forwarding import handshake
from greengagelb.transport.relay.forwarding import leases

# The time for an order to arrive whole.
ORDER_SECONDS = 1.0
# Each takes two descriptors.
MAX_CONNECTIONS = 400


class AnswerHeadReader:
    """Reads the head of the one answer on a connection."""

    def __init__(self, read: Callable[[h11.Response], None]) -> None:
        self.read = read
        self.http: h11.Connection | None = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=http_client.MAX_HEADER_BYTES,
        )
        # h11 accepts an answer only after a request.
        self.http.send(
            h11.Request(method=b'GET', target=b'/', headers=[(b'Host', b'-')])
        )
        self.http.send(h11.EndOfMessage())

    def add_bytes(self, data: bytes) -> None:
        """Read on until the head is complete or is none."""
        if self.http is None:
            return
        try:
            self.http.receive_data(data)
            event = self.http.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = self.http.next_event()
        except h11.RemoteProtocolError:
            # The instance that asked reads the same bytes, and decides.
            self.http = None
            return
        if isinstance(event, h11.Response):
            self.http = None
            self.read(event)


class FarEnd(protocol.Protocol):
    """The connection to the engine."""

    def __init__(self, near: 'NearEnd') -> None:
        self.near = near
        self.reader = AnswerHeadReader(near.read_head)

    def connectionMade(self) -> None:  # noqa: N802
        """Connect both ends."""
        http1.configure_socket(self.transport)
        self.near.connect_far(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on to the other instance."""
        self.near.write(data)
        self.reader.add_bytes(data)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """End the other end in the same way, unless that has ended this."""
        if self.near.far is not self:
            return
        self.near.note_ended('the engine closed it')
        self.near.far = None
        self.near.transport.unregisterProducer()
        if reason.check(error.ConnectionDone):
            self.near.transport.loseConnection()
        else:
            self.near.transport.abortConnection()


class FarFactory(http_client.SingleUseFactory):
    """Opens the connection to the engine."""

    def __init__(self, near: 'NearEnd') -> None:
        self.near = near

    def buildProtocol(self, addr: object) -> FarEnd:  # noqa: N802
        """Return the end at the engine."""
        return FarEnd(self.near)

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: failure.Failure
    ) -> None:
        """Tell the other instance why there is no connection."""
        self.near.connector = None
        self.near.port.note_unconnected(self.near.entry)
        outcome = events.ForwardingOutcome.ENGINE_SILENT
        if reason.check(error.ConnectionRefusedError):
            outcome = events.ForwardingOutcome.ENGINE_REFUSED
        self.near.refuse(outcome)


class NearEnd(protocol.Protocol):
    """The connection of the instance that asks.

    With a lease bytes pass in ``frames``, and the connection to the engine
    ends at ``lease_ends_at``, a monotonic time, unless it is renewed. While
    the engine takes nothing more, nothing is read (``is_paused``), and the
    lease is kept. ``next_answer_at`` is when bytes are next answered by a
    renewal.
    """

    def __init__(self, port: 'ForwardingPort') -> None:
        self.port = port
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=handshake.MAX_HEAD_BYTES
        )
        self.entry: engines.EngineEntry | None = None
        self.request = ''
        self.far: FarEnd | None = None
        self.connector: interfaces.IConnector | None = None
        self.is_over = False
        self.timer: interfaces.IDelayedCall | None = None
        self.lease_ms = 0
        self.lease_ends_at = float('inf')
        self.next_answer_at = float('-inf')
        self.is_paused = False
        self.frames: leases.FrameReader | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Wait for the order."""
        http1.configure_socket(self.transport)
        self.port.connections.add(self)
        self.timer = self.port.reactor.callLater(
            ORDER_SECONDS, self.transport.abortConnection
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the order; then pass bytes on to the engine."""
        if self.far is not None:
            self.pass_on(data)
            return
        if self.entry is not None or self.is_over:
            # Nothing is due before the connection is there.
            self.transport.abortConnection()
            return
        try:
            self.http.receive_data(data)
            head = self.http.next_event()
            if isinstance(head, h11.Request):
                self.handle_order(handshake.read_order(head))
        except (h11.RemoteProtocolError, errors.ProtocolError):
            self.port.counts.refused += 1
            self.answer(handshake.STATUS_BAD_REQUEST)

    def handle_order(self, order: handshake.ConnectionOrder) -> None:
        """Connect to the engine, or refuse."""
        self.timer.cancel()
        decided = self.port.decide(order)
        if isinstance(decided, events.ForwardingOutcome):
            self.refuse(decided)
            return
        self.entry = decided
        self.request = order.request
        self.lease_ms = order.lease_ms
        self.connector = self.port.reactor.connectTCP(
            decided.address.host,
            decided.address.port,
            FarFactory(self),
            timeout=http_client.CONNECT_SECONDS,
        )

    def connect_far(self, far: FarEnd) -> None:
        """Pass bytes on from here on."""
        self.connector = None
        self.port.paths.note_connected(self.port.reactor.seconds())
        if self.is_over:
            far.transport.abortConnection()
            return
        self.far = far
        self.transport.registerProducer(far.transport, True)
        far.transport.registerProducer(self, True)
        self.port.note_taken_over(self)
        headers = handshake.lease_headers(self.lease_ms)
        head = h11.Response(status_code=handshake.STATUS_OK, headers=headers)
        self.transport.write(self.http.send(head))
        if self.lease_ms:
            self.frames = leases.FrameReader()
            self.renew_lease()
            self.check_lease()

    def pass_on(self, data: bytes) -> None:
        """Pass bytes on to the engine, and renew the lease."""
        if self.frames is None:
            self.far.transport.write(data)
            return
        self.renew_lease()
        for part in self.frames.add_bytes(data):
            if part:
                self.far.transport.write(part)
            else:
                self.answer_renewal()
        self.answer_bytes()

    def answer_renewal(self) -> None:
        """Show the other instance that it is heard."""
        now = self.port.reactor.seconds()
        self.next_answer_at = now + leases.RENEWAL_SECONDS
        self.transport.write(leases.RENEWAL)

    def answer_bytes(self) -> None:
        """Answer bytes now and then: a renewal may wait behind them."""
        if self.port.reactor.seconds() >= self.next_answer_at:
            self.answer_renewal()

    def pauseProducing(self) -> None:  # noqa: N802
        """Read nothing more while the engine takes nothing."""
        self.is_paused = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        self.is_paused = False
        if self.frames is not None:
            self.renew_lease()
        self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Read nothing more, as the engine's connection has ended."""
        self.transport.stopProducing()

    def write(self, data: bytes) -> None:
        """Pass bytes of the engine on to the other instance."""
        if self.frames is not None:
            data = leases.write_frame(data)
        self.transport.write(data)

    def renew_lease(self) -> None:
        """Hold the connection to the engine for another while."""
        self.lease_ends_at = self.port.reactor.seconds() + self.lease_ms / 1000

    def check_lease(self) -> None:
        """Close the connection to the engine once the lease has expired."""
        if self.is_paused:
            self.renew_lease()
            self.answer_bytes()
        wait = self.lease_ends_at - self.port.reactor.seconds()
        if wait > 0:
            self.timer = self.port.reactor.callLater(
                min(wait, leases.RENEWAL_SECONDS), self.check_lease
            )
            return
        self.timer = None
        self.transport.write(leases.EXPIRY)
        self.end_far('the instance is not heard')
        self.transport.loseConnection()

    def read_head(self, response: h11.Response) -> None:
        """Learn what the engine states about itself."""
        self.port.report_head(self.entry, response)

    def refuse(self, outcome: events.ForwardingOutcome) -> None:
        """Tell that there is no connection, and close."""
        self.port.counts.refused += 1
        self.answer(handshake.STATUSES[outcome])

    def answer(self, status: int) -> None:
        """Write an answer that is no connection."""
        if self.is_over:
            return
        self.is_over = True
        headers = [(b'Content-Length', b'0'), (b'Connection', b'close')]
        if self.port.seem_to_work(self.entry):
            headers.append((handshake.VERIFIED_HEADER, b'1'))
        if self.http.our_state is h11.SEND_RESPONSE or (
            self.http.our_state is h11.MIGHT_SWITCH_PROTOCOL
        ):
            head = h11.Response(status_code=status, headers=headers)
            self.transport.write(self.http.send(head))
        self.transport.loseConnection()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """End the connection to the engine, which makes it stop."""
        self.is_over = True
        self.port.remove_connection(self)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.connector is not None:
            self.connector.disconnect()
        self.end_far('the instance closed it')

    def end_far(self, reason: str) -> None:
        """End the connection to the engine, which makes it stop."""
        far, self.far = self.far, None
        if far is not None:
            self.note_ended(reason)
            far.transport.unregisterProducer()
            far.transport.abortConnection()

    def note_ended(self, reason: str) -> None:
        """Report that the connection to the engine has ended."""
        self.port.note_ended(self, reason)


class ForwardingPort(protocol.ServerFactory):
    """Takes orders for connections from other instances.

    ``is_known_host`` tells whether an instance is at an IP address; strangers
    are disconnected without an answer. ``is_stopping`` refuses new orders.
    """

    noisy = False

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        paths: engine_paths.EnginePaths,
        dispatch: Callable[[relay_events.RelayEvent], None],
        admits: Callable[[engines.EngineEntry], bool],
        is_known_host: Callable[[str], bool],
        report_head: Callable[[engines.EngineEntry, h11.Response], None],
    ) -> None:
        self.reactor = reactor
        self.paths = paths
        self.dispatch = dispatch
        self.admits = admits
        self.is_known_host = is_known_host
        self.report_head = report_head
        self.connections: set[NearEnd] = set()
        self.counts = forwarding.ForwardingStatistics()
        self.is_stopping = False

    def buildProtocol(  # noqa: N802
        self, addr: interfaces.IAddress
    ) -> NearEnd | None:
        """Return a connection's protocol, or None to disconnect it."""
        if self.is_known_host(addr.host):
            return NearEnd(self)
        self.counts.strangers += 1
        return None

    def decide(
        self, order: handshake.ConnectionOrder
    ) -> engines.EngineEntry | events.ForwardingOutcome:
        """Return the engine to connect to, or why there is none."""
        state = self.paths.engines.find_same_life(
            order.engine, order.started_at_ms
        )
        if state is None or state.entry.address != order.address:
            return events.ForwardingOutcome.UNWILLING
        is_usable = state.is_usable(self.reactor.seconds())
        if not (is_usable and self.admits(state.entry)):
            return events.ForwardingOutcome.NOT_ADMITTED
        is_full = len(self.connections) > MAX_CONNECTIONS
        if self.is_stopping or is_full or self.paths.is_lost(state.entry):
            return events.ForwardingOutcome.UNWILLING
        return state.entry

    def seem_to_work(self, entry: engines.EngineEntry | None) -> bool:
        """Return whether the links of this instance seem to work."""
        return entry is not None and self.paths.seem_to_work(
            entry, self.reactor.seconds()
        )

    def note_unconnected(self, entry: engines.EngineEntry) -> None:
        """Note that an engine could not be reached directly."""
        self.paths.note_unconnected(entry, self.reactor.seconds())

    def note_taken_over(self, connection: NearEnd) -> None:
        """Count and record a connection that was opened for another one."""
        self.counts.taken_over += 1
        host = connection.transport.getPeer().host
        self.dispatch(
            events.ConnectionTakenOver(
                connection.entry, host, connection.request
            )
        )

    def note_ended(self, connection: NearEnd, reason: str) -> None:
        """Record the end of a connection that was opened for another one."""
        host = connection.transport.getPeer().host
        self.dispatch(
            events.TakenOverConnectionEnded(
                connection.entry, host, connection.request, reason
            )
        )

    def remove_connection(self, connection: NearEnd) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(connection)

    def statistics(self) -> forwarding.ForwardingStatistics:
        """Return the counts, for the metrics."""
        self.counts.open_connections = len(self.connections)
        self.counts.lost_services = len(self.paths.lost_services)
        return self.counts

    def close_connections(self) -> None:
        """Reset all connections, as the process ends."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
