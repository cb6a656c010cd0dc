"""Reads of the store over the link of a small machine.

The smallest machines in use have links of 5 Mbit/s. A fleet of that size has
140 engines, each of which renews its entry every 1.2 seconds, and up to 25
configurations of 21 kB are written within two seconds. The changes of fifteen
seconds are therefore far larger than the current state: about 550 kB of
configurations and 570 kB of renewals, against 21 kB for the configuration in
force and 46 kB for all entries.
"""

import pytest

from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from tests.common import wire_store

LINK_BYTES_A_SECOND = 5_000_000 // 8
ENGINES = 140
STORM = 25
STORM_GAP_SECONDS = 0.08
# The routes of a usual configuration and of a very large one.
FEW_ROUTES = 160
MANY_ROUTES = 1_100
# The shortest bounds that the users state for fleets of that size, on work for
# engines that have left and on the use of a replaced configuration.
BOUND_SECONDS = 3.0
LEAVING_ENGINE = 'i-003'
# A peer that reads the store for all, as it is the first by name.
READER = '00-first'


class World:
    """An instance, and the operator and engines that write to its store."""

    def __init__(self):
        self.instance = wire_store.LinkedInstance(LINK_BYTES_A_SECOND)
        self.store = self.instance.store
        self.reactor = self.instance.reactor
        self.renewal_count = 0
        self.latest_version = 0
        self.leaving = ''
        self.configure(FEW_ROUTES)
        self.renew()
        self.instance.watch.start()

    def configure(self, routes):
        self.latest_version += 1
        value = wire_store.configuration_value(self.latest_version, routes)
        self.store.put(*wire_store.CONFIGURATION, value)

    def notify_as_reader(self):
        """Have a peer announce once a second what it reads in the store."""
        instance = self.instance
        instance.dispatch(relay_events.PeerHeard(READER, 'north'))
        digest = instance.relay.engines.digest()
        if self.leaving and instance.knows(self.leaving):
            digest += 1
        hint = hints.StoreRead(digest, self.latest_version)
        instance.dispatch(relay_events.PeerTold(READER, hint))
        self.reactor.callLater(1.0, self.notify_as_reader)

    def write_many_configurations(self, routes):
        """Write many configurations within a short time."""
        for number in range(STORM):
            self.reactor.callLater(
                number * STORM_GAP_SECONDS, self.configure, routes
            )

    def renew(self):
        """Have all engines renew their entries, now and later."""
        self.renewal_count += 1
        for number in range(ENGINES):
            name = name_of(number)
            state = 'draining' if name == self.leaving else 'ready'
            value = wire_store.engine_value(number, self.renewal_count, state)
            self.store.put('servers', name, value)
        self.reactor.callLater(wire_store.RENEWAL_SECONDS, self.renew)

    def leave(self, engine):
        """Have an engine announce that it leaves."""
        self.leaving = engine
        number = int(engine.removeprefix('i-'))
        value = wire_store.engine_value(number, self.renewal_count, 'draining')
        self.store.put('servers', engine, value)


def name_of(number):
    return f'i-{number:03}'


@pytest.fixture
def world():
    """Return a world whose instance has served for a while."""
    found = World()
    found.instance.play(4.0)
    assert found.instance.version == 1
    assert found.instance.knows(LEAVING_ENGINE)
    return found


def test_configurations_written_during_a_partition_are_caught_up_with(world):
    """An instance is cut off while many configurations are written.

    Once reconnected it asks for the changes, and gets each version. If a limit
    on the whole answer aborted the read, it would ask for the same again until
    the load is gone, and keep using withdrawn keys and routes.
    """
    world.notify_as_reader()
    world.store.cut = True
    world.write_many_configurations(FEW_ROUTES)
    world.instance.play(8.0)
    world.store.cut = False
    world.instance.play(BOUND_SECONDS)
    assert world.instance.version == world.latest_version


def test_leaving_engine_is_noticed_after_long_reliance_on_notifications(world):
    """An engine leaves when an instance has not read the store for long.

    It relied on notifications, and the hint about this engine is lost. The
    changes since its last read contain all renewals of all engines. If the
    read were aborted and repeated, the engine would get work as long as the
    store keeps the changes.
    """
    world.notify_as_reader()
    world.instance.play(15.0)
    world.leave(LEAVING_ENGINE)
    world.instance.play(BOUND_SECONDS)
    assert not world.instance.knows(LEAVING_ENGINE)


def test_large_configurations_are_applied(world):
    """A configuration is so large that an answer takes most of a second.

    Two such versions arrive in one answer. If both were discarded half read,
    neither would ever be in force.
    """
    world.configure(MANY_ROUTES)
    world.instance.play(0.05)
    world.configure(MANY_ROUTES)
    world.instance.play(BOUND_SECONDS)
    assert world.instance.version == world.latest_version


def test_last_of_many_large_configurations_is_applied(world):
    """Many versions are written, each of which fills the link for long.

    Together they exceed the size of an answer. The last one must be in force
    soon after it was written.
    """
    world.write_many_configurations(MANY_ROUTES)
    world.instance.play(STORM * STORM_GAP_SECONDS + BOUND_SECONDS)
    assert world.instance.version == world.latest_version


def test_connection_that_stalls_within_an_answer_is_replaced(world):
    """The link fails silently while an answer is being received.

    Nothing more arrives on that connection, and a new one would deliver the
    answer at once.
    """
    world.configure(MANY_ROUTES)
    world.instance.play(0.2)
    for wire in world.store.wires:
        wire.unsent = b''
    world.instance.play(BOUND_SECONDS)
    assert world.instance.version == world.latest_version
