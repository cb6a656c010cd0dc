"""Counts the retries that a service got, and what they were allowed.

The rule has three parts: the retries of a service over all windows of time,
the engines of one request, and the time that engines are told to have.
"""

import bisect
from collections.abc import Iterable
import dataclasses
import math

from tests.soak import engines

# Engines may be told to have this much more time than is left, in seconds.
MOST_TIME_BEYOND = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What all instances together may send, in any window of some seconds."""

    ratio: float
    slack: float
    window: float


@dataclasses.dataclass(frozen=True, slots=True)
class Excess:
    """The window in which a service got most retries beyond its allowance.

    ``over`` is negative where that window is within it.
    """

    over: float
    retries: int
    at: float


def repeats(received: Iterable[engines.Received]) -> list[float]:
    """Return when requests arrived that had arrived somewhere before."""
    known = set()
    found = []
    for arrival in sorted(received, key=lambda each: each.at):
        if arrival.request_id in known:
            found.append(arrival.at)
        known.add(arrival.request_id)
    return found


def engines_used(runs: Iterable[engines.Run]) -> int:
    """Return on how many engines a request ran that did not end meanwhile."""
    return len({run.engine for run in runs if not run.broken_off})


def is_told_too_long(
    arrival: engines.Received,
    first: engines.Received,
    asked_at: float,
    limit: float,
) -> bool:
    """Return whether an engine was told to have more time than is left.

    The caller waits ``limit`` seconds from ``asked_at`` on; ``first`` is the
    first arrival of the same request.
    """
    if arrival.left is None or arrival.left > limit + MOST_TIME_BEYOND:
        return True
    if not is_late_retry(arrival, first):
        return False
    first_end = first.at + (first.left or 0.0)
    end = max(first_end, asked_at + limit)
    return arrival.at + arrival.left > end + MOST_TIME_BEYOND


def is_late_retry(arrival: engines.Received, first: engines.Received) -> bool:
    """Return whether the time left has changed since the first arrival."""
    return arrival.at > first.at + MOST_TIME_BEYOND


def worst_window(
    requests: list[float], retries: list[float], bounds: Bounds
) -> Excess | None:
    """Return the worst of all sliding windows, or None without a retry.

    ``requests`` and ``retries`` are sorted times. The requests are counted in
    the window, the one before it or the one half a window before it, whichever
    has most.
    """
    whole, half = bounds.window, bounds.window / 2.0

    def count(times: list[float], begin: float) -> int:
        """Return how many times are in the window from ``begin`` on."""
        last = bisect.bisect_left(times, begin + whole)
        return last - bisect.bisect_left(times, begin)

    # No count changes between these beginnings.
    shifts = (0.0, -half, -whole, half, whole)
    edges = {at + shift for at in requests for shift in shifts}
    edges |= {at + shift for at in retries for shift in (0.0, -whole)}
    begins = edges | {math.nextafter(edge, math.inf) for edge in edges}
    found = []
    for begin in begins:
        counted = max(count(requests, begin - s) for s in (0.0, half, whole))
        got = count(retries, begin)
        allowed = bounds.ratio * counted + bounds.slack
        found.append(Excess(got - allowed, got, begin))
    return max(
        (each for each in found if each.retries),
        key=lambda each: each.over,
        default=None,
    )
