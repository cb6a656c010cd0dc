"""Token rate of an upstream as observed by this instance."""

import dataclasses

SMOOTHING_FACTOR = 0.125


@dataclasses.dataclass(slots=True)
class Pace:
    """Exponential moving average of the gap between batches of an attempt.

    ``gap`` is in seconds, and 0 until the first observation. ``latest`` is
    the monotonic time of the last progress of any attempt at the upstream.
    """

    gap: float = 0.0
    latest: float = float('-inf')

    def observe_gap(self, gap: float) -> None:
        """Update the average with a gap in seconds."""
        if not self.gap:
            self.gap = gap
            return
        self.gap += SMOOTHING_FACTOR * (gap - self.gap)
