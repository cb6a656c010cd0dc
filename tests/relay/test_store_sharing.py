"""Instances of a data centre that share what they read from the store."""

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from tests.common import relay_world

READER = '0-before-all-others'


def world_with_reader(place='north'):
    """Return a world in which another instance reads the store."""
    world = relay_world.RelayWorld()
    world.handle(relay_events.PeerHeard(READER, place))
    return world


def reading_world():
    """Return a world whose instance reads the store for all."""
    world = relay_world.RelayWorld()
    world.read_for_all()
    return world


def announced_hints(world):
    actions = world.of_kind(relay_actions.ForwardHints)
    return [hint for action in actions for hint in action.hints]


def notify_read(world, sender=READER, **fields):
    """Let a reader tell of a read of the store."""
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
    """Each call to the store costs money and a share of its rate.

    Were every instance to look for itself, or one in each data centre, a
    large fleet would spend more on looking than on serving.
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

    It goes on hearing of nobody, and serves callers all the while.
    """
    world = world_with_reader('south')
    notify_read(world)
    world.advance(1.4)
    sharing = world.relay.sharing
    for _ in range(5):
        assert sharing.is_engines_read_due(world.now)
        assert sharing.is_configuration_read_due(world.now)
        sharing.engines.note_read_asked(world.now)
        world.change_engines()
        world.advance(1.0)


def test_one_of_two_readers_remains():
    """Two data centres were cut off from each other, and hear again.

    Each had a reader. Two that go on cost twice as many calls for nothing.
    """
    world = reading_world()
    notify_read(world, sender='~after-all-others')
    assert world.relay.sharing.reads_for_all
    notify_read(world)
    assert not world.relay.sharing.reads_for_all


def test_reader_that_yields_during_a_read_does_not_resume():
    """The store is slow, and two readers hear of each other all the while.

    The answer to the last read of the one that steps back is still on its way.
    Taken for a look that others wait for, it would make it a reader again.
    """
    world = reading_world()
    world.relay.sharing.engines.note_read_asked(world.now)
    world.advance(0.1)
    notify_read(world)
    world.change_engines()
    assert not world.relay.sharing.reads_for_all


def test_reader_that_is_refused_leaves_it_to_another():
    """The store turns the reader away and serves all others."""
    world = reading_world()
    sharing = world.relay.sharing
    sharing.engines.note_read_asked(world.now)
    sharing.note_engines_read_failed()
    world.advance(0.5)
    notify_read(world, sender='~after-all-others')
    assert not sharing.is_engines_read_due(world.now)
    assert not sharing.is_configuration_read_due(world.now)


def test_reader_whose_reads_take_long_leaves_it_to_another():
    """The reader's own link is slow, and the others' links are not.

    What it reads is too old to be passed on as the present state. If it went
    on, it would read for nobody.
    """
    world = reading_world()
    world.relay.sharing.engines.note_read_asked(world.now)
    world.advance(1.5)
    world.change_engines()
    assert not world.relay.sharing.reads_for_all


def test_instances_that_start_together_announce_nothing():
    """All instances lose power at once, and start within a moment.

    Each reads the whole list then. Passed on by each to all, that would be
    hundreds of thousands of datagrams while the callers come back.
    """
    world = relay_world.RelayWorld()
    for number in range(40):
        world.handle(relay_events.PeerHeard(f'{number}-other', 'north'))
    world.relay.sharing.engines.note_read_asked(world.now)
    world.list_engines(relay_world.fleet())
    assert announced_hints(world) == []


def test_followers_read_soon_after_the_reader_falls_silent():
    """The instance that reads for all is killed.

    An engine that leaves next must get no more work within two seconds, so the
    others have to look for themselves well before they take the reader for
    dead.
    """
    world = world_with_reader()
    notify_read(world)
    world.advance(1.45)
    assert world.relay.sharing.is_engines_read_due(world.now)
    assert world.relay.sharing.is_configuration_read_due(world.now)


def test_changes_reach_followers():
    """An engine starts to leave.

    Who only hears of it must send it nothing more, just like the one who has
    read it.
    """
    reader = reading_world()
    leaving = relay_world.engine(
        'model-north-0', relay_world.STREAMS, 'north', 2, leaving=True
    )
    reader.relay.sharing.engines.note_read_asked(reader.now)
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
    """The reader is dead, and the store loses one answer.

    The next look has to come while the bound on engines that leave still
    holds, so only failures after that one make it rarer.
    """
    world = world_with_reader()
    notify_read(world)
    world.advance(1.45)
    engines = world.relay.sharing.engines
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
    """The store was away, and a neighbour has just read it again."""
    world = world_with_reader()
    notify_read(world)
    world.advance(1.45)
    for _ in range(4):
        world.relay.sharing.engines.note_read_asked(world.now)
        world.relay.sharing.engines.note_read_failed()
    world.advance(0.75)
    notify_read(world, digest=12345)
    assert world.relay.sharing.is_engines_read_due(world.now)


def test_follower_that_reads_a_newer_list_announces_nothing():
    """All neighbours hear at once that their lists are old.

    Each of them reads the store. Told by each to each, that would be some
    hundreds of datagrams for one lost one.
    """
    world = world_with_reader()
    notify_read(world, digest=12345)
    before = len(announced_hints(world))
    world.relay.sharing.engines.note_read_asked(world.now)
    world.change_engines(*relay_world.fleet())
    assert announced_hints(world)[before:] == []


def test_lost_change_is_noticed_by_its_digest():
    """A datagram is lost, and with it the word that an engine leaves.

    The next word of the reader shows that something is missing.
    """
    world = world_with_reader()
    notify_read(world, digest=12345)
    assert world.relay.sharing.is_engines_read_due(world.now)


def test_higher_version_is_fetched():
    """The configuration is too large for a datagram; its version is not."""
    world = world_with_reader()
    notify_read(world, version=world.relay.route_table.version + 1)
    assert world.relay.sharing.is_configuration_read_due(world.now)


def test_engine_renewals_are_not_announced():
    """Every engine renews its entry each second.

    Passed on, that would be more traffic than the calls to the store that are
    saved.
    """
    world = reading_world()
    before = len(announced_hints(world))
    world.relay.sharing.engines.note_read_asked(world.now)
    world.change_engines(*relay_world.fleet(heartbeat=5))
    [hint] = announced_hints(world)[before:]
    assert isinstance(hint, hints.StoreRead)


def test_lagging_peer_does_not_delay_the_read_of_a_newer_version():
    """Two instances nearby read the store, and one of them is turned away.

    The first has told of a new version, and the second goes on telling of the
    old one. Taken for the newest word, it would have keys that were added
    refused for as long as the store turns that one away.
    """
    world = world_with_reader()
    notify_read(world)
    world.advance(1.0)
    notify_read(world, version=world.relay.route_table.version + 1)
    notify_read(world)
    assert world.relay.sharing.is_configuration_read_due(world.now)


def read_notifications(world):
    """Return what was told of whole reads of the store."""
    return [
        h for h in announced_hints(world) if isinstance(h, hints.StoreRead)
    ]


def test_slow_read_is_not_announced_as_current():
    """The reader's link is slow, and a read of the list takes 1.5 seconds.

    What it has read is that old. Neighbours that took its word for news of
    this moment would wait another while before they look themselves, and give
    work to an engine that left when the answer was on its way. What is new in
    the answer they are told all the same.
    """
    reader = reading_world()
    leaving = relay_world.engine(
        'model-north-0', relay_world.STREAMS, 'north', 2, leaving=True
    )
    before = len(read_notifications(reader))
    reader.relay.sharing.engines.note_read_asked(reader.now)
    reader.advance(1.5)
    reader.handle(relay_events.EnginesChanged((leaving,), ()))
    assert len(read_notifications(reader)) == before
    assert any(
        isinstance(hint, hints.EnginesTold) and hint.entries == (leaving,)
        for hint in announced_hints(reader)
    )


def test_reader_without_configuration_reads_announces_no_version():
    """The reader reads the list of engines, but not the configuration.

    Its neighbours must not take the version that it has for the newest: they
    would go on by keys and routes that are no longer valid for as long as its
    calls for the configuration fail.
    """
    reader = reading_world()
    reader.relay.sharing.configuration.note_read_asked(reader.now)
    reader.relay.sharing.configuration.note_read_failed()
    reader.relay.sharing.engines.note_read_asked(reader.now)
    reader.handle(relay_events.EnginesChanged((), ()))
    assert read_notifications(reader)[-1].version is None
    reader.relay.sharing.configuration.note_current(reader.now)
    reader.relay.sharing.engines.note_read_asked(reader.now)
    reader.handle(relay_events.EnginesChanged((), ()))
    assert (
        read_notifications(reader)[-1].version
        == reader.relay.route_table.version
    )
