"""Copies of a run's memory, over the life of the run."""

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from tests.common import relay_world


def streaming(world):
    """Start a stream and let it run; return its send."""
    send = world.last_send(world.ask())
    world.begin(send)
    world.events(send, 1)
    return send


def copies(world):
    return world.of_kind(relay_actions.CopyRun)


def test_run_gets_another_copy_when_the_first_is_lost():
    """The engine with the copy of a run crashes, then that of the run.

    Without a new copy in between, the prompt is read again and the caller's
    text stands still for more than a second.
    """
    world = relay_world.RelayWorld()
    send = streaming(world)
    world.handle(
        relay_events.PeerTold('other', hints.Failed(send.copy_to.engine))
    )
    [copy] = copies(world)
    assert copy.source == send.engine
    assert copy.target not in (send.engine, send.copy_to)
    world.handle(
        relay_events.RunCopied(
            send.exchange, send.send, copy.target.engine, 'h7'
        )
    )
    world.events(send, 2)
    world.lose(send)
    second = world.last_send(send.exchange)
    assert second.engine == copy.target
    assert second.copy_from == requests.CopyName(send.engine.address, 'h7')
    assert second.resume_after == 2


def test_copy_that_could_not_be_made_is_not_used():
    """The new engine has no room for a copy.

    A request that asked for it there would be refused, and lose its time on
    the way.
    """
    world = relay_world.RelayWorld()
    send = streaming(world)
    world.handle(
        relay_events.PeerTold('other', hints.Failed(send.copy_to.engine))
    )
    [copy] = copies(world)
    world.handle(
        relay_events.RunCopied(
            send.exchange, send.send, copy.target.engine, ''
        )
    )
    world.lose(send)
    assert world.last_send(send.exchange).copy_from is None


def test_copy_made_by_hand_is_renewed_before_it_lapses():
    """Such a copy is kept for a few seconds only.

    A run that goes on for longer would lose it unnoticed.
    """
    world = relay_world.RelayWorld()
    send = streaming(world)
    world.handle(
        relay_events.PeerTold('other', hints.Failed(send.copy_to.engine))
    )
    [copy] = copies(world)
    world.handle(
        relay_events.RunCopied(
            send.exchange, send.send, copy.target.engine, 'h7'
        )
    )
    for number in range(2, 20):
        world.advance(0.2)
        world.events(send, number)
    assert len(copies(world)) > 1
    assert copies(world)[-1].target == copy.target


def test_run_before_its_first_event_is_not_copied():
    """Nothing of it is there yet that would be worth a transfer."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.ask())
    world.handle(
        relay_events.PeerTold('other', hints.Failed(send.copy_to.engine))
    )
    assert not copies(world)
