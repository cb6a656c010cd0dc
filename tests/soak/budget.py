"""Counts the retries that a service got, over all windows of time."""

import bisect
from collections.abc import Iterable
import dataclasses
import math

from tests.soak import engines


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
