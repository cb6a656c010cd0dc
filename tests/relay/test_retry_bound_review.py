"""The retry budget where instances don't hear each other."""

import pytest

from tests.common import budget_fleet


@pytest.mark.parametrize('loss', [0.5, 1.0])
def test_replaced_engines_keep_to_the_bound_without_announcements(loss):
    """Guards against retries beyond the bound after 421s.

    All engines get new identities while announcements are lost.
    """
    fleet = budget_fleet.BudgetFleet(8, loss=loss, per_place=30)
    fleet.status = 421
    fleet.ask_for(12.0, rate=15)
    assert fleet.excess() <= 0.0


@pytest.mark.parametrize('loss', [0.0, 0.5, 1.0])
@pytest.mark.parametrize('size', [3, 8, 30])
def test_full_engines_keep_to_the_bound(size, loss):
    """Guards against retries beyond the bound after refusals."""
    fleet = budget_fleet.BudgetFleet(size, loss=loss)
    fleet.ask_for(12.0, rate=15)
    assert fleet.excess() <= 0.0
