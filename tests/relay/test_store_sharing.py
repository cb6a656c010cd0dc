"""Instances that share what one of them reads from the store."""

import random

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import relay
from greengagelb.state.relay import hints
from tests.common import relay_world

READER = '0-before-all-others'


def world_with_reader(place='north'):
    """Return a world in which another instance is the reader."""
    world = relay_world.RelayWorld()
    world.handle(relay_events.PeerHeard(READER, place))
    return world


def reading_world():
    """Return a world whose instance is the reader."""
    world = relay_world.RelayWorld()
    world.read_for_all()
    return world


def announced_hints(world):
    actions = world.of_kind(relay_actions.BroadcastHints)
    return [hint for action in actions for hint in action.hints]


def notify_read(world, sender=READER, **fields):
    """Deliver a read notification of another instance."""
    given = {
        'digest': world.relay.engines.digest(),
        'version': world.relay.route_table.version,
        **fields,
    }
    return world.handle(
        relay_events.PeerTold(sender, hints.StoreRead(**given))
    )


@pytest.mark.parametrize('place', ['north', 'south'])
def test_one_instance_reads_for_all(place):
    """Each call to the store costs money and a part of its rate limit.

    If every instance, or one in each data centre, read the store itself, a
    large fleet would spend more on reads than on serving.
    """
    world = world_with_reader(place)
    sharing = world.relay.sharing
    for _ in range(30):
        world.advance(1.0)
        world.handle(relay_events.PeerHeard(READER, 'north'))
        notify_read(world)
        assert not sharing.is_engines_read_due(world.now)
        assert not sharing.is_configuration_read_due(world.now)


def test_instance_alone_reads_for_itself():
    """An instance is cut off from all others, but not from the store.

    It receives no notifications, and keeps serving its callers.
    """
    world = world_with_reader('south')
    notify_read(world)
    world.advance(1.4)
    sharing = world.relay.sharing
    for _ in range(5):
        assert sharing.is_engines_read_due(world.now)
        assert sharing.is_configuration_read_due(world.now)
        sharing.engine_list_freshness.note_read_asked(world.now)
        world.change_engines()
        world.advance(1.0)


def test_one_of_two_readers_remains():
    """Two data centres with a reader each were cut off from each other.

    After that, two readers would make twice as many calls for nothing.
    """
    world = reading_world()
    notify_read(world, sender='~after-all-others')
    assert world.relay.sharing.reads_for_all
    notify_read(world)
    assert not world.relay.sharing.reads_for_all


def test_reader_that_yields_during_a_read_does_not_resume():
    """The store is slow, and two readers hear of each other.

    The last read of the one that yields is still in progress. Taken for a read
    that others wait for, its answer would make that instance a reader again.
    """
    world = reading_world()
    world.relay.sharing.engine_list_freshness.note_read_asked(world.now)
    world.advance(0.1)
    notify_read(world)
    world.change_engines()
    assert not world.relay.sharing.reads_for_all


def test_reader_that_is_refused_leaves_it_to_another():
    """The store refuses the reader and serves all others."""
    world = reading_world()
    sharing = world.relay.sharing
    sharing.engine_list_freshness.note_read_asked(world.now)
    sharing.note_engines_read_failed()
    world.advance(0.5)
    notify_read(world, sender='~after-all-others')
    assert not sharing.is_engines_read_due(world.now)
    assert not sharing.is_configuration_read_due(world.now)


def test_reader_whose_reads_take_long_leaves_it_to_another():
    """The link of the reader is slow, and those of the others are not.

    What it reads is too old to be announced as current, so that it would read
    for no other instance.
    """
    world = reading_world()
    world.relay.sharing.engine_list_freshness.note_read_asked(world.now)
    world.advance(1.5)
    world.change_engines()
    assert not world.relay.sharing.reads_for_all


def test_instances_that_start_together_announce_nothing():
    """All instances lose power at once and start within a moment.

    Each reads the whole list. Announced by each to all, that would be hundreds
    of thousands of datagrams while callers reconnect.
    """
    world = relay_world.RelayWorld()
    for number in range(40):
        world.handle(relay_events.PeerHeard(f'{number}-other', 'north'))
    world.relay.sharing.engine_list_freshness.note_read_asked(world.now)
    world.list_engines(relay_world.fleet())
    assert announced_hints(world) == []


def test_followers_read_soon_after_the_reader_falls_silent():
    """The reader is killed.

    An engine that leaves must get no more work after two seconds, so the
    others have to read well before they consider the reader dead.
    """
    world = world_with_reader()
    notify_read(world)
    world.advance(1.45)
    assert world.relay.sharing.is_engines_read_due(world.now)
    assert world.relay.sharing.is_configuration_read_due(world.now)


def test_changes_reach_followers():
    """An engine starts to leave.

    An instance that only receives the hint must send it nothing more, like the
    instance that has read the list.
    """
    reader = reading_world()
    leaving = relay_world.engine(
        'model-north-0', relay_world.STREAMS, 'north', 2, leaving=True
    )
    reader.relay.sharing.engine_list_freshness.note_read_asked(reader.now)
    reader.change_engines(leaving, removed=['model-south-0'])
    follower = world_with_reader()
    for hint in announced_hints(reader):
        follower.handle(relay_events.PeerTold(READER, hint))
    assert not follower.relay.sharing.is_engines_read_due(follower.now)
    used = {
        follower.last_send(follower.ask()).engine.engine for _ in range(40)
    }
    assert not used & {'model-north-0', 'model-south-0'}


def test_one_lost_answer_does_not_delay_the_next_read():
    """The reader is dead, and one answer of the store is lost.

    The next read has to meet the bound on engines that leave, so only failures
    after the first one space the reads out.
    """
    world = world_with_reader()
    notify_read(world)
    world.advance(1.45)
    engines = world.relay.sharing.engine_list_freshness
    engines.note_read_asked(world.now)
    engines.note_read_failed()
    world.advance(0.75)
    assert world.relay.sharing.is_engines_read_due(world.now)
    engines.note_read_asked(world.now)
    engines.note_read_failed()
    world.advance(0.75)
    assert not world.relay.sharing.is_engines_read_due(world.now)
    world.advance(2.0)
    assert world.relay.sharing.is_engines_read_due(world.now)


def test_newer_list_is_read_at_once_after_failures():
    """The store was unavailable, and another instance has just read it."""
    world = world_with_reader()
    notify_read(world)
    world.advance(1.45)
    for _ in range(4):
        world.relay.sharing.engine_list_freshness.note_read_asked(world.now)
        world.relay.sharing.engine_list_freshness.note_read_failed()
    world.advance(0.75)
    notify_read(world, digest=12345)
    assert world.relay.sharing.is_engines_read_due(world.now)


def test_follower_that_reads_a_newer_list_announces_nothing():
    """All followers learn at once that their lists are old, and read.

    Announced by each to all, that would be hundreds of datagrams for one that
    was lost.
    """
    world = world_with_reader()
    notify_read(world, digest=12345)
    before = len(announced_hints(world))
    world.relay.sharing.engine_list_freshness.note_read_asked(world.now)
    world.change_engines(*relay_world.fleet())
    assert announced_hints(world)[before:] == []


def test_lost_change_is_noticed_by_its_digest():
    """The datagram is lost that announces that an engine leaves.

    The next notification of the reader shows that something is missing.
    """
    world = world_with_reader()
    notify_read(world, digest=12345)
    assert world.relay.sharing.is_engines_read_due(world.now)


def test_higher_version_is_fetched():
    """A configuration is too large for a datagram; its version is not."""
    world = world_with_reader()
    notify_read(world, version=world.relay.route_table.version + 1)
    assert world.relay.sharing.is_configuration_read_due(world.now)


def test_engine_renewals_are_not_announced():
    """Every engine renews its entry each second.

    Announcing that would be more traffic than the saved calls to the store.
    """
    world = reading_world()
    before = len(announced_hints(world))
    world.relay.sharing.engine_list_freshness.note_read_asked(world.now)
    world.change_engines(*relay_world.fleet(heartbeat=5))
    [hint] = announced_hints(world)[before:]
    assert isinstance(hint, hints.StoreRead)


def test_lagging_peer_does_not_delay_the_read_of_a_newer_version():
    """Two instances read the store, and the store refuses one of them.

    One announces a new version, and the other keeps announcing the old one. If
    the latest hint counted, callers with added keys would be refused as long
    as the store refuses that instance.
    """
    world = world_with_reader()
    notify_read(world)
    world.advance(1.0)
    notify_read(world, version=world.relay.route_table.version + 1)
    notify_read(world)
    assert world.relay.sharing.is_configuration_read_due(world.now)


def read_notifications(world):
    """Return the read notifications that were sent."""
    return [
        h for h in announced_hints(world) if isinstance(h, hints.StoreRead)
    ]


def test_slow_read_is_not_announced_as_current():
    """The link of the reader is slow, and a read takes 1.5 seconds.

    Its result is that old. Followers that took it for current would delay
    their own reads, and give work to an engine that has left meanwhile.
    Changes in the answer are announced all the same.
    """
    reader = reading_world()
    leaving = relay_world.engine(
        'model-north-0', relay_world.STREAMS, 'north', 2, leaving=True
    )
    before = len(read_notifications(reader))
    reader.relay.sharing.engine_list_freshness.note_read_asked(reader.now)
    reader.advance(1.5)
    reader.handle(relay_events.EnginesChanged((leaving,), ()))
    assert len(read_notifications(reader)) == before
    assert any(
        isinstance(hint, hints.EngineListChanged)
        and hint.entries == (leaving,)
        for hint in announced_hints(reader)
    )


def test_reader_without_configuration_reads_announces_no_version():
    """The reader reads the list of engines, but not the configuration.

    Followers that took its version for the newest would keep using withdrawn
    keys and routes as long as its calls for the configuration fail.
    """
    reader = reading_world()
    reader.relay.sharing.configuration_freshness.note_read_asked(reader.now)
    reader.relay.sharing.configuration_freshness.note_read_failed()
    reader.relay.sharing.engine_list_freshness.note_read_asked(reader.now)
    reader.handle(relay_events.EnginesChanged((), ()))
    assert read_notifications(reader)[-1].version is None
    reader.relay.sharing.configuration_freshness.note_current(reader.now)
    reader.relay.sharing.engine_list_freshness.note_read_asked(reader.now)
    reader.handle(relay_events.EnginesChanged((), ()))
    assert (
        read_notifications(reader)[-1].version
        == reader.relay.route_table.version
    )


def test_an_instance_that_starts_during_an_outage_serves_by_the_readers_list():
    """Guards against an instance that refuses all requests after an outage.

    It has heard the changes that the reader found, so that it has the same
    list, and so does not read the store itself.
    """
    own = hints.Member('own', '5-own', '127.0.0.1', 'north')
    world = relay_world.RelayWorld()
    world.relay = relay.Relay(
        random.Random(1),
        own,
        relay_world.RETRIES,
        relay_world.ENGINE_BOUNDS,
    )
    world.offer(relay_world.route_table())
    world.handle(relay_events.PeerHeard(READER, 'north'))
    world.handle(relay_events.StoreLost('status 503'))
    entries = tuple(relay_world.fleet())
    told = hints.EngineListChanged(entries, ())
    world.handle(relay_events.PeerTold(READER, told))
    [early] = world.refusals(world.ask())
    assert early.code == 'no-configuration'
    notify_read(world)
    assert world.sends(world.ask())
