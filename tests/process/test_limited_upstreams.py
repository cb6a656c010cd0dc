"""Real processes: a service announces a limit, two instances respect it."""

import collections
import concurrent.futures
import time

import pytest

from tests.common import fleet

pytestmark = pytest.mark.slow

LIMIT = 2.0
# By then, instances know each other and have their shares of a limit.
STARTUP_SECONDS = 4.0
LEARN_SECONDS = 3.0
MEASURED_SECONDS = 8.0
CALLERS = 6
CALL_INTERVAL_SECONDS = 0.1


@pytest.fixture
def limited_fleet(tmp_path):
    """Run two instances with one service that announces a limit."""
    with fleet.Fleet(tmp_path) as running:
        service = running.start_service('plain-0')
        running.start_engine('engine-0')
        first = running.start_instance('router-0')
        running.start_instance('router-1', peers=(first,))
        running.configure(running.configuration())
        time.sleep(STARTUP_SECONDS)
        faults = {'limit': str(LIMIT)}
        fleet.ask(service.port, '/standin/faults', faults)
        yield running


def count_runs(running):
    """Return the number of calls that the service has run."""
    [service] = running.services.values()
    counts = fleet.ask(service.port, '/standin/runs').json()
    return sum(counts.values())


def call_until(router, service, until):
    """Send calls repeatedly; return the codes of all answers."""
    codes = collections.Counter()
    while time.monotonic() < until:
        answer = fleet.ask(
            router.port,
            f'/v1/services/{service}/book',
            {'text': 'x'},
            headers=fleet.bearer(fleet.ACCOUNT_KEY),
        )
        code = answer.json().get('code', '') if answer.status >= 400 else ''
        codes[code] += 1
        if code:
            assert float(answer.headers['Retry-After']) > 0.0
        time.sleep(CALL_INTERVAL_SECONDS)
    return codes


@pytest.mark.parametrize('service', ['lookup', 'charge'])
def test_two_instances_share_the_limit_of_a_service(limited_fleet, service):
    """Guards against a limit that is not read, shared or enforced."""
    routers = list(limited_fleet.instances.values())
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        began = time.monotonic()
        until = began + LEARN_SECONDS + MEASURED_SECONDS
        futures = [
            pool.submit(call_until, routers[n % 2], service, until)
            for n in range(CALLERS)
        ]
        time.sleep(LEARN_SECONDS)
        before = count_runs(limited_fleet)
        time.sleep(MEASURED_SECONDS)
        ran = count_runs(limited_fleet) - before
        codes = sum((a.result() for a in futures), collections.Counter())
    assert (
        0.7 * LIMIT * MEASURED_SECONDS
        <= ran
        <= 1.5 * LIMIT * MEASURED_SECONDS + 5
    )
    assert set(codes) <= {'', 'upstreams-limited'}
