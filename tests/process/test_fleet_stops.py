"""All instances are replaced one after another while callers are served."""

import itertools
import signal
import threading

import pytest

from tests.common import callers
from tests.common import fleet
from tests.process import test_fleet_plans as plans

pytestmark = pytest.mark.slow
STREAM_TOKENS = 500
LONG_TOKENS = 2500
STREAM_CALLERS = 6
CHARGE_PAUSE_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 60.0


class Load:
    """Callers behind a balancer, each sending one request after another.

    ``broken_off`` holds answers that broke off, ``refused`` counts those that
    got "not run" from an instance that was stopping.
    """

    def __init__(self, running):
        self.running = running
        self.test_is_over = threading.Event()
        self.lock = threading.Lock()
        self.counter = itertools.count()
        self.complete = 0
        self.broken_off = []
        self.refused = 0
        self.run_counts = []
        self.unknown_outcomes = []

    def ready_port(self):
        """Return the port of an instance that reports that it is ready."""
        while True:
            ports = [p.port for p in list(self.running.instances.values())]
            port = ports[next(self.counter) % len(ports)]
            try:
                if fleet.ask(port, '/readyz').status == 200:
                    return port
            except OSError:
                continue

    def stream_until_over(self):
        """Request drafts until the test is over."""
        while not self.test_is_over.is_set():
            number = next(self.counter)
            caller = callers.StreamCaller(f'draft {number}', STREAM_TOKENS)
            self.stream_once(caller)

    def stream_once(self, caller):
        """Request one draft, and count how it ends."""
        try:
            caller.read_all(self.ready_port())
        except ConnectionRefusedError:
            return
        with self.lock:
            if caller.error is not None and not caller.tokens:
                self.refused += 1
                if caller.error['ran'] != 'not-run':
                    self.broken_off.append(caller)
            elif caller.tokens == caller.right_answer():
                self.complete += 1
            else:
                self.broken_off.append(caller)

    def charge_until_over(self):
        """Send charges until the test is over, and count the runs of each."""
        while not self.test_is_over.is_set():
            key = f'charge-{next(self.counter)}'
            headers = fleet.bearer(fleet.ACCOUNT_KEY) | {
                'Idempotency-Key': key,
                'X-First-Send': '1',
            }
            path = '/v1/services/charge/book'
            # An instance may send the store 40 writes a second.
            self.test_is_over.wait(CHARGE_PAUSE_SECONDS)
            try:
                answer = fleet.ask(
                    self.ready_port(), path, {'amount': 1}, headers=headers
                )
            except ConnectionRefusedError:
                continue
            with self.lock:
                if answer.status == 200:
                    self.run_counts.append(answer.json()['run'])
                elif answer.json()['ran'] != 'not-run':
                    self.unknown_outcomes.append(answer)


def test_rolling_restart_under_load_interrupts_no_answer(tmp_path):
    """The platform replaces all instances, one after another.

    Guests' drafts and owners' charges continue meanwhile, and one long digest
    is streamed by the first instance while the others are replaced. No answer
    breaks off, and no owner is charged twice.
    """
    with fleet.small_fleet(tmp_path, engines=3, instances=3) as running:
        load = Load(running)
        digest_caller = callers.StreamCaller('digest', LONG_TOKENS)
        first = running.instances['router-0'].port
        threads = [
            threading.Thread(target=digest_caller.read_all, args=(first,))
        ]
        threads += [
            threading.Thread(target=load.stream_until_over)
            for _ in range(STREAM_CALLERS)
        ]
        threads.append(threading.Thread(target=load.charge_until_over))
        for thread in threads:
            thread.start()
        fleet.wait_until(
            lambda: load.complete >= STREAM_CALLERS and digest_caller.tokens
        )
        for number in range(3):
            old = running.instances[f'router-{number}']
            new = running.start_instance(f'router-{number + 3}')
            running.wait_for_all()
            fleet.wait_until(
                lambda p=new: fleet.ask(p.port, '/readyz').status == 200
            )
            del running.instances[f'router-{number}']
            old.send_signal(signal.SIGTERM)
            assert old.popen.wait(timeout=STOP_TIMEOUT_SECONDS) == 0
        load.test_is_over.set()
        for thread in threads:
            thread.join()
        assert digest_caller.tokens == digest_caller.right_answer()
        assert load.broken_off == []
        assert load.unknown_outcomes == []
        assert load.complete > 2 * STREAM_CALLERS
        assert load.run_counts
        assert set(load.run_counts) == {1}


def test_engine_drain_interrupts_no_answer(tmp_path):
    """An operator drains an engine in the middle of long drafts."""
    with fleet.small_fleet(tmp_path) as running:
        router = running.instances['router-0']
        readers = [callers.StreamCaller(f'{n}', 1500) for n in range(4)]
        threads = [
            threading.Thread(target=reader.read_all, args=(router.port,))
            for reader in readers
        ]
        for thread in threads:
            thread.start()
        fleet.wait_until(lambda: all(reader.tokens for reader in readers))
        drain = {'type': 'drain-upstream', 'upstream': 'engine-0'}
        plan_id = plans.propose(router, drain)
        assert plans.confirm(router, plan_id).status == 200
        drained = running.engines['engine-0'].port
        for thread in threads:
            thread.join()
        for reader in readers:
            assert reader.tokens == reader.right_answer()
        before = fleet.ask(drained, '/v1/report').json()['steps']
        more = callers.StreamCaller('after', 100)
        more.read_all(router.port)
        assert more.finish_reason == 'length'
        after = fleet.ask(drained, '/v1/report').json()['steps']
        assert after == before
