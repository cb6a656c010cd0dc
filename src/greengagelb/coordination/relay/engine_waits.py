"""Requests that wait until an engine of their service may be sent one again.

All engines of a service may have asked this instance for rest, or may be asked
who they are. A request that can be served in its time waits, fair between
client accounts, streams that have begun first. After a rest an engine gets
requests one by one, not all that have waited at once.
"""

import dataclasses

from greengagelb.coordination.relay import permit_waits
from greengagelb.coordination.sharing import fair_queue
from greengagelb.state import configuration
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges

# The share of its latency goal that a request may wait for an engine.
ENGINE_WAIT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request without an engine.

    ``continuation`` says how it goes on, from ``deadline`` (monotonic) on
    whether or not there is an engine.
    """

    exchange: int
    service: str
    account: str
    urgent: bool
    deadline: float
    continuation: permit_waits.Continuation


class EngineWaits:
    """The waiting requests by exchange, and their order by service.

    ``held_count`` counts the requests that had to wait. ``schedule_changed``
    is set when a request was added.

    Invariant: each request in ``waiting`` has a ticket in the queue of its
    service and urgency.
    """

    def __init__(self) -> None:
        self.waiting: dict[int, WaitingRequest] = {}
        self.queues: dict[tuple[str, bool], fair_queue.FairQueue] = {}
        self.held_count = 0
        self.schedule_changed = False

    def deadline_of(self, exchange: exchanges.Exchange) -> float:
        """Return until when a request may wait for an engine.

        The caller of a stream that has begun is reading, and would have to
        come back for the rest of it.
        """
        ruling = exchange.ruling
        if exchange.begun:
            return ruling.deadline
        patience = ENGINE_WAIT_SHARE * ruling.route.goal
        return min(exchange.request.received_at + patience, ruling.deadline)

    def expected_at(
        self, state: engine_states.EngineState, now: float
    ) -> float:
        """Return when an engine is likely to be free for one more request."""
        ahead = self.waiting_for(state.entry.service)
        first_at = max(now, state.available_at)
        return first_at + ahead * state.seconds_between_sends_after_rest

    def waiting_for(self, service: str) -> int:
        """Return how many requests wait for an engine of a service."""
        return sum(
            queue.size
            for (name, _), queue in self.queues.items()
            if name == service
        )

    def hold(
        self,
        exchange: exchanges.Exchange,
        continuation: permit_waits.Continuation,
        least_until: float = float('-inf'),
    ) -> None:
        """Have a request wait for an engine.

        It waits until ``least_until``, a monotonic time, if that is later
        than it usually would.
        """
        deadline = max(
            self.deadline_of(exchange),
            min(least_until, exchange.ruling.deadline),
        )
        request = WaitingRequest(
            exchange.number,
            exchange.ruling.service.name,
            exchange.ruling.account,
            exchange.begun,
            deadline,
            continuation,
        )
        self.held_count += 1
        self.add(request)

    def add(self, request: WaitingRequest) -> None:
        """Append a request to the queue of its account."""
        self.schedule_changed = True
        self.waiting[request.exchange] = request
        # The priority is not used here.
        ticket = fair_queue.Ticket(
            request.exchange,
            request.account,
            request.service,
            configuration.Priority.SHORT,
            1.0,
            request.deadline,
        )
        key = (request.service, request.urgent)
        self.queues.setdefault(key, fair_queue.FairQueue()).push(ticket)

    def discard(self, exchange: int) -> None:
        """Remove a request that has its final answer or no caller."""
        request = self.waiting.pop(exchange, None)
        if request is not None:
            queue = self.queues[request.service, request.urgent]
            queue.discard(request.account, exchange)

    def services(self) -> set[str]:
        """Return the services for which requests wait."""
        return {request.service for request in self.waiting.values()}

    def take_next(self, service: str) -> WaitingRequest | None:
        """Remove and return the next request for a service, if one waits."""
        for urgent in (True, False):
            queue = self.queues.get((service, urgent))
            if queue is not None and queue.size:
                return self.waiting.pop(queue.pop(1).exchange)
        return None

    def take_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests that may wait no longer."""
        expired = [
            request
            for request in self.waiting.values()
            if now >= request.deadline
        ]
        for request in expired:
            self.discard(request.exchange)
        return expired
