"""Regression tests of claims, each for one sequence of events."""

import dataclasses
import random

import pytest

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.calls import claims
from greengagelb.state import claims as claim_state
from greengagelb.state import identity
from greengagelb.state import requests
from tests.common import call_world

CHARGE = call_world.CHARGE
DIGEST = call_world.DIGEST
LOOKUP = call_world.LOOKUP


def failure_of(exchange):
    (answer,) = exchange.answers
    return answer.failure


def answer_all_writes(world):
    while world.writes:
        world.answer_write(world.writes[0])


def stage_of(world):
    ((_, record),) = world.rows.values()
    return record.stage


def test_accounts_with_slashes_do_not_share_a_row():
    """Two accounts whose names and keys are the same text once joined.

    One account's charge would be answered with the other's booking.
    """
    first = identity.RequestId('a/b', 'c')
    second = identity.RequestId('a', 'b/c')
    assert claims.claim_key(first) != claims.claim_key(second)


def test_row_key_stays_short_for_any_idempotency_key():
    name = identity.RequestId('teratak', '\ud800é' * 9000)
    assert len(claims.claim_key(name)) < 80


def test_retry_of_a_finished_call_gets_the_same_answer():
    world = call_world.World()
    first = world.submit(world.instances[0], CHARGE)
    answer_all_writes(world)
    world.finish(world.dispatches[0])
    answer_all_writes(world)
    second = world.submit(world.instances[1], CHARGE)
    answer_all_writes(world)
    assert second.answers[0].body == first.answers[0].body


def test_answer_after_the_deadline_is_kept_for_the_retry():
    """A charge completes after its caller's deadline.

    If its outcome were dropped, every retry would get "outcome unknown".
    """
    world = call_world.World()
    first = world.submit(world.instances[0], CHARGE)
    answer_all_writes(world)
    world.advance(call_world.PATIENCE + 1)
    assert failure_of(first).code == 'deadline-passed'
    assert failure_of(first).ran is requests.Ran.UNKNOWN
    world.finish(world.dispatches[0])
    answer_all_writes(world)
    second = world.submit(world.instances[1], CHARGE)
    answer_all_writes(world)
    assert second.answers[0].body in world.answer_of[first.key]


def test_refusal_after_the_deadline_releases_the_row():
    world = call_world.World()
    world.submit(world.instances[0], CHARGE)
    answer_all_writes(world)
    world.advance(call_world.PATIENCE + 1)
    world.refuse(world.dispatches[0])
    answer_all_writes(world)
    assert not world.dispatches
    assert stage_of(world) is claim_state.ClaimStage.RELEASED


def test_connection_lost_after_the_deadline_keeps_the_row_taken():
    """A charge's connection breaks after the caller's deadline.

    The service may still be running it. If the row were released, a retry
    could run the charge a second time.
    """
    world = call_world.World()
    world.submit(world.instances[0], CHARGE)
    answer_all_writes(world)
    world.advance(call_world.PATIENCE + 1)
    world.break_off(world.dispatches[0])
    answer_all_writes(world)
    assert stage_of(world) is claim_state.ClaimStage.CLAIMED
    world.submit(world.instances[1], CHARGE)
    answer_all_writes(world)
    assert len(world.dispatches) == 1


def test_restored_store_is_reported():
    """The store is restored from an old copy that lacks a held claim.

    A retry claims the key again and the charge runs twice. That can't be
    prevented here, but it must be recorded.
    """
    world = call_world.World()
    instance, other = world.instances[:2]
    world.submit(instance, CHARGE)
    answer_all_writes(world)
    world.rows.clear()
    world.may_run.clear()
    world.submit(other, CHARGE)
    answer_all_writes(world)
    # Row versions start again, so the first outcome overwrites the row and
    # the second holder detects that.
    first, second = world.dispatches
    world.finish(first)
    answer_all_writes(world)
    assert world.kinds['claim-overwritten'] == 0
    world.refuse(second)
    while world.dispatches:
        world.refuse(world.dispatches[0])
    answer_all_writes(world)
    assert world.kinds['claim-overwritten'] == 1


def test_silent_service_does_not_hold_the_instance_for_ever():
    """A service accepts a charge and never answers.

    Without a time limit such calls would use up the account's capacity.
    """
    world = call_world.World()
    instance = world.instances[0]
    world.submit(instance, CHARGE)
    answer_all_writes(world)
    world.advance(call_world.PATIENCE + 1)
    assert instance.node.running
    world.advance(60.0)
    assert instance.node.is_idle
    assert not world.dispatches[0].awaited


def test_large_answer_is_reported_as_run_but_not_kept():
    """The answer to a charge is too large for a claim row.

    A retry can't get it, and must not run the charge again either.
    """
    world = call_world.World()
    first = world.submit(world.instances[0], CHARGE)
    answer_all_writes(world)
    dispatch = world.dispatches[0]
    world.run(dispatch)
    dispatch.answer = bytes(claims.MAX_KEPT_BODY_BYTES + 1)
    world.answer_of[first.key].add(dispatch.answer)
    world.finish(dispatch)
    answer_all_writes(world)
    second = world.submit(world.instances[1], CHARGE)
    answer_all_writes(world)
    assert failure_of(second).code == 'answer-not-kept'
    assert failure_of(second).ran is requests.Ran.YES


def test_retry_while_the_first_send_runs_is_not_told_not_run():
    world = call_world.World()
    world.submit(world.instances[0], CHARGE)
    answer_all_writes(world)
    second = world.submit(world.instances[1], CHARGE)
    answer_all_writes(world)
    assert failure_of(second).code == 'twin-outcome-unknown'
    assert failure_of(second).ran is requests.Ran.UNKNOWN
    assert failure_of(second).retry_after is not None


def test_retry_before_the_outcome_is_written_may_come_back_for_it():
    """Guards against a second run or a "not run" for an early retry.

    The answer is sent to the caller before the outcome is written.
    """
    world = call_world.World()
    first = world.submit(world.instances[0], CHARGE)
    answer_all_writes(world)
    [dispatch] = world.dispatches
    world.run(dispatch)
    world.finish(dispatch)
    assert isinstance(first.answers[-1], actions.SendAnswer)
    [outcome] = world.writes
    early = world.submit(world.instances[1], CHARGE)
    [_, claim] = world.writes
    world.answer_write(claim)
    assert failure_of(early).code == 'twin-outcome-unknown'
    assert failure_of(early).ran is requests.Ran.UNKNOWN
    assert failure_of(early).retry_after is not None
    world.answer_write(outcome)
    late = world.submit(world.instances[1], CHARGE)
    answer_all_writes(world)
    assert late.answers[-1].body == first.answers[-1].body
    assert len(world.dispatches) <= 1


def test_key_that_comes_back_with_another_body_is_refused():
    """A client uses one idempotency key for two different charges.

    It would get the answer to the first one for the second.
    """
    world = call_world.World()
    world.submit(world.instances[0], CHARGE)
    answer_all_writes(world)
    world.finish(world.dispatches[0])
    answer_all_writes(world)
    second = world.submit(world.instances[1], CHARGE, body=b'other')
    answer_all_writes(world)
    assert failure_of(second).code == 'idempotency-key-reused'


def test_retry_during_an_outage_is_not_told_not_run():
    """An instance dies with a charge in flight, then the store fails.

    The caller retries at another instance, which can't read the claim. On a
    "not run" the client would charge a second time.
    """
    world = call_world.World()
    world.submit(world.instances[0], CHARGE)
    answer_all_writes(world)
    world.kill(world.instances[0])
    world.run(world.dispatches[0])
    world.store_down = True
    second = world.submit(world.instances[1], CHARGE)
    assert failure_of(second).ran is requests.Ran.UNKNOWN
    assert failure_of(second).retry_after is not None


def test_declared_first_send_during_an_outage_is_told_not_run():
    world = call_world.World()
    world.store_down = True
    first = world.submit(world.instances[0], CHARGE)
    assert failure_of(first).ran is requests.Ran.NO
    assert not world.instances[0].node.claim_supervisor.claim_by_holder


def test_claim_written_after_the_deadline_is_released_and_taken_over():
    """A slow store answers a claim after the caller's deadline.

    If the row stayed taken by a holder that never dispatched, every retry of
    the charge would be refused for good.
    """
    world = call_world.World()
    first = world.submit(world.instances[0], CHARGE)
    world.advance(call_world.PATIENCE + 1)
    assert failure_of(first).code == 'deadline-passed'
    answer_all_writes(world)
    assert not world.dispatches
    assert stage_of(world) is claim_state.ClaimStage.RELEASED
    world.submit(world.instances[1], CHARGE)
    answer_all_writes(world)
    assert len(world.dispatches) == 1


def test_late_claim_write_fails_after_the_claim_was_given_up():
    """Both writes of a claim time out; the first reaches the store late.

    The release was written on the same version by then, so the late write
    fails instead of taking the key for good.
    """
    world = call_world.World()
    world.submit(world.instances[0], CHARGE)
    late = world.writes[0]
    world.time_out_write(late)
    world.time_out_write(world.writes[1])
    release = world.writes[2]
    assert release.action.record.stage is claim_state.ClaimStage.RELEASED
    world.answer_write(release)
    world.answer_write(late)
    assert stage_of(world) is claim_state.ClaimStage.RELEASED


def test_lost_answer_to_a_claim_is_settled_by_the_same_write():
    """The store applies a claim and its answer is lost.

    If that were treated as a failure, the charge would not run although its
    key is taken.
    """
    world = call_world.World()
    world.submit(world.instances[0], CHARGE)
    world.lose_write(world.writes[0], reaches_table=True)
    answer_all_writes(world)
    assert len(world.dispatches) == 1


def test_release_is_retried_until_the_store_accepts_it():
    """The store becomes unavailable just as a claim is given up."""
    world = call_world.World()
    world.submit(world.instances[0], CHARGE)
    world.advance(call_world.PATIENCE + 1)
    world.lose_write(world.writes[0], reaches_table=True)
    for _ in range(3):
        world.store_down = True
        world.advance(1.0)
    world.store_down = False
    world.advance(1.0)
    answer_all_writes(world)
    assert stage_of(world) is claim_state.ClaimStage.RELEASED


def test_release_is_given_up_after_a_long_outage():
    """Old claims must not accumulate while the store is unavailable."""
    world = call_world.World()
    instance = world.instances[0]
    world.submit(instance, CHARGE)
    world.advance(call_world.PATIENCE + 1)
    world.time_out_write(world.writes[0])
    world.store_down = True
    for _ in range(40):
        world.advance(1.0)
    assert not instance.node.claim_supervisor.claim_by_holder
    assert world.kinds['claim-left-taken'] == 1


@pytest.mark.parametrize('timers_first', [True, False])
@pytest.mark.parametrize('service', [CHARGE, DIGEST])
def test_holder_that_wakes_after_the_deadline_does_not_dispatch(
    timers_first, service
):
    """An instance is paused while it claims and resumes a minute later.

    Its caller's deadline has passed. The result of the claim and the deadline
    timer are both pending, in either order.
    """
    world = call_world.World()
    instance = world.instances[0]
    world.submit(instance, service)
    instance.paused = True
    answer_all_writes(world)
    world.advance(60.0)
    world.wake(instance, timers_first)
    assert not world.dispatches
    assert instance.timers.keys() <= {'claim-settle:i0.1'}
    answer_all_writes(world)
    assert stage_of(world) is claim_state.ClaimStage.RELEASED


def test_stop_waits_until_a_claim_is_released():
    """An instance is replaced right after it gave up a claim.

    If its process ended at once, the key would stay taken for good.
    """
    world = call_world.World()
    instance = world.instances[0]
    exchange = world.submit(instance, CHARGE)
    world.leave(exchange)
    done = instance.node.handle(events.StopRequested(), world.now)
    assert actions.FinishStopping() not in done
    answer_all_writes(world)
    assert instance.node.is_idle


def test_generation_that_may_not_be_repeated_is_started_once():
    world = call_world.World()
    world.submit(world.instances[0], DIGEST)
    world.submit(world.instances[1], DIGEST)
    answer_all_writes(world)
    assert len(world.dispatches) == 1


def test_call_refused_by_every_upstream_releases_the_row():
    """All upstreams of a service refuse a charge before it runs."""
    world = call_world.World()
    first = world.submit(world.instances[0], CHARGE)
    answer_all_writes(world)
    while world.dispatches:
        world.refuse(world.dispatches[0])
    assert failure_of(first).ran is requests.Ran.NO
    answer_all_writes(world)
    assert stage_of(world) is claim_state.ClaimStage.RELEASED


def test_call_that_ran_once_is_never_told_not_run_by_a_later_refusal():
    """A lookup's connection breaks, and the second upstream is unreachable.

    The last failure alone proves nothing about the first dispatch.
    """
    world = call_world.World()
    found = world.submit(world.instances[0], LOOKUP)
    world.break_off(world.dispatches[0])
    for _ in range(2):
        pending = [d for d in world.dispatches if d.awaited]
        world.refuse(pending[0])
    assert failure_of(found).ran is requests.Ran.UNKNOWN


def test_retries_of_one_account_stay_within_its_budget():
    """A service fails every lookup of a caller that keeps retrying.

    Without a retry budget, three tries for each lookup would triple the load
    on the remaining upstreams.
    """
    world = call_world.World()
    instance = world.instances[0]
    for number in range(100):
        world.submit(instance, LOOKUP, key=f'{number}')
        while world.dispatches:
            world.refuse(world.dispatches[0])
        world.advance(3.0)
    assert world.kinds['call-dispatched'] <= 100 + 10 + 11


def test_waits_grow_with_an_outage_and_are_spread():
    supervisor = claims.ClaimSupervisor('i', random.Random(1))
    waits = [supervisor.retry_advice.record_failure() for _ in range(40)]
    assert max(waits[:1]) <= 1.5
    assert min(waits[6:]) >= 16.0
    assert max(waits) <= 48.0
    assert len(set(waits)) == len(waits)


def test_queue_refusal_of_a_possible_retry_is_outcome_unknown():
    """An instance refuses a retry of a charge before any claim.

    The first send may be running at another instance.
    """
    world = call_world.World()
    instance = world.instances[0]
    instance.node.lifecycle.stop_requested()
    first = world.submit(instance, CHARGE)
    assert failure_of(first).ran is requests.Ran.NO
    again = world.submit(instance, CHARGE)
    assert failure_of(again).ran is requests.Ran.UNKNOWN


def test_content_tells_operation_and_body_apart():
    request = requests.CallRequest(
        1, identity.RequestId('a', 'k'), 's', 'op', b'body', 9.0
    )
    other = dataclasses.replace(request, operation='opb', body=b'ody')
    assert claims.content_digest(request) != claims.content_digest(other)
