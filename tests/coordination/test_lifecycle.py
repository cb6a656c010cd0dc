"""The life cycle of an instance allows only the listed transitions."""

import automat
import pytest

from greengagelb.coordination import lifecycle


def phase_after(*names):
    progress = lifecycle.Progress()
    machine = lifecycle.new_lifecycle(progress)
    for name in names:
        getattr(machine, name)()
    return progress.phase


def test_first_configuration_starts_serving():
    assert phase_after('configuration_applied') is lifecycle.Phase.SERVING
    assert (
        phase_after('configuration_applied', 'configuration_applied')
        is lifecycle.Phase.SERVING
    )


def test_configuration_does_not_return_a_stopping_instance_to_service():
    """A plan is confirmed while an instance is being replaced.

    If it became ready again, it would get requests that are cut off when it
    ends.
    """
    phase = phase_after(
        'configuration_applied', 'stop_requested', 'configuration_applied'
    )
    assert phase is lifecycle.Phase.STOPPING


def test_instance_may_be_stopped_before_it_has_a_configuration():
    assert (
        phase_after('stop_requested', 'work_finished')
        is lifecycle.Phase.FINISHED
    )


def test_request_may_be_accepted_until_the_instance_finishes():
    assert (
        phase_after('configuration_applied', 'request_accepted')
        is lifecycle.Phase.SERVING
    )
    phase = phase_after(
        'configuration_applied', 'stop_requested', 'request_accepted'
    )
    assert phase is lifecycle.Phase.STOPPING


@pytest.mark.parametrize('closing', [[], ['connections_closed']])
def test_no_request_is_accepted_once_the_instance_has_finished(closing):
    """A call arrives in the last milliseconds of a planned stop.

    If it were sent to an engine, it would be cut off with the process, and its
    caller could not know whether it has run.
    """
    with pytest.raises(automat.NoTransition):
        phase_after(
            'stop_requested', 'work_finished', *closing, 'request_accepted'
        )


def test_process_does_not_end_while_requests_are_in_flight():
    """The listening ports close while callers still wait for answers."""
    with pytest.raises(automat.NoTransition):
        phase_after(
            'configuration_applied', 'stop_requested', 'connections_closed'
        )


def test_idle_serving_instance_does_not_finish():
    """A serving instance has no requests in flight."""
    with pytest.raises(automat.NoTransition):
        phase_after('configuration_applied', 'work_finished')
