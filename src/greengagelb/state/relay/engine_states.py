"""What an instance believes of an engine, beyond what the list says."""

import dataclasses

from greengagelb.state.relay import engines


@dataclasses.dataclass(slots=True)
class EngineState:
    """What is known here of one life of an engine.

    ``learned_at`` is when this instance first heard of it. ``listed`` tells
    that the list has it, and ``gone_at`` is the monotonic time from which on
    it counts as removed. ``in_flight`` counts the sends of
    this instance. ``replaced`` is set when another engine answers at its
    address. Once it seems to have died,
    ``alive_from`` is the heartbeat that would prove it alive, and
    ``retry_dead_at`` when it is tried without that proof. Until
    ``doubted_until`` another instance's word speaks against it. ``silent_at``
    is when a stream last fell silent there. What was sent until
    ``former_until`` certainly went to the life before this one.
    """

    entry: engines.EngineEntry
    learned_at: float
    leaving: bool = False
    listed: bool = False
    gone_at: float | None = None
    suspected_until: float = float('-inf')
    failures: int = 0
    replaced: bool = False
    alive_from: int = 0
    retry_dead_at: float = float('-inf')
    doubted_until: float = float('-inf')
    silent_at: float = float('-inf')
    in_flight: int = 0
    load: engines.EngineLoad | None = None
    load_at: float = float('-inf')
    in_flight_at_load: int = 0
    heard_at: float = float('-inf')
    former_until: float = float('-inf')

    def is_usable(self, now: float) -> bool:
        """Return whether the engine may get new work."""
        is_gone = self.gone_at is not None and now >= self.gone_at
        return not (self.leaving or self.replaced or is_gone)

    def is_trusted(self, now: float) -> bool:
        """Return whether nothing speaks against giving it work."""
        if not self.is_usable(now) or now < self.suspected_until:
            return False
        is_alive = self.entry.heartbeat >= self.alive_from
        return is_alive or now >= self.retry_dead_at

    def is_reachable(self, now: float) -> bool:
        """Return whether it can have what it held before a failure."""
        is_alive = self.entry.heartbeat >= self.alive_from
        return self.is_usable(now) and (is_alive or now >= self.retry_dead_at)
