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
MAX_UNUSED_SECONDS = 3_600.0


@dataclasses.dataclass(slots=True)
class Loan:
    """To whom a part is lent; it was nobody's since ``free_since`` before."""

    borrower: str
    until: float


class OwnParts:
    """This instance's part of every limit.

    ``rank`` is its place among the instances, from 0.
    Invariant: a part is lent to at most one borrower at a time.
    """

    def __init__(self) -> None:
        self.instance_count = 0
        self.rank = 0
        self.previous_instance_count = 0
        self.previous_count_until = float('-inf')
        self.joins_at = float('inf')
        self.loans: dict[str, Loan] = {}

    def resize(
        self, instance_count: int, heartbeat_seconds: float, now: float
    ) -> None:
        """Share limits with that many instances, this one included.

        An instance that has gone may have lent its part: what it leaves is
        the others' once that is over.
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
        """Return how many instances may have parts."""
        previous = (
            self.previous_instance_count
            if now < self.previous_count_until
            else 0
        )
        return max(self.instance_count, previous)

    @property
    def phase(self) -> float:
        """Return this instance's turn among all, from 0 to 1."""
        return self.rank / max(1, self.instance_count)

    def share(self, now: float) -> float:
        """Return this instance's part of a limit, 0 to 1."""
        if now < self.joins_at:
            return 0.0
        return 1.0 / self.counted_instances(now)

    def lend(
        self, life: str, borrower: str, free_since: float, now: float
    ) -> float | None:
        """Lend a part, or go on lending it.

        Returns for how many seconds it was nobody's, or None if it is lent to
        somebody else. It was never lent before ``free_since``.
        """
        loan = self.loans.get(life)
        until = now + LEASE_SECONDS
        if loan is None or now >= loan.until:
            since = max(free_since, self.joins_at)
            if loan is not None:
                since = max(since, loan.until)
            self.loans[life] = Loan(borrower, until)
            return min(MAX_UNUSED_SECONDS, max(0.0, now - since))
        if loan.borrower != borrower:
            return None
        loan.until = until
        return 0.0

    def take_back(self, life: str, borrower: str, now: float) -> None:
        """Have a part back before its time."""
        loan = self.loans.get(life)
        if loan is not None and loan.borrower == borrower:
            loan.until = min(loan.until, now)

    def take_back_all(self, borrower: str, now: float) -> None:
        """Have the parts back that an instance had which has stopped."""
        for life in self.loans:
            self.take_back(life, borrower, now)

    def forget_life(self, life: str) -> None:
        """Forget a life without a limit."""
        self.loans.pop(life, None)


@dataclasses.dataclass(slots=True)
class BorrowedPart:
    """What a lender's part adds to a borrower, until a monotonic time."""

    share: float
    until: float


class BorrowedParts:
    """The parts of one limit that this instance has.

    ``counted_at`` is up to when what they bring was counted.
    """

    def __init__(self, now: float) -> None:
        self.parts: dict[str, BorrowedPart] = {}
        self.accrued_until = now

    def add_part(self, lender: str, share: float, until: float) -> None:
        """Have a lender's part until a time, in place of what it lent."""
        part = self.parts.get(lender)
        if part is None or until > part.until:
            self.parts[lender] = BorrowedPart(share, until)

    def end_part(self, lender: str, now: float) -> None:
        """Have a lender's part no more."""
        part = self.parts.get(lender)
        if part is not None:
            part.until = min(part.until, now)

    def total_share(self, now: float) -> float:
        """Return the part of the limit that this instance has now, 0 to 1."""
        shares = (p.share for p in self.parts.values() if now < p.until)
        return min(1.0, sum(shares))

    def take_accrued_seconds(self, now: float) -> float:
        """Return the seconds of the whole limit that came in since last.

        Parts that have ended are forgotten.
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
        """Return who of some instances lends nothing beyond a time."""
        return {
            lender
            for lender in lenders
            if lender not in self.parts or self.parts[lender].until < before
        }
