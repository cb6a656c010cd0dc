"""Instances that lose their links to the engines while others keep theirs."""

import pytest

from tests.common import linked_fleet
from tests.common import simulated_network

Cut = simulated_network.Cut
TARGETS = (b'/booking/1', b'/queries/1')
# The operators judge from this time after the beginning of a cut.
CONTACT_SECONDS = 3.0
CUT_SECONDS = 6.0


def first_tries(fleet, cut_off, targets=TARGETS):
    """Return what was asked of those that are cut off, and of the others."""
    fleet.network.advance(CONTACT_SECONDS / 10)
    numbers = range(len(fleet.instances))
    asked = fleet.ask_for(CUT_SECONDS, numbers, targets)
    fleet.network.advance(4.0)
    at_cut_off = [a for a in asked if a.instance in cut_off]
    at_others = [a for a in asked if a.instance not in cut_off]
    return at_cut_off, at_others


def warmed_fleet(**fields):
    """Return a fleet that has open connections to its engines."""
    fleet = linked_fleet.LinkedFleet(**fields)
    numbers = range(len(fleet.instances))
    fleet.ask_for(1.0, numbers, [*TARGETS, b'/drafts/1'])
    return fleet


@pytest.mark.parametrize('mode', list(Cut))
def test_callers_of_an_instance_without_links_are_served_as_others(mode):
    """Guards against refusals while another instance reaches the engines."""
    fleet = warmed_fleet()
    fleet.cut(0, mode)
    at_cut_off, at_others = first_tries(fleet, {0})
    assert linked_fleet.served_share(at_others) == 1.0
    assert linked_fleet.served_share(at_cut_off) >= 0.99


@pytest.mark.parametrize('mode', list(Cut))
def test_all_but_one_instance_without_links(mode):
    """Guards against refusals while only one instance reaches the engines."""
    fleet = warmed_fleet(size=5)
    for number in range(4):
        fleet.cut(number, mode)
    at_cut_off, at_others = first_tries(fleet, range(4))
    assert linked_fleet.served_share(at_others) == 1.0
    assert linked_fleet.served_share(at_cut_off) >= 0.99


@pytest.mark.parametrize('mode', list(Cut))
def test_new_streams_at_an_instance_without_links(mode):
    """Guards against streams that are refused or begin too late."""
    fleet = warmed_fleet()
    fleet.cut(0, mode)
    fleet.network.advance(CONTACT_SECONDS)
    asked = [fleet.ask(0, b'/drafts/1') for _ in range(5)]
    fleet.network.advance(10.0)
    assert all(a.is_served for a in asked)
    assert all(a.events == list(range(1, 41)) for a in asked)
