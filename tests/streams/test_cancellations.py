"""Cancellations are retried until the engine confirms them."""

from greengagelb.coordination import actions
from greengagelb.coordination.streams import cancellations
from greengagelb.state import configuration
from greengagelb.state import identity

UPSTREAM = configuration.Upstream('e0', '127.0.0.1', 1, 'kl-1')
ATTEMPT = identity.AttemptId(identity.RequestId('teratak', 'r'), 1, 'i1.1')
DEADLINE = 100.0


def supervisor_with_cancellation(incarnation='e0#1'):
    supervisor = cancellations.CancellationSupervisor()
    supervisor.request_cancellation(ATTEMPT, UPSTREAM, incarnation, DEADLINE)
    return supervisor


def schedule_retry(supervisor, now):
    (timer,) = supervisor.schedule_retry(ATTEMPT, now)
    return timer


def test_unreachable_engine_is_asked_until_the_attempt_deadline():
    """The retries outlast any outage shorter than the attempt's deadline.

    Otherwise an engine that is reachable again would generate tokens that
    nobody reads.
    """
    supervisor = supervisor_with_cancellation()
    now, asked = 0.0, 0
    while now < DEADLINE:
        timer = schedule_retry(supervisor, now)
        now = timer.deadline
        asked += len(supervisor.handle_timer(timer.name))
    assert asked > 12
    supervisor.schedule_retry(ATTEMPT, now)
    assert not supervisor.pending


def test_confirmed_cancellation_is_forgotten():
    supervisor = supervisor_with_cancellation()
    timer = schedule_retry(supervisor, 1.0)
    assert supervisor.handle_confirmation(ATTEMPT) == [
        actions.ClearTimer(timer.name)
    ]
    assert supervisor.handle_timer(timer.name) == []


def test_engine_that_answers_again_is_asked_at_once():
    """The report of an engine that was paused triggers the retry.

    Each second until the next try costs tokens that nobody reads.
    """
    supervisor = supervisor_with_cancellation()
    schedule_retry(supervisor, 1.0)
    done = supervisor.handle_engine_report(identity.EngineId('e0', 'e0#1'))
    assert actions.CancelAttempt(ATTEMPT, UPSTREAM) in done
    assert ATTEMPT in supervisor.pending


def test_new_incarnation_ends_the_retries():
    """The engine has restarted, so its earlier attempts no longer run."""
    supervisor = supervisor_with_cancellation()
    schedule_retry(supervisor, 1.0)
    done = supervisor.handle_engine_report(identity.EngineId('e0', 'e0#2'))
    assert done[-1] == actions.CancelAttempt(ATTEMPT, UPSTREAM)
    assert not supervisor.pending
    assert not supervisor.attempts_by_upstream
    assert not supervisor.attempt_by_timer
