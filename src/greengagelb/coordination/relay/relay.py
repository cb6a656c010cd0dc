"""Decides how an instance handles relayed requests.

As in :class:`greengagelb.coordination.node.Node`, events go in and actions
come out. There is no I/O and no clock, and randomness comes only from the
generator that is passed in.
"""

import random

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import timers
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import crash_watch
from greengagelb.coordination.relay import crashing_requests
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import engine_list
from greengagelb.coordination.relay import engine_selection
from greengagelb.coordination.relay import engine_statements
from greengagelb.coordination.relay import engine_wait_outcomes
from greengagelb.coordination.relay import engine_waits
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import fleet
from greengagelb.coordination.relay import identity_checks
from greengagelb.coordination.relay import loads
from greengagelb.coordination.relay import peer_events
from greengagelb.coordination.relay import permit_outcomes
from greengagelb.coordination.relay import permit_waits
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import request_routing
from greengagelb.coordination.relay import restarts
from greengagelb.coordination.relay import retry_loan_outcomes
from greengagelb.coordination.relay import retry_loans
from greengagelb.coordination.relay import run_copies
from greengagelb.coordination.relay import sending
from greengagelb.coordination.relay import shared_retry_budget
from greengagelb.coordination.relay import silent_runs
from greengagelb.coordination.relay import stopping
from greengagelb.coordination.relay import store_sharing
from greengagelb.coordination.relay import streams
from greengagelb.coordination.relay import successor_search
from greengagelb.coordination.relay.forwarding import engine_paths
from greengagelb.coordination.relay.forwarding import (
    events as forwarding_events,
)
from greengagelb.coordination.relay.forwarding import forwarders
from greengagelb.coordination.relay.forwarding import withheld_hints
from greengagelb.coordination.sharing import fingerprints
from greengagelb.coordination.sharing import limit_keeper
from greengagelb.state import identity
from greengagelb.state.relay import bounds
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes

DEADLINE_TIMER = 'relay-deadline'
# Fires when a configuration older than that of other instances is applied
# because no newer one has arrived.
OLDER_CONFIGURATION_TIMER = 'relay-older-configuration'
TIMERS = (
    DEADLINE_TIMER,
    silent_runs.SILENCE_TIMER,
    calls.HEDGE_TIMER,
    calls.LATE_CALL_TIMER,
    run_copies.COPY_TIMER,
)

Action = relay_actions.RelayAction


class Relay:
    """Handles the relayed requests of one instance.

    Invariants: the version of ``route_table`` never decreases; an exchange
    stays in ``exchanges`` until it has its final answer or its caller has
    disconnected.
    """

    def __init__(
        self,
        rng: random.Random,
        own: hints.Member,
        retry_bounds: bounds.RetryBounds,
        engine_bounds: bounds.EngineBounds,
    ) -> None:
        self.rng = rng
        self.route_table: routes.RouteTable | None = None
        self.deferred_offer: relay_events.ConfigurationOffered | None = None
        self.keeper = limit_keeper.LimitKeeper(own.incarnation)
        self.engines = directory.EngineDirectory(
            engine_bounds.least_lapse_seconds, self.keeper.carry_over_limit
        )
        self.loads = loads.RunLoads()
        self.budget = shared_retry_budget.SharedRetryBudget(retry_bounds)
        self.send_manager = sending.SendManager(
            self.engines, self.loads, self.budget, self.keeper
        )
        selector = engine_selection.EngineSelector(
            self.engines, self.loads, self.keeper, rng, own.data_centre
        )
        self.sharing = store_sharing.StoreSharing(own.incarnation, rng)
        self.answers = answers.AnswerBuilder(rng)
        self.request_router = request_routing.RequestRouter(rng)
        self.crash_watch = crash_watch.CrashWatch()
        self.fleet = fleet.FleetView(self.loads, own.incarnation)
        self.succession = successor_search.SuccessorSearch(
            self.engines, engine_bounds.address_reuse_seconds
        )
        self.identity_checks = identity_checks.IdentityChecks(
            self.engines, self.send_manager, self.succession, rng
        )
        components = relay_components.RelayComponents(
            self.engines,
            selector,
            self.send_manager,
            self.answers,
            self.crash_watch,
            permit_waits.WaitingSends(self.keeper),
            engine_waits.EngineWaits(),
            retry_loans.RetryLoans(
                self.budget, self.fleet.heard_at.keys(), rng
            ),
            self.identity_checks,
        )
        self.calls = calls.CallRelay(components)
        self.streams = streams.StreamRelay(components, self.succession)
        self.keeper.ranking.members = self.fleet.reachable_instances
        self.paths = engine_paths.EnginePaths(
            self.engines,
            forwarders.ForwarderSelector(self.fleet, rng, own.data_centre),
        )
        self.withheld_hints = withheld_hints.WithheldHints(self.paths)
        self.exchanges: dict[int, exchanges.Exchange] = {}
        self.copies = run_copies.RunCopies(components, self.exchanges)
        self.restarts = restarts.RestartHandler(
            components, self.calls, self.streams, self.copies, self.exchanges
        )
        self.crashing_requests = crashing_requests.CrashingRequestHandler(
            components,
            self.calls,
            self.streams,
            self.sharing,
            self.exchanges,
            self.handle_send_event,
        )
        self.permit_outcomes = permit_outcomes.PermitOutcomeHandler(
            components, self.calls, self.streams, self.exchanges
        )
        self.engine_wait_outcomes = engine_wait_outcomes.EngineWaitHandler(
            components, self.permit_outcomes, self.exchanges
        )
        self.retry_loan_outcomes = retry_loan_outcomes.RetryLoanHandler(
            components, self.permit_outcomes, self.exchanges
        )
        self.engine_list = engine_list.EngineListHandler(
            self.engines,
            self.sharing,
            self.copies,
            self.restarts,
        )
        self.statements = engine_statements.EngineStatementHandler(
            components, self.copies, self.fleet, rng
        )
        self.peers = peer_events.PeerEventHandler(
            self.engines,
            self.engine_list,
            self.fleet,
            self.sharing,
            self.retry_loan_outcomes,
            self.copies,
            self.restarts,
            self.crashing_requests,
            self.permit_outcomes,
            self.statements,
            self.paths,
        )
        self.lifecycle = stopping.InstanceLifecycle()

    def apply_bounds(
        self,
        retry_bounds: bounds.RetryBounds,
        engine_bounds: bounds.EngineBounds,
    ) -> None:
        """Apply reloaded retry and engine bounds."""
        self.budget.bounds = retry_bounds
        self.engines.least_lapse_seconds = engine_bounds.least_lapse_seconds
        self.succession.address_reuse_seconds = (
            engine_bounds.address_reuse_seconds
        )

    @property
    def usable_route_table(self) -> routes.RouteTable | None:
        """Return the configuration, or None until engines are listed."""
        return self.route_table if self.engines.is_complete else None

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        return self.lifecycle.is_serving

    @property
    def digests(self) -> hints.Digests:
        """Return digests for comparing knowledge with other instances."""
        return hints.Digests(
            self.crash_watch.records.digest(), self.keeper.table.digest()
        )

    @property
    def is_finished(self) -> bool:
        """Return whether all requests are refused as the process ends."""
        return self.lifecycle.is_finished

    def handle(
        self, event: relay_events.RelayEvent, now: float
    ) -> list[Action]:
        """Return the actions that result from an event."""
        resulting = self.dispatch_event(event, now)
        resulting += self.permit_outcomes.finish_event(resulting, now)
        resulting += self.retry_loan_outcomes.finish_event(now)
        resulting += self.engine_wait_outcomes.set_timer(now)
        pending = self.send_manager.pending_hints
        if not self.paths.is_at_fault(now):
            for hint in list(pending):
                resulting += self.peers.handle_engine_loss_hint(hint, now)
        resulting += self.withheld_hints.hold(pending, now)
        ended: list[Action] = []
        for action in resulting:
            ended += self.close_if_answered(action)
        hint_actions = [
            relay_actions.TellPeers(hint, isinstance(hint, hints.RunEnded))
            for hint in pending
        ]
        pending.clear()
        return resulting + ended + hint_actions

    def close_if_answered(self, action: Action) -> list[Action]:
        """Remove an exchange if an action is its final answer."""
        match action:
            case (
                relay_actions.PassAnswer(exchange=number)
                | relay_actions.EndStream(exchange=number)
                | relay_actions.AbortStream(exchange=number)
                | relay_actions.Refuse(exchange=number)
            ):
                exchange = self.exchanges.get(number)
                told = (
                    final_answer_timeline_events(exchange, action)
                    if exchange
                    else []
                )
                return [*told, *self.close_exchange(number)]
        return []

    def close_exchange(self, number: int) -> list[Action]:
        """Remove an exchange and clear its timers."""
        if self.exchanges.pop(number, None) is None:
            return []
        self.engine_wait_outcomes.waits.discard(number)
        self.retry_loan_outcomes.loans.discard(number)
        return [
            actions.ClearTimer(timers.timer_name(kind, number))
            for kind in TIMERS
        ]

    def dispatch_event(
        self, event: relay_events.RelayEvent, now: float
    ) -> list[Action]:
        """Dispatch an event to the component that handles it."""
        match event:
            case relay_events.RequestArrived(request):
                return self.handle_request(request, now)
            case relay_events.EngineStated():
                return self.statements.handle_statement(event, now)
            case (
                relay_events.AnswerStarted()
                | relay_events.StreamProgressed()
                | relay_events.StreamComplete()
                | relay_events.AnswerComplete()
                | relay_events.SendFailed()
                | relay_events.EngineProbed()
                | relay_events.RunCopied()
            ):
                return self.handle_send_event(event, now)
            case events.CallerGone(exchange):
                return self.handle_caller_gone(exchange)
            case events.TimerFired(name):
                return self.handle_timer(name, now)
            case relay_events.ConfigurationOffered():
                return self.apply_configuration(event, now)
            case relay_events.ConfigurationChecked():
                return self.announce_configuration(now)
            case relay_events.EnginesListed(entries, unusable):
                self.engines.is_complete = True
                return self.engine_list.apply_whole_list(
                    entries, unusable, now
                )
            case relay_events.EnginesChanged(entries, removed, unusable):
                return self.engine_list.apply_read(
                    entries, removed, unusable, now
                )
            case relay_events.StoreLost(detail):
                return self.engine_list.handle_store_lost(detail)
            case relay_events.StoreRestored():
                return self.engine_list.handle_store_restored(now)
            case relay_events.EngineListRequested():
                return self.engine_list.announce_store_attempt()
            case relay_events.AddressProbed():
                return self.handle_address_answer(event, now)
            case relay_events.StopRequested():
                return self.lifecycle.begin_stop(event, now)
            case relay_events.ServingEnded():
                return self.lifecycle.end_serving(len(self.exchanges))
            case relay_events.ConnectionsClosed():
                return self.lifecycle.end_process(len(self.exchanges))
            case relay_events.EngineChecked():
                return self.crashing_requests.handle_engine_check(event, now)
            case relay_events.CrashesListed(reports):
                return self.crashing_requests.apply_stored(reports, now)
            case events.PauseDetected(seconds):
                return self.handle_pause(seconds, now)
            case _ if isinstance(event, forwarding_events.ForwardingEvent):
                return self.paths.handle_event(event, now)
        return self.peers.handle_event(event, now)

    def handle_address_answer(
        self, event: relay_events.AddressProbed, now: float
    ) -> list[Action]:
        """Apply which engine has answered at an address, or that none has."""
        resulting = self.identity_checks.accept_answer(event, now)
        if event.old == event.new:
            start = event.started_at_ms
            resulting += self.restarts.note_reported_start(
                event.old, start, now
            )
            resulting += self.statements.note_start(event.old, start, now)
        else:
            resulting += self.use_successor(event, now)
        return resulting + self.engine_wait_outcomes.continue_waiting(now)

    def use_successor(
        self, event: relay_events.AddressProbed, now: float
    ) -> list[Action]:
        """Use an engine that replaces a lost one at the same address."""
        if not self.succession.accept_answer(event, now):
            return []
        old, new = event.old, event.new
        self.send_manager.pending_hints.append(hints.EngineReplaced(old, new))
        return [actions.Record('engine-succeeded', f'by {new}', upstream=old)]

    def handle_request(
        self, request: requests.CallerRequest, now: float
    ) -> list[Action]:
        """Accept a request, or refuse it at once."""
        ruling = self.request_router.route_request(
            request, self.usable_route_table
        )
        if isinstance(ruling, relay_actions.Refuse):
            why = f'{ruling.status} {ruling.code}'
            if self.route_table is not None:
                why += f', version {self.route_table.version}'
            told = actions.Record(
                'refused', why, identity.RequestId('', request.request_id)
            )
            return [told, ruling]
        causes = fingerprints.causes_of_relayed_request(
            request, ruling.account, ruling.service.name
        )
        exchange = exchanges.Exchange(request, ruling, causes)
        self.exchanges[request.exchange] = exchange
        self.budget.count_request(ruling.service.name, now)
        name = timers.timer_name(DEADLINE_TIMER, request.exchange)
        resulting: list[Action] = [actions.SetTimer(name, ruling.deadline)]
        stream = ruling.route.repeat is routes.RepeatPolicy.STREAM
        refusal = self.crashing_requests.refuse_if_blocked(exchange, now)
        if refusal is not None:
            return resulting + refusal
        expected_end_at = now + self.duration_allowance_seconds(
            exchange, stream
        )
        if self.lifecycle.may_be_cut(expected_end_at, now, stream=stream):
            return [self.answers.refuse_not_run(exchange, 'stopping', now)]
        resulting += self.lifecycle.note_accepted(
            exchange, expected_end_at, now
        )
        handler = self.streams if stream else self.calls
        return resulting + handler.start_request(exchange, now)

    def duration_allowance_seconds(
        self, exchange: exchanges.Exchange, stream: bool
    ) -> float:
        """Return the assumed seconds of a request that starts now.

        A request that could not finish in them before this instance stops is
        refused: if it were cut off at the end, nobody could tell whether it
        ran.
        """
        if stream:
            return self.streams.conservative_seconds(exchange)
        return exchange.ruling.route.time_limit

    def handle_send_event(
        self, event: relay_events.RelayEvent, now: float
    ) -> list[Action]:
        """Handle an event of a send that is still in flight."""
        exchange = self.exchanges.get(event.exchange)
        sent = exchange.sends.get(event.send) if exchange else None
        if exchange is None or sent is None:
            return []
        stream = exchange.ruling.route.repeat is routes.RepeatPolicy.STREAM
        match event:
            case relay_events.AnswerStarted():
                return self.streams.handle_answer_head(
                    exchange, sent, event, now
                )
            case relay_events.StreamProgressed():
                return self.handle_stream_progress(exchange, sent, event, now)
            case relay_events.RunCopied():
                return self.copies.handle_copy_result(
                    exchange, sent, event, now
                )
            case relay_events.EngineProbed() if stream:
                return self.handle_probe(exchange, sent, event, now)
            case relay_events.StreamComplete(ended_by_close=True):
                return self.crash_watch.hold_ended_answer(
                    exchange, sent, event, now
                )
            case relay_events.AnswerComplete(ended_by_close=True) if (
                not event.head.not_run
            ):
                return self.crash_watch.hold_ended_answer(
                    exchange, sent, event, now
                )
            case relay_events.StreamComplete():
                return self.streams.end_stream(exchange, sent, now)
            case relay_events.AnswerComplete():
                handle = (
                    self.streams.handle_plain_answer
                    if stream
                    else self.calls.handle_answer
                )
                return handle(exchange, sent, event, now)
            case relay_events.SendFailed():
                handle = (
                    self.streams.handle_broken_send
                    if stream
                    else self.calls.handle_broken_send
                )
                return handle(exchange, sent, event, now)
        return []

    def handle_probe(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.EngineProbed,
        now: float,
    ) -> list[Action]:
        """Handle a probe result for the engine, then for the run on it."""
        start = event.started_at_ms
        if event.is_replaced:
            self.send_manager.announce_replaced(sent.entry)
        if event.alive:
            self.engines.note_answered(sent.entry.engine, event.asked_at)
        resulting = self.restarts.note_reported_start(
            sent.entry.engine, start, now
        )
        if sent.number not in exchange.sends:
            return resulting
        return resulting + self.streams.handle_probe(
            exchange, sent, event, now
        )

    def handle_stream_progress(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.StreamProgressed,
        now: float,
    ) -> list[Action]:
        """Pass events on; order a copy if there is none, or it was used."""
        first = not sent.events_seen
        resulting = self.streams.pass_events(exchange, sent, event, now)
        if sent.number not in exchange.sends:
            return resulting
        if sent.copy_used:
            sent.copy_used = False
            return resulting + self.copies.replace_copy(exchange, sent, now)
        if first:
            resulting += self.copies.order_missing_copy(exchange, sent, now)
        return resulting

    def handle_caller_gone(self, number: int) -> list[Action]:
        """Abandon the sends of a caller that has disconnected."""
        exchange = self.exchanges.get(number)
        if exchange is None:
            return []
        why = f'after event {exchange.position}' if exchange.begun else ''
        return [
            sending.record(exchange, None, 'caller-gone', why),
            *self.send_manager.abandon_all_sends(exchange),
            *self.close_exchange(number),
        ]

    def handle_timer(self, name: str, now: float) -> list[Action]:
        """Dispatch a timer to the component that set it."""
        if (
            name == OLDER_CONFIGURATION_TIMER
            and self.deferred_offer is not None
        ):
            return self.apply_configuration(self.deferred_offer, now)
        kind, _, rest = name.partition(':')
        if kind == withheld_hints.WITHHELD_TIMER:
            return self.withheld_hints.tell_due(now)
        if kind == successor_search.SUCCESSOR_TIMER:
            return self.succession.ask_address(int(rest), now)
        if kind == crashing_requests.REANNOUNCE_TIMER:
            return self.crashing_requests.reannounce(rest, now)
        if kind == crashing_requests.SURVIVAL_TIMER:
            return self.crashing_requests.announce_survival(rest, now)
        if kind == crash_watch.RECHECK_TIMER:
            return self.crash_watch.check_again(rest)
        if kind == permit_outcomes.LIMITS_TIMER:
            return self.permit_outcomes.run_due_work(now)
        if kind == retry_loan_outcomes.RETRY_LOAN_TIMER:
            return self.retry_loan_outcomes.continue_expired(now)
        if kind == engine_wait_outcomes.ENGINE_WAIT_TIMER:
            return self.engine_wait_outcomes.continue_waiting(now)
        exchange = self.exchanges.get(int(rest)) if rest else None
        if exchange is None:
            return []
        match kind:
            case silent_runs.SILENCE_TIMER:
                return self.streams.silent_runs.check_silence(exchange, now)
            case run_copies.COPY_TIMER:
                return self.copies.renew_copies(exchange, now)
            case calls.HEDGE_TIMER:
                return self.calls.start_hedge(exchange, now)
            case calls.LATE_CALL_TIMER:
                return self.calls.count_late_sends(exchange, now)
        return self.end_overdue_request(exchange, now)

    def end_overdue_request(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Send the final answer of a request whose deadline has passed."""
        for sent in exchange.sends.values():
            exchange.may_have_run = True
            self.engines.note_failure(sent.entry.engine, now, dead=False)
        resulting: list[Action] = [
            sending.record(exchange, None, 'deadline-passed', ''),
            *self.send_manager.abandon_all_sends(exchange),
        ]
        if exchange.may_have_run and not exchange.begun:
            return [
                *resulting,
                relay_actions.Refuse(
                    exchange.number, answers.GATEWAY_TIMEOUT, 'deadline-passed'
                ),
            ]
        code = 'deadline-passed'
        return [*resulting, self.answers.fail_request(exchange, code, now)]

    def handle_pause(self, seconds: float, now: float) -> list[Action]:
        """Extend the time limits of sends by a pause of this process.

        Otherwise engines would be blamed for events that this process did
        not read in time.
        """
        for exchange in self.exchanges.values():
            for sent in exchange.sends.values():
                sent.silent_since = now
                sent.first_due += seconds
        return [actions.Record('own-pause', f'{seconds:.3f} s')]

    def apply_configuration(
        self, event: relay_events.ConfigurationOffered, now: float
    ) -> list[Action]:
        """Apply a configuration if it is newer than the one in force."""
        table = event.table
        if (
            self.route_table is not None
            and table.version <= self.route_table.version
        ):
            return []
        usable_from = self.sharing.usable_from(table.version, now)
        if self.route_table is None and now < usable_from:
            self.deferred_offer = event
            return [actions.SetTimer(OLDER_CONFIGURATION_TIMER, usable_from)]
        self.deferred_offer = None
        self.route_table = table
        self.engine_list.configuration_version = table.version
        self.engines.services = frozenset(table.services)
        self.succession.configure(table)
        self.lifecycle.begin_serving()
        why = f'version {table.version} from {event.source}'
        resulting: list[Action] = [
            actions.Record('configuration-applied', why)
        ]
        if self.sharing.reads_for_all:
            hint = hints.ConfigurationApplied(table.version)
            resulting.append(relay_actions.BroadcastHints((hint,)))
        return resulting

    def announce_configuration(self, now: float) -> list[Action]:
        """Announce the configuration in force if other instances wait for it.

        Does nothing on the instance that reads the store for all.
        """
        others_lack_notification = (
            self.sharing.configuration_freshness.read_for_missing_notification
        )
        if self.route_table is None or self.sharing.reads_for_all:
            return []
        if not others_lack_notification:
            return []
        hint = hints.ConfigurationApplied(self.route_table.version)
        return [relay_actions.BroadcastHints((hint,))]


def final_answer_timeline_events(
    exchange: exchanges.Exchange, action: Action
) -> list[actions.Record]:
    """Return the timeline event of a final answer that reports failure."""
    match action:
        case relay_actions.Refuse(status=status, code=code):
            why = f'{status} {code}'
            if action.retry_after is not None:
                why += f', retry after {action.retry_after:.3f} s'
            return [sending.record(exchange, None, 'refused', why)]
        case relay_actions.AbortStream(code=code):
            why = f'{code}, after event {exchange.position}'
            return [sending.record(exchange, None, 'broken-off', why)]
        case relay_actions.PassAnswer(head=head) if not head.is_success:
            why = f'status {head.status}'
            return [sending.record(exchange, None, 'failure-passed-on', why)]
    return []
