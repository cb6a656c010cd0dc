"""Requests that arrive while an instance stops."""

from greengagelb.coordination.relay import events as relay_events
from tests.common import relay_world


def assert_refused_as_not_run(world, exchange):
    """Check that a request was not sent and may be retried."""
    assert not world.sends(exchange)
    [refusal] = world.refusals(exchange)
    assert refusal.status == 503
    assert refusal.retry_after is not None


def test_call_just_before_the_stop_deadline_is_refused():
    """A call arrives just before the process ends.

    If it were accepted, its answer would be cut off, and nobody could tell
    whether it ran. A refused call can be sent to another instance.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StopRequested(world.now + 7.0))
    world.advance(6.5)
    late = world.call()
    assert_refused_as_not_run(world, late)


def test_stream_late_in_a_stop_is_refused_even_if_it_would_fit():
    """A stream arrives on a kept connection, four seconds into a stop.

    By the durations seen so far it would just finish in time. But its prompt
    may wait behind others, so that it would be cut. If it is refused, another
    instance can serve it completely.
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
    """An instance notices a stop late because it was busy.

    A stream that arrives three seconds after the stop request is then within
    three seconds of the notice. Its prompt waits behind others, and it would
    be cut at the end of the stop. So the limit counts from the request, with
    a margin for a late notice and for the latency of the stream's request.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StopRequested(world.now + 7.6))
    world.advance(2.7)
    late = world.ask()
    assert_refused_as_not_run(world, late)


def test_stream_limit_counts_from_the_stop_signal():
    """A busy event loop notices the stop 0.6 s after the signal.

    A stream that arrives 2.0 s after the notice arrives 2.6 s after the
    signal.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StopRequested(world.now + 7.0, world.now - 0.6))
    world.advance(2.0)
    assert_refused_as_not_run(world, world.ask())


def test_stream_is_refused_near_the_end_of_a_short_stop():
    """The platform allows three seconds for the stop of an instance.

    No stream has ended there yet, so how long one takes is unknown. A stream
    accepted 0.2 s before the end would be cut before its first event.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StopRequested(world.now + 2.6))
    world.advance(2.4)
    assert_refused_as_not_run(world, world.ask())
