"""The other instances, as far as their loads and the shared budget go."""

from collections.abc import Collection
import random

from greengagelb.coordination.relay import loads
from greengagelb.state.relay import hints

# How often an instance tells the others that it is there, in seconds, and
# how many of them at most it hears from in a second. In a large fleet each
# one tells less often, so that what an instance hears does not grow with it.
HEARTBEAT_SECONDS = 2.0
MAX_HEARTBEATS_RECEIVED_PER_SECOND = 40.0
# By which part the time between two heartbeats differs both ways. Instances
# start together, and what a heartbeat repairs would wait for all of them.
HEARTBEAT_JITTER = 0.25
# An instance that has missed so many heartbeats is not counted as loading
# engines any more; the connections of its runs are gone by then.
MAX_MISSED_HEARTBEATS = 3.0
# Runs of which no end is heard are forgotten after so many seconds, the
# longest time limit in use: a hint may be lost.
MAX_RUN_SECONDS = 30.0


class FleetView:
    """Who else is there, and what they have put on engines.

    Invariant: each run of another instance that is counted in ``loads`` has
    its time in ``placed_at``.

    ``listed`` tells that the list of instances was read here.
    ``present`` are the incarnations that the list of instances has or that
    were heard since, without those that have stopped.
    """

    def __init__(
        self, run_loads: loads.RunLoads, own_incarnation: str
    ) -> None:
        self.loads = run_loads
        self.own_incarnation = own_incarnation
        self.is_list_known = False
        self.present_incarnations: set[str] = set()
        self.heard_at: dict[str, float] = {}
        self.placed_at: dict[tuple[str, int], float] = {}

    @property
    def size(self) -> int:
        """Return how many instances there may be, this one included.

        Those that are silent count too: they may be cut off from this one
        only, and use their part of the budget.
        """
        return 1 + len(self.present_incarnations | self.heard_at.keys())

    @property
    def rank(self) -> int:
        """Return this instance's place among all, from 0."""
        return sum(
            name < self.own_incarnation for name in self.present_incarnations
        )

    @property
    def heartbeat_seconds(self) -> float:
        """Return how often this instance tells that it is there."""
        return max(
            HEARTBEAT_SECONDS, self.size / MAX_HEARTBEATS_RECEIVED_PER_SECOND
        )

    def next_heartbeat_at(self, now: float, rng: random.Random) -> float:
        """Return when this instance is to tell again that it is there."""
        spread = rng.uniform(1.0 - HEARTBEAT_JITTER, 1.0 + HEARTBEAT_JITTER)
        return now + spread * self.heartbeat_seconds

    def apply_list(self, members: tuple[hints.Member, ...]) -> None:
        """Take in the list of the other instances."""
        self.is_list_known = True
        self.present_incarnations = {member.incarnation for member in members}

    def reachable_instances(self, life: str) -> Collection[str]:
        """Return the instances that are heard, whatever the life."""
        return self.heard_at.keys()

    def note_alive(self, incarnation: str, now: float) -> None:
        """Note that an instance lives."""
        self.heard_at[incarnation] = now

    def note_heartbeat(self, incarnation: str, now: float) -> None:
        """Note that an instance says that it is there."""
        self.present_incarnations.add(incarnation)
        self.note_alive(incarnation, now)

    def remove_instance(self, incarnation: str, now: float) -> list[str]:
        """Forget an instance that has stopped, with its runs."""
        self.present_incarnations.discard(incarnation)
        known = self.heard_at.pop(incarnation, None) is not None
        return ([incarnation] if known else []) + self.forget_silent(now)

    def add_peer_run(
        self, incarnation: str, hint: hints.Placed, now: float
    ) -> bool:
        """Count a run of another instance; return whether it is a new one."""
        self.note_alive(incarnation, now)
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
        self.loads.add_run(key, run, now)
        return is_new

    def end_peer_run(self, incarnation: str, hint: hints.Ended) -> None:
        """Count a run of another instance no longer."""
        key = (incarnation, hint.number)
        self.placed_at.pop(key, None)
        self.loads.remove_run(key)

    def forget_silent(self, now: float) -> list[str]:
        """Forget instances that have fallen silent, and runs without end.

        Returns the instances that were forgotten.
        """
        max_silence_seconds = MAX_MISSED_HEARTBEATS * self.heartbeat_seconds
        silent_instances = [
            incarnation
            for incarnation, at in self.heard_at.items()
            if now > at + max_silence_seconds
        ]
        for incarnation in silent_instances:
            del self.heard_at[incarnation]
        for key, at in list(self.placed_at.items()):
            silent = key[0] not in self.heard_at
            if silent or now > at + MAX_RUN_SECONDS:
                del self.placed_at[key]
                self.loads.remove_run(key)
        return silent_instances
