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


def test_instance_that_serves_does_not_end_for_lack_of_requests():
    """All requests of a quiet night are answered."""
    with pytest.raises(automat.NoTransition):
        moved('configured', 'emptied')
