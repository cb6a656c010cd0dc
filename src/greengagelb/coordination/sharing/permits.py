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
MAX_SAVED_SECONDS = 1.0
# With a part below this one, a request that was saved up lapses like the
# others: many instances that are cut off from each other would else each keep
# one, and use them in the same moment.
MAIN_SHARE = 0.5
# From here on a permit has come in; sums of small parts are not exact.
PERMIT_THRESHOLD = 1.0 - 1e-6
# A permit that was granted is remembered so long, in seconds, to be granted
# again if its datagram was lost.
GRANT_MEMORY_SECONDS = 5.0
# The wait that is told where no part of the limit can be had, in seconds.
NO_SHARE_WAIT_SECONDS = leases.LEASE_SECONDS
# The longest wait that is told, in seconds.
MAX_WAIT_SECONDS = 3_600.0

Holder = tuple[str, int]


@dataclasses.dataclass(slots=True)
class WaitingRequest:
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


class PermitIssuer:
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
        self.borrowed = leases.BorrowedParts(now)
        self.available_permits = 0.0
        self.serials = itertools.count(1)
        self.queues = {
            True: fair_queue.FairQueue(),
            False: fair_queue.FairQueue(),
        }
        self.waiting_requests: dict[int, WaitingRequest] = {}
        self.new_requests: list[WaitingRequest] = []
        self.serials_by_holder: dict[Holder, int] = {}
        self.grant_times: collections.OrderedDict[Holder, float] = (
            collections.OrderedDict()
        )
        self.last_asked_at = now

    # -- the flow -----------------------------------------------------------

    def permits_per_second(self, now: float) -> float:
        """Return the requests a second that come in."""
        return self.rate * self.borrowed.total_share(now)

    def accrue(self, now: float) -> None:
        """Add what has come in; drop what was saved up for too long."""
        self.available_permits += (
            self.rate * self.borrowed.take_accrued_seconds(now)
        )
        share = self.borrowed.total_share(now)
        if not share:
            self.available_permits = min(self.available_permits, 0.0)
            return
        max_available = 1.0 + share * self.rate * MAX_SAVED_SECONDS
        excess = self.available_permits - max_available
        if excess <= 0.0:
            return
        self.available_permits -= (
            excess if share >= MAIN_SHARE else math.ceil(excess)
        )

    def change_rate(self, rate: float, now: float) -> None:
        """Go by another limit from now on."""
        self.accrue(now)
        self.rate = rate

    def add_lease(
        self, lender: str, lease: limits.Leased, until: float, now: float
    ) -> None:
        """Take in a lease; what its part brought before was nobody's."""
        self.accrue(now)
        is_new = lender not in self.borrowed.parts
        self.borrowed.add_part(lender, lease.share, until)
        if is_new and self.rate > 0.0:
            seconds = min(
                lease.unused, max(MAX_SAVED_SECONDS, 1.0 / self.rate)
            )
            self.available_permits += self.rate * lease.share * seconds

    def count_unpermitted(self, count: float, now: float) -> None:
        """Take out what was sent without a permit."""
        self.accrue(now)
        self.available_permits -= count

    # -- requests -----------------------------------------------------------

    def request_permit(
        self, wanted: limits.PermitWanted, holder: Holder, now: float
    ) -> Answer | None:
        """Have a request wait; answer at once one that has asked before."""
        self.last_asked_at = now
        if holder in self.grant_times:
            return Answer(holder, limits.Verdict.GRANTED, 0.0)
        if holder in self.serials_by_holder:
            request = self.waiting_requests[self.serials_by_holder[holder]]
            wait = min(
                self.expected_wait_seconds(request, now),
                request.deadline - now,
            )
            return Answer(holder, limits.Verdict.QUEUED, max(0.0, wait))
        serial = next(self.serials)
        ticket = fair_queue.Ticket(
            serial, wanted.account, '', configuration.Priority.SHORT, 1.0
        )
        request = WaitingRequest(
            holder, ticket, wanted.urgent, wanted.wait, now + wanted.wait
        )
        self.waiting_requests[serial] = request
        self.serials_by_holder[holder] = serial
        self.new_requests.append(request)
        return None

    def take_answers(self, now: float) -> list[Answer]:
        """Return whom to answer what by now."""
        self.accrue(now)
        share = self.borrowed.total_share(now)
        if share and self.phase:
            self.available_permits -= self.phase * (1.0 - share)
            self.phase = 0.0
        answers: list[Answer] = []
        for request in self.new_requests:
            if request.holder in self.serials_by_holder:
                answers.append(self.queue_or_deny(request, now))
        self.new_requests.clear()
        for queue in (self.queues[True], self.queues[False]):
            while self.available_permits >= PERMIT_THRESHOLD and (
                ticket := queue.peek()
            ):
                queue.pop(1)
                answers.append(
                    self.grant_permit(
                        self.waiting_requests[ticket.exchange], now
                    )
                )
        for request in list(self.waiting_requests.values()):
            if now >= request.deadline:
                self.remove_request(request)
                wait = self.expected_wait_seconds(request, now)
                answers.append(
                    Answer(request.holder, limits.Verdict.DENIED, wait)
                )
        self.forget_old_grants(now)
        return answers

    def queue_or_deny(self, request: WaitingRequest, now: float) -> Answer:
        """Give a request its place, or deny it if that is too far back."""
        wait = self.expected_wait_seconds(request, now)
        if wait > request.wait:
            self.remove_request(request)
            return Answer(request.holder, limits.Verdict.DENIED, wait)
        self.queues[request.urgent].push(request.ticket)
        return Answer(request.holder, limits.Verdict.QUEUED, wait)

    def expected_wait_seconds(
        self, request: WaitingRequest, now: float
    ) -> float:
        """Return the seconds until a new request gets its permit."""
        rate_per_second = self.permits_per_second(now)
        if rate_per_second <= 0.0:
            return NO_SHARE_WAIT_SECONDS
        ahead = self.queues[True].waiting_cost
        if not request.urgent:
            ahead += self.queues[False].cost_before(request.ticket.account)
        wait = max(
            0.0, (ahead + 1.0 - self.available_permits) / rate_per_second
        )
        return min(wait, MAX_WAIT_SECONDS)

    def grant_permit(self, request: WaitingRequest, now: float) -> Answer:
        """Take a permit out of what has come in."""
        self.available_permits -= 1.0
        self.forget_request(request)
        self.grant_times[request.holder] = now
        return Answer(request.holder, limits.Verdict.GRANTED, 0.0)

    def return_permit(self, holder: Holder, now: float) -> None:
        """Take back a permit, or a request that nobody waits for."""
        self.accrue(now)
        if self.grant_times.pop(holder, None) is not None:
            self.available_permits += 1.0
        serial = self.serials_by_holder.get(holder)
        if serial is not None:
            self.remove_request(self.waiting_requests[serial])

    def remove_request(self, request: WaitingRequest) -> None:
        """Let a request wait no longer."""
        ticket = request.ticket
        self.queues[request.urgent].discard(ticket.account, ticket.exchange)
        self.forget_request(request)

    def forget_request(self, request: WaitingRequest) -> None:
        """Forget a request that is in no queue any more."""
        del self.waiting_requests[request.ticket.exchange]
        del self.serials_by_holder[request.holder]

    def forget_old_grants(self, now: float) -> None:
        """Forget permits that nobody asks for again."""
        while self.grant_times:
            holder, granted_at = next(iter(self.grant_times.items()))
            if now < granted_at + GRANT_MEMORY_SECONDS:
                return
            del self.grant_times[holder]

    def next_due_at(self, now: float) -> float:
        """Return when there is something to answer."""
        if not self.waiting_requests:
            return float('inf')
        due_at = min(
            request.deadline for request in self.waiting_requests.values()
        )
        rate_per_second = self.permits_per_second(now)
        if rate_per_second > 0.0:
            due_at = min(
                due_at,
                now + max(0.0, 1.0 - self.available_permits) / rate_per_second,
            )
        return due_at
