"""Parts of a limit, which instances lend to one of them for a time.

A part is what an instance lends; its share is the size of the part, from 0 to
1. The lease is the time for which the part is lent.

Each instance has an equal part of every limit and lends it to one borrower at
a time. So the parts add up to no more than the limit, whichever instances hear
each other. The borrower counts a lease from when it asked for it, by its own
clock; the lender counts it from its later answer. However late a datagram
arrives, the borrower's use ends first.
"""

import dataclasses

LEASE_SECONDS = 3.0
# A new instance has a part only once the others count it. They learn of it
# when it starts, or with its next heartbeat.
JOIN_SECONDS = 3.0
# The same delay in heartbeats, for fleets with rarer heartbeats.
HEARTBEATS_TO_JOIN = 1.5
# Time during which a part was not lent is credited up to this bound.
MAX_UNUSED_SECONDS = 3_600.0


@dataclasses.dataclass(slots=True)
class Lease:
    """The borrower of this instance's part, until a monotonic time."""

    borrower: str
    until: float


class OwnParts:
    """This instance's part of every limit.

    ``rank`` is its position among the instances, from 0.

    Invariant: a part is lent to at most one borrower at a time.
    """

    def __init__(self) -> None:
        self.instance_count = 0
        self.rank = 0
        self.previous_instance_count = 0
        self.previous_count_until = float('-inf')
        self.joins_at = float('inf')
        self.leases_given: dict[str, Lease] = {}

    def set_instance_count(
        self, instance_count: int, heartbeat_seconds: float, now: float
    ) -> None:
        """Set the number of instances that share limits, with this one.

        An instance that has stopped may have lent its part, so the others take
        over its part only after such a lease has ended.
        """
        if not self.instance_count:
            wait = max(JOIN_SECONDS, HEARTBEATS_TO_JOIN * heartbeat_seconds)
            self.joins_at = now + wait
        if instance_count < self.instance_count:
            self.previous_instance_count = max(
                self.instance_count, self.counted_instances(now)
            )
            self.previous_count_until = now + LEASE_SECONDS
        self.instance_count = instance_count

    def counted_instances(self, now: float) -> int:
        """Return how many instances may hold parts."""
        previous = (
            self.previous_instance_count
            if now < self.previous_count_until
            else 0
        )
        return max(self.instance_count, previous)

    @property
    def relative_rank(self) -> float:
        """Return this instance's rank relative to all, from 0 to 1."""
        return self.rank / max(1, self.instance_count)

    def share(self, now: float) -> float:
        """Return the share of this instance's part, from 0 to 1."""
        if now < self.joins_at:
            return 0.0
        return 1.0 / self.counted_instances(now)

    def lend(
        self, life: str, borrower: str, free_since: float, now: float
    ) -> float | None:
        """Lend a part, or extend its lease.

        Returns for how many seconds the part was not lent before, or None if
        it is lent to another borrower. It was never lent before
        ``free_since``.
        """
        lease = self.leases_given.get(life)
        until = now + LEASE_SECONDS
        if lease is None or now >= lease.until:
            since = max(free_since, self.joins_at)
            if lease is not None:
                since = max(since, lease.until)
            self.leases_given[life] = Lease(borrower, until)
            return min(MAX_UNUSED_SECONDS, max(0.0, now - since))
        if lease.borrower != borrower:
            return None
        lease.until = until
        return 0.0

    def take_back(self, life: str, borrower: str, now: float) -> None:
        """End the lease of a part early."""
        lease = self.leases_given.get(life)
        if lease is not None and lease.borrower == borrower:
            lease.until = min(lease.until, now)

    def take_back_all(self, borrower: str, now: float) -> None:
        """End the leases of an instance that has stopped."""
        for life in self.leases_given:
            self.take_back(life, borrower, now)

    def forget_life(self, life: str) -> None:
        """Drop a life that has no limit any more."""
        self.leases_given.pop(life, None)


@dataclasses.dataclass(slots=True)
class LeasedPart:
    """A lender's share of the limit, until a monotonic time."""

    share: float
    until: float


class BorrowedParts:
    """The parts of one limit that this instance has borrowed.

    ``accrued_until`` is the time up to which their shares were accrued.
    """

    def __init__(self, now: float) -> None:
        self.parts: dict[str, LeasedPart] = {}
        self.accrued_until = now

    def add_part(self, lender: str, share: float, until: float) -> None:
        """Add a lender's part, or replace it if the new lease ends later."""
        part = self.parts.get(lender)
        if part is None or until > part.until:
            self.parts[lender] = LeasedPart(share, until)

    def end_part(self, lender: str, now: float) -> None:
        """End a lender's part now."""
        part = self.parts.get(lender)
        if part is not None:
            part.until = min(part.until, now)

    def total_share(self, now: float) -> float:
        """Return the borrowed share of the limit, from 0 to 1."""
        shares = (p.share for p in self.parts.values() if now < p.until)
        return min(1.0, sum(shares))

    def take_accrued_seconds(self, now: float) -> float:
        """Return the seconds since the last call, weighted by the share.

        Each second counts by the share that was borrowed in it.

        Parts that have ended are dropped.
        """
        since = self.accrued_until
        self.accrued_until = max(since, now)
        accrued_seconds = 0.0
        for lender, part in list(self.parts.items()):
            accrued_seconds += part.share * max(
                0.0, min(now, part.until) - since
            )
            if now >= part.until:
                del self.parts[lender]
        return min(accrued_seconds, max(0.0, now - since))

    def lenders_ending_before(
        self, lenders: set[str], before: float
    ) -> set[str]:
        """Return the lenders whose parts end before a time or are missing."""
        return {
            lender
            for lender in lenders
            if lender not in self.parts or self.parts[lender].until < before
        }
