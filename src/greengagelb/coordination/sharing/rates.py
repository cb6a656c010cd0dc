"""Token buckets and estimates of durations.

Times are monotonic seconds and come from the caller; nothing reads a clock.
"""

import dataclasses

# Factor on the weight of earlier observations with each new one.
OBSERVATION_DECAY = 0.95
# Mean absolute deviations that a conservative estimate adds to the mean.
MARGIN_DEVIATIONS = 2.0
# Burst of an account's token rate, in seconds of that rate.
ACCOUNT_BURST_SECONDS = 10.0


@dataclasses.dataclass(slots=True)
class CostBucket:
    """A token bucket that lets one request take it into debt.

    A request that costs more than a whole burst could otherwise never pass.
    The overshoot is at most the cost of one request.
    """

    level: float
    updated_at: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Add what has accrued since the last refill."""
        elapsed_seconds = max(0.0, now - self.updated_at)
        self.level = min(burst, self.level + elapsed_seconds * rate)
        self.updated_at = now

    def take(
        self, cost: float, rate: float, burst: float, now: float
    ) -> float | None:
        """Take ``cost``, or return the seconds until an attempt may pass.

        ``rate`` is per second and above zero.
        """
        self.refill(rate, burst, now)
        if self.level <= 0.0:
            return (1.0 - self.level) / rate
        self.level -= cost
        return None


@dataclasses.dataclass(slots=True)
class DurationEstimate:
    """Estimates durations from the cost of completed requests.

    The estimate is a ratio of sums, so that small requests count little: tiny
    requests of one account cannot distort the estimates of the others. The
    sums decay with each observation.
    """

    seconds_sum: float = 0.0
    cost_sum: float = 0.0
    deviation_sum: float = 0.0

    def observe(self, seconds: float, cost: float) -> None:
        """Add the duration of a completed request."""
        error_seconds = (
            abs(seconds - self.mean_seconds(cost)) if self.cost_sum else 0.0
        )
        self.deviation_sum = (
            self.deviation_sum * OBSERVATION_DECAY + error_seconds
        )
        self.seconds_sum = self.seconds_sum * OBSERVATION_DECAY + seconds
        self.cost_sum = self.cost_sum * OBSERVATION_DECAY + cost

    def mean_seconds(self, cost: float) -> float:
        """Return the mean duration for a cost, or 0 if unknown."""
        if not self.cost_sum:
            return 0.0
        return cost * self.seconds_sum / self.cost_sum

    def conservative_seconds(self, cost: float) -> float:
        """Return a duration that is rarely exceeded, or 0 if unknown.

        With the mean alone, half of the requests started close to their
        deadline would miss it, and the capacity they used would be wasted.
        """
        if not self.cost_sum:
            return 0.0
        seconds = self.seconds_sum + MARGIN_DEVIATIONS * self.deviation_sum
        return cost * seconds / self.cost_sum
