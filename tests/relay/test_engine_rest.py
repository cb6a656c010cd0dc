"""Engines that turn requests away and ask an instance for rest."""

import pytest

from tests.common import relay_world

KINDS = {
    'stream': relay_world.RelayWorld.ask_little,
    'call': relay_world.RelayWorld.call,
    'query': relay_world.RelayWorld.query,
}
REST_SECONDS = 3.0


def engines_used(world, ask, requests=40):
    """Return the engines that get the next requests."""
    used = set()
    for _ in range(requests):
        send = world.last_send(ask(world))
        used.add(send.engine.engine)
        world.answer(send)
    return used


@pytest.mark.parametrize('kind', KINDS)
def test_engine_that_asks_for_rest_gets_no_request_until_its_end(kind):
    """Guards against an overloaded engine that looks idle, as it refuses."""
    world = relay_world.RelayWorld()
    ask = KINDS[kind]
    resting = world.last_send(ask(world))
    world.ask_for_rest(resting, REST_SECONDS)
    for _ in range(5):
        assert resting.engine.engine not in engines_used(world, ask, 10)
        world.advance(0.59)
    world.advance(0.1)
    assert resting.engine.engine in engines_used(world, ask)
