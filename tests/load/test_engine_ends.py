"""Other ends of engines as evidence in verdicts on requests."""

from hypothesis import given
from hypothesis import strategies as st

from greengagelb.coordination.sharing import crash_blame
from greengagelb.coordination.sharing import crash_records
from greengagelb.coordination.sharing import engine_ends
from greengagelb.state import crashes

PART = 'part-guilty'
OTHER = 'another request'


def crash(life, ended_at, data_centre='north', seconds=0.1):
    return crashes.Crash(life, ended_at - seconds, ended_at, data_centre)


def records_of(*found, others=()):
    """Return records of crashes under a part, and of other crashes."""
    records = crash_records.CrashRecords()
    for other in others:
        records.add_crash(OTHER, other, 200.0)
    for own in found:
        records.add_crash(PART, own, 200.0)
    return records


def three_crashes(data_centre='north'):
    return [crash(f'own {n}', 100.0 + n, data_centre) for n in range(3)]


def test_three_early_crashes_block_where_engines_seldom_end():
    assert records_of(*three_crashes()).is_blocked(PART, 200.0)


def test_engines_that_end_with_their_data_centre_are_no_evidence():
    """Guards against a prompt blamed for the loss of a data centre."""
    lost = [crash(f'lost {n}', 102.0 + 0.1 * n) for n in range(3)]
    assert not records_of(*three_crashes(), others=lost).is_blocked(
        PART, 200.0
    )
    elsewhere = records_of(*three_crashes('south'), others=lost)
    assert elsewhere.is_blocked(PART, 200.0)


def test_a_data_centre_ended_by_a_part_itself_is_evidence():
    """Guards against a part excused as it ends many engines at a time."""
    together = [crash(f'more {n}', 102.0 + 0.01 * n) for n in range(3)]
    assert records_of(*three_crashes(), *together).is_blocked(PART, 200.0)


def test_more_crashes_are_needed_where_engines_often_end():
    """Guards against sound prompts on three engines that end by chance."""
    often = [crash(f'lone {n}', 90.0 + n, 'south') for n in range(6)]
    assert not records_of(*three_crashes(), others=often).is_blocked(
        PART, 200.0
    )
    five = [crash(f'own {n}', 100.0 + n) for n in range(5)]
    assert records_of(*five, others=often).is_blocked(PART, 200.0)


def test_further_crashes_lift_no_block():
    """Guards against a block that ends as more engines end."""
    more = [crash(f'own {n}', 100.0 + n) for n in range(20)]
    often = [crash(f'lone {n}', 103.5 + n, 'south') for n in range(16)]
    records = records_of(*more[:4])
    assert records.is_blocked(PART, 200.0)
    for lone in often:
        records.add_crash(OTHER, lone, 200.0)
    for own in more[4:]:
        records.add_crash(PART, own, 200.0)
        assert records.is_blocked(PART, 200.0)


def test_a_sound_part_is_tried_again_before_it_is_blocked():
    """Guards against the part of most prompts refused by chance."""
    records = crash_records.CrashRecords()
    records.record_survival(PART, 99.0, 99.0)
    causes = crashes.PossibleCauses('request', parts=(PART,))
    blame = crash_blame.CrashBlame(records)
    found = []
    for number in range(5):
        records.add_crash(PART, crash(f'own {number}', 100.0 + number), 200.0)
        found.append(type(blame.judge(causes, 200.0)))
    assert found == [
        crash_blame.NotBlamed,
        crash_blame.NotBlamed,
        crash_blame.Undecided,
        crash_blame.Undecided,
        crash_blame.Blocked,
    ]


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5), st.sampled_from('abc'), st.floats(0.0, 60.0)
        )
    )
)
def test_ends_do_not_depend_on_the_order_of_reports(reports):
    """Guards against instances that judge the same crashes differently."""
    found = [crash(str(n), at, place) for n, place, at in reports]
    forward, backward = engine_ends.EngineEnds(), engine_ends.EngineEnds()
    for one, other in zip(found, reversed(found), strict=True):
        forward.note(one)
        backward.note(other)
    times = {life: end.ended_at for life, end in forward.by_life.items()}
    assert times == {
        life: end.ended_at for life, end in backward.by_life.items()
    }
    assert forward.count_others(60.0, set()) <= len(forward.by_life)


def test_ends_are_bounded():
    """Guards against memory that grows with invented lives."""
    ends = engine_ends.EngineEnds()
    for number in range(engine_ends.MAX_ENDS + 10):
        ends.note(crash(f'e{number}', float(number)))
    assert len(ends.by_life) == engine_ends.MAX_ENDS
    ends.forget_before(1e9)
    assert not ends.by_life
