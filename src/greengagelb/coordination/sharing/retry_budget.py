"""Bounds retries: how many an account gets, and when callers come back.

Retries multiply load just when there is too little capacity. An account may
add a tenth to its own calls by retries and no more, so one account's failing
calls can't crowd out another account's first tries.
"""

import random

EARNED_PER_CALL = 0.1
MOST_SAVED = 10.0
BASE_SECONDS = 1.0
MOST_DOUBLINGS = 5
LEAST_SPREAD = 0.5
MOST_SPREAD = 1.5


class RetryBudget:
    """Retries that each account may still make at this instance.

    Invariant: ``saved`` of an account stays between 0 and ``MOST_SAVED``.
    """

    def __init__(self) -> None:
        self.saved: dict[str, float] = {}

    def earn(self, account: str) -> None:
        """Count a first try."""
        saved = self.saved.get(account, MOST_SAVED) + EARNED_PER_CALL
        self.saved[account] = min(MOST_SAVED, saved)

    def spend(self, account: str) -> bool:
        """Take one retry out of the budget, if there is one."""
        saved = self.saved.get(account, MOST_SAVED)
        if saved < 1.0:
            return False
        self.saved[account] = saved - 1.0
        return True


class RetryAdvice:
    """Says when a caller that was turned away should come back.

    The wait doubles with each failure in a row, so that callers ask less
    often the longer an outage lasts; it is spread at random, so that those
    who were turned away together do not come back together.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0

    def succeeded(self) -> None:
        """Start from the shortest wait again."""
        self.failures = 0

    def failed(self) -> float:
        """Count a failure and return the wait in seconds."""
        doublings = min(self.failures, MOST_DOUBLINGS)
        self.failures += 1
        return self.spread(BASE_SECONDS * 2.0**doublings)

    def spread(self, seconds: float) -> float:
        """Return a wait around ``seconds``."""
        return seconds * self.rng.uniform(LEAST_SPREAD, MOST_SPREAD)
