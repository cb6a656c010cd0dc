"""Limits of one account over all instances of a data centre."""

import random

import hypothesis
from hypothesis import strategies

from greengagelb.coordination import events
from greengagelb.coordination.sharing import admission
from greengagelb.coordination.sharing import rates
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.state import streams as stream_state
from tests.common import loaded_node


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.integers(1, 200), strategies.integers(1, 100))
def test_limit_over_all_instances_exceeds_by_rounding_only(limit, instances):
    control = admission.AdmissionControl(random.Random(1))
    control.set_instance_count(instances)
    account = loaded_node.account('a', most_running=limit)
    total = instances * control.max_running(account)
    assert total <= max(limit, instances)


def test_smaller_fleet_lets_waiting_requests_start():
    """Half of the instances are replaced.

    The others must take over their part of the account's limit. Otherwise the
    account gets less than its limit while engines are free.
    """
    node = loaded_node.new_node(
        [loaded_node.account('a', most_running=4)], slots=8
    )
    node.handle(events.FleetSizeChanged(4), 1.0)
    node.handle(loaded_node.draft(1, 'a'), 1.0)
    done = node.handle(loaded_node.draft(2, 'a'), 1.0)
    assert not loaded_node.started(done)
    done = node.handle(events.FleetSizeChanged(2), 2.0)
    assert loaded_node.started(done) == ['r2']


def test_account_over_its_rate_is_refused_and_others_are_not():
    """One account sends far more than its rate.

    It is told at once that its request did not run and when to come back; the
    other account is not affected.
    """
    node = loaded_node.new_node(
        [
            loaded_node.account('a', tokens_per_second=10.0),
            loaded_node.account('b'),
        ],
        slots=8,
    )
    first = node.handle(loaded_node.draft(1, 'a', tokens=200), 1.0)
    assert loaded_node.started(first) == ['r1']
    failure = loaded_node.failures(
        node.handle(loaded_node.draft(2, 'a'), 1.0)
    )[2]
    assert failure.code == 'account-rate-exceeded'
    assert failure.ran is requests.Ran.NO
    assert failure.retry_after >= 10.0
    other = node.handle(loaded_node.draft(3, 'b'), 1.0)
    assert loaded_node.started(other) == ['r3']
    later = node.handle(loaded_node.draft(4, 'a'), 12.0)
    assert loaded_node.started(later) == ['r4']


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 2), strategies.floats(0.5, 100)
        ),
        max_size=50,
    )
)
def test_bucket_overshoots_by_one_request_at_most(steps):
    bucket = rates.CostBucket(20.0, 0.0)
    now = taken = 0.0
    for wait, cost in steps:
        now += wait
        if bucket.take(cost, 5.0, 20.0, now) is None:
            taken += cost
        assert taken <= 20.0 + 5.0 * now + 100 + 1e-6


def test_repeated_resumes_use_up_the_account_budget():
    """A broken client drops its stream and resumes at once, in a loop.

    Each resume costs an engine the prompt again. Beyond its budget the account
    is refused, so that others keep the engines.
    """
    node = loaded_node.new_node(
        [loaded_node.account('a', resume_budget=3)], slots=64
    )
    codes = []
    for exchange in range(6):
        submitted = loaded_node.draft(exchange, 'a').request
        point = requests.ResumePoint(
            submitted.request,
            1,
            'old.1',
            identity.EngineId('gone', ''),
            0,
            bytes(16),
            'm',
            '1',
            '',
            stream_state.hash_request(submitted),
        )
        event = events.GenerationResumed(submitted, point, ())
        done = node.handle(event, 1.0)
        codes += [f.code for f in loaded_node.failures(done).values()]
    assert codes == ['resume-budget-spent'] * 3
