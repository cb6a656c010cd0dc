"""Relayed answers that never end, and the memory that they hold."""

import tracemalloc

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay import timed_requests
from tests.common import endless_answers
from tests.common import engine_answers
from tests.common import relay_wires
from tests.common import relay_world


def head_of(send, *fields):
    echo = b'Id: %s\r\n' % send.request.request_id.encode()
    return endless_answers.STATUS + echo + b''.join(fields) + b'\r\n'


def send_until_closed(connection, first, more):
    """Send pieces until the client closes; return how many bytes it took."""
    return endless_answers.send_until_closed(
        connection.dataReceived,
        lambda: connection.transport.aborted,
        first,
        more,
    )


@pytest.mark.parametrize('ask', relay_world.ASK)
@pytest.mark.parametrize('kind', endless_answers.HEADS)
def test_endless_head_is_cut_at_the_bound(ask, kind):
    """Guards against heads that fill the memory, or keep a process busy."""
    side = engine_answers.Side()
    _, connection = side.send(ask)
    sent = send_until_closed(connection, *endless_answers.HEADS[kind])
    assert sent <= http_client.MAX_HEADER_BYTES + 2_000
    [event] = side.events
    assert isinstance(event, relay_events.SendFailed)
    assert event.handed_over
    assert not side.side.pending_sends


@pytest.mark.parametrize('ask', relay_world.ASK)
def test_engine_without_end_of_its_answers_is_avoided(ask):
    """Guards against callers who are sent to such an engine again.

    What it was sent may have run: a call that may not be repeated is not.
    """
    side = engine_answers.Side()
    send, connection = side.send(ask)
    send_until_closed(connection, *endless_answers.HEADS['header lines'])
    world = side.world
    world.handle(side.events[0])
    engine = send.engine.engine
    used = {
        world.last_send(relay_world.ASK[ask](world)).engine.engine
        for _ in range(6)
    }
    assert engine not in used
    sends = world.sends(send.exchange)
    if ask == 'call':
        [refused] = world.refusals(send.exchange)
        assert (len(sends), refused.status) == (1, 502)
    else:
        assert [s.engine.engine == engine for s in sends] == [True, False]


def test_informational_answers_before_a_proper_one_are_read():
    """Guards against a bound that cuts proper answers."""
    side = engine_answers.Side()
    send, connection = side.send('call')
    connection.dataReceived(b'HTTP/1.1 102 Processing\r\n\r\n')
    connection.dataReceived(head_of(send, b'Content-Length: 2\r\n') + b'ok')
    [event] = side.events
    assert event.body == b'ok'


def test_event_without_an_end_is_cut_at_the_bound():
    """Guards against an event that fills the memory of an instance."""
    side = engine_answers.Side()
    send, connection = side.send('stream')
    send_until_closed(connection, head_of(send) + b'data: ', b'f' * 65_536)
    assert isinstance(side.events[-1], relay_events.SendFailed)
    assert not side.side.memory.held


def test_event_in_many_pieces_is_read_in_linear_time():
    """Guards against a long event that is copied with each of its bytes."""
    side = engine_answers.Side()
    send, connection = side.send('stream')
    connection.dataReceived(head_of(send))
    event = b'id: 1\ndata: ' + b'f' * 300_000 + b'\n\n'
    for begin in range(0, len(event), 10):
        connection.dataReceived(event[begin : begin + 10])
    [progress] = [
        e for e in side.events if isinstance(e, relay_events.StreamProgressed)
    ]
    assert progress.events[0].raw == event


def test_many_endless_answers_hold_little_together():
    """Guards against engines that fill the memory of an instance together.

    Each answer stays within its own bound.
    """
    most = 4 << 20
    side = engine_answers.Side(most)
    opened = [side.send(ask) for _ in range(25) for ask in relay_world.ASK]
    for send, connection in opened:
        connection.dataReceived(head_of(send) + b'data: ')
    piece = b'f' * 65_536
    tracemalloc.start()
    for _ in range(12):
        for _, connection in opened:
            if not connection.transport.aborted:
                connection.dataReceived(bytes(bytearray(piece)))
                assert side.side.memory.total <= most
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held <= 2 * most
    ended = [e for e in side.events if isinstance(e, relay_events.SendFailed)]
    assert len(ended) >= 60
    assert all(event.handed_over for event in ended)
    assert len(side.side.pending_sends) == len(opened) - len(ended)


def test_small_answer_goes_on_beside_endless_ones():
    """Guards against callers who pay for the engines of others."""
    side = engine_answers.Side(1 << 20)
    small, small_connection = side.send('call')
    small_connection.dataReceived(
        head_of(small, b'Content-Length: 20000\r\n') + bytes(19_000)
    )
    for _ in range(30):
        send, connection = side.send('query')
        connection.dataReceived(head_of(send))
        for _ in range(8):
            if not connection.transport.aborted:
                connection.dataReceived(bytes(65_536))
    small_connection.dataReceived(bytes(1_000))
    assert side.events[-1].body == bytes(20_000)
    assert side.side.memory.total <= 1 << 20


def test_abandoned_answer_is_not_held():
    """Guards against a bound that is used up by answers nobody waits for."""
    side = engine_answers.Side()
    send, connection = side.send('call')
    connection.dataReceived(head_of(send) + bytes(65_536))
    assert side.side.memory.total == 65_536
    side.side.abandon_send(send.exchange, send.send)
    assert side.side.memory.total == 0


@pytest.mark.parametrize(
    ('first', 'more'),
    [
        *endless_answers.HEADS.values(),
        (endless_answers.STATUS + b'\r\n', b'f' * 10_000),
    ],
)
def test_endless_answer_to_a_probe_is_cut_at_the_bound(first, more):
    """Guards against probes that read until their time limit."""
    side = engine_answers.Side()
    send, _ = side.send('stream')
    probe = relay_actions.ProbeEngine(send.exchange, send.send, send.engine)
    side.side.dialect.write_probe = lambda entry: relay_wires.wire_request()
    side.side.probe_engine(probe)
    side.server.accept()
    connection = side.server.connections[-1]
    sent = send_until_closed(connection, first, more)
    assert sent <= timed_requests.DEFAULT_MAX_BYTES + 11_000
    [event] = side.events
    assert not event.alive
