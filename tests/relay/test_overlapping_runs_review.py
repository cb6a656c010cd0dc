"""Faults that a review of overlapping runs and leases has found."""

import pytest
from twisted.internet import address
from twisted.internet import error
from twisted.internet import task

from greengagelb.coordination import events
from greengagelb.coordination.relay import silent_runs
from greengagelb.transport.relay.forwarding import forwarding_port
from greengagelb.transport.relay.forwarding import handshake
from greengagelb.transport.relay.forwarding import leases
from tests.common import overlapping_runs
from tests.common import relay_wires
from tests.common import relay_world
from tests.common import simulated_network
from tests.relay import test_overlapping_runs
from tests.relay import test_silent_runs

Cut = simulated_network.Cut
NEVER = float('inf')


class Reactor(task.Clock):
    """Timers, and connections that open when the test says so."""

    def connectTCP(self, host, port, factory, timeout=30, **bound):
        self.factory = factory
        return self

    def disconnect(self):
        """Nothing is to be ended here."""


class Paths:
    """All engines are in reach."""

    def note_connected(self, now):
        """Nothing depends on it here."""

    def seem_to_work(self, entry, now):
        return True


def leased_ends():
    """Return the clock and both ends of a leased connection in between."""
    reactor = Reactor()
    port = forwarding_port.ForwardingPort(
        reactor,
        Paths(),
        lambda event: None,
        lambda entry: True,
        lambda host: True,
        lambda entry, head: None,
    )
    entry = relay_world.engine('call-north', 'booking', 'north')
    port.decide = lambda order: entry
    peer = address.IPv4Address('TCP', '127.0.0.1', 9)
    near = port.buildProtocol(peer)
    near.makeConnection(relay_wires.Wire(peerAddress=peer))
    near.handle_order(
        handshake.ConnectionOrder(
            entry.engine, entry.started_at_ms, entry.address, 'r1', 360
        )
    )
    # The order's request has to be seen before it can be answered.
    near.http.receive_data(b'CONNECT e:1 HTTP/1.1\r\nHost: e:1\r\n\r\n')
    near.http.next_event()
    far = reactor.factory.buildProtocol(None)
    far.makeConnection(relay_wires.Wire())
    near.transport.clear()
    return reactor, near, far


def test_lease_outlasts_an_engine_that_does_not_read():
    """Guards against runs that end as their engine reads a prompt slowly.

    The instance between then reads nothing more, renewals included.
    """
    reactor, near, far = leased_ends()
    far.transport.producer.pauseProducing()
    assert near.transport.producerState == 'paused'
    reactor.advance(0.5)
    assert not far.transport.aborted


def test_instance_between_is_heard_while_a_long_request_passes():
    """Guards against a path taken for lost while a long prompt is sent.

    Renewals wait behind the prompt, and so do their answers.
    """
    reactor, near, far = leased_ends()
    near.dataReceived(leases.FRAME_HEAD.pack(10_000))
    silent = 0.0
    for _ in range(10):
        reactor.advance(0.05)
        near.dataReceived(b'x' * 100)
        silent = 0.0 if near.transport.value() else silent + 0.05
        near.transport.clear()
        assert silent < leases.LEASE_SECONDS
    assert not far.transport.aborted


@pytest.mark.parametrize('late', [0.0, 0.08])
def test_kept_run_outlives_a_decision_that_is_late(monkeypatch, late):
    """Guards against a run that its lease ends as a busy instance is late.

    The decision which of two runs goes on is what renews its lease.
    """
    monkeypatch.setattr(
        silent_runs,
        'MAX_OVERLAP_SECONDS',
        silent_runs.MAX_OVERLAP_SECONDS + late,
    )
    fleet, asked, runs = test_overlapping_runs.streams_under_way(
        'through-another', 1
    )
    test_overlapping_runs.pause(fleet, runs[0], 0.9, NEVER)
    fleet.network.advance(20.0)
    test_overlapping_runs.assert_whole(asked)
    lost = [
        record.reason
        for record in fleet.records[fleet.host_of(0)]
        if 'did not hear this one' in record.reason
    ]
    assert not lost


def test_stream_goes_on_if_the_instance_between_loses_the_engine():
    """Guards against a dead run kept for answers through a third instance.

    The run goes through one instance, and probes of its engine by another.
    """
    fleet, asked, runs = test_overlapping_runs.streams_under_way(
        'through-another', 1
    )
    for run in runs:
        fleet.harm_path(run.source, run.host, Cut.SILENT)
    fleet.network.advance(20.0)
    test_overlapping_runs.assert_whole(asked)


@pytest.mark.parametrize('pauses', [False, True])
def test_held_run_is_kept_after_a_pause_of_this_process(pauses):
    """Guards against an answer to a probe that an own pause makes unseen.

    The time of the pause is taken for progress of the run.
    """
    silent = test_silent_runs.SilentEngines(alive=True)
    exchange, send = silent.start_stream()
    known = silent.world.relay.exchanges[exchange]
    known.sends[send.send].copy_to = None
    while len(known.sends) < 2:
        silent.wait(0.01)
    silent.run_events = test_silent_runs.LAST_EVENT
    silent.world.advance(0.06)
    if pauses:
        silent.world.advance(0.1)
        silent.world.handle(events.PauseDetected(0.1))
    silent.answer_probes()
    silent.wait(0.4)
    assert silent.open_runs(exchange)[0] == send


def seconds_in_reach(fleet, asked):
    """Return how long two engines in reach worked on a stream together.

    Only the time of a harm and 0.4 s behind it are left out.
    """
    longest = 0.0
    found = fleet.runs_of(asked)
    for place, later in enumerate(found):
        for run in found[:place]:
            begin = later.began_at
            end = min(run.ended_at, later.ended_at, fleet.network.now)
            spans = []
            for harm in sorted(fleet.harms, key=lambda h: h.began_at):
                if harm.hosts in (
                    frozenset((run.source, run.host)),
                    frozenset((later.source, later.host)),
                ):
                    spans.append((harm.began_at, harm.ended_at + 0.4))
            at = begin
            for since, until in spans:
                if since > at:
                    longest = max(longest, min(end, since) - at)
                at = max(at, until)
            longest = max(longest, end - at)
    return longest


def lose_resets(network):
    """Have a reset that meets a cut be lost, as it is not sent again.

    Whatever the other end sends later is answered by a reset.
    """

    def deliver(socket):
        peer = socket.peer
        while socket.unsent:
            if network.is_blocked(socket.host, peer.host):
                while socket.unsent and socket.unsent[-1] is (
                    error.ConnectionLost
                ):
                    socket.unsent.pop()
                if socket.ended:
                    socket.unsent.clear()
                return
            item = socket.unsent.popleft()
            if peer.ended and isinstance(item, bytes):
                network.call_later(
                    simulated_network.LATENCY_SECONDS,
                    socket.end,
                    error.ConnectionLost,
                )
            peer.receive(item)

    network.deliver = deliver


@pytest.mark.parametrize('seconds', [0.1, 0.3])
def test_direct_run_ends_although_its_reset_met_a_short_cut(seconds):
    """Guards against a silent run that works on as its reset was lost.

    The path is back at once, but a reset is sent only once.
    """
    fleet, asked, runs = test_overlapping_runs.streams_under_way('direct', 5)
    lose_resets(fleet.network)
    for run in runs:
        test_overlapping_runs.pause(fleet, run, 5.0, 0.0)
    fleet.network.advance(0.6)
    for run in runs:
        test_overlapping_runs.lose_path(fleet, run, Cut.SILENT, seconds)
    fleet.network.advance(20.0)
    test_overlapping_runs.assert_whole(asked)
    assert max(seconds_in_reach(fleet, a) for a in asked) <= 0.4


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_stream_outlives_a_crash_after_a_pause_of_all_engines(seed):
    """Guards against attempts spent in vain while all engines pause."""
    fleet, asked, _ = test_overlapping_runs.streams_under_way('direct', seed)
    for engine in fleet.streaming_engines():
        engine.silent_until = fleet.network.now + 2.0
        engine.probe_seconds = NEVER
    fleet.network.advance(3.2)
    for engine in fleet.streaming_engines():
        engine.probe_seconds = 0.0
    at_work = [
        run.engine
        for run in fleet.runs_of(asked[0])
        if run.ended_at > fleet.network.now
    ]
    for name in at_work:
        fleet.engines[name].crash()
    fleet.network.advance(20.0)
    assert overlapping_runs.is_whole(asked[0])
