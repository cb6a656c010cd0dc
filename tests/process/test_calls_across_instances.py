"""Charges across real instances when the store, claimant or service fails."""

import signal
import threading
import time

import pytest

from greengagelb.transport import claim_store
from tests.common import fleet

pytestmark = pytest.mark.slow

CHARGE = '/v1/services/charge/book'


def charge(process, key='k1', **headers):
    extra_headers = {
        name.replace('_', '-'): text for name, text in headers.items()
    }
    sent = (
        fleet.bearer(fleet.ACCOUNT_KEY)
        | {'Idempotency-Key': key}
        | extra_headers
    )
    return fleet.ask(process.port, CHARGE, {'amount': 1}, headers=sent)


def runs_of(running, key='k1'):
    service = running.services['plain-0']
    runs = fleet.ask(service.port, '/standin/runs').json()
    return runs.get(f'teratak/{key}', 0)


def set_faults(process, **faults):
    fleet.ask(process.port, '/standin/faults', faults)


def is_claim_asked_for(platform):
    """Return whether the write of a claim has arrived, answered or not."""
    asked = fleet.ask(platform.port, '/standin/writes').json()
    return claim_store.CLAIM_TABLE in asked


def charge_in_background(process, **headers):
    thread = threading.Thread(
        target=send_and_ignore, args=(process, headers), daemon=True
    )
    thread.start()
    return thread


def send_and_ignore(process, headers):
    """Send a charge whose answer is lost with its instance."""
    try:
        charge(process, **headers)
    except OSError:
        return


def test_charge_runs_once_though_the_store_loses_every_answer(tmp_path):
    """The store executes each write, but its answers are lost.

    The charge must run exactly once, and its retry must get the first answer.
    """
    with fleet.small_fleet(tmp_path, engines=0) as running:
        set_faults(running.platform, lose_write_answers=True)
        first = charge(running.instances['router-0'])
        assert first.status == 200
        retry = fleet.ask_until_known(
            lambda: charge(running.instances['router-1'])
        )
        assert retry.body == first.body
        assert runs_of(running) == 1


def test_killed_claimant_leaves_its_charge_unknown(tmp_path):
    """An instance that has sent a charge to a service dies before the answer.

    The caller's retry reaches the other instance, which can't know the outcome
    of the charge: it must neither run it again nor report that it did not run.
    """
    with fleet.small_fleet(tmp_path, engines=0) as running:
        service = running.services['plain-0']
        set_faults(service, delay_seconds=3.0)
        thread = charge_in_background(running.instances['router-0'])
        fleet.wait_until(lambda: runs_of(running) == 1)
        running.instances['router-0'].send_signal(signal.SIGKILL)
        thread.join(20.0)
        retry = charge(running.instances['router-1'])
        assert retry.json()['ran'] == 'outcome-unknown'
        assert retry.json()['code'] == 'twin-outcome-unknown'
        assert int(retry.headers['Retry-After']) >= 1
        assert runs_of(running) == 1


def test_claimant_resumed_after_the_deadline_abandons_its_charge(tmp_path):
    """An instance is paused during a claim, and resumed after the deadline.

    It must not run a charge that no caller waits for, and the retry must not
    be refused permanently.
    """
    with fleet.small_fleet(tmp_path, engines=0) as running:
        first, other = running.instances.values()
        set_faults(running.platform, delay_seconds=0.6)
        thread = charge_in_background(first, X_Deadline_Seconds='1')
        fleet.wait_until(lambda: is_claim_asked_for(running.platform))
        first.send_signal(signal.SIGSTOP)
        time.sleep(1.5)
        set_faults(running.platform)
        meanwhile = charge(other)
        assert meanwhile.json()['ran'] == 'outcome-unknown'
        assert runs_of(running) == 0
        first.send_signal(signal.SIGCONT)
        fleet.wait_until(lambda: charge(other).status == 200)
        thread.join(20.0)
        assert runs_of(running) == 1


def test_store_outage_is_answered_and_does_not_affect_other_calls(tmp_path):
    """The platform's store is unavailable.

    Lookups continue. A charge gets a final answer, which only says "not run"
    to a caller that has never sent its key before.
    """
    with fleet.small_fleet(tmp_path, engines=0) as running:
        first, other = running.instances.values()
        set_faults(running.platform, outage=True)
        refused = charge(first, X_First_Send='1')
        assert refused.json()['ran'] == 'not-run'
        assert int(refused.headers['Retry-After']) >= 1
        assert charge(other).json()['ran'] == 'outcome-unknown'
        headers = fleet.bearer(fleet.ACCOUNT_KEY)
        lookup = fleet.ask(
            first.port, '/v1/services/lookup/find', {}, headers=headers
        )
        assert lookup.status == 200
        set_faults(running.platform)
        fleet.wait_until(lambda: charge(first).status == 200)
        assert runs_of(running) == 1


def test_lookups_are_answered_while_one_service_is_paused(tmp_path):
    """A plain service's process is paused; its connections stay open.

    Lookups sent to it would otherwise wait until their deadline.
    """
    with fleet.Fleet(tmp_path) as running:
        running.start_service('plain-0')
        running.start_service('plain-1')
        running.start_instance('router-0')
        running.configure(running.configuration())
        running.services['plain-0'].send_signal(signal.SIGSTOP)
        headers = fleet.bearer(fleet.ACCOUNT_KEY)
        port = running.instances['router-0'].port
        for number in range(6):
            path = f'/v1/services/lookup/{number}'
            answer = fleet.ask(port, path, {}, headers=headers)
            assert answer.status == 200
