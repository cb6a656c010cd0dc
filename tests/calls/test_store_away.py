"""What is served while the platform is cut off, row by row.

The rows are those of the table in ``docs/design/at_most_once.md``.
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


def cut_nothing(world):
    """Leave everything as it is."""


def cut_store(world):
    """Have the store refuse connections."""
    world.store_down = True


def silence_store(world):
    """Have the store take writes and never answer."""
    world.store_silent = True


def lose_answers(world):
    """Have the store carry out writes whose answers are lost."""
    world.store_loses_answers = True


def cut_upstreams(world):
    """Have every upstream refuse connections."""
    world.upstreams_down = True


ROWS = [
    # kind of request, key, first send, what is cut, what the caller gets
    (LOOKUP, True, False, cut_nothing, SERVED),
    (LOOKUP, True, False, cut_store, SERVED),
    (LOOKUP, True, False, silence_store, SERVED),
    (LOOKUP, True, False, cut_upstreams, NOT_RUN),
    (CHARGE, False, False, cut_store, SERVED),
    (CHARGE, False, False, cut_upstreams, NOT_RUN),
    (CHARGE, True, False, cut_nothing, SERVED),
    (CHARGE, True, True, cut_store, NOT_RUN),
    (CHARGE, True, False, cut_store, UNKNOWN),
    (CHARGE, True, True, silence_store, NOT_RUN),
    (CHARGE, True, False, silence_store, UNKNOWN),
    (CHARGE, True, False, lose_answers, SERVED),
    (CHARGE, True, False, cut_upstreams, NOT_RUN),
    (DIGEST, False, False, cut_store, SERVED),
    (DIGEST, True, False, cut_nothing, SERVED),
    (DIGEST, True, True, cut_store, NOT_RUN),
    (DIGEST, True, False, cut_store, UNKNOWN),
]


@pytest.mark.parametrize(('service', 'key', 'first', 'cut', 'expected'), ROWS)
def test_what_a_caller_gets(service, key, first, cut, expected):
    """Part of the platform can't be reached when a request comes in."""
    world = call_world.World()
    cut(world)
    asked = world.submit(
        world.instances[0], service, has_key=key, first_send=first
    )
    for _ in range(12):
        world.step_under_cut()
    (answer,) = asked.answers
    match answer:
        case actions.SendFailure(failure=failure):
            assert failure.ran is expected
            assert failure.retry_after is not None
        case _:
            assert expected == SERVED
