"""Operators list and lift blocks of what crashes engines."""

import pytest

from greengagelb import errors
from greengagelb.coordination import actions as common_actions
from greengagelb.platform import blocks
from greengagelb.platform import process
from greengagelb.state import crashes
from tests.common import crashing_fleet

WALL = 1_800_000_000.0
BLOCK = crashes.StoredCrashes(
    'part-x', (crashes.StoredCrash('a life', 0.1, round(WALL * 1000) - 5000),)
)


def test_blocks_are_listed_with_their_crashes():
    assert blocks.render((BLOCK,), WALL) == (
        'part-x  1 crashes\n  a life  5 s ago, 0.100 s after the run began\n'
    )


def test_a_block_that_is_not_stored_can_not_be_lifted():
    """Guards against a mistyped fingerprint that seems to be lifted."""
    with pytest.raises(errors.CommandError):
        blocks.lift((BLOCK,), 'part-y', WALL)


def test_a_lifted_block_is_stored_and_read_back():
    lifted = blocks.lift((BLOCK,), 'part-x', WALL)
    report = crashes.to_crash_report(lifted, round(WALL * 1000) + 2000)
    assert report == crashes.CrashReport('part-x', (), 2.0)


@pytest.mark.parametrize('words', [['block'], ['lift'], ['lift', 'a', 'b']])
def test_other_words_are_refused(words, capsys):
    assert blocks.main(words) == 2
    assert 'usage' in capsys.readouterr().err


def test_an_unreachable_store_is_reported(tmp_path, monkeypatch, capsys):
    """Guards against a command that ends as if it had done something."""
    monkeypatch.setenv(process.SETTINGS_VARIABLE, str(tmp_path / 'missing'))
    assert blocks.main(['blocks']) == 2
    assert capsys.readouterr().err


def test_a_lifted_block_is_lifted_at_all_instances():
    """Guards against a wrong block that callers have to wait out."""
    played = crashing_fleet.CrashingFleet(6)
    played.ask_again_and_again('stream', seconds=10.0, every=1.5)
    reader = played.instances[2]
    assert all(played.refuses(instance) for instance in played.instances)
    [fingerprint] = played.store
    lifted = crashes.CrashReport(fingerprint, (), 0.0)
    reader.handle(crashing_fleet.relay_events.CrashesListed((lifted,)))
    played.run(crashing_fleet.CONTACT_SECONDS)
    records = [
        instance.relay.crash_watch.records for instance in played.instances
    ]
    assert not any(found.blocked_fingerprints(played.now) for found in records)
    kinds = [
        action.kind
        for action in reader.records
        if isinstance(action, common_actions.Record)
    ]
    assert 'block-lifted' in kinds
