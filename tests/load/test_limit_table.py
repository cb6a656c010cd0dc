"""Which value of an engine's limit wins, whatever the order of messages."""

import itertools

from hypothesis import given
from hypothesis import strategies

from greengagelb.coordination.sharing import limit_table
from greengagelb.state import limits

LIFE = 'engine 1'

news = strategies.builds(
    limits.LimitUpdate,
    strategies.sampled_from([LIFE, 'engine 2']),
    strategies.sampled_from([None, 0.0, 0.5, 2.1, 200.0]),
    strategies.integers(1, 4),
)


@given(strategies.lists(news, max_size=5))
def test_merged_value_does_not_depend_on_order(told):
    """Guards against a late message that restores an older limit."""
    found = set()
    for order in itertools.permutations(told):
        table = limit_table.LimitTable()
        for one in order:
            table.merge_limit(one, 100.0)
        found.add(tuple(sorted(table.limits_in_force().items())))
        if len(order) > 3 and len(found) > 1:
            break
    assert len(found) == 1


def test_an_answer_to_an_earlier_request_changes_nothing():
    """Guards against a late answer that lifts or reverts a limit."""
    table = limit_table.LimitTable()
    table.update_from_answer(LIFE, 2.0, 99.0, 100.0)
    assert table.update_from_answer(LIFE, None, 99.5, 100.5) is None
    assert table.update_from_answer(LIFE, 4.0, 100.0, 100.5) is None
    assert table.rate_of(LIFE) == 2.0
    assert table.update_from_answer(LIFE, 4.0, 100.2, 100.5).version == 2
    assert table.update_from_answer(LIFE, None, 100.6, 101.0).rate is None
    assert table.rate_of(LIFE) is None


def test_frequent_changes_are_rate_limited():
    """Guards against an engine whose changing limit floods the fleet."""
    table = limit_table.LimitTable()
    told = [
        table.update_from_answer(
            LIFE, 1.0 + n % 7, 100.0 + n / 1000, 100.0 + n / 1000
        )
        for n in range(1, 1000)
    ]
    assert sum(one is not None for one in told) <= 10


def test_number_of_kept_lives_is_bounded():
    """Guards against engines that exhaust memory with reported limits."""
    table = limit_table.LimitTable()
    for number in range(10_000):
        table.update_from_answer(
            f'engine {number}', 2.0, 100.0, 100.0 + number
        )
    assert len(table.known_limits) == limit_table.MAX_LIVES
    assert table.rate_of('engine 9999') == 2.0


def test_a_lifted_limit_is_eventually_removed():
    """Guards against memory use by limits lifted long ago."""
    table = limit_table.LimitTable()
    table.update_from_answer(LIFE, 2.0, 99.0, 100.0)
    table.update_from_answer(LIFE, None, 100.5, 101.0)
    assert table.list_limits() == [limits.LimitUpdate(LIFE, None, 2)]
    table.update_from_answer('engine 2', 2.0, 200.0, 201.0)
    assert LIFE not in table.known_limits


def test_digests_differ_if_limits_differ():
    """Guards against differences that heartbeats do not show."""
    one, other = limit_table.LimitTable(), limit_table.LimitTable()
    assert one.digest() == other.digest()
    one.update_from_answer(LIFE, 2.0, 99.0, 100.0)
    assert one.digest() != other.digest()
    for told in one.list_limits():
        other.merge_limit(told, 100.0)
    assert one.digest() == other.digest()
