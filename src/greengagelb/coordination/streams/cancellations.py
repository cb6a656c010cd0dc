"""Repeats a cancellation until the engine confirms it.

An engine that was paused comes back as if nothing happened and goes on
generating for an attempt that has been replaced, at the users' cost. One
unanswered cancellation is therefore not enough.
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
    """A cancellation that its engine has not confirmed.

    ``incarnation`` is that of the engine, empty where it is not known.
    ``give_up_at`` is the monotonic time of the attempt's own deadline, after
    which its engine stops it unasked.
    """

    upstream: configuration_state.Upstream
    incarnation: str
    give_up_at: float
    tries: int = 1


class CancellationSupervisor:
    """Keeps the cancellations that are not confirmed."""

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
        """Cancel an attempt and remember to ask again."""
        self.pending[attempt] = PendingCancellation(
            upstream, incarnation, give_up_at
        )
        self.attempts_by_upstream.setdefault(upstream.name, set()).add(attempt)
        return [actions.CancelAttempt(attempt, upstream)]

    def handle_confirmation(
        self, attempt: identity.AttemptId
    ) -> list[actions.Action]:
        """Forget a cancellation that took effect."""
        return self.forget_cancellation(attempt)

    def schedule_retry(
        self, attempt: identity.AttemptId, now: float
    ) -> list[actions.Action]:
        """Ask again later, until the attempt's own deadline."""
        pending = self.pending.get(attempt)
        if pending is None:
            return []
        if now >= pending.give_up_at:
            return [
                actions.Record(
                    'cancel-given-up',
                    'engine never confirmed, deadline passed',
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
        """Ask again, if still unconfirmed."""
        attempt = self.attempt_by_timer.pop(name, None)
        pending = self.pending.get(attempt) if attempt else None
        if attempt is None or pending is None:
            return []
        return [actions.CancelAttempt(attempt, pending.upstream)]

    def handle_engine_report(
        self, engine: identity.EngineId
    ) -> list[actions.Action]:
        """Settle what is pending at an engine that answers again.

        The same incarnation was merely out of reach and may still generate:
        it is asked at once, as each second until the next try costs tokens
        that nobody reads. A new incarnation holds no attempt of the old one.
        It is asked one last time all the same: the incarnation noted with
        the attempt may have been out of date already when it was ordered.
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
        """Ask no more about an attempt."""
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
