"""Answers that nothing but the close of their connection ends.

They have neither a length nor chunks. The connections of a process that dies
are closed in good order too, so such an answer is complete only if its engine
is still alive.
"""

import dataclasses

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.sharing import broken_runs
from greengagelb.state.relay import bounds
from tests.common import relay_world

ALIVE = relay_events.EngineFate.ALIVE
ENDED = relay_events.EngineFate.ENDED
UNKNOWN = relay_events.EngineFate.UNKNOWN


def lone_world():
    """Return an instance that may use all of the shared retry budget."""
    world = relay_world.RelayWorld()
    world.relay.budget.set_fleet_size(1)
    return world


def stream_of(world, *numbers):
    """Return a send of a stream with some events passed on."""
    send = world.last_send(world.ask())
    world.now += 1.0
    world.begin(send)
    if numbers:
        world.events(send, *numbers)
    return send


def end_stream(world, send):
    world.now += 0.03
    world.handle(relay_events.StreamComplete(send.exchange, send.send, True))


def end_call(world, send, **fields):
    world.handle(
        relay_events.AnswerComplete(
            send.exchange,
            send.send,
            relay_world.answer_head(**fields),
            b'all or a part',
            True,
        )
    )


def check(world, fate):
    entry = world.of_kind(relay_actions.CheckEngine)[-1].entry
    world.handle(relay_events.EngineChecked(entry, fate))


def histories(world):
    return world.relay.crash_watch.records.histories


def test_a_stream_of_an_engine_that_ended_goes_on_elsewhere():
    """Guards against a part of a stream passed on as all of it."""
    world = lone_world()
    send = stream_of(world, 1, 2, 3)
    end_stream(world, send)
    assert not world.of_kind(relay_actions.EndStream)
    check(world, ENDED)
    assert not world.of_kind(relay_actions.EndStream)
    resumed = world.last_send(send.exchange)
    assert resumed.resume_after == 3
    assert resumed.engine != send.engine


def test_an_engine_that_ends_with_an_empty_answer_counts_as_crashed():
    """Guards against crashes that pass for answers without events."""
    world = lone_world()
    end_stream(world, stream_of(world))
    check(world, ENDED)
    assert histories(world)


def test_a_resumed_stream_that_ends_so_clears_no_crash():
    """Guards against a crash taken for a run that was survived."""
    world = lone_world()
    send = stream_of(world, 1, 2, 3)
    end_stream(world, send)
    check(world, ENDED)
    resumed = world.last_send(send.exchange)
    world.begin(resumed)
    end_stream(world, resumed)
    check(world, ENDED)
    assert not world.of_kind(relay_actions.EndStream)
    [history] = histories(world).values()
    assert len(history.crashes) == 2


def test_a_stream_of_an_engine_that_lives_is_complete():
    """Guards against whole streams that are generated once more."""
    world = lone_world()
    send = stream_of(world, 1, 2, 3)
    end_stream(world, send)
    check(world, ALIVE)
    assert world.of_kind(relay_actions.EndStream, send.exchange)
    assert len(world.sends(send.exchange)) == 1
    assert not histories(world)


def test_a_stream_goes_on_if_its_engine_gives_no_answer():
    """Guards against a stream that waits, or ends early, for a lost engine."""
    world = lone_world()
    send = stream_of(world, 1, 2)
    end_stream(world, send)
    for _ in range(3):
        check(world, UNKNOWN)
        world.advance(0.06)
    assert not world.of_kind(relay_actions.EndStream)
    assert world.last_send(send.exchange).resume_after == 2
    assert not histories(world)


def test_a_caller_who_left_needs_no_result_of_the_check():
    """Guards against an answer to a request that is over."""
    world = lone_world()
    send = stream_of(world, 1)
    end_stream(world, send)
    world.leave(send.exchange)
    check(world, ENDED)
    assert len(world.sends(send.exchange)) == 1


def test_a_call_that_must_not_repeat_is_not_answered_with_a_part():
    """Guards against a part of an answer passed on as all of it."""
    world = lone_world()
    exchange = world.call()
    end_call(world, world.last_send(exchange))
    assert not world.answered(exchange)
    check(world, ENDED)
    assert not world.answered(exchange)
    assert [r.status for r in world.refusals(exchange)] == [502]
    assert len(world.sends(exchange)) == 1


def fail_checks(world):
    """Have an engine give no answer to the checks of 0.64 s."""
    for wait in (0.06, 0.06, 0.26, 0.26):
        asked = len(world.of_kind(relay_actions.CheckEngine))
        check(world, UNKNOWN)
        world.advance(wait)
        assert len(world.of_kind(relay_actions.CheckEngine)) == asked + 1


@pytest.mark.parametrize('fate', [ALIVE, ENDED])
def test_an_answer_is_kept_while_its_engine_is_silent(fate):
    """An engine pauses right after it has given an answer.

    The whole answer is there; the call must not repeat, and would be failed.
    """
    world = lone_world()
    exchange = world.call()
    end_call(world, world.last_send(exchange))
    fail_checks(world)
    assert not world.answered(exchange)
    assert not world.refusals(exchange)
    check(world, fate)
    assert bool(world.answered(exchange)) == (fate is ALIVE)
    assert len(world.sends(exchange)) == 1


def test_a_call_whose_engine_stays_silent_ends_at_its_deadline():
    """Guards against a part passed on, and checks that never end."""
    world = lone_world()
    exchange = world.call()
    end_call(world, world.last_send(exchange))
    fail_checks(world)
    world.advance(1.0)
    assert not world.answered(exchange)
    assert [r.status for r in world.refusals(exchange)] == [504]
    relay_world.leave_checks_unanswered(
        world, broken_runs.BROKEN_RUN_TTL_SECONDS + 2.0
    )
    asked = len(world.of_kind(relay_actions.CheckEngine))
    assert asked <= 6 + broken_runs.BROKEN_RUN_TTL_SECONDS
    world.advance(1.0)
    assert len(world.of_kind(relay_actions.CheckEngine)) == asked


def test_an_answer_is_kept_beside_a_second_try():
    """Guards against an answer given up for another that is yet to come."""
    world = lone_world()
    exchange = world.query()
    first = world.last_send(exchange)
    end_call(world, first)
    fail_checks(world)
    assert len(world.sends(exchange)) == 2
    check(world, ALIVE)
    assert world.answered(exchange)


def test_an_idempotent_call_is_made_again():
    """Guards against a failure where another engine can answer."""
    world = lone_world()
    exchange = world.query()
    end_call(world, world.last_send(exchange))
    check(world, ENDED)
    assert len(world.sends(exchange)) == 2


def test_a_call_of_an_engine_that_lives_is_answered():
    """Guards against whole answers that are withheld."""
    world = lone_world()
    exchange = world.call()
    end_call(world, world.last_send(exchange))
    check(world, ALIVE)
    assert world.answered(exchange)


def test_a_refusal_needs_no_check():
    """Guards against waiting where the head tells all."""
    world = lone_world()
    exchange = world.query()
    end_call(world, world.last_send(exchange), status=503, not_run=True)
    assert not world.of_kind(relay_actions.CheckEngine)
    assert len(world.sends(exchange)) == 2


def once_only_world():
    route = dataclasses.replace(relay_world.STREAM_ROUTE, resumable=False)
    world = relay_world.RelayWorld(table=relay_world.route_table(1, (route,)))
    world.relay.budget.set_fleet_size(1)
    return world


@pytest.mark.parametrize('fate', [ALIVE, ENDED])
def test_a_stream_that_may_run_once_is_kept_while_its_engine_is_silent(fate):
    """Guards against a whole stream that is cut at its end.

    Its engine resets new connections for a while, and nothing can replace it.
    """
    world = once_only_world()
    send = stream_of(world, 1, 2, 3)
    end_stream(world, send)
    fail_checks(world)
    assert not world.of_kind(relay_actions.AbortStream)
    check(world, fate)
    assert bool(world.of_kind(relay_actions.EndStream)) == (fate is ALIVE)
    assert bool(world.of_kind(relay_actions.AbortStream)) == (fate is ENDED)


def test_a_stream_that_may_run_once_ends_at_its_deadline():
    """Guards against a part passed on as whole, and a wait without an end."""
    world = once_only_world()
    end_stream(world, stream_of(world, 1, 2, 3))
    fail_checks(world)
    world.advance(relay_world.STREAM_ROUTE.time_limit)
    assert not world.of_kind(relay_actions.EndStream)
    assert len(world.of_kind(relay_actions.AbortStream)) == 1


def world_without_attempts():
    route = dataclasses.replace(relay_world.STREAM_ROUTE, most_attempts=1)
    return relay_world.RelayWorld(table=relay_world.route_table(1, (route,)))


def world_without_retries():
    world = lone_world()
    world.relay.budget.bounds = bounds.RetryBounds(0.0, 10.0, 0.0)
    return world


@pytest.mark.parametrize(
    'world_of', [world_without_attempts, world_without_retries]
)
def test_a_stream_that_no_engine_may_continue_is_kept(world_of):
    """Guards against a whole stream that is cut for lack of a retry.

    Its engine is paused and answers no check.
    """
    world = world_of()
    send = stream_of(world, 1, 2, 3)
    end_stream(world, send)
    fail_checks(world)
    assert not world.of_kind(relay_actions.AbortStream)
    check(world, ALIVE)
    assert world.of_kind(relay_actions.EndStream)


def test_a_kept_stream_goes_on_elsewhere_once_there_is_a_retry():
    """Guards against a wait for the deadline at an engine that is lost."""
    world = world_without_retries()
    send = stream_of(world, 1, 2, 3)
    end_stream(world, send)
    fail_checks(world)
    world.relay.budget.bounds = relay_world.RETRIES
    check(world, UNKNOWN)
    assert world.last_send(send.exchange).resume_after == 3
    assert len(world.sends(send.exchange)) == 2
