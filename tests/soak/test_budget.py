"""The soak counts retries as operators bound them."""

import pytest

from tests.soak import budget
from tests.soak import engines

BOUNDS = budget.Bounds(ratio=0.5, slack=2.0, window=10.0)


def received(*arrivals):
    """Return arrivals at a service, from pairs of a request and a time."""
    return [engines.Received('drafts', name, at) for name, at in arrivals]


def test_all_arrivals_but_the_first_of_a_request_are_retries():
    """A retry that an engine turned away, or the same one, is counted too."""
    arrivals = received(('a', 1.0), ('b', 1.5), ('a', 2.0), ('a', 3.0))
    assert budget.repeats(arrivals) == [2.0, 3.0]


@pytest.mark.parametrize(
    ('requests', 'retries', 'over'),
    [
        pytest.param([], [0.0, 9.9], 0.0, id='slack'),
        pytest.param([], [0.0, 10.0], -1.0, id='a window apart'),
        pytest.param([], [4.0, 9.0, 13.9], 1.0, id='windows slide'),
        pytest.param([1.0] * 4, [9.0] * 5, 1.0, id='requests in the window'),
        pytest.param([1.0] * 4, [10.9] * 5, 1.0, id='the window before'),
        pytest.param([1.0] * 4, [11.1] * 5, 3.0, id='requests too long ago'),
        pytest.param(
            [6.0, 6.0, 14.0, 14.0],
            [10.0, 10.0, 19.9, 19.9, 19.9],
            1.0,
            id='half a window before',
        ),
    ],
)
def test_worst_window_is_found(requests, retries, over):
    """A burst of retries across the edge of two windows is one burst."""
    assert budget.worst_window(requests, retries, BOUNDS).over == over


def test_engines_that_ended_do_not_count_as_used():
    """Else each loss of an engine would count as an engine too many."""
    runs = [engines.Run('a', f'i-{number}', 0.0) for number in range(3)]
    runs.append(engines.Run('a', 'i-0', 1.0))
    runs[1].broken_off = True
    assert budget.engines_used(runs) == 2


@pytest.mark.parametrize(
    ('at', 'left', 'is_too_long'),
    [
        pytest.param(0.1, None, True, id='no time named'),
        pytest.param(0.1, 10.4, False, id='rounded up'),
        pytest.param(0.1, 10.6, True, id='longer than the caller waits'),
        pytest.param(3.0, 7.0, False, id='what is left'),
        pytest.param(3.0, 7.6, True, id='more than is left'),
        pytest.param(0.4, 10.0, False, id='the same moment'),
    ],
)
def test_engines_are_told_no_more_time_than_is_left(at, left, is_too_long):
    """Guards against work that goes on after the caller has left."""
    first = engines.Received('drafts', 'a', 0.0, 10.0)
    arrival = engines.Received('drafts', 'a', at, left)
    told = budget.is_told_too_long(arrival, first, asked_at=0.0, limit=10.0)
    assert told == is_too_long


def test_without_retries_no_window_is_worst():
    """Else a quiet service would be blamed for its allowance."""
    assert budget.worst_window([1.0], [], BOUNDS) is None
