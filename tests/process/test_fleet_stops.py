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
WORKERS = 6
CHARGE_PAUSE_SECONDS = 0.05
STOPPING_SECONDS = 60.0


class Load:
    """Callers behind a balancer, each with one request after the other.

    ``cut`` counts answers that broke off, ``refused`` those that were told
    "not run" by an instance that had begun to stop.
    """

    def __init__(self, running):
        self.running = running
        self.over = threading.Event()
        self.lock = threading.Lock()
        self.turns = itertools.count()
        self.whole = 0
        self.cut = []
        self.refused = 0
        self.charged = []
        self.unclear = []

    def ready_port(self):
        """Return the port of an instance that says it is ready."""
        while True:
            ports = [p.port for p in list(self.running.instances.values())]
            port = ports[next(self.turns) % len(ports)]
            try:
                if fleet.ask(port, '/readyz').status == 200:
                    return port
            except OSError:
                continue

    def stream_on(self):
        """Ask for drafts until the test is over."""
        while not self.over.is_set():
            number = next(self.turns)
            caller = callers.StreamCaller(f'draft {number}', STREAM_TOKENS)
            self.stream(caller)

    def stream(self, caller):
        """Ask for one draft, and see how it ends."""
        try:
            caller.read_all(self.ready_port())
        except ConnectionRefusedError:
            return
        with self.lock:
            if caller.error is not None and not caller.tokens:
                self.refused += 1
                if caller.error['ran'] != 'not-run':
                    self.cut.append(caller)
            elif caller.tokens == caller.right_answer():
                self.whole += 1
            else:
                self.cut.append(caller)

    def charge_on(self):
        """Charge until the test is over, and note how often each one ran."""
        while not self.over.is_set():
            key = f'charge-{next(self.turns)}'
            headers = fleet.bearer(fleet.ACCOUNT_KEY) | {
                'Idempotency-Key': key,
                'X-First-Send': '1',
            }
            path = '/v1/services/charge/book'
            # The store's budget of an instance is 40 writes a second.
            self.over.wait(CHARGE_PAUSE_SECONDS)
            try:
                answer = fleet.ask(
                    self.ready_port(), path, {'amount': 1}, headers=headers
                )
            except ConnectionRefusedError:
                continue
            with self.lock:
                if answer.status == 200:
                    self.charged.append(answer.json()['run'])
                elif answer.json()['ran'] != 'not-run':
                    self.unclear.append(answer)


def test_rolling_restart_under_load_interrupts_no_answer(tmp_path):
    """The platform replaces all instances, one after the other.

    Guests' drafts and owners' charges go on meanwhile, and one long digest
    is under way at the first instance for as long as the others are
    replaced. Nobody's answer breaks off, and no owner is charged twice.
    """
    with fleet.small_fleet(tmp_path, engines=3, instances=3) as running:
        load = Load(running)
        long = callers.StreamCaller('digest', LONG_TOKENS)
        first = running.instances['router-0'].port
        threads = [threading.Thread(target=long.read_all, args=(first,))]
        threads += [
            threading.Thread(target=load.stream_on) for _ in range(WORKERS)
        ]
        threads.append(threading.Thread(target=load.charge_on))
        for thread in threads:
            thread.start()
        fleet.wait_until(lambda: load.whole >= WORKERS and long.tokens)
        for number in range(3):
            old = running.instances[f'router-{number}']
            new = running.instance(f'router-{number + 3}')
            running.wait_for_all()
            fleet.wait_until(
                lambda p=new: fleet.ask(p.port, '/readyz').status == 200
            )
            del running.instances[f'router-{number}']
            old.send_signal(signal.SIGTERM)
            assert old.popen.wait(timeout=STOPPING_SECONDS) == 0
        load.over.set()
        for thread in threads:
            thread.join()
        assert long.tokens == long.right_answer()
        assert load.cut == []
        assert load.unclear == []
        assert load.whole > 2 * WORKERS
        assert load.charged
        assert set(load.charged) == {1}


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
