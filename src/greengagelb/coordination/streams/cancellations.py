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
FIRST_RETRY_SECONDS = 0.5
MOST_RETRY_SECONDS = 8.0


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
        self.by_timer: dict[str, identity.AttemptId] = {}
        self.by_upstream: dict[str, set[identity.AttemptId]] = {}

    def cancel(
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
        self.by_upstream.setdefault(upstream.name, set()).add(attempt)
        return [actions.CancelAttempt(attempt, upstream)]

    def confirmed(self, attempt: identity.AttemptId) -> list[actions.Action]:
        """Forget a cancellation that took effect."""
        return self.forget(attempt)

    def failed(
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
                *self.forget(attempt),
            ]
        wait = FIRST_RETRY_SECONDS * 2 ** min(pending.tries - 1, 10)
        pending.tries += 1
        timer = timer_of(attempt)
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

    def engine_reported(
        self, engine: identity.EngineId
    ) -> list[actions.Action]:
        """Settle what is pending at an engine that answers again.

        The same incarnation was merely out of reach and may still generate:
        it is asked at once, as each second until the next try costs tokens
        that nobody reads. A new incarnation holds no attempt of the old one.
        It is asked one last time all the same: the incarnation noted with
        the attempt may have been out of date already when it was ordered.
        """
        done: list[actions.Action] = []
        for attempt in sorted(
            self.by_upstream.get(engine.name, ()),
            key=lambda found: found.attempt,
        ):
            pending = self.pending[attempt]
            known = pending.incarnation
            if known and known != engine.incarnation:
                done += self.forget(attempt)
                done.append(actions.CancelAttempt(attempt, pending.upstream))
            elif timer_of(attempt) in self.by_timer:
                del self.by_timer[timer_of(attempt)]
                done.append(actions.ClearTimer(timer_of(attempt)))
                done.append(actions.CancelAttempt(attempt, pending.upstream))
        return done

    def forget(self, attempt: identity.AttemptId) -> list[actions.Action]:
        """Ask no more about an attempt."""
        pending = self.pending.pop(attempt, None)
        if pending is None:
            return []
        name = pending.upstream.name
        self.by_upstream[name].discard(attempt)
        if not self.by_upstream[name]:
            del self.by_upstream[name]
        if self.by_timer.pop(timer_of(attempt), None) is None:
            return []
        return [actions.ClearTimer(timer_of(attempt))]


def timer_of(attempt: identity.AttemptId) -> str:
    """Return the name of the timer for the next try."""
    return f'{CANCEL_TIMER}:{attempt.attempt}'
