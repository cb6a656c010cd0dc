"""Retries each cancellation until the engine confirms it.

An engine that resumes after a pause continues to generate for an attempt that
has been replaced, at the users' cost. One unanswered cancellation is therefore
not enough.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity

CANCEL_TIMER = 'cancel'
FIRST_RETRY_DELAY_SECONDS = 0.5
MAX_RETRY_DELAY_SECONDS = 8.0


@dataclasses.dataclass(slots=True)
class PendingCancellation:
    """A cancellation that the engine has not confirmed yet.

    ``incarnation`` is that of the engine, empty if unknown.
    ``give_up_at`` is the attempt's deadline in monotonic seconds; the engine
    stops the attempt by itself then.
    """

    upstream: configuration_state.Upstream
    incarnation: str
    give_up_at: float
    tries: int = 1


class CancellationSupervisor:
    """Holds and retries the cancellations that are not confirmed."""

    def __init__(self) -> None:
        self.pending: dict[identity.AttemptId, PendingCancellation] = {}
        self.attempt_by_timer: dict[str, identity.AttemptId] = {}
        self.attempts_by_upstream: dict[str, set[identity.AttemptId]] = {}

    def request_cancellation(
        self,
        attempt: identity.AttemptId,
        upstream: configuration_state.Upstream,
        incarnation: str,
        give_up_at: float,
    ) -> list[actions.Action]:
        """Cancel an attempt and track it until confirmed."""
        self.pending[attempt] = PendingCancellation(
            upstream, incarnation, give_up_at
        )
        self.attempts_by_upstream.setdefault(upstream.name, set()).add(attempt)
        return [actions.CancelAttempt(attempt, upstream)]

    def handle_confirmation(
        self, attempt: identity.AttemptId
    ) -> list[actions.Action]:
        """Remove a cancellation that the engine has confirmed."""
        return self.forget_cancellation(attempt)

    def schedule_retry(
        self, attempt: identity.AttemptId, now: float
    ) -> list[actions.Action]:
        """Schedule the next try, with backoff until the attempt's deadline."""
        pending = self.pending.get(attempt)
        if pending is None:
            return []
        if now >= pending.give_up_at:
            return [
                actions.Record(
                    'cancel-given-up',
                    'not confirmed by the engine before the deadline',
                    attempt.request,
                    attempt.generation,
                    attempt.attempt,
                    pending.upstream.name,
                ),
                *self.forget_cancellation(attempt),
            ]
        delay_seconds = FIRST_RETRY_DELAY_SECONDS * 2 ** min(
            pending.tries - 1, 10
        )
        pending.tries += 1
        timer = retry_timer_name(attempt)
        self.attempt_by_timer[timer] = attempt
        deadline = now + min(delay_seconds, MAX_RETRY_DELAY_SECONDS)
        return [actions.SetTimer(timer, deadline)]

    def handle_timer(self, name: str) -> list[actions.Action]:
        """Repeat the cancellation, if still unconfirmed."""
        attempt = self.attempt_by_timer.pop(name, None)
        pending = self.pending.get(attempt) if attempt else None
        if attempt is None or pending is None:
            return []
        return [actions.CancelAttempt(attempt, pending.upstream)]

    def handle_engine_report(
        self, engine: identity.EngineId
    ) -> list[actions.Action]:
        """Repeat the cancellations pending at an engine that reports again.

        An unchanged incarnation was only unreachable and may still generate,
        so its retries are sent at once: each second until the next try costs
        tokens that nobody reads. A new incarnation runs no attempt of the
        old one. It still gets one last cancellation, because the incarnation
        recorded with the attempt may have been outdated when it started.
        """
        planned: list[actions.Action] = []
        for attempt in sorted(
            self.attempts_by_upstream.get(engine.name, ()),
            key=lambda attempt_id: attempt_id.attempt,
        ):
            pending = self.pending[attempt]
            known_incarnation = pending.incarnation
            if known_incarnation and known_incarnation != engine.incarnation:
                planned += self.forget_cancellation(attempt)
                planned.append(
                    actions.CancelAttempt(attempt, pending.upstream)
                )
            elif retry_timer_name(attempt) in self.attempt_by_timer:
                del self.attempt_by_timer[retry_timer_name(attempt)]
                planned.append(actions.ClearTimer(retry_timer_name(attempt)))
                planned.append(
                    actions.CancelAttempt(attempt, pending.upstream)
                )
        return planned

    def forget_cancellation(
        self, attempt: identity.AttemptId
    ) -> list[actions.Action]:
        """Remove a pending cancellation and clear its timer."""
        pending = self.pending.pop(attempt, None)
        if pending is None:
            return []
        name = pending.upstream.name
        self.attempts_by_upstream[name].discard(attempt)
        if not self.attempts_by_upstream[name]:
            del self.attempts_by_upstream[name]
        if self.attempt_by_timer.pop(retry_timer_name(attempt), None) is None:
            return []
        return [actions.ClearTimer(retry_timer_name(attempt))]


def retry_timer_name(attempt: identity.AttemptId) -> str:
    """Return the name of the timer for the next try."""
    return f'{CANCEL_TIMER}:{attempt.attempt}'
