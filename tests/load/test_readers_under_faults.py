"""The choice of the reader of the store under random faults.

Instances are killed, data centres are cut off and heard again, the store is
unavailable or refuses some instances, and single datagrams are lost, in any
order and overlapping. Once all faults have ended, or only one data centre is
still cut off, each instance must learn of a change in time, and the calls of
the fleet must return to their normal rate.
"""

import random

import pytest

from tests.common import store_fleet

SIZE = 12
PLACES = ('north', 'south', 'west')
FAULTS = 8
# Instances count as in contact this long after the last fault, and must know a
# change within the bound after that.
CONTACT_SECONDS = 3.0
BOUND_SECONDS = 2.0
# The most calls per second of an undisturbed fleet of any size: list and
# configuration by one reader, and remaining effects of faults.
CALLS_A_SECOND = 4.0
REMOVED_ENGINE = 'model-north-0'


class FaultyFleet(store_fleet.StoreFleet):
    """A fleet that loses some of its datagrams."""

    def __init__(self, seed):
        super().__init__(SIZE, PLACES)
        self.draw = random.Random(seed)
        self.datagram_loss_share = 0.0

    def hears(self, one, other):
        if self.draw.random() < self.datagram_loss_share:
            return False
        return super().hears(one, other)

    def living(self):
        return [i for i in self.instances if i.alive]

    def kill_an_instance(self):
        if len(self.living()) > SIZE // 2:
            self.draw.choice(self.living()).kill()

    def kill_reader(self):
        if self.readers and len(self.living()) > SIZE // 2:
            self.readers[0].kill()

    def cut_off(self):
        self.cut = {self.draw.choice(PLACES)}

    def heal(self):
        self.cut = set()

    def toggle_store_outage(self):
        self.store.down = not self.store.down

    def refuse_some_instances(self):
        names = [i.own.name for i in self.instances]
        self.store.turned_away = set(self.draw.sample(names, SIZE // 3))

    def lose_datagrams(self):
        self.datagram_loss_share = self.draw.choice((0.0, 0.1, 0.5))

    def inject_fault(self):
        """Cause one random fault, and let some time pass."""
        self.draw.choice(
            (
                self.kill_an_instance,
                self.kill_reader,
                self.cut_off,
                self.heal,
                self.toggle_store_outage,
                self.refuse_some_instances,
                self.lose_datagrams,
            )
        )()
        self.play(self.draw.choice((0.05, 0.4, 1.3, 3.0)))

    def end_faults(self):
        """End all faults except the cut of a data centre."""
        self.store.down = False
        self.store.turned_away = set()
        self.datagram_loss_share = 0.0


@pytest.mark.parametrize('reader_dies', [False, True])
@pytest.mark.parametrize('seed', range(12))
def test_change_is_known_in_time_after_any_faults(seed, reader_dies):
    fleet = FaultyFleet(seed)
    fleet.play(4.0)
    for _ in range(FAULTS):
        fleet.inject_fault()
    fleet.end_faults()
    fleet.play(CONTACT_SECONDS)
    if reader_dies:
        fleet.kill_reader()
    fleet.store.configure()
    fleet.store.remove(REMOVED_ENGINE)
    fleet.play(BOUND_SECONDS)
    wanted = fleet.store.version
    assert {i.version for i in fleet.living()} == {wanted}
    # Entries missing right after an outage are kept for two seconds.
    fleet.play(2.0)
    assert not any(i.knows(REMOVED_ENGINE) for i in fleet.living())


@pytest.mark.parametrize('seed', range(12))
def test_fleet_returns_to_one_reader_after_any_faults(seed):
    fleet = FaultyFleet(seed)
    fleet.play(4.0)
    for _ in range(FAULTS):
        fleet.inject_fault()
    fleet.end_faults()
    fleet.heal()
    fleet.play(CONTACT_SECONDS)
    assert len(fleet.readers) == 1
    assert fleet.play(10.0) <= 10.0 * CALLS_A_SECOND
