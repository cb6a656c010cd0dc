"""Issues permits for the requests that one engine's limit allows.

What instances have lent comes in as a flow; each permit takes one request out
of it. Requests that wait are served in turn by client account, urgent ones
first. One that would have to wait for too long is denied at once.
"""

import collections
import dataclasses
import itertools
import math

from greengagelb.coordination.sharing import fair_queue
from greengagelb.coordination.sharing import leases
from greengagelb.state import configuration
from greengagelb.state import limits

# What may be saved up while nobody asks, in seconds of the limit. A whole
# request can be saved up in any case.
SAVED_SECONDS = 1.0
# With a part below this one, a request that was saved up lapses like the
# others: many instances that are cut off from each other would else each keep
# one, and use them in the same moment.
MAIN_PART = 0.5
# From here on a permit has come in; sums of small parts are not exact.
WHOLE = 1.0 - 1e-6
# A permit that was granted is remembered so long, in seconds, to be granted
# again if its datagram was lost.
REMEMBER_SECONDS = 5.0
# The wait that is told where no part of the limit can be had, in seconds.
NO_PART_WAIT = leases.LEASE_SECONDS
# The longest wait that is told, in seconds.
MOST_WAIT = 3_600.0

Holder = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request for a permit that waits until ``deadline``."""

    holder: Holder
    ticket: fair_queue.Ticket
    urgent: bool
    wait: float
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What an instance is answered."""

    holder: Holder
    verdict: limits.Verdict
    wait: float


class Issuer:
    """The permits of one life of an engine.

    ``phase``, from 0 to 1, is this instance's turn among those that have parts
    and issue permits by themselves: without turns all would issue their first
    ones in the same moment.
    Invariant: over any time no more permits are granted than what came in,
    what was saved up at its start, and what was returned.
    """

    def __init__(self, rate: float, now: float, phase: float = 0.0) -> None:
        self.rate = rate
        self.phase = phase
        self.borrowed = leases.Borrowed(now)
        self.level = 0.0
        self.serials = itertools.count(1)
        self.queues = {
            True: fair_queue.FairQueue(),
            False: fair_queue.FairQueue(),
        }
        self.waiting: dict[int, Waiting] = {}
        self.fresh: list[Waiting] = []
        self.serial_of: dict[Holder, int] = {}
        self.granted: collections.OrderedDict[Holder, float] = (
            collections.OrderedDict()
        )
        self.asked_at = now

    # -- the flow -----------------------------------------------------------

    def flow(self, now: float) -> float:
        """Return the requests a second that come in."""
        return self.rate * self.borrowed.total(now)

    def count(self, now: float) -> None:
        """Add what has come in; drop what was saved up for too long."""
        self.level += self.rate * self.borrowed.gained(now)
        share = self.borrowed.total(now)
        if not share:
            self.level = min(self.level, 0.0)
            return
        most = 1.0 + share * self.rate * SAVED_SECONDS
        over = self.level - most
        if over <= 0.0:
            return
        self.level -= over if share >= MAIN_PART else math.ceil(over)

    def change(self, rate: float, now: float) -> None:
        """Go by another limit from now on."""
        self.count(now)
        self.rate = rate

    def lent(
        self, lender: str, lease: limits.Leased, until: float, now: float
    ) -> None:
        """Take in a lease; what its part brought before was nobody's."""
        self.count(now)
        is_new = lender not in self.borrowed.parts
        self.borrowed.take(lender, lease.share, until)
        if is_new and self.rate > 0.0:
            seconds = min(lease.unused, max(SAVED_SECONDS, 1.0 / self.rate))
            self.level += self.rate * lease.share * seconds

    def spend(self, count: float, now: float) -> None:
        """Take out what was sent without a permit."""
        self.count(now)
        self.level -= count

    # -- requests -----------------------------------------------------------

    def ask(
        self, wanted: limits.PermitWanted, holder: Holder, now: float
    ) -> Answer | None:
        """Have a request wait; answer at once one that has asked before."""
        self.asked_at = now
        if holder in self.granted:
            return Answer(holder, limits.Verdict.GRANTED, 0.0)
        if holder in self.serial_of:
            found = self.waiting[self.serial_of[holder]]
            wait = min(self.expected(found, now), found.deadline - now)
            return Answer(holder, limits.Verdict.QUEUED, max(0.0, wait))
        serial = next(self.serials)
        ticket = fair_queue.Ticket(
            serial, wanted.account, '', configuration.Priority.SHORT, 1.0
        )
        found = Waiting(
            holder, ticket, wanted.urgent, wanted.wait, now + wanted.wait
        )
        self.waiting[serial] = found
        self.serial_of[holder] = serial
        self.fresh.append(found)
        return None

    def answers(self, now: float) -> list[Answer]:
        """Return whom to answer what by now."""
        self.count(now)
        share = self.borrowed.total(now)
        if share and self.phase:
            self.level -= self.phase * (1.0 - share)
            self.phase = 0.0
        done: list[Answer] = []
        for found in self.fresh:
            if found.holder in self.serial_of:
                done.append(self.judge(found, now))
        self.fresh.clear()
        for queue in (self.queues[True], self.queues[False]):
            while self.level >= WHOLE and (ticket := queue.head()):
                queue.pop(1)
                done.append(self.grant(self.waiting[ticket.exchange], now))
        for found in list(self.waiting.values()):
            if now >= found.deadline:
                self.remove(found)
                wait = self.expected(found, now)
                done.append(Answer(found.holder, limits.Verdict.DENIED, wait))
        self.forget_granted(now)
        return done

    def judge(self, found: Waiting, now: float) -> Answer:
        """Give a request its place, or deny it if that is too far back."""
        wait = self.expected(found, now)
        if wait > found.wait:
            self.remove(found)
            return Answer(found.holder, limits.Verdict.DENIED, wait)
        self.queues[found.urgent].push(found.ticket)
        return Answer(found.holder, limits.Verdict.QUEUED, wait)

    def expected(self, found: Waiting, now: float) -> float:
        """Return the seconds until a new request gets its permit."""
        flow = self.flow(now)
        if flow <= 0.0:
            return NO_PART_WAIT
        ahead = self.queues[True].cost
        if not found.urgent:
            ahead += self.queues[False].cost_before(found.ticket.account)
        wait = max(0.0, (ahead + 1.0 - self.level) / flow)
        return min(wait, MOST_WAIT)

    def grant(self, found: Waiting, now: float) -> Answer:
        """Take a permit out of what has come in."""
        self.level -= 1.0
        self.forget(found)
        self.granted[found.holder] = now
        return Answer(found.holder, limits.Verdict.GRANTED, 0.0)

    def returned(self, holder: Holder, now: float) -> None:
        """Take back a permit, or a request that nobody waits for."""
        self.count(now)
        if self.granted.pop(holder, None) is not None:
            self.level += 1.0
        serial = self.serial_of.get(holder)
        if serial is not None:
            self.remove(self.waiting[serial])

    def remove(self, found: Waiting) -> None:
        """Let a request wait no longer."""
        ticket = found.ticket
        self.queues[found.urgent].discard(ticket.account, ticket.exchange)
        self.forget(found)

    def forget(self, found: Waiting) -> None:
        """Forget a request that is in no queue any more."""
        del self.waiting[found.ticket.exchange]
        del self.serial_of[found.holder]

    def forget_granted(self, now: float) -> None:
        """Forget permits that nobody asks for again."""
        while self.granted:
            holder, at = next(iter(self.granted.items()))
            if now < at + REMEMBER_SECONDS:
                return
            del self.granted[holder]

    def next_at(self, now: float) -> float:
        """Return when there is something to answer."""
        if not self.waiting:
            return float('inf')
        due = min(found.deadline for found in self.waiting.values())
        flow = self.flow(now)
        if flow > 0.0:
            due = min(due, now + max(0.0, 1.0 - self.level) / flow)
        return due
