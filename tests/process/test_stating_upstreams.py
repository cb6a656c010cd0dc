"""Real processes: upstreams that say they leave, or ask for rest."""

import time

import pytest

from tests.common import callers
from tests.common import fleet

pytestmark = pytest.mark.slow

STARTUP_SECONDS = 3.0
MANY_CALLS = 30
REST_SECONDS = 4.0
# Callers wait for less than the rest.
CALLER_SECONDS = 2.0


@pytest.fixture
def two_services(tmp_path):
    """Run one instance with two services, and an engine."""
    with fleet.Fleet(tmp_path) as running:
        for name in ('plain-0', 'plain-1'):
            running.start_service(name)
        for name in ('engine-0', 'engine-1'):
            running.start_engine(name)
        running.start_instance('router-0')
        running.configure(running.configuration())
        time.sleep(STARTUP_SECONDS)
        yield running


def call(running, service='lookup'):
    """Make a call; return its answer."""
    [router] = running.instances.values()
    return fleet.ask(
        router.port,
        f'/v1/services/{service}/book',
        {'text': 'x'},
        headers={
            **fleet.bearer(fleet.ACCOUNT_KEY),
            'X-Deadline-Seconds': str(CALLER_SECONDS),
        },
    )


def call_until_stated(running, service):
    """Make calls until a service must have answered one; return arrivals."""
    before = arrivals(service)
    for _ in range(MANY_CALLS):
        assert call(running).status == 200
    assert arrivals(service) == before + 1
    return arrivals(service)


def arrivals(service):
    return fleet.ask(service.port, '/standin/arrivals').json()


@pytest.mark.parametrize(
    'faults', [{'states_leaving': True}, {'rest': str(REST_SECONDS)}]
)
def test_service_that_states_it_gets_one_call_at_most(two_services, faults):
    """Guards against headers that are not read, or not acted on."""
    service = two_services.services['plain-0']
    fleet.ask(service.port, '/standin/faults', faults)
    call_until_stated(two_services, service)


def test_callers_are_told_when_all_services_rest(two_services):
    """Guards against calls that wait in vain, or come back too early."""
    for service in two_services.services.values():
        faults = {'rest': str(REST_SECONDS)}
        fleet.ask(service.port, '/standin/faults', faults)
    assert call(two_services).status == 503
    counts = [arrivals(s) for s in two_services.services.values()]
    assert counts == [1, 1]
    answer = call(two_services)
    assert answer.json()['code'] == 'upstreams-resting'
    wait = float(answer.headers['Retry-After'])
    assert wait >= REST_SECONDS - 1.0
    for service in two_services.services.values():
        fleet.ask(service.port, '/standin/faults', {})
    time.sleep(wait)
    assert call(two_services).status == 200
    assert [arrivals(s) for s in two_services.services.values()] != counts


@pytest.mark.parametrize(
    'faults', [{'states_leaving': True}, {'rest': str(REST_SECONDS)}]
)
def test_engine_that_states_it_gets_no_more_generations(two_services, faults):
    """Guards against statements that only plain services can make."""
    engine = two_services.engines['engine-0']
    [router] = two_services.instances.values()
    fleet.ask(engine.port, '/standin/faults', faults)
    for number in range(MANY_CALLS):
        caller = callers.StreamCaller(f'tell {number}', 2)
        assert list(caller.read(router.port))
        assert caller.error is None
    report = fleet.ask(engine.port, '/v1/report').json()
    assert report['steps'] <= 2
