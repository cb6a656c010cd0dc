"""Streams that go on after the loss of an engine."""

from greengagelb.coordination.relay import actions as relay_actions
from tests.common import relay_world


def test_stream_goes_on_from_the_copy_at_the_next_event():
    """An engine is reset in the middle of a stream. Reading its prompt again
    would take a second, and the caller would see its text stand still.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    first = world.last_send(exchange)
    world.begin(first)
    world.events(first, 1, 2)
    world.lose(first)
    second = world.last_send(exchange)
    assert second.engine == first.copy_to
    assert second.copy_from == first.copy_to
    assert second.resume_after == 2
    world.begin(second)
    world.events(second, 3)
    world.complete(second)
    assert world.passed_events(exchange) == [1, 2, 3]
    assert world.of_kind(relay_actions.EndStream, exchange)


def test_no_copy_is_asked_for_before_the_first_event():
    """A copy of a run grows only once the run makes tokens. Asking for one
    that is not there costs an attempt each time, and after a few the caller
    gets an error although engines are free.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    world.lose(world.last_send(exchange))
    assert world.last_send(exchange).copy_from is None
    world.lose(
        world.last_send(exchange), 'ConnectionRefusedError', handed_over=False
    )
    assert world.last_send(exchange).copy_from is None


def test_request_finds_the_living_half_of_a_fleet():
    """A whole data centre refuses connections. Each refusal costs a caller
    a millisecond; giving up after a few would cost it its answer.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=8))
    exchange = world.ask()
    while world.last_send(exchange).engine.data_centre == 'north':
        world.lose(
            world.last_send(exchange),
            'ConnectionRefusedError',
            handed_over=False,
        )
    assert not world.refusals(exchange)
    assert len(world.sends(exchange)) <= 8


def test_engine_that_was_replaced_gets_nothing_more():
    """An engine restarts under a new identity, and its old entry stays in
    the list for seconds. Whoever sends to it again and again uses up the
    attempts of a request on an engine that does not exist any more.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    first = world.last_send(exchange)
    world.refuse(first, status=421)
    world.advance(4.0)
    for _ in range(20):
        later = world.ask()
        assert world.last_send(later).engine != first.engine


def test_refused_connection_counts_until_the_engine_registers_again():
    """An engine crashes and its entry lapses only seconds later. It must not
    be tried again, or be given copies, on the strength of its old entry.
    """
    entries = relay_world.fleet()
    world = relay_world.RelayWorld(entries)
    exchange = world.ask()
    dead = world.last_send(exchange).engine
    world.lose(
        world.last_send(exchange), 'ConnectionRefusedError', handed_over=False
    )
    world.advance(3.0)
    for _ in range(20):
        send = world.last_send(world.ask())
        assert dead not in (send.engine, send.copy_to)
    world.change_engines(
        relay_world.engine(
            dead.engine, dead.service, dead.data_centre, dead.heartbeat + 2
        )
    )
    used = [world.last_send(world.ask()) for _ in range(20)]
    assert any(dead.engine == send.engine.engine for send in used)
