"""Copies of a run's memory during the run."""

from greengagelb.coordination import events as common_events
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from tests.common import relay_world


def streaming(world):
    """Start a stream, pass its first event and return its send."""
    send = world.last_send(world.ask())
    world.begin(send)
    world.events(send, 1)
    return send


def copies(world):
    return world.of_kind(relay_actions.CopyRun)


def test_run_gets_another_copy_when_the_first_is_lost():
    """The engine with a run's copy crashes, then the engine of the run.

    Without a new copy in between, the prompt is read again and the caller gets
    no text for more than a second.
    """
    world = relay_world.RelayWorld()
    send = streaming(world)
    world.handle(
        relay_events.PeerTold('other', hints.EngineFailed(send.copy_to.engine))
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
    """The chosen engine has no free memory for a copy.

    An attempt to resume from the missing copy would be refused and only take
    time.
    """
    world = relay_world.RelayWorld()
    send = streaming(world)
    world.handle(
        relay_events.PeerTold('other', hints.EngineFailed(send.copy_to.engine))
    )
    [copy] = copies(world)
    world.handle(
        relay_events.RunCopied(
            send.exchange, send.send, copy.target.engine, ''
        )
    )
    world.lose(send)
    assert world.last_send(send.exchange).copy_from is None


def test_ordered_copy_is_renewed_before_it_expires():
    """An ordered copy is kept for a few seconds only.

    A longer run would lose it unnoticed.
    """
    world = relay_world.RelayWorld()
    send = streaming(world)
    world.handle(
        relay_events.PeerTold('other', hints.EngineFailed(send.copy_to.engine))
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
    """Before its first event a run has no memory to copy."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.ask())
    world.handle(
        relay_events.PeerTold('other', hints.EngineFailed(send.copy_to.engine))
    )
    assert not copies(world)


def test_copy_lost_while_the_prompt_is_read_is_replaced_at_the_first_event():
    """The engine chosen for the copy fails while the prompt is read.

    Reading takes a second or more, so crashes often happen in that time. The
    run would have no copy until its end, and the prompt would be read again
    after the next crash.
    """
    world = relay_world.RelayWorld()
    send = world.last_send(world.ask())
    lost = send.copy_to
    world.handle(
        relay_events.PeerTold('other', hints.EngineFailed(lost.engine))
    )
    assert not copies(world)
    world.begin(send)
    world.events(send, 1)
    [copy] = copies(world)
    assert copy.source == send.engine
    assert copy.target not in (send.engine, lost)
    world.events(send, 2)
    assert len(copies(world)) == 1


def test_copy_that_could_not_be_made_is_ordered_elsewhere():
    """The chosen engine has failed too, or has no free memory left."""
    world = relay_world.RelayWorld(relay_world.fleet(per_place=6))
    send = streaming(world)
    world.handle(
        relay_events.PeerTold('other', hints.EngineFailed(send.copy_to.engine))
    )
    for _ in range(5):
        last = copies(world)[-1]
        world.handle(
            relay_events.RunCopied(
                send.exchange, send.send, last.target.engine, ''
            )
        )
    targets = [copy.target.engine for copy in copies(world)]
    assert len(targets) == 3, 'an order is repeated, but not for ever'
    assert targets[0] != targets[1]
    assert targets[1] != targets[2]


def test_copies_are_replaced_when_their_engine_has_restarted():
    """An engine that holds only copies restarts before this is noticed.

    Its old entry stays listed for seconds, but a new engine registers at its
    address, so the copies are lost. If that were noticed only at the next
    loss, the prompt would be read again.
    """
    world = relay_world.RelayWorld()
    world.advance(5.0)
    send = streaming(world)
    old = send.copy_to
    successor = relay_world.engine(
        'restarted', old.service, old.data_centre, port=old.address.port
    )
    world.change_engines(successor)
    [copy] = copies(world)
    assert copy.target.engine != old.engine
    used = {
        world.last_send(world.ask_little()).engine.engine for _ in range(30)
    }
    assert old.engine not in used
    assert 'restarted' in used


def test_two_silent_streams_mark_an_engine_as_failed():
    """The engines of a data centre neither answer nor reset connections.

    One silent stream may be a lost connection. After a second one on the same
    engine, seen here or by another instance, its copies count as lost and are
    replaced before the next data centre fails.
    """
    world = relay_world.RelayWorld()
    send = streaming(world)
    world.events(send, 2)
    held_at = send.copy_to.engine
    world.handle(relay_events.PeerTold('other', hints.StreamSilent(held_at)))
    assert not copies(world)
    world.handle(relay_events.PeerTold('another', hints.StreamSilent(held_at)))
    assert len(copies(world)) == 1


def test_two_silent_streams_of_one_instance_mark_an_engine_as_failed():
    world = relay_world.RelayWorld()
    send = streaming(world)
    held_at = send.copy_to.engine
    for _ in range(2):
        world.handle(
            relay_events.PeerTold('other', hints.StreamSilent(held_at))
        )
    assert len(copies(world)) == 1


def test_silent_engine_is_announced_to_other_instances():
    world = relay_world.RelayWorld()
    send = streaming(world)
    world.advance(0.5)
    told = [a.hint for a in world.of_kind(relay_actions.TellPeers)]
    assert hints.StreamSilent(send.engine.engine) in told


def test_old_entry_read_late_does_not_replace_a_newer_engine():
    """An instance starts while an engine restarts.

    It hears of the new engine first and then reads the old one's entry, which
    has not expired yet. If it took the old engine for the successor, it would
    never use the new one.
    """
    world = relay_world.RelayWorld()
    new = relay_world.engine('new', relay_world.STREAMS, 'north')
    world.handle(
        relay_events.PeerTold('other', hints.EngineListChanged((new,), ()))
    )
    old = relay_world.engine(
        'old', relay_world.STREAMS, 'north', port=new.address.port
    )
    world.change_engines(new, old)
    used = {
        world.last_send(world.ask_little()).engine.engine for _ in range(30)
    }
    assert 'new' in used


def test_run_without_a_copy_gets_none_from_the_timer_of_a_former_one():
    """Guards against moves of memory that nothing has asked for.

    An ordered copy is lost while no engine has room for another; its timer
    still fires.
    """
    world = relay_world.RelayWorld()
    send = world.last_send(world.ask())
    world.begin(send)
    world.events(send, 1)
    [exchange] = world.relay.exchanges.values()
    [sent] = exchange.sends.values()
    sent.copy_to = None
    sent.copy_ordered = True
    world.handle(common_events.TimerFired(f'relay-copy:{send.exchange}'))
    assert not world.of_kind(relay_actions.CopyRun)
