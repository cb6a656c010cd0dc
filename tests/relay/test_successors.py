"""Engines that restart while the list of engines can't be had."""

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from tests.common import relay_world


def lose_a_stream(world):
    """Let an engine crash in the middle of a stream; return its entry."""
    exchange = world.ask()
    send = world.last_send(exchange)
    world.begin(send)
    world.events(send, 1)
    world.lose(send)
    return send.engine


def asked_successors(world):
    return [a.entry for a in world.of_kind(relay_actions.AskSuccessor)]


def test_restarted_engine_is_used_before_the_list_tells_of_it():
    """Engines crash and restart while the store is down for seconds.

    They live under new identities that nobody can look up, so that the rest of
    the fleet is swamped although they idle.
    """
    world = relay_world.RelayWorld()
    dead = lose_a_stream(world)
    world.handle(relay_events.StoreLost('away'))
    world.advance(1.3)
    assert dead in asked_successors(world)
    world.handle(relay_events.SuccessorSeen(dead.engine, 'model-new'))
    assert world.relay.engines.states['model-new'].entry.service == (
        dead.service
    )
    used = {world.last_send(world.ask()).engine.engine for _ in range(30)}
    assert 'model-new' in used
    assert dead.engine not in used
    told = [a.hint for a in world.of_kind(relay_actions.TellPeers)]
    assert hints.Replaced(dead.engine, 'model-new') in told


def test_engine_at_an_address_that_may_have_changed_hands_is_not_used():
    """An address is given to another service some seconds later.

    A request sent there would run at a service that its route does not allow.
    """
    world = relay_world.RelayWorld()
    dead = lose_a_stream(world)
    world.advance(relay_world.ADDRESS_REUSE + 0.1)
    world.handle(relay_events.SuccessorSeen(dead.engine, 'stranger'))
    assert 'stranger' not in world.relay.engines.states


def test_nobody_is_asked_where_the_list_has_told_already():
    """Each question is priced; the list usually is as quick."""
    world = relay_world.RelayWorld()
    dead = lose_a_stream(world)
    world.change_engines(
        relay_world.engine(
            'model-new', dead.service, dead.data_centre, port=dead.address.port
        )
    )
    world.advance(3.0)
    assert not asked_successors(world)


def test_peers_learn_of_a_successor_without_asking():
    """One instance sees who took an engine's place, and all can use it."""
    world = relay_world.RelayWorld()
    old = relay_world.fleet()[0]
    world.handle(
        relay_events.PeerTold('one', hints.Replaced(old.engine, 'model-new'))
    )
    assert world.relay.engines.states['model-new'].entry.address == (
        old.address
    )
