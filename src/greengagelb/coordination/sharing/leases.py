"""Parts of a limit, which instances lend to one of them for a time.

Each instance has an equal part of every limit and lends it to one borrower at
a time. So the parts add up to no more than the limit, whoever hears whom. A
lease is counted from when the borrower asked for it, by its own clock; to the
lender it lasts at least as long, however late a datagram is.
"""

import dataclasses

# How long a part is lent, in seconds.
LEASE_SECONDS = 3.0
# An instance that has just started has a part once the others count it. They
# hear of it when it starts, or with its next heartbeat.
JOIN_SECONDS = 3.0
# The same in heartbeats, where these come more seldom.
HEARTBEATS_TO_JOIN = 1.5
# A part that was nobody's for longer brings no more, in seconds.
MOST_UNUSED_SECONDS = 3_600.0


@dataclasses.dataclass(slots=True)
class Lending:
    """To whom a part is lent; it was nobody's since ``free_since`` before."""

    borrower: str
    until: float


class OwnParts:
    """This instance's part of every limit.

    ``rank`` is its place among the instances, from 0.
    Invariant: a part is lent to at most one borrower at a time.
    """

    def __init__(self) -> None:
        self.size = 0
        self.rank = 0
        self.former_size = 0
        self.former_until = float('-inf')
        self.joins_at = float('inf')
        self.lent: dict[str, Lending] = {}

    def resize(self, size: int, heartbeat_seconds: float, now: float) -> None:
        """Share limits with that many instances, this one included.

        An instance that has gone may have lent its part: what it leaves is
        the others' once that is over.
        """
        if not self.size:
            wait = max(JOIN_SECONDS, HEARTBEATS_TO_JOIN * heartbeat_seconds)
            self.joins_at = now + wait
        if size < self.size:
            self.former_size = max(self.size, self.counted(now))
            self.former_until = now + LEASE_SECONDS
        self.size = size

    def counted(self, now: float) -> int:
        """Return how many instances may have parts."""
        former = self.former_size if now < self.former_until else 0
        return max(self.size, former)

    @property
    def phase(self) -> float:
        """Return this instance's turn among all, from 0 to 1."""
        return self.rank / max(1, self.size)

    def share(self, now: float) -> float:
        """Return this instance's part of a limit, 0 to 1."""
        if now < self.joins_at:
            return 0.0
        return 1.0 / self.counted(now)

    def lend(
        self, life: str, borrower: str, free_since: float, now: float
    ) -> float | None:
        """Lend a part, or go on lending it.

        Returns for how many seconds it was nobody's, or None if it is lent to
        somebody else. It was never lent before ``free_since``.
        """
        known = self.lent.get(life)
        until = now + LEASE_SECONDS
        if known is None or now >= known.until:
            since = max(free_since, self.joins_at)
            if known is not None:
                since = max(since, known.until)
            self.lent[life] = Lending(borrower, until)
            return min(MOST_UNUSED_SECONDS, max(0.0, now - since))
        if known.borrower != borrower:
            return None
        known.until = until
        return 0.0

    def returned(self, life: str, borrower: str, now: float) -> None:
        """Have a part back before its time."""
        known = self.lent.get(life)
        if known is not None and known.borrower == borrower:
            known.until = min(known.until, now)

    def left(self, borrower: str, now: float) -> None:
        """Have the parts back that an instance had which has stopped."""
        for life in self.lent:
            self.returned(life, borrower, now)

    def forget(self, life: str) -> None:
        """Forget a life without a limit."""
        self.lent.pop(life, None)


@dataclasses.dataclass(slots=True)
class Part:
    """What a lender's part adds to a borrower, until a monotonic time."""

    share: float
    until: float


class Borrowed:
    """The parts of one limit that this instance has.

    ``counted_at`` is up to when what they bring was counted.
    """

    def __init__(self, now: float) -> None:
        self.parts: dict[str, Part] = {}
        self.counted_at = now

    def take(self, lender: str, share: float, until: float) -> None:
        """Have a lender's part until a time, in place of what it lent."""
        known = self.parts.get(lender)
        if known is None or until > known.until:
            self.parts[lender] = Part(share, until)

    def drop(self, lender: str, now: float) -> None:
        """Have a lender's part no more."""
        known = self.parts.get(lender)
        if known is not None:
            known.until = min(known.until, now)

    def total(self, now: float) -> float:
        """Return the part of the limit that this instance has now, 0 to 1."""
        shares = (p.share for p in self.parts.values() if now < p.until)
        return min(1.0, sum(shares))

    def gained(self, now: float) -> float:
        """Return the seconds of the whole limit that came in since last.

        Parts that have ended are forgotten.
        """
        since = self.counted_at
        self.counted_at = max(since, now)
        gained = 0.0
        for lender, part in list(self.parts.items()):
            gained += part.share * max(0.0, min(now, part.until) - since)
            if now >= part.until:
                del self.parts[lender]
        return min(gained, max(0.0, now - since))

    def ending(self, known: set[str], before: float) -> set[str]:
        """Return who of some instances lends nothing beyond a time."""
        return {
            lender
            for lender in known
            if lender not in self.parts or self.parts[lender].until < before
        }
