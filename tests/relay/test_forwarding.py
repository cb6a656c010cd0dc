"""Connections to engines through other instances, and what holds on them."""

import h11
import pytest
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from greengagelb.coordination.relay.forwarding import events
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay.forwarding import forwarded_connection
from greengagelb.transport.relay.forwarding import forwarding_port
from tests.common import linked_fleet
from tests.common import relay_wires
from tests.common import relay_world
from tests.common import simulated_network

Cut = simulated_network.Cut
CALLS = ['call-north', 'call-south', 'call-west']
PATHS = (b'/booking/1', b'/queries/1')


def cut_fleet(mode=Cut.SILENT, **fields):
    """Return a fleet whose first instance knows that its links are lost."""
    fleet = linked_fleet.LinkedFleet(**fields)
    fleet.cut(0, mode)
    fleet.ask_for(1.0, [0], [*PATHS, b'/drafts/1'])
    assert fleet.instances[0].relay.paths.lost_services
    return fleet


class Client(protocol.Protocol):
    """Sends bytes to a port; keeps what comes back."""

    def __init__(self, sent):
        self.sent = sent
        self.received = b''
        self.is_closed = False

    def connectionMade(self):
        self.transport.write(self.sent)

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason=protocol.connectionDone):
        self.is_closed = True


def order_connection(fleet, number, entry, host='10.0.0.1', method=b'CONNECT'):
    """Ask an instance for a connection to an engine, as another host."""
    raw = (
        b'%s %s HTTP/1.1\r\nHost: e\r\nEngine: %s\r\nEngine-Start: 0\r\n\r\n'
        % (method, str(entry.address).encode(), entry.engine.encode())
    )
    client = Client(raw)
    opener = simulated_network.Opener(client)
    source = simulated_network.Host(fleet.network, host)
    target = fleet.instances[number].own.host
    source.connectTCP(target, linked_fleet.PEER_PORT, opener)
    fleet.network.advance(0.5)
    return client


def test_crashed_engine_is_not_taken_for_a_lost_link():
    """Guards against engines that are kept in use after they have ended."""
    fleet = linked_fleet.LinkedFleet()
    fleet.engines['call-north'].crash()
    asked = fleet.ask_for(2.0, [0, 1, 2], PATHS)
    fleet.network.advance(1.0)
    assert linked_fleet.served_share(asked) == 1.0
    for number in range(3):
        assert not fleet.instances[number].relay.paths.lost_paths
    assert fleet.instances[0].relay.engines.states['call-north'].failures


def test_service_whose_engines_all_crashed_is_refused_at_once():
    """Guards against callers that wait for links that are not lost."""
    fleet = linked_fleet.LinkedFleet()
    for name in CALLS:
        fleet.engines[name].crash()
    asked = fleet.ask_for(1.0, [0, 1, 2], PATHS)
    fleet.network.advance(1.0)
    assert {a.status for a in asked} == {503}
    assert max(a.seconds for a in asked) < 0.1
    assert not any(i.relay.paths.lost_services for i in fleet.instances)


def test_one_service_out_of_reach_is_lost_alone():
    """Guards against detours to engines that are reached directly."""
    fleet = linked_fleet.LinkedFleet()
    fleet.cut(0, Cut.REFUSED, CALLS)
    asked = fleet.ask_for(2.0, [0], [*PATHS, b'/drafts/1'])
    fleet.network.advance(5.0)
    assert linked_fleet.served_share(asked) == 1.0
    paths = fleet.instances[0].relay.paths
    assert paths.lost_paths
    assert {p.entry.service for p in paths.lost_paths.values()} == {'booking'}


def test_direct_connections_are_used_again_after_a_cut():
    """Guards against detours that outlast the cut."""
    fleet = cut_fleet()
    fleet.network.advance(5.0)
    fleet.heal(0)
    fleet.ask_for(1.5, [0], [*PATHS, b'/drafts/1'])
    before = fleet.kinds(0)['send-forwarded']
    asked = fleet.ask_for(2.0, [0], [*PATHS, b'/drafts/1'])
    fleet.network.advance(5.0)
    assert linked_fleet.served_share(asked) == 1.0
    assert not fleet.instances[0].relay.paths.lost_services
    forwarded = fleet.kinds(0)['send-forwarded'] - before
    assert forwarded <= len(fleet.engines)


def test_nobody_reaches_the_engines():
    """Guards against callers that wait although nothing can serve them."""
    fleet = linked_fleet.LinkedFleet()
    for number in range(3):
        fleet.cut(number, Cut.SILENT)
    fleet.ask_for(3.0, [0, 1, 2], PATHS)
    asked = fleet.ask_for(1.0, [0, 1, 2], PATHS)
    fleet.network.advance(2.0)
    assert {a.status for a in asked} <= {503, 504}


@pytest.mark.parametrize('mode', list(Cut))
def test_engines_are_not_blamed_for_lost_links(mode):
    """Guards against engines that others avoid because of one instance."""
    fleet = linked_fleet.LinkedFleet(size=4)
    fleet.ask_for(1.0, [0], [b'/drafts/1'])
    fleet.cut(0, mode)
    doubted = set()
    for _ in range(30):
        fleet.ask_for(0.1, range(4), [*PATHS, b'/drafts/1'])
        now = fleet.network.now
        for other in fleet.instances[1:]:
            states = other.relay.engines.states
            doubted |= {n for n, s in states.items() if now < s.doubted_until}
    assert not doubted


@pytest.mark.parametrize('path', [b'/booking/1', b'/drafts/1'])
def test_instance_in_the_middle_dies(path):
    """Guards against calls that run twice and answers that end early."""
    fleet = cut_fleet(size=2)
    asked = [fleet.ask(0, path) for _ in range(5)]
    fleet.network.advance(0.015)
    fleet.kill(1)
    fleet.network.advance(12.0)
    for one in asked:
        if path == b'/booking/1':
            assert len(fleet.arrivals(one.name)) <= 1
            assert one.status in (502, 503, 504)
            if one.status == 503:
                assert not fleet.arrivals(one.name)
        assert one.status != 200


def test_streams_survive_the_end_of_an_instance_in_the_middle():
    """Guards against streams with missing or repeated events."""
    fleet = cut_fleet(size=4)
    asked = [fleet.ask(0, b'/drafts/1') for _ in range(6)]
    fleet.network.advance(0.5)
    fleet.kill(3)
    fleet.network.advance(12.0)
    for one in asked:
        assert one.is_served
        assert one.events == list(range(1, linked_fleet.EVENTS + 1))


def test_stopping_instance_ends_what_it_forwards_first():
    """Guards against streams that are cut by a planned stop of another."""
    fleet = cut_fleet(size=2)
    asked = [fleet.ask(0, b'/drafts/1') for _ in range(3)]
    fleet.network.advance(0.5)
    fleet.instances[1].stop()
    fleet.network.advance(7.0)
    assert all(a.is_served for a in asked)
    assert fleet.kinds(0)['send-lost'] == 0


def test_close_of_a_caller_reaches_the_engine():
    """Guards against engines that work on for callers who have left."""
    fleet = cut_fleet()
    fleet.network.advance(8.0)
    asked = fleet.ask(0, b'/drafts/1')
    fleet.network.advance(0.5)
    hosts = [i.own.host for i in fleet.instances[1:]]
    serving = [
        socket
        for engine in fleet.engines.values()
        for socket in engine.sockets()
        if socket.peer.host in hosts
    ]
    assert serving
    asked.leave()
    fleet.network.advance(0.05)
    assert all(socket.ended for socket in serving)


def test_engine_that_leaves_is_known_in_the_middle():
    """Guards against work that the instance in the middle sends it later."""
    fleet = cut_fleet(size=2)
    for name in CALLS:
        fleet.engines[name].is_leaving = True
    fleet.instances[0].peers.send_to_all = lambda raw: None
    fleet.ask(0, b'/booking/1')
    fleet.network.advance(0.1)
    states = fleet.instances[1].relay.engines.states
    assert any(states[name].is_leaving for name in CALLS)


@pytest.mark.parametrize(
    ('field', 'value'),
    [('leaving', True), ('replaced', True), ('rest_until', float('inf'))],
)
def test_engine_that_takes_nothing_gets_nothing_through_the_middle(
    field, value
):
    """Guards against a detour around what the middle knows of an engine."""
    fleet = cut_fleet(size=2)
    middle = fleet.instances[1]
    entry = fleet.engines['call-north'].entry
    state = middle.relay.engines.states['call-north']
    setattr(state, field, value)
    client = order_connection(fleet, 1, entry)
    assert client.received.startswith(b'HTTP/1.1 409')
    assert client.is_closed


def test_instance_without_links_forwards_nothing():
    """Guards against requests that go round between instances."""
    fleet = cut_fleet()
    entry = fleet.engines['call-north'].entry
    host = fleet.instances[1].own.host
    client = order_connection(fleet, 0, entry, host)
    assert client.received.startswith(b'HTTP/1.1 503')


def test_attempt_that_is_not_wanted_any_more_asks_for_nothing():
    """Guards against connections to engines that nobody uses."""
    entry = relay_world.engine('call-north', 'booking', 'north')
    forwarded = forwarded_connection.ForwardedConnection(
        relay_wires.Server().pool, entry, 'other', 'r1', print, print
    )
    forwarded.abandon()
    forwarded.makeConnection(relay_wires.Wire())
    assert forwarded.transport.aborted
    assert not forwarded.transport.value()


def test_stranger_is_disconnected_without_an_answer():
    """Guards against connections to engines for anybody who asks."""
    fleet = linked_fleet.LinkedFleet()
    entry = fleet.engines['call-north'].entry
    client = order_connection(fleet, 1, entry, host='10.66.0.1')
    assert client.is_closed
    assert not client.received
    assert fleet.instances[1].forwarding.counts.strangers == 1


@pytest.mark.parametrize(
    ('engine', 'method', 'status'),
    [
        ('unknown', b'CONNECT', 503),
        ('call-north', b'GET', 400),
        ('call-south', b'CONNECT', 503),
    ],
)
def test_order_for_what_is_no_engine_is_refused(engine, method, status):
    """Guards against connections to addresses of the sender's choice."""
    fleet = linked_fleet.LinkedFleet()
    address = fleet.engines['call-north'].entry.address
    entry = relay_world.engine(engine, 'booking', 'north')
    object.__setattr__(entry, 'address', address)
    client = order_connection(fleet, 1, entry, method=method)
    assert client.received.startswith(b'HTTP/1.1 %d' % status)


def test_instance_that_forwards_enough_refuses_more(monkeypatch):
    """Guards against an instance that is overloaded by the others."""
    monkeypatch.setattr(forwarding_port, 'MAX_CONNECTIONS', 0)
    fleet = linked_fleet.LinkedFleet()
    entry = fleet.engines['call-north'].entry
    client = order_connection(fleet, 1, entry)
    assert client.received.startswith(b'HTTP/1.1 503')


def forwarded_answer(raw):
    """Return the receiver of an answer that came through another instance."""
    server = relay_wires.Server()
    receiver = relay_wires.Receiver()
    opened = []
    entry = relay_world.engine('call-north', 'booking', 'north')
    forwarded = forwarded_connection.ForwardedConnection(
        server.pool, entry, 'other', 'r1', opened.append, lambda *failed: None
    )
    forwarded.makeConnection(relay_wires.Wire())
    forwarded.dataReceived(b'HTTP/1.1 200 OK\r\n\r\n')
    pending = http_client.PendingRequest(relay_wires.wire_request, receiver)
    server.pool.handle_connected(opened[0], pending)
    forwarded.dataReceived(raw)
    return server, receiver, forwarded


def test_forwarded_answer_that_ends_with_its_connection_is_not_complete():
    """An instance that dies closes its connections as an engine would.

    Guards against passing on a part of an answer as the whole.
    """
    raw = b'HTTP/1.1 200 OK\r\n\r\nhalf of'
    _, receiver, forwarded = forwarded_answer(raw)
    forwarded.connectionLost(failure.Failure(error.ConnectionDone()))
    assert not receiver.complete
    assert receiver.broken[0]


def test_forwarded_connection_is_not_used_again():
    """Guards against requests on a path that is known to be lost no more."""
    raw = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
    server, receiver, _ = forwarded_answer(raw)
    assert receiver.complete
    assert not server.pool.idle_connections


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [
        (409, events.ForwardingOutcome.NOT_ADMITTED),
        (502, events.ForwardingOutcome.ENGINE_REFUSED),
        (503, events.ForwardingOutcome.UNWILLING),
        (504, events.ForwardingOutcome.ENGINE_SILENT),
        (418, events.ForwardingOutcome.UNWILLING),
    ],
)
def test_refused_order_tells_why(status, outcome):
    failed = []
    entry = relay_world.engine('call-north', 'booking', 'north')
    forwarded = forwarded_connection.ForwardedConnection(
        relay_wires.Server().pool,
        entry,
        'other',
        'r1',
        failed.append,
        lambda outcome, is_verified: failed.append((outcome, is_verified)),
    )
    forwarded.makeConnection(relay_wires.Wire())
    answer = h11.Connection(h11.SERVER)
    answer.receive_data(forwarded.transport.value())
    assert answer.next_event().target == str(entry.address).encode()
    forwarded.dataReceived(
        b'HTTP/1.1 %d no\r\nContent-Length: 0\r\nEngines-Reached: 1\r\n\r\n'
        % status
    )
    forwarded.connectionLost(failure.Failure(error.ConnectionDone()))
    assert failed == [(outcome, True)]
