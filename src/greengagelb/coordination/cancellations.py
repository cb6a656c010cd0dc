"""Repeats a cancellation until the engine confirms it.

An engine that was paused comes back as if nothing happened and goes on
generating for an attempt that has been replaced, at the users' cost. One
unanswered cancellation is therefore not enough.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity

FIRST_RETRY_SECONDS = 0.5
MOST_RETRY_SECONDS = 8.0
MOST_TRIES = 12


@dataclasses.dataclass(slots=True)
class PendingCancellation:
    """A cancellation that its engine has not confirmed."""

    upstream: configuration_state.Upstream
    tries: int = 1


class CancellationSupervisor:
    """Keeps the cancellations that are not confirmed."""

    def __init__(self) -> None:
        self.pending: dict[identity.AttemptId, PendingCancellation] = {}
        self.by_timer: dict[str, identity.AttemptId] = {}

    def cancel(
        self,
        attempt: identity.AttemptId,
        upstream: configuration_state.Upstream,
    ) -> list[actions.Action]:
        """Cancel an attempt and remember to ask again."""
        self.pending[attempt] = PendingCancellation(upstream)
        return [actions.CancelAttempt(attempt, upstream)]

    def confirmed(self, attempt: identity.AttemptId) -> None:
        """Forget a cancellation that took effect."""
        self.pending.pop(attempt, None)

    def failed(
        self, attempt: identity.AttemptId, now: float
    ) -> list[actions.Action]:
        """Ask again later; give up after some tries."""
        pending = self.pending.get(attempt)
        if pending is None:
            return []
        if pending.tries >= MOST_TRIES:
            del self.pending[attempt]
            return [
                actions.Record(
                    'cancel-given-up',
                    'engine never confirmed',
                    attempt.request,
                    attempt.generation,
                    attempt.attempt,
                    pending.upstream.name,
                )
            ]
        wait = FIRST_RETRY_SECONDS * 2 ** (pending.tries - 1)
        pending.tries += 1
        timer = f'cancel:{attempt.attempt}'
        self.by_timer[timer] = attempt
        deadline = now + min(wait, MOST_RETRY_SECONDS)
        return [actions.SetTimer(timer, deadline)]

    def timer_fired(self, name: str) -> list[actions.Action]:
        """Ask again, if still unconfirmed."""
        attempt = self.by_timer.pop(name, None)
        pending = self.pending.get(attempt) if attempt else None
        if attempt is None or pending is None:
            return []
        return [actions.CancelAttempt(attempt, pending.upstream)]
