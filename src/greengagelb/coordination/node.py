"""All decisions of one instance behind one method.

``Node.handle`` takes an event and the monotonic time and returns actions. It
does no I/O, reads no clock and draws random numbers only from the generator
it was given, so the running process, the property-based tests and any other
harness drive the very same object.
"""

import random

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import lifecycle
from greengagelb.coordination import timers
from greengagelb.coordination.calls import claims
from greengagelb.coordination.calls import dispatching
from greengagelb.coordination.fleet import routing
from greengagelb.coordination.fleet import upstream_limits
from greengagelb.coordination.sharing import admission
from greengagelb.coordination.sharing import arrivals
from greengagelb.coordination.sharing import crash_guard
from greengagelb.coordination.sharing import fair_queue
from greengagelb.coordination.streams import cancellations
from greengagelb.coordination.streams import continuing
from greengagelb.state import configuration as configuration_state
from greengagelb.state import limits
from greengagelb.state import requests

FinalAnswer = actions.SendEnd | actions.SendAnswer | actions.SendFailure


class Node:
    """The decisions of one instance.

    Invariants: the version of ``configuration`` never falls; each exchange
    is either waiting, running or gone, and is counted once in admission.
    """

    def __init__(
        self, incarnation: str, rng: random.Random, data_centre: str = ''
    ) -> None:
        self.incarnation = incarnation
        self.configuration = configuration_state.Configuration()
        self.directory = routing.UpstreamDirectory(
            rng, data_centre, incarnation
        )
        self.limits = self.directory.limits
        self.admission = admission.AdmissionControl(rng)
        self.accounts: dict[str, configuration_state.ClientAccount] = {}
        self.cancels = cancellations.CancellationSupervisor()
        self.guard = crash_guard.CrashGuard()
        self.streams = continuing.StreamSupervisor(
            self.directory, self.cancels, incarnation, self.guard
        )
        self.calls = dispatching.CallSupervisor(
            self.directory, rng, self.guard
        )
        self.claims = claims.ClaimKeeper(incarnation, rng)
        self.waiting: dict[
            int, tuple[fair_queue.Ticket, arrivals.Arrival]
        ] = {}
        self.abandoned: set[int] = set()
        self.progress = lifecycle.Progress()
        self.lifecycle = lifecycle.new_lifecycle(self.progress)

    @property
    def running(self) -> dict[int, admission.RunningRequest]:
        """Return the requests that upstreams have, by exchange."""
        return self.admission.running

    @property
    def ready(self) -> bool:
        """Return whether the platform's balancer may send callers here."""
        return self.progress.phase is lifecycle.Phase.SERVING

    @property
    def stopping(self) -> bool:
        """Return whether this instance was asked to stop."""
        return self.progress.phase in lifecycle.ENDING

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Decide what an event leads to."""
        done = self.decide(event, now)
        done += self.claims.served(done, now)
        self.release_finished(event, done, now)
        for name in self.limits.process_permit_outcomes(now):
            self.directory.mark_possible_room(name)
        started = self.start_waiting(now)
        self.release_finished(event, started, now)
        done += started
        wanted = bool(
            self.waiting
            or self.streams.ladder.recovering
            or self.calls.waiting
        )
        self.limits.return_permits(wanted, now)
        done += self.limits.pending_actions(now)
        if isinstance(event, arrivals.Arrival):
            done += self.queue_timer(event.request.exchange)
        if self.progress.phase is lifecycle.Phase.STOPPING and self.idle:
            self.lifecycle.emptied()
            done.append(actions.FinishStopping())
        return done

    @property
    def idle(self) -> bool:
        """Return whether nothing is in flight, claims to settle included."""
        return not (self.running or self.waiting or self.claims.claims)

    def answered(
        self, found: upstream_limits.UpstreamAnswer | None, now: float
    ) -> list[actions.Action]:
        """Take in what an answer says of its upstream."""
        if found is None:
            return []
        view = self.directory.views.get(found.upstream)
        known = view.incarnation if view else ''
        return self.limits.handle_answer(found, known, now)

    def decide(self, event: events.Event, now: float) -> list[actions.Action]:
        """Pass an event to the object that it concerns."""
        match event:
            case (
                events.GenerationSubmitted()
                | events.GenerationResumed()
                | events.CallSubmitted()
            ):
                return self.arrive(event, now)
            case events.CallerGone(exchange):
                return self.caller_gone(exchange, now)
            case events.AttemptAccepted():
                said = self.answered(self.streams.answer_in(event), now)
                return said + self.streams.accepted(event, now)
            case events.TokensArrived():
                return self.streams.arrived(event, now)
            case events.AttemptEnded():
                return self.streams.ended(event, now)
            case events.AttemptRefused():
                said = self.answered(self.streams.answer_in(event), now)
                return said + self.streams.refused(event, now)
            case events.AttemptBroken():
                return self.streams.broken(event, now)
            case events.AttemptCancelled(attempt):
                return self.cancels.confirmed(attempt)
            case events.CancelFailed(attempt):
                return self.cancels.failed(attempt, now)
            case (
                events.ClaimWritten()
                | events.ClaimConflicted()
                | events.ClaimWriteFailed()
            ):
                step = self.claims.answered(event, now)
                return step.actions + self.begin_granted(step.granted, now)
            case events.CallAnswered() | events.CallBroken():
                said = self.answered(self.calls.answer_in(event), now)
                return said + self.call_ended(event, now)
            case events.TimerFired(name):
                return self.timer_fired(name, now)
            case _:
                return self.decide_of_the_fleet(event, now)

    def call_ended(
        self, event: events.CallAnswered | events.CallBroken, now: float
    ) -> list[actions.Action]:
        """Handle the end of one try of a call."""
        match event:
            case events.CallAnswered(exchange, status, body):
                if self.calls.awaits_outcome(exchange):
                    kept = self.claims.finish(exchange, status, body, now)
                    return kept + self.calls.outcome_ended(exchange)
                return self.calls.answered(event, now)
            case events.CallBroken(exchange, handed_over=handed_over):
                if self.calls.awaits_outcome(exchange):
                    ended = self.calls.outcome_ended(exchange)
                    if handed_over:
                        return ended
                    return ended + self.claims.proved_unrun(exchange, now)
                return self.calls.broken(event, now)

    def decide_of_the_fleet(
        self, event: events.Event, now: float
    ) -> list[actions.Action]:
        """Handle what concerns no single request."""
        match event:
            case events.UpstreamReported():
                crashed = self.guard.handle_report(event, now)
                self.limits.reset_for_incarnation(
                    event.engine.name, event.engine.incarnation
                )
                self.directory.apply_report(event, now)
                return [
                    *self.crashes_found(crashed, event.engine.name, now),
                    *self.cancels.engine_reported(event.engine),
                    *self.streams.engine_reported(event, now),
                ]
            case events.LoadsHeard(loads):
                self.directory.apply_peer_loads(loads, now)
                return []
            case events.EngineCacheChanged():
                self.directory.apply_cache_event(event)
                return []
            case events.UpstreamUnreachable(name):
                self.directory.mark_suspected(name, now)
                crashed = self.guard.handle_unreachable(event, now)
                return [
                    *self.crashes_found(crashed, name, now),
                    *self.guard.schedule_probe(event, now),
                ]
            case events.CrashesHeard(reports):
                blocked = self.guard.merge_reports(reports, now)
                return self.block(blocked, now)
            case events.UpstreamLeaving():
                self.directory.mark_leaving(event, now)
                return []
            case events.UpstreamsHeld():
                freed = self.directory.hold_upstreams(event, now)
                return [actions.ProbeUpstream(upstream) for upstream in freed]
            case events.ConfigurationOffered():
                return self.configure(event)
            case events.FleetSized(live_instances):
                self.admission.resize(live_instances)
                self.directory.set_live_instances(live_instances)
                self.limits.keeper.resize(live_instances, 0.0, now)
                return []
            case events.PeersKnown(peers):
                self.limits.update_peers(dict(peers), now)
                return []
            case events.PeerTold(incarnation, message):
                return self.peer_told(incarnation, message, now)
            case events.StopRequested():
                self.lifecycle.stop_requested()
                return [actions.Record('stopping', 'stop requested')]
            case events.PauseNoticed(seconds):
                return [
                    actions.Record('own-pause', f'{seconds:.3f} s'),
                    *self.streams.pause_noticed(now),
                ]
        return []

    def peer_told(
        self, incarnation: str, message: limits.Message, now: float
    ) -> list[actions.Action]:
        """Take in what another instance says about limits."""
        known = ''
        if isinstance(message, limits.LimitNews):
            name = upstream_limits.upstream_of_life(message.life)
            view = self.directory.views.get(name)
            known = view.incarnation if view else ''
        return self.limits.handle_peer_message(
            incarnation, message, known, now
        )

    # -- requests that crash engines ----------------------------------------

    def crashes_found(
        self, fingerprints_found: list[str], upstream: str, now: float
    ) -> list[actions.Action]:
        """Put crashes on the time line; stop what must not run any more."""
        told: list[actions.Action] = [
            actions.Record(
                'engine-crashed', f'fingerprint {one}', upstream=upstream
            )
            for one in fingerprints_found
        ]
        return told + self.block(fingerprints_found, now)

    def block(
        self, fingerprints_found: list[str], now: float
    ) -> list[actions.Action]:
        """Stop what runs of requests that must not run any more."""
        done: list[actions.Action] = []
        for fingerprint in fingerprints_found:
            if self.guard.records.is_blocked(fingerprint, now):
                why = f'fingerprint {fingerprint}'
                done.append(actions.Record('request-blocked', why))
                done += self.streams.block(fingerprint)
        return done

    # -- arrivals -----------------------------------------------------------

    def arrive(
        self, event: arrivals.Arrival, now: float
    ) -> list[actions.Action]:
        """Admit a request, let it wait, or refuse it at once."""
        request = event.request
        account = self.accounts.get(request.request.account)
        service = arrivals.resolve_service(self.configuration, request)
        refusal = self.refusal(event, account, service)
        if refusal is not None or account is None or service is None:
            truthful = arrivals.truthful_answer(refusal, event, service)
            return [actions.SendFailure(request.exchange, truthful)]
        until = self.guard.blocked_until(request, now)
        if until is not None:
            refusal = arrivals.not_run_failure(
                crash_guard.BLOCKED_NOT_RUN_CODE,
                f'service {service.name}',
                until - now,
            )
            truthful = arrivals.truthful_answer(refusal, event, service)
            return [actions.SendFailure(request.exchange, truthful)]
        ticket = arrivals.build_ticket(event, service, now)
        resumes = isinstance(event, events.GenerationResumed)
        refusal = self.admission.refusal(ticket, account, resumes, now)
        refusal = refusal or self.limit_refusal(ticket, now)
        if refusal is not None:
            truthful = arrivals.truthful_answer(refusal, event, service)
            return [actions.SendFailure(request.exchange, truthful)]
        self.admission.push(ticket)
        self.waiting[request.exchange] = (ticket, event)
        return []

    def limit_refusal(
        self, ticket: fair_queue.Ticket, now: float
    ) -> requests.Failure | None:
        """Return why the limits of upstreams leave no place for a request."""
        ahead = self.admission.waiting_before(ticket)
        wait = self.wait_for_limits(ticket, ahead, now)
        if now + wait <= min(ticket.deadline, ticket.start_by):
            return None
        detail = f'would have to wait for about {wait:.1f} s'
        return self.admission.not_run_failure(
            dispatching.LIMITED_CODE, detail, wait
        )

    def wait_for_limits(
        self, ticket: fair_queue.Ticket, ahead: int, now: float
    ) -> float:
        """Return how long limits keep a request with others ahead of it."""
        pool = self.configuration.find_pool(ticket.pool)
        names = (
            self.directory.upstreams_if_all_limited(pool, now) if pool else []
        )
        if not names:
            return 0.0
        return self.limits.estimate_wait_seconds(
            names, ticket.account, ahead, now
        )

    def refusal(
        self,
        event: arrivals.Arrival,
        account: configuration_state.ClientAccount | None,
        service: configuration_state.Service | None,
    ) -> requests.Failure | None:
        """Return why a request can't be taken now, or None."""
        if self.stopping:
            detail = 'this instance is stopping'
            return arrivals.not_run_failure('stopping', detail, 0.0)
        return arrivals.find_refusal(event, account, service)

    def queue_timer(self, exchange: int) -> list[actions.Action]:
        """Return the timer that ends the wait of a request, if it waits.

        Without it a caller would hear nothing past its deadline for as long
        as the upstreams stay busy.
        """
        if exchange not in self.waiting:
            return []
        ticket, _ = self.waiting[exchange]
        name = timers.timer_name(arrivals.QUEUE_TIMER, exchange)
        give_up_at = min(ticket.deadline, ticket.start_by)
        return [actions.SetTimer(name, give_up_at)]

    def start_waiting(self, now: float) -> list[actions.Action]:
        """Start waiting requests for which there is room.

        Tokens are by far the most frequent events, and free no place: where
        nothing has changed nothing is looked at.
        """
        if not (self.admission.recheck_needed or self.directory.room_changed):
            return []
        self.admission.recheck_needed = False
        self.directory.room_changed = False
        done = self.streams.recover_waiting(now)
        done += self.calls.go_on_waiting(now)
        for key in self.admission.queue_keys:
            done += self.start_queue(key, now)
        return done

    def start_queue(
        self, key: admission.QueueKey, now: float
    ) -> list[actions.Action]:
        """Start requests of one queue until there is no room for its next.

        Accounts at their limit are set aside. Were they waited for, all
        others of the queue would wait with engines free.
        """
        done: list[actions.Action] = []
        queue = self.admission.queues[key]
        while (ticket := queue.peek()) is not None:
            account = self.accounts.get(ticket.account)
            if account is not None and not self.admission.may_run(account):
                self.admission.park_account(ticket)
                continue
            started = self.start(ticket, account, now)
            if started is None:
                break
            done += started
        return done

    def start(
        self,
        ticket: fair_queue.Ticket,
        account: configuration_state.ClientAccount | None,
        now: float,
    ) -> list[actions.Action] | None:
        """Start a request, or return None where there is no room."""
        pool = self.configuration.find_pool(ticket.pool)
        event = self.waiting[ticket.exchange][1]
        service = arrivals.resolve_service(self.configuration, event.request)
        if account is None or pool is None or service is None:
            return self.refuse_waiting(ticket, 'service-withdrawn', None)
        if now + self.admission.expected_run_seconds(ticket) > ticket.deadline:
            wait = self.admission.expected_wait_seconds(ticket)
            return self.refuse_waiting(ticket, 'deadline-too-near', wait)
        if ticket.priority is configuration_state.Priority.LONG and (
            self.streams.recovers_in(pool)
        ):
            return None
        start_by = min(ticket.deadline, ticket.start_by)
        self.limits.requester = upstream_limits.PermitRequester(
            ticket.account, start_by
        )
        pool = self.directory.serving_pool(pool, ticket.priority, now)
        view = self.directory.choose_upstream(
            pool, set(), now, ticket.priority, arrivals.cache_prefix(event)
        )
        resumes = isinstance(event, events.GenerationResumed)
        if view is None and not resumes:
            wait = self.wait_for_limits(ticket, 0, now)
            if now + wait > start_by:
                code = dispatching.LIMITED_CODE
                return self.refuse_waiting(ticket, code, wait)
            return None
        del self.waiting[ticket.exchange]
        self.admission.start_ticket(ticket, account.weight, now)
        timer = timers.timer_name(arrivals.QUEUE_TIMER, ticket.exchange)
        done: list[actions.Action] = [actions.ClearTimer(timer)]
        if arrivals.needs_claim(event, service):
            if view is not None:
                name, exchange = view.upstream.name, ticket.exchange
                self.limits.reserve_permit(name, exchange, now)
            return done + self.claims.begin(event.request)
        match event:
            case events.GenerationSubmitted(request):
                done += self.streams.begin(request, service, pool, view, now)
            case events.GenerationResumed():
                done += self.streams.resume(event, service, pool, now)
            case events.CallSubmitted(call):
                done += self.calls.begin(call, service, pool, now)
        return done

    def begin_granted(
        self, request: claims.Claimable | None, now: float
    ) -> list[actions.Action]:
        """Dispatch a request whose claim this instance holds now."""
        if request is None:
            return []
        reserved_at = self.limits.unreserve_permit(request.exchange)
        if reserved_at:
            self.directory.mark_possible_room(reserved_at)
        service = arrivals.resolve_service(self.configuration, request)
        pool = self.configuration.find_pool(service.pool) if service else None
        if service is None or pool is None:
            failure = arrivals.not_run_failure(
                'service-withdrawn', request.service, None
            )
            return [actions.SendFailure(request.exchange, failure)]
        if isinstance(request, requests.CallRequest):
            return self.calls.begin(request, service, pool, now)
        self.limits.set_retry_requester(request.request.account, now)
        pool = self.directory.serving_pool(pool, service.priority, now)
        view = self.directory.choose_upstream(
            pool, set(), now, service.priority
        )
        if view is None:
            wait = self.claims.advice.record_failure()
            failure = arrivals.not_run_failure(
                'no-upstream', service.name, wait
            )
            return [actions.SendFailure(request.exchange, failure)]
        return self.streams.begin(request, service, pool, view, now)

    def refuse_waiting(
        self, ticket: fair_queue.Ticket, code: str, wait: float | None
    ) -> list[actions.Action]:
        """Refuse a request that can't start any more."""
        self.admission.discard(ticket)
        _, event = self.waiting.pop(ticket.exchange)
        request = event.request
        service = arrivals.resolve_service(self.configuration, request)
        timer = timers.timer_name(arrivals.QUEUE_TIMER, ticket.exchange)
        failure = arrivals.not_run_failure(code, ticket.pool, None)
        if wait is not None:
            failure = self.admission.not_run_failure(code, ticket.pool, wait)
        truthful = arrivals.truthful_answer(failure, event, service)
        return [
            actions.ClearTimer(timer),
            actions.SendFailure(ticket.exchange, truthful),
        ]

    def is_in_progress(self, exchange: int) -> bool:
        """Return whether a request still waits for its final answer."""
        return (
            exchange in self.streams.streams
            or exchange in self.calls.calls
            or self.claims.claiming(exchange) is not None
        )

    def release_finished(
        self, event: events.Event, done: list[actions.Action], now: float
    ) -> None:
        """Give back the places of requests that have ended.

        A request ends with a final answer, or without one after its caller
        has gone. Only these are looked at: a look at all that runs would be
        as dear as relaying the tokens.
        """
        if isinstance(event, events.CallerGone):
            self.abandoned.add(event.exchange)
        for action in done:
            if isinstance(action, FinalAnswer):
                self.release(action.exchange, tells_pace(action), now)
        for exchange in list(self.abandoned):
            if not self.is_in_progress(exchange):
                self.abandoned.discard(exchange)
                self.release(exchange, False, now)

    def release(self, exchange: int, completed: bool, now: float) -> None:
        """Give back the place of a request, if it has one and has ended."""
        if exchange not in self.running or self.is_in_progress(exchange):
            return
        self.claims.leave_taken(exchange)
        self.admission.finish_exchange(exchange, completed, now)

    # -- other events -------------------------------------------------------

    def caller_gone(self, exchange: int, now: float) -> list[actions.Action]:
        """Stop what nobody waits for."""
        if exchange in self.waiting:
            ticket, _ = self.waiting.pop(exchange)
            self.admission.discard(ticket)
            timer = timers.timer_name(arrivals.QUEUE_TIMER, exchange)
            return [actions.ClearTimer(timer)]
        return [
            *self.claims.caller_gone(exchange, now),
            *self.streams.caller_gone(exchange),
            *self.calls.caller_gone(exchange),
        ]

    def timer_fired(self, name: str, now: float) -> list[actions.Action]:
        """Pass a timer to the object that set it."""
        kind, _, rest = name.partition(':')
        match kind:
            case cancellations.CANCEL_TIMER:
                return self.cancels.timer_fired(name)
            case upstream_limits.LIMITS_TIMER:
                self.limits.handle_timer(now)
                return []
            case crash_guard.PROBE_TIMER:
                return self.guard.repeat_probe(rest)
            case arrivals.QUEUE_TIMER:
                return self.queued_too_long(int(rest), now)
            case claims.DEADLINE_TIMER | claims.SETTLE_TIMER:
                return self.claims.timer_fired(kind, rest, now)
            case dispatching.STALL_TIMER:
                return self.calls.stalled(int(rest), now)
            case dispatching.PERMIT_TIMER:
                return self.calls.permit_overdue(int(rest), now)
            case dispatching.OUTCOME_TIMER:
                return self.calls.outcome_ended(int(rest))
            case dispatching.DEADLINE_TIMER:
                return self.call_overdue(int(rest))
            case _:
                return self.streams.timer_fired(kind, int(rest), now)

    def call_overdue(self, exchange: int) -> list[actions.Action]:
        """Answer a caller at its deadline; its call may go on without it."""
        done = self.calls.deadline_passed(exchange)
        if self.calls.awaits_outcome(exchange):
            self.abandoned.add(exchange)
        return done

    def queued_too_long(
        self, exchange: int, now: float
    ) -> list[actions.Action]:
        """Give a request that still waits its final answer."""
        waiting = self.waiting.get(exchange)
        if waiting is None:
            return []
        ticket, _ = waiting
        wait = self.admission.expected_wait_seconds(ticket)
        code = 'deadline-passed' if now >= ticket.deadline else 'wait-too-long'
        return self.refuse_waiting(ticket, code, wait)

    def check_same(self, offered: configuration_state.Configuration) -> None:
        """Raise where two plans claim to have won the same version.

        One conditional write decides; instances that follow two winners
        would apply two configurations for as long as that version lasts.
        """
        current = self.configuration
        if offered.version != current.version:
            return
        if offered.confirmed_by != current.confirmed_by:
            raise errors.InvariantViolated(
                f'version {offered.version} was confirmed twice, by '
                f'{current.confirmed_by} and {offered.confirmed_by}'
            )

    def configure(
        self, event: events.ConfigurationOffered
    ) -> list[actions.Action]:
        """Apply a configuration, unless it is older than the one in force.

        A restored or lagging store hands out old copies; applying one would
        bring back what operators have already replaced.
        """
        offered = event.configuration
        if offered.version <= self.configuration.version:
            self.check_same(offered)
            return []
        self.configuration = offered
        self.lifecycle.configured()
        self.accounts = {a.name: a for a in offered.accounts}
        self.directory.apply_configuration(offered)
        self.streams.apply(offered)
        self.admission.keep_accounts(set(self.accounts))
        return [
            actions.Record(
                'configuration-applied',
                f'version {offered.version} from {event.source}',
            )
        ]


def tells_pace(answer: FinalAnswer) -> bool:
    """Return whether a request ran for as long as such requests take.

    Without those that ran into their deadline only the quick ones would be
    seen, and too many would be let in. One that has brought no token tells
    nothing: it may have failed everywhere, and kept no engine busy.
    """
    if not isinstance(answer, actions.SendFailure):
        return True
    failure = answer.failure
    in_progress = failure.ran is requests.Ran.YES
    return in_progress and failure.code == 'deadline-passed'
