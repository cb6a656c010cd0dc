"""The other instances, as counted for engine loads and the shared budget."""

from collections.abc import Collection
import random

from greengagelb.coordination.relay import loads
from greengagelb.state.relay import hints

# The interval of heartbeats, and the most of them that an instance receives in
# a second. In a large fleet each instance sends fewer, so that the received
# number does not grow with the fleet.
HEARTBEAT_SECONDS = 2.0
MAX_HEARTBEATS_RECEIVED_PER_SECOND = 40.0
# Instances of larger fleets let some hints wait. In smaller ones each instance
# chooses among few engines, and has to know at once which are free.
LARGEST_FLEET_WITHOUT_WAITS = 40
# The interval varies by this share both ways. Instances start together, and
# repairs made by a heartbeat would otherwise wait for all of them at once.
HEARTBEAT_JITTER = 0.25
# After this many missed heartbeats an instance no longer counts as loading
# engines; the connections of its runs are closed by then.
MAX_MISSED_HEARTBEATS = 3.0
# The hint of the end of a run may be lost. A run is forgotten after the
# longest time limit in use.
MAX_RUN_SECONDS = 30.0
# The least time between two searches for silent instances and lost ends of
# runs, which take longer the larger the fleet is.
SILENCE_CHECK_SECONDS = 0.25


class FleetView:
    """The other instances, and their runs on engines.

    ``is_list_known`` tells that the list of instances was read.
    ``present_incarnations`` are those that were listed, or heard since, and
    have not stopped. ``data_centres`` has those of the instances whose
    heartbeats were heard. ``heard_at`` and ``placed_at`` are monotonic times
    in seconds.

    Invariants: each run of another instance that is counted in ``loads`` has
    its time in ``placed_at``; ``unlisted_incarnations`` are those that were
    heard and are not present.
    """

    def __init__(
        self, run_loads: loads.RunLoads, own_incarnation: str
    ) -> None:
        self.loads = run_loads
        self.own_incarnation = own_incarnation
        self.is_list_known = False
        self.present_incarnations: set[str] = set()
        self.heard_at: dict[str, float] = {}
        self.data_centres: dict[str, str] = {}
        self.placed_at: dict[tuple[str, int], float] = {}
        self.next_silence_check_at = float('-inf')
        self.unlisted_incarnations: set[str] = set()

    @property
    def size(self) -> int:
        """Return how many instances there may be, this one included.

        Silent instances are included: they may be cut off from this one only,
        and use their share of the budget.
        """
        return (
            1
            + len(self.present_incarnations)
            + len(self.unlisted_incarnations)
        )

    @property
    def rank(self) -> int:
        """Return the position of this instance among all, from 0."""
        return sum(
            name < self.own_incarnation for name in self.present_incarnations
        )

    @property
    def heartbeat_seconds(self) -> float:
        """Return the mean time between heartbeats of this instance."""
        return max(
            HEARTBEAT_SECONDS, self.size / MAX_HEARTBEATS_RECEIVED_PER_SECOND
        )

    @property
    def silence_limit_seconds(self) -> float:
        """Return the silence after which an instance is forgotten."""
        return MAX_MISSED_HEARTBEATS * self.heartbeat_seconds

    @property
    def hint_wait_seconds(self) -> float:
        """Return how long a hint may wait for others that are sent with it.

        It grows with the fleet, so that the number of datagrams that an
        instance receives hardly does.
        """
        more = max(0, self.size - LARGEST_FLEET_WITHOUT_WAITS)
        return more / MAX_HEARTBEATS_RECEIVED_PER_SECOND

    def next_heartbeat_at(self, now: float, rng: random.Random) -> float:
        """Return when this instance has to send its next heartbeat."""
        spread = rng.uniform(1.0 - HEARTBEAT_JITTER, 1.0 + HEARTBEAT_JITTER)
        return now + spread * self.heartbeat_seconds

    def apply_list(self, members: tuple[hints.Member, ...]) -> None:
        """Apply the list of the other instances."""
        self.is_list_known = True
        self.present_incarnations = {member.incarnation for member in members}
        self.unlisted_incarnations = (
            self.heard_at.keys() - self.present_incarnations
        )

    def reachable_instances(self, life: str) -> Collection[str]:
        """Return the instances that are heard, for any life of an engine."""
        return self.heard_at.keys()

    def note_alive(self, incarnation: str, now: float) -> None:
        """Note that an instance is alive."""
        self.heard_at[incarnation] = now
        if incarnation not in self.present_incarnations:
            self.unlisted_incarnations.add(incarnation)

    def note_heartbeat(
        self, incarnation: str, data_centre: str, now: float
    ) -> None:
        """Note the heartbeat of an instance, and where it is."""
        self.present_incarnations.add(incarnation)
        self.unlisted_incarnations.discard(incarnation)
        self.data_centres[incarnation] = data_centre
        self.note_alive(incarnation, now)

    def remove_instance(self, incarnation: str, now: float) -> list[str]:
        """Forget an instance that has stopped, and its runs.

        Returns the instances that were forgotten.
        """
        self.present_incarnations.discard(incarnation)
        self.unlisted_incarnations.discard(incarnation)
        self.data_centres.pop(incarnation, None)
        known = self.heard_at.pop(incarnation, None) is not None
        self.next_silence_check_at = now
        return ([incarnation] if known else []) + self.forget_silent(now)

    def add_peer_run(
        self, incarnation: str, hint: hints.RunPlaced, now: float
    ) -> None:
        """Count a run of another instance."""
        self.note_alive(incarnation, now)
        key = (incarnation, hint.number)
        self.placed_at[key] = now
        run = loads.Run(
            hint.engine,
            hint.memory_tokens,
            hint.unread_tokens,
            hint.copy_to,
            hint.part,
        )
        self.loads.add_run(key, run, now)

    def end_peer_run(self, incarnation: str, hint: hints.RunEnded) -> None:
        """Stop counting a run of another instance."""
        key = (incarnation, hint.number)
        self.placed_at.pop(key, None)
        self.loads.remove_run(key)

    def forget_silent(self, now: float) -> list[str]:
        """Forget instances that have fallen silent, and runs that never ended.

        Returns the instances that were forgotten.
        """
        if now < self.next_silence_check_at:
            return []
        self.next_silence_check_at = now + SILENCE_CHECK_SECONDS
        max_silence_seconds = self.silence_limit_seconds
        silent_instances = [
            incarnation
            for incarnation, at in self.heard_at.items()
            if now > at + max_silence_seconds
        ]
        for incarnation in silent_instances:
            del self.heard_at[incarnation]
            self.unlisted_incarnations.discard(incarnation)
            self.data_centres.pop(incarnation, None)
        for key, at in list(self.placed_at.items()):
            silent = key[0] not in self.heard_at
            if silent or now > at + MAX_RUN_SECONDS:
                del self.placed_at[key]
                self.loads.remove_run(key)
        return silent_instances
