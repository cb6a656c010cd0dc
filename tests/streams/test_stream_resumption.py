"""Callers resume streams with their cursor through another instance."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st
import pytest

from greengagelb.coordination.fleet import upstream_views
from greengagelb.coordination.sharing import replay_budgets
from greengagelb.state import configuration
from greengagelb.state import identity
from tests.common import generations


def start_stream(service='draft'):
    world = generations.World()
    world.report()
    caller = world.submit(service, 'i1')
    world.serve(4)
    return world, caller


def failure_code(caller):
    return caller.finals[-1].failure.code


def test_same_attempt_continues_after_its_instance_died():
    """The instance dies and the engine keeps generating."""
    world, caller = start_stream()
    engine = world.engine_of(caller)
    world.replace_instance('i1')
    world.ask(caller, 'i2')
    world.serve(1)
    assert world.engine_of(caller) is engine
    world.serve(generations.MOST_TOKENS)
    assert caller.finals[-1].position == generations.MOST_TOKENS


def test_stream_resumes_after_engine_and_instance_die_together():
    """Only the caller still holds the tokens of the answer."""
    world, caller = start_stream()
    world.engine_of(caller).kill()
    world.replace_instance('i1')
    world.ask(caller, 'i2')
    world.serve(generations.MOST_TOKENS)
    assert caller.finals[-1].position == generations.MOST_TOKENS


def test_restarted_engine_is_not_asked_for_an_older_attempt():
    """The engine has restarted under its name, as its report shows.

    Asking it for the old attempt would only cost time.
    """
    world, caller = start_stream()
    engine = world.engine_of(caller)
    engine.kill()
    engine.come_back()
    world.replace_instance('i1')
    world.report()
    del world.records[:]
    world.ask(caller, 'i2')
    assert world.kinds()[0] == 'attempt-replaced'
    assert world.stream_of(caller).engine_deaths == 1


def test_outdated_report_does_not_replace_a_running_attempt():
    """The instance's last report of the engine precedes its restart.

    The instance does not watch the engine. If it relied on the old report,
    the prompt would be evaluated again for nothing.
    """
    world = generations.World()
    world.report()
    for engine in world.engines.values():
        engine.kill()
        engine.come_back()
    world.advance(upstream_views.PROBE_TRUST_SECONDS)
    first = world.instances['i1']
    for engine in world.engines.values():
        world.tell(first, engine.report())
    caller = world.submit('draft', 'i1')
    world.serve(4)
    engine = world.engine_of(caller)
    world.replace_instance('i1')
    world.ask(caller, 'i2')
    world.serve(1)
    assert world.engine_of(caller) is engine
    assert world.stream_of(caller).engine_deaths == 0


def test_older_exchange_does_not_cancel_the_attempt_of_the_newer_one():
    """The caller resumes before the loss of its old connection is detected.

    Ending the old exchange must not cancel the attempt that the new one reads.
    """
    world, caller = start_stream()
    older = caller.exchange
    world.leave(caller, noticed=False)
    world.ask(caller, 'i1')
    world.tell(world.instances['i1'], generations.events.CallerGone(older))
    world.serve(generations.MOST_TOKENS)
    assert caller.finals[-1].position == generations.MOST_TOKENS
    assert 'attempt-replaced' not in world.kinds()


def test_generation_stays_on_its_version_at_another_instance():
    """The pool moves to another version while the caller is disconnected.

    One engine still runs the old version, and the answer must end on it.
    """
    world, caller = start_stream()
    world.engine_of(caller).kill()
    survivor = next(
        engine
        for engine in world.engines.values()
        if engine.health is not generations.sampled_engines.Health.DEAD
    )
    for engine in world.engines.values():
        engine.version = '1' if engine is survivor else '2'
    world.configure('2')
    world.replace_instance('i1')
    world.report()
    world.ask(caller, 'i2')
    world.serve(generations.MOST_TOKENS)
    assert caller.finals[-1].position == generations.MOST_TOKENS
    assert caller.restarts == 0


def test_tokens_of_another_answer_are_refused():
    """A client sends the tokens of another answer with its cursor."""
    world, caller = start_stream()
    world.leave(caller, noticed=True)
    caller.tokens[0] = 'other'
    world.ask(caller, 'i2')
    assert failure_code(caller) == 'received-tokens-differ'


def test_another_prompt_is_refused():
    """A client resumes with a longer conversation but the old cursor.

    It would get the start of one answer and the end of another.
    """
    world, caller = start_stream()
    world.leave(caller, noticed=True)
    caller.prompt = 'another prompt'
    world.ask(caller, 'i2')
    assert failure_code(caller) == 'request-differs'


def test_cursor_of_another_request_is_refused():
    """A client sends the cursor of another of its requests."""
    world, caller = start_stream()
    world.leave(caller, noticed=True)
    caller.request = identity.RequestId('teratak', 'another')
    world.ask(caller, 'i2')
    assert failure_code(caller) == 'bad-cursor'


def test_engine_deaths_are_kept_in_the_cursor():
    """A request that crashed engines is resumed at another instance.

    Its count continues there; from zero it could crash as many again.
    """
    world, caller = start_stream()
    world.engine_of(caller).kill()
    world.serve(1)
    assert caller.point.engine_deaths == 1
    most = configuration.RecoveryPolicy().most_engine_deaths
    caller.point = dataclasses.replace(caller.point, engine_deaths=most)
    world.replace_instance('i1')
    world.ask(caller, 'i2')
    world.engine_of(caller).kill()
    world.deliver_all()
    assert failure_code(caller) == 'engine-deaths-exceeded'


@pytest.mark.parametrize('with_old_cursor', [True, False])
def test_request_stopped_for_engine_deaths_is_not_started_again(
    with_old_cursor,
):
    """A request was stopped because it crashed too many engines.

    Its caller retries with an older cursor, or without one.
    """
    world, caller = start_stream()
    instance = world.instances['i2']
    instance.node.stream_supervisor.stream_recovery.exhausted_requests.add(
        caller.request
    )
    world.leave(caller, noticed=True)
    if not with_old_cursor:
        caller.point = None
    world.ask(caller, 'i2', caller.request)
    assert failure_code(caller) == 'engine-deaths-exceeded'


def test_account_over_its_resume_budget_gets_retry_after():
    """A caller of one account resumes in a loop.

    Each time an engine evaluates the prompt again, at the expense of all
    accounts.
    """
    world = generations.World(resume_budget=2)
    caller = world.submit('draft', 'i1')
    world.serve(2)
    for _ in range(2):
        world.leave(caller, noticed=False)
        world.ask(caller, 'i2')
    assert caller.waits
    world.leave(caller, noticed=False)
    world.ask(caller, 'i2')
    assert failure_code(caller) == 'resume-budget-spent'
    assert 0 < caller.finals[-1].failure.retry_after <= 60.0


@given(st.integers(1, 200), st.floats(0.0, 1e6))
def test_caller_that_waits_for_retry_after_may_resume(per_minute, now):
    """A caller resumes exactly when Retry-After says."""
    found = replay_budgets.ReplayBudgets()
    for _ in range(per_minute):
        assert not found.take_replay('teratak', per_minute, now)
    wait = found.take_replay('teratak', per_minute, now)
    assert wait
    assert not found.take_replay('teratak', per_minute, now + wait)
    assert not found.take_replay('karri', per_minute, now)
