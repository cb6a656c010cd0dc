"""Engines that restart while the list of engines cannot be read."""

from greengagelb.coordination import events
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from greengagelb.state.relay import routes
from tests.common import relay_world

# This process stands still for so long; no timer fires meanwhile.
PAUSE_SECONDS = 0.6


def lose_a_stream(world):
    """Have an engine crash during a stream; return its entry."""
    exchange = world.ask()
    send = world.last_send(exchange)
    world.begin(send)
    world.events(send, 1)
    world.lose(send)
    return send.engine


def asked_successors(world):
    return [a.entry for a in world.of_kind(relay_actions.ProbeAddress)]


def test_restarted_engine_is_used_before_the_list_tells_of_it():
    """Engines crash and restart during an outage of the store.

    Their new identities cannot be looked up, so that the other engines would
    be overloaded while these idle.
    """
    world = relay_world.RelayWorld()
    dead = lose_a_stream(world)
    world.handle(relay_events.StoreLost('away'))
    world.advance(1.3)
    assert dead in asked_successors(world)
    world.handle(relay_events.AddressProbed(dead.engine, 'model-new'))
    assert world.relay.engines.states['model-new'].entry.service == (
        dead.service
    )
    used = {world.last_send(world.ask()).engine.engine for _ in range(30)}
    assert 'model-new' in used
    assert dead.engine not in used
    told = [a.hint for a in world.of_kind(relay_actions.TellPeers)]
    assert hints.EngineReplaced(dead.engine, 'model-new') in told


def test_engine_at_an_address_that_may_be_reassigned_is_not_used():
    """An address is given to another service some seconds later.

    A request sent there would run at a service that its route does not allow.
    """
    world = relay_world.RelayWorld()
    dead = lose_a_stream(world)
    world.advance(relay_world.ADDRESS_REUSE + 0.1)
    world.handle(relay_events.AddressProbed(dead.engine, 'stranger'))
    assert 'stranger' not in world.relay.engines.states


def begin_stream(world):
    """Return a stream whose engine has written the first event."""
    send = world.last_send(world.ask())
    world.begin(send)
    world.events(send, 1)
    return send


def test_address_of_an_engine_lost_in_a_pause_is_not_taken_for_its_own():
    """Guards against an address taken over while an instance is paused.

    The end of the pause is no sign of life of the engine. A stream sent to
    the address would run at the service that has it now.
    """
    world = relay_world.RelayWorld()
    send = begin_stream(world)
    world.now += PAUSE_SECONDS
    world.handle(events.PauseDetected(PAUSE_SECONDS))
    world.lose(send)
    world.advance(relay_world.ADDRESS_REUSE - PAUSE_SECONDS + 0.05)
    world.handle(relay_events.AddressProbed(send.engine.engine, 'stranger'))
    assert 'stranger' not in world.relay.engines.states


def test_address_of_an_engine_whose_events_were_read_late_is_not_its_own():
    """Guards against events that are unread while an instance is paused.

    When they are read tells nothing of when the engine wrote them.
    """
    world = relay_world.RelayWorld()
    send = begin_stream(world)
    world.now += PAUSE_SECONDS
    world.events(send, 2)
    world.lose(send)
    world.advance(relay_world.ADDRESS_REUSE - PAUSE_SECONDS + 0.05)
    world.handle(relay_events.AddressProbed(send.engine.engine, 'stranger'))
    assert 'stranger' not in world.relay.engines.states


def test_engine_that_answered_a_probe_is_found_again_at_its_address():
    """Guards against engines of long streams that are not looked for.

    The answer to a probe shows how long the engine was alive.
    """
    world = relay_world.RelayWorld()
    send = begin_stream(world)
    world.advance(5.0)
    world.handle(
        relay_events.EngineProbed(
            send.exchange, send.send, True, asked_at=world.now
        )
    )
    world.lose(send)
    world.advance(1.3)
    assert send.engine in asked_successors(world)
    world.handle(relay_events.AddressProbed(send.engine.engine, 'model-new'))
    assert 'model-new' in world.relay.engines.states


def test_address_is_not_asked_if_the_list_shows_the_successor():
    """Each question has a cost; the list usually is as fast."""
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
    """One instance finds the successor, and all can use it."""
    world = relay_world.RelayWorld()
    old = relay_world.fleet()[0]
    world.handle(
        relay_events.PeerTold(
            'one', hints.EngineReplaced(old.engine, 'model-new')
        )
    )
    assert world.relay.engines.states['model-new'].entry.address == (
        old.address
    )


# Engines are lost this long after their last sign of life: their address may
# belong to another service by then.
ADDRESS_REUSED_SECONDS = 5.0


def is_successor_used(world, dead, **fields):
    """Have an engine answer for a lost one; return whether it is used."""
    world.handle(
        relay_events.AddressProbed(dead.engine, 'model-new', **fields)
    )
    return 'model-new' in world.relay.engines.states


def test_idle_engine_that_restarted_in_an_outage_is_found_again():
    """An idle engine crashes and restarts during an outage of the store.

    The crash is noticed when the next prompt is refused, long after the
    address may have been reassigned. On a simulated day three of nine engines
    were lost like this for eight seconds, and prompts queued up at the others.
    The engine that answers states that it holds model memory, which only
    engines of this service have.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StoreLost('away'))
    world.advance(ADDRESS_REUSED_SECONDS)
    send = world.last_send(world.ask())
    world.refuse(send, 421)
    world.advance(0.01)
    question = world.of_kind(relay_actions.ProbeAddress)[-1]
    assert question.entry == send.engine
    assert question.may_be_another_service
    assert is_successor_used(world, send.engine, has_model_memory=True)


def test_engine_lost_before_its_first_event_is_found_again():
    """An engine crashes while it reads its first prompt for a while.

    Its last sign of life does not show when it crashed. During an outage of
    the store only its address leads to its successor.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StoreLost('away'))
    world.advance(ADDRESS_REUSED_SECONDS)
    send = world.last_send(world.ask())
    world.lose(send)
    world.advance(1.3)
    assert send.engine in asked_successors(world)
    assert is_successor_used(world, send.engine, has_model_memory=True)


def test_engine_without_model_memory_is_not_a_successor():
    """The address of a lost engine was given to a plain service."""
    world = relay_world.RelayWorld()
    world.handle(relay_events.StoreLost('away'))
    world.advance(ADDRESS_REUSED_SECONDS)
    send = world.last_send(world.ask())
    world.refuse(send, 421)
    assert not is_successor_used(world, send.engine)


def test_engine_of_one_of_two_model_services_is_not_taken_for_the_other():
    """Of two services with model engines, one took the other's address."""
    other = routes.Service('summaries', 240, relay_world.MODEL)
    known = relay_world.route_table(2)
    table = routes.RouteTable(
        2,
        known.routes,
        (*relay_world.SERVICES, other),
        known.limits,
        known.accounts,
    )
    world = relay_world.RelayWorld(table=table)
    world.handle(relay_events.StoreLost('away'))
    world.advance(ADDRESS_REUSED_SECONDS)
    send = world.last_send(world.ask())
    world.refuse(send, 421)
    world.advance(2.0)
    assert send.engine not in asked_successors(world)
    assert not is_successor_used(world, send.engine, has_model_memory=True)


def test_asking_an_address_ends():
    """An engine is lost for good during an outage of the store.

    Questions have a cost, and an engine is not expected back after ten
    seconds.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StoreLost('away'))
    world.advance(ADDRESS_REUSED_SECONDS)
    dead = lose_a_stream(world)
    world.advance(12.0)
    asked = asked_successors(world).count(dead)
    assert 8 <= asked <= 24
    world.advance(30.0)
    assert asked_successors(world).count(dead) == asked


def test_asking_ends_when_the_list_is_read_again():
    """With the store available, the list shows restarted engines."""
    world = relay_world.RelayWorld()
    world.handle(relay_events.StoreLost('away'))
    world.advance(ADDRESS_REUSED_SECONDS)
    dead = lose_a_stream(world)
    world.advance(3.0)
    world.list_engines(relay_world.fleet(heartbeat=3))
    asked = asked_successors(world).count(dead)
    world.advance(5.0)
    assert asked_successors(world).count(dead) == asked


def list_stranger(world, old):
    """Have the list show an engine of calls at a lost engine's address."""
    entry = relay_world.engine(
        'stranger', relay_world.CALLS, old.data_centre, port=old.address.port
    )
    world.change_engines(entry)


def test_list_corrects_the_service_of_an_engine_taken_for_a_successor():
    """Guards against an engine that no service can use for its whole life.

    Another instance took it for the successor of a lost one at its address.
    """
    world = relay_world.RelayWorld()
    old = relay_world.fleet()[0]
    hint = hints.EngineReplaced(old.engine, 'stranger')
    world.handle(relay_events.PeerTold('one', hint))
    list_stranger(world, old)
    callees = {world.last_send(world.query()).engine.engine for _ in range(30)}
    assert 'stranger' in callees
    streaming = {world.last_send(world.ask()).engine.engine for _ in range(30)}
    assert 'stranger' not in streaming


def test_send_to_an_engine_of_another_service_is_not_answered_by_it():
    """Guards against an answer of a service that the route does not allow.

    The list corrects the service of the engine while the send is under way.
    """
    world = relay_world.RelayWorld()
    old = relay_world.fleet()[0]
    hint = hints.EngineReplaced(old.engine, 'stranger')
    world.handle(relay_events.PeerTold('one', hint))
    send = world.last_send(world.ask())
    while send.engine.engine != 'stranger':
        send = world.last_send(world.ask())
    list_stranger(world, old)
    assert relay_actions.AbandonSend(send.exchange, send.send) in world.actions
    assert world.last_send(send.exchange).engine.service == relay_world.STREAMS
    assert world.last_send(send.exchange).engine.engine != 'stranger'
