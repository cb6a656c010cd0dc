"""Instances of a data centre that share what they read from the store."""

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from tests.common import relay_world

FIRST = '0-before-all-others'


def world_with_reader(place='north'):
    """Return a world in which another instance reads the store."""
    world = relay_world.RelayWorld()
    world.handle(relay_events.PeerHeard(FIRST, place))
    return world


def reading_world():
    """Return a world whose instance reads the store for all."""
    world = relay_world.RelayWorld()
    world.read_for_all()
    return world


def told(world):
    actions = world.of_kind(relay_actions.ForwardHints)
    return [hint for action in actions for hint in action.hints]


def read_by(world, sender=FIRST, **fields):
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
        world.handle(relay_events.PeerHeard(FIRST, 'north'))
        read_by(world)
        assert not sharing.engines_due(world.now)
        assert not sharing.configuration_due(world.now)


def test_instance_alone_reads_for_itself():
    """An instance is cut off from all others, but not from the store.

    It goes on hearing of nobody, and serves callers all the while.
    """
    world = world_with_reader('south')
    read_by(world)
    world.advance(1.4)
    sharing = world.relay.sharing
    for _ in range(5):
        assert sharing.engines_due(world.now)
        assert sharing.configuration_due(world.now)
        sharing.engines.looked(world.now)
        world.change_engines()
        world.advance(1.0)


def test_of_two_readers_one_goes_on():
    """Two data centres were cut off from each other, and hear again.

    Each had a reader. Two that go on cost twice as many calls for nothing.
    """
    world = reading_world()
    read_by(world, sender='~after-all-others')
    assert world.relay.sharing.reads_for_all
    read_by(world)
    assert not world.relay.sharing.reads_for_all


def test_reader_that_steps_back_during_a_read_does_not_come_back():
    """The store is slow, and two readers hear of each other all the while.

    The answer to the last read of the one that steps back is still on its way.
    Taken for a look that others wait for, it would make it a reader again.
    """
    world = reading_world()
    world.relay.sharing.engines.looked(world.now)
    world.advance(0.1)
    read_by(world)
    world.change_engines()
    assert not world.relay.sharing.reads_for_all


def test_reader_that_is_refused_leaves_it_to_another():
    """The store turns the reader away and serves all others."""
    world = reading_world()
    sharing = world.relay.sharing
    sharing.engines.looked(world.now)
    sharing.engines_failed()
    world.advance(0.5)
    read_by(world, sender='~after-all-others')
    assert not sharing.engines_due(world.now)
    assert not sharing.configuration_due(world.now)


def test_reader_whose_reads_take_long_leaves_it_to_another():
    """The reader's own link is slow, and the others' links are not.

    What it reads is too old to be passed on as the present state. If it went
    on, it would read for nobody.
    """
    world = reading_world()
    world.relay.sharing.engines.looked(world.now)
    world.advance(1.5)
    world.change_engines()
    assert not world.relay.sharing.reads_for_all


def test_instances_that_start_together_do_not_tell_each_other():
    """All instances lose power at once, and start within a moment.

    Each reads the whole list then. Passed on by each to all, that would be
    hundreds of thousands of datagrams while the callers come back.
    """
    world = relay_world.RelayWorld()
    for number in range(40):
        world.handle(relay_events.PeerHeard(f'{number}-other', 'north'))
    world.relay.sharing.engines.looked(world.now)
    world.list_engines(relay_world.fleet())
    assert told(world) == []


def test_reader_that_falls_silent_is_not_waited_for():
    """The instance that reads for all is killed.

    An engine that leaves next must get no more work within two seconds, so the
    others have to look for themselves well before they take the reader for
    dead.
    """
    world = world_with_reader()
    read_by(world)
    world.advance(1.45)
    assert world.relay.sharing.engines_due(world.now)
    assert world.relay.sharing.configuration_due(world.now)


def test_news_reach_those_who_do_not_read():
    """An engine starts to leave.

    Who only hears of it must send it nothing more, just like the one who has
    read it.
    """
    reader = reading_world()
    leaving = relay_world.engine(
        'model-north-0', relay_world.STREAMS, 'north', 2, leaving=True
    )
    reader.relay.sharing.engines.looked(reader.now)
    reader.change_engines(leaving, removed=['model-south-0'])
    follower = world_with_reader()
    for hint in told(reader):
        follower.handle(relay_events.PeerTold(FIRST, hint))
    assert not follower.relay.sharing.engines_due(follower.now)
    used = {
        follower.last_send(follower.ask()).engine.engine for _ in range(40)
    }
    assert not used & {'model-north-0', 'model-south-0'}


def test_one_lost_answer_does_not_put_off_the_next_look():
    """The reader is dead, and the store loses one answer.

    The next look has to come while the bound on engines that leave still
    holds, so only failures after that one make it rarer.
    """
    world = world_with_reader()
    read_by(world)
    world.advance(1.45)
    engines = world.relay.sharing.engines
    engines.looked(world.now)
    engines.failed()
    world.advance(0.75)
    assert world.relay.sharing.engines_due(world.now)
    engines.looked(world.now)
    engines.failed()
    world.advance(0.75)
    assert not world.relay.sharing.engines_due(world.now)
    world.advance(2.0)
    assert world.relay.sharing.engines_due(world.now)


def test_something_newer_is_fetched_at_once_after_failures():
    """The store was away, and a neighbour has just read it again."""
    world = world_with_reader()
    read_by(world)
    world.advance(1.45)
    for _ in range(4):
        world.relay.sharing.engines.looked(world.now)
        world.relay.sharing.engines.failed()
    world.advance(0.75)
    read_by(world, digest=12345)
    assert world.relay.sharing.engines_due(world.now)


def test_who_was_told_of_something_newer_tells_nobody():
    """All neighbours hear at once that their lists are old.

    Each of them reads the store. Told by each to each, that would be some
    hundreds of datagrams for one lost one.
    """
    world = world_with_reader()
    read_by(world, digest=12345)
    before = len(told(world))
    world.relay.sharing.engines.looked(world.now)
    world.change_engines(*relay_world.fleet())
    assert told(world)[before:] == []


def test_lost_news_are_noticed():
    """A datagram is lost, and with it the word that an engine leaves.

    The next word of the reader shows that something is missing.
    """
    world = world_with_reader()
    read_by(world, digest=12345)
    assert world.relay.sharing.engines_due(world.now)


def test_higher_version_is_fetched():
    """The configuration is too large for a datagram; its version is not."""
    world = world_with_reader()
    read_by(world, version=world.relay.route_table.version + 1)
    assert world.relay.sharing.configuration_due(world.now)


def test_heartbeats_of_engines_are_no_news():
    """Every engine renews its entry each second.

    Passed on, that would be more traffic than the calls to the store that are
    saved.
    """
    world = reading_world()
    before = len(told(world))
    world.relay.sharing.engines.looked(world.now)
    world.change_engines(*relay_world.fleet(heartbeat=5))
    [hint] = told(world)[before:]
    assert isinstance(hint, hints.StoreRead)


def test_word_of_one_that_lags_does_not_put_off_a_known_version():
    """Two instances nearby read the store, and one of them is turned away.

    The first has told of a new version, and the second goes on telling of the
    old one. Taken for the newest word, it would have keys that were added
    refused for as long as the store turns that one away.
    """
    world = world_with_reader()
    read_by(world)
    world.advance(1.0)
    read_by(world, version=world.relay.route_table.version + 1)
    read_by(world)
    assert world.relay.sharing.configuration_due(world.now)


def words(world):
    """Return what was told of whole reads of the store."""
    return [h for h in told(world) if isinstance(h, hints.StoreRead)]


def test_read_that_took_long_is_no_word_on_what_stands_there_now():
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
    before = len(words(reader))
    reader.relay.sharing.engines.looked(reader.now)
    reader.advance(1.5)
    reader.handle(relay_events.EnginesChanged((leaving,), ()))
    assert len(words(reader)) == before
    assert any(
        isinstance(hint, hints.EnginesTold) and hint.entries == (leaving,)
        for hint in told(reader)
    )


def test_reader_that_can_not_read_the_configuration_has_no_word_on_it():
    """The reader reads the list of engines, but not the configuration.

    Its neighbours must not take the version that it has for the newest: they
    would go on by keys and routes that are no longer valid for as long as its
    calls for the configuration fail.
    """
    reader = reading_world()
    reader.relay.sharing.configuration.looked(reader.now)
    reader.relay.sharing.configuration.failed()
    reader.relay.sharing.engines.looked(reader.now)
    reader.handle(relay_events.EnginesChanged((), ()))
    assert words(reader)[-1].version is None
    reader.relay.sharing.configuration.known(reader.now)
    reader.relay.sharing.engines.looked(reader.now)
    reader.handle(relay_events.EnginesChanged((), ()))
    assert words(reader)[-1].version == reader.relay.route_table.version
