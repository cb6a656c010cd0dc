"""Spaces out requests to engines that fail if they turn away too many.

Such an engine states how many requests it can turn away in a second. That
holds for all instances together. After a refusal they leave the engine alone
for times that differ, so that its load rises slowly to the next refusal.
Instances that learn of each other's refusals share the engine's rate; others
keep to their part of it.
"""

import random

from greengagelb.state import statements

REFUSED_STATUS = 503
# Requests under way when one is refused may be refused, too.
REFUSALS_PER_REST = 2.0
MIN_SHARE = 0.25
MAX_SHARE = 2.0
MIN_REST_SECONDS = 0.1
MAX_REST_SECONDS = 5.0


def requires_rest(statement: statements.Statement, status: int) -> bool:
    """Return whether an answer is a refusal of such an engine."""
    return statement.refusal_rate is not None and status == REFUSED_STATUS


def draw_rest_seconds(
    refusal_rate: float, parts: int, rng: random.Random
) -> float:
    """Return for how long this instance leaves an engine alone.

    ``parts`` is the number of instances that keep to a part of the rate each,
    1 if they share it.
    """
    seconds = MAX_REST_SECONDS
    if refusal_rate > 0:
        seconds = REFUSALS_PER_REST * parts / refusal_rate
    seconds *= rng.uniform(MIN_SHARE, MAX_SHARE)
    return min(MAX_REST_SECONDS, max(MIN_REST_SECONDS, seconds))
