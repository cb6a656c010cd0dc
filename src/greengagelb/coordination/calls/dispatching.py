"""Dispatches calls to plain services, non-idempotent ones at most once.

A non-idempotent call with an idempotency key gets here only after its claim
was granted (see :mod:`greengagelb.coordination.calls.claims`). It is
dispatched again only if the previous dispatch is known not to have run.

An idempotent call without an answer is hedged by another try in parallel,
since the connection of the first may be dead; the first answer is used.
"""

import dataclasses
import random

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.fleet import routing
from greengagelb.coordination.fleet import upstream_limits
from greengagelb.coordination.sharing import crash_guard
from greengagelb.coordination.sharing import retry_budget
from greengagelb.state import configuration as configuration_state
from greengagelb.state import requests

MAX_DISPATCHES = 3
LIMITED_CODE = 'upstreams-limited'
RESTING_CODE = 'upstreams-resting'
DEADLINE_TIMER = 'call-deadline'
OUTCOME_TIMER = 'call-outcome'
STALL_TIMER = 'call-stall'
PERMIT_TIMER = 'call-permit'
OUTCOME_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class Call:
    """A call in progress.

    ``tries_in_flight`` holds the upstream of each try that has not ended,
    ``began_at`` the start of each try in monotonic seconds.
    ``may_have_run`` stays true once bytes of any dispatch may have reached a
    service, whatever happens to later dispatches. ``is_caller_answered`` is
    set once the caller has its final answer and only the outcome is awaited.
    ``permit_deadline`` (monotonic seconds) ends the wait for an upstream whose
    limit is reached.
    Invariant: a non-idempotent call that may have run is not dispatched
    again, nor is one whose caller was answered.
    """

    request: requests.CallRequest
    service: configuration_state.Service
    pool: configuration_state.Pool
    tries_in_flight: dict[int, configuration_state.Upstream] = (
        dataclasses.field(default_factory=dict)
    )
    began_at: dict[int, float] = dataclasses.field(default_factory=dict)
    dispatches: int = 0
    may_have_run: bool = False
    is_caller_answered: bool = False
    excluded: set[str] = dataclasses.field(default_factory=set)
    permit_deadline: float | None = None

    @property
    def ran(self) -> requests.Ran:
        """Return what is known of a call without an answer."""
        if self.may_have_run or self.tries_in_flight:
            return requests.Ran.UNKNOWN
        return requests.Ran.NO


class CallSupervisor:
    """Makes the decisions about all calls in progress of an instance.

    ``waiting_calls`` holds calls that wait because the limits of all
    upstreams are reached.
    """

    def __init__(
        self,
        directory: routing.UpstreamDirectory,
        rng: random.Random,
        guard: crash_guard.ProductCrashGuard,
    ) -> None:
        self.directory = directory
        self.guard = guard
        self.retry_budget = retry_budget.AccountRetryBudget()
        self.retry_advice = retry_budget.RetryAdvice(rng)
        self.calls: dict[int, Call] = {}
        self.waiting_calls: dict[int, Call] = {}

    def start_call(
        self,
        request: requests.CallRequest,
        service: configuration_state.Service,
        pool: configuration_state.Pool,
        now: float,
    ) -> list[actions.Action]:
        """Register a call, set its deadline timer and dispatch it."""
        call = Call(request, service, pool)
        self.calls[request.exchange] = call
        self.retry_budget.count_first_attempt(request.request.account)
        timer = f'{DEADLINE_TIMER}:{request.exchange}'
        return [
            actions.SetTimer(timer, request.deadline),
            *self.dispatch_call(call, now),
        ]

    def find_limit_answer(
        self, event: events.Event
    ) -> upstream_limits.UpstreamAnswer | None:
        """Return what an event says about its upstream's limit, if any."""
        match event:
            case events.CallAnswered(said=said) | events.CallBroken(said=said):
                call = self.calls.get(event.exchange)
            case _:
                return None
        try_number = event.try_number
        if (
            said is None
            or call is None
            or try_number not in call.tries_in_flight
        ):
            return None
        name = call.tries_in_flight[try_number].name
        return upstream_limits.UpstreamAnswer(
            name, call.began_at[try_number], said
        )

    def dispatch_call(self, call: Call, now: float) -> list[actions.Action]:
        """Start a try at a suitable upstream, or wait for one, or fail."""
        if call.is_caller_answered or (
            call.may_have_run and not call.service.idempotent
        ):
            raise errors.InvariantViolated(
                'a second dispatch could run the call twice'
            )
        if now >= call.request.deadline:
            return self.fail_call(call, 'deadline-passed', None)
        account = call.request.request.account
        self.directory.limits.set_retry_requester(account, now)
        view = self.directory.choose_upstream(
            call.pool, call.excluded, now, call.service.priority
        )
        if view is None:
            return self.wait_for_permit(call, now)
        return self.start_try(call, view.upstream, now)

    def wait_for_permit(self, call: Call, now: float) -> list[actions.Action]:
        """Wait for an upstream whose limit is reached now, or fail."""
        exchange = call.request.exchange
        limited = self.directory.upstreams_if_all_limited(call.pool, now)
        names = [name for name in limited if name not in call.excluded]
        rest_seconds = self.directory.rest_wait_seconds(call.pool, now)
        if rest_seconds and not call.may_have_run:
            return self.fail_call(
                call,
                RESTING_CODE,
                self.retry_advice.delay_until_available(rest_seconds),
            )
        if not names:
            return self.fail_call(
                call, 'no-upstream', self.retry_advice.record_failure()
            )
        if call.permit_deadline is None:
            patience_seconds = upstream_limits.RETRY_PERMIT_WAIT_SECONDS
            call.permit_deadline = min(
                call.request.deadline, now + patience_seconds
            )
        if now >= call.permit_deadline:
            code = 'upstream-lost' if call.may_have_run else LIMITED_CODE
            account = call.request.request.account
            wait_seconds = self.directory.limits.estimate_wait_seconds(
                names, account, 0, now
            )
            return self.fail_call(
                call, code, self.retry_advice.add_jitter(wait_seconds)
            )
        self.waiting_calls[exchange] = call
        timer = f'{PERMIT_TIMER}:{exchange}'
        return [actions.SetTimer(timer, call.permit_deadline)]

    def dispatch_waiting_calls(self, now: float) -> list[actions.Action]:
        """Dispatch the waiting calls again, as limits may allow them now."""
        waiting, self.waiting_calls = self.waiting_calls, {}
        planned: list[actions.Action] = []
        for call in waiting.values():
            planned += self.dispatch_call(call, now)
        return planned

    def handle_permit_timeout(
        self, exchange: int, now: float
    ) -> list[actions.Action]:
        """Make a last attempt to dispatch a waiting call."""
        call = self.waiting_calls.pop(exchange, None)
        return self.dispatch_call(call, now) if call is not None else []

    def start_try(
        self,
        call: Call,
        upstream: configuration_state.Upstream,
        now: float,
    ) -> list[actions.Action]:
        """Start one more try at an upstream."""
        exchange = call.request.exchange
        call.dispatches += 1
        try_number = call.dispatches
        call.tries_in_flight[try_number] = upstream
        call.began_at[try_number] = now
        self.directory.add_in_flight(upstream.name)
        self.directory.limits.spend_permit(upstream.name, now)
        planned: list[actions.Action] = [
            self.timeline(
                call, 'call-dispatched', f'try {try_number}', upstream.name
            ),
            actions.DispatchCall(exchange, upstream, call.request, try_number),
        ]
        if call.service.idempotent:
            stall_at = now + call.service.recovery.most_stall
            timer = f'{STALL_TIMER}:{exchange}'
            planned.append(actions.SetTimer(timer, stall_at))
        return planned

    def handle_stall(self, exchange: int, now: float) -> list[actions.Action]:
        """Start a hedging try of a silent idempotent call.

        A connection can be dead while new ones work, which can't be told
        from a slow service. The earlier tries are therefore kept: one of
        them may still answer first.
        """
        call = self.calls.get(exchange)
        if (
            call is None
            or not call.tries_in_flight
            or not call.service.idempotent
        ):
            return []
        if self.guard.must_not_run(call.request, now) or not self.spend_retry(
            call
        ):
            return []
        account = call.request.request.account
        self.directory.limits.set_retry_requester(account, now)
        tried_names = {
            upstream.name for upstream in call.tries_in_flight.values()
        }
        priority = call.service.priority
        view = self.directory.choose_upstream(
            call.pool, call.excluded | tried_names, now, priority
        ) or self.directory.choose_upstream(
            call.pool, call.excluded, now, priority
        )
        if view is None:
            return []
        return self.start_try(call, view.upstream, now)

    def handle_answer(
        self, event: events.CallAnswered, now: float
    ) -> list[actions.Action]:
        """Send the answer to the caller and close the call.

        Upstreams still silent when another one answers are suspected;
        otherwise every later call would wait for them as long.
        """
        call = self.calls.get(event.exchange)
        upstream = self.end_try(call, event.try_number) if call else None
        if call is None or upstream is None:
            return []
        self.retry_advice.record_success()
        self.guard.record_survival(call.request, now)
        for silent in call.tries_in_flight.values():
            if silent.name != upstream.name:
                self.directory.mark_suspected(silent.name, now)
        return [
            actions.SendAnswer(event.exchange, event.status, event.body),
            *self.close_call(call),
        ]

    def handle_broken_try(
        self, event: events.CallBroken, now: float
    ) -> list[actions.Action]:
        """Repeat the call elsewhere if that is safe; otherwise fail it."""
        call = self.calls.get(event.exchange)
        upstream = self.end_try(call, event.try_number) if call else None
        if call is None or upstream is None:
            return []
        if event.handed_over or not self.directory.wants_no_requests(
            upstream.name, now
        ):
            self.directory.mark_suspected(upstream.name, now)
        call.excluded.add(upstream.name)
        call.may_have_run = call.may_have_run or event.handed_over
        planned: list[actions.Action] = []
        if event.handed_over:
            planned = self.request_crash_check(
                call, upstream, event.try_number, now
            )
        if call.tries_in_flight:
            return planned
        if self.guard.must_not_run(call.request, now):
            return planned + self.fail_call(
                call, crash_guard.BLOCKED_RAN_CODE, None
            )
        if self.spend_retry(call):
            return planned + self.dispatch_call(call, now)
        return planned + self.fail_call(
            call, 'upstream-lost', self.retry_advice.record_failure()
        )

    def request_crash_check(
        self,
        call: Call,
        upstream: configuration_state.Upstream,
        try_number: int,
        now: float,
    ) -> list[actions.Action]:
        """Have the crash guard check whether an upstream has crashed."""
        view = self.directory.views.get(upstream.name)
        incarnation = view.incarnation if view else ''
        return self.guard.suspect_upstream(
            call.request, upstream, incarnation, call.began_at[try_number], now
        )

    def spend_retry(self, call: Call) -> bool:
        """Return whether a retry is allowed, spending it from the budget."""
        if call.may_have_run and not call.service.idempotent:
            return False
        if call.dispatches >= MAX_DISPATCHES:
            return False
        return self.retry_budget.take_retry(call.request.request.account)

    def handle_deadline(self, exchange: int) -> list[actions.Action]:
        """Fail the call at the caller's deadline.

        A claimed call in flight is kept for ``OUTCOME_TIMEOUT_SECONDS`` more.
        If it were abandoned now, its outcome would never be known, and every
        retry of a completed call would get "outcome unknown".
        """
        call = self.calls.get(exchange)
        if call is None or call.is_caller_answered:
            return []
        if not call.tries_in_flight or not is_claimed(call):
            return [
                actions.AbandonCall(exchange),
                *self.fail_call(call, 'deadline-passed', None),
            ]
        call.is_caller_answered = True
        give_up_at = call.request.deadline + OUTCOME_TIMEOUT_SECONDS
        return [
            *self.send_failure(
                call, 'deadline-passed', self.retry_advice.add_jitter(1.0)
            ),
            actions.SetTimer(f'{OUTCOME_TIMER}:{exchange}', give_up_at),
        ]

    def is_awaiting_outcome(self, exchange: int) -> bool:
        """Return whether only the outcome of a call is awaited."""
        call = self.calls.get(exchange)
        return call is not None and call.is_caller_answered

    def stop_awaiting_outcome(self, exchange: int) -> list[actions.Action]:
        """Stop waiting for the outcome of a call and close it."""
        call = self.calls.get(exchange)
        if call is None:
            return []
        return [actions.AbandonCall(exchange), *self.close_call(call)]

    def handle_caller_gone(self, exchange: int) -> list[actions.Action]:
        """Close a call that was not dispatched; let others run to the end.

        A call that may have run is not abandoned: its outcome still has to be
        stored for the retry that is likely to follow.
        """
        call = self.calls.get(exchange)
        if call is None or call.dispatches:
            return []
        return self.close_call(call)

    def fail_call(
        self,
        call: Call,
        code: str,
        retry_after: float | None,
    ) -> list[actions.Action]:
        """Send the caller a final failure and close the call."""
        return [
            *self.send_failure(call, code, retry_after),
            *self.close_call(call),
        ]

    def send_failure(
        self, call: Call, code: str, retry_after: float | None
    ) -> list[actions.Action]:
        """Return the actions that send the caller a final failure."""
        failure = requests.Failure(
            code, call.ran, f'service {call.service.name}', retry_after
        )
        return [
            self.timeline(call, 'call-failed', code),
            actions.SendFailure(call.request.exchange, failure),
        ]

    def close_call(self, call: Call) -> list[actions.Action]:
        """Remove a call, its tries and its timers."""
        exchange = call.request.exchange
        planned: list[actions.Action] = []
        if call.tries_in_flight:
            planned.append(actions.AbandonCall(exchange))
        for try_number in list(call.tries_in_flight):
            self.end_try(call, try_number)
        self.calls.pop(exchange, None)
        if self.waiting_calls.pop(exchange, None) is not None:
            planned.append(actions.ClearTimer(f'{PERMIT_TIMER}:{exchange}'))
        return [
            *planned,
            actions.ClearTimer(f'{STALL_TIMER}:{exchange}'),
            actions.ClearTimer(f'{DEADLINE_TIMER}:{exchange}'),
            actions.ClearTimer(f'{OUTCOME_TIMER}:{exchange}'),
        ]

    def end_try(
        self, call: Call, try_number: int
    ) -> configuration_state.Upstream | None:
        """End a try and return its upstream, unless it had ended before."""
        upstream = call.tries_in_flight.pop(try_number, None)
        if upstream is not None:
            self.directory.remove_in_flight(upstream.name)
        return upstream

    def timeline(
        self, call: Call, kind: str, reason: str, upstream: str = ''
    ) -> actions.Record:
        """Return a time line event about a call."""
        return actions.Record(
            kind, reason, call.request.request, upstream=upstream
        )


def is_claimed(call: Call) -> bool:
    """Return whether a call was dispatched under a claim."""
    return call.request.has_idempotency_key and not call.service.idempotent
