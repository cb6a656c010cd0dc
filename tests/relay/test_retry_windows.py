"""The bound on retries holds in windows that begin at any time."""

from greengagelb.coordination.relay import shared_retry_budget
from greengagelb.state.relay import bounds
from tests.soak import budget

SERVICE = 'drafts'
BOUNDS = bounds.RetryBounds(ratio=0.8, window_seconds=10.0, slack=20.0)


def spend_all(spent, retries, now):
    """Spend all retries that the budget gives at a time; note the time."""
    while spent.try_spend(SERVICE, now):
        retries.append(now)


def test_retries_are_bound_in_windows_that_begin_between_requests():
    """Requests of before a burst and after it don't both allow it.

    An instance counts the requests of the last window. The bound takes them
    from one window, the one before it or the one half a window before it. A
    window that begins between two groups of requests sees only one of them,
    and all of the retries that both together have allowed.
    """
    spent = shared_retry_budget.SharedRetryBudget(BOUNDS)
    spent.set_fleet_size(1)
    requests, retries = [], []
    for group_at, burst_at in ((1.0, 5.0), (10.5, 10.9)):
        for _ in range(50):
            spent.count_request(SERVICE, group_at)
            requests.append(group_at)
        spend_all(spent, retries, burst_at)
    limits = budget.Bounds(BOUNDS.ratio, BOUNDS.slack, BOUNDS.window_seconds)
    worst = budget.worst_window(requests, retries, limits)
    assert worst.over <= 0, worst
