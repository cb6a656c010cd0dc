"""Keeps one instance's use of the platform's service within bounds.

All instances share a store that takes several hundred writes a second. One
that asks again and again during an outage keeps the store down when it comes
back, and makes callers wait for answers that won't come. So each instance
has its own rate, a bound on requests under way, and a circuit breaker. What
these refuse never left the process: for a claim that is a proof that it was
not written.
"""

import dataclasses
import enum
import random

from greengagelb.coordination import actions

MOST_IN_FLIGHT = 64
FAILURES_TO_OPEN = 5
FIRST_OPEN_SECONDS = 0.5
MOST_OPEN_SECONDS = 8.0
LEAST_SPREAD = 0.5
BURST_SECONDS = 2.0
DEFERRABLE_LEAVES = 0.5
MOST_OF_ONE_ACCOUNT = 0.5
MOST_SHARES = 256


class RequestKind(enum.Enum):
    """What the store counts apart.

    A deferrable write is one that nobody waits for. It leaves half of a
    burst to the writes that callers wait for: outcomes of finished calls
    would else keep new calls from being claimed.
    """

    READ = 'read'
    WRITE = 'write'
    DEFERRABLE_WRITE = 'deferrable-write'


class Circuit(enum.Enum):
    """State of the breaker; while half open, one request is a probe."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half-open'


class Refusal(enum.Enum):
    """Why a request was not sent."""

    OVER_RATE = 'over-rate'
    TOO_MANY_IN_FLIGHT = 'too-many-in-flight'
    CIRCUIT_OPEN = 'circuit-open'


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Allows ``rate`` requests a second and bursts of ``BURST_SECONDS``.

    Invariant: ``tokens`` stays between 0 and the burst.
    """

    rate: float
    tokens: float
    filled_at: float

    def take(self, now: float, left_share: float = 0.0) -> bool:
        """Take one token, if that leaves a share of the burst."""
        gained = max(0.0, now - self.filled_at) * self.rate
        burst = max(1.0, self.rate * BURST_SECONDS)
        self.tokens = min(burst, self.tokens + gained)
        self.filled_at = max(now, self.filled_at)
        if self.tokens < 1.0 or self.tokens - 1.0 < left_share * (burst - 1):
            return False
        self.tokens -= 1.0
        return True


class StoreBudget:
    """Decides whether a request to the platform may go out now.

    ``in_flight`` counts requests that were admitted and have not ended.
    Invariant: while the circuit is half open at most one was admitted.
    """

    def __init__(
        self, reads: float, writes: float, rng: random.Random, now: float
    ) -> None:
        self.rng = rng
        write_bucket = TokenBucket(writes, writes * BURST_SECONDS, now)
        self.buckets = {
            RequestKind.READ: TokenBucket(reads, reads * BURST_SECONDS, now),
            RequestKind.WRITE: write_bucket,
            RequestKind.DEFERRABLE_WRITE: write_bucket,
        }
        self.shares: dict[str, TokenBucket] = {}
        self.circuit = Circuit.CLOSED
        self.in_flight = 0
        self.failures = 0
        self.openings = 0
        self.open_until = now

    def admit(
        self, kind: RequestKind, now: float, account: str = ''
    ) -> Refusal | None:
        """Count a request as under way, or return why it may not go out.

        ``account`` is the client account that it is made for, if any.
        """
        if self.circuit is Circuit.HALF_OPEN:
            return Refusal.CIRCUIT_OPEN
        if self.circuit is Circuit.OPEN and now < self.open_until:
            return Refusal.CIRCUIT_OPEN
        if self.in_flight >= MOST_IN_FLIGHT:
            return Refusal.TOO_MANY_IN_FLIGHT
        if account and not self.share_of(account, now).take(now):
            return Refusal.OVER_RATE
        deferrable = kind is RequestKind.DEFERRABLE_WRITE
        left_share = DEFERRABLE_LEAVES if deferrable else 0.0
        if not self.buckets[kind].take(now, left_share):
            return Refusal.OVER_RATE
        if self.circuit is Circuit.OPEN:
            self.circuit = Circuit.HALF_OPEN
        self.in_flight += 1
        return None

    def share_of(self, account: str, now: float) -> TokenBucket:
        """Return the bucket of the writes that one account may cause.

        Without it an account that floods an instance with charges uses up
        all its writes, and other accounts' charges are turned away.
        """
        if len(self.shares) > MOST_SHARES:
            self.shares.clear()
        rate = self.buckets[RequestKind.WRITE].rate * MOST_OF_ONE_ACCOUNT
        full = TokenBucket(rate, rate * BURST_SECONDS, now)
        return self.shares.setdefault(account, full)

    def succeeded(self) -> list[actions.Record]:
        """Note that a request was answered."""
        self.in_flight -= 1
        self.failures = 0
        self.openings = 0
        if self.circuit is Circuit.CLOSED:
            return []
        self.circuit = Circuit.CLOSED
        return [actions.Record('store-circuit-closed', 'store answers')]

    def failed(self, now: float) -> list[actions.Record]:
        """Note that a request got no answer in time, or an error."""
        self.in_flight -= 1
        self.failures += 1
        if self.circuit is Circuit.OPEN:
            return []
        probing = self.circuit is Circuit.HALF_OPEN
        if not probing and self.failures < FAILURES_TO_OPEN:
            return []
        wait = min(MOST_OPEN_SECONDS, FIRST_OPEN_SECONDS * 2.0**self.openings)
        wait *= self.rng.uniform(LEAST_SPREAD, 1.0)
        self.openings = min(self.openings + 1, FAILURES_TO_OPEN)
        self.open_until = now + wait
        self.circuit = Circuit.OPEN
        reason = f'{self.failures} failures, next try in {wait:.2f} s'
        return [actions.Record('store-circuit-opened', reason)]
