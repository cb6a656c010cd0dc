"""Answers of upstreams that never end, and the memory that they hold."""

import tracemalloc

import pytest

from greengagelb.coordination import events
from greengagelb.transport import bounded_heads
from greengagelb.transport import http
from tests.common import endless_answers
from tests.common import upstream_answers

EVENT_STREAM = b'Content-Type: text/event-stream\r\n\r\n'


def send_until_closed(wire, first, more):
    """Send pieces until the client closes; return how many bytes it took."""
    sent = endless_answers.send_until_closed(
        wire.protocol.dataReceived, lambda: wire.closed, first, more
    )
    wire.break_off()
    return sent


@pytest.mark.parametrize('ask', ['probe', 'cancel', 'stream', 'call'])
@pytest.mark.parametrize('kind', endless_answers.HEADS)
def test_endless_head_is_cut_at_the_bound(ask, kind):
    """Guards against heads that fill the memory, or keep a process busy."""
    side = upstream_answers.Side()
    wire = getattr(side, ask)()
    sent = send_until_closed(wire, *endless_answers.HEADS[kind])
    assert sent <= bounded_heads.MAX_HEAD_BYTES + 2_000
    [event] = side.events
    upstream_answers.assert_unanswered(event)


def test_head_in_many_pieces_is_read():
    """Guards against a bound that cuts proper answers."""
    side = upstream_answers.Side()
    wire = side.call()
    answer = (
        b'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n'
        + upstream_answers.ECHO
        + b'Content-Length: 4\r\n\r\ndone'
    )
    for byte in answer:
        wire.protocol.dataReceived(bytes([byte]))
    assert side.events == [events.CallAnswered(1, 200, b'done')]


def test_large_body_right_behind_the_head_is_read():
    """Guards against a bound of heads that counts bodies."""
    side = upstream_answers.Side()
    body = bytes(2 * bounded_heads.MAX_HEAD_BYTES)
    side.call().answer(body, 'X-Client-Account: teratak', 'X-Request-Id: k1')
    assert side.events == [events.CallAnswered(1, 200, body)]


def test_event_without_an_end_is_cut_at_the_bound():
    """Guards against an event that fills the memory of an instance."""
    side = upstream_answers.Side()
    wire = side.stream()
    first = endless_answers.STATUS + EVENT_STREAM + b'data: '
    send_until_closed(wire, first, b'f' * 65_536)
    assert isinstance(side.events[-1], events.AttemptBroken)
    assert side.events[-1].handed_over
    assert not side.memory.held


def test_endless_trailers_are_cut():
    """Guards against trailers that keep a process busy."""
    side = upstream_answers.Side()
    wire = side.call()
    head = (
        endless_answers.STATUS
        + upstream_answers.ECHO
        + b'Transfer-Encoding: chunked\r\n\r\n0\r\n'
    )
    send_until_closed(wire, head, endless_answers.LINE)
    [event] = side.events
    assert event.handed_over


def test_many_endless_answers_hold_little_together():
    """Guards against engines that fill the memory of an instance together.

    Each answer stays within its own bound.
    """
    most = 4 << 20
    side = upstream_answers.Side(most)
    streams = [side.stream(number) for number in range(40)]
    calls = [side.call(number) for number in range(40)]
    for wire in streams:
        wire.protocol.dataReceived(
            endless_answers.STATUS + EVENT_STREAM + b'data: '
        )
    for wire in calls:
        wire.protocol.dataReceived(
            endless_answers.STATUS + upstream_answers.ECHO + b'\r\n'
        )
    piece = b'f' * 65_536
    tracemalloc.start()
    for _ in range(12):
        for wire in (*streams, *calls):
            if not wire.closed:
                wire.protocol.dataReceived(bytes(bytearray(piece)))
                assert side.memory.total <= most
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held <= 2 * most
    ended = [
        e for e in side.events if not isinstance(e, events.AttemptAccepted)
    ]
    assert len(ended) >= 70
    assert all(event.handed_over for event in ended)


def test_small_answer_goes_on_beside_endless_ones():
    """Guards against callers who pay for the engines of others."""
    side = upstream_answers.Side(1 << 20)
    small = side.call(100)
    small.protocol.dataReceived(
        endless_answers.STATUS
        + upstream_answers.ECHO
        + b'Content-Length: 20000\r\n\r\n'
        + bytes(19_000)
    )
    for number in range(30):
        wire = side.call(number)
        wire.protocol.dataReceived(
            endless_answers.STATUS + upstream_answers.ECHO + b'\r\n'
        )
        for _ in range(8):
            if not wire.closed:
                wire.protocol.dataReceived(bytes(65_536))
    small.protocol.dataReceived(bytes(1_000))
    assert side.events[-1] == events.CallAnswered(100, 200, bytes(20_000))
    assert http.MAX_BODY_BYTES > 1 << 20
