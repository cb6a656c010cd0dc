"""Who may run next: bounded queues per client account, fair by cost.

One queue for all would let an account that floods make every other account
wait behind it. Here each account has its own bounded queue per pool, and the
account with the least service so far, by its weight, is served next.
"""

import collections
import dataclasses

from greengagelb.state import configuration as configuration_state

RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits for a place on an upstream.

    ``cost`` is in tokens: prompt and the most that may be generated.
    """

    exchange: int
    account: str
    pool: str
    priority: configuration_state.Priority
    cost: float


@dataclasses.dataclass(slots=True)
class AccountLine:
    """An account's waiting tickets and its service so far (virtual time)."""

    finish: float = 0.0
    waiting: collections.deque[Ticket] = dataclasses.field(
        default_factory=collections.deque
    )


class FairQueue:
    """Start-time fair queueing over accounts, one queue per pool and class.

    Invariant: virtual time never falls, and an idle account saves up nothing.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.lines: dict[str, AccountLine] = {}

    def push(self, ticket: Ticket) -> None:
        """Append a ticket to its account's line."""
        line = self.lines.setdefault(ticket.account, AccountLine())
        if not line.waiting:
            line.finish = max(line.finish, self.virtual_time)
        line.waiting.append(ticket)

    def head(self) -> Ticket | None:
        """Return the ticket that is next, without taking it."""
        waiting = [line for line in self.lines.values() if line.waiting]
        if not waiting:
            return None
        return min(waiting, key=lambda line: line.finish).waiting[0]

    def pop(self, weight: int) -> Ticket:
        """Take the next ticket and charge its account by its weight."""
        ticket = self.head()
        if ticket is None:
            raise IndexError('pop from an empty fair queue')
        line = self.lines[ticket.account]
        line.waiting.popleft()
        self.virtual_time = max(self.virtual_time, line.finish)
        line.finish += ticket.cost / weight
        self.forget_idle_lines()
        return ticket

    def discard(self, exchange: int) -> None:
        """Drop the ticket of an exchange that nobody waits for."""
        for line in self.lines.values():
            kept = [t for t in line.waiting if t.exchange != exchange]
            line.waiting = collections.deque(kept)

    def forget_idle_lines(self) -> None:
        """Drop lines that hold neither tickets nor a debt."""
        self.lines = {
            account: line
            for account, line in self.lines.items()
            if line.waiting or line.finish > self.virtual_time
        }

    def __len__(self) -> int:
        return sum(len(line.waiting) for line in self.lines.values())


class AdmissionControl:
    """Counts what each account runs and keeps what waits."""

    def __init__(self) -> None:
        self.queues: dict[
            tuple[str, configuration_state.Priority], FairQueue
        ] = {}
        self.running: collections.Counter[str] = collections.Counter()
        self.queued: collections.Counter[str] = collections.Counter()

    def may_queue(self, account: configuration_state.ClientAccount) -> bool:
        """Return whether one more request of the account may wait."""
        return self.queued[account.name] < account.most_queued

    def may_run(self, account: configuration_state.ClientAccount) -> bool:
        """Return whether one more request of the account may run."""
        return self.running[account.name] < account.most_running

    def push(self, ticket: Ticket) -> None:
        """Let a ticket wait."""
        key = (ticket.pool, ticket.priority)
        self.queues.setdefault(key, FairQueue()).push(ticket)
        self.queued[ticket.account] += 1

    def heads(self) -> list[Ticket]:
        """Return the next ticket of each queue, most urgent class first."""
        keys = sorted(self.queues, key=lambda key: (key[1], key[0]))
        heads = (self.queues[key].head() for key in keys)
        return [ticket for ticket in heads if ticket is not None]

    def start(self, ticket: Ticket, weight: int) -> None:
        """Take a head out of its queue and count it as running."""
        self.queues[(ticket.pool, ticket.priority)].pop(weight)
        self.queued[ticket.account] -= 1
        self.running[ticket.account] += 1

    def discard(self, ticket: Ticket) -> None:
        """Forget a ticket that waits."""
        self.queues[(ticket.pool, ticket.priority)].discard(ticket.exchange)
        self.queued[ticket.account] -= 1

    def finish(self, account: str) -> None:
        """Count a request of the account as no longer running."""
        self.running[account] -= 1
