"""A cancellation is repeated until it is known to have taken effect."""

from greengagelb.coordination import actions
from greengagelb.coordination.streams import cancellations
from greengagelb.state import configuration
from greengagelb.state import identity

UPSTREAM = configuration.Upstream('e0', '127.0.0.1', 1, 'kl-1')
ATTEMPT = identity.AttemptId(identity.RequestId('teratak', 'r'), 1, 'i1.1')
DEADLINE = 100.0


def cancelled(incarnation='e0#1'):
    found = cancellations.CancellationSupervisor()
    found.cancel(ATTEMPT, UPSTREAM, incarnation, DEADLINE)
    return found


def retry(found, now):
    (timer,) = found.failed(ATTEMPT, now)
    return timer


def test_unreachable_engine_is_asked_until_the_deadline_of_the_attempt():
    """An engine is out of reach for longer than any short series of tries.

    When it comes back it would generate for nobody.
    """
    found = cancelled()
    now, asked = 0.0, 0
    while now < DEADLINE:
        timer = retry(found, now)
        now = timer.deadline
        asked += len(found.timer_fired(timer.name))
    assert asked > 12
    found.failed(ATTEMPT, now)
    assert not found.pending


def test_confirmed_cancellation_is_forgotten():
    found = cancelled()
    timer = retry(found, 1.0)
    assert found.confirmed(ATTEMPT) == [actions.ClearTimer(timer.name)]
    assert found.timer_fired(timer.name) == []


def test_engine_that_answers_again_is_asked_at_once():
    """A paused engine goes on and its report comes in.

    Each second until the next try costs tokens that nobody reads.
    """
    found = cancelled()
    retry(found, 1.0)
    done = found.engine_reported(identity.EngineId('e0', 'e0#1'))
    assert actions.CancelAttempt(ATTEMPT, UPSTREAM) in done
    assert ATTEMPT in found.pending


def test_new_incarnation_ends_the_tries():
    """The engine has died meanwhile, and its attempts with it."""
    found = cancelled()
    retry(found, 1.0)
    done = found.engine_reported(identity.EngineId('e0', 'e0#2'))
    assert done[-1] == actions.CancelAttempt(ATTEMPT, UPSTREAM)
    assert not found.pending
    assert not found.by_upstream
    assert not found.by_timer
