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
MOST_LIVES = 4_096
# A limit that has been lifted is remembered for so long, in seconds, to
# answer those that have not heard of it.
REMEMBER_LIFTED_SECONDS = 60.0
# An engine that takes nothing gets nothing for so many seconds, and then so
# many requests a second to see whether that is over.
ZERO_SECONDS = 30.0
TRIAL_RATE = 0.1
# An engine may name another limit with each answer. No more than one value in
# so many seconds is taken up, as each is told to all instances.
LEAST_CHANGE_SECONDS = 0.1


class LimitBook:
    """The limits of engines' lives.

    Invariant: the version of a life never falls while it is kept.
    ``changes`` counts what has changed.
    """

    def __init__(self) -> None:
        self.known: dict[str, limits.KnownLimit] = {}
        self.changes = 0
        self.digest_changes = -1
        self.last_digest = 0

    def rate(self, life: str) -> float | None:
        """Return the limit in force of a life, or None without one."""
        found = self.known.get(life)
        return found.rate if found else None

    def in_force(self) -> dict[str, float]:
        """Return all limits that are in force, by life."""
        return {
            life: found.rate
            for life, found in self.known.items()
            if found.rate is not None
        }

    # -- news ---------------------------------------------------------------

    def named(
        self, life: str, rate: float | None, asked_at: float, now: float
    ) -> limits.LimitNews | None:
        """Take in what an answer says to a request sent at ``asked_at``.

        Returns what the others have to know.
        """
        found = self.known.get(life)
        if found is None:
            if rate is None:
                return None
            return self.put(life, rate, 1, now)
        if found.rate == rate:
            found.confirmed_at = now
            return None
        settled_at = found.known_at + LEAST_CHANGE_SECONDS
        if asked_at <= found.known_at or now < settled_at:
            return None
        return self.put(life, rate, found.version + 1, now)

    def told(self, news: limits.LimitNews, now: float) -> bool:
        """Take in what another instance knows; return whether it is news."""
        found = self.known.get(news.life)
        if found is not None and order_of(news) <= order_of(found):
            return False
        self.put(news.life, news.rate, news.version, now)
        return True

    def put(
        self, life: str, rate: float | None, version: int, now: float
    ) -> limits.LimitNews:
        """Keep a value."""
        self.known[life] = limits.KnownLimit(rate, version, now, now)
        self.changes += 1
        self.forget_old(now)
        return limits.LimitNews(life, rate, version)

    def forget(self, life: str) -> None:
        """Forget a life that is over."""
        if self.known.pop(life, None) is not None:
            self.changes += 1

    def forget_old(self, now: float) -> None:
        """Forget limits that were lifted long ago, and the oldest of many."""
        for life, found in list(self.known.items()):
            lifted_before = now - REMEMBER_LIFTED_SECONDS
            if found.rate is None and found.known_at < lifted_before:
                self.forget(life)
        while len(self.known) > MOST_LIVES:
            self.forget(min(self.known, key=self.worth_of))

    def worth_of(self, life: str) -> tuple[bool, float]:
        """Return how much a life is worth keeping; the lowest goes first."""
        found = self.known[life]
        return (found.rate is not None, found.confirmed_at)

    # -- other instances ----------------------------------------------------

    def digest(self) -> int:
        """Return a number that differs where other limits are known."""
        if self.digest_changes != self.changes:
            self.digest_changes = self.changes
            told = sorted(
                f'{life} {found.rate} {found.version}'
                for life, found in self.known.items()
                if found.rate is not None
            )
            self.last_digest = zlib.crc32('\n'.join(told).encode())
        return self.last_digest

    def reports(self) -> list[limits.LimitNews]:
        """Return what an instance is told that knows something else."""
        return [
            limits.LimitNews(life, found.rate, found.version)
            for life, found in self.known.items()
        ]


def order_of(
    value: limits.LimitNews | limits.KnownLimit,
) -> tuple[int, float]:
    """Return the order in which values replace each other."""
    rate = math.inf if value.rate is None else value.rate
    return (value.version, -rate)


def told(news: limits.LimitNews) -> str:
    """Return a limit as the time line tells it."""
    if news.rate is None:
        return f'lifted, version {news.version}'
    return f'{news.rate:g} a second, version {news.version}'


def flow_of(known: limits.KnownLimit, now: float) -> float:
    """Return the requests a second that are sent to a life with a limit.

    Only an answer tells that a limit of zero is over. So after a while some
    requests are sent to an engine that takes none.
    """
    rate = known.rate or 0.0
    zero_for = now - known.known_at
    return TRIAL_RATE if not rate and zero_for >= ZERO_SECONDS else rate
