"""A relaying instance: sockets, timers and clients around the decisions."""

from collections.abc import Callable
import random
import secrets

import h11
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol

from greengagelb import errors
from greengagelb import relay_settings
from greengagelb import settings_changes
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import relay
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints
from greengagelb.state.relay import routes
from greengagelb.transport import decision_loop
from greengagelb.transport import listening
from greengagelb.transport import metrics
from greengagelb.transport import recorder
from greengagelb.transport import start_times
from greengagelb.transport.relay import caller_side
from greengagelb.transport.relay import dialect
from greengagelb.transport.relay import engine_side
from greengagelb.transport.relay import hint_batches
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay import pages
from greengagelb.transport.relay import peer_link
from greengagelb.transport.relay import relay_metrics
from greengagelb.transport.relay import store_watch
from greengagelb.transport.relay.forwarding import connection_race
from greengagelb.transport.relay.forwarding import forwarding_port

PAUSE_CHECK_SECONDS = 0.1
MIN_REPORTED_PAUSE_SECONDS = 0.25
IDLE_SWEEP_SECONDS = 1.0
# The load balancer sends new callers for up to three seconds after an instance
# has reported that it is not ready; these are still served.
READINESS_LAG_SECONDS = 3.5
# Requests in flight are aborted this long before the platform kills the
# process, so that their callers get an error.
ABORT_MARGIN_SECONDS = 0.4
# How long before the platform kills the process it stops waiting for the
# store, and for callers that read slowly. A process with half a core needs the
# latter time to end.
STORE_MARGIN_SECONDS = 0.25
END_MARGIN_SECONDS = 0.15
STOP_POLL_SECONDS = 0.1


def raise_store_timeout(result: object, seconds: float) -> object:
    """Turn a timeout of the store into an error of this project.

    Raises :class:`~greengagelb.errors.PlatformUnavailable`.
    """
    raise errors.PlatformUnavailable(f'no answer within {seconds:.3f} s')


class RelayInstance:
    """Owns the sockets and clients, and carries out the decided actions.

    ``stopped`` fires once the process can end.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorCore,
        settings: relay_settings.RelaySettings,
        wire_dialect: dialect.Dialect,
        make_store_client: Callable[
            [http_client.ConnectionPool], store_watch.StoreClient
        ],
        times: start_times.StartTimes | None = None,
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        instance_settings = settings.instance
        self.own = hints.Member(
            instance_settings.name,
            secrets.token_hex(4),
            instance_settings.caller_address.host,
            instance_settings.data_centre,
        )
        self.relay = relay.Relay(
            random.Random(),
            self.own,
            settings.retries,
            settings.engines,
        )
        self.metrics = relay_metrics.RelayMetrics()
        self.recorder = recorder.Recorder(
            instance_settings.name,
            instance_settings.timeline_events,
            self.metrics,
        )
        self.metrics.sample = self.build_sample
        self.loop = decision_loop.DecisionLoop(
            reactor, self.relay, self.carry_out, self.recorder
        )
        self.pool = http_client.ConnectionPool(reactor)
        self.callers = caller_side.CallerSide(
            reactor,
            wire_dialect,
            self.loop.dispatch,
            self.current_limits,
            self.record_refusal,
        )
        self.peers = peer_link.PeerLink(
            self.own,
            instance_settings.peer_port,
            self.loop.dispatch,
            self.record_bad_datagram,
            random.Random(),
            hint_batches.Timing(
                reactor.seconds,
                lambda now: self.relay.fleet.next_heartbeat_at(
                    now, self.relay.rng
                ),
                lambda: self.relay.fleet.hint_wait_seconds,
            ),
            self.build_peer_status,
        )
        self.engines = engine_side.EngineSide(
            self.pool,
            wire_dialect,
            self.loop.dispatch,
            self.admits,
            connection_race.ConnectionOpener(
                self.pool,
                self.relay.paths,
                self.loop.dispatch,
                self.peers.host_of,
                self.own.host,
                instance_settings.peer_port,
            ),
        )
        self.forwarding = forwarding_port.ForwardingPort(
            reactor,
            self.relay.paths,
            self.loop.dispatch,
            self.admits,
            self.peers.is_known_host,
            self.report_forwarded_head,
        )
        self.metrics.forwarding = self.forwarding.statistics
        self.metrics.event_costs = self.loop.costs
        self.store_client = make_store_client(self.pool)
        self.watch = store_watch.StoreWatch(
            reactor,
            self.store_client,
            self.loop.dispatch,
            self.recorder.record,
            self.own,
            self.relay.sharing,
            self.peers.update_peers,
        )
        self.metrics.get_unusable_entries = self.watch.unusable_entries_by_list
        self.metrics.store_calls = self.watch.calls
        self.last_pause_check_at = reactor.seconds()
        self.settings_applied_at = reactor.seconds()
        self.ports: list[interfaces.IListeningPort] = []
        self.opened_ports: list[interfaces.IListeningPort] = []
        self.abort_at: float | None = None
        self.kill_at = 0.0
        self.serve_until = 0.0
        self.start_times = times
        self.stopped: defer.Deferred = defer.Deferred()

    def start(self) -> None:
        """Open the ports and start to read the store.

        May be called again after it has raised
        :class:`~greengagelb.errors.CannotListen`.
        """
        try:
            self.open_ports()
        except errors.CannotListen:
            self.close_opened_ports()
            raise
        self.loop.call_periodically(
            PAUSE_CHECK_SECONDS, self.check_pause_and_heartbeat
        )
        self.loop.call_periodically(
            IDLE_SWEEP_SECONDS, self.pool.close_expired
        )
        self.watch.start()
        name = self.settings.instance.name
        self.recorder.record(actions.Record('started', name))
        self.note_start('ports')

    def open_ports(self) -> None:
        """Open all ports.

        Raises :class:`~greengagelb.errors.CannotListen`.
        """
        instance_settings = self.settings.instance
        self.ports = [
            self.listen(instance_settings.caller_address, self.callers)
        ]
        self.listen(
            instance_settings.ready_address,
            pages.PageFactory(
                lambda: pages.readiness_page(self.relay.is_ready)
            ),
        )
        host = instance_settings.caller_address.host
        self.listen(
            engines.Address(host, instance_settings.metrics_port),
            pages.PageFactory(self.metrics_page),
        )
        self.listen(
            engines.Address(host, instance_settings.peer_port),
            self.forwarding,
        )
        self.peers.open_socket(self.reactor)

    def close_opened_ports(self) -> None:
        """Close the ports that are open although others can't be opened."""
        for port in self.opened_ports:
            port.stopListening()
        self.opened_ports.clear()

    def note_start(self, part: str) -> None:
        """Note that a part of the start is done, if that is measured."""
        if self.start_times is not None:
            self.start_times.note(part)

    def record_if_ready(self) -> None:
        """Record how long the start took, once the instance is ready."""
        if self.start_times is None or not self.relay.is_ready:
            return
        self.note_start('ready')
        why = self.start_times.describe()
        self.recorder.record(actions.Record('start-times', why))
        self.start_times = None

    def listen(
        self, address: engines.Address, factory: protocol.ServerFactory
    ) -> interfaces.IListeningPort:
        """Listen at an address.

        Raises :class:`~greengagelb.errors.CannotListen`.
        """
        try:
            port = self.reactor.listenTCP(
                address.port, factory, backlog=512, interface=address.host
            )
        except error.CannotListenError as exc:
            raise errors.CannotListen(str(exc)) from exc
        self.opened_ports.append(port)
        return port

    def reload(self, read: Callable[[], relay_settings.RelaySettings]) -> None:
        """Apply the changed settings that can change in a running process.

        The current settings stay if the file is invalid.
        """
        try:
            new = read()
        except errors.SettingsError as exc:
            why = f'{exc.code}: {exc}'
            self.recorder.record(actions.Record('settings-refused', why))
            return
        effects = settings_changes.RELAY_EFFECTS
        changes = settings_changes.changes_between(self.settings, new, effects)
        former = self.settings
        self.settings = settings_changes.reloaded(former, new, effects)
        if self.settings != former:
            self.settings_applied_at = self.reactor.seconds()
        self.relay.apply_bounds(self.settings.retries, self.settings.engines)
        self.store_client.use_address(self.settings.store.address)
        why = settings_changes.summary(changes)
        self.recorder.record(actions.Record('settings-reloaded', why))

    def build_sample(self) -> metrics.Sample:
        """Return the state of this instance for the metrics."""
        table = self.relay.route_table
        now = self.reactor.seconds()
        instance_settings = self.settings.instance
        store = self.relay.sharing.engine_list_freshness
        return metrics.Sample(
            identity=metrics.Identity(
                instance_settings.name, instance_settings.data_centre
            ),
            stopping=self.is_stopping,
            settings_digest=settings_changes.digest(
                self.settings, settings_changes.RELAY_EFFECTS
            ),
            settings_seconds=now - self.settings_applied_at,
            engines=len(self.relay.engines.states),
            store_seconds=None
            if store.is_never_read
            else now - store.fresh_at,
            running=len(self.relay.exchanges),
            configuration_version=table.version if table else 0,
            timeline_dropped=self.recorder.timeline.dropped,
            suspects=len(self.relay.crash_watch.records.histories),
            blocked=len(
                self.relay.crash_watch.records.blocked_fingerprints(
                    self.reactor.seconds()
                )
            ),
            limits=self.relay.keeper.figures(),
            statements=self.relay.statements.statistics(now),
        )

    def metrics_page(self) -> pages.Page:
        """Return the page of metrics."""
        self.metrics.datagrams_sent = self.peers.datagrams_sent
        body = self.metrics.render_relay(self.pool.connections_opened)
        return pages.Page(pages.STATUS_OK, body)

    def current_limits(self) -> routes.CallerLimits:
        """Return the limits on callers of the current configuration."""
        table = self.relay.route_table
        return table.limits if table is not None else routes.CallerLimits()

    def admits(self, entry: engines.EngineEntry) -> bool:
        """Return whether an engine may be sent a caller's request now."""
        return self.relay.engines.admits(entry, self.reactor.seconds())

    def report_forwarded_head(
        self, entry: engines.EngineEntry, response: h11.Response
    ) -> None:
        """Learn what an engine states in an answer to another instance."""
        head = self.engines.dialect.read_answer_head(response)
        self.engines.report_statement(entry, head)

    def record_refusal(self, status: int, code: str) -> None:
        """Record a refusal that preceded any decision."""
        self.recorder.record(actions.Record('refused', f'{status} {code}'))

    def check_pause_and_heartbeat(self) -> None:
        """Report pauses of this process; send heartbeats when due."""
        now = self.reactor.seconds()
        late = self.pause_check_delay(now)
        self.last_pause_check_at = now
        if late > MIN_REPORTED_PAUSE_SECONDS:
            self.loop.dispatch(events.PauseDetected(late))
        self.record_if_ready()
        if not self.relay.is_finished:
            self.peers.send_due()

    def pause_check_delay(self, now: float) -> float:
        """Return how late the next check for a pause is, in seconds."""
        return now - self.last_pause_check_at - PAUSE_CHECK_SECONDS

    def earliest_signal_at(self) -> float:
        """Return when a signal that is noticed now may have been sent.

        A process that stood still notices it only afterwards.
        """
        now = self.reactor.seconds()
        if self.pause_check_delay(now) > MIN_REPORTED_PAUSE_SECONDS:
            return self.last_pause_check_at
        return now

    def build_peer_status(self) -> peer_link.Status:
        """Return what heartbeats tell of this instance."""
        paths = self.relay.paths
        lost = (paths.hint(),) if paths.lost_services else ()
        return peer_link.Status(self.relay.digests, lost)

    @property
    def is_stopping(self) -> bool:
        """Return whether a stop was requested."""
        return self.abort_at is not None

    def record_bad_datagram(self, detail: str) -> None:
        """Record a datagram that could not be sent or decoded."""
        self.recorder.record(actions.Record('bad-datagram', detail))

    def stop(self, asked_at: float | None = None) -> None:
        """Stop gracefully: report not ready, finish requests, end in time.

        ``asked_at`` is the earliest time at which the platform may have sent
        its signal, by default now. It may signal twice; the first one counts.
        """
        if self.is_stopping:
            return
        now = self.reactor.seconds()
        asked_at = now if asked_at is None else asked_at
        grace = self.settings.stop.grace_seconds
        self.kill_at = asked_at + grace
        self.abort_at = self.kill_at - ABORT_MARGIN_SECONDS
        # The load balancer can't have learned of it before now.
        lag = min(READINESS_LAG_SECONDS, grace / 2)
        self.serve_until = min(now + lag, self.abort_at)
        self.callers.is_closing = True
        self.forwarding.is_stopping = True
        self.loop.dispatch(relay_events.StopRequested(self.abort_at, asked_at))
        self.loop.call_periodically(
            STOP_POLL_SECONDS, self.end_serving_if_done
        )

    def end_serving_if_done(self) -> None:
        """End serving once no caller is connected or at ``abort_at``."""
        now = self.reactor.seconds()
        if now < self.serve_until or self.relay.is_finished:
            return
        self.callers.close_idle_connections()
        is_serving = self.callers.connections or self.forwarding.connections
        if now < self.abort_at and is_serving:
            return
        self.loop.dispatch(relay_events.ServingEnded())

    def finish_stopping(self) -> None:
        """Remove the own entry from the store, then close and end.

        The port stays open meanwhile, so that a new caller gets an answer that
        its request has not run rather than a reset connection. The process
        ends whatever fails here.
        """
        removed = defer.maybeDeferred(self.leave_fleet)
        wait = self.kill_at - STORE_MARGIN_SECONDS - self.reactor.seconds()
        removed.addTimeout(max(0.0, wait), self.reactor, raise_store_timeout)
        removed.addErrback(self.watch.record_entry_left_behind)
        removed.addErrback(self.loop.log_unhandled_error)
        removed.addBoth(lambda _: self.close_callers())
        removed.addErrback(self.loop.log_unhandled_error)
        removed.addBoth(lambda _: self.end_process())

    def leave_fleet(self) -> defer.Deferred:
        """Abort the remaining requests, announce the end, remove the entry."""
        self.callers.reset_waiting_connections()
        self.forwarding.close_connections()
        self.callers.refuse_partial_requests()
        self.peers.send_heartbeat(leaving=True)
        return self.watch.stop()

    def close_callers(self) -> defer.Deferred:
        """Close the port and all connections; fire once they are closed."""
        return listening.close_ports(
            self.reactor, self.ports, [self.drain_callers]
        )

    def drain_callers(self) -> defer.Deferred:
        """Close the connections of callers, as far as the time suffices."""
        wait = self.kill_at - END_MARGIN_SECONDS - self.reactor.seconds()
        drained = self.callers.drain()
        return drained.addTimeout(max(0.0, wait), self.reactor)

    def end_process(self) -> None:
        """Record what this process has cost, and let it end."""
        summary = self.watch.calls.format_summary()
        self.recorder.record(actions.Record('store-calls', summary))
        costs = self.loop.costs.summary()
        sent = f'{self.peers.datagrams_sent} datagrams sent'
        self.recorder.record(
            actions.Record('processor-time', f'{costs}; {sent}')
        )
        self.loop.dispatch(relay_events.ConnectionsClosed())
        self.stopped.callback(None)

    def carry_out(self, action: relay_actions.RelayAction) -> None:
        """Carry out an action of the decisions."""
        self.metrics.count_action(action)
        match action:
            case relay_actions.ObserveDuration():
                pass
            case relay_actions.Send():
                self.engines.send_request(action)
            case relay_actions.AbandonSend(exchange=exchange, send=send):
                self.engines.abandon_send(exchange, send)
            case relay_actions.ProbeEngine():
                self.engines.probe_engine(action)
            case relay_actions.CheckEngine():
                self.engines.check_engine(action)
            case relay_actions.CopyRun():
                self.engines.copy_run(action)
            case relay_actions.AskStart(entry):
                self.engines.ask_for_start(entry)
            case relay_actions.ProbeAddress():
                self.engines.ask_successor(action)
            case relay_actions.BroadcastHints(sent_hints):
                self.peers.broadcast_hints(sent_hints)
            case relay_actions.TellPeers(hint, may_wait):
                self.peers.send_hint_to_all(hint, may_wait=may_wait)
            case relay_actions.TellPeer(incarnation, hint):
                self.peers.send_hint_to(incarnation, hint)
            case relay_actions.StoreCrashReport(report):
                self.watch.write_crashes(report)
            case relay_actions.DeleteCrashReport(fingerprint):
                self.watch.delete_crashes(fingerprint)
            case relay_actions.RescheduleStoreRead():
                self.watch.schedule_read_check()
            case actions.SetTimer(name, deadline):
                self.loop.set_timer(name, deadline)
            case actions.ClearTimer(name):
                self.loop.clear_timer(name)
            case actions.Record():
                self.recorder.record(action)
            case actions.FinishStopping():
                self.finish_stopping()
            case _:
                self.callers.carry_out(action)
