"""A store that was restored from an older copy."""

import h11
from hypothesis import given
from hypothesis import strategies as st
import pytest
from twisted.internet import defer

from greengagelb import errors
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import store_eras
from greengagelb.platform import rows
from greengagelb.platform import store
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints
from greengagelb.state.relay import positions
from greengagelb.transport.relay import timed_requests
from tests.common import relay_world
from tests.common import store_fleet
from tests.common import wire_store

FAST_LINK = 10_000_000
ENGINES = 6
# The writes per second that the store of the smallest fleets in use accepts.
MAX_WRITES_PER_SECOND = 400
EraVerdict = store_eras.EraVerdict


def running_instance(era=1):
    """Return an instance that has read a store in an era."""
    instance = wire_store.LinkedInstance(FAST_LINK)
    found = instance.store
    found.era = era
    found.put('op', 'config', wire_store.configuration_value(2, 3))
    for number in range(ENGINES):
        found.put('servers', f'e{number}', wire_store.engine_value(number, 1))
    instance.watch.start()
    instance.play(3.0)
    assert instance.version == 2
    assert instance.knows('e0')
    return instance


def renew(instance, times, but=()):
    """Have the engines renew their entries, which raises the versions."""
    for renewal in range(2, 2 + times):
        for number in range(ENGINES):
            if number not in but:
                value = wire_store.engine_value(number, renewal)
                instance.store.put('servers', f'e{number}', value)


def test_an_engine_that_drains_after_the_copy_gets_no_more_work():
    """Guards against missing changes below the version read so far.

    The store has counted up beyond that version again, so that a read from
    there succeeds and omits the entry of the engine that drains.
    """
    instance = running_instance()
    copy = instance.store.copy()
    renew(instance, 3)
    instance.play(1.1)
    instance.store.restore(copy)
    draining = wire_store.engine_value(0, 9, 'draining')
    instance.store.put('servers', 'e0', draining)
    renew(instance, 6, but=(0,))
    instance.play(2.0)
    assert not instance.knows('e0')
    assert instance.knows('e1')


def test_a_configuration_that_is_written_again_comes_into_force():
    """Guards against withdrawn keys that stay valid after a restore."""
    instance = running_instance()
    copy = instance.store.copy()
    renew(instance, 3)
    instance.play(1.0)
    instance.store.restore(copy)
    instance.store.put('op', 'config', wire_store.configuration_value(3, 3))
    renew(instance, 6)
    instance.play(4.0)
    assert instance.version == 3


def test_a_newer_configuration_stays_in_force():
    """Guards against a copy that reverts to an older configuration."""
    instance = running_instance()
    copy = instance.store.copy()
    instance.store.put('op', 'config', wire_store.configuration_value(5, 3))
    instance.play(3.0)
    assert instance.version == 5
    instance.store.restore(copy)
    instance.play(6.0)
    assert instance.version == 5


def test_an_engine_that_the_copy_lacks_may_return_for_a_moment():
    """Guards against an empty pool until all engines register again."""
    instance = running_instance()
    copy = instance.store.copy()
    instance.store.put('servers', 'new', wire_store.engine_value(9, 1))
    instance.play(2.0)
    assert instance.knows('new')
    instance.store.restore(copy)
    renew(instance, 1)
    instance.play(2.0)
    assert instance.knows('new')
    instance.play(5.0)
    assert not instance.knows('new')


def test_a_removed_engine_does_not_return_with_the_copy():
    """Guards against work for an engine that only the copy still lists."""
    instance = running_instance()
    copy = instance.store.copy()
    instance.store.drop('servers', 'e0')
    instance.play(4.0)
    assert not instance.knows('e0')
    instance.store.restore(copy)
    renew(instance, 1, but=(0,))
    instance.play(1.5)
    assert not instance.knows('e0')
    instance.store.put('servers', 'e0', wire_store.engine_value(0, 7))
    instance.play(1.5)
    assert instance.knows('e0')


def test_a_restore_within_a_storm_of_configurations_leaves_the_newest():
    """Guards against a version that falls, or one that is missed."""
    instance = running_instance()
    seen = []
    for version in range(3, 9):
        copy = instance.store.copy()
        value = wire_store.configuration_value(version, 3)
        instance.store.put('op', 'config', value)
        instance.play(0.4)
        if version % 2:
            instance.store.restore(copy)
            instance.play(0.4)
            instance.store.put('op', 'config', value)
        seen.append(instance.version)
    instance.play(4.0)
    seen.append(instance.version)
    assert seen == sorted(seen)
    assert seen[-1] == 8


def starting_instance(newest):
    """Return an instance that starts beside one with a configuration."""
    instance = wire_store.LinkedInstance(FAST_LINK)
    found = instance.store
    found.era = 2
    found.put('op', 'config', wire_store.configuration_value(2, 3))
    found.put('servers', 'e0', wire_store.engine_value(0, 1))
    told = hints.StoreRead(0, newest)
    instance.dispatch(relay_events.PeerTold('1-reader', told))
    instance.watch.start()
    instance.play(2.0)
    return instance


def test_an_instance_that_starts_takes_no_older_configuration():
    """Guards against old routes and keys at one instance.

    The others have a newer configuration in force than the copy has.
    """
    instance = starting_instance(newest=5)
    assert instance.version == 0
    value = wire_store.configuration_value(5, 3)
    instance.store.put('op', 'config', value)
    instance.play(1.5)
    assert instance.version == 5


def test_an_instance_does_not_wait_for_ever_for_a_newer_configuration():
    """Guards against a start that a wrong version hint delays for ever."""
    instance = starting_instance(newest=9)
    instance.play(5.0)
    assert instance.version == 2


def test_a_late_answer_of_an_earlier_era_changes_nothing():
    """Guards against a stalled connection that brings back old entries."""
    instance = running_instance(era=5)
    instance.store.era = 4
    instance.store.drop('servers', 'e0')
    instance.play(3.0)
    assert instance.knows('e0')
    assert instance.relay.engines.is_store_lost
    instance.store.era = 5
    instance.play(5.0)
    assert not instance.knows('e0')


def test_reads_and_writes_after_a_restore_are_recorded_once():
    """Guards against operators who cannot see whether a restore is over.

    The copy was made before this instance had registered.
    """
    instance = wire_store.LinkedInstance(FAST_LINK)
    found = instance.store
    found.era = 1
    found.put('op', 'config', wire_store.configuration_value(2, 3))
    for number in range(ENGINES):
        found.put('servers', f'e{number}', wire_store.engine_value(number, 1))
    copy = found.copy()
    instance.watch.start()
    instance.play(3.0)
    found.restore(copy)
    renew(instance, 2)
    instance.play(12.0)
    told = {
        record.kind: record.reason
        for record in instance.records
        if record.kind.startswith('store-')
    }
    assert told['store-restored'].startswith('era 1 to 2')
    done = told['store-read-again']
    assert done.startswith('era 2: ')
    assert f'engines read {ENGINES}' in done
    assert 'own entry written 1' in done
    kinds = [record.kind for record in instance.records]
    assert kinds.count('store-read-again') == 1


def test_two_restores_within_ten_seconds_are_both_noticed():
    """Guards against a second restore that is taken for a late answer."""
    instance = running_instance()
    copy = instance.store.copy()
    for number in range(2):
        renew(instance, 3)
        instance.play(1.1)
        instance.store.restore(copy)
        draining = wire_store.engine_value(number, 9, 'draining')
        instance.store.put('servers', f'e{number}', draining)
        renew(instance, 6, but=(0, 1))
        instance.play(3.0)
        assert not instance.knows(f'e{number}')
    assert instance.relay.sharing.eras.era == 3


def test_a_store_that_states_no_era_is_served():
    instance = running_instance(era=None)
    instance.store.drop('servers', 'e0')
    instance.play(2.0)
    assert not instance.knows('e0')


class ListStore(store.PlatformStore):
    """A store that answers with one row each time, in the given eras."""

    def __init__(self, *eras):
        super().__init__(None, engines.Address('127.0.0.1', 1))
        self.eras = list(eras)
        self.read = 0

    def get_rows(self, target, seconds, coming_seconds):
        self.read += 1
        row = rows.Row(f'k{self.read}', 'e30=', self.read)
        last = len(self.eras) == 1
        era = self.eras.pop(0)
        return defer.succeed(rows.Rows([row], self.read, not last, era))


def test_a_list_from_two_eras_is_read_anew():
    """Guards against a list combined from two histories."""
    read = []
    ListStore(4, 5, 5, 5).read_whole_table('t').addCallback(read.append)
    assert [row.key for row in read[0].rows] == ['k3', 'k4']
    assert read[0].position == positions.StorePosition(5, 3)


def test_a_list_that_changes_its_era_again_and_again_is_given_up():
    """Guards against a read that never ends."""
    failed = []
    ListStore(1, 2, 3, 4, 5, 6, 7).read_whole_table('t').addErrback(
        failed.append
    )
    assert failed[0].check(errors.PlatformUnavailable)


@pytest.mark.parametrize(
    ('stated', 'era'),
    [
        (b'0', 0),
        (b'17', 17),
        (b'-1', positions.NO_ERA),
        (b'1.5', positions.NO_ERA),
        (b'seven', positions.NO_ERA),
        (b'9' * 40, positions.NO_ERA),
        (None, positions.NO_ERA),
    ],
)
def test_an_era_that_is_no_number_is_none(stated, era):
    headers = [] if stated is None else [(b'Store-Era', stated)]
    response = h11.Response(status_code=200, headers=headers)
    answer = timed_requests.Answer(response, b'{"rows": [], "ver": 5}')
    assert store.read_rows(answer).position == positions.StorePosition(era, 5)


@pytest.mark.parametrize('late', [3, positions.NO_ERA])
def test_a_late_answer_is_distinguished_from_a_store_that_stays_behind(late):
    """Guards against applying late answers, and against rejecting all."""
    eras = store_eras.StoreEras()
    assert eras.check_answer(4, 0.0) is EraVerdict.CURRENT
    assert eras.check_answer(late, 1.0) is EraVerdict.LATE
    assert eras.check_answer(4, 2.0) is EraVerdict.CURRENT
    assert eras.check_answer(late, 20.0) is EraVerdict.LATE
    assert eras.check_answer(late, 31.0) is EraVerdict.LATE
    assert eras.check_answer(late, 32.5) is EraVerdict.RESTORED
    assert eras.era == late


@given(st.lists(st.integers(0, 5)))
def test_the_known_era_does_not_fall_at_once(found):
    """Guards against positions that are compared across a restore."""
    eras = store_eras.StoreEras()
    highest = positions.NO_ERA
    for era in found:
        verdict = eras.check_answer(era, 0.0)
        assert (verdict is EraVerdict.LATE) == (era < highest)
        highest = max(highest, era)
        assert eras.era == highest


def test_the_others_keep_engines_that_only_the_reader_saw_missing():
    """Guards against instances that take gaps of a copy for departures.

    They only receive hints of the reader, and have not seen the restore.
    """
    world = relay_world.RelayWorld()
    world.now += 5.0
    world.relay.sharing.eras.check_answer(1, world.now)
    world.list_engines(relay_world.fleet())
    for hint in (
        hints.StoreRestored(2),
        hints.EngineListChanged((), ('model-north-0',)),
    ):
        world.handle(relay_events.PeerTold('1-reader', hint))
    state = world.relay.engines.states['model-north-0']
    assert state.is_usable(world.now + 1.9)
    assert not state.is_usable(world.now + 5.0)


def test_the_reader_tells_the_era_before_what_is_missing():
    """Guards against removals that are announced before their reason."""
    world = relay_world.RelayWorld()
    world.relay.sharing.eras.check_answer(1, world.now)
    world.read_for_all()
    world.relay.sharing.eras.check_answer(2, world.now)
    world.handle(relay_events.StoreRestored())
    done = world.change_engines(removed=('model-north-0',))
    [told] = [a.hints for a in done if hasattr(a, 'hints')]
    assert told[0] == hints.StoreRestored(2)
    assert told[1] == hints.EngineListChanged((), ('model-north-0',))
    done = world.change_engines()
    [told] = [a.hints for a in done if hasattr(a, 'hints')]
    assert not any(isinstance(hint, hints.StoreRestored) for hint in told)


@pytest.mark.parametrize('size', [30, 200])
def test_a_restore_costs_an_instance_a_read_and_a_write_at_most(size):
    """Guards against a store that all instances ask after a restore."""
    fleet = store_fleet.StoreFleet(size, ('north', 'south', 'west'))
    fleet.store.era = 1
    fleet.clock.advance(0)
    run(fleet, 6.0)
    members = dict(fleet.store.members)
    assert len(members) == size
    gone = sorted(members)[: size // 2]
    for name in gone:
        del fleet.store.members[name]
    fleet.store.era = 2
    fleet.store.calls.clear()
    run(fleet, 12.0)
    assert fleet.store.members == members
    assert fleet.store.count('register') <= size
    assert fleet.store.count('members') <= size
    writes = [at for kind, _, at in fleet.store.calls if kind == 'register']
    busiest = max(sum(t <= at < t + 1.0 for at in writes) for t in writes)
    assert busiest <= MAX_WRITES_PER_SECOND


@pytest.mark.parametrize('what', ['killed', 'cut', 'turned away', 'frozen'])
def test_a_restore_as_the_reader_is_lost_reaches_all(what):
    """Guards against a new era that the next reader does not announce.

    The others would remove at once whatever the copy lacks.
    """
    fleet = store_fleet.StoreFleet(12, ('north', 'south', 'west'))
    fleet.store.era = 1
    run(fleet, 6.0)
    [reader] = fleet.readers
    place = reader.own.data_centre
    if what == 'killed':
        reader.kill()
    elif what == 'cut':
        fleet.cut.add(place)
    elif what == 'frozen':
        reader.freeze()
    else:
        fleet.store.turned_away.add(reader.own.name)
    fleet.store.era = 2
    fleet.store.entries.pop('model-north-0')
    run(fleet, 2.6)
    alive = [o for o in fleet.instances if o.alive and not o.frozen]
    assert all(one.relay.sharing.eras.era == 2 for one in alive)
    assert all(one.knows('model-north-0') for one in alive)
    run(fleet, 6.0)
    assert not any(one.knows('model-north-0') for one in alive)


def test_a_reader_that_froze_over_a_restore_brings_nothing_back():
    """Guards against a resumed reader that announces the previous state."""
    fleet = store_fleet.StoreFleet(12, ('north', 'south', 'west'))
    fleet.store.era = 1
    run(fleet, 6.0)
    [reader] = fleet.readers
    reader.freeze()
    run(fleet, 3.0)
    fleet.store.era = 2
    fleet.store.entries.pop('model-north-0')
    run(fleet, 9.0)
    others = [one for one in fleet.instances if one is not reader]
    assert not any(one.knows('model-north-0') for one in others)
    reader.go_on()
    for _ in range(40):
        run(fleet, 0.1)
        assert not any(one.knows('model-north-0') for one in others)
        assert all(one.relay.sharing.eras.era == 2 for one in others)
    assert reader.relay.sharing.eras.era == 2
    assert not reader.knows('model-north-0')


def test_a_restore_as_all_instances_start_leaves_all_registered():
    """Guards against instances missing in the copy that stay unlisted."""
    fleet = store_fleet.StoreFleet(12, ('north', 'south', 'west'))
    fleet.store.era = 1
    run(fleet, 0.4)
    fleet.store.era = 2
    fleet.store.members.clear()
    run(fleet, 14.0)
    assert len(fleet.store.members) == 12
    assert all(one.relay.sharing.eras.era == 2 for one in fleet.instances)
    assert all(one.knows('model-north-0') for one in fleet.instances)


def run(fleet, seconds):
    for _ in range(int(seconds / 0.1)):
        fleet.clock.advance(0.1)
