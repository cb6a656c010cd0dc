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


@dataclasses.dataclass(frozen=True, slots=True)
class EngineBounds:
    """What the platform promises of engines and of the list of them.

    For ``address_reuse_seconds`` after an engine has ended, its address is
    given to no engine of another service; 0 promises nothing. An engine
    renews its entry every ``heartbeat_milliseconds``; the entry lapses when
    three renewals are missed.
    """

    address_reuse_seconds: float = 0.0
    heartbeat_milliseconds: float = 1_200.0

    @property
    def least_lapse_seconds(self) -> float:
        """Return how long a store must have been away for entries to lapse.

        The last renewal before the outage may be almost one interval old.
        """
        return 2.0 * self.heartbeat_milliseconds / 1_000.0
