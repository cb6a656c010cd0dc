"""Prompts that crash engines at any moment of a run.

An engine may end while it reads, before the head of its answer, with the head,
or after events.
"""

import pytest

from tests.common import crashing_fleet

# The operators' bound on how often engines get such requests after the
# instances need to know of the fifth crash.
MAX_LATE_ARRIVALS = 3
SOUND_PARTS = crashing_fleet.SOUND_PARTS
CRASHING_PARTS = ((crashing_fleet.SYSTEM_PART, crashing_fleet.CRASHING_PART),)
EACH_MOMENT = [
    pytest.param((moment,), id=name)
    for name, moment in crashing_fleet.MOMENTS.items()
]
ANY_MOMENT = [
    *EACH_MOMENT,
    pytest.param(tuple(crashing_fleet.MOMENTS.values()), id='drawn'),
]


def crashing_parts_played(size, moments, *, seconds=30.0, losses=False):
    """Return a fleet after requests that end engines at some moments."""
    per_place = max(3, size // 5)
    played = crashing_fleet.CrashingFleet(size, per_place, loss=0.02)
    played.moments = moments
    if losses:
        played.lose_data_centres(seconds, every=6.0)
    sound = played.play_parts(seconds, 1.0, CRASHING_PARTS, warm=True)
    return played, sound


@pytest.mark.parametrize('moments', ANY_MOMENT)
@pytest.mark.parametrize('size', [3, 8, 30])
def test_a_part_is_blocked_whenever_it_crashes_engines(size, moments):
    """Guards against crashes looked for at one moment of a run only."""
    played, sound = crashing_parts_played(size, moments)
    assert len(played.crashes) >= 3
    assert played.arrivals_after_crash(5) <= MAX_LATE_ARRIVALS
    assert played.served_share(sound[30:]) == 1.0


def test_a_part_is_blocked_by_two_hundred_instances():
    """Guards against many instances that each see one crash before a head."""
    moments = (crashing_fleet.BEFORE_HEAD,)
    played, _ = crashing_parts_played(200, moments, seconds=20.0)
    assert len(played.crashes) >= 3
    assert played.arrivals_after_crash(5) <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize('moments', ANY_MOMENT)
def test_a_part_is_blocked_beside_lost_data_centres(moments):
    """Guards against crashes excused by other ends of engines."""
    played, _ = crashing_parts_played(8, moments, losses=True)
    assert played.crashes
    assert played.arrivals_after_crash(5) <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('size', [3, 8, 30])
def test_lost_data_centres_block_nothing(size, seed):
    """Guards against sound prompts blamed as engines end while they read."""
    per_place = max(3, size // 5)
    played = crashing_fleet.CrashingFleet(size, per_place, 0.02, seed)
    played.lose_data_centres(60.0, every=6.0)
    for number in range(20):
        played.after(3.0 * number, played.crash_busy_engine)
    parts = (*SOUND_PARTS, *((f'session {n}',) for n in range(6)))
    sound = played.ask_with_parts('stream', 60.0, 0.3, *parts)
    played.run(60.0 + crashing_fleet.CALLER_SECONDS)
    assert played.count_refused_for_crashes(sound) == 0
    blocked = [
        instance.relay.crash_watch.records.blocked_fingerprints(played.now)
        for instance in played.instances
    ]
    assert not any(blocked)
