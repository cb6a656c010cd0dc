"""Issues permits for the requests that one engine's limit allows.

Permits accrue at the rate of the leased parts, and each permit allows one
request. Waiting requests are served by fair queueing over client accounts,
urgent ones first. A request that would wait for too long is denied at once.
"""

import collections
import dataclasses
import itertools
import math

from greengagelb.coordination.sharing import fair_queue
from greengagelb.coordination.sharing import leases
from greengagelb.state import configuration
from greengagelb.state import limits

# How much may be saved while nobody asks, in seconds of accrual. One whole
# permit can be saved in any case.
MAX_SAVED_SECONDS = 1.0
# Below this share, the permits above the bound are rounded up to whole ones
# before they are dropped, so that a saved permit is lost as well. Otherwise
# many instances that are isolated from each other would each keep one and use
# them at the same moment.
MIN_SHARE_TO_SAVE = 0.5
# Slightly below one permit, because sums of small shares are not exact.
PERMIT_THRESHOLD = 1.0 - 1e-6
# How long a granted permit is remembered, to grant it again if its datagram
# was lost.
GRANT_MEMORY_SECONDS = 5.0
# The wait that is reported if no part of the limit is available.
NO_SHARE_WAIT_SECONDS = leases.LEASE_SECONDS
# The longest wait that is reported.
MAX_WAIT_SECONDS = 3_600.0

RequestKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request for a permit that waits until ``deadline``.

    It accepts to wait for ``max_wait_seconds``.
    """

    request_key: RequestKey
    ticket: fair_queue.Ticket
    urgent: bool
    max_wait_seconds: float
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request for a permit, with the expected wait."""

    request_key: RequestKey
    verdict: limits.Verdict
    wait_seconds: float


class PermitIssuer:
    """The permits of one life of an engine.

    ``first_permit_delay_share``, from 0 to 1, differs between the instances.
    It delays the first permit by up to this share of one permit and is then
    set to 0. Otherwise instances that are isolated from each other would all
    issue their first permit at the same moment.

    Invariant: over any period no more permits are granted than accrued, were
    saved at its start, and were returned.
    """

    def __init__(
        self, rate: float, now: float, first_permit_delay_share: float = 0.0
    ) -> None:
        self.rate = rate
        self.first_permit_delay_share = first_permit_delay_share
        self.borrowed = leases.BorrowedParts(now)
        self.available_permits = 0.0
        self.serials = itertools.count(1)
        self.queues = {
            True: fair_queue.FairQueue(),
            False: fair_queue.FairQueue(),
        }
        self.waiting_requests: dict[int, WaitingRequest] = {}
        self.new_requests: list[WaitingRequest] = []
        self.serials_by_request_key: dict[RequestKey, int] = {}
        self.grant_times: collections.OrderedDict[RequestKey, float] = (
            collections.OrderedDict()
        )
        self.last_asked_at = now

    def permits_per_second(self, now: float) -> float:
        """Return the rate at which permits accrue."""
        return self.rate * self.borrowed.total_share(now)

    def accrue(self, now: float) -> None:
        """Add the accrued permits and drop those above the bound."""
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
            excess if share >= MIN_SHARE_TO_SAVE else math.ceil(excess)
        )

    def change_rate(self, rate: float, now: float) -> None:
        """Apply another limit from now on."""
        self.accrue(now)
        self.rate = rate

    def add_lease(
        self, lender: str, lease: limits.LeaseGrant, until: float, now: float
    ) -> None:
        """Add a lease, with credit for the time its part was not lent."""
        self.accrue(now)
        is_new = lender not in self.borrowed.parts
        self.borrowed.add_part(lender, lease.share, until)
        if is_new and self.rate > 0.0:
            seconds = min(
                lease.unused, max(MAX_SAVED_SECONDS, 1.0 / self.rate)
            )
            self.available_permits += self.rate * lease.share * seconds

    def count_unpermitted(self, count: float, now: float) -> None:
        """Subtract requests that were sent without a permit."""
        self.accrue(now)
        self.available_permits -= count

    def request_permit(
        self,
        wanted: limits.PermitRequestMessage,
        request_key: RequestKey,
        now: float,
    ) -> Answer | None:
        """Add a request; answer at once if it was already made."""
        self.last_asked_at = now
        if request_key in self.grant_times:
            return Answer(request_key, limits.Verdict.GRANTED, 0.0)
        if request_key in self.serials_by_request_key:
            request = self.waiting_requests[
                self.serials_by_request_key[request_key]
            ]
            wait = min(
                self.expected_wait_seconds(request, now),
                request.deadline - now,
            )
            return Answer(request_key, limits.Verdict.QUEUED, max(0.0, wait))
        serial = next(self.serials)
        # The pool and the priority are not used here.
        ticket = fair_queue.Ticket(
            serial, wanted.account, '', configuration.Priority.SHORT, 1.0
        )
        request = WaitingRequest(
            request_key, ticket, wanted.urgent, wanted.wait, now + wanted.wait
        )
        self.waiting_requests[serial] = request
        self.serials_by_request_key[request_key] = serial
        self.new_requests.append(request)
        return None

    def take_answers(self, now: float) -> list[Answer]:
        """Return the answers that are due."""
        self.accrue(now)
        share = self.borrowed.total_share(now)
        if share and self.first_permit_delay_share:
            self.available_permits -= self.first_permit_delay_share * (
                1.0 - share
            )
            self.first_permit_delay_share = 0.0
        answers: list[Answer] = []
        for request in self.new_requests:
            if request.request_key in self.serials_by_request_key:
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
                    Answer(request.request_key, limits.Verdict.DENIED, wait)
                )
        self.forget_old_grants(now)
        return answers

    def queue_or_deny(self, request: WaitingRequest, now: float) -> Answer:
        """Queue a request, or deny it if its wait would be too long."""
        wait = self.expected_wait_seconds(request, now)
        if wait > request.max_wait_seconds:
            self.remove_request(request)
            return Answer(request.request_key, limits.Verdict.DENIED, wait)
        self.queues[request.urgent].push(request.ticket)
        return Answer(request.request_key, limits.Verdict.QUEUED, wait)

    def expected_wait_seconds(
        self, request: WaitingRequest, now: float
    ) -> float:
        """Return the estimated seconds until a new request is granted."""
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
        """Grant a permit to a request."""
        self.available_permits -= 1.0
        self.forget_request(request)
        self.grant_times[request.request_key] = now
        return Answer(request.request_key, limits.Verdict.GRANTED, 0.0)

    def return_permit(self, request_key: RequestKey, now: float) -> None:
        """Take back a permit, or cancel a waiting request."""
        self.accrue(now)
        if self.grant_times.pop(request_key, None) is not None:
            self.available_permits += 1.0
        serial = self.serials_by_request_key.get(request_key)
        if serial is not None:
            self.remove_request(self.waiting_requests[serial])

    def remove_request(self, request: WaitingRequest) -> None:
        """Remove a request from its queue."""
        ticket = request.ticket
        self.queues[request.urgent].discard(ticket.account, ticket.exchange)
        self.forget_request(request)

    def forget_request(self, request: WaitingRequest) -> None:
        """Drop a request that is in no queue any more."""
        del self.waiting_requests[request.ticket.exchange]
        del self.serials_by_request_key[request.request_key]

    def forget_old_grants(self, now: float) -> None:
        """Drop grants that are past their repeat time."""
        while self.grant_times:
            request_key, granted_at = next(iter(self.grant_times.items()))
            if now < granted_at + GRANT_MEMORY_SECONDS:
                return
            del self.grant_times[request_key]

    def next_due_at(self, now: float) -> float:
        """Return when an answer may be due."""
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
