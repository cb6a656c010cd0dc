"""The retry budget as engines see it, over whole fleets of instances."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

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


def test_new_instances_before_replaced_engines_keep_to_the_bound():
    """All instances restart while the list still has engines that ended.

    A new instance has forgotten which of them were replaced, and meets each
    of them again; a third of what the others announce is lost.
    """
    fleet = budget_fleet.BudgetFleet(
        8, seed=128, delays=(0.1, 0.5), loss=1 / 3, per_place=10
    )
    fleet.ask_for(10.0, rate=15)
    fleet.status = 421
    for number in range(8):
        fleet.restart(number)
    fleet.ask_for(1.0, rate=40)
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


INSTANCES = 8
# What happens, the clients' requests in a second, and the seconds until the
# next step.
STEP = st.tuples(
    st.sampled_from(['restart', 'restart all', 'pause', 'refuse', 'replace']),
    st.sampled_from([5, 15, 40]),
    st.sampled_from([0.2, 1.0, 3.0]),
)


def take_step(fleet, kind, to_restart):
    """Begin a step; each instance is restarted at most once."""
    match kind:
        case 'restart':
            restarted = to_restart[:1]
        case 'restart all':
            restarted = to_restart[:]
        case _:
            restarted = []
    for number in restarted:
        to_restart.remove(number)
        fleet.restart(number)
    if kind == 'pause':
        fleet.held_until = fleet.now + 3.5
    if kind in ('refuse', 'replace'):
        fleet.status = 421 if kind == 'replace' else 503


@settings(derandomize=True, deadline=None, max_examples=25)
@given(
    st.lists(STEP, min_size=4, max_size=10),
    st.sampled_from([(0.001, 0.005), (0.005, 0.5), (0.1, 0.5)]),
    st.sampled_from([0.0, 1 / 3]),
    st.sampled_from([2, 10]),
)
def test_disturbances_keep_to_the_bound(steps, delays, loss, per_place):
    """Engines refuse, pause or are replaced while instances restart.

    Announcements are late or lost. Unbounded, the repeats would overload the
    engines that are left.
    """
    fleet = budget_fleet.BudgetFleet(
        INSTANCES, delays=delays, loss=loss, per_place=per_place
    )
    to_restart = list(range(INSTANCES))
    fleet.ask_for(5.0, rate=15)
    for kind, rate, seconds in steps:
        take_step(fleet, kind, to_restart)
        fleet.ask_for(seconds, rate)
    assert fleet.excess() <= 0.0
