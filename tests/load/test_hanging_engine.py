"""One of few engines never answers part of its calls, and its check is good.

The engine takes each call and answers half of them as fast as ever. The other
half it keeps until their time limits. A call that may run once only can't be
tried elsewhere, so whatever else is given to that engine is lost to its caller
too. Each instance sees only some of its calls, and the first of them is known
to be lost only when its time is over.
"""

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from tests.common import relay_world
from tests.load import test_erring_engine

SECONDS = 6
HANGING = 'call-north'


class HangingFleet(test_erring_engine.FailingEngineFleet):
    """Engines that leave a share of their calls without an answer."""

    def __init__(self, hanging_shares):
        super().__init__({})
        self.hanging_shares = hanging_shares

    def answer(self, world, send):
        share = self.hanging_shares.get(send.engine.engine, 0.0)
        if self.draw.random() >= share:
            super().answer(world, send)


@pytest.mark.parametrize('share', [0.5, 1.0])
def test_engine_that_leaves_calls_unanswered_gets_few_of_them(share):
    """The aim: at most one call in ten goes to it, where it was one in three.

    That is a second or less of six for what is noticed and tried again.
    """
    shares = HangingFleet({HANGING: share}).play(SECONDS)
    assert shares[HANGING] <= 0.1


def test_engines_that_are_all_slow_are_all_used():
    """The service has too much to do, and no call is answered in time.

    Engines that were taken out for it one after the other would leave the
    rest with even more.
    """
    names = [f'call-{place}' for place in relay_world.PLACES]
    shares = HangingFleet(dict.fromkeys(names, 1.0)).play(SECONDS)
    assert min(shares[name] for name in names) >= 0.2


def test_late_answer_is_still_delivered():
    """A call is late, and its engine is counted as hanging for that."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.call())
    world.advance(relay_world.CALL_ROUTE.goal + 0.1)
    world.answer(send)
    [passed] = world.of_kind(relay_actions.PassAnswer, send.exchange)
    assert passed.body == b'ok'


def test_late_call_is_counted_once():
    """An idempotent call is late at two engines, each of which has it once."""
    world = relay_world.RelayWorld()
    exchange = world.query()
    world.advance(0.75)
    assert len(world.sends(exchange)) == 2
    errors = world.relay.engines.outliers.errors
    assert sum(len(found.error_times) for found in errors.values()) == 1
