"""An instance serves only between its configuration and its stop."""

import automat
import pytest

from greengagelb.coordination import lifecycle


def moved(*names):
    progress = lifecycle.Progress()
    machine = lifecycle.new_lifecycle(progress)
    for name in names:
        getattr(machine, name)()
    return progress.phase


def test_configuration_starts_the_serving_and_changes_nothing_later():
    assert moved('configured') is lifecycle.Phase.SERVING
    assert moved('configured', 'configured') is lifecycle.Phase.SERVING


def test_configuration_does_not_bring_a_stopping_instance_back():
    """A plan is confirmed while an instance is being replaced.

    Ready again, it would be sent requests that its end then cuts off.
    """
    phase = moved('configured', 'stop_requested', 'configured')
    assert phase is lifecycle.Phase.STOPPING


def test_instance_may_be_stopped_before_it_has_a_configuration():
    assert moved('stop_requested', 'emptied') is lifecycle.Phase.FINISHED


def test_request_may_be_taken_until_the_instance_begins_to_end():
    assert moved('configured', 'request_taken') is lifecycle.Phase.SERVING
    phase = moved('configured', 'stop_requested', 'request_taken')
    assert phase is lifecycle.Phase.STOPPING


@pytest.mark.parametrize('closing', [[], ['closed']])
def test_no_request_is_taken_once_the_instance_has_begun_to_end(closing):
    """A call comes in the last milliseconds of a planned stop.

    Sent to an engine, it would be cut with the process, and its caller could
    not know whether it has run.
    """
    with pytest.raises(automat.NoTransition):
        moved('stop_requested', 'emptied', *closing, 'request_taken')


def test_process_does_not_end_before_the_instance_is_empty():
    """The ports are closed while callers still wait for their answers."""
    with pytest.raises(automat.NoTransition):
        moved('configured', 'stop_requested', 'closed')


def test_instance_that_serves_does_not_end_for_lack_of_requests():
    """All requests of a quiet night are answered."""
    with pytest.raises(automat.NoTransition):
        moved('configured', 'emptied')
