"""Bounds that the operators set for all instances together."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBounds:
    """How many repeats a service may get from all instances together.

    In any ``window_seconds``: ``ratio`` times the requests for the service,
    plus ``slack``.
    """

    ratio: float = 0.1
    window_seconds: float = 10.0
    slack: float = 10.0

    def __post_init__(self) -> None:
        if self.ratio < 0 or self.slack < 0 or self.window_seconds <= 0:
            raise ValueError('retry bounds must not be negative')
