"""The load of one instance on the platform store."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from greengagelb.coordination.sharing import store_budget

READ = store_budget.RequestKind.READ
WRITE = store_budget.RequestKind.WRITE
CircuitState = store_budget.CircuitState


def small_budget(writes=5.0):
    return store_budget.StoreBudget(50.0, writes, random.Random(1), 0.0)


def fail_until_open(budget, now=0.0):
    for _ in range(store_budget.FAILURES_TO_OPEN):
        assert budget.admit(READ, now) is None
        opened = budget.record_failure(now)
    return opened


def test_rate_is_bounded_after_the_burst():
    """A flood of charges at one instance would use up the fleet's writes.

    The store would refuse the claims of every other instance.
    """
    budget = small_budget(writes=5.0)
    admitted = 0
    for tick in range(1000):
        if budget.admit(WRITE, tick * 0.01) is None:
            admitted += 1
            budget.record_success()
    assert admitted <= 5.0 * 10 + 5.0 * store_budget.STORE_BURST_SECONDS


def test_reads_do_not_use_up_writes():
    budget = small_budget()
    while budget.admit(READ, 0.0) is None:
        budget.record_success()
    assert budget.admit(WRITE, 0.0) is None


def test_outcomes_leave_room_for_claims():
    """A burst of charges ends and all outcomes are written at once.

    Without a reserve, new charges would be refused until the last outcome is
    written.
    """
    budget = small_budget()
    deferrable = store_budget.RequestKind.DEFERRABLE_WRITE
    while budget.admit(deferrable, 0.0) is None:
        budget.record_success()
    assert budget.buckets[WRITE].tokens >= 5.0
    assert budget.admit(WRITE, 0.0) is None


def test_one_account_leaves_writes_to_the_others():
    """One account sends charges as fast as it can.

    Without a bound per account, a single charge of another account would be
    refused.
    """
    budget = small_budget()
    for tick in range(500):
        now = tick * 0.01
        while budget.admit(WRITE, now, 'karri') is None:
            budget.record_success()
    assert budget.admit(WRITE, now, 'teratak') is None


def test_consecutive_failures_open_the_circuit_and_are_recorded():
    (opened,) = fail_until_open(small_budget())
    assert opened.kind == 'store-circuit-opened'


def test_open_circuit_refuses_at_once():
    """Guards against claims that wait for a store that is down."""
    budget = small_budget()
    fail_until_open(budget)
    assert budget.admit(WRITE, 0.0) is store_budget.Refusal.CIRCUIT_OPEN
    assert budget.in_flight == 0


def test_half_open_circuit_lets_one_probe_through():
    """Guards against all waiting requests hitting a store that comes back."""
    budget = small_budget()
    fail_until_open(budget)
    assert budget.admit(READ, 10.0) is None
    assert budget.admit(READ, 10.0) is store_budget.Refusal.CIRCUIT_OPEN
    (closed,) = budget.record_success()
    assert closed.kind == 'store-circuit-closed'
    assert budget.admit(READ, 10.0) is None


def test_failed_probe_opens_the_circuit_for_longer():
    budget = small_budget()
    fail_until_open(budget)
    now = 0.0
    waits = []
    for _ in range(8):
        waits.append(budget.open_until - now)
        now = budget.open_until
        assert budget.admit(READ, now) is None
        budget.record_failure(now)
    assert waits[0] <= store_budget.FIRST_OPEN_SECONDS
    assert max(waits) <= store_budget.MAX_OPEN_SECONDS
    assert min(waits[5:]) >= 4.0


def test_requests_under_way_are_bounded():
    """Guards against memory exhaustion by a store that never answers."""
    budget = store_budget.StoreBudget(1e6, 1e6, random.Random(1), 0.0)
    admitted = sum(budget.admit(READ, 0.0) is None for _ in range(999))
    assert admitted == store_budget.MAX_IN_FLIGHT


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['read', 'write', 'good', 'bad']),
        strategies.floats(0.0, 3.0),
    ),
    max_size=60,
)


@given(STEPS)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_bounds_hold_for_any_sequence(steps):
    budget = small_budget()
    now = 0.0
    for what, wait in steps:
        now += wait
        if what in ('read', 'write'):
            before = budget.circuit
            kind = READ if what == 'read' else WRITE
            refused = budget.admit(kind, now)
            if before is CircuitState.HALF_OPEN:
                assert refused is not None
        elif budget.in_flight and what == 'good':
            budget.record_success()
        elif budget.in_flight:
            budget.record_failure(now)
        assert 0 <= budget.in_flight <= store_budget.MAX_IN_FLIGHT
        assert all(b.tokens >= 0.0 for b in budget.buckets.values())
        if budget.circuit is CircuitState.OPEN:
            assert budget.open_until <= now + store_budget.MAX_OPEN_SECONDS
