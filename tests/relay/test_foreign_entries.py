"""Engines and instances whose entries another program has overwritten."""

import random

from twisted.internet import abstract
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from greengagelb import errors
from greengagelb.coordination import actions as common_actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.protocol import relay_hints
from greengagelb.state.relay import hints
from greengagelb.state.relay import positions
from greengagelb.transport.relay import peer_link
from greengagelb.transport.relay import relay_metrics
from greengagelb.transport.relay import store_watch
from greengagelb.transport.relay import unusable_entries
from tests.common import instance_world
from tests.common import relay_world
from tests.common import watches

READER = '0-before-all-others'
AFFECTED_ENGINE = 'model-north-0'
MISTAKE = 'unknown state lost'


def make_unusable(world, *names, entries=()):
    """Read a change of the list with unusable entries."""
    return world.handle(
        relay_events.EnginesChanged(tuple(entries), (), tuple(names))
    )


def engines_used(world, requests=40):
    """Return the engines that get the next streams."""
    return {
        world.last_send(world.ask()).engine.engine for _ in range(requests)
    }


def usable_entry(**fields):
    return relay_world.engine(
        AFFECTED_ENGINE, relay_world.STREAMS, 'north', **fields
    )


def records(world, kind):
    return [
        action
        for action in world.of_kind(common_actions.Record)
        if action.kind == kind
    ]


def test_engine_whose_entry_becomes_unusable_gets_no_more_work():
    """Another program overwrites the entry of an engine in use.

    Requests must not go to an engine that is not known to serve.
    """
    world = relay_world.RelayWorld()
    assert AFFECTED_ENGINE in engines_used(world)
    make_unusable(world, AFFECTED_ENGINE)
    assert AFFECTED_ENGINE not in engines_used(world)
    [told] = records(world, 'engine-leaving')
    assert told.upstream == AFFECTED_ENGINE


def test_unusable_entry_has_no_grace_period_after_an_outage():
    """The store returns after an outage, and an entry is unusable.

    Missing entries may be registered again in a moment. This one has not
    lapsed, so there is nothing to wait for.
    """
    world = relay_world.RelayWorld()
    world.advance(1.0)
    world.handle(relay_events.StoreLost('away'))
    world.advance(5.0)
    world.change_engines(removed=[AFFECTED_ENGINE])
    assert AFFECTED_ENGINE in engines_used(world)
    make_unusable(world, AFFECTED_ENGINE)
    assert AFFECTED_ENGINE not in engines_used(world)


def test_entry_that_is_unusable_in_a_whole_list_names_no_engine():
    """The list is read as a whole, right after an outage of the store."""
    world = relay_world.RelayWorld()
    world.advance(1.0)
    world.handle(relay_events.StoreLost('away'))
    world.advance(5.0)
    others = tuple(
        e for e in relay_world.fleet() if e.engine != AFFECTED_ENGINE
    )
    world.handle(
        relay_events.EnginesListed(others, (AFFECTED_ENGINE, 'unheard-of'))
    )
    assert AFFECTED_ENGINE not in engines_used(world)


def test_engine_is_used_again_when_its_entry_is():
    """The engine writes its entry again with its next heartbeat.

    Excluded for good, each such accident would cost an engine.
    """
    world = relay_world.RelayWorld()
    make_unusable(world, AFFECTED_ENGINE)
    world.change_engines(usable_entry(heartbeat=2))
    assert AFFECTED_ENGINE in engines_used(world)


def test_engine_that_had_said_that_it_leaves_is_not_used_again():
    """The entry of an engine that leaves is overwritten twice.

    First it is unusable, then an old copy states that the engine is ready. The
    engine stays known as leaving.
    """
    world = relay_world.RelayWorld()
    world.change_engines(usable_entry(heartbeat=2, leaving=True))
    make_unusable(world, AFFECTED_ENGINE)
    world.change_engines(usable_entry(heartbeat=1))
    assert AFFECTED_ENGINE not in engines_used(world)


def test_running_stream_goes_on_at_the_engine():
    """The entry of an engine becomes unusable while a stream runs on it.

    The engine itself still serves. If the stream were cut off, its caller
    would wait for the prompt to be read again.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    send = world.last_send(exchange)
    world.begin(send)
    world.events(send, 1, 2)
    make_unusable(world, send.engine.engine)
    world.events(send, 3)
    world.complete(send)
    assert world.passed_events(exchange) == [1, 2, 3]
    assert world.of_kind(relay_actions.EndStream, exchange)
    assert not world.of_kind(relay_actions.AbandonSend, exchange)


def test_copies_on_the_engine_are_replaced():
    """The entry of the engine with the copy of a run becomes unusable.

    The run cannot be resumed there any more when its own engine is lost, and
    its caller would wait until the prompt is read again.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    send = world.last_send(exchange)
    world.begin(send)
    world.events(send, 1)
    make_unusable(world, send.copy_to.engine)
    [ordered] = world.of_kind(relay_actions.CopyRun, exchange)
    assert ordered.target.engine != send.copy_to.engine


def test_peers_learn_of_unusable_entries_from_the_reader():
    """One instance reads the list for the others.

    They would go on using the engine until they read the list themselves.
    """
    reader = relay_world.RelayWorld()
    reader.read_for_all()
    follower = relay_world.RelayWorld()
    make_unusable(reader, AFFECTED_ENGINE, 'unheard-of')
    actions = reader.of_kind(relay_actions.BroadcastHints)
    told = [hint for action in actions for hint in action.hints]
    [news] = [
        h
        for h in told
        if isinstance(h, hints.EngineListChanged) and h.unusable
    ]
    assert news.unusable == (AFFECTED_ENGINE,)
    raw = relay_hints.encode_hint(READER, news)
    assert relay_hints.decode_datagram(raw) == (READER, news)
    follower.handle(relay_events.PeerTold(READER, news))
    assert AFFECTED_ENGINE not in engines_used(follower)
    assert follower.relay.engines.digest() == reader.relay.engines.digest()


def test_peers_are_told_once_of_an_unusable_entry():
    """An unusable entry stays, and is read again with each whole list."""
    reader = relay_world.RelayWorld()
    reader.read_for_all()
    make_unusable(reader, AFFECTED_ENGINE)
    before = len(reader.actions)
    make_unusable(reader, AFFECTED_ENGINE)
    later_actions = reader.actions[before:]
    assert not [
        a for a in later_actions if isinstance(a, common_actions.Record)
    ]
    assert not [
        hint
        for a in later_actions
        if isinstance(a, relay_actions.BroadcastHints)
        for hint in a.hints
        if isinstance(hint, hints.EngineListChanged)
    ]


def test_entry_that_names_another_service_names_no_engine():
    """The entry of a known engine suddenly names another service.

    An engine serves one service. Requests of the other service would run on an
    engine that is not meant for them, and requests of its own on one with a
    contradictory entry.
    """
    world = relay_world.RelayWorld()
    moved = relay_world.engine(AFFECTED_ENGINE, relay_world.CALLS, 'north', 2)
    world.change_engines(moved)
    assert AFFECTED_ENGINE not in engines_used(world)
    for _ in range(20):
        exchange = world.query()
        assert world.last_send(exchange).engine.engine != AFFECTED_ENGINE
        world.answer(world.last_send(exchange))
    # Once the engine is forgotten, its entry may name any service.
    world.advance(70.0)
    world.change_engines()
    assert AFFECTED_ENGINE not in world.relay.engines.states
    world.change_engines(moved)
    assert AFFECTED_ENGINE in world.relay.engines.by_service[relay_world.CALLS]


def test_engine_is_used_once_its_entry_names_its_service_again():
    world = relay_world.RelayWorld()
    world.change_engines(
        relay_world.engine(AFFECTED_ENGINE, relay_world.CALLS, 'north', 2)
    )
    world.change_engines(usable_entry(heartbeat=3))
    assert AFFECTED_ENGINE in engines_used(world)


def test_engine_of_an_unconfigured_service_gets_no_work_and_replaces_none():
    """An entry of a known address names a service that is not configured.

    Its engine gets no requests, as they go to configured services only. It
    must not be taken for the restarted engine at that address either, which
    would remove that engine.
    """
    world = relay_world.RelayWorld()
    [known] = [e for e in relay_world.fleet() if e.engine == AFFECTED_ENGINE]
    world.advance(10.0)
    world.change_engines(
        relay_world.engine(
            'stray', 'unheard-of', 'north', port=known.address.port
        )
    )
    used = engines_used(world)
    assert AFFECTED_ENGINE in used
    assert 'stray' not in used


def mistake(name=AFFECTED_ENGINE, why=MISTAKE):
    return unusable_entries.UnusableEntry(name, why)


POSITION = positions.StorePosition(positions.NO_ERA, 7)


class StoreOfOthers:
    """A source without history whose lists have unusable entries.

    A call for the configuration waits for a change, as at the store.
    """

    def __init__(self):
        self.clock = task.Clock()
        self.engine_mistakes = (mistake(),)
        self.member_mistakes = (mistake('front-2'),)
        self.configuration_mistake = 'no part has a weight'
        self.members = ()
        self.registered = 0

    def read_configuration(self, position, wait_seconds):
        if position is not None:
            return defer.fail(errors.HistoryGone('gone'))
        read = store_watch.ConfigurationRead(
            POSITION, None, self.configuration_mistake
        )
        return task.deferLater(self.clock, 0.3, lambda: read)

    def read_engines(self, position):
        if position is not None:
            return defer.fail(errors.HistoryGone('gone'))
        return defer.succeed(
            store_watch.EnginesRead(POSITION, (), (), self.engine_mistakes)
        )

    def register(self, member):
        self.registered += 1
        return defer.succeed(None)

    def read_members(self):
        return defer.succeed(
            store_watch.MembersRead(self.members, self.member_mistakes)
        )


def start_watch(source, dispatched=None):
    """Return a clock, a started watch of a source, and its records."""
    recorded = []
    dispatch = None if dispatched is None else dispatched.append
    watch = watches.watch_on(source, source.clock, dispatch, recorded.append)
    watch.start()
    return source.clock, watch, recorded


def kinds(recorded):
    return sorted(record.kind for record in recorded)


def test_unusable_entries_are_logged_once_until_they_change():
    """An unusable entry stays in the list, which is read repeatedly.

    A line for each read would hide the other lines of the log.
    """
    source = StoreOfOthers()
    dispatched = []
    clock, watch, recorded = start_watch(source, dispatched)
    clock.pump([0.1] * 300)
    expected = ['bad-configuration', 'bad-engine-entry', 'bad-instance-entry']
    assert kinds(recorded) == expected
    named = {record.upstream for record in recorded}
    assert named == {'', AFFECTED_ENGINE, 'front-2'}
    listed = [
        event
        for event in dispatched
        if isinstance(event, relay_events.EnginesListed)
    ]
    assert len(listed) > 10
    assert all(event.unusable == (AFFECTED_ENGINE,) for event in listed)
    source.engine_mistakes = (mistake(why='bad address'),)
    clock.pump([0.1] * 30)
    assert kinds(recorded) == sorted([*expected, 'bad-engine-entry'])
    source.engine_mistakes = ()
    clock.pump([0.1] * 30)
    source.engine_mistakes = (mistake(),)
    clock.pump([0.1] * 30)
    assert kinds(recorded).count('bad-engine-entry') == 3


def test_unusable_entries_are_counted():
    """Operators must see how many there are now, and how many there were."""
    source = StoreOfOthers()
    clock, watch, _ = start_watch(source)
    clock.pump([0.1] * 30)
    figures = relay_metrics.RelayMetrics()
    figures.get_unusable_entries = watch.unusable_entries_by_list
    shown = figures.render_relay(0).decode()
    for kind in ('engine', 'instance', 'configuration'):
        told = f'greengagelb_unusable_entries_told{{kind="{kind}"}} 1'
        assert told in shown
        assert f'greengagelb_unusable_entries{{kind="{kind}"}} 1' in shown
    source.engine_mistakes = ()
    clock.pump([0.1] * 30)
    shown = figures.render_relay(0).decode()
    assert 'greengagelb_unusable_entries{kind="engine"} 0' in shown
    assert 'greengagelb_unusable_entries_told{kind="engine"} 1' in shown


def test_metrics_page_of_an_instance_has_these_counts():
    page = instance_world.InstanceWorld().instance.metrics_page()
    assert b'greengagelb_unusable_entries{kind="engine"} 0' in page.body


def test_own_entry_that_was_overwritten_is_written_again():
    """Another program overwrites the entry of this instance.

    Instances that start later would never hear of this one, as they contact
    the listed ones.
    """
    source = StoreOfOthers()
    source.members = (watches.OWN,)
    clock, watch, _ = start_watch(source)
    watch.sharing.reads_for_all = True
    clock.pump([0.1] * 200)
    assert source.registered == 1
    source.members = ()
    clock.pump([0.1] * 160)
    assert source.registered > 1


def test_instance_that_does_not_read_for_all_learns_that_it_is_missing():
    """Another program overwrites the entry of one of many instances.

    Only the reader reads the list of instances often. It hears the one that is
    missing, and notifies it.
    """
    reader = relay_world.RelayWorld()
    reader.read_for_all()
    unlisted_instance = relay_world.RelayWorld()
    reader.handle(relay_events.PeerHeard('5-own', 'south'))
    reader.handle(relay_events.PeerHeard('6-other', 'south'))
    listed = (hints.Member('other', '6-other', '127.0.0.2', 'south'),)
    done = reader.handle(relay_events.MembersListed(listed))
    [told] = [a for a in done if isinstance(a, relay_actions.BroadcastHints)]
    assert told.hints == (hints.InstancesNotListed(('5-own',)),)
    unlisted_instance.relay.sharing.note_members_read(unlisted_instance.now)
    assert (
        unlisted_instance.relay.sharing.members_due_at(unlisted_instance.now)
        > unlisted_instance.now
    )
    looks = unlisted_instance.handle(
        relay_events.PeerTold(READER, told.hints[0])
    )
    assert looks == [relay_actions.RescheduleStoreRead()]
    assert (
        unlisted_instance.relay.sharing.members_due_at(unlisted_instance.now)
        <= unlisted_instance.now
    )


class StrictSocket:
    """Sends to addresses only, as sockets do."""

    def __init__(self):
        self.sent = []

    def write(self, raw, address):
        host, _ = address
        if not abstract.isIPAddress(host):
            raise error.InvalidAddressError(host, 'not an address')
        self.sent.append(address)


def test_host_that_is_no_address_costs_only_its_own_datagrams():
    """A heartbeat of another program has a host name as its address.

    An error of the socket would abort sending to all instances, and those
    after it would receive nothing.
    """
    bad = []
    link = peer_link.PeerLink(
        watches.OWN, 7000, lambda event: None, bad.append, random.Random(1)
    )
    link.transport = StrictSocket()
    link.peers = {
        '1-a': peer_link.Peer('front.example', watches.OWN.data_centre),
        '2-b': peer_link.Peer('127.0.0.2', watches.OWN.data_centre),
    }
    link.send_heartbeat()
    assert link.transport.sent == [('127.0.0.2', 7000)]
    assert len(bad) == 1


def test_loss_of_the_own_entry_is_recorded_once():
    """Guards against operators who cannot see what a copy lacked."""
    source = StoreOfOthers()
    source.members = (watches.OWN,)
    source.member_mistakes = ()
    clock, watch, recorded = start_watch(source, [])
    watch.sharing.reads_for_all = True
    clock.pump([0.1] * 300)
    assert 'entry-written-again' not in kinds(recorded)
    source.members = ()
    clock.pump([0.1] * 600)
    assert kinds(recorded).count('entry-written-again') == 1
    assert source.registered > 1
