"""The retry budget as engines see it, over whole fleets of instances."""

from tests.common import budget_fleet


def test_rolling_restart_keeps_to_the_bound():
    """All instances are replaced within one window while engines are full.

    An instance that starts knows nothing of what its predecessor has sent
    again. If it had a part of its own at once, and borrowed beside it, the
    engines would get the budget twice.
    """
    fleet = budget_fleet.BudgetFleet(8)
    fleet.ask_for(12.0, rate=15)
    for number in range(8):
        fleet.restart(number)
        fleet.ask_for(1.0, rate=15)
    fleet.ask_for(10.0, rate=15)
    assert fleet.excess() <= 0.0


def test_new_instance_repeats_the_streams_that_it_has_just_begun():
    """An engine of a young instance fails; its callers would see the loss."""
    fleet = budget_fleet.BudgetFleet(8)
    fleet.ask_for(12.0, rate=15)
    fleet.restart(3)
    before = len(fleet.repeated_at)
    fleet.ask(3)
    fleet.advance(1.0)
    assert len(fleet.repeated_at) - before >= 2


def test_replaced_engines_keep_to_the_bound():
    """All engines get new identities while the list of them is not renewed.

    Each instance meets each of them once, and is told late by the others.
    """
    fleet = budget_fleet.BudgetFleet(8, delays=(0.005, 0.5), per_place=30)
    fleet.status = 421
    fleet.ask_for(12.0, rate=15)
    assert fleet.excess() <= 0.0


def test_sends_that_engines_read_late_keep_to_the_bound():
    """All engines stand still for 3.5 s, every ten seconds.

    They then read at once what was sent in 13.5 s, more than one window's.
    """
    fleet = budget_fleet.BudgetFleet(8, delays=(0.1, 0.5), loss=1 / 3)
    fleet.ask_for(10.0, rate=15)
    for _ in range(4):
        fleet.held_until = fleet.now + 3.5
        fleet.ask_for(10.0, rate=15)
    assert fleet.excess() <= 0.0
