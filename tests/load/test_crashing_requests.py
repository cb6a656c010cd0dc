"""A request that crashes each engine that runs it comes again and again.

Each crash takes along all that the engine was doing. The caller, or a job of
its own, sends the same request again under a new id, and the balancer gives it
to any instance.
"""

import pytest

from tests.common import crashing_fleet

# What may reach engines later than the instances need to know of the third
# crash; the operators' bound.
MOST_RETRIES = 3


@pytest.mark.parametrize('size', [3, 30])
@pytest.mark.parametrize('kind', ['stream', 'query', 'call'])
def test_what_has_crashed_three_engines_gets_no_more_of_them(size, kind):
    """Guards against one request that ends engine after engine."""
    fleet = crashing_fleet.CrashingFleet(size)
    fleet.ask_again_and_again(kind, seconds=30.0, every=1.5)
    assert len(fleet.crashes) >= 3
    assert fleet.retries_after_the_third_crash() <= MOST_RETRIES
