"""All processes together, without and with one failure."""

import signal

import pytest

from tests.common import callers
from tests.common import fleet

pytestmark = pytest.mark.slow


def charge(port, key, operation='book', account_key=fleet.ACCOUNT_KEY):
    headers = fleet.bearer(account_key) | {'Idempotency-Key': key}
    path = f'/v1/services/charge/{operation}'
    return fleet.ask(port, path, {'amount': 1}, headers=headers)


def test_streamed_draft_and_charge_are_served_end_to_end(tmp_path):
    with fleet.small_fleet(tmp_path) as running:
        port = running.instances['router-0'].port
        caller = callers.StreamCaller('hello', 50)
        caller.read_all(port)
        assert caller.tokens == caller.right_answer()
        assert caller.finish_reason == 'length'
        answer = charge(port, 'k1')
        assert answer.status == 200
        assert answer.json()['run'] == 1


def test_retry_at_another_instance_gets_the_first_answer(tmp_path):
    """The caller's connection breaks after its charge has run.

    It sends the charge again and reaches another instance. Without a claim the
    owner would be charged twice. The outcome is written after the answer is
    sent, so the retry may arrive before it is known.
    """
    with fleet.small_fleet(tmp_path) as running:
        first = charge(running.instances['router-0'].port, 'k1')
        second = fleet.ask_until_known(
            lambda: charge(running.instances['router-1'].port, 'k1')
        )
        assert first.body == second.body
        assert second.json()['run'] == 1
        other = charge(
            running.instances['router-1'].port,
            'k1',
            account_key=fleet.OTHER_KEY,
        )
        assert other.json()['run'] == 1


def test_stream_resumes_after_its_instance_is_killed(tmp_path):
    """The instance that serves a draft is killed.

    The caller's connection breaks. Through the balancer it reaches the other
    instance, with its cursor and the tokens received, and resumes the stream.
    """
    with fleet.small_fleet(tmp_path) as running:
        router = running.instances['router-0']
        caller = callers.StreamCaller('hello', 400)
        for _ in caller.read(router.port):
            if len(caller.tokens) > 50:
                router.send_signal(signal.SIGKILL)
        assert 50 < len(caller.tokens) < 400
        caller.read_all(running.instances['router-1'].port)
        assert caller.tokens == caller.right_answer()
        assert caller.finish_reason == 'length'


def test_stream_resumes_after_instance_and_engine_are_killed(tmp_path):
    """The data centre loses the instance and the engine at the same time."""
    with fleet.small_fleet(tmp_path) as running:
        router = running.instances['router-0']
        caller = callers.StreamCaller('hello', 400)
        killed = False
        for _ in caller.read(router.port):
            if len(caller.tokens) > 50 and not killed:
                killed = True
                name = running.busy_engine()
                running.engines[name].send_signal(signal.SIGKILL)
                router.send_signal(signal.SIGKILL)
        caller.read_all(running.instances['router-1'].port)
        assert caller.tokens == caller.right_answer()


def test_stream_continues_after_its_engine_is_killed(tmp_path):
    """The engine dies while the caller's connection stays open."""
    with fleet.small_fleet(tmp_path) as running:
        caller = callers.StreamCaller('hello', 400)
        caller.read_and_act(
            running.instances['router-0'].port,
            lambda: running.engines[running.busy_engine()].kill(),
        )
        assert caller.tokens == caller.right_answer()
        assert caller.finish_reason == 'length'


def test_stop_request_interrupts_no_stream(tmp_path):
    """An instance is replaced while it streams a draft."""
    with fleet.small_fleet(tmp_path) as running:
        router = running.instances['router-0']
        caller = callers.StreamCaller('hello', 300)
        caller.read_and_act(
            router.port, lambda: router.send_signal(signal.SIGTERM), at=0
        )
        assert caller.tokens == caller.right_answer()
        assert router.popen.wait(timeout=10) == 0
