"""How fast an upstream delivers, as observed by this instance."""

import dataclasses

SMOOTHING_FACTOR = 0.125


@dataclasses.dataclass(slots=True)
class Pace:
    """Moving estimate of the gap between two batches of one attempt.

    ``gap`` is in seconds, 0 until something was observed. ``latest`` is the
    monotonic time of the latest progress of any attempt at the upstream.
    """

    gap: float = 0.0
    latest: float = float('-inf')

    def observe_gap(self, gap: float) -> None:
        """Take in the gap between two batches."""
        if not self.gap:
            self.gap = gap
            return
        self.gap += SMOOTHING_FACTOR * (gap - self.gap)
