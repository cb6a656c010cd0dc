"""Log entries and metrics about request limits that engines announce."""

import pytest

from greengagelb.coordination import actions as common_actions
from greengagelb.coordination import events
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state import identity
from greengagelb.state import limits
from greengagelb.transport import metrics
from tests.common import loaded_node
from tests.common import relay_world


def reasons(world, kind):
    """Return the reasons of all time line events of a kind."""
    records = world.of_kind(common_actions.Record)
    return [record.reason for record in records if record.kind == kind]


def single_instance_world():
    """Return a world with a single instance and one engine."""
    world = relay_world.RelayWorld([relay_world.fleet()[-1]])
    world.handle(relay_events.MembersListed(()))
    world.advance(4.0)
    return world


def test_limit_is_recorded_once_until_it_changes():
    """Guards against a log that omits since when a limit was known."""
    world = single_instance_world()
    for rate in (2.1, 2.1, 4.0, None):
        exchange = world.call()
        world.now += 1.0
        send = world.last_send(exchange)
        world.answer(send, limit=rate)
        world.now += 1.0
    assert reasons(world, 'engine-limit') == [
        '2.1 a second, version 1',
        '4 a second, version 2',
        'lifted, version 3',
    ]


def test_send_records_the_known_limit_and_its_age():
    """Guards against sends whose reason the log does not show."""
    world = single_instance_world()
    first = world.last_send(world.call())
    world.now += 0.5
    world.answer(first, limit=2.5)
    world.now += 4.0
    world.call()
    world.advance(4.0)
    told = reasons(world, 'sent')
    assert 'limit' not in told[0]
    assert 'limit 2.5 known for 4' in told[1]


@pytest.mark.parametrize('kind', ['stream', 'refused', 'error'])
def test_limit_is_read_from_each_kind_of_answer(kind):
    """Guards against ignored limits in refusals, errors or stream headers."""
    world = relay_world.RelayWorld()
    exchange = world.ask() if kind == 'stream' else world.query()
    send = world.last_send(exchange)
    world.now += 0.1
    match kind:
        case 'stream':
            world.begin(send, limit=3.0)
        case 'refused':
            world.answer(send, b'', status=503, not_run=True, limit=3.0)
        case 'error':
            world.answer(send, b'', status=500, limit=3.0)
    assert reasons(world, 'engine-limit') == ['3 a second, version 1']


def test_invalid_limit_is_recorded_and_ignored():
    """Guards against a bad header that drops the answer or the last limit."""
    world = single_instance_world()
    first = world.last_send(world.call())
    world.answer(first, limit=2.5)
    world.advance(4.0)
    world.call()
    world.advance(0.1)
    world.answer(world.sends()[-1], limit=limits.UnusableLimit('-1'))
    assert reasons(world, 'engine-limit-refused') == ['limit-unusable: -1']
    life = first.engine.life
    assert world.relay.keeper.table.rate_of(life) == 2.5
    assert len(world.answered()) == 2


def test_limits_of_the_native_interface_are_recorded():
    """Guards against limits that are only recorded for one interface."""
    said = limits.UpstreamAdvertisement(2.5, 'life-1')
    node = loaded_node.new_node([loaded_node.account('one')], engines=1)
    done = node.handle(loaded_node.draft(1, 'one'), 0.0)
    [start] = loaded_node.only(common_actions.StartAttempt, done)
    accepted = events.AttemptAccepted(start.attempt, said)
    done = node.handle(accepted, 1.0)
    [told] = loaded_node.only(common_actions.Record, done)
    assert (told.kind, told.reason) == (
        'engine-limit',
        '2.5 a second, version 1',
    )
    assert node.limits.rate('e0') == 2.5
    report = events.UpstreamReported(
        identity.EngineId('e0', 'life-2'), 'm', '1', '', 0, 0, 0.0, False
    )
    node.handle(report, 2.0)
    assert node.limits.rate('e0') is None


def test_metrics_show_limits_and_held_requests():
    """Guards against limits whose use and cost are not visible."""
    world = single_instance_world()
    first = world.last_send(world.call())
    world.now += 0.5
    world.answer(first, limit=20.0)
    world.advance(4.0)
    for _ in range(60):
        world.call()
    shown = world.relay.keeper.figures()
    assert (shown.in_force, shown.rate) == (1, 20.0)
    assert shown.held > 0
    world.advance(10.0)
    shown = world.relay.keeper.figures()
    assert shown.granted > 0
    assert shown.denied > 0
    assert shown.held == 0
    found = metrics.Metrics()
    found.sample = lambda: metrics.Sample(limits=shown)
    page = found.render().decode()
    assert 'greengagelb_engine_limits 1' in page
    assert 'greengagelb_engine_limit_rate 20.0' in page
    assert 'greengagelb_held_requests 0' in page
    assert f'greengagelb_permits{{outcome="denied"}} {shown.denied}' in page
