"""Two engines at work on one stream, while one of them could be stopped."""

import pytest

from tests.common import overlapping_runs
from tests.common import simulated_network

Cut = simulated_network.Cut
NEVER = float('inf')
WAYS = ('direct', 'through-another')
# Callers that leave must have no engine at work after this time.
GONE_SECONDS = 0.5


def streams_under_way(way, seed):
    """Return a fleet, four streams under way, and the run of each."""
    fleet = overlapping_runs.Fleet(size=4, seed=seed)
    if way == 'through-another':
        fleet.lose_direct_paths()
    asked = fleet.start_streams()
    runs = [fleet.runs_of(stream)[0] for stream in asked]
    is_direct = {run.source == fleet.host_of(0) for run in runs}
    assert is_direct == {way == 'direct'}
    return fleet, asked, runs


def pause(fleet, run, seconds, probe_seconds):
    """Have a run's engine write nothing for a while, and answer probes so."""
    engine = fleet.engines[run.engine]
    engine.silent_until = fleet.network.now + seconds
    engine.probe_seconds = probe_seconds


def lose_path(fleet, run, mode, seconds):
    """Lose the path from instance 0 to where it has the run's connection."""
    own = fleet.host_of(0)
    other = run.host if run.source == own else run.source
    fleet.harm_path(own, other, mode, seconds)


def assert_no_overlap(fleet, asked):
    assert [fleet.overlaps(stream) for stream in asked] == [[]] * len(asked)


def assert_whole(asked):
    assert all(overlapping_runs.is_whole(stream) for stream in asked)


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('probe_seconds', [0.1, 0.28, 0.5, 1.0, NEVER])
@pytest.mark.parametrize('seconds', [0.6, 1.5, 3.0])
def test_one_run_while_a_paused_engine_answers_probes_late(
    way, probe_seconds, seconds
):
    """Guards against two runs without end as a probe is not answered."""
    for seed in (1, 2):
        fleet, asked, runs = streams_under_way(way, seed)
        for run in runs:
            pause(fleet, run, seconds, probe_seconds)
            fleet.network.advance(0.13)
        fleet.network.advance(20.0)
        assert_no_overlap(fleet, asked)
        assert_whole(asked)


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('probe_seconds', [0.0, 0.28, NEVER])
@pytest.mark.parametrize('mode', [Cut.SILENT, Cut.ONE_WAY])
@pytest.mark.parametrize('seconds', [0.5, 1.0, 3.0])
def test_one_run_while_the_path_of_a_run_is_lost(
    way, probe_seconds, mode, seconds
):
    """Guards against a run that works on as its end does not reach it."""
    fleet, asked, runs = streams_under_way(way, 3)
    for run in runs:
        fleet.engines[run.engine].probe_seconds = probe_seconds
        lose_path(fleet, run, mode, seconds)
        fleet.network.advance(0.13)
    fleet.network.advance(20.0)
    assert_no_overlap(fleet, asked)
    assert_whole(asked)


@pytest.mark.parametrize('probe_seconds', [0.0, NEVER])
@pytest.mark.parametrize('after', [0.1, 0.3, 0.37, 0.45, 0.6, 0.68, 0.75])
def test_one_run_while_an_engine_pauses_and_then_the_path_is_lost(
    after, probe_seconds
):
    """Guards against a run that works on as its path is lost meanwhile.

    The engine's pause is why another run is started; the instance between
    can't be told of the end of either.
    """
    fleet, asked, runs = streams_under_way('through-another', 5)
    for run in runs:
        pause(fleet, run, 5.0, probe_seconds)
    fleet.network.advance(after)
    for run in runs:
        lose_path(fleet, run, Cut.SILENT, 3.0)
    fleet.network.advance(20.0)
    assert_no_overlap(fleet, asked)
    assert_whole(asked)


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('seconds', [0.3, 1.0])
def test_one_run_while_the_path_of_a_replacement_is_lost(way, seconds):
    """Guards against a replacement that works on as its end is lost.

    The engine of the first run is in reach and writes again meanwhile.
    """
    fleet, asked, runs = streams_under_way(way, 2)
    pause(fleet, runs[0], 0.55, 0.0)
    while len(fleet.runs_of(asked[0])) < 2:
        fleet.network.advance(0.01)
    lose_path(fleet, fleet.runs_of(asked[0])[1], Cut.SILENT, seconds)
    fleet.network.advance(20.0)
    assert_no_overlap(fleet, asked)
    assert_whole(asked)


def test_lost_path_to_another_instance_is_not_blamed_on_engines():
    """Guards against engines that all avoid for a path between instances."""
    fleet, asked, runs = streams_under_way('through-another', 1)
    for run in runs:
        lose_path(fleet, run, Cut.SILENT, NEVER)
    fleet.network.advance(2.0)
    failures = [
        state.entry.engine
        for state in fleet.instances[0].relay.engines.states.values()
        if not state.is_reachable(fleet.network.now)
    ]
    assert not failures
    assert fleet.kinds(0)['send-lost']


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('mode', [Cut.SILENT, Cut.ONE_WAY])
def test_stream_does_not_wait_for_a_run_whose_path_is_lost_for_good(way, mode):
    """Guards against streams held for a dead run until their deadline.

    The engine is well and answers probes by another way than the run's.
    """
    for seed in (1, 2, 3):
        fleet, asked, runs = streams_under_way(way, seed)
        for run in runs[:2]:
            lose_path(fleet, run, mode, NEVER)
        fleet.network.advance(20.0)
        assert_no_overlap(fleet, asked)
        assert_whole(asked)


@pytest.mark.parametrize('before', [0.0, 0.05, 0.3])
def test_engine_stops_when_a_caller_leaves_and_a_path_is_lost(before):
    """Guards against an engine at work for nobody.

    The instance between is not told that the caller has left.
    """
    fleet, asked, runs = streams_under_way('through-another', 1)
    for run in runs:
        lose_path(fleet, run, Cut.SILENT, NEVER)
    fleet.network.advance(before)
    left_at = fleet.network.now
    for stream in asked:
        stream.leave()
    fleet.network.advance(5.0)
    ended_at = [
        run.ended_at for stream in asked for run in fleet.runs_of(stream)
    ]
    assert all(at <= left_at + GONE_SECONDS for at in ended_at)
