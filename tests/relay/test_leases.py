"""Leases on connections that an instance opens for another one."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.state.relay import engines
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay.forwarding import forwarded_connection
from greengagelb.transport.relay.forwarding import handshake
from greengagelb.transport.relay.forwarding import leases
from tests.common import overlapping_runs
from tests.common import relay_wires
from tests.common import relay_world

ADDRESS = engines.Address('10.8.0.1', 8000)


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
