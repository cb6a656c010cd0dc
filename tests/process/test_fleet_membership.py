"""Instances share with peers what the platform doesn't tell all of them."""

import json

import pytest
import zmq

from tests.common import fleet

pytestmark = pytest.mark.slow
HEADERS = fleet.bearer(fleet.OPERATOR_KEY)


def status(process):
    found = fleet.ask(process.operator_port, '/v1/status', headers=HEADERS)
    return found.json()


def show_instances(running, *processes, more=()):
    rows = [
        {
            'name': name,
            'host': fleet.HOST,
            'caller_port': process.port,
            'operator_port': process.operator_port,
            'peer_port': process.peer_port,
            'data_centre': 'kl-1',
            'incarnation': status(process)['incarnation'],
        }
        for name, process in running.instances.items()
        if process in processes
    ]
    fleet.ask(
        running.platform.port,
        '/standin/instances',
        [*rows, *more],
        method='PUT',
    )


def list_all_instances(running):
    routers = list(running.instances.values())
    show_instances(running, *routers)
    for router in routers:
        fleet.wait_until(
            lambda r=router: (
                status(r)['in_force_on'] == len(routers)
                and len(status(r)['instances']) == len(routers) - 1
            )
        )


def set_faults(running, **faults):
    fleet.ask(running.platform.port, '/standin/faults', faults)


def test_instance_started_in_an_outage_gets_its_configuration_from_a_peer(
    tmp_path,
):
    """The store is down and the platform replaces an instance.

    The new one gets the configuration from an instance listed in its settings,
    and serves. One without either reports that it is not ready, and gets no
    callers.
    """
    with fleet.small_fleet(tmp_path) as running:
        list_all_instances(running)
        first = running.instances['router-0']
        set_faults(running, outage=True)
        seeded = running.start_instance('router-8', peers=[first])
        unseeded = running.start_instance('router-9')
        running.wait_for_all()
        fleet.wait_until(
            lambda: fleet.ask(seeded.port, '/readyz').status == 200
        )
        assert status(seeded)['configuration_version'] == 1
        fleet.wait_until(lambda: status(first)['in_force_on'] == 3)
        assert fleet.ask(unseeded.port, '/readyz').status == 503
        assert status(unseeded)['configuration_version'] == 0


def start_isolated_instance(running):
    isolated = running.start_instance(
        'router-cut',
        peers=[running.instances['router-0']],
        platform_port=fleet.free_port(),
    )
    running.wait_for_all()
    fleet.wait_until(lambda: status(isolated)['configuration_version'] == 1)
    return isolated


def test_confirmed_plan_reaches_an_instance_isolated_from_the_platform(
    tmp_path,
):
    """One instance can't reach the platform, the others can.

    It learns of the new version from its peers and applies it; the operator
    sees it in force on all instances.
    """
    with fleet.small_fleet(tmp_path) as running:
        isolated = start_isolated_instance(running)
        running.configure(running.configuration())
        fleet.wait_until(
            lambda: status(isolated)['configuration_version'] == 2
        )
        router = running.instances['router-0']
        fleet.wait_until(lambda: status(router)['missing'] == [])
        assert status(router)['in_force_on'] >= 2


def test_leaving_upstream_gets_no_new_requests_from_any_instance(tmp_path):
    """The platform's list shows an engine as leaving to one instance only.

    The engine itself does not know yet. The other instance, which can't reach
    the platform, must not send it requests either.
    """
    with fleet.small_fleet(tmp_path) as running:
        isolated = start_isolated_instance(running)
        engine = running.engines['engine-0']
        report = fleet.ask(engine.port, '/v1/report').json()
        entry = {
            'name': 'engine-0',
            'host': fleet.HOST,
            'caller_port': 0,
            'operator_port': 0,
            'peer_port': 0,
            'data_centre': 'kl-1',
            'incarnation': report['incarnation'],
            'state': 'leaving',
        }
        show_instances(running, more=[entry])
        for process in (running.instances['router-0'], isolated):
            fleet.wait_until(
                lambda p=process: (
                    status(p)['leaving_upstreams'] == ['engine-0']
                )
            )


def test_instances_all_restarted_in_an_outage_are_not_ready(tmp_path):
    """All instances restart while the store is down.

    None has a configuration. A guess could restore one that operators have
    replaced, so all report that they are not ready until the store is back.
    """
    with fleet.small_fleet(tmp_path) as running:
        set_faults(running, outage=True)
        old = list(running.instances.values())
        for process in old:
            process.popen.kill()
            process.popen.wait()
        first = running.start_instance('router-0')
        second = running.start_instance('router-1', peers=[first])
        for process in (first, second):
            fleet.wait_until(lambda p=process: fleet.listens(p.port))
            assert fleet.ask(process.port, '/readyz').status == 503
        set_faults(running)
        for process in (first, second):
            fleet.wait_until(
                lambda p=process: fleet.ask(p.port, '/readyz').status == 200
            )


def test_unauthenticated_peer_message_is_dropped(tmp_path):
    """A process that can reach the peer port sends its own messages."""
    with fleet.small_fleet(tmp_path, instances=1) as running:
        router = running.instances['router-0']
        with zmq.Context() as context, context.socket(zmq.DEALER) as client:
            client.connect(f'tcp://{fleet.HOST}:{router.peer_port}')
            client.send(json.dumps({'version': 99}).encode())
            client.send(b'x' * 100)
            fleet.wait_until(lambda: count_dropped_messages(router) >= 2)
        assert status(router)['configuration_version'] == 1
        assert status(router)['instances'] == []


def count_dropped_messages(process):
    found = fleet.ask(process.operator_port, '/v1/timeline', headers=HEADERS)
    kinds = [event['kind'] for event in found.json()['events']]
    return kinds.count('peer-message-dropped')
