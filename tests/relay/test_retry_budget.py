"""The budget of repeats that all instances share."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from greengagelb.coordination.relay import budget
from tests.common import relay_world

# One second of one instance: its requests, and the repeats that it wants.
SECONDS = st.tuples(st.integers(0, 9), st.integers(0, 60))


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.lists(SECONDS, min_size=25, max_size=25), min_size=1, max_size=8
    )
)
def test_all_instances_together_keep_to_the_shared_bound(instances):
    """A data centre of engines dies; all repeat what they had there.

    Together they would finish off the engines that are left.
    """
    bounds = relay_world.RETRIES
    budgets = [budget.SharedRetryBudget(bounds) for _ in instances]
    for one in budgets:
        one.resize(len(instances))
    requests = [0] * 25
    repeats = [0] * 25
    for second in range(25):
        for one, plan in zip(budgets, instances, strict=True):
            asked, wanted = plan[second]
            for _ in range(asked):
                one.count_request('s', float(second))
            requests[second] += asked
            repeats[second] += sum(
                one.spend('s', float(second)) for _ in range(wanted)
            )
    for start in range(25 - 10):
        window = slice(start, start + 10)
        most = bounds.ratio * sum(requests[window]) + bounds.slack
        assert sum(repeats[window]) <= most


def test_instance_that_knows_no_others_takes_little():
    """Many instances start at once while the store is away.

    Each of them taking the whole budget would multiply it by their number.
    """
    one = budget.SharedRetryBudget(relay_world.RETRIES)
    taken = sum(one.spend('s', 1.0) for _ in range(100))
    assert 1 <= taken <= 3
