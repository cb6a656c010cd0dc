"""Runs calls to plain services, a non-idempotent one at most once.

Across instances the arbiter is a conditional insert in the platform's table
service. A claim whose holder is gone stays taken: nobody can tell whether
its call ran, so the retry is told that the outcome is unknown and the call
is never dispatched again.
"""

import dataclasses
import itertools

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import routing
from greengagelb.state import claims
from greengagelb.state import configuration as configuration_state
from greengagelb.state import requests

MOST_DISPATCHES = 3
RETRY_AFTER_SECONDS = 1.0
NOT_RUN_STATUS = 503
DEADLINE_TIMER = 'call-deadline'


@dataclasses.dataclass(slots=True)
class Call:
    """A call in progress.

    Invariant: ``dispatches`` never exceeds 1 for a non-idempotent service.
    """

    request: requests.CallRequest
    service: configuration_state.Service
    pool: configuration_state.Pool
    record: claims.ClaimRecord | None = None
    upstream: configuration_state.Upstream | None = None
    dispatches: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)


def claim_key(request: requests.CallRequest) -> str:
    """Return the key of a request's claim row, scoped by its account."""
    return f'{request.request.account}/{request.request.request}'


class CallSupervisor:
    """Decides what happens to every call in progress of an instance."""

    def __init__(
        self, directory: routing.UpstreamDirectory, incarnation: str
    ) -> None:
        self.directory = directory
        self.incarnation = incarnation
        self.calls: dict[int, Call] = {}
        self.closed: list[int] = []
        self.counter = itertools.count(1)

    def begin(
        self,
        request: requests.CallRequest,
        service: configuration_state.Service,
        pool: configuration_state.Pool,
        now: float,
    ) -> list[actions.Action]:
        """Claim the call first where it may not be repeated."""
        call = Call(request, service, pool)
        self.calls[request.exchange] = call
        timer = actions.SetTimer(
            f'{DEADLINE_TIMER}:{request.exchange}', request.deadline
        )
        if service.idempotent or not request.has_idempotency_key:
            return [timer, *self.dispatch(call, now)]
        holder = f'{self.incarnation}.{next(self.counter)}'
        call.record = claims.ClaimRecord(holder, claims.ClaimStage.CLAIMED)
        return [
            timer,
            actions.InsertClaim(
                request.exchange, claim_key(request), call.record
            ),
        ]

    def claim_written(
        self, event: events.ClaimWritten, now: float
    ) -> list[actions.Action]:
        """Dispatch the call that is now this instance's own."""
        call = self.calls.get(event.exchange)
        if call is None:
            return []
        return self.dispatch(call, now)

    def claim_taken(self, event: events.ClaimTaken) -> list[actions.Action]:
        """Give the answer of the other attempt, as far as it is known."""
        call = self.calls.get(event.exchange)
        if call is None:
            return []
        match event.record:
            case claims.ClaimRecord(
                stage=claims.ClaimStage.DONE, status=status, body=body
            ):
                answer = actions.SendAnswer(event.exchange, status, body)
                return [answer, *self.close(call)]
            case _:
                return self.fail(
                    call,
                    'twin-outcome-unknown',
                    requests.Ran.UNKNOWN,
                    RETRY_AFTER_SECONDS,
                )

    def claim_unsettled(
        self, event: events.ClaimUnsettled
    ) -> list[actions.Action]:
        """Say "not run": the call itself was never dispatched."""
        call = self.calls.get(event.exchange)
        if call is None:
            return []
        return self.fail(
            call,
            'platform-unavailable',
            requests.Ran.NO,
            RETRY_AFTER_SECONDS,
        )

    def dispatch(self, call: Call, now: float) -> list[actions.Action]:
        """Hand the call to an upstream."""
        view = self.directory.choose(
            call.pool, call.excluded, now, call.service.priority
        )
        if view is None:
            ran = requests.Ran.UNKNOWN if call.dispatches else requests.Ran.NO
            return self.fail(call, 'no-upstream', ran, RETRY_AFTER_SECONDS)
        call.upstream = view.upstream
        call.dispatches += 1
        self.directory.started(view.upstream.name)
        exchange = call.request.exchange
        return [
            self.timeline(call, 'call-dispatched', f'try {call.dispatches}'),
            actions.DispatchCall(exchange, view.upstream, call.request),
        ]

    def answered(self, event: events.CallAnswered) -> list[actions.Action]:
        """Pass the answer on, and keep it for a retry that comes later."""
        call = self.calls.get(event.exchange)
        if call is None:
            return []
        done: list[actions.Action] = [
            actions.SendAnswer(event.exchange, event.status, event.body)
        ]
        if call.record is not None:
            outcome = claims.ClaimRecord(
                call.record.holder,
                claims.ClaimStage.DONE,
                event.status,
                event.body,
            )
            key = claim_key(call.request)
            done.append(actions.RecordOutcome(key, outcome))
        return done + self.close(call)

    def broken(
        self, event: events.CallBroken, now: float
    ) -> list[actions.Action]:
        """Repeat an idempotent call elsewhere; else say what is known."""
        call = self.calls.get(event.exchange)
        if call is None or call.upstream is None:
            return []
        self.directory.finished(call.upstream.name)
        self.directory.suspect(call.upstream.name, now)
        call.excluded.add(call.upstream.name)
        call.upstream = None
        may_repeat = call.service.idempotent or not event.handed_over
        if may_repeat and call.dispatches < MOST_DISPATCHES:
            return self.dispatch(call, now)
        ran = requests.Ran.UNKNOWN if event.handed_over else requests.Ran.NO
        return self.fail(call, 'upstream-lost', ran, RETRY_AFTER_SECONDS)

    def deadline_passed(self, exchange: int) -> list[actions.Action]:
        """Give the final answer at the caller's deadline."""
        call = self.calls.get(exchange)
        if call is None:
            return []
        ran = requests.Ran.UNKNOWN if call.dispatches else requests.Ran.NO
        return [
            actions.AbandonCall(exchange),
            *self.fail(call, 'deadline-passed', ran, None),
        ]

    def caller_gone(self, exchange: int) -> list[actions.Action]:
        """Let a dispatched call end by itself; drop one that waits.

        A call that may have run is not abandoned: its outcome still has to be
        recorded for the retry that is likely to come.
        """
        call = self.calls.get(exchange)
        if call is None or call.dispatches:
            return []
        return self.close(call)

    def fail(
        self,
        call: Call,
        code: str,
        ran: requests.Ran,
        retry_after: float | None,
    ) -> list[actions.Action]:
        """Give the caller its final answer."""
        failure = requests.Failure(
            code, ran, f'service {call.service.name}', retry_after
        )
        return [
            self.timeline(call, 'call-failed', code),
            actions.SendFailure(call.request.exchange, failure),
            *self.close(call),
        ]

    def close(self, call: Call) -> list[actions.Action]:
        """Forget a call that has had its final answer."""
        if call.upstream is not None:
            self.directory.finished(call.upstream.name)
            call.upstream = None
        exchange = call.request.exchange
        self.calls.pop(exchange, None)
        self.closed.append(exchange)
        return [actions.ClearTimer(f'{DEADLINE_TIMER}:{exchange}')]

    def timeline(self, call: Call, kind: str, reason: str) -> actions.Record:
        """Return a time line event about a call."""
        upstream = call.upstream.name if call.upstream else ''
        return actions.Record(
            kind, reason, call.request.request, upstream=upstream
        )
