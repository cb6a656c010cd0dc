"""Admission control: which request starts next and which is refused at once.

Requests wait in a fair queue per pool and priority, bounded per client
account. A request that cannot be answered in time is refused on arrival, with
a Retry-After that grows with the queue: work that starts too late costs an
engine as much as work that a caller still waits for.
"""

import collections
import dataclasses
import random

from greengagelb.coordination.sharing import fair_queue
from greengagelb.coordination.sharing import rates
from greengagelb.state import configuration as configuration_state
from greengagelb.state import requests

# Bounds of the Retry-After before jitter is added.
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 120.0
SECONDS_PER_MINUTE = 60.0
# Factor on the estimated wait, which is a mean. At five times capacity, it
# lowered the share of admitted long requests that were refused after waiting
# from a fifth to a thirtieth.
WAIT_MARGIN = 1.5

QueueKey = tuple[str, configuration_state.Priority]


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request that was given to an upstream at ``started_at``."""

    ticket: fair_queue.Ticket
    started_at: float


def queue_key(ticket: fair_queue.Ticket) -> QueueKey:
    """Return the key of the queue that a ticket waits in."""
    return (ticket.pool, ticket.priority)


class AdmissionControl:
    """Counts what each account runs and queues what waits.

    Invariant: each exchange is counted once, as waiting or as running.
    ``recheck_needed`` is set when a waiting request may be able to start.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.live_instances = 1
        self.queues: dict[QueueKey, fair_queue.FairQueue] = {}
        self.queue_keys: list[QueueKey] = []
        self.running: dict[int, RunningRequest] = {}
        self.running_per_account: collections.Counter[str] = (
            collections.Counter()
        )
        self.running_per_queue: collections.Counter[QueueKey] = (
            collections.Counter()
        )
        self.queued_per_account: collections.Counter[str] = (
            collections.Counter()
        )
        self.duration_estimates: dict[QueueKey, rates.DurationEstimate] = {}
        self.account_duration_estimates: dict[
            tuple[QueueKey, str], rates.DurationEstimate
        ] = {}
        self.rate_buckets: dict[str, rates.CostBucket] = {}
        self.resume_buckets: dict[str, rates.CostBucket] = {}
        self.recheck_needed = False

    def set_instance_count(self, live_instances: int) -> None:
        """Set the live instances that share the data centre's limits."""
        self.live_instances = max(1, live_instances)
        self.unpark_all_accounts()

    def max_running(self, account: configuration_state.ClientAccount) -> int:
        """Return this instance's part of the account's concurrency limit.

        It is at least 1. A limit below the number of instances may therefore
        be exceeded by up to the difference; otherwise the account's callers
        would be rejected at most instances.
        """
        return max(1, account.most_running // self.live_instances)

    def may_run(self, account: configuration_state.ClientAccount) -> bool:
        """Return whether one more request of the account may run."""
        limit = self.max_running(account)
        return self.running_per_account[account.name] < limit

    def refusal(
        self,
        ticket: fair_queue.Ticket,
        account: configuration_state.ClientAccount,
        is_resume: bool,
        now: float,
    ) -> requests.Failure | None:
        """Return why a request is refused at once, or None to let it wait.

        The rate limit is checked last, so that a refused request consumes none
        of it.
        """
        if self.queued_per_account[account.name] >= account.most_queued:
            return self.refuse_with_jitter(
                'account-queue-full',
                f'{account.most_queued} requests wait already',
                self.expected_wait_seconds(ticket),
            )
        wait = self.expected_wait_seconds(ticket)
        latest = now + WAIT_MARGIN * wait + self.expected_run_seconds(ticket)
        if latest > ticket.deadline:
            return self.refuse_with_jitter(
                'deadline-too-near',
                f'would have to wait for about {wait:.1f} s',
                wait,
            )
        if now + WAIT_MARGIN * wait > ticket.start_by:
            return self.refuse_with_jitter(
                'wait-too-long',
                f'would have to wait for about {wait:.1f} s',
                wait,
            )
        if is_resume:
            return self.resume_refusal(account, now)
        return self.rate_refusal(ticket, account, now)

    def rate_refusal(
        self,
        ticket: fair_queue.Ticket,
        account: configuration_state.ClientAccount,
        now: float,
    ) -> requests.Failure | None:
        """Return a refusal if the account exceeds its token rate, or None."""
        if not account.tokens_per_second:
            return None
        rate = account.tokens_per_second / self.live_instances
        burst = rate * rates.ACCOUNT_BURST_SECONDS
        bucket = self.rate_buckets.setdefault(
            account.name, rates.CostBucket(burst, now)
        )
        wait = bucket.take(ticket.cost, rate, burst, now)
        if wait is None:
            return None
        return self.refuse_with_jitter(
            'account-rate-exceeded', account.name, wait
        )

    def resume_refusal(
        self, account: configuration_state.ClientAccount, now: float
    ) -> requests.Failure | None:
        """Return a refusal if the account exceeds its resume budget, or None.

        Each resume makes an engine process the prompt again. Without a budget,
        callers of one account that drop their connections in a loop would use
        up the capacity of the others.
        """
        burst = float(account.resume_budget)
        rate = max(burst, 1.0) / SECONDS_PER_MINUTE
        bucket = self.resume_buckets.setdefault(
            account.name, rates.CostBucket(burst, now)
        )
        wait = bucket.take(1.0, rate, burst, now)
        if wait is None:
            return None
        return self.refuse_with_jitter(
            'resume-budget-spent', account.name, wait
        )

    def refuse_with_jitter(
        self, code: str, detail: str, wait: float
    ) -> requests.Failure:
        """Return a refusal with a jittered Retry-After in seconds.

        Without jitter all refused callers would come back at the same time and
        be refused again.
        """
        base = min(max(MIN_RETRY_AFTER_SECONDS, wait), MAX_RETRY_AFTER_SECONDS)
        seconds = base * self.rng.uniform(1.0, 2.0)
        return requests.Failure(code, requests.Ran.NO, detail, seconds)

    def expected_wait_seconds(self, ticket: fair_queue.Ticket) -> float:
        """Return the estimated seconds until a new ticket starts.

        While requests wait, every place that this instance can use is taken,
        so the number of running requests is the number of places.
        """
        key = queue_key(ticket)
        duration_estimate = self.duration_estimates.get(key)
        running = self.running_per_queue[key]
        if duration_estimate is None or not running:
            return 0.0
        return (
            duration_estimate.mean_seconds(self.cost_before(ticket)) / running
        )

    def cost_before(self, ticket: fair_queue.Ticket) -> float:
        """Return the waiting cost that is served before a new ticket."""
        cost = 0.0
        for (pool, priority), queue in self.queues.items():
            if pool != ticket.pool or priority > ticket.priority:
                continue
            if priority == ticket.priority:
                cost += queue.cost_before(ticket.account)
            else:
                cost += queue.waiting_cost
        return cost

    def waiting_before(self, ticket: fair_queue.Ticket) -> int:
        """Return how many requests are likely to start before a new one."""
        queue = self.queues.get(queue_key(ticket))
        if queue is None or not queue.size:
            return 0
        account_queue = queue.account_queues.get(ticket.account)
        own_waiting = (
            len(account_queue.waiting) if account_queue is not None else 0
        )
        return min(
            queue.size, (own_waiting + 1) * max(1, queue.active_accounts)
        )

    def expected_run_seconds(self, ticket: fair_queue.Ticket) -> float:
        """Return the estimated upper run time of a request, in seconds.

        The estimate uses the account's own requests if there were any: slow
        requests of one account must not cause refusals for the others.
        """
        key = queue_key(ticket)
        duration_estimate = self.account_duration_estimates.get(
            (key, ticket.account)
        ) or self.duration_estimates.get(key)
        if duration_estimate is None:
            return 0.0
        return duration_estimate.conservative_seconds(ticket.cost)

    def push(self, ticket: fair_queue.Ticket) -> None:
        """Append a ticket to its queue."""
        key = queue_key(ticket)
        if key not in self.queues:
            self.queues[key] = fair_queue.FairQueue()
            self.queue_keys = sorted(self.queues, key=lambda k: (k[1], k[0]))
        self.queues[key].push(ticket)
        self.queued_per_account[ticket.account] += 1
        self.recheck_needed = True

    def start_ticket(
        self, ticket: fair_queue.Ticket, weight: int, now: float
    ) -> None:
        """Pop the next ticket of its queue and count it as running."""
        key = queue_key(ticket)
        self.queues[key].pop(weight)
        self.queued_per_account[ticket.account] -= 1
        self.running[ticket.exchange] = RunningRequest(ticket, now)
        self.running_per_account[ticket.account] += 1
        self.running_per_queue[key] += 1

    def park_account(self, ticket: fair_queue.Ticket) -> None:
        """Exclude the ticket's account until one of its requests ends."""
        self.queues[queue_key(ticket)].park_account(ticket.account)

    def keep_accounts(self, names: set[str]) -> None:
        """Drop the state of accounts that are not in ``names``."""
        for buckets in (self.rate_buckets, self.resume_buckets):
            for name in buckets.keys() - names:
                del buckets[name]
        for key in list(self.account_duration_estimates):
            if key[1] not in names:
                del self.account_duration_estimates[key]
        self.unpark_all_accounts()

    def unpark_all_accounts(self) -> None:
        """Let every account compete again after limits have changed."""
        for queue in self.queues.values():
            for account in list(queue.account_queues):
                queue.unpark_account(account)
        self.recheck_needed = True

    def discard(self, ticket: fair_queue.Ticket) -> None:
        """Remove a waiting ticket."""
        queue = self.queues[queue_key(ticket)]
        queue.discard(ticket.account, ticket.exchange)
        self.queued_per_account[ticket.account] -= 1

    def finish_exchange(
        self, exchange: int, completed: bool, now: float
    ) -> None:
        """Count a request as no longer running.

        If ``completed``, its duration updates the estimates. Callers that hang
        up at once would make the engines look faster than they are.
        """
        finished = self.running.pop(exchange, None)
        if finished is None:
            return
        ticket = finished.ticket
        key = queue_key(ticket)
        self.running_per_account[ticket.account] -= 1
        self.running_per_queue[key] -= 1
        if completed:
            self.observe_duration(ticket, now - finished.started_at)
        for queue in self.queues.values():
            queue.unpark_account(ticket.account)
        self.recheck_needed = True

    def observe_duration(
        self, ticket: fair_queue.Ticket, seconds: float
    ) -> None:
        """Update the estimates with the run time of a request."""
        key = queue_key(ticket)
        account_key = (key, ticket.account)
        self.duration_estimates.setdefault(
            key, rates.DurationEstimate()
        ).observe(seconds, ticket.cost)
        self.account_duration_estimates.setdefault(
            account_key, rates.DurationEstimate()
        ).observe(seconds, ticket.cost)
