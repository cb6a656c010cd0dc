"""Leases on connections that an instance opens for another one."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay.forwarding import events
from greengagelb.state.relay import engines
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay.forwarding import forwarded_connection
from greengagelb.transport.relay.forwarding import forwarding_port
from greengagelb.transport.relay.forwarding import handshake
from greengagelb.transport.relay.forwarding import leases
from tests.common import overlapping_runs
from tests.common import relay_wires
from tests.common import relay_world

ADDRESS = engines.Address('10.8.0.1', 8000)
ENTRY = relay_world.engine('call-north', 'booking', 'north')
STEP_SECONDS = 0.02
# A lost path is noticed after this time.
GONE_SECONDS = 0.48


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.binary(max_size=40), max_size=12),
    st.lists(st.integers(1, 30), min_size=1, max_size=30),
)
def test_frames_are_read_however_they_arrive(payloads, lengths):
    """Guards against bytes of a frame's head that reach an engine."""
    raw = b''.join(
        leases.write_frame(p) if p else leases.RENEWAL for p in payloads
    )
    raw += leases.EXPIRY + b'more'
    reader = leases.FrameReader()
    read = []
    while raw:
        for length in lengths:
            read += reader.add_bytes(raw[:length])
            raw = raw[length:]
    assert b''.join(read) == b''.join(payloads)
    assert read.count(b'') == payloads.count(b'')
    assert reader.is_expired


@pytest.mark.parametrize('lease_ms', [0, 360])
def test_order_carries_its_lease(lease_ms):
    entry = relay_world.engine('call-north', 'booking', 'north')
    order = handshake.write_order(entry, 'r1', lease_ms)
    assert handshake.read_order(order).lease_ms == lease_ms


def sends_to(route):
    """Return the first send of a request on a route."""
    world = relay_world.RelayWorld(
        table=relay_world.route_table(found=(route,))
    )
    world.ask()
    return world.of_kind(relay_actions.Send)[0]


@pytest.mark.parametrize('resumable', [True, False])
def test_only_runs_that_another_engine_may_continue_have_a_lease(resumable):
    """Guards against a request that runs once and ends with its lease."""
    route = dataclasses.replace(relay_world.STREAM_ROUTE, resumable=resumable)
    assert sends_to(route).is_resumable == resumable


@pytest.mark.parametrize('is_leased', [True, False])
def test_instance_that_grants_no_lease_gets_bytes_as_they_are(is_leased):
    """Guards against streams that fail beside instances of a former release.

    Such an instance does not know the header that asks for a lease.
    """
    server = relay_wires.Server()
    opened = []
    forwarded = forwarded_connection.ForwardedConnection(
        server.pool,
        relay_world.engine('call-north', 'booking', 'north'),
        'other',
        'r1',
        opened.append,
        print,
        is_leased=is_leased,
    )
    forwarded.makeConnection(relay_wires.Wire())
    order = forwarded.transport.value()
    assert (handshake.LEASE_HEADER in order) == is_leased
    forwarded.transport.clear()
    forwarded.dataReceived(b'HTTP/1.1 200 OK\r\n\r\n')
    receiver = relay_wires.Receiver()
    pending = http_client.PendingRequest(relay_wires.wire_request, receiver)
    server.pool.handle_connected(opened[0], pending)
    assert forwarded.transport.value().startswith(b'GET /one')
    server.reactor.advance(10.0)
    assert not forwarded.transport.aborted


def test_order_without_a_lease_is_served_as_before(monkeypatch):
    """Guards against streams that fail for instances of a former release."""
    monkeypatch.setattr(handshake, 'lease_headers', lambda lease_ms: [])
    fleet = overlapping_runs.Fleet(size=4)
    fleet.lose_direct_paths()
    asked = fleet.start_streams()
    sources = {run.source for a in asked for run in fleet.runs_of(a)}
    assert fleet.host_of(0) not in sources
    fleet.network.advance(10.0)
    assert all(overlapping_runs.is_whole(stream) for stream in asked)


# -- the end that asked for the lease --------------------------------------


class NearWorld:
    """An open connection with a lease, at the instance that asked for it."""

    def __init__(self):
        self.server = relay_wires.Server()
        self.reactor = self.server.reactor
        self.receiver = relay_wires.Receiver()
        self.paths_lost = []
        opened = []
        self.forwarded = forwarded_connection.ForwardedConnection(
            self.server.pool,
            ENTRY,
            'other',
            'r1',
            opened.append,
            print,
            lambda: self.paths_lost.append(self.reactor.seconds()),
            is_leased=True,
        )
        self.wire = relay_wires.Wire()
        self.forwarded.makeConnection(self.wire)
        self.wire.clear()
        self.forwarded.dataReceived(
            b'HTTP/1.1 200 OK\r\nLease-Ms: 360\r\n\r\n'
        )
        [self.connection] = opened
        pending = http_client.PendingRequest(
            relay_wires.wire_request, self.receiver
        )
        self.server.pool.handle_connected(self.connection, pending)
        self.wire.clear()

    def hear(self, frame=leases.RENEWAL):
        self.forwarded.dataReceived(frame)

    def advance(self, seconds, *, is_heard=False):
        """Let time pass; return how often the lease was renewed."""
        self.wire.clear()
        for _ in range(round(seconds / STEP_SECONDS)):
            self.reactor.advance(STEP_SECONDS)
            if is_heard:
                self.hear()
        written = self.wire.value()
        assert not written.replace(leases.RENEWAL, b'')
        return len(written) // len(leases.RENEWAL)


def test_lease_is_renewed_while_the_other_instance_is_heard():
    """Guards against runs that end though their path works."""
    near = NearWorld()
    assert near.advance(3.0, is_heard=True) >= 3.0 / leases.LEASE_SECONDS
    assert not near.wire.aborted
    assert near.receiver.broken is None


def test_instance_that_is_not_heard_ends_the_run_at_once():
    """Guards against streams held for a run whose path is lost."""
    near = NearWorld()
    near.advance(GONE_SECONDS)
    assert near.paths_lost
    assert near.wire.aborted
    assert near.connection.is_path_lost
    assert near.receiver.broken == (True, 'the other instance is not heard')


def test_late_timer_of_this_process_does_not_end_a_run():
    """Guards against runs ended as this process stood still.

    What the other instance has sent meanwhile is read after the timer here.
    """
    near = NearWorld()
    near.advance(0.2, is_heard=True)
    near.reactor.rightNow += 2.0
    near.reactor.advance(0.0)
    assert not near.paths_lost
    assert not near.wire.aborted
    near.hear()
    near.advance(1.0, is_heard=True)
    assert near.receiver.broken is None


def test_other_instance_that_stays_silent_after_a_late_timer_is_lost():
    """Guards against late timers that excuse a lost path for good."""
    near = NearWorld()
    near.reactor.rightNow += 2.0
    near.reactor.advance(0.0)
    near.advance(GONE_SECONDS)
    assert near.connection.is_path_lost


def test_held_lease_is_renewed_once_and_no_answer_is_due():
    """Guards against a replaced run that is held for longer than agreed."""
    near = NearWorld()
    near.wire.clear()
    near.connection.lease.set_suspended(True)
    near.connection.lease.set_suspended(True)
    assert near.wire.value() == leases.RENEWAL
    assert near.advance(2.0) == 0
    assert near.receiver.broken is None


def test_resumed_lease_is_renewed_at_once_and_an_answer_is_due():
    """Guards against a run that has won and ends with its lease."""
    near = NearWorld()
    near.connection.lease.set_suspended(True)
    near.advance(leases.LEASE_SECONDS - 2 * STEP_SECONDS)
    near.wire.clear()
    near.connection.lease.set_suspended(False)
    assert near.wire.value() == leases.RENEWAL
    assert near.advance(1.0, is_heard=True) >= 1.0 / leases.LEASE_SECONDS
    assert near.receiver.broken is None
    near.advance(GONE_SECONDS)
    assert near.connection.is_path_lost


@pytest.mark.parametrize('is_suspended', [False, True])
def test_expiry_is_handled_as_a_lost_path(is_suspended):
    """Guards against engines blamed for a path between instances."""
    near = NearWorld()
    near.connection.lease.set_suspended(is_suspended)
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    near.hear(leases.write_frame(head + b'3\r\nabc\r\n') + leases.EXPIRY)
    assert near.receiver.body == b'abc'
    assert near.connection.is_path_lost
    why = 'the other instance did not hear this one'
    assert near.receiver.broken == (True, why)
    assert near.wire.aborted


def test_nothing_is_renewed_after_the_end_of_a_connection():
    """Guards against timers of connections that have ended."""
    near = NearWorld()
    relay_wires.reset(near.forwarded)
    assert near.advance(1.0) == 0
    assert not near.connection.is_path_lost
    assert near.receiver.broken == (True, 'ConnectionLost')
    assert not near.reactor.getDelayedCalls()


@pytest.mark.parametrize('is_leased', [False, True])
def test_answer_that_ends_with_a_close_is_never_taken_for_complete(is_leased):
    """Guards against a part of an answer passed on as all of it.

    The other instance closes in the same way if it ends itself.
    """
    near = NearWorld()
    raw = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall or a part'
    if not is_leased:
        near.connection.lease.end()
        near.connection.lease = near.forwarded.frames = None
    near.hear(leases.write_frame(raw) if is_leased else raw)
    relay_wires.close(near.forwarded)
    assert near.receiver.body == b'all or a part'
    assert not near.receiver.complete
    assert near.receiver.broken == (True, 'ConnectionLost')
    assert not near.connection.is_path_lost


@pytest.mark.parametrize('stated', [b'x', b'-1', b'3.6', b'9' * 400])
def test_grant_with_a_bad_number_opens_no_connection(stated):
    """Guards against bytes of frames that are read as an answer."""
    server = relay_wires.Server()
    failed = []
    forwarded = forwarded_connection.ForwardedConnection(
        server.pool,
        ENTRY,
        'other',
        'r1',
        pytest.fail,
        lambda outcome, is_verified: failed.append(outcome),
        is_leased=True,
    )
    forwarded.makeConnection(relay_wires.Wire())
    forwarded.dataReceived(b'HTTP/1.1 200 OK\r\nLease-Ms: %s\r\n\r\n' % stated)
    assert failed == [events.ForwardingOutcome.UNWILLING]
    assert forwarded.transport.aborted


# -- the end that opens the connection to the engine -----------------------


class FarWorld:
    """A port with the connection of an instance that asks for a lease."""

    def __init__(self, stated=b'360'):
        relay = relay_world.RelayWorld([ENTRY]).relay
        self.reactor = relay_wires.Server().reactor
        self.reactor.rightNow = 100.0
        self.events = []
        self.port = forwarding_port.ForwardingPort(
            self.reactor,
            relay.paths,
            self.events.append,
            lambda entry: True,
            lambda host: True,
            lambda entry, response: None,
        )
        self.near = forwarding_port.NearEnd(self.port)
        self.wire = relay_wires.Wire()
        self.near.makeConnection(self.wire)
        self.near.dataReceived(
            b'CONNECT %s HTTP/1.1\r\nHost: e\r\nEngine: %s\r\n'
            b'Engine-Start: %d\r\nLease-Ms: %s\r\n\r\n'
            % (
                str(ENTRY.address).encode(),
                ENTRY.engine.encode(),
                ENTRY.started_at_ms,
                stated,
            )
        )

    def connect(self):
        """Let the connection to the engine come up; return both wires."""
        [(_, _, factory, _, _)] = self.reactor.tcpClients
        self.far = factory.buildProtocol(None)
        self.engine_wire = relay_wires.Wire()
        self.far.makeConnection(self.engine_wire)
        assert self.wire.value().startswith(b'HTTP/1.1 200')
        self.wire.clear()
        return self

    def reasons(self):
        """Return why connections to the engine have ended."""
        return [
            event.reason
            for event in self.events
            if isinstance(event, events.TakenOverConnectionEnded)
        ]


def test_renewals_are_answered_and_never_reach_the_engine():
    """Guards against bytes of a lease in a request to an engine."""
    far = FarWorld().connect()
    far.near.dataReceived(
        leases.RENEWAL
        + leases.write_frame(b'GET / HTTP/1.1\r\n')
        + leases.RENEWAL
    )
    assert far.engine_wire.value() == b'GET / HTTP/1.1\r\n'
    assert far.wire.value() == 2 * leases.RENEWAL
    for byte in 3 * leases.RENEWAL:
        far.near.dataReceived(bytes([byte]))
    assert far.engine_wire.value() == b'GET / HTTP/1.1\r\n'
    assert far.wire.value() == 5 * leases.RENEWAL


def test_engine_connection_is_held_while_it_is_renewed():
    """Guards against runs that end though they are renewed."""
    far = FarWorld().connect()
    for _ in range(40):
        far.reactor.advance(0.1)
        far.near.dataReceived(leases.RENEWAL)
    assert not far.engine_wire.aborted
    assert not far.reasons()


def test_engine_connection_ends_with_its_lease():
    """Guards against an engine at work for an instance that is not heard."""
    far = FarWorld().connect()
    far.reactor.advance(0.2)
    far.near.dataReceived(leases.RENEWAL)
    far.reactor.advance(0.3)
    assert not far.engine_wire.aborted
    far.reactor.advance(0.07)
    assert far.engine_wire.aborted
    assert far.wire.value().endswith(leases.EXPIRY)
    assert far.wire.disconnecting
    assert far.reasons() == ['the instance is not heard']


def test_end_of_an_engine_is_passed_on_without_an_expiry():
    """Guards against an engine's close that is taken for a lost path."""
    far = FarWorld().connect()
    far.far.dataReceived(b'HTTP/1.1 200 OK\r\n\r\n')
    relay_wires.close(far.far)
    far.near.connectionLost()
    far.reactor.advance(1.0)
    answer = leases.write_frame(b'HTTP/1.1 200 OK\r\n\r\n')
    assert far.wire.value() == answer
    assert far.wire.disconnecting
    assert far.reasons() == ['the engine closed it']
    assert not far.reactor.getDelayedCalls()


@pytest.mark.parametrize('stated', [b'x', b'-1', b'3.6', b'', b'9' * 400])
def test_order_with_a_bad_lease_is_refused_and_nothing_is_connected(stated):
    """Guards against a connection that is held without an end."""
    far = FarWorld(stated)
    assert far.wire.value().startswith(b'HTTP/1.1 400')
    assert far.wire.disconnecting
    assert not far.reactor.tcpClients
    assert far.port.counts.refused == 1
