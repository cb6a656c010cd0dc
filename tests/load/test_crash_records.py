"""What is known of crashes, and the verdict on the requests under them."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from greengagelb.coordination.sharing import crashes
from greengagelb.state import crashes as crash_state

NOW = 1000.0
GUILTY = 'guilty'
INNOCENT = 'innocent'


def crash(life, began_at, seconds=0.1):
    return crash_state.Crash(life, began_at, began_at + seconds)


def records_of(found, now=NOW):
    """Return records with crashes as pairs of a fingerprint and a crash."""
    records = crashes.CrashRecords()
    for fingerprint, one in found:
        records.crashed(fingerprint, one, now)
    return records


def test_three_crashes_just_after_the_beginning_block():
    """Guards against a verdict that comes too late, or too soon."""
    found = [(GUILTY, crash(f'e{n}', 900.0 + n)) for n in range(3)]
    assert not records_of(found[:2]).blocks(GUILTY, NOW)
    assert records_of(found).blocks(GUILTY, NOW)
    assert not records_of(found).blocks(INNOCENT, NOW)


def test_crashes_long_after_the_beginning_count_for_less():
    """Guards against streams that are blocked for the crashes of others.

    They were in the middle of their output; engines that a request does bring
    down late are still spared in the end.
    """
    late = [(GUILTY, crash(f'e{n}', 900.0 + 10 * n, 5.0)) for n in range(6)]
    assert not records_of(late[:5]).blocks(GUILTY, NOW)
    assert records_of(late).blocks(GUILTY, NOW)


def test_engines_that_end_at_one_time_are_one_crash():
    """Guards against a lookup blamed for the end of a data centre.

    It was on all engines there when they lost power.
    """
    dark = [(INNOCENT, crash(f'e{n}', 900.0 + n / 100)) for n in range(8)]
    records = records_of(dark)
    assert not records.blocks(INNOCENT, NOW)
    records.crashed(INNOCENT, crash('later', 950.0), NOW)
    assert not records.blocks(INNOCENT, NOW)


def test_a_likelier_request_takes_the_blame():
    """Guards against the blame for engines that another request ended.

    Both were on the same three engines, and one had run for longer there.
    """
    found = []
    for n in range(3):
        end = 900.0 + 10 * n
        found.append((GUILTY, crash_state.Crash(f'e{n}', end - 0.05, end)))
        found.append((INNOCENT, crash_state.Crash(f'e{n}', end - 0.4, end)))
    records = records_of(found)
    assert records.blocks(GUILTY, NOW)
    assert not records.blocks(INNOCENT, NOW)


def test_a_block_ends_and_one_more_crash_renews_it():
    """Guards against requests that are refused for ever."""
    found = [(GUILTY, crash(f'e{n}', 900.0 + n)) for n in range(3)]
    records = records_of(found)
    until = records.blocked_until(GUILTY, NOW)
    assert until == 900.1 + crashes.REMEMBERED_SECONDS
    assert not records.blocks(GUILTY, until + 0.01)
    records.crashed(GUILTY, crash('e9', until), until + 0.1)
    assert records.blocks(GUILTY, until + 0.2)


def test_an_account_can_not_have_another_request_forgotten():
    """Guards against a flood of suspects that makes room for a guilty one."""
    found = [(GUILTY, crash(f'e{n}', 900.0 + n)) for n in range(3)]
    records = records_of(found)
    for n in range(2 * crashes.MOST_FINGERPRINTS):
        records.crashed(f'flood{n}', crash(f'f{n}', 950.0), NOW)
    assert len(records.histories) <= crashes.MOST_FINGERPRINTS
    assert records.blocks(GUILTY, NOW)


def test_nothing_is_kept_for_longer_than_it_counts():
    """Guards against memory that grows with each crash there ever was."""
    found = [(f'r{n}', crash(f'e{n}', 900.0)) for n in range(20)]
    records = records_of(found)
    later = NOW + 2 * crashes.REMEMBERED_SECONDS
    records.crashed(GUILTY, crash('e', later - 1.0), later)
    assert list(records.histories) == [GUILTY]


def test_a_crash_that_is_not_kept_is_no_news():
    """Guards against instances that tell each other of it for ever."""
    records = crashes.CrashRecords()
    for n in range(crashes.MOST_REMEMBERED):
        assert records.crashed(GUILTY, crash(f'e{n}', 900.0 + n), NOW)
    changes = records.changes
    assert not records.crashed(GUILTY, crash('older', 890.0), NOW)
    assert records.changes == changes
    assert records.crashed(GUILTY, crash('newer', 950.0), NOW)


LIVES = st.sampled_from([f'e{n}' for n in range(12)])
NAMES = st.sampled_from([GUILTY, INNOCENT, 'third'])
CRASHES = st.builds(
    crash,
    LIVES,
    st.floats(900.0, 980.0),
    st.sampled_from([0.05, 0.2, 0.6, 4.0]),
)


@given(st.lists(st.tuples(NAMES, CRASHES), max_size=30), st.randoms())
def test_all_come_to_the_same_verdict(found, order):
    """Guards against instances that differ in whom they refuse.

    They hear of the same crashes in another order, and of some repeatedly.
    """
    by_life = {(name, one.life): (name, one) for name, one in found}
    once = list(by_life.values())
    # More than are remembered would leave each instance its own choice.
    per_name = {}
    for name, one in once:
        per_name.setdefault(name, []).append((name, one))
    once = [p for all_of in per_name.values() for p in all_of[:8]]
    heard = once + once[: len(once) // 2]
    order.shuffle(heard)
    one, other = records_of(once), records_of(heard)
    assert one.digest() == other.digest()
    for name in (GUILTY, INNOCENT, 'third'):
        assert one.blocked_until(name, NOW) == other.blocked_until(name, NOW)


@given(st.lists(st.tuples(NAMES, CRASHES), max_size=30))
def test_reports_tell_all_that_leads_to_a_verdict(found):
    """Guards against reports after which an instance knows less."""
    records = records_of(found)
    told = crashes.CrashRecords()
    for name in records.worst():
        told.told(records.report(name, NOW), NOW)
    for name in records.worst():
        blocked = records.blocked_until(name, NOW)
        if blocked is not None:
            assert told.blocks(name, NOW)


@given(st.lists(st.tuples(NAMES, CRASHES), max_size=40), st.floats(900, 990))
def test_invariants_hold_whatever_is_heard(found, survived_at):
    """Guards against histories that grow, or outlive what clears them."""
    records = crashes.CrashRecords()
    rng = random.Random(1)
    for name, one in found:
        records.crashed(name, one, NOW)
        if rng.random() < 0.2:
            records.survived(name, survived_at, NOW)
        for history in records.histories.values():
            assert len(history.crashes) <= crashes.MOST_REMEMBERED
            assert all(
                c.ended_at > history.survived_at
                for c in history.crashes.values()
            )


def test_news_that_was_slower_than_what_follows_leads_to_the_same_verdict():
    """Guards against an instance that never blocks what others block.

    Each run began some milliseconds after the crash before, and the news of
    the first crash took longer than that of all three.
    """
    there, here = crashes.CrashRecords(), crashes.CrashRecords()
    seen = [
        crash_state.Crash(f'engine {n}', 100.0 + 0.02 * n, 100.016 + 0.02 * n)
        for n in range(3)
    ]
    there.crashed('f', seen[0], 100.02)
    first = there.report('f', 100.02)
    for crash in seen[1:]:
        there.crashed('f', crash, 100.06)
    assert there.blocks('f', 100.06)
    here.told(first, 100.02 + 0.01)
    here.told(there.report('f', 100.06), 100.06 + 0.001)
    assert here.blocks('f', 100.07)


DELAYS = st.lists(st.floats(0.0, 0.5), max_size=3)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(NAMES, CRASHES, DELAYS), max_size=20))
def test_the_quickest_news_of_each_crash_decides(found):
    """Guards against a verdict that depends on how long news took.

    Each crash is told of once without delay, before or after slower news.
    """
    seen, heard = crashes.CrashRecords(), crashes.CrashRecords()
    for number, (name, one, delays) in enumerate(found):
        life = f'engine {number}'
        for delay in (*delays, 0.0):
            late = crash_state.Crash(
                life, one.began_at + delay, one.ended_at + delay
            )
            heard.crashed(name, late, NOW)
        exact = crash_state.Crash(life, one.began_at, one.ended_at)
        seen.crashed(name, exact, NOW)
    for name in seen.histories:
        if len(seen.histories[name].crashes) < crashes.MOST_REMEMBERED:
            assert seen.blocked_until(name, NOW) == heard.blocked_until(
                name, NOW
            )


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.floats(0.001, 0.2), min_size=3, max_size=3),
    st.floats(1e3, 1e7),
    st.floats(1e3, 1e7),
)
def test_runs_without_a_pause_are_told_apart_by_all(lasted, clock, other):
    """Guards against a verdict that hangs on the rounding of ages.

    Each run began in the moment in which the one before was lost.
    """
    there, here = crashes.CrashRecords(), crashes.CrashRecords()
    for number, seconds in enumerate(lasted):
        began, clock = clock, clock + seconds
        there.crashed(
            'f', crash_state.Crash(f'e{number}', began, clock), clock
        )
    assert there.blocks('f', clock)
    here.told(there.report('f', clock + 0.01), other)
    assert here.blocks('f', other)
