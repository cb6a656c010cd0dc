"""Bounds the load of one instance on the platform store.

All instances share a store that takes several hundred writes a second. An
instance that retries without bound during an outage keeps the store down when
it comes back, and makes callers wait for answers that will not come. So each
instance has its own rate limit, a bound on requests in flight, and a circuit
breaker. A refused request never left the process: for a claim this proves that
it was not written.
"""

import dataclasses
import enum
import random

from greengagelb.coordination import actions

MAX_IN_FLIGHT = 64
# Consecutive failures that open the circuit.
FAILURES_TO_OPEN = 5
# The circuit stays open for a jittered time, which doubles with each opening
# until a request succeeds.
FIRST_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 8.0
MIN_JITTER_FACTOR = 0.5
# Burst of a rate, in seconds of that rate.
STORE_BURST_SECONDS = 2.0
# Share of the burst that deferrable writes leave to the other writes.
DEFERRABLE_RESERVED_SHARE = 0.5
# Share of the write rate that one account may use.
MAX_ACCOUNT_SHARE = 0.5
# Memory bound; beyond it the buckets of all accounts are dropped.
MAX_ACCOUNT_BUCKETS = 256


class RequestKind(enum.Enum):
    """The kinds of store requests with separate limits.

    Nobody waits for a deferrable write. It leaves half of a burst to the
    writes that callers wait for: otherwise outcomes of finished calls would
    keep new calls from being claimed.
    """

    READ = 'read'
    WRITE = 'write'
    DEFERRABLE_WRITE = 'deferrable-write'


class CircuitState(enum.Enum):
    """State of the circuit breaker; half open allows one probe request."""

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
    """Allows ``rate`` requests a second and bursts of ``STORE_BURST_SECONDS``.

    Invariant: ``tokens`` stays between 0 and the burst size.
    """

    rate: float
    tokens: float
    refilled_at: float

    def take(self, now: float, reserved_share: float = 0.0) -> bool:
        """Take one token; return whether that was allowed.

        ``reserved_share`` is the share of the burst that must remain.
        """
        gained = max(0.0, now - self.refilled_at) * self.rate
        burst = max(1.0, self.rate * STORE_BURST_SECONDS)
        self.tokens = min(burst, self.tokens + gained)
        self.refilled_at = max(now, self.refilled_at)
        if self.tokens < 1.0 or self.tokens - 1.0 < reserved_share * (
            burst - 1
        ):
            return False
        self.tokens -= 1.0
        return True


class StoreBudget:
    """Decides whether a request to the platform may be sent now.

    ``in_flight`` counts admitted requests that have not ended.

    Invariant: while the circuit is half open, at most one request was
    admitted.
    """

    def __init__(
        self, reads: float, writes: float, rng: random.Random, now: float
    ) -> None:
        self.rng = rng
        write_bucket = TokenBucket(writes, writes * STORE_BURST_SECONDS, now)
        self.buckets = {
            RequestKind.READ: TokenBucket(
                reads, reads * STORE_BURST_SECONDS, now
            ),
            RequestKind.WRITE: write_bucket,
            RequestKind.DEFERRABLE_WRITE: write_bucket,
        }
        self.account_buckets: dict[str, TokenBucket] = {}
        self.circuit = CircuitState.CLOSED
        self.in_flight = 0
        self.consecutive_failures = 0
        self.consecutive_openings = 0
        self.open_until = now

    def admit(
        self, kind: RequestKind, now: float, account: str = ''
    ) -> Refusal | None:
        """Count a request as in flight, or return why it is refused.

        ``account`` is the client account that it is made for, if any.
        """
        if self.circuit is CircuitState.HALF_OPEN:
            return Refusal.CIRCUIT_OPEN
        if self.circuit is CircuitState.OPEN and now < self.open_until:
            return Refusal.CIRCUIT_OPEN
        if self.in_flight >= MAX_IN_FLIGHT:
            return Refusal.TOO_MANY_IN_FLIGHT
        if account and not self.account_bucket(account, now).take(now):
            return Refusal.OVER_RATE
        is_deferrable = kind is RequestKind.DEFERRABLE_WRITE
        reserved_share = DEFERRABLE_RESERVED_SHARE if is_deferrable else 0.0
        if not self.buckets[kind].take(now, reserved_share):
            return Refusal.OVER_RATE
        if self.circuit is CircuitState.OPEN:
            self.circuit = CircuitState.HALF_OPEN
        self.in_flight += 1
        return None

    def account_bucket(self, account: str, now: float) -> TokenBucket:
        """Return the bucket of the writes that one account may cause.

        Without it, an account that floods an instance with charges would use
        up all its writes, and charges of other accounts would be refused.
        """
        if len(self.account_buckets) > MAX_ACCOUNT_BUCKETS:
            self.account_buckets.clear()
        rate = self.buckets[RequestKind.WRITE].rate * MAX_ACCOUNT_SHARE
        full_bucket = TokenBucket(rate, rate * STORE_BURST_SECONDS, now)
        return self.account_buckets.setdefault(account, full_bucket)

    def record_success(self) -> list[actions.Record]:
        """Record that a request was answered."""
        self.in_flight -= 1
        self.consecutive_failures = 0
        self.consecutive_openings = 0
        if self.circuit is CircuitState.CLOSED:
            return []
        self.circuit = CircuitState.CLOSED
        return [actions.Record('store-circuit-closed', 'store answers')]

    def record_failure(self, now: float) -> list[actions.Record]:
        """Record that a request failed or timed out."""
        self.in_flight -= 1
        self.consecutive_failures += 1
        if self.circuit is CircuitState.OPEN:
            return []
        was_half_open = self.circuit is CircuitState.HALF_OPEN
        if not was_half_open and self.consecutive_failures < FAILURES_TO_OPEN:
            return []
        open_seconds = min(
            MAX_OPEN_SECONDS,
            FIRST_OPEN_SECONDS * 2.0**self.consecutive_openings,
        )
        open_seconds *= self.rng.uniform(MIN_JITTER_FACTOR, 1.0)
        self.consecutive_openings = min(
            self.consecutive_openings + 1, FAILURES_TO_OPEN
        )
        self.open_until = now + open_seconds
        self.circuit = CircuitState.OPEN
        reason = (
            f'{self.consecutive_failures} failures, '
            f'next try in {open_seconds:.2f} s'
        )
        return [actions.Record('store-circuit-opened', reason)]
