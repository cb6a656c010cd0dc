"""Plans are confirmed on real instances while the store has faults."""

import concurrent.futures
import signal
import time

import pytest

from tests.common import fleet

pytestmark = pytest.mark.slow
HEADERS = fleet.bearer(fleet.OPERATOR_KEY)


def propose(process, intent):
    found = fleet.ask(
        process.operator_port, '/v1/plans', intent, headers=HEADERS
    )
    assert found.status == 200, found.body
    return found.json()['plan_id']


def confirm(process, plan_id):
    return fleet.ask(
        process.operator_port,
        f'/v1/plans/{plan_id}/confirm',
        method='POST',
        headers=HEADERS,
    )


def stage(process, plan_id):
    found = fleet.ask(
        process.operator_port, f'/v1/plans/{plan_id}', headers=HEADERS
    )
    return found.json()['stage']


def set_faults(running, **faults):
    fleet.ask(running.platform.port, '/standin/faults', faults)


def test_concurrent_confirmations_have_one_winner_known_to_all(tmp_path):
    """Eight operators confirm plans on one version at two instances at once.

    Meanwhile the store executes writes but loses the answers. Each operator
    that gets a conflict also learns which plan won and what it changed.
    """
    with fleet.small_fleet(tmp_path) as running:
        routers = list(running.instances.values())
        drain = {'type': 'drain-upstream', 'upstream': 'engine-0'}
        plans = [propose(routers[n % 2], drain) for n in range(8)]
        set_faults(running, lose_write_answers=True)
        with concurrent.futures.ThreadPoolExecutor(16) as threads:
            answers = list(
                threads.map(
                    lambda n: confirm(routers[n % 2], plans[n // 2]),
                    range(16),
                )
            )
        set_faults(running)
        winning_numbers = [
            n // 2 for n, a in enumerate(answers) if a.status == 200
        ]
        assert len(set(winning_numbers)) == 1
        winner = plans[winning_numbers[0]]
        for answer in answers:
            if answer.status != 200:
                assert answer.status == 409
                assert answer.json()['code'] == 'version-conflict'
                assert answer.json()['changes'][0]['plan_id'] == winner
        for plan_id in plans:
            expected = 'confirmed' if plan_id == winner else 'overtaken'
            assert stage(routers[1], plan_id) == expected
        assert confirm(routers[1], winner).status == 200


def test_confirm_at_a_slow_store_is_unsettled_and_resolved_later(tmp_path):
    """The store takes longer than an instance's timeout.

    The operator is told that the outcome is unknown, never that nothing
    changed, and reads the plan again once the store has recovered.
    """
    with fleet.small_fleet(tmp_path) as running:
        router = running.instances['router-0']
        drain = {'type': 'drain-upstream', 'upstream': 'engine-0'}
        plan_id = propose(router, drain)
        set_faults(running, delay_seconds=1.3)
        answer = confirm(router, plan_id)
        assert answer.status == 503
        assert answer.json()['ran'] != 'ran'
        set_faults(running)
        assert confirm(router, plan_id).status == 200
        assert stage(router, plan_id) == 'confirmed'


def test_operator_is_told_when_to_retry_after_a_late_store_start(
    tmp_path,
):
    """The platform starts seconds after the instances.

    Their circuit breakers are open by then, so an operator gets no plan for a
    moment although everything runs. The answer must say that nothing has
    changed, and when to retry; the retry gets the plan.
    """
    with fleet.Fleet(tmp_path) as running:
        running.platform.send_signal(signal.SIGSTOP)
        running.start_engine('engine-0')
        running.start_service('plain-0')
        router = running.start_instance('router-0')
        fleet.wait_until(lambda: fleet.listens(router.operator_port))
        first = fleet.ask(
            router.operator_port,
            '/v1/plans',
            running.replacement(),
            headers=HEADERS,
        )
        running.platform.send_signal(signal.SIGCONT)
        assert first.status == 503, first.body
        assert first.json()['ran'] == 'not-run'
        assert 1 <= int(first.headers['Retry-After']) <= 2
        running.configure(running.configuration())


def test_plan_can_be_made_after_a_store_pause(tmp_path):
    """The platform is paused for some seconds and resumed."""
    with fleet.small_fleet(tmp_path, engines=1, instances=1) as running:
        running.platform.send_signal(signal.SIGSTOP)
        time.sleep(6.5)
        running.platform.send_signal(signal.SIGCONT)
        running.configure(running.configuration())
