"""Which limits engines have named, as far as this instance knows.

Each value that an engine's limit takes has a version, counted by whoever is
the first to see it. The highest version wins, and of two values of the same
version the lower one, so that all come to the same value in whatever order
they hear. An answer can change a value only if its request was sent after the
value had become known: else it may have been made before.
"""

import math
import zlib

from greengagelb.state import limits

# The most lives of engines that are kept; those without a limit go first.
MAX_LIVES = 4_096
# A limit that has been lifted is remembered for so long, in seconds, to
# answer those that have not heard of it.
LIFTED_MEMORY_SECONDS = 60.0
# An engine that takes nothing gets nothing for so many seconds, and then so
# many requests a second to see whether that is over.
ZERO_LIMIT_SECONDS = 30.0
TRIAL_REQUESTS_PER_SECOND = 0.1
# An engine may name another limit with each answer. No more than one value in
# so many seconds is taken up, as each is told to all instances.
MIN_CHANGE_INTERVAL_SECONDS = 0.1


class LimitTable:
    """The limits of engines' lives.

    Invariant: the version of a life never falls while it is kept.
    ``changes`` counts what has changed.
    """

    def __init__(self) -> None:
        self.known_limits: dict[str, limits.KnownLimit] = {}
        self.change_count = 0
        self.digest_change_count = -1
        self.cached_digest = 0

    def rate_of(self, life: str) -> float | None:
        """Return the limit in force of a life, or None without one."""
        limit = self.known_limits.get(life)
        return limit.rate if limit else None

    def limits_in_force(self) -> dict[str, float]:
        """Return all limits that are in force, by life."""
        return {
            life: limit.rate
            for life, limit in self.known_limits.items()
            if limit.rate is not None
        }

    # -- news ---------------------------------------------------------------

    def update_from_answer(
        self, life: str, rate: float | None, asked_at: float, now: float
    ) -> limits.LimitNews | None:
        """Take in what an answer says to a request sent at ``asked_at``.

        Returns what the others have to know.
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

    def merge_news(self, news: limits.LimitNews, now: float) -> bool:
        """Take in what another instance knows; return whether it is news."""
        limit = self.known_limits.get(news.life)
        if limit is not None and precedence(news) <= precedence(limit):
            return False
        self.store_limit(news.life, news.rate, news.version, now)
        return True

    def store_limit(
        self, life: str, rate: float | None, version: int, now: float
    ) -> limits.LimitNews:
        """Keep a value."""
        self.known_limits[life] = limits.KnownLimit(rate, version, now, now)
        self.change_count += 1
        self.evict_old_lives(now)
        return limits.LimitNews(life, rate, version)

    def forget_life(self, life: str) -> None:
        """Forget a life that is over."""
        if self.known_limits.pop(life, None) is not None:
            self.change_count += 1

    def evict_old_lives(self, now: float) -> None:
        """Forget limits that were lifted long ago, and the oldest of many."""
        for life, limit in list(self.known_limits.items()):
            lifted_before = now - LIFTED_MEMORY_SECONDS
            if limit.rate is None and limit.known_at < lifted_before:
                self.forget_life(life)
        while len(self.known_limits) > MAX_LIVES:
            self.forget_life(min(self.known_limits, key=self.retention_key))

    def retention_key(self, life: str) -> tuple[bool, float]:
        """Return how much a life is worth keeping; the lowest goes first."""
        limit = self.known_limits[life]
        return (limit.rate is not None, limit.confirmed_at)

    # -- other instances ----------------------------------------------------

    def digest(self) -> int:
        """Return a number that differs where other limits are known."""
        if self.digest_change_count != self.change_count:
            self.digest_change_count = self.change_count
            lines = sorted(
                f'{life} {limit.rate} {limit.version}'
                for life, limit in self.known_limits.items()
                if limit.rate is not None
            )
            self.cached_digest = zlib.crc32('\n'.join(lines).encode())
        return self.cached_digest

    def list_news(self) -> list[limits.LimitNews]:
        """Return what an instance is told that knows something else."""
        return [
            limits.LimitNews(life, limit.rate, limit.version)
            for life, limit in self.known_limits.items()
        ]


def precedence(
    value: limits.LimitNews | limits.KnownLimit,
) -> tuple[int, float]:
    """Return the order in which values replace each other."""
    rate = math.inf if value.rate is None else value.rate
    return (value.version, -rate)


def describe_limit(news: limits.LimitNews) -> str:
    """Return a limit as the time line tells it."""
    if news.rate is None:
        return f'lifted, version {news.version}'
    return f'{news.rate:g} a second, version {news.version}'


def send_rate(known: limits.KnownLimit, now: float) -> float:
    """Return the requests a second that are sent to a life with a limit.

    Only an answer tells that a limit of zero is over. So after a while some
    requests are sent to an engine that takes none.
    """
    rate = known.rate or 0.0
    zero_seconds = now - known.known_at
    return (
        TRIAL_REQUESTS_PER_SECOND
        if not rate and zero_seconds >= ZERO_LIMIT_SECONDS
        else rate
    )
