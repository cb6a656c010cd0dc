"""Fleets of relays before engines that leave, or ask for rest."""

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from tests.common import stating_fleet

# Requests a second that the engines of the fleet can serve.
RATES = {'call': 30.0, 'query': 30.0, 'stream': 2.0}
KINDS = list(RATES)
SIZES = [3, 30]


def refused(answers):
    return [a for a in answers if isinstance(a, relay_actions.Refuse)]


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('kind', KINDS)
def test_no_request_reaches_an_engine_after_it_said_that_it_leaves(size, kind):
    """Guards against leaving that only rows of the store can tell."""
    played = stating_fleet.StatingFleet(size, per_place=1, loss=0.33)
    [first, *_] = played.engines_of(kind)
    played.press(kind, RATES[kind], 3.0)
    played.leaving.add(first)
    played.press(kind, RATES[kind], 10.0)
    assert played.told
    assert played.late_to_leaving() == 0
    assert not refused(played.answers_to(0.0))


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('kind', KINDS)
def test_no_request_reaches_an_engine_in_its_rest(size, kind):
    """Guards against a rest that some paths don't keep to."""
    played = stating_fleet.StatingFleet(size, per_place=1, loss=0.33)
    [first, *_] = played.engines_of(kind)
    played.rests[first] = 3.0
    played.press(kind, RATES[kind], 12.0)
    assert played.asked_for
    assert played.most_in_a_rest() == 0


@pytest.mark.parametrize('kind', KINDS)
def test_statements_hold_while_instances_restart(kind):
    """Guards against a bound that is lost with others' restarts."""
    played = stating_fleet.StatingFleet(9, per_place=1)
    [resting, leaving, *_] = played.engines_of(kind)
    played.rests[resting] = 3.0
    played.leaving.add(leaving)
    for number in range(9):
        played.after(1.0 + number, played.restart, number)
    played.press(kind, RATES[kind], 12.0)
    assert played.late_to_leaving() == 0
    assert played.most_in_a_rest() == 0


@pytest.mark.parametrize('kind', KINDS)
def test_all_engines_rest_and_callers_come_back_when_told(kind):
    """Guards against times to come back at which nobody is served."""
    played = stating_fleet.StatingFleet(3, per_place=1)
    names = played.engines_of(kind)
    played.press(kind, RATES[kind], 2.0)
    for name in names:
        played.rests[name] = 3.0
    played.press(kind, RATES[kind], 0.7)
    began = played.now
    played.rests.clear()
    played.press(kind, RATES[kind], 8.0)
    played.run(20.0)
    assert played.most_in_a_rest() == 0
    told = refused(played.answers_to(began))
    assert kind == 'stream' or told
    second = played.answers_to(began, second=True)
    assert len(refused(second)) <= 0.02 * len(second)
