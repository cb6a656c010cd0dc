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

NOT_READY = 0


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
class AccountLine:
    """An account's waiting tickets, oldest first, and its service so far.

    ``finish`` is in virtual time. ``serial`` names the line's entry in the
    heap, and is ``NOT_READY`` while it has none.
    """

    account: str
    finish: float = 0.0
    cost: float = 0.0
    serial: int = NOT_READY
    parked: bool = False
    waiting: collections.OrderedDict[int, Ticket] = dataclasses.field(
        default_factory=collections.OrderedDict
    )

    def first(self) -> Ticket:
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
        self.lines: dict[str, AccountLine] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.serials = itertools.count(NOT_READY + 1)
        self.size = 0
        self.cost = 0.0
        self.active = 0
        self.pops_since_sweep = 0

    def push(self, ticket: Ticket) -> None:
        """Append a ticket to its account's line."""
        line = self.lines.setdefault(
            ticket.account, AccountLine(ticket.account)
        )
        if not line.waiting:
            line.finish = max(line.finish, self.virtual_time)
            self.active += 1
        line.waiting[ticket.exchange] = ticket
        line.cost += ticket.cost
        self.size += 1
        self.cost += ticket.cost
        self.make_ready(line)

    def head(self) -> Ticket | None:
        """Return the ticket that is next, without taking it."""
        while self.heap:
            _, serial, account = self.heap[0]
            line = self.lines.get(account)
            if line is not None and line.serial == serial:
                return line.first()
            heapq.heappop(self.heap)
        return None

    def pop(self, weight: int) -> Ticket:
        """Take the next ticket and charge its account by its weight."""
        ticket = self.head()
        if ticket is None:
            raise errors.InvariantViolated('pop from an empty fair queue')
        heapq.heappop(self.heap)
        line = self.lines[ticket.account]
        line.serial = NOT_READY
        self.virtual_time = max(self.virtual_time, line.finish)
        line.finish += ticket.cost / weight
        self.remove(line, ticket.exchange)
        self.make_ready(line)
        self.sweep()
        return ticket

    def discard(self, account: str, exchange: int) -> None:
        """Drop the ticket of an exchange that nobody waits for."""
        line = self.lines.get(account)
        if line is None or exchange not in line.waiting:
            return
        self.remove(line, exchange)
        if not line.waiting:
            line.serial = NOT_READY

    def remove(self, line: AccountLine, exchange: int) -> None:
        """Take a ticket out of its line and out of the sums."""
        ticket = line.waiting.pop(exchange)
        line.cost -= ticket.cost
        self.size -= 1
        self.cost -= ticket.cost
        if not line.waiting:
            self.active -= 1
            line.cost = 0.0
        if not self.size:
            self.cost = 0.0

    def park(self, account: str) -> None:
        """Set an account aside that may not run more at the moment.

        If its tickets stayed at the head, every other account would wait for
        it with engines free.
        """
        line = self.lines[account]
        line.parked = True
        line.serial = NOT_READY

    def unpark(self, account: str) -> None:
        """Let an account compete again, without credit for the time."""
        line = self.lines.get(account)
        if line is None or not line.parked:
            return
        line.parked = False
        line.finish = max(line.finish, self.virtual_time)
        self.make_ready(line)

    def make_ready(self, line: AccountLine) -> None:
        """Enter a line into the heap, if it may compete and is not there."""
        if line.parked or line.serial != NOT_READY or not line.waiting:
            return
        line.serial = next(self.serials)
        entry = (line.finish, line.serial, line.account)
        heapq.heappush(self.heap, entry)

    def sweep(self) -> None:
        """Drop lines without tickets and debt, at a constant mean cost."""
        self.pops_since_sweep += 1
        if self.pops_since_sweep < len(self.lines):
            return
        self.pops_since_sweep = 0
        self.lines = {
            account: line
            for account, line in self.lines.items()
            if line.waiting or line.finish > self.virtual_time
        }

    def cost_before(self, account: str) -> float:
        """Return the cost that is likely to start before a new ticket.

        Fair turns let about the account's own waiting cost pass for each
        account that competes, and never more than all that waits.
        """
        line = self.lines.get(account)
        own = line.cost if line is not None else 0.0
        return min(self.cost, own * max(1, self.active))

    def tickets(self) -> Iterator[Ticket]:
        """Yield all waiting tickets."""
        for line in self.lines.values():
            yield from line.waiting.values()

    def check(self) -> None:
        """Raise InvariantViolated if the heap and the lines disagree."""
        entries = {serial for _, serial, _ in self.heap}
        for line in self.lines.values():
            ready = bool(line.waiting) and not line.parked
            if ready != (line.serial in entries):
                raise errors.InvariantViolated(
                    f'line of {line.account} is not where it should be'
                )
        if self.size != sum(1 for _ in self.tickets()):
            raise errors.InvariantViolated('size differs from the tickets')

    def __len__(self) -> int:
        return self.size
