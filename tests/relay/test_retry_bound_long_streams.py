"""The retry budget where more streams are under way than a window begins."""

import pytest

from tests.common import budget_fleet

# Announcements that are fast, slow, lost now and then, and all lost.
ANNOUNCED = [
    ((0.001, 0.005), 0.0),
    ((0.1, 0.3), 0.0),
    ((0.5, 1.0), 0.0),
    ((0.001, 0.005), 0.5),
    ((0.001, 0.005), 1.0),
]
PAUSE_SECONDS = 1.2


def serving_fleet(delays, loss, size=12):
    """Return a fleet with 24 s of streams under way, a window being 10 s."""
    fleet = budget_fleet.BudgetFleet(
        size, delays=delays, loss=loss, per_place=10
    )
    fleet.status = budget_fleet.SERVED
    fleet.ask_for(25.0, rate=20)
    return fleet


@pytest.mark.parametrize(('delays', 'loss'), ANNOUNCED)
def test_all_long_streams_lost_at_once_keep_to_the_bound(delays, loss):
    """Guards against borrowing that only announcements bound.

    All runs end at once, before any instance knows of another's retries.
    """
    fleet = serving_fleet(delays, loss)
    fleet.break_all()
    fleet.ask_for(5.0, rate=20)
    assert fleet.repeated_at
    assert fleet.excess() <= 0.0


@pytest.mark.parametrize('in_reach', [True, False])
@pytest.mark.parametrize(('delays', 'loss'), ANNOUNCED)
def test_pause_of_all_engines_keeps_to_the_bound(delays, loss, in_reach):
    """Guards against a retry for every stream that a pause silences."""
    fleet = serving_fleet(delays, loss)
    fleet.in_reach = in_reach
    fleet.silence_all(PAUSE_SECONDS)
    fleet.ask_for(3.0, rate=20)
    fleet.silence_all(PAUSE_SECONDS)
    fleet.ask_for(5.0, rate=20)
    assert not fleet.repeated_at or fleet.excess() <= 0.0


def test_instances_that_stand_still_keep_to_the_bound():
    """Guards against retries that are decided before announcements are read.

    All instances stop for a while after the engines have failed, and then
    handle the loss of their own runs first.
    """
    fleet = serving_fleet((1.0, 1.5), 0.0)
    fleet.break_all()
    fleet.advance(1.0)
    fleet.ask_for(5.0, rate=20)
    assert fleet.excess() <= 0.0
