"""Engines that say in their answers that they leave."""

import pytest

from greengagelb.coordination.relay import events as relay_events
from tests.common import relay_world

KINDS = {
    'stream': relay_world.RelayWorld.ask_little,
    'call': relay_world.RelayWorld.call,
    'query': relay_world.RelayWorld.query,
}


def engines_used(world, ask, requests=40):
    """Return the engines that get the next requests."""
    used = set()
    for _ in range(requests):
        send = world.last_send(ask(world))
        used.add(send.engine.engine)
        world.answer(send)
    return used


@pytest.mark.parametrize('kind', KINDS)
def test_engine_that_says_it_leaves_gets_no_request_without_the_store(kind):
    """Guards against leaving that is known from the list of engines only."""
    world = relay_world.RelayWorld()
    world.handle(relay_events.StoreLost('away'))
    ask = KINDS[kind]
    send = world.last_send(ask(world))
    world.state(send, leaving=True)
    world.answer(send)
    world.advance(1.0)
    assert send.engine.engine not in engines_used(world, ask)
