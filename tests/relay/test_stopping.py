"""Requests that come while an instance stops."""

from greengagelb.coordination.relay import events as relay_events
from tests.common import relay_world


def assert_refused_as_not_run(world, exchange):
    """Check that a request reached no engine, and may come back."""
    assert not world.sends(exchange)
    [refusal] = world.refusals(exchange)
    assert refusal.status == 503
    assert refusal.retry_after is not None


def test_call_just_before_the_stop_deadline_is_refused():
    """A caller sends a call a moment before the process ends.

    Taken, its answer would be cut off, and nobody could tell whether it ran;
    refused, it is safe to send elsewhere.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StopRequested(world.now + 7.0))
    world.advance(6.5)
    late = world.call()
    assert_refused_as_not_run(world, late)


def test_stream_late_in_a_stop_is_refused_even_if_it_would_fit():
    """A caller sends a stream on a connection that it has kept.

    The instance was asked to stop four seconds before. By what streams have
    taken so far this one would just be over in time, but its prompt waits
    behind others, and it is cut in the middle of its answer. New callers are
    not sent here any more by then, and refused it is served elsewhere whole.
    """
    world = relay_world.RelayWorld()
    for _ in range(20):
        send = world.last_send(world.ask())
        world.begin(send)
        world.events(send, 1)
        world.advance(0.5)
        world.complete(send)
    world.handle(relay_events.StopRequested(world.now + 7.6))
    world.advance(2.0)
    assert world.sends(world.ask())
    world.advance(2.0)
    late = world.ask()
    assert_refused_as_not_run(world, late)


def test_stream_is_refused_soon_after_the_stop_was_requested():
    """A stop is noticed late, as the instance was busy.

    A stream that a caller sends three seconds after the stop was asked for is
    then still within three seconds of the notice. Its prompt waits behind
    others, and it is cut at the end of the stop: what is taken has to be tied
    to the time at which the stop was asked for, with room for both.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StopRequested(world.now + 7.6))
    world.advance(2.7)
    late = world.ask()
    assert_refused_as_not_run(world, late)


def test_stream_limit_counts_from_the_stop_signal():
    """The loop was busy, and looked 0.6 s after the signal.

    A stream that comes 2.0 s after that look comes 2.6 s after the signal.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StopRequested(world.now + 7.0, world.now - 0.6))
    world.advance(2.0)
    assert_refused_as_not_run(world, world.ask())


def test_stream_is_refused_near_the_end_of_a_short_stop():
    """The platform gives an instance three seconds for its stop.

    Nobody has seen a stream end there yet, so how long one takes is unknown.
    Taken with 0.2 s left, it would be cut before its first event.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StopRequested(world.now + 2.6))
    world.advance(2.4)
    assert_refused_as_not_run(world, world.ask())
