"""Engines that limit their requests a second over all instances."""

import pytest

from tests.common import limited_fleet


@pytest.mark.parametrize('size', [3, 30])
@pytest.mark.parametrize('kind', ['call', 'query', 'stream'])
def test_the_sum_over_all_instances_stays_within_an_engine_limit(size, kind):
    """Guards against a limit applied per instance, or not at all.

    All engines of the service have one, and callers ask for three times as
    much as they allow.
    """
    played = limited_fleet.LimitedFleet(size, per_place=1)
    names = played.engines_of(kind)
    rate = 2.0
    played.limit(rate, *names)
    played.press(kind, 3 * rate * len(names), 20.0)
    for name in names:
        assert played.worst_window(name) <= played.allowed(rate)


@pytest.mark.parametrize('kind', ['call', 'query'])
def test_requests_above_an_engine_limit_go_to_other_engines(kind):
    """Guards against a limited engine that gets the same load as before."""
    played = limited_fleet.LimitedFleet(8, per_place=1)
    [first, *others] = played.engines_of(kind)
    played.limit(2.0, first)
    before = len(played.refusals())
    played.press(kind, 30.0, 15.0)
    assert played.worst_window(first) <= played.allowed(2.0)
    assert len(played.refusals()) == before
    assert sum(len(played.got[name]) for name in others) > 0
