"""Counts of the calls to the store by their cause."""

from greengagelb.state.relay import store_calls
from tests.common import instance_world
from tests.common import store_fleet

Call = store_calls.CallKind
Cause = store_calls.CallCause


def counts_of(instances):
    """Return the sums over some instances."""
    found = store_calls.StoreCalls()
    for instance in instances:
        found.counts.update(instance.watch.calls.counts)
    return found.counts


def test_each_call_is_counted_by_its_cause():
    """A fleet starts, runs undisturbed, and gets another configuration."""
    fleet = store_fleet.StoreFleet(6)
    fleet.play(8.0)
    fleet.store.configure()
    fleet.play(2.0)
    counts = counts_of(fleet.instances)
    for call in (
        Call.REGISTER,
        Call.MEMBERS,
        Call.ENGINES,
        Call.CONFIGURATION,
    ):
        assert counts[store_calls.CountedCall(call, Cause.START)] == 6
    news = store_calls.CountedCall(Call.CONFIGURATION, Cause.NEWER_KNOWN)
    assert counts[news] == 5
    assert sum(counts.values()) == len(fleet.store.calls)


def test_calls_in_an_outage_are_counted_separately():
    """Operators must see that an outage caused the cost of many calls."""
    fleet = store_fleet.StoreFleet(6)
    fleet.play(5.0)
    fleet.store.down = True
    fleet.play(8.0)
    counts = counts_of(fleet.instances)
    failed = store_calls.CountedCall(Call.ENGINES, Cause.AFTER_FAILURE)
    assert 4 <= counts[failed] <= 10


def test_counts_are_shown_to_scrapers_and_in_one_line():
    world = instance_world.InstanceWorld()
    calls = world.instance.watch.calls
    calls.count_call(Call.UNREGISTER, Cause.STOP)
    shown = world.instance.metrics_page().body
    told = b'greengagelb_store_calls{call="unregister",cause="stop"} 1'
    assert told in shown
    assert 'unregister stop 1' in calls.format_summary()
