"""Retry budgets of accounts, and backoff advice for callers.

A retry is any attempt of a request after its first. Retries multiply load just
when capacity is short. An account may add a tenth to its own calls by retries,
so that its failing calls cannot displace first attempts of other accounts.
"""

import random

# A first attempt earns this fraction of a retry.
RETRIES_EARNED_PER_CALL = 0.1
# Bound on saved retries; an account that is new to this instance starts with
# this many.
MAX_SAVED_RETRIES = 10.0
# The backoff doubles with each consecutive failure, up to MAX_DOUBLINGS times.
BASE_BACKOFF_SECONDS = 1.0
MAX_DOUBLINGS = 5
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.5


class AccountRetryBudget:
    """The retries left to each account at this instance.

    Invariant: ``saved_retries`` of an account stays between 0 and
    ``MAX_SAVED_RETRIES``.
    """

    def __init__(self) -> None:
        self.saved_retries: dict[str, float] = {}

    def count_first_attempt(self, account: str) -> None:
        """Earn a fraction of a retry for a first attempt."""
        saved_retries = (
            self.saved_retries.get(account, MAX_SAVED_RETRIES)
            + RETRIES_EARNED_PER_CALL
        )
        self.saved_retries[account] = min(MAX_SAVED_RETRIES, saved_retries)

    def take_retry(self, account: str) -> bool:
        """Take one retry from the budget; return whether there was one."""
        saved_retries = self.saved_retries.get(account, MAX_SAVED_RETRIES)
        if saved_retries < 1.0:
            return False
        self.saved_retries[account] = saved_retries - 1.0
        return True


class RetryAdvice:
    """Computes when refused callers should come back.

    The delay doubles with each consecutive failure, so that callers ask less
    often the longer an outage lasts. It is jittered, so that callers refused
    together do not return together.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.consecutive_failures = 0

    def record_success(self) -> None:
        """Reset the delay to its minimum."""
        self.consecutive_failures = 0

    def record_failure(self) -> float:
        """Count a failure and return the delay in seconds."""
        doublings = min(self.consecutive_failures, MAX_DOUBLINGS)
        self.consecutive_failures += 1
        return self.add_jitter(BASE_BACKOFF_SECONDS * 2.0**doublings)

    def delay_until_available(self, seconds: float) -> float:
        """Return a random delay of at least ``seconds``."""
        return seconds * self.rng.uniform(1.0, MAX_JITTER_FACTOR)

    def add_jitter(self, seconds: float) -> float:
        """Return a random delay around ``seconds``."""
        return seconds * self.rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
