"""The soak blames the instance that could have ended a run, and no other."""

import types

import pytest
from twisted.internet import task

from tests.soak import callers
from tests.soak import engines
from tests.soak import faults
from tests.soak import judge
from tests.soak import world

HOSTS = {'127.1.1.1': 'relay-0', '127.1.1.2': 'relay-1'}
MIDDLE = '127.1.1.2'


def judge_overlap(seconds, *harms, sender=MIDDLE, is_open=False):
    """Return what is told of two runs of a stream that relay-0 was asked for.

    ``harms`` are pairs of a fault and its target, beside the second run; an
    ``is_open`` first run has not ended yet.
    """
    reactor = task.Clock()
    reactor.advance(11.0 + seconds)
    first = engines.Run('a', 'i-1', 9.0, 11.0 + seconds, sender=sender)
    if is_open:
        first.ended_at = None
    second = engines.Run('a', 'i-2', 11.0, 14.0, sender='127.1.1.1')
    asked = callers.Outcome('a', callers.Kind.STREAM, b'', 'relay-0', 8.0)
    played = types.SimpleNamespace(
        reactor=reactor,
        has_pauses=True,
        has_late_checks=True,
        instances=[
            types.SimpleNamespace(host=host, name=name)
            for host, name in HOSTS.items()
        ],
        moments=[world.Moment(*harm, 10.5, 12.0) for harm in harms],
        callers=types.SimpleNamespace(outcomes=[asked]),
        engines=types.SimpleNamespace(runs=[second, first], received=[]),
    )
    found = judge.Judge(played).overlapping_runs()
    return [broken.detail for broken in found]


@pytest.mark.parametrize(
    'harms',
    [
        pytest.param([], id='none'),
        pytest.param(
            [(faults.What.LINKS_SILENT, 'relay-0')], id='links of the other'
        ),
        pytest.param([(faults.What.LOST_PATH, 'relay-0 relay-1')], id='path'),
        pytest.param([(faults.What.CRASH_ENGINE, 'i-2')], id='second engine'),
        pytest.param([(faults.What.FROZEN_ENGINES, 'i-1')], id='frozen'),
        pytest.param([(faults.What.LOST_CHECKS, 'i-1')], id='no checks'),
        pytest.param([(faults.What.STORE_AWAY, 'relay-0')], id='store'),
    ],
)
def test_overlap_that_the_sender_could_end_is_found(harms):
    """Guards against harm elsewhere that excuses an engine left at work."""
    assert judge_overlap(0.41, *harms) == ['a: 0.41 s at i-1, sent by relay-1']
    assert judge_overlap(0.41, *harms, is_open=True)
    assert not judge_overlap(0.39, *harms)


@pytest.mark.parametrize(
    'harm',
    [
        (faults.What.LINKS_RESET, 'relay-1'),
        (faults.What.PAUSE_INSTANCE, 'relay-1'),
        (faults.What.DARK_ENGINE, 'i-1'),
        (faults.What.LOST_PLACE, 'i-0 i-1'),
    ],
)
def test_overlap_behind_a_harmed_sender_or_engine_is_excused(harm):
    """Else a sender is blamed for a run that it could not end."""
    assert not judge_overlap(2.0, harm)


def test_overlap_of_an_unknown_sender_is_told():
    """Else the check would be passed by runs that it can't judge."""
    [detail] = judge_overlap(0.5, sender='')
    assert 'not known' in detail
