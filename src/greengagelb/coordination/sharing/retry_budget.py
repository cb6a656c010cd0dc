"""Bounds retries: how many an account gets, and when callers come back.

Retries multiply load just when there is too little capacity. An account may
add a tenth to its own calls by retries and no more, so one account's failing
calls can't crowd out another account's first tries.
"""

import random

RETRIES_EARNED_PER_CALL = 0.1
MAX_SAVED_RETRIES = 10.0
BASE_BACKOFF_SECONDS = 1.0
MAX_DOUBLINGS = 5
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.5


class RetryBudget:
    """Retries that each account may still make at this instance.

    Invariant: ``saved`` of an account stays between 0 and ``MOST_SAVED``.
    """

    def __init__(self) -> None:
        self.saved_retries: dict[str, float] = {}

    def count_first_attempt(self, account: str) -> None:
        """Count a first try."""
        saved_retries = (
            self.saved_retries.get(account, MAX_SAVED_RETRIES)
            + RETRIES_EARNED_PER_CALL
        )
        self.saved_retries[account] = min(MAX_SAVED_RETRIES, saved_retries)

    def take_retry(self, account: str) -> bool:
        """Take one retry out of the budget, if there is one."""
        saved_retries = self.saved_retries.get(account, MAX_SAVED_RETRIES)
        if saved_retries < 1.0:
            return False
        self.saved_retries[account] = saved_retries - 1.0
        return True


class RetryAdvice:
    """Says when a caller that was turned away should come back.

    The wait doubles with each failure in a row, so that callers ask less
    often the longer an outage lasts; it is spread at random, so that those
    who were turned away together do not come back together.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.consecutive_failures = 0

    def record_success(self) -> None:
        """Start from the shortest wait again."""
        self.consecutive_failures = 0

    def record_failure(self) -> float:
        """Count a failure and return the wait in seconds."""
        doublings = min(self.consecutive_failures, MAX_DOUBLINGS)
        self.consecutive_failures += 1
        return self.add_jitter(BASE_BACKOFF_SECONDS * 2.0**doublings)

    def add_jitter(self, seconds: float) -> float:
        """Return a wait around ``seconds``."""
        return seconds * self.rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
