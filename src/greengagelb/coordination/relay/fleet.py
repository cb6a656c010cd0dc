"""The other instances, as far as their loads and the shared budget go."""

from collections.abc import Collection
import random

from greengagelb.coordination.relay import loads
from greengagelb.state.relay import hints

# How often an instance tells the others that it is there, in seconds, and
# how many of them at most it hears from in a second. In a large fleet each
# one tells less often, so that what an instance hears does not grow with it.
HEARTBEAT_SECONDS = 2.0
MOST_HEARTBEATS_HEARD = 40.0
# By which part the time between two heartbeats differs both ways. Instances
# start together, and what a heartbeat repairs would wait for all of them.
HEARTBEAT_SPREAD = 0.25
# An instance that has missed so many heartbeats is not counted as loading
# engines any more; the connections of its runs are gone by then.
MISSED_HEARTBEATS = 3.0
# Runs of which no end is heard are forgotten after so many seconds, the
# longest time limit in use: a hint may be lost.
MOST_RUN_SECONDS = 30.0


class FleetView:
    """Who else is there, and what they have put on engines.

    Invariant: each run of another instance that is counted in ``loads`` has
    its time in ``placed_at``.

    ``listed`` tells that the list of instances was read here.
    ``present`` are the incarnations that the list of instances has or that
    were heard since, without those that have stopped.
    """

    def __init__(self, run_loads: loads.RunLoads, own: str) -> None:
        self.loads = run_loads
        self.own = own
        self.listed = False
        self.present: set[str] = set()
        self.heard_at: dict[str, float] = {}
        self.placed_at: dict[tuple[str, int], float] = {}

    @property
    def size(self) -> int:
        """Return how many instances there may be, this one included.

        Those that are silent count too: they may be cut off from this one
        only, and use their part of the budget.
        """
        return 1 + len(self.present | self.heard_at.keys())

    @property
    def rank(self) -> int:
        """Return this instance's place among all, from 0."""
        return sum(name < self.own for name in self.present)

    @property
    def heartbeat_seconds(self) -> float:
        """Return how often this instance tells that it is there."""
        return max(HEARTBEAT_SECONDS, self.size / MOST_HEARTBEATS_HEARD)

    def next_beat(self, now: float, rng: random.Random) -> float:
        """Return when this instance is to tell again that it is there."""
        spread = rng.uniform(1.0 - HEARTBEAT_SPREAD, 1.0 + HEARTBEAT_SPREAD)
        return now + spread * self.heartbeat_seconds

    def take_list(self, members: tuple[hints.Member, ...]) -> None:
        """Take in the list of the other instances."""
        self.listed = True
        self.present = {member.incarnation for member in members}

    def all_heard(self, life: str) -> Collection[str]:
        """Return the instances that are heard, whatever the life."""
        return self.heard_at.keys()

    def heard(self, incarnation: str, now: float) -> None:
        """Note that an instance lives."""
        self.heard_at[incarnation] = now

    def greeted(self, incarnation: str, now: float) -> None:
        """Note that an instance says that it is there."""
        self.present.add(incarnation)
        self.heard(incarnation, now)

    def left(self, incarnation: str, now: float) -> list[str]:
        """Forget an instance that has stopped, with its runs."""
        self.present.discard(incarnation)
        known = self.heard_at.pop(incarnation, None) is not None
        return ([incarnation] if known else []) + self.tidy(now)

    def placed(self, incarnation: str, hint: hints.Placed, now: float) -> bool:
        """Count a run of another instance; return whether it is a new one."""
        self.heard(incarnation, now)
        key = (incarnation, hint.number)
        is_new = key not in self.placed_at
        self.placed_at[key] = now
        run = loads.Run(
            hint.engine,
            hint.memory_tokens,
            hint.unread_tokens,
            hint.copy_to,
            hint.part,
            hint.attempt,
        )
        self.loads.began(key, run, now)
        return is_new

    def ended(self, incarnation: str, hint: hints.Ended) -> None:
        """Count a run of another instance no longer."""
        key = (incarnation, hint.number)
        self.placed_at.pop(key, None)
        self.loads.ended(key)

    def tidy(self, now: float) -> list[str]:
        """Forget instances that have fallen silent, and runs without end.

        Returns the instances that were forgotten.
        """
        missed = MISSED_HEARTBEATS * self.heartbeat_seconds
        silent_ones = [
            incarnation
            for incarnation, at in self.heard_at.items()
            if now > at + missed
        ]
        for incarnation in silent_ones:
            del self.heard_at[incarnation]
        for key, at in list(self.placed_at.items()):
            silent = key[0] not in self.heard_at
            if silent or now > at + MOST_RUN_SECONDS:
                del self.placed_at[key]
                self.loads.ended(key)
        return silent_ones
