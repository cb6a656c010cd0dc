"""Upstreams that name a limit, by the product's own interface."""

import pytest

from tests.common import limited_fleet
from tests.common import limited_nodes

RATE = 2.0


@pytest.mark.parametrize('size', [3, 12])
@pytest.mark.parametrize(
    'service',
    [limited_nodes.DRAFT, limited_nodes.LOOKUP, limited_nodes.CHARGE],
)
def test_all_instances_together_keep_to_the_limit_of_an_upstream(
    size, service
):
    """Guards against a limit that each instance keeps, or none does."""
    played = limited_nodes.LimitedNodes(size)
    names = played.upstreams_of(service)
    played.limit(RATE, *names)
    played.press(service, 3 * RATE * len(names), 20.0)
    allowed = RATE * limited_fleet.WINDOW_SECONDS * limited_fleet.MOST_SHARE
    for name in names:
        most = allowed + limited_fleet.SPARE_REQUESTS
        assert played.worst_window(name) <= most
