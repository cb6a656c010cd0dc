"""A confirmed change of version is carried out on real engines."""

import threading

import pytest

from tests.common import callers
from tests.common import fleet
from tests.process import test_fleet_plans as plans

pytestmark = pytest.mark.slow
ROLLOUT_SECONDS = 120.0


def versions(running):
    return {
        fleet.ask(engine.port, '/v1/report').json()['version']
        for engine in running.engines.values()
    }


def test_rollout_interrupts_no_stream_and_reaches_a_restarted_engine(tmp_path):
    """An operator changes a pool's version while drafts are streamed.

    Each draft ends on the version that it began with. Then an engine dies and
    restarts with the old version from its start script.
    """
    with fleet.small_fleet(tmp_path) as running:
        routers = list(running.instances.values())
        readers = [callers.StreamCaller(f'draft {n}', 2500) for n in range(4)]
        threads = [
            threading.Thread(
                target=reader.read_all, args=(routers[n % 2].port,)
            )
            for n, reader in enumerate(readers)
        ]
        for thread in threads:
            thread.start()
        change = {
            'type': 'change-model',
            'pool': 'drafting',
            'model': 'm',
            'version': '2',
        }
        plan_id = plans.propose(routers[0], change)
        assert plans.confirm(routers[0], plan_id).status == 200
        fleet.wait_until(lambda: versions(running) == {'2'}, ROLLOUT_SECONDS)
        for thread in threads:
            thread.join()
        for reader in readers:
            assert reader.finish_reason == 'length'
            assert reader.tokens == reader.right_answer()
        port = running.engines['engine-0'].port
        running.terminate_process(running.engines['engine-0'].popen)
        words = ['stand-in', 'engine', f'--port={port}', '--name=engine-0']
        running.engines['engine-0'] = running.start_process(
            'again', words, [port]
        )
        fleet.wait_until(lambda: fleet.listens(port))
        fleet.wait_until(lambda: versions(running) == {'2'}, ROLLOUT_SECONDS)
