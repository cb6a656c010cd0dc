"""Streams of services of both kinds while engines fail, pause and refuse."""

import collections
import random
import signal
import threading
import time

import pytest

from tests.common import callers
from tests.common import fleet

pytestmark = pytest.mark.slow

SEED = 56
ENGINES = 3
THREADS = 8
PLAY_SECONDS = 12.0
FAULT_INTERVAL_SECONDS = 0.4
# Shorter than the silence after which an engine seems to have ended.
PAUSE_SECONDS = 0.3
TOKENS = 30
# Service and error code of answers without which the run has shown nothing.
EXPECTED_ANSWERS = (('draft', ''), ('once', ''), ('once', 'outcome-unknown'))
FAULTS = (
    {'fails': True},
    {'fails': True},
    {'refuse': True},
    {'silent': True},
    {},
)


@pytest.fixture
def failing_fleet(tmp_path):
    """Run a fleet with a service whose generations may run once only."""
    with fleet.Fleet(tmp_path) as running:
        for number in range(ENGINES):
            running.start_engine(f'engine-{number}')
        running.start_service('plain-0')
        for number in range(2):
            running.start_instance(f'router-{number}')
        wanted = running.configuration()
        once = {'name': 'once', 'kind': 'generation', 'pool': 'drafting'}
        wanted['services'].append(once | {'idempotent': False})
        wanted['accounts'][0]['services'].append('once')
        running.configure(wanted)
        yield running


class Play:
    """Callers that ask one after the other, and what they were answered."""

    def __init__(self, running):
        self.ports = [each.port for each in running.instances.values()]
        self.until = time.monotonic() + PLAY_SECONDS
        self.asked = []
        self.threads = [
            threading.Thread(target=self.ask_until_end, args=(number,))
            for number in range(THREADS)
        ]
        for thread in self.threads:
            thread.start()

    def ask_until_end(self, number):
        rng = random.Random(f'{SEED} {number}')
        count = 0
        while time.monotonic() < self.until:
            count += 1
            service = rng.choice(('draft', 'once'))
            caller = callers.StreamCaller(
                f'{number}.{count}', TOKENS, service=service
            )
            self.asked.append(caller)
            caller.read_all(rng.choice(self.ports))

    def join(self):
        for thread in self.threads:
            thread.join()


def harm_engines(running, until):
    """Change what one engine after the other does, and pause some."""
    rng = random.Random(SEED)
    engines = list(running.engines.values())
    while time.monotonic() < until:
        engine = rng.choice(engines)
        faults = rng.choice(FAULTS)
        assert fleet.ask(engine.port, '/standin/faults', faults).status == 200
        if rng.random() < 0.3:
            engine.send_signal(signal.SIGSTOP)
            time.sleep(PAUSE_SECONDS)
            engine.send_signal(signal.SIGCONT)
        time.sleep(FAULT_INTERVAL_SECONDS)


def test_engines_that_fail_after_a_run_make_none_repeat(failing_fleet):
    """Guards against second runs, and "not run" for what has run.

    Engines fail after a run, refuse, pause or go silent, one after the other.
    """
    play = Play(failing_fleet)
    harm_engines(failing_fleet, play.until)
    for engine in failing_fleet.engines.values():
        fleet.ask(engine.port, '/standin/faults', {})
    play.join()
    starts = collections.Counter()
    for engine in failing_fleet.engines.values():
        starts.update(fleet.ask(engine.port, '/standin/starts').json())
    codes = collections.Counter()
    for caller in play.asked:
        runs = starts[f'user: {caller.prompt}']
        told = caller.error or {'code': '', 'ran': ''}
        codes[caller.service, told['code']] += 1
        assert caller.tokens == caller.right_answer()[: len(caller.tokens)]
        assert caller.error or len(caller.tokens) == TOKENS
        if caller.service == 'once':
            assert runs <= 1, (caller, runs)
        if told['ran'] == 'not-run':
            assert not runs, (caller, runs)
    assert all(codes[answer] for answer in EXPECTED_ANSWERS), codes
