"""Hints that wait for others that are sent in the same datagram."""

from collections.abc import Callable
import dataclasses
import time

from greengagelb.state.relay import hints


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """When heartbeats and hints are sent; all times are monotonic.

    ``next_heartbeat_at`` returns when the heartbeat after one that is sent now
    is due, and ``hint_wait_seconds`` how long a hint may wait.
    """

    seconds: Callable[[], float] = time.monotonic
    next_heartbeat_at: Callable[[float], float] = lambda now: now + 2.0
    hint_wait_seconds: Callable[[], float] = lambda: 0.0


DEFAULT_TIMING = Timing()


@dataclasses.dataclass(slots=True)
class HintBatch:
    """What is to be sent to all other instances.

    A heartbeat is due at ``heartbeat_at``, and may be sent from
    ``heartbeat_from`` on. The hints are due at ``due_at``.

    Invariant: ``due_at`` is infinite if and only if no hint waits.
    """

    heartbeat_from: float = float('-inf')
    heartbeat_at: float = float('-inf')
    due_at: float = float('inf')
    waiting: list[hints.Hint] = dataclasses.field(default_factory=list)

    def add_hint(self, hint: hints.Hint, due_at: float) -> None:
        """Add a hint that may wait until some time."""
        self.waiting.append(hint)
        self.due_at = min(self.due_at, due_at)

    def is_due(self, now: float) -> bool:
        """Return whether something has to be sent."""
        return now >= min(self.due_at, self.heartbeat_at)

    def take_hints(self) -> list[hints.Hint]:
        """Return the hints that have waited, in their order."""
        waiting, self.waiting = self.waiting, []
        self.due_at = float('inf')
        return waiting

    def includes_heartbeat(self, now: float, *, early: bool) -> bool:
        """Return whether a heartbeat is sent with the hints.

        In a fleet whose hints wait, it is sent ``early`` with them.
        """
        return now >= (self.heartbeat_from if early else self.heartbeat_at)

    def note_heartbeat(self, now: float, next_at: float) -> None:
        """Note that a heartbeat is sent, and when the next one is due."""
        self.heartbeat_at = next_at
        self.heartbeat_from = now + (next_at - now) / 2
