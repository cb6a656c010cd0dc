"""One of few engines leaves part of its calls unanswered.

The engine passes its status check, answers half of its calls fast, and keeps
the others until their time limits. A call that may run only once cannot be
tried elsewhere, so further calls to that engine are lost, too. Each instance
sees only some of the calls, and knows that the first is lost only after its
time limit.
"""

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from tests.common import relay_world
from tests.load import test_erring_engine

SECONDS = 6
HANGING = 'call-north'


class HangingFleet(test_erring_engine.FailingEngineFleet):
    """Engines leave a share of their calls unanswered."""

    def __init__(self, hanging_shares):
        super().__init__({})
        self.hanging_shares = hanging_shares

    def answer(self, world, send):
        share = self.hanging_shares.get(send.engine.engine, 0.0)
        if self.draw.random() >= share:
            super().answer(world, send)


@pytest.mark.parametrize('share', [0.5, 1.0])
def test_engine_that_leaves_calls_unanswered_gets_few_of_them(share):
    """At most one call in ten may go to it, instead of one in three.

    That is a second or less of six for detection and for renewed attempts.
    """
    shares = HangingFleet({HANGING: share}).play(SECONDS)
    assert shares[HANGING] <= 0.1


def test_engines_that_are_all_slow_are_all_used():
    """The service is overloaded, and no call is answered in time.

    Avoiding its engines one after the other would increase the load of the
    rest.
    """
    names = [f'call-{place}' for place in relay_world.PLACES]
    shares = HangingFleet(dict.fromkeys(names, 1.0)).play(SECONDS)
    assert min(shares[name] for name in names) >= 0.2


def test_late_answer_is_still_delivered():
    """A late call is counted against its engine, and its answer passed on."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.call())
    world.advance(relay_world.CALL_ROUTE.goal + 0.1)
    world.answer(send)
    [passed] = world.of_kind(relay_actions.PassAnswer, send.exchange)
    assert passed.body == b'ok'


def test_late_call_is_counted_once():
    """An idempotent call is late at two engines, which have it once each."""
    world = relay_world.RelayWorld()
    exchange = world.query()
    world.advance(0.75)
    assert len(world.sends(exchange)) == 2
    errors = world.relay.engines.outliers.errors
    assert sum(len(found.error_times) for found in errors.values()) == 1
