"""Opens a connection to an engine, directly or through other instances.

The direct attempt comes first unless its path is known to be lost. If it fails
or takes long, other instances are asked to connect, and the first connection
that opens carries the request. Nothing of a request is written before that, so
no attempt can make it run twice.
"""

from collections.abc import Callable

from twisted.internet import error
from twisted.internet import interfaces
from twisted.python import failure

from greengagelb.coordination import timers
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay.forwarding import engine_paths
from greengagelb.coordination.relay.forwarding import events
from greengagelb.state import identity
from greengagelb.state.relay import engines
from greengagelb.transport import reactors
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay.forwarding import forwarded_connection

# Connections open within a round trip, 40 ms between regions. An attempt that
# takes longer goes on beside the next one.
NEXT_ATTEMPT_SECONDS = 0.06
# The most instances that are asked for one connection.
MAX_FORWARDERS = 8
# An engine that refuses an instance whose links work is at fault. While those
# of this one don't seem to work, more evidence is needed, as others may have
# lost theirs at the same time.
VERDICTS_NEEDED = 1
VERDICTS_NEEDED_IN_DOUBT = 3


class ConnectionOpener:
    """Opens the connections of this instance to engines.

    ``host_of`` returns the host of another instance, or None if it is not
    known, and ``port`` is where instances take orders for connections.
    """

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        paths: engine_paths.EnginePaths,
        dispatch: Callable[[relay_events.RelayEvent], None],
        host_of: Callable[[str], str | None],
        own_host: str,
        port: int,
    ) -> None:
        self.pool = pool
        self.paths = paths
        self.dispatch = dispatch
        self.host_of = host_of
        self.own_host = own_host
        self.port = port

    def open_for(
        self,
        entry: engines.EngineEntry,
        request: identity.RequestId | None,
        pending: http_client.PendingRequest,
        *,
        is_leased: bool = False,
        via: str = '',
    ) -> None:
        """Open a connection for a request that waits for one.

        ``is_leased`` and ``via`` are as in :class:`ConnectionRace`.
        """
        race = ConnectionRace(
            self, entry, request, pending, is_leased=is_leased, via=via
        )
        pending.connector = race
        race.start()


class ConnectionRace:
    """The attempts to open one connection.

    ``asked`` are the instances that were asked to connect. ``refusals`` is how
    many of them the engine has refused, and ``verdicts`` how many of these
    have links that work. ``won_by`` is the one whose connection is used, empty
    for the direct one, and ``direct_failure`` what became of the direct
    attempt. ``is_leased`` tells that another instance is to close the
    connection soon if it does not hear of this one. ``via`` is the instance to
    ask first, if any.
    """

    def __init__(
        self,
        opener: ConnectionOpener,
        entry: engines.EngineEntry,
        request: identity.RequestId | None,
        pending: http_client.PendingRequest,
        *,
        is_leased: bool = False,
        via: str = '',
    ) -> None:
        self.is_leased = is_leased
        self.via = via
        self.opener = opener
        self.pool = opener.pool
        self.paths = opener.paths
        self.entry = entry
        self.request = request
        self.pending = pending
        self.connector: interfaces.IConnector | None = None
        self.direct_failure: failure.Failure | None = None
        self.asked: set[str] = set()
        self.open_attempts: dict[
            str, forwarded_connection.ForwardedConnection
        ] = {}
        self.verdicts = 0
        self.refusals = 0
        now = opener.pool.reactor.seconds()
        self.verdicts_needed = (
            VERDICTS_NEEDED
            if self.paths.seem_to_work(entry, now)
            else VERDICTS_NEEDED_IN_DOUBT
        )
        self.won_by: str | None = None
        self.is_over = False
        self.is_extended = False
        self.next_timer: interfaces.IDelayedCall | None = None
        self.end_timer: interfaces.IDelayedCall | None = None

    def start(self) -> None:
        """Make the first attempt, through ``via`` if its host is known."""
        self.end_timer = self.pool.reactor.callLater(
            http_client.CONNECT_SECONDS, self.handle_end_timer
        )
        if not (self.via and self.ask_instance(self.via)):
            self.make_first_attempt()
        self.schedule_next_attempt()

    def make_first_attempt(self) -> None:
        """Connect directly, or ask an instance if that path is lost."""
        if not self.paths.is_lost(self.entry):
            self.connect_directly()
            return
        now = self.pool.reactor.seconds()
        if self.paths.claim_probe(self.entry, now):
            self.connect_directly()
        if not self.ask_next_instance() and self.connector is None:
            # No instance is known to reach the engine.
            self.fail()

    def handle_end_timer(self) -> None:
        """Fail, unless this process stood still; wait then once more."""
        reactor = self.pool.reactor
        late = reactors.lateness(reactor, self.end_timer)
        if late > timers.LATE_TIMER_SECONDS and not self.is_extended:
            self.is_extended = True
            self.end_timer = reactor.callLater(
                min(late, reactors.MAX_EXTENSION_SECONDS),
                self.handle_end_timer,
            )
            return
        self.fail()

    def schedule_next_attempt(self) -> None:
        """Ask an instance, or another one, if nothing opens in time."""
        if not self.is_over:
            self.next_timer = self.pool.reactor.callLater(
                NEXT_ATTEMPT_SECONDS, self.make_next_attempt
            )

    def make_next_attempt(self) -> None:
        """Ask the next instance while the other attempts go on."""
        self.next_timer = None
        self.ask_next_instance()
        if len(self.asked) < MAX_FORWARDERS:
            self.schedule_next_attempt()

    def connect_directly(self) -> None:
        """Start the direct attempt."""
        self.pool.connections_opened += 1
        self.connector = self.pool.reactor.connectTCP(
            self.entry.address.host,
            self.entry.address.port,
            http_client.ConnectionFactory(
                self.pool,
                self.entry.life,
                self.note_direct_opened,
                self.note_direct_failed,
            ),
            timeout=http_client.CONNECT_SECONDS,
        )

    def ask_next_instance(self) -> bool:
        """Ask one more instance to connect; return whether there was one."""
        if self.is_over or len(self.asked) >= MAX_FORWARDERS:
            return False
        now = self.pool.reactor.seconds()
        via = self.paths.choose_forwarder(self.entry, self.asked, now)
        return via is not None and self.ask_instance(via)

    def ask_instance(self, via: str) -> bool:
        """Ask an instance to connect; return whether its host is known."""
        host = self.opener.host_of(via)
        if host is None:
            return False
        self.asked.add(via)
        attempt = forwarded_connection.ForwardedConnection(
            self.pool,
            self.entry,
            via,
            self.request.request if self.request is not None else '',
            lambda connection: self.note_forwarded(via, connection),
            lambda outcome, is_verified: self.note_not_forwarded(
                via, outcome, is_verified
            ),
            lambda: self.note_path_lost(via),
            is_leased=self.is_leased,
        )
        self.open_attempts[via] = attempt
        self.pool.reactor.connectTCP(
            host,
            self.opener.port,
            forwarded_connection.ForwardedConnectionFactory(attempt),
            timeout=http_client.CONNECT_SECONDS,
            bindAddress=(self.opener.own_host, 0),
        )
        return True

    def note_direct_opened(
        self, connection: http_client.ClientConnection
    ) -> None:
        """Use a direct connection, unless another one is in use."""
        self.connector = None
        self.paths.note_connected(self.pool.reactor.seconds())
        if self.paths.is_lost(self.entry):
            self.opener.dispatch(events.DirectPathOpened(self.entry))
        if self.is_over:
            connection.reset_connection()
            return
        self.win('')
        self.pool.handle_connected(connection, self.pending)

    def note_direct_failed(self, reason: failure.Failure) -> None:
        """Ask other instances, unless the engine is known to be down."""
        self.connector = None
        self.direct_failure = reason
        self.paths.note_unconnected(self.entry, self.pool.reactor.seconds())
        if self.won_by:
            self.report_lost_path(self.won_by)
            return
        if self.is_over:
            return
        now = self.pool.reactor.seconds()
        is_verified = self.paths.verifies_refusal(self.entry, now)
        if not self.open_attempts and not (
            is_verified and self.ask_next_instance()
        ):
            self.fail()

    def note_forwarded(
        self, via: str, connection: http_client.ClientConnection
    ) -> None:
        """Use a connection through another instance."""
        del self.open_attempts[via]
        if self.is_over:
            connection.reset_connection()
            return
        self.win(via)
        if self.direct_failure is not None:
            self.report_lost_path(via)
        self.opener.dispatch(
            events.ConnectionForwarded(
                self.entry, via, self.request, self.describe_direct()
            )
        )
        self.pool.handle_connected(connection, self.pending)

    def note_not_forwarded(
        self,
        via: str,
        outcome: events.ForwardingOutcome,
        is_verified: bool,
    ) -> None:
        """Ask another instance, or give up."""
        del self.open_attempts[via]
        if self.is_over:
            return
        self.opener.dispatch(
            events.ForwardingFailed(self.entry, via, outcome, is_verified)
        )
        is_refused = outcome is events.ForwardingOutcome.ENGINE_REFUSED
        if is_refused and is_verified:
            self.verdicts += 1
        self.refusals += is_refused
        is_decided = (
            self.verdicts >= self.verdicts_needed
            or outcome is events.ForwardingOutcome.NOT_ADMITTED
        )
        if not is_decided and self.ask_next_instance():
            return
        if self.open_attempts or self.connector is not None:
            return
        if self.direct_failure is None and not is_decided:
            self.connect_directly()
            return
        self.fail()

    def note_path_lost(self, via: str) -> None:
        """Report that an instance is not heard on an open connection."""
        outcome = events.ForwardingOutcome.UNREACHABLE
        self.opener.dispatch(events.ForwardingFailed(self.entry, via, outcome))

    def describe_direct(self) -> str:
        """Return what is known of the direct path, for the time line."""
        if self.direct_failure is not None:
            return f'directly: {self.direct_failure.type.__name__}'
        if self.connector is not None:
            return 'directly: no answer yet'
        return 'the direct path is lost'

    def report_lost_path(self, via: str) -> None:
        """Report that only the direct attempt has failed."""
        reason = self.direct_failure
        silent = reason.check(error.ConnectionRefusedError) is None
        self.opener.dispatch(
            events.DirectPathLost(
                self.entry, via, silent, reason.type.__name__
            )
        )

    def win(self, via: str) -> None:
        """End the race; a direct attempt goes on, to learn its outcome."""
        self.won_by = via
        self.end()

    def end(self) -> None:
        """Stop all attempts through other instances, and the timers."""
        self.is_over = True
        for timer in (self.next_timer, self.end_timer):
            if timer is not None and timer.active():
                timer.cancel()
        for attempt in list(self.open_attempts.values()):
            attempt.abandon()

    def fail(self) -> None:
        """Report that nothing was opened."""
        if self.is_over:
            return
        reason = self.direct_failure
        for via in list(self.open_attempts):
            self.opener.dispatch(
                events.ForwardingFailed(
                    self.entry, via, events.ForwardingOutcome.ENGINE_SILENT
                )
            )
        self.disconnect()
        name = reason.type.__name__ if reason is not None else 'TimeoutError'
        detail = f'connect: {name}'
        if self.asked:
            detail += f'; nor through {", ".join(sorted(self.asked))}'
        is_refused = (
            reason is not None
            and reason.check(error.ConnectionRefusedError) is not None
        )
        is_verdict = (
            self.verdicts >= self.verdicts_needed
            or self.refusals == len(self.asked)
        )
        if is_refused and is_verdict and self.asked:
            self.opener.dispatch(events.RefusedElsewhere(self.entry))
        self.pending.connection_refused = is_refused and is_verdict
        self.pending.fail(detail)

    def disconnect_directly(self) -> None:
        """End the direct attempt."""
        connector, self.connector = self.connector, None
        if connector is not None:
            connector.disconnect()

    def disconnect(self) -> None:
        """End all attempts, as the request is not wanted any more."""
        self.end()
        self.disconnect_directly()
