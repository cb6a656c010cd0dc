"""Requests that come while an instance stops."""

from greengagelb.coordination.relay import events as relay_events
from tests.common import relay_world


def test_call_just_before_the_end_is_refused():
    """A caller sends a call a moment before the process ends.

    Taken, its answer would be cut off, and nobody could tell whether it ran;
    refused, it is safe to send elsewhere.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.StopBy(world.now + 7.0))
    world.advance(6.5)
    late = world.call()
    assert not world.sends(late)
    [refusal] = world.refusals(late)
    assert refusal.status == 503
    assert refusal.retry_after is not None
