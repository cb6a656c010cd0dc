"""An engine names how many requests a second it takes from all instances."""

import pytest

from tests.common import limited_fleet


@pytest.mark.parametrize('size', [3, 30])
@pytest.mark.parametrize('kind', ['call', 'query', 'stream'])
def test_all_instances_together_keep_to_the_limit_of_an_engine(size, kind):
    """Guards against a limit that each instance keeps, or none does.

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
def test_what_an_engine_with_a_limit_does_not_take_goes_to_the_others(kind):
    """Guards against an engine in need that gets its part as before."""
    played = limited_fleet.LimitedFleet(8, per_place=1)
    [first, *others] = played.engines_of(kind)
    played.limit(2.0, first)
    before = len(played.refusals())
    played.press(kind, 30.0, 15.0)
    assert played.worst_window(first) <= played.allowed(2.0)
    assert len(played.refusals()) == before
    assert sum(len(played.got[name]) for name in others) > 0
