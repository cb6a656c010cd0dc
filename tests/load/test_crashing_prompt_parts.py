"""Requests that share one part of their prompts crash engines.

No two of them are alike otherwise. Sound requests share their account and the
other parts of their prompts.
"""

import pytest

from tests.common import crashing_fleet

# The operators' bound on how often engines get such requests after the
# instances need to know of the fifth crash.
MAX_LATE_ARRIVALS = 3
CRASHING = 'crashing part'
OTHER_CRASHING = 'other crashing part'
SYSTEM = 'system prompt'
TOOLS = 'description of tools'
SOUND_PARTS = ((SYSTEM,), (SYSTEM, TOOLS))
CRASHING_PARTS = ((SYSTEM, CRASHING), (SYSTEM, TOOLS, CRASHING))


def play(played, every, *, warm, parts=CRASHING_PARTS, seconds=40.0):
    """Play sound requests and crashing ones; return the sound ones.

    ``warm`` is whether sound requests came before the crashing ones.
    """
    if warm:
        played.ask_with_parts('stream', 4.0, 0.5, *SOUND_PARTS)
        played.run(8.0)
    sound = played.ask_with_parts('stream', seconds, 0.5, *SOUND_PARTS)
    played.ask_with_parts('stream', seconds, every, *parts)
    played.run(seconds + crashing_fleet.CALLER_SECONDS)
    return sound


@pytest.mark.parametrize('warm', [False, True])
@pytest.mark.parametrize(
    ('size', 'every'), [(3, 0.4), (3, 1.5), (30, 0.4), (30, 1.5)]
)
def test_requests_with_a_crashing_part_are_blocked(size, every, warm):
    """Guards against requests alike in one part that end engine after engine.

    Each of them is new, so that none has crashed an engine before.
    """
    played = crashing_fleet.CrashingFleet(size, loss=0.02)
    play(played, every, warm=warm)
    assert len(played.crashes) >= 3
    assert played.arrivals_after_crash(5) <= MAX_LATE_ARRIVALS


def test_a_crashing_part_is_blocked_despite_lost_datagrams_and_restarts():
    """Guards against instances that start or miss news and crash engines."""
    played = crashing_fleet.CrashingFleet(8, loss=0.3)
    for number in range(8):
        played.after(6.0 + 0.5 * number, played.restart, number)
    play(played, 1.0, warm=False)
    assert len(played.crashes) >= 3
    assert played.arrivals_after_crash(5) <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize('warm', [False, True])
@pytest.mark.parametrize('size', [3, 30])
def test_sound_requests_with_the_other_parts_are_served(size, warm):
    """Guards against sound requests that are refused with crashing ones.

    They have all parts of the crashing ones but one, and the same account.
    """
    played = crashing_fleet.CrashingFleet(size, loss=0.02)
    sound = play(played, 0.4, warm=warm)
    settled_at = 2 * crashing_fleet.CONTACT_SECONDS + 8.0
    assert played.served_share(sound[int(settled_at / 0.5) :]) == 1.0


@pytest.mark.parametrize('warm', [False, True])
@pytest.mark.parametrize(
    'parts',
    [
        ((CRASHING, SYSTEM), (CRASHING,)),
        ((SYSTEM, CRASHING), (SYSTEM, OTHER_CRASHING)),
        ((SYSTEM, CRASHING, OTHER_CRASHING),),
        ((CRASHING, 'in no other request'),),
    ],
    ids=['first', 'two apart', 'two together', 'with a part of its own'],
)
def test_any_crashing_parts_are_blocked_and_no_others(parts, warm):
    """Guards against a verdict that holds for one place or number only."""
    played = crashing_fleet.CrashingFleet(6, loss=0.02)
    sound = play(played, 0.7, warm=warm, parts=parts)
    assert played.arrivals_after_crash(6) <= 2 * MAX_LATE_ARRIVALS
    assert played.served_share(sound[30:]) == 1.0
