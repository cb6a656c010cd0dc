"""What is served while parts of the platform are unreachable.

The cases are those of the table in ``docs/design/at_most_once.md``.
"""

import pytest

from greengagelb.coordination import actions
from greengagelb.state import requests
from tests.common import call_world

CHARGE = call_world.CHARGE
DIGEST = call_world.DIGEST
LOOKUP = call_world.LOOKUP
NOT_RUN = requests.Ran.NO
UNKNOWN = requests.Ran.UNKNOWN
SERVED = 'served'


def keep_all_reachable(world):
    """Leave everything as it is."""


def refuse_store_connections(world):
    """Have the store refuse connections."""
    world.store_down = True


def withhold_store_answers(world):
    """Have the store accept writes and never answer."""
    world.store_silent = True


def lose_store_answers(world):
    """Have the store apply writes whose answers are lost."""
    world.store_loses_answers = True


def refuse_upstream_connections(world):
    """Have every upstream refuse connections."""
    world.upstreams_down = True


ROWS = [
    # request, idempotency key, first send, fault, what the caller gets
    (LOOKUP, True, False, keep_all_reachable, SERVED),
    (LOOKUP, True, False, refuse_store_connections, SERVED),
    (LOOKUP, True, False, withhold_store_answers, SERVED),
    (LOOKUP, True, False, refuse_upstream_connections, NOT_RUN),
    (CHARGE, False, False, refuse_store_connections, SERVED),
    (CHARGE, False, False, refuse_upstream_connections, NOT_RUN),
    (CHARGE, True, False, keep_all_reachable, SERVED),
    (CHARGE, True, True, refuse_store_connections, NOT_RUN),
    (CHARGE, True, False, refuse_store_connections, UNKNOWN),
    (CHARGE, True, True, withhold_store_answers, NOT_RUN),
    (CHARGE, True, False, withhold_store_answers, UNKNOWN),
    (CHARGE, True, False, lose_store_answers, SERVED),
    (CHARGE, True, False, refuse_upstream_connections, NOT_RUN),
    (DIGEST, False, False, refuse_store_connections, SERVED),
    (DIGEST, True, False, keep_all_reachable, SERVED),
    (DIGEST, True, True, refuse_store_connections, NOT_RUN),
    (DIGEST, True, False, refuse_store_connections, UNKNOWN),
]


@pytest.mark.parametrize(('service', 'key', 'first', 'cut', 'expected'), ROWS)
def test_outcome_while_part_of_the_platform_is_unreachable(
    service, key, first, cut, expected
):
    """Part of the platform is unreachable when a request arrives."""
    world = call_world.World()
    cut(world)
    exchange = world.submit(
        world.instances[0], service, has_key=key, first_send=first
    )
    for _ in range(12):
        world.step_under_cut()
    (answer,) = exchange.answers
    match answer:
        case actions.SendFailure(failure=failure):
            assert failure.ran is expected
            assert failure.retry_after is not None
        case _:
            assert expected == SERVED
