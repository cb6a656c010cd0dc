"""Engines that leave while reads of the store fail."""

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
    """One read of the list fails, and the next one shows a removal.

    An entry lapses only after several missed renewals, so that a gap of a
    second cannot be the reason of the removal. Kept for two more seconds as
    after an outage, the engine would be sent streams until it cuts them off.
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
    """The store is unavailable for longer than entries live unrenewed.

    Its list is empty when it returns, and engines need a moment to register
    again. Removed at once, they would leave every request refused.
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
    """The reader stops after notifying each second, and one own read fails.

    Measured from the last own read, every such change of the reader would look
    like an outage of the store, and removed engines would be kept.
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
    """The reader applies a configuration and announces it at once.

    It has not read the list of engines at that time. Taken for a read, the
    hint would delay the reads of the others, and an engine that leaves would
    get work for longer than is promised.
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


POSITION = positions.StorePosition(positions.NO_ERA, 7)


class ForgetfulStore:
    """A source that has lost its history; counts complete reads."""

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
    """The store has lost its history, so that changes cannot be read.

    Waiting for the next regular read would cost another second, in which an
    engine that has left gets work.
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
