"""The deterministic decision core of an instance.

``Node.handle`` takes an event and the monotonic time in seconds and returns
actions. It does no I/O, reads no clock and draws random numbers only from the
generator passed in, so the running process, the property-based tests and other
harnesses use the same object.
"""

import dataclasses
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
from greengagelb.coordination.fleet import upstream_statements
from greengagelb.coordination.sharing import admission
from greengagelb.coordination.sharing import arrivals
from greengagelb.coordination.sharing import crash_guard
from greengagelb.coordination.sharing import fair_queue
from greengagelb.coordination.sharing import fingerprints
from greengagelb.coordination.streams import cancellations
from greengagelb.coordination.streams import supervisor
from greengagelb.state import configuration as configuration_state
from greengagelb.state import limits
from greengagelb.state import requests


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamWait:
    """The seconds until upstreams take a request, and the code if too long."""

    seconds: float
    code: str


FinalAnswer = actions.SendEnd | actions.SendAnswer | actions.SendFailure


class Node:
    """The decision core of one instance.

    Invariants: the version of ``configuration`` never decreases; each
    exchange is either waiting, running or ended, and is counted once in
    admission control.
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
        self.statements = upstream_statements.UpstreamStatements(
            self.directory, rng
        )
        self.admission = admission.AdmissionControl(rng)
        self.account_by_name: dict[str, configuration_state.ClientAccount] = {}
        self.cancellation_supervisor = cancellations.CancellationSupervisor()
        self.guard = crash_guard.ProductCrashGuard()
        self.stream_supervisor = supervisor.StreamSupervisor(
            self.directory,
            self.cancellation_supervisor,
            incarnation,
            self.guard,
        )
        self.call_supervisor = dispatching.CallSupervisor(
            self.directory, rng, self.guard
        )
        self.claim_supervisor = claims.ClaimSupervisor(incarnation, rng)
        self.waiting_requests: dict[
            int, tuple[fair_queue.Ticket, arrivals.Arrival]
        ] = {}
        self.abandoned_exchanges: set[int] = set()
        self.progress = lifecycle.Progress()
        self.lifecycle = lifecycle.new_lifecycle(self.progress)

    @property
    def running(self) -> dict[int, admission.RunningRequest]:
        """Return the requests sent to upstreams, by exchange."""
        return self.admission.running

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        return self.progress.phase is lifecycle.Phase.SERVING

    @property
    def is_stopping(self) -> bool:
        """Return whether this instance is stopping or has stopped."""
        return self.progress.phase in lifecycle.ENDING_PHASES

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Return the actions that an event leads to at time ``now``."""
        planned = self.decide_event(event, now)
        planned += self.claim_supervisor.settle_answered_claims(planned, now)
        self.release_ended_requests(event, planned, now)
        for name in self.limits.process_permit_outcomes(now):
            self.directory.mark_possible_room(name)
        started = self.start_waiting_requests(now)
        self.release_ended_requests(event, started, now)
        planned += started
        has_waiting_work = bool(
            self.waiting_requests
            or self.stream_supervisor.stream_recovery.recovering_streams
            or self.call_supervisor.waiting_calls
        )
        self.limits.return_permits(has_waiting_work, now)
        planned += self.limits.pending_actions(now)
        if isinstance(event, arrivals.Arrival):
            planned += self.queue_timer(event.request.exchange)
        if self.progress.phase is lifecycle.Phase.STOPPING and self.is_idle:
            self.lifecycle.work_finished()
            planned.append(actions.FinishStopping())
        return planned

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in flight and no claim unsettled."""
        return not (
            self.running
            or self.waiting_requests
            or self.claim_supervisor.claim_by_holder
        )

    def apply_limit_answer(
        self, answer: upstream_limits.UpstreamAnswer | None, now: float
    ) -> list[actions.Action]:
        """Apply what an answer says about its upstream's limit."""
        if answer is None:
            return []
        view = self.directory.views.get(answer.upstream)
        known_incarnation = view.incarnation if view else ''
        return self.limits.handle_answer(answer, known_incarnation, now)

    def decide_event(
        self, event: events.Event, now: float
    ) -> list[actions.Action]:
        """Pass an event to the component that decides on it."""
        match event:
            case (
                events.GenerationSubmitted()
                | events.GenerationResumed()
                | events.CallSubmitted()
            ):
                return self.admit_request(event, now)
            case events.CallerGone(exchange):
                return self.handle_caller_gone(exchange, now)
            case events.AttemptAccepted():
                limit_actions = self.apply_limit_answer(
                    self.stream_supervisor.find_limit_answer(event), now
                )
                return (
                    limit_actions
                    + self.stream_supervisor.handle_attempt_accepted(
                        event, now
                    )
                )
            case events.TokensArrived():
                return self.stream_supervisor.handle_tokens(event, now)
            case events.AttemptEnded():
                return self.stream_supervisor.handle_attempt_ended(event, now)
            case events.AttemptRefused():
                limit_actions = self.apply_limit_answer(
                    self.stream_supervisor.find_limit_answer(event), now
                )
                return (
                    limit_actions
                    + self.stream_supervisor.handle_attempt_refused(event, now)
                )
            case events.AttemptFailed():
                limit_actions = self.apply_limit_answer(
                    self.stream_supervisor.find_limit_answer(event), now
                )
                return (
                    limit_actions
                    + self.stream_supervisor.handle_attempt_failed(event, now)
                )
            case events.AttemptBroken():
                return self.stream_supervisor.handle_attempt_broken(event, now)
            case events.AttemptCancelled(attempt):
                return self.cancellation_supervisor.handle_confirmation(
                    attempt
                )
            case events.CancelFailed(attempt):
                return self.cancellation_supervisor.schedule_retry(
                    attempt, now
                )
            case (
                events.ClaimWritten()
                | events.ClaimConflicted()
                | events.ClaimWriteFailed()
            ):
                step = self.claim_supervisor.handle_write_result(event, now)
                return step.actions + self.start_granted_request(
                    step.granted_request, now
                )
            case events.CallAnswered() | events.CallBroken():
                limit_actions = self.apply_limit_answer(
                    self.call_supervisor.find_limit_answer(event), now
                )
                return limit_actions + self.handle_try_end(event, now)
            case events.TimerFired(name):
                return self.handle_timer(name, now)
            case _:
                return self.decide_fleet_event(event, now)

    def handle_try_end(
        self, event: events.CallAnswered | events.CallBroken, now: float
    ) -> list[actions.Action]:
        """Handle the end of one try of a call."""
        match event:
            case events.CallAnswered(exchange, status, body):
                if self.call_supervisor.is_awaiting_outcome(exchange):
                    settled = self.claim_supervisor.settle_with_answer(
                        exchange, status, body, now
                    )
                    return (
                        settled
                        + self.call_supervisor.stop_awaiting_outcome(exchange)
                    )
                return self.call_supervisor.handle_answer(event, now)
            case events.CallBroken(exchange, handed_over=handed_over):
                if self.call_supervisor.is_awaiting_outcome(exchange):
                    ended = self.call_supervisor.stop_awaiting_outcome(
                        exchange
                    )
                    if handed_over:
                        return ended
                    return ended + self.claim_supervisor.release_unrun_request(
                        exchange, now
                    )
                return self.call_supervisor.handle_broken_try(event, now)

    def decide_fleet_event(
        self, event: events.Event, now: float
    ) -> list[actions.Action]:
        """Decide on an event that concerns no single request."""
        match event:
            case events.UpstreamReported():
                crashed = self.guard.handle_report(event, now)
                self.limits.reset_for_incarnation(
                    event.engine.name, event.engine.incarnation
                )
                self.directory.apply_report(event, now)
                return [
                    *self.report_crashes(crashed, event.engine.name, now),
                    *self.cancellation_supervisor.handle_engine_report(
                        event.engine
                    ),
                    *self.stream_supervisor.handle_engine_report(event, now),
                ]
            case events.UpstreamStated():
                return self.statements.handle_statement(event, now)
            case events.PeerLoadsReceived(loads):
                self.directory.apply_peer_loads(loads, now)
                return []
            case events.EngineCacheChanged():
                self.directory.apply_cache_event(event)
                return []
            case events.UpstreamUnreachable(name):
                self.directory.mark_suspected(name, now)
                crashed = self.guard.handle_unreachable(event, now)
                return [
                    *self.report_crashes(crashed, name, now),
                    *self.guard.schedule_probe(event, now),
                ]
            case events.CrashReportsReceived(reports):
                blocked = self.guard.merge_reports(reports, now)
                return self.stop_blocked_requests(blocked, now)
            case events.UpstreamLeaving():
                self.directory.mark_leaving(event, now)
                return []
            case events.UpstreamsHeld():
                freed = self.directory.hold_upstreams(event, now)
                return [actions.ProbeUpstream(upstream) for upstream in freed]
            case events.ConfigurationOffered():
                return self.apply_configuration(event)
            case events.FleetSizeChanged(live_instances):
                self.admission.set_instance_count(live_instances)
                self.directory.set_live_instances(live_instances)
                self.limits.keeper.set_instance_count(live_instances, 0.0, now)
                return []
            case events.PeersChanged(peers):
                self.limits.update_peers(dict(peers), now)
                return []
            case events.PeerMessageReceived(incarnation, message):
                return self.handle_peer_message(incarnation, message, now)
            case events.StopRequested():
                self.lifecycle.stop_requested()
                return [actions.Record('stopping', 'stop requested')]
            case events.PauseDetected(seconds):
                return [
                    actions.Record('own-pause', f'{seconds:.3f} s'),
                    *self.stream_supervisor.reset_stall_timers(now),
                ]
        return []

    def handle_peer_message(
        self, incarnation: str, message: limits.Message, now: float
    ) -> list[actions.Action]:
        """Apply a message of another instance about limits."""
        known_incarnation = ''
        if isinstance(message, limits.LimitUpdate):
            name = upstream_limits.upstream_of_life(message.life)
            view = self.directory.views.get(name)
            known_incarnation = view.incarnation if view else ''
        return self.limits.handle_peer_message(
            incarnation, message, known_incarnation, now
        )

    def report_crashes(
        self, fingerprints_found: list[str], upstream: str, now: float
    ) -> list[actions.Action]:
        """Record engine crashes; stop requests that are blocked for them."""
        recorded: list[actions.Action] = [
            actions.Record(
                'engine-crashed',
                f'fingerprint {fingerprint}',
                upstream=upstream,
            )
            for fingerprint in fingerprints_found
            if not fingerprints.is_account(fingerprint)
        ]
        return recorded + self.stop_blocked_requests(fingerprints_found, now)

    def stop_blocked_requests(
        self, fingerprints_found: list[str], now: float
    ) -> list[actions.Action]:
        """Stop the streams of requests that are blocked from now on."""
        planned: list[actions.Action] = [
            actions.Record('request-blocked', f'fingerprint {fingerprint}')
            for fingerprint in fingerprints_found
            if self.guard.records.is_blocked(fingerprint, now)
        ]
        if not planned:
            return []
        return planned + self.stream_supervisor.stop_blocked_streams(now)

    def admit_request(
        self, event: arrivals.Arrival, now: float
    ) -> list[actions.Action]:
        """Queue a request, or refuse it at once."""
        request = event.request
        account = self.account_by_name.get(request.request.account)
        service = arrivals.resolve_service(self.configuration, request)
        refusal = self.find_refusal(event, account, service)
        if refusal is not None or account is None or service is None:
            failure_to_send = arrivals.truthful_answer(refusal, event, service)
            return [actions.SendFailure(request.exchange, failure_to_send)]
        blocked_until = self.guard.refused_until(request, now)
        if blocked_until is not None:
            refusal = arrivals.not_run_failure(
                crash_guard.BLOCKED_NOT_RUN_CODE,
                f'service {service.name}',
                blocked_until - now,
            )
            failure_to_send = arrivals.truthful_answer(refusal, event, service)
            return [actions.SendFailure(request.exchange, failure_to_send)]
        ticket = arrivals.build_ticket(event, service, now)
        resumes = isinstance(event, events.GenerationResumed)
        refusal = self.admission.refusal(ticket, account, resumes, now)
        refusal = refusal or self.find_upstream_refusal(ticket, now)
        if refusal is not None:
            failure_to_send = arrivals.truthful_answer(refusal, event, service)
            return [actions.SendFailure(request.exchange, failure_to_send)]
        self.admission.push(ticket)
        self.waiting_requests[request.exchange] = (ticket, event)
        return []

    def find_upstream_refusal(
        self, ticket: fair_queue.Ticket, now: float
    ) -> requests.Failure | None:
        """Return a refusal if upstreams delay a request for too long."""
        ahead_count = self.admission.waiting_before(ticket)
        wait = self.wait_for_upstreams(ticket, ahead_count, now)
        if now + wait.seconds <= min(ticket.deadline, ticket.start_by):
            return None
        detail = f'would have to wait for about {wait.seconds:.1f} s'
        return self.admission.refuse_with_jitter(
            wait.code, detail, wait.seconds
        )

    def wait_for_upstreams(
        self, ticket: fair_queue.Ticket, ahead_count: int, now: float
    ) -> UpstreamWait:
        """Return how long limits or rests delay a request behind others."""
        limited = self.limit_wait_seconds(ticket, ahead_count, now)
        pool = self.configuration.find_pool(ticket.pool)
        resting = self.directory.rest_wait_seconds(pool, now) if pool else 0.0
        if resting > limited:
            return UpstreamWait(resting, dispatching.RESTING_CODE)
        return UpstreamWait(limited, dispatching.LIMITED_CODE)

    def limit_wait_seconds(
        self, ticket: fair_queue.Ticket, ahead_count: int, now: float
    ) -> float:
        """Return the seconds that limits delay a request behind others."""
        pool = self.configuration.find_pool(ticket.pool)
        names = (
            self.directory.upstreams_if_all_limited(pool, now) if pool else []
        )
        if not names:
            return 0.0
        return self.limits.estimate_wait_seconds(
            names, ticket.account, ahead_count, now
        )

    def find_refusal(
        self,
        event: arrivals.Arrival,
        account: configuration_state.ClientAccount | None,
        service: configuration_state.Service | None,
    ) -> requests.Failure | None:
        """Return why a request can't be accepted now, or None."""
        if self.is_stopping:
            detail = 'this instance is stopping'
            return arrivals.not_run_failure('stopping', detail, 0.0)
        return arrivals.find_refusal(event, account, service)

    def queue_timer(self, exchange: int) -> list[actions.Action]:
        """Return the timer that ends the wait of a request, if it waits.

        Without it a caller would get no answer at its deadline while the
        upstreams are busy.
        """
        if exchange not in self.waiting_requests:
            return []
        ticket, _ = self.waiting_requests[exchange]
        name = timers.timer_name(arrivals.QUEUE_TIMER, exchange)
        give_up_at = min(ticket.deadline, ticket.start_by)
        return [actions.SetTimer(name, give_up_at)]

    def start_waiting_requests(self, now: float) -> list[actions.Action]:
        """Start the waiting requests for which there is capacity.

        Tokens are by far the most frequent events and free no capacity, so
        nothing is checked unless admission or the directory has changed.
        """
        if not (self.admission.recheck_needed or self.directory.room_changed):
            return []
        self.admission.recheck_needed = False
        self.directory.room_changed = False
        planned = self.stream_supervisor.retry_recovering_streams(now)
        planned += self.call_supervisor.dispatch_waiting_calls(now)
        for key in self.admission.queue_keys:
            planned += self.start_queued_requests(key, now)
        return planned

    def start_queued_requests(
        self, key: admission.QueueKey, now: float
    ) -> list[actions.Action]:
        """Start requests of one queue until the next one does not fit.

        Accounts at their limit are parked. If the queue waited for them, all
        other accounts would wait although engines are free.
        """
        planned: list[actions.Action] = []
        queue = self.admission.queues[key]
        while (ticket := queue.peek()) is not None:
            account = self.account_by_name.get(ticket.account)
            if account is not None and not self.admission.may_run(account):
                self.admission.park_account(ticket)
                continue
            started = self.start_request(ticket, account, now)
            if started is None:
                break
            planned += started
        return planned

    def start_request(
        self,
        ticket: fair_queue.Ticket,
        account: configuration_state.ClientAccount | None,
        now: float,
    ) -> list[actions.Action] | None:
        """Start a request, or return None if there is no capacity for it."""
        pool = self.configuration.find_pool(ticket.pool)
        event = self.waiting_requests[ticket.exchange][1]
        service = arrivals.resolve_service(self.configuration, event.request)
        if account is None or pool is None or service is None:
            return self.refuse_waiting_request(
                ticket, 'service-withdrawn', None
            )
        if now + self.admission.expected_run_seconds(ticket) > ticket.deadline:
            wait_seconds = self.admission.expected_wait_seconds(ticket)
            return self.refuse_waiting_request(
                ticket, 'deadline-too-near', wait_seconds
            )
        if ticket.priority is configuration_state.Priority.LONG and (
            self.stream_supervisor.has_recovering_stream_in(pool)
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
            wait = self.wait_for_upstreams(ticket, 0, now)
            if now + wait.seconds > start_by:
                return self.refuse_waiting_request(
                    ticket, wait.code, wait.seconds
                )
            return None
        del self.waiting_requests[ticket.exchange]
        self.admission.start_ticket(ticket, account.weight, now)
        timer = timers.timer_name(arrivals.QUEUE_TIMER, ticket.exchange)
        planned: list[actions.Action] = [actions.ClearTimer(timer)]
        if arrivals.needs_claim(event, service):
            if view is not None:
                name, exchange = view.upstream.name, ticket.exchange
                self.limits.reserve_permit(name, exchange, now)
            return planned + self.claim_supervisor.start_claim(event.request)
        match event:
            case events.GenerationSubmitted(request):
                planned += self.stream_supervisor.start_stream(
                    request, service, pool, view, now
                )
            case events.GenerationResumed():
                planned += self.stream_supervisor.resume_stream(
                    event, service, pool, now
                )
            case events.CallSubmitted(call):
                planned += self.call_supervisor.start_call(
                    call, service, pool, now
                )
        return planned

    def start_granted_request(
        self, request: claims.Claimable | None, now: float
    ) -> list[actions.Action]:
        """Start a request whose claim this instance now holds."""
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
            return self.call_supervisor.start_call(request, service, pool, now)
        self.limits.set_retry_requester(request.request.account, now)
        pool = self.directory.serving_pool(pool, service.priority, now)
        view = self.directory.choose_upstream(
            pool, set(), now, service.priority
        )
        if view is None:
            wait_seconds = self.claim_supervisor.retry_advice.record_failure()
            failure = arrivals.not_run_failure(
                'no-upstream', service.name, wait_seconds
            )
            return [actions.SendFailure(request.exchange, failure)]
        return self.stream_supervisor.start_stream(
            request, service, pool, view, now
        )

    def refuse_waiting_request(
        self, ticket: fair_queue.Ticket, code: str, wait_seconds: float | None
    ) -> list[actions.Action]:
        """Refuse a queued request that can no longer start."""
        self.admission.discard(ticket)
        _, event = self.waiting_requests.pop(ticket.exchange)
        request = event.request
        service = arrivals.resolve_service(self.configuration, request)
        timer = timers.timer_name(arrivals.QUEUE_TIMER, ticket.exchange)
        failure = arrivals.not_run_failure(code, ticket.pool, None)
        if wait_seconds is not None:
            failure = self.admission.refuse_with_jitter(
                code, ticket.pool, wait_seconds
            )
        failure_to_send = arrivals.truthful_answer(failure, event, service)
        return [
            actions.ClearTimer(timer),
            actions.SendFailure(ticket.exchange, failure_to_send),
        ]

    def is_in_progress(self, exchange: int) -> bool:
        """Return whether a request still waits for its final answer."""
        return (
            exchange in self.stream_supervisor.streams
            or exchange in self.call_supervisor.calls
            or self.claim_supervisor.find_pending_claim(exchange) is not None
        )

    def release_ended_requests(
        self, event: events.Event, planned: list[actions.Action], now: float
    ) -> None:
        """Release the capacity of requests that have ended.

        A request ends with a final answer, or without one after its caller
        has disconnected. Only these are checked: checking all running
        requests would cost as much as forwarding the tokens.
        """
        if isinstance(event, events.CallerGone):
            self.abandoned_exchanges.add(event.exchange)
        for action in planned:
            if isinstance(action, FinalAnswer):
                self.release_request(
                    action.exchange, has_typical_duration(action), now
                )
        for exchange in list(self.abandoned_exchanges):
            if not self.is_in_progress(exchange):
                self.abandoned_exchanges.discard(exchange)
                self.release_request(exchange, False, now)

    def release_request(
        self, exchange: int, is_completed: bool, now: float
    ) -> None:
        """Release a request's capacity, if it holds any and has ended."""
        if exchange not in self.running or self.is_in_progress(exchange):
            return
        self.claim_supervisor.leave_row_taken(exchange)
        self.admission.finish_exchange(exchange, is_completed, now)

    def handle_caller_gone(
        self, exchange: int, now: float
    ) -> list[actions.Action]:
        """Stop the work for a caller that has disconnected."""
        if exchange in self.waiting_requests:
            ticket, _ = self.waiting_requests.pop(exchange)
            self.admission.discard(ticket)
            timer = timers.timer_name(arrivals.QUEUE_TIMER, exchange)
            return [actions.ClearTimer(timer)]
        return [
            *self.claim_supervisor.handle_caller_gone(exchange, now),
            *self.stream_supervisor.handle_caller_gone(exchange),
            *self.call_supervisor.handle_caller_gone(exchange),
        ]

    def handle_timer(self, name: str, now: float) -> list[actions.Action]:
        """Pass a timer to the component that set it."""
        kind, _, timer_key = name.partition(':')
        match kind:
            case cancellations.CANCEL_TIMER:
                return self.cancellation_supervisor.handle_timer(name)
            case upstream_limits.LIMITS_TIMER:
                self.limits.handle_timer(now)
                return []
            case upstream_statements.REST_TIMER:
                return self.statements.end_rest(timer_key)
            case crash_guard.PROBE_TIMER:
                return self.guard.repeat_probe(timer_key)
            case arrivals.QUEUE_TIMER:
                return self.handle_queue_timeout(int(timer_key), now)
            case claims.DEADLINE_TIMER | claims.SETTLE_TIMER:
                return self.claim_supervisor.handle_timer(kind, timer_key, now)
            case dispatching.STALL_TIMER:
                return self.call_supervisor.handle_stall(int(timer_key), now)
            case dispatching.PERMIT_TIMER:
                return self.call_supervisor.handle_permit_timeout(
                    int(timer_key), now
                )
            case dispatching.OUTCOME_TIMER:
                return self.call_supervisor.stop_awaiting_outcome(
                    int(timer_key)
                )
            case dispatching.DEADLINE_TIMER:
                return self.handle_call_deadline(int(timer_key))
            case _:
                return self.stream_supervisor.handle_timer(
                    kind, int(timer_key), now
                )

    def handle_call_deadline(self, exchange: int) -> list[actions.Action]:
        """Fail a call at its deadline; it may run on to get its outcome."""
        planned = self.call_supervisor.handle_deadline(exchange)
        if self.call_supervisor.is_awaiting_outcome(exchange):
            self.abandoned_exchanges.add(exchange)
        return planned

    def handle_queue_timeout(
        self, exchange: int, now: float
    ) -> list[actions.Action]:
        """Refuse a request that has waited in the queue for too long."""
        waiting = self.waiting_requests.get(exchange)
        if waiting is None:
            return []
        ticket, _ = waiting
        wait_seconds = self.admission.expected_wait_seconds(ticket)
        code = 'deadline-passed' if now >= ticket.deadline else 'wait-too-long'
        return self.refuse_waiting_request(ticket, code, wait_seconds)

    def check_confirmed_once(
        self, offered: configuration_state.Configuration
    ) -> None:
        """Raise InvariantViolated if two plans confirmed the same version.

        A single conditional write confirms a version. If two plans won, the
        instances would apply different configurations as long as that
        version is in force.
        """
        current = self.configuration
        if offered.version != current.version:
            return
        if offered.confirmed_by != current.confirmed_by:
            raise errors.InvariantViolated(
                f'version {offered.version} was confirmed twice, by '
                f'{current.confirmed_by} and {offered.confirmed_by}'
            )

    def apply_configuration(
        self, event: events.ConfigurationOffered
    ) -> list[actions.Action]:
        """Apply a configuration, unless it is older than the one in force.

        A restored or lagging store returns old copies; applying one would
        revert changes that operators have made since.
        """
        offered = event.configuration
        if offered.version <= self.configuration.version:
            self.check_confirmed_once(offered)
            return []
        self.configuration = offered
        self.lifecycle.configuration_applied()
        self.account_by_name = {a.name: a for a in offered.accounts}
        self.directory.apply_configuration(offered)
        self.stream_supervisor.apply_configuration(offered)
        self.admission.keep_accounts(set(self.account_by_name))
        return [
            actions.Record(
                'configuration-applied',
                f'version {offered.version} from {event.source}',
            )
        ]


def has_typical_duration(answer: FinalAnswer) -> bool:
    """Return whether a request's duration is a valid sample for estimates.

    Requests that reached their deadline count, since otherwise only quick ones
    would be sampled and too many requests admitted. One that delivered no
    token does not: it may have failed everywhere and kept no engine busy.
    """
    if not isinstance(answer, actions.SendFailure):
        return True
    failure = answer.failure
    in_progress = failure.ran is requests.Ran.YES
    return in_progress and failure.code == 'deadline-passed'
