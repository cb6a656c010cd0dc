"""Calls of a fleet to the store during faults."""

import pytest

from tests.common import store_fleet

SIZE = 21
LARGE = 60
PLACES = ('north', 'south', 'west', 'east', 'middle')
REMOVED_ENGINE = 'model-north-0'
# The bound on work for an engine that has left, and on the use of a replaced
# configuration.
BOUND_SECONDS = 3.0


@pytest.fixture
def fleet():
    """Return a fleet that has started, and served for a while."""
    found = store_fleet.StoreFleet(SIZE)
    found.play(7.0)
    return found


@pytest.fixture
def large_fleet():
    """Return a fleet of five data centres that has served for a while."""
    found = store_fleet.StoreFleet(LARGE, PLACES)
    found.play(7.0)
    return found


def reader_of(fleet):
    [reader] = fleet.readers
    return reader


def others(fleet, reader):
    return [i for i in fleet.instances if i is not reader]


def check_changes_known_after_outage(fleet):
    """Change everything at the end of an outage; check that all know."""
    fleet.store.down = True
    fleet.play(8.0)
    fleet.store.down = False
    fleet.store.configure()
    fleet.store.remove(REMOVED_ENGINE)
    fleet.play(BOUND_SECONDS)
    assert {i.version for i in fleet.instances} == {2}
    fleet.play(1.5)
    assert not any(i.knows(REMOVED_ENGINE) for i in fleet.instances)


def test_calm_fleet_costs_no_more_when_it_is_large(fleet, large_fleet):
    """Three times as many instances run undisturbed in five data centres.

    Each call to the store costs money, and all share its rate limit, so that
    the calls must not grow with the number of instances.
    """
    assert large_fleet.play(20.0) <= 1.1 * fleet.play(20.0)


def test_outage_costs_a_large_fleet_one_read_each(
    large_fleet,
):
    """Sixty instances need the store while it is unavailable for 8 seconds.

    Each finds that out once. After that only one at a time tries whether it is
    back, however many wait for it.
    """
    large_fleet.store.down = True
    assert large_fleet.play(8.0) <= 1.2 * LARGE + 5 * 8.0


def test_large_fleet_notices_soon_that_the_store_is_back(large_fleet):
    check_changes_known_after_outage(large_fleet)


def test_loss_of_the_reader_costs_a_large_fleet_few_calls(large_fleet):
    """The reader is killed."""
    reader_of(large_fleet).kill()
    assert large_fleet.play(8.0) <= 0.4 * LARGE * 8.0
    assert len(large_fleet.readers) == 1


@pytest.mark.parametrize('moment', [0.0, 0.7, 1.4, 5.0])
def test_data_centre_that_is_cut_off_gets_a_reader_of_its_own(
    large_fleet, moment
):
    """A data centre is cut off from the others, but not from the store.

    Its instances receive no notifications, serve their callers, and must learn
    of changes as fast as the others. Once they are reachable again, one reader
    remains.
    """
    place = 'north' if moment else reader_of(large_fleet).own.data_centre
    large_fleet.cut = {place}
    large_fleet.play(moment)
    large_fleet.store.configure()
    large_fleet.store.remove(REMOVED_ENGINE)
    large_fleet.play(BOUND_SECONDS - 0.5)
    assert {i.version for i in large_fleet.instances} == {2}
    assert not any(i.knows(REMOVED_ENGINE) for i in large_fleet.instances)
    large_fleet.cut = set()
    large_fleet.play(3.0)
    assert len(large_fleet.readers) == 1


def test_unavailable_store_is_not_asked_continually(fleet):
    """The store is unavailable for eight seconds.

    Refused calls cost as much as others. If each instance asked for everything
    several times a second, one outage would cost a large fleet more than the
    rest of the day.
    """
    fleet.store.down = True
    assert fleet.play(8.0) <= 1.5 * SIZE * 8.0


def test_instances_whose_reader_is_refused_read_in_turns(fleet):
    """The store refuses the reader, and serves the others.

    The others need notifications. If all of them read the store themselves,
    each data centre would cost as much as twenty.
    """
    fleet.store.turned_away = {reader_of(fleet).own.name}
    assert fleet.play(8.0) <= 0.6 * SIZE * 8.0


def test_refused_instances_rely_on_notifications(fleet):
    """The store refuses a third of the instances, including the reader."""
    away = [reader_of(fleet), *fleet.instances[:6]]
    fleet.store.turned_away = {i.own.name for i in away}
    assert fleet.play(8.0) <= 0.8 * SIZE * 8.0


def test_reader_that_is_killed_costs_few_calls(fleet):
    """The reader is killed, and another instance takes over.

    Until then the others have to read the store themselves.
    """
    reader_of(fleet).kill()
    assert fleet.play(8.0) <= 0.4 * SIZE * 8.0


def test_all_are_up_to_date_soon_after_an_outage(fleet):
    """A new configuration is prepared while the store is unavailable.

    It is put in force the moment the store is back, and an engine leaves.
    """
    check_changes_known_after_outage(fleet)


@pytest.mark.parametrize('moment', [0.0, 0.3, 0.6, 0.9, 1.2, 1.5, 5.0])
def test_changes_are_known_in_time_without_the_reader(fleet, moment):
    """The reader is killed, and some time later there is a change.

    No instance is notified at once. The old configuration and the engine that
    has left must not be used for longer than is promised.
    """
    reader = reader_of(fleet)
    reader.kill()
    fleet.play(moment)
    fleet.store.configure()
    fleet.store.remove(REMOVED_ENGINE)
    fleet.play(BOUND_SECONDS - 0.5)
    assert {i.version for i in others(fleet, reader)} == {2}
    assert not any(i.knows(REMOVED_ENGINE) for i in others(fleet, reader))


@pytest.mark.parametrize('moment', [0.0, 0.3, 0.6, 0.9, 1.2, 1.5, 5.0])
def test_changes_are_known_in_time_despite_a_refused_reader(fleet, moment):
    """The store refuses the reader, which keeps sending heartbeats.

    The others can read the store, and so must know of changes.
    """
    reader = reader_of(fleet)
    fleet.store.turned_away = {reader.own.name}
    fleet.play(moment)
    fleet.store.configure()
    fleet.store.remove(REMOVED_ENGINE)
    fleet.play(BOUND_SECONDS - 0.5)
    assert {i.version for i in others(fleet, reader)} == {2}
    assert not any(i.knows(REMOVED_ENGINE) for i in fleet.instances)


def test_idle_instances_wake_up_rarely(fleet):
    """Nothing happens, and the reader reads the list once a second.

    Each wake-up of a process costs a quarter of a millisecond or more.
    Instances that only wait for a notification need not wake up to see that it
    is not late yet.
    """
    before = fleet.watch_clock.timers
    fleet.play(10.0)
    assert fleet.watch_clock.timers - before <= 4 * SIZE * 10.0


@pytest.mark.parametrize('moment', [0.0, 0.4, 0.8, 1.2, 2.5])
def test_configuration_change_is_known_while_only_the_list_is_read(
    fleet, moment
):
    """The reader is refused, and only the configuration changes.

    Notifications about the list of engines go on. They say nothing of the
    configuration, and must not delay its read.
    """
    reader = reader_of(fleet)
    fleet.store.turned_away = {reader.own.name}
    fleet.play(moment)
    fleet.store.configure()
    fleet.play(BOUND_SECONDS - 0.5)
    assert {i.version for i in others(fleet, reader)} == {2}
