"""Crash reports between instances, and crashes kept in the store."""

import base64

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from twisted.internet import defer

from greengagelb import errors
from greengagelb.platform import rows
from greengagelb.platform import store
from greengagelb.protocol import codec
from greengagelb.protocol import relay_hints
from greengagelb.state import crashes
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints

OWN = hints.Member('n1', 'n1-x', '127.0.0.1', 'north')
WALL = 1_800_000_000_000
# The largest datagram that no link has to fragment.
MAX_DATAGRAM_BYTES = 1400

TOLD = st.builds(
    crashes.ReportedCrash,
    st.text(max_size=40),
    st.floats(0.0, 600.0),
    st.floats(0.0, 600.0),
    st.text(max_size=20),
    st.booleans(),
)
REPORTS = st.builds(
    crashes.CrashReport,
    st.text(max_size=32),
    st.lists(TOLD, max_size=8).map(tuple),
    st.none() | st.floats(0.0, 600.0),
)


@given(REPORTS)
def test_crash_report_round_trips(report):
    raw = relay_hints.encode_hint('x', report)
    assert relay_hints.decode_datagram(raw) == ('x', report)


def test_request_for_crash_reports_round_trips():
    raw = relay_hints.encode_hint('x', crashes.CrashReportsRequest())
    assert relay_hints.decode_datagram(raw) == (
        'x',
        crashes.CrashReportsRequest(),
    )


def test_the_longest_report_fits_a_datagram():
    """Guards against reports that a lossy link loses more often than others.

    A fragmented datagram is lost with any of its fragments.
    """
    life = f'i-{"f" * 10} {WALL}'
    told = tuple(
        crashes.ReportedCrash(f'{n}{life}', 0.1, 1.5, 'data-centre')
        for n in range(8)
    )
    report = crashes.CrashReport('f' * 32, told, 0.5)
    assert len(relay_hints.encode_hint('12345678', report)) < (
        MAX_DATAGRAM_BYTES
    )


def test_heartbeats_of_a_release_without_crashes_are_understood():
    """Guards against ignored heartbeats while releases are mixed."""
    old = msgspec.msgpack.encode(
        ['n-x', ['h', 'n', '1.2.3.4', 'north', False]]
    )
    sender, beat = relay_hints.decode_datagram(old)
    assert (sender, beat.name, beat.crashes_digest) == ('n-x', 'n', 0)


@pytest.mark.parametrize(
    'report',
    [
        crashes.CrashReport('f' * 65, ()),
        crashes.CrashReport(
            'f', (crashes.ReportedCrash('e' * 257, 0.0, 0.0),)
        ),
    ],
)
def test_names_without_bound_are_refused(report):
    """Guards against datagrams of strangers that use unbounded memory."""
    with pytest.raises(errors.ProtocolError):
        relay_hints.decode_datagram(relay_hints.encode_hint('x', report))


class RowStore(store.PlatformStore):
    """A store of rows in memory."""

    def __init__(self):
        super().__init__(None, engines.Address('127.0.0.1', 1))
        self.rows = {}

    def commit_transaction(self, transaction):
        for row in transaction.set_keys:
            self.rows[row.key] = rows.Row(row.key, row.value, 1)
        for name in transaction.remove:
            self.rows.pop(name.key, None)
        return defer.succeed(b'')

    def read_whole_table(self, table):
        return defer.succeed(rows.Rows(list(self.rows.values()), 1))

    def members(self):
        read = []
        self.read_members().addCallback(read.append)
        return read[0]


KEPT = crashes.StoredCrashes(
    'ab12', (crashes.StoredCrash('e1 7', 0.05, WALL),)
)


def test_crashes_are_read_with_the_instances():
    """Guards against crashes that are read as invalid instance entries."""
    found = RowStore()
    found.register(OWN)
    found.write_crashes(KEPT)
    read = found.members()
    assert read.members == (OWN,)
    assert read.kept_crashes == (KEPT,)
    assert not read.mistakes
    found.delete_crashes('ab12')
    assert found.members().kept_crashes == ()


@pytest.mark.parametrize('key', ['crashes/other', 'crashes/'])
def test_crash_entry_of_another_writer_is_rejected(key):
    """Guards against entries of others that get harmless requests refused."""
    found = RowStore()
    text = base64.b64encode(codec.encode(KEPT)).decode()
    found.rows[key] = rows.Row(key, text, 1)
    found.rows['crashes/x'] = rows.Row('crashes/x', '?', 1)
    read = found.members()
    assert read.kept_crashes == ()
    assert {mistake.name for mistake in read.mistakes} == {key, 'crashes/x'}


@given(st.integers(-5_000, 600_000))
def test_stored_crashes_age_by_the_wall_clock(waited):
    """Guards against blocks that never end, or end as a clock goes back."""
    report = crashes.CrashReport(
        'f', (crashes.ReportedCrash('e', 0.25, 2.0, 'north', False),)
    )
    kept = crashes.to_stored_crashes(report, WALL)
    [told] = crashes.to_crash_report(kept, WALL + waited).crashes
    assert (told.seconds, told.data_centre) == (0.25, 'north')
    assert not told.has_begun
    assert told.age == pytest.approx(max(0.0, 2.0 + waited / 1000))
