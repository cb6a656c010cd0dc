"""A fair queue over client accounts, weighted by the cost of their requests.

With a single FIFO queue, one account that floods it would make every other
account wait. Here each account has its own FIFO queue, and the account that
has received the least service relative to its weight is next (start-time fair
queueing). An account that may not run more at the moment is parked, so that it
blocks no other account.
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

    ``exchange`` identifies the ticket in its queue: the number of the exchange
    or, for a permit request, a serial number.
    ``cost`` is in tokens: the prompt and the most that may be generated.
    ``deadline`` is the monotonic time at which the caller stops waiting, and
    ``start_by`` the one by which the service wants the request started.
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
    """The waiting tickets of an account, oldest first, and its past service.

    ``virtual_finish`` is in virtual time. ``heap_serial`` identifies the valid
    heap entry of the account; it is ``NO_HEAP_ENTRY`` if there is none.
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

    Invariants: virtual time never decreases; an account has a valid heap entry
    exactly while it has tickets and is not parked; an idle or parked account
    accumulates no credit.
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
        """Append a ticket to the queue of its account."""
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
        """Return the next ticket without removing it."""
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
        """Remove the next ticket and charge its account by ``weight``.

        Raises InvariantViolated if no ticket is ready.
        """
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
        """Remove the ticket of an exchange, if it waits."""
        account_queue = self.account_queues.get(account)
        if account_queue is None or exchange not in account_queue.waiting:
            return
        self.remove_ticket(account_queue, exchange)
        if not account_queue.waiting:
            account_queue.heap_serial = NO_HEAP_ENTRY

    def remove_ticket(
        self, account_queue: AccountQueue, exchange: int
    ) -> None:
        """Remove a ticket from its account queue and from the totals."""
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
        """Exclude an account that may not run more at the moment.

        If its ticket stayed at the head, every other account would wait for it
        while engines are free.
        """
        account_queue = self.account_queues[account]
        account_queue.parked = True
        account_queue.heap_serial = NO_HEAP_ENTRY

    def unpark_account(self, account: str) -> None:
        """Let an account compete again, without credit for the parked time."""
        account_queue = self.account_queues.get(account)
        if account_queue is None or not account_queue.parked:
            return
        account_queue.parked = False
        account_queue.virtual_finish = max(
            account_queue.virtual_finish, self.virtual_time
        )
        self.schedule_account(account_queue)

    def schedule_account(self, account_queue: AccountQueue) -> None:
        """Add an account to the heap if it may compete and has no entry."""
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
        """Drop accounts without tickets whose service is paid off.

        It scans all accounts once per that many pops, so the amortized cost is
        constant.
        """
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
        """Return the cost that is likely to be served before a new ticket.

        Fair queueing serves about as much of each competing account as the
        account's own waiting cost, and never more than the total.
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
        """Raise InvariantViolated if the heap and the queues disagree."""
        heap_serials = {heap_serial for _, heap_serial, _ in self.heap}
        for account_queue in self.account_queues.values():
            is_ready = bool(account_queue.waiting) and not account_queue.parked
            if is_ready != (account_queue.heap_serial in heap_serials):
                raise errors.InvariantViolated(
                    f'heap entry of account {account_queue.account} '
                    'does not match its queue'
                )
        if self.size != sum(1 for _ in self.tickets()):
            raise errors.InvariantViolated('size is not the number of tickets')

    def __len__(self) -> int:
        return self.size
