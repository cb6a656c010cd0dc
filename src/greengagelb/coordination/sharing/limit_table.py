"""The limits that engines have reported, as known to this instance.

Each value of an engine's limit has a version, assigned by the instance that
sees it first. The highest version wins, and the lower of two values with the
same version, so that all instances agree whatever the order of messages. An
answer changes a value only if its request was sent after the value became
known: otherwise the engine may have reported it before the change.
"""

import math
import zlib

from greengagelb.state import limits

# Lives without a limit are evicted first.
MAX_LIVES = 4_096
# A lifted limit is kept for this long to inform instances that have not heard
# of it.
LIFTED_MEMORY_SECONDS = 60.0
# An engine with a limit of zero gets no requests for ZERO_LIMIT_SECONDS, and
# then TRIAL_REQUESTS_PER_SECOND to detect when the limit is lifted.
ZERO_LIMIT_SECONDS = 30.0
TRIAL_REQUESTS_PER_SECOND = 0.1
# An engine may report another limit with each answer. Changes are accepted at
# most once per interval, because each is sent to all instances.
MIN_CHANGE_INTERVAL_SECONDS = 0.1
# The version of a limit that a life has from the one before.
CARRIED_OVER_VERSION = 0


class LimitTable:
    """The limits of the lives of engines.

    Invariant: the version of a life never decreases while it is kept.
    ``change_count`` counts the changes.
    """

    def __init__(self) -> None:
        self.known_limits: dict[str, limits.KnownLimit] = {}
        self.change_count = 0
        self.digest_change_count = -1
        self.cached_digest = 0

    def rate_of(self, life: str) -> float | None:
        """Return the limit of a life in requests a second, or None."""
        limit = self.known_limits.get(life)
        return limit.rate if limit else None

    def limits_in_force(self) -> dict[str, float]:
        """Return all limits in force, by life."""
        return {
            life: limit.rate
            for life, limit in self.known_limits.items()
            if limit.rate is not None
        }

    def update_from_answer(
        self, life: str, rate: float | None, asked_at: float, now: float
    ) -> limits.LimitUpdate | None:
        """Apply the limit in an answer to a request sent at ``asked_at``.

        Returns the update for the other instances, or None.
        """
        limit = self.known_limits.get(life)
        if limit is None:
            if rate is None:
                return None
            return self.store_limit(life, rate, 1, now)
        if limit.rate == rate:
            limit.confirmed_at = now
            return None
        next_change_at = limit.known_at + MIN_CHANGE_INTERVAL_SECONDS
        if asked_at <= limit.known_at or now < next_change_at:
            return None
        return self.store_limit(life, rate, limit.version + 1, now)

    def merge_limit(self, update: limits.LimitUpdate, now: float) -> bool:
        """Merge the limit of another instance; return whether it is newer."""
        limit = self.known_limits.get(update.life)
        if limit is not None and precedence(update) <= precedence(limit):
            return False
        self.store_limit(update.life, update.rate, update.version, now)
        return True

    def store_limit(
        self, life: str, rate: float | None, version: int, now: float
    ) -> limits.LimitUpdate:
        """Store a limit and return the update for other instances."""
        self.known_limits[life] = limits.KnownLimit(rate, version, now, now)
        self.change_count += 1
        self.evict_old_lives(now)
        return limits.LimitUpdate(life, rate, version)

    def carry_over(self, former: str, life: str, now: float) -> bool:
        """Hold the next life to a limit until its first answer.

        Returns whether there is one. The version is lower than that of any
        reported limit. Only an answer can lift a limit of zero, so the next
        life is tried at once.
        """
        limit = self.known_limits.get(former)
        if limit is None or limit.rate is None or life in self.known_limits:
            return False
        self.store_limit(life, limit.rate, CARRIED_OVER_VERSION, now)
        known_at = limit.known_at
        if not limit.rate:
            known_at = min(known_at, now - ZERO_LIMIT_SECONDS)
        self.known_limits[life].known_at = known_at
        return True

    def forget_life(self, life: str) -> None:
        """Drop a life that has ended."""
        if self.known_limits.pop(life, None) is not None:
            self.change_count += 1

    def evict_old_lives(self, now: float) -> None:
        """Drop limits lifted long ago, and the least valuable if full."""
        for life, limit in list(self.known_limits.items()):
            lifted_before = now - LIFTED_MEMORY_SECONDS
            if limit.rate is None and limit.known_at < lifted_before:
                self.forget_life(life)
        while len(self.known_limits) > MAX_LIVES:
            self.forget_life(min(self.known_limits, key=self.retention_key))

    def retention_key(self, life: str) -> tuple[bool, float]:
        """Return the sort key for eviction; the lowest is evicted first."""
        limit = self.known_limits[life]
        return (limit.rate is not None, limit.confirmed_at)

    def digest(self) -> int:
        """Return a checksum of the limits in force."""
        if self.digest_change_count != self.change_count:
            self.digest_change_count = self.change_count
            lines = sorted(
                f'{life} {limit.rate} {limit.version}'
                for life, limit in self.known_limits.items()
                if limit.rate is not None
            )
            self.cached_digest = zlib.crc32('\n'.join(lines).encode())
        return self.cached_digest

    def list_limits(self) -> list[limits.LimitUpdate]:
        """Return all known limits, for an instance with another digest."""
        return [
            limits.LimitUpdate(life, limit.rate, limit.version)
            for life, limit in self.known_limits.items()
        ]


def precedence(
    value: limits.LimitUpdate | limits.KnownLimit,
) -> tuple[int, float]:
    """Return the sort key by which values replace each other."""
    rate = math.inf if value.rate is None else value.rate
    return (value.version, -rate)


def describe_limit(update: limits.LimitUpdate) -> str:
    """Return the text of a limit for the timeline."""
    if update.rate is None:
        return f'lifted, version {update.version}'
    return f'{update.rate:g} a second, version {update.version}'


def send_rate(known: limits.KnownLimit, now: float) -> float:
    """Return the requests a second that are sent to a life with a limit.

    Only an answer shows that a limit of zero has been lifted, so some trial
    requests are sent to such an engine after a while.
    """
    rate = known.rate or 0.0
    zero_seconds = now - known.known_at
    return (
        TRIAL_REQUESTS_PER_SECOND
        if not rate and zero_seconds >= ZERO_LIMIT_SECONDS
        else rate
    )
