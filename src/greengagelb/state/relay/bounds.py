"""Bounds that operators set for all instances together."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBounds:
    """Retry budget of a service across all instances.

    In any ``window_seconds`` the retries that arrive may number ``ratio``
    times the requests for the service, plus ``slack``. The requests are those
    of that window, of the one before it or of the one half a window before
    it, whichever has most.
    """

    ratio: float = 0.1
    window_seconds: float = 10.0
    slack: float = 10.0

    def __post_init__(self) -> None:
        if self.ratio < 0 or self.slack < 0 or self.window_seconds <= 0:
            raise ValueError(
                'retry bounds must not be negative, and window_seconds not 0'
            )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineBounds:
    """Guarantees of the platform about engines and the list of engines.

    For ``address_reuse_seconds`` after an engine has ended, no engine of
    another service gets its address; 0 means no guarantee. An engine renews
    its entry every ``heartbeat_milliseconds``; the entry expires after three
    missed renewals.
    """

    address_reuse_seconds: float = 0.0
    heartbeat_milliseconds: float = 1_200.0

    @property
    def least_lapse_seconds(self) -> float:
        """Return the shortest store outage in which entries can expire.

        The last renewal before the outage may be almost one interval old, so
        this is two intervals rather than three.
        """
        return 2.0 * self.heartbeat_milliseconds / 1_000.0
