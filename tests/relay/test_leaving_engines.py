"""Engines that leave while the store is hard to reach."""

from twisted.internet import defer
from twisted.internet import task

from greengagelb import errors
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import store_sharing
from greengagelb.state.relay import hints
from greengagelb.state.relay import positions
from greengagelb.transport.relay import store_watch
from tests.common import relay_world
from tests.common import watches

READER = '0-before-all-others'
REMOVED_ENGINE = 'model-north-0'


def engines_used(world, requests=40):
    """Return the engines that get the next streams."""
    return {
        world.last_send(world.ask()).engine.engine for _ in range(requests)
    }


def test_engine_removed_after_one_failed_read_gets_no_more_work():
    """One read of the list fails, and the next one tells of a removal.

    An entry lapses only after several renewals were missed, so a gap of a
    second in what is known here can't be why it is missing. An engine that
    leaves without saying so first is just removed; kept for another two
    seconds, it is sent streams until it cuts them off.
    """
    world = relay_world.RelayWorld()
    world.advance(1.0)
    world.change_engines()
    world.advance(0.6)
    world.handle(relay_events.StoreLost('no answer in time'))
    world.advance(0.1)
    world.change_engines(removed=[REMOVED_ENGINE])
    assert REMOVED_ENGINE not in engines_used(world)


def test_engines_missing_after_an_outage_are_kept_for_a_grace_period():
    """The store is away for longer than entries live without renewal.

    Its list is empty when it comes back, and engines need a moment to write
    their entries again. Taken at its word it would have every request refused.
    """
    world = relay_world.RelayWorld()
    world.advance(1.0)
    world.handle(relay_events.StoreLost('away'))
    world.advance(5.0)
    world.change_engines(removed=[REMOVED_ENGINE])
    assert REMOVED_ENGINE in engines_used(world)
    world.advance(2.1)
    assert REMOVED_ENGINE not in engines_used(world)


def test_read_notification_confirms_the_engine_list():
    """The neighbour that reads for all is stopped, and one own read fails.

    Until then its word came each second. Measured from the last own read
    instead, every such hand-over would look like an outage of the store, and
    engines that leave would be kept.
    """
    world = relay_world.RelayWorld()
    world.handle(relay_events.PeerHeard(READER, 'north'))
    for _ in range(10):
        world.advance(1.0)
        hint = hints.StoreRead(
            world.relay.engines.digest(), world.relay.route_table.version
        )
        world.handle(relay_events.PeerTold(READER, hint))
    world.advance(1.4)
    world.handle(relay_events.StoreLost('ConnectionLost'))
    world.advance(0.1)
    world.change_engines(removed=[REMOVED_ENGINE])
    assert REMOVED_ENGINE not in engines_used(world)


def test_configuration_hint_does_not_confirm_the_engine_list():
    """The neighbour that reads for all applies a configuration.

    It tells the others at once, but it has not looked at the list of engines
    just then. Taken for a look, its word would put off theirs, and an engine
    that leaves gets work for longer than is promised.
    """
    reader = relay_world.RelayWorld()
    reader.handle(relay_events.PeerHeard('~after-all-others', 'north'))
    follower = relay_world.RelayWorld()
    follower.handle(relay_events.PeerHeard(READER, 'north'))
    hint = hints.StoreRead(
        follower.relay.engines.digest(), follower.relay.route_table.version
    )
    follower.handle(relay_events.PeerTold(READER, hint))
    follower.advance(1.0)
    reader.advance(1.0)
    before = len(reader.actions)
    reader.offer(relay_world.route_table(2))
    for action in reader.actions[before:]:
        if hasattr(action, 'hint'):
            follower.handle(relay_events.PeerTold(READER, action.hint))
    follower.advance(0.45)
    assert follower.relay.sharing.is_engines_read_due(follower.now)
    assert follower.relay.sharing.is_configuration_read_due(follower.now)


POSITION = positions.Position(positions.NO_ERA, 7)


class ForgetfulStore:
    """A source that has lost its history; counts reads of the whole list."""

    def __init__(self):
        self.whole_list_reads = 0
        self.whole_configuration_reads = 0

    def read_configuration(self, position, wait_seconds):
        if position is not None:
            return defer.fail(errors.HistoryGone('gone'))
        self.whole_configuration_reads += 1
        if self.whole_configuration_reads > 1:
            return defer.Deferred()
        return defer.succeed(store_watch.ConfigurationRead(POSITION, None))

    def read_engines(self, position):
        if position is not None:
            return defer.fail(errors.HistoryGone('gone'))
        self.whole_list_reads += 1
        return defer.succeed(store_watch.EnginesRead(POSITION, (), ()))

    def register(self, member):
        return defer.Deferred()


def test_whole_list_is_read_at_once_when_the_history_is_gone():
    """The store forgets its history, so that changes can't be read on.

    Waiting for the next look costs another second, in which an engine that
    has left by now gets work.
    """
    clock = task.Clock()
    source = ForgetfulStore()
    watch = watches.watch_on(source, clock)
    watch.sharing.reads_for_all = True
    watch.start()
    assert source.whole_list_reads == 1
    clock.advance(store_sharing.READ_INTERVAL_SECONDS + 0.06)
    assert source.whole_list_reads == 2
    assert source.whole_configuration_reads == 2
