"""Engines that are asked who they are as another one has ended."""

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from tests.common import engine_answers
from tests.common import relay_world


def lone_place(per_place=6):
    """Return a world whose model engines are all in one data centre."""
    entries = [
        entry
        for entry in relay_world.fleet(per_place)
        if entry.service == relay_world.CALLS or entry.data_centre == 'north'
    ]
    world = relay_world.RelayWorld(entries)
    world.relay.budget.set_fleet_size(1)
    return world


def models_of(world):
    """Return the names of the model engines."""
    return set(world.relay.engines.by_service[relay_world.STREAMS])


def misdirect(world):
    """Have the successor of an engine turn a new stream away."""
    exchange = world.ask()
    send = world.last_send(exchange)
    world.refuse(send, 421)
    return exchange, send


def test_request_waits_for_the_identity_of_the_only_engines_left():
    """Guards against a second refusal while the others are being asked."""
    world = lone_place()
    exchange, first = misdirect(world)
    assert len(world.sends(exchange)) == 1
    assert not world.refusals(exchange)
    sound = 'model-north-5'
    if first.engine.engine == sound:
        sound = 'model-north-4'
    world.answer_identity_questions(models_of(world) - {sound})
    assert len(world.sends(exchange)) == 2
    assert world.last_send(exchange).engine.engine == sound


def test_neighbours_of_an_engine_that_ended_alone_are_used_again():
    """Guards against a data centre that one restart takes out of use."""
    world = lone_place(per_place=30)
    exchange, _ = misdirect(world)
    world.answer_identity_questions()
    assert len(world.sends(exchange)) == 2
    assert len(world.of_kind(relay_actions.ProbeAddress)) < 30 / 2
    used = {world.last_send(world.ask()).engine.engine for _ in range(60)}
    assert len(used) == 29


def test_engines_that_give_no_answer_are_tried_after_a_moment():
    """Guards against a wait for answers that never come."""
    world = lone_place()
    exchange, _ = misdirect(world)
    world.advance(0.5)
    assert len(world.sends(exchange)) == 2


def test_engine_that_writes_is_not_asked():
    """Guards against sound engines that get no work for a moment."""
    world = lone_place(per_place=2)
    send = world.last_send(world.ask())
    world.begin(send)
    world.events(send, 1)
    other, refusal = misdirect(world)
    assert refusal.engine != send.engine
    assert not world.of_kind(relay_actions.ProbeAddress)
    assert world.last_send(other).engine == send.engine


def test_call_waits_for_an_identity_rather_than_being_refused():
    """Guards against calls that are refused while an engine is asked.

    Calls wait for half of their latency goal for an engine's rest; an identity
    is known sooner.
    """
    entries = [
        relay_world.engine(f'call-{n}', relay_world.CALLS, 'north')
        for n in range(4)
    ]
    world = relay_world.RelayWorld(entries)
    exchange = world.call()
    world.advance(0.15)
    world.refuse(world.last_send(exchange), 421)
    assert not world.refusals(exchange)
    world.answer_identity_questions()
    assert len(world.sends(exchange)) == 2


def test_engine_that_does_not_say_who_it_is_has_replaced_another():
    """Guards against successors that are taken for engines without an answer.

    An engine that was not meant answers with 421, and may not name itself.
    """
    side = engine_answers.Side()
    entry = relay_world.fleet()[0]
    side.side.ask_successor(relay_actions.ProbeAddress(entry, '/health'))
    side.server.accept()
    side.server.connections[-1].dataReceived(
        b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n'
    )
    assert side.events == [
        relay_events.AddressProbed(entry.engine, '', is_replaced=True)
    ]


def test_engines_that_are_still_down_are_asked_once():
    """Guards against questions without end to engines that refuse them.

    Of engines that ended together some are back later than others.
    """
    world = lone_place()
    misdirect(world)
    for _ in range(50):
        if not world.identity_questions:
            break
        entry = world.identity_questions.pop(0)
        world.handle(relay_events.AddressProbed(entry.engine, ''))
    assert len(world.of_kind(relay_actions.ProbeAddress)) == 5
