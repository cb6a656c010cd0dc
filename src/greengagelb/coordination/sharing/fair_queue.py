"""A queue that serves client accounts in turn, by the cost of their work.

One queue for all would let an account that floods make every other account
wait behind it. Here each account has a line of its own, and the account that
has had the least service by its weight is next (start-time fair queueing).
An account that may not run more at the moment is set aside, so that it holds
up nobody else.
"""

import collections
from collections.abc import Iterator
import dataclasses
import heapq
import itertools

from greengagelb import errors
from greengagelb.state import configuration as configuration_state

NO_HEAP_ENTRY = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits for a place on an upstream.

    ``cost`` is in tokens: prompt and the most that may be generated.
    ``deadline`` is the monotonic time at which its caller stops waiting, and
    ``start_by`` the one by which the service wants it started.
    """

    exchange: int
    account: str
    pool: str
    priority: configuration_state.Priority
    cost: float
    deadline: float = float('inf')
    start_by: float = float('inf')


@dataclasses.dataclass(slots=True)
class AccountQueue:
    """An account's waiting tickets, oldest first, and its service so far.

    ``finish`` is in virtual time. ``serial`` names the line's entry in the
    heap, and is ``NOT_READY`` while it has none.
    """

    account: str
    virtual_finish: float = 0.0
    waiting_cost: float = 0.0
    heap_serial: int = NO_HEAP_ENTRY
    parked: bool = False
    waiting: collections.OrderedDict[int, Ticket] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def oldest_ticket(self) -> Ticket:
        """Return the oldest ticket."""
        return next(iter(self.waiting.values()))


class FairQueue:
    """Start-time fair queueing over accounts; each step is O(log accounts).

    Invariants: virtual time never falls; a line has a valid heap entry
    exactly while it has tickets and is not parked; an idle or parked account
    saves up no service.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.account_queues: dict[str, AccountQueue] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.heap_serials = itertools.count(NO_HEAP_ENTRY + 1)
        self.size = 0
        self.waiting_cost = 0.0
        self.active_accounts = 0
        self.pops_since_cleanup = 0

    def push(self, ticket: Ticket) -> None:
        """Append a ticket to its account's line."""
        account_queue = self.account_queues.setdefault(
            ticket.account, AccountQueue(ticket.account)
        )
        if not account_queue.waiting:
            account_queue.virtual_finish = max(
                account_queue.virtual_finish, self.virtual_time
            )
            self.active_accounts += 1
        account_queue.waiting[ticket.exchange] = ticket
        account_queue.waiting_cost += ticket.cost
        self.size += 1
        self.waiting_cost += ticket.cost
        self.schedule_account(account_queue)

    def peek(self) -> Ticket | None:
        """Return the ticket that is next, without taking it."""
        while self.heap:
            _, heap_serial, account = self.heap[0]
            account_queue = self.account_queues.get(account)
            if (
                account_queue is not None
                and account_queue.heap_serial == heap_serial
            ):
                return account_queue.oldest_ticket()
            heapq.heappop(self.heap)
        return None

    def pop(self, weight: int) -> Ticket:
        """Take the next ticket and charge its account by its weight."""
        ticket = self.peek()
        if ticket is None:
            raise errors.InvariantViolated('pop from an empty fair queue')
        heapq.heappop(self.heap)
        account_queue = self.account_queues[ticket.account]
        account_queue.heap_serial = NO_HEAP_ENTRY
        self.virtual_time = max(
            self.virtual_time, account_queue.virtual_finish
        )
        account_queue.virtual_finish += ticket.cost / weight
        self.remove_ticket(account_queue, ticket.exchange)
        self.schedule_account(account_queue)
        self.drop_idle_accounts()
        return ticket

    def discard(self, account: str, exchange: int) -> None:
        """Drop the ticket of an exchange that nobody waits for."""
        account_queue = self.account_queues.get(account)
        if account_queue is None or exchange not in account_queue.waiting:
            return
        self.remove_ticket(account_queue, exchange)
        if not account_queue.waiting:
            account_queue.heap_serial = NO_HEAP_ENTRY

    def remove_ticket(
        self, account_queue: AccountQueue, exchange: int
    ) -> None:
        """Take a ticket out of its line and out of the sums."""
        ticket = account_queue.waiting.pop(exchange)
        account_queue.waiting_cost -= ticket.cost
        self.size -= 1
        self.waiting_cost -= ticket.cost
        if not account_queue.waiting:
            self.active_accounts -= 1
            account_queue.waiting_cost = 0.0
        if not self.size:
            self.waiting_cost = 0.0

    def park_account(self, account: str) -> None:
        """Set an account aside that may not run more at the moment.

        If its tickets stayed at the head, every other account would wait for
        it with engines free.
        """
        account_queue = self.account_queues[account]
        account_queue.parked = True
        account_queue.heap_serial = NO_HEAP_ENTRY

    def unpark_account(self, account: str) -> None:
        """Let an account compete again, without credit for the time."""
        account_queue = self.account_queues.get(account)
        if account_queue is None or not account_queue.parked:
            return
        account_queue.parked = False
        account_queue.virtual_finish = max(
            account_queue.virtual_finish, self.virtual_time
        )
        self.schedule_account(account_queue)

    def schedule_account(self, account_queue: AccountQueue) -> None:
        """Enter a line into the heap, if it may compete and is not there."""
        if (
            account_queue.parked
            or account_queue.heap_serial != NO_HEAP_ENTRY
            or not account_queue.waiting
        ):
            return
        account_queue.heap_serial = next(self.heap_serials)
        entry = (
            account_queue.virtual_finish,
            account_queue.heap_serial,
            account_queue.account,
        )
        heapq.heappush(self.heap, entry)

    def drop_idle_accounts(self) -> None:
        """Drop lines without tickets and debt, at a constant mean cost."""
        self.pops_since_cleanup += 1
        if self.pops_since_cleanup < len(self.account_queues):
            return
        self.pops_since_cleanup = 0
        self.account_queues = {
            account: account_queue
            for account, account_queue in self.account_queues.items()
            if account_queue.waiting
            or account_queue.virtual_finish > self.virtual_time
        }

    def cost_before(self, account: str) -> float:
        """Return the cost that is likely to start before a new ticket.

        Fair turns let about the account's own waiting cost pass for each
        account that competes, and never more than all that waits.
        """
        account_queue = self.account_queues.get(account)
        own_cost = (
            account_queue.waiting_cost if account_queue is not None else 0.0
        )
        return min(self.waiting_cost, own_cost * max(1, self.active_accounts))

    def tickets(self) -> Iterator[Ticket]:
        """Yield all waiting tickets."""
        for account_queue in self.account_queues.values():
            yield from account_queue.waiting.values()

    def check_invariants(self) -> None:
        """Raise InvariantViolated if the heap and the lines disagree."""
        heap_serials = {heap_serial for _, heap_serial, _ in self.heap}
        for account_queue in self.account_queues.values():
            is_ready = bool(account_queue.waiting) and not account_queue.parked
            if is_ready != (account_queue.heap_serial in heap_serials):
                raise errors.InvariantViolated(
                    f'line of {account_queue.account} '
                    'is not where it should be'
                )
        if self.size != sum(1 for _ in self.tickets()):
            raise errors.InvariantViolated('size differs from the tickets')

    def __len__(self) -> int:
        return self.size
