"""Crash records and the verdict on the requests that crashed engines."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from greengagelb.coordination.sharing import broken_runs
from greengagelb.coordination.sharing import crash_records
from greengagelb.state import crashes as crash_state

NOW = 1000.0
CRASHING = 'guilty'
HARMLESS = 'innocent'


def crash(life, began_at, seconds=0.1):
    return crash_state.Crash(life, began_at, began_at + seconds)


def records_of(found, now=NOW):
    """Return records of pairs of a fingerprint and a crash."""
    records = crash_records.CrashRecords()
    for fingerprint, one in found:
        records.add_crash(fingerprint, one, now)
    return records


def test_three_early_crashes_block_a_request():
    """Guards against a verdict that comes too late or too early."""
    found = [(CRASHING, crash(f'e{n}', 900.0 + n)) for n in range(3)]
    assert not records_of(found[:2]).is_blocked(CRASHING, NOW)
    assert records_of(found).is_blocked(CRASHING, NOW)
    assert not records_of(found).is_blocked(HARMLESS, NOW)


def test_late_crashes_need_a_higher_count_to_block():
    """Guards against blocking streams for crashes that others caused.

    Such streams are in the middle of their output. A request that does crash
    engines late is still blocked after more crashes.
    """
    late = [(CRASHING, crash(f'e{n}', 900.0 + 10 * n, 5.0)) for n in range(6)]
    assert not records_of(late[:5]).is_blocked(CRASHING, NOW)
    assert records_of(late).is_blocked(CRASHING, NOW)


def test_engines_that_end_together_count_as_one_crash():
    """Guards against blocking a lookup for the power loss of a data centre.

    The lookup was running on all engines there.
    """
    dark = [(HARMLESS, crash(f'e{n}', 900.0 + n / 100)) for n in range(8)]
    records = records_of(dark)
    assert not records.is_blocked(HARMLESS, NOW)
    records.add_crash(HARMLESS, crash('later', 950.0), NOW)
    assert not records.is_blocked(HARMLESS, NOW)


def test_crashes_count_only_against_the_likelier_request():
    """Guards against blocking a request for crashes of another one.

    Both ran on the same three engines, and one had run for longer on each.
    """
    found = []
    for n in range(3):
        end = 900.0 + 10 * n
        found.append((CRASHING, crash_state.Crash(f'e{n}', end - 0.05, end)))
        found.append((HARMLESS, crash_state.Crash(f'e{n}', end - 0.4, end)))
    records = records_of(found)
    assert records.is_blocked(CRASHING, NOW)
    assert not records.is_blocked(HARMLESS, NOW)


def test_a_block_expires_and_another_crash_renews_it():
    """Guards against requests that are refused for ever."""
    found = [(CRASHING, crash(f'e{n}', 900.0 + n)) for n in range(3)]
    records = records_of(found)
    until = records.blocked_until(CRASHING, NOW)
    assert until == 900.1 + crash_records.CRASH_TTL_SECONDS
    assert not records.is_blocked(CRASHING, until + 0.01)
    records.add_crash(CRASHING, crash('e9', until), until + 0.1)
    assert records.is_blocked(CRASHING, until + 0.2)


def test_many_suspects_do_not_evict_a_blocked_request():
    """Guards against a flood of suspects that evicts a blocked request."""
    found = [(CRASHING, crash(f'e{n}', 900.0 + n)) for n in range(3)]
    records = records_of(found)
    for n in range(2 * crash_records.MAX_FINGERPRINTS):
        records.add_crash(f'flood{n}', crash(f'f{n}', 950.0), NOW)
    assert len(records.histories) <= crash_records.MAX_FINGERPRINTS
    assert records.is_blocked(CRASHING, NOW)


def test_expired_crashes_are_removed():
    """Guards against memory that grows with each crash."""
    found = [(f'r{n}', crash(f'e{n}', 900.0)) for n in range(20)]
    records = records_of(found)
    later = NOW + 2 * crash_records.CRASH_TTL_SECONDS
    records.add_crash(CRASHING, crash('e', later - 1.0), later)
    assert list(records.histories) == [CRASHING]


def test_a_crash_that_is_not_kept_is_not_reported_as_new():
    """Guards against instances that report it to each other for ever."""
    records = crash_records.CrashRecords()
    for n in range(crash_records.MAX_CRASHES_PER_REQUEST):
        assert records.add_crash(CRASHING, crash(f'e{n}', 900.0 + n), NOW)
    changes = records.change_count
    assert not records.add_crash(CRASHING, crash('older', 890.0), NOW)
    assert records.change_count == changes
    assert records.add_crash(CRASHING, crash('newer', 950.0), NOW)


LIVES = st.sampled_from([f'e{n}' for n in range(12)])
NAMES = st.sampled_from([CRASHING, HARMLESS, 'third'])
CRASHES = st.builds(
    crash,
    LIVES,
    st.floats(900.0, 980.0),
    st.sampled_from([0.05, 0.2, 0.6, 4.0]),
)


@given(st.lists(st.tuples(NAMES, CRASHES), max_size=30), st.randoms())
def test_verdict_does_not_depend_on_order_or_repetition(found, order):
    """Guards against instances with different verdicts.

    They receive the same crashes in another order, and some repeatedly.
    """
    by_life = {(name, one.life): (name, one) for name, one in found}
    once = list(by_life.values())
    # With more crashes than are kept, instances may keep different ones.
    per_name = {}
    for name, one in once:
        per_name.setdefault(name, []).append((name, one))
    once = [p for all_of in per_name.values() for p in all_of[:8]]
    received = once + once[: len(once) // 2]
    order.shuffle(received)
    one, other = records_of(once), records_of(received)
    assert one.digest() == other.digest()
    for name in (CRASHING, HARMLESS, 'third'):
        assert one.blocked_until(name, NOW) == other.blocked_until(name, NOW)


@given(st.lists(st.tuples(NAMES, CRASHES), max_size=30))
def test_reports_contain_everything_a_verdict_needs(found):
    """Guards against reports that omit crashes needed for a block."""
    records = records_of(found)
    receiver = crash_records.CrashRecords()
    for name in records.worst_fingerprints():
        receiver.merge_report(records.build_report(name, NOW), NOW)
    for name in records.worst_fingerprints():
        blocked = records.blocked_until(name, NOW)
        if blocked is not None:
            assert receiver.is_blocked(name, NOW)


@given(st.lists(st.tuples(NAMES, CRASHES), max_size=40), st.floats(900, 990))
def test_history_invariants_hold_for_any_input(found, survived_at):
    """Guards against histories over their bound or with cleared crashes."""
    records = crash_records.CrashRecords()
    rng = random.Random(1)
    for name, one in found:
        records.add_crash(name, one, NOW)
        if rng.random() < 0.2:
            records.record_survival(name, survived_at, NOW)
        for history in records.histories.values():
            assert (
                len(history.crashes) <= crash_records.MAX_CRASHES_PER_REQUEST
            )
            assert all(
                c.ended_at > history.survived_at
                for c in history.crashes.values()
            )


def test_a_delayed_report_leads_to_the_same_verdict():
    """Guards against an instance that never blocks what others block.

    Each run began some milliseconds after the previous crash, and the report
    of the first crash took longer than the report of all three.
    """
    remote, local = crash_records.CrashRecords(), crash_records.CrashRecords()
    seen = [
        crash_state.Crash(f'engine {n}', 100.0 + 0.02 * n, 100.016 + 0.02 * n)
        for n in range(3)
    ]
    remote.add_crash('f', seen[0], 100.02)
    first = remote.build_report('f', 100.02)
    for crash in seen[1:]:
        remote.add_crash('f', crash, 100.06)
    assert remote.is_blocked('f', 100.06)
    local.merge_report(first, 100.02 + 0.01)
    local.merge_report(remote.build_report('f', 100.06), 100.06 + 0.001)
    assert local.is_blocked('f', 100.07)


DELAYS = st.lists(st.floats(0.0, 0.5), max_size=3)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(NAMES, CRASHES, DELAYS), max_size=20))
def test_the_earliest_reported_time_of_a_crash_counts(found):
    """Guards against a verdict that depends on the delay of reports.

    Each crash is reported once without delay, and before that with delays.
    """
    exact_records, delayed_records = (
        crash_records.CrashRecords(),
        crash_records.CrashRecords(),
    )
    for number, (name, one, delays) in enumerate(found):
        life = f'engine {number}'
        for delay in (*delays, 0.0):
            late = crash_state.Crash(
                life, one.began_at + delay, one.ended_at + delay
            )
            delayed_records.add_crash(name, late, NOW)
        exact = crash_state.Crash(life, one.began_at, one.ended_at)
        exact_records.add_crash(name, exact, NOW)
    for name in exact_records.histories:
        if (
            len(exact_records.histories[name].crashes)
            < crash_records.MAX_CRASHES_PER_REQUEST
        ):
            assert exact_records.blocked_until(
                name, NOW
            ) == delayed_records.blocked_until(name, NOW)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.floats(0.001, 0.2), min_size=3, max_size=3),
    st.floats(1e3, 1e7),
    st.floats(1e3, 1e7),
)
def test_consecutive_runs_without_a_pause_count_separately(
    lasted, clock, other
):
    """Guards against a verdict that depends on the rounding of ages.

    Each run began at the moment at which the previous one was lost.
    """
    remote, local = crash_records.CrashRecords(), crash_records.CrashRecords()
    for number, seconds in enumerate(lasted):
        began, clock = clock, clock + seconds
        remote.add_crash(
            'f', crash_state.Crash(f'e{number}', began, clock), clock
        )
    assert remote.is_blocked('f', clock)
    local.merge_report(remote.build_report('f', clock + 0.01), other)
    assert local.is_blocked('f', other)


RUNS = st.builds(
    broken_runs.BrokenRun,
    st.lists(NAMES, min_size=1, unique=True).map(tuple),
    LIVES,
    st.floats(900.0, 930.0),
    st.floats(900.0, 930.0),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(RUNS, max_size=30), st.lists(LIVES, max_size=4))
def test_suspected_crashes_are_those_of_the_runs_that_are_kept(runs, gone):
    """Guards against requests held for engines that were checked long ago."""
    kept = broken_runs.BrokenRuns()
    for run in sorted(runs, key=lambda run: run.broken_at):
        kept.add(run.life, run)
    for life in gone:
        kept.pop_broken_runs(life, 930.0)
    expected = {
        (fingerprint, run.life)
        for found in kept.by_engine.values()
        for run in found
        for fingerprint in run.fingerprints
    }
    assert expected == {
        (fingerprint, life)
        for fingerprint, lives in kept.suspected.items()
        for life in lives
    }
