"""The output of the time line command, and its notes on missing events."""

import json

import pytest

from greengagelb import errors
from greengagelb.cli import timeline as command
from greengagelb.coordination import actions
from greengagelb.protocol import timeline_api
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.state import timeline
from greengagelb.transport import metrics
from greengagelb.transport import operator_client
from greengagelb.transport import recorder


def event(milliseconds, process, kind='attempt-started', **given):
    return timeline.TimelineEvent(
        timeline.Stamp(milliseconds, 0), process, kind, 'reason', **given
    )


def lines_of(parts, wanted=timeline.Selection()):  # noqa: B008
    return command.render(parts, wanted).splitlines()


def test_events_of_all_processes_are_merged_and_aligned():
    first = timeline_api.TimelinePart(
        'a', 0, [event(1000, 'a'), event(3000, 'a')]
    )
    second = timeline_api.TimelinePart('b', 0, [event(2500, 'b', 'own-pause')])
    head, *rows = lines_of([first, second])
    assert [row.split()[3] for row in rows] == ['a', 'b', 'a']
    assert [row.split()[1] for row in rows] == ['+0.000', '+1.500', '+2.000']
    column = head.index('REASON')
    assert {row[column:].split()[0] for row in rows} == {'reason'}


def test_output_notes_missing_events():
    """One process has dropped old events and another can't be reached."""
    full = timeline_api.TimelinePart('a', 7, [event(1, 'a')])
    address = operator_client.Address('127.0.0.1', 9)
    gone = operator_client.NoAnswer(address, 'x', 'refused')
    shown = lines_of([full, gone], timeline.Selection(most_events=1))
    assert 'note: a has dropped its oldest 7 events' in shown
    assert 'note: a may have more events: raise --most_events' in shown
    assert (
        'note: 127.0.0.1:9 gave no events, they are missing: refused' in shown
    )


def test_control_characters_in_request_id_are_not_printed():
    """A caller puts an escape sequence into its request id."""
    bad = event(1, 'a', account='x', request='\x1b[2Jgone')
    part = timeline_api.TimelinePart('a', 0, [bad])
    assert '\x1b' not in command.render([part], timeline.Selection())


def test_long_request_id_is_truncated_in_the_table():
    long = event(1, 'a', account='x', request='r' * 2000)
    part = timeline_api.TimelinePart('a', 0, [long])
    shown = lines_of([part])[1]
    assert len(shown) < 200
    assert 'r... ' in shown


def test_selection_takes_the_last_events_that_match():
    kept = timeline.Timeline(4)
    for number in range(6):
        kept.append_event(
            event(number, 'a', account='x' if number % 2 else 'y')
        )
    assert kept.dropped == 2
    found = kept.select_events(timeline.Selection(account='x', most_events=1))
    assert [e.stamp.milliseconds for e in found] == [5]


@pytest.mark.parametrize(
    'parameters',
    [
        {b'most_events': [b'0']},
        {b'most_events': [b'-1']},
        {b'most_events': [b'many']},
        {b'acount': [b'x']},
    ],
)
def test_wrong_parameter_is_refused(parameters):
    with pytest.raises(errors.BadValue):
        timeline_api.parse_selection(parameters)


def test_parameters_are_read_as_they_were_written():
    wanted = timeline.Selection('a', 'r', 'k', 5)
    raw = {
        name.encode(): [value.encode()]
        for name, value in timeline_api.to_parameters(wanted).items()
    }
    assert timeline_api.parse_selection(raw) == wanted


def test_log_line_is_flat_json(capsys):
    recorder.configure_logging()
    request = identity.RequestId('teratak', 'r')
    found = recorder.Recorder('a', 10)
    found.record(actions.Record('attempt-started', 'at 0', request, 1, 'x.1'))
    line = json.loads(capsys.readouterr().out)
    assert line['event'] == 'attempt-started'
    assert (line['account'], line['request']) == ('teratak', 'r')
    assert (line['generation'], line['attempt']) == (1, 'x.1')
    assert isinstance(line['stamp'], str)


def test_metrics_count_tokens_and_outcomes_by_code():
    found = metrics.Metrics()
    found.sample = lambda: metrics.Sample(running=3, waiting=4)
    failure = requests.Failure('no-engine', requests.Ran.YES, 'x')
    found.count_action(actions.SendTokens(1, 0, ('a', 'b'), None))
    found.count_action(actions.SendFailure(1, failure))
    found.count_action(actions.SendRestart(1, 2, 'x', None))
    found.count_action(actions.AttachAttempt(None, None, 3))
    found.count_refusal('bad-cursor')
    for _ in range(2):
        text = found.render().decode()
        assert 'greengagelb_tokens 2' in text
        assert 'greengagelb_requests{outcome="no-engine"} 1' in text
        assert 'greengagelb_requests{outcome="bad-cursor"} 1' in text
        assert 'greengagelb_resumes{step="afresh"} 1' in text
        assert 'greengagelb_resumes{step="same-engine"} 1' in text
        assert 'greengagelb_running 3' in text
        assert 'greengagelb_waiting 4' in text
