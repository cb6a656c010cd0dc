"""Connections of callers: timeouts, limits, errors and disconnections."""

import pytest
from twisted.internet import testing

from greengagelb.coordination import events as common_events
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes
from greengagelb.transport.relay import caller_side
from tests.common import relay_wires

REQUEST = (
    b'POST /a HTTP/1.1\r\nHost: x\r\nId: r1\r\nContent-Length: 2\r\n\r\nhi'
)
HEAD = requests.AnswerHead(
    200, b'OK', ((b'Seal', b's'), (b'Content-Length', b'9')), True, False
)
LIMITS = routes.CallerLimits(
    header_bytes=1_000, body_bytes=10_000, header_seconds=3.0, idle_seconds=15
)


class Callers:
    """A caller side whose actions the test chooses."""

    def __init__(self):
        self.clock = testing.MemoryReactorClock()
        self.events = []
        self.refused = []
        self.side = caller_side.CallerSide(
            self.clock,
            relay_wires.Dialect(),
            self.events.append,
            lambda: LIMITS,
            lambda status, code: self.refused.append((status, code)),
        )

    def connect(self):
        connection = self.side.buildProtocol(None)
        connection.makeConnection(relay_wires.Wire())
        return connection

    def arrived_requests(self):
        return [
            event.request
            for event in self.events
            if isinstance(event, relay_events.RequestArrived)
        ]


def answers(connection):
    return relay_wires.parse_answers(connection.transport.value())


def pass_answer(callers, exchange, body=b'answer'):
    callers.side.carry_out(relay_actions.PassAnswer(exchange, HEAD, body))


def test_request_is_read_whole_before_it_is_decided_on():
    callers = Callers()
    connection = callers.connect()
    connection.dataReceived(REQUEST[:-1])
    assert not callers.arrived_requests()
    connection.dataReceived(REQUEST[-1:])
    [request] = callers.arrived_requests()
    assert request.body == b'hi'


def test_connection_serves_one_request_after_the_other():
    callers = Callers()
    connection = callers.connect()
    connection.dataReceived(REQUEST + REQUEST)
    assert len(callers.arrived_requests()) == 1
    pass_answer(callers, 1, b'one')
    assert len(callers.arrived_requests()) == 2
    pass_answer(callers, 2, b'two')
    assert answers(connection) == [(200, b'one'), (200, b'two')]
    assert not connection.transport.disconnecting


def test_disconnected_caller_is_reported():
    """Guards against an engine that goes on working without a caller."""
    callers = Callers()
    connection = callers.connect()
    connection.dataReceived(REQUEST)
    relay_wires.reset(connection)
    assert common_events.CallerGone(1) in callers.events


def test_broken_stream_does_not_look_complete():
    """A stream is aborted after its engine is lost.

    Guards against an orderly end, after which the caller would take the text
    for complete.
    """
    callers = Callers()
    connection = callers.connect()
    connection.dataReceived(REQUEST)
    callers.side.carry_out(relay_actions.BeginStream(1, HEAD))
    stream_events = (requests.StreamEvent(1, b'id: 1\n\n'),)
    callers.side.carry_out(relay_actions.PassEvents(1, stream_events))
    callers.side.carry_out(relay_actions.AbortStream(1))
    assert connection.transport.aborted
    assert answers(connection) == [(200, None)]


def test_stream_that_ends_is_complete():
    callers = Callers()
    connection = callers.connect()
    connection.dataReceived(REQUEST)
    callers.side.carry_out(relay_actions.BeginStream(1, HEAD))
    stream_events = (requests.StreamEvent(1, b'id: 1\n\n'),)
    callers.side.carry_out(relay_actions.PassEvents(1, stream_events))
    callers.side.carry_out(relay_actions.EndStream(1))
    assert answers(connection) == [(200, b'id: 1\n\n')]


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET /' + b'a' * 2_000 + b' HTTP/1.1\r\n', 431),
        (b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n', 413),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n',
            400,
        ),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
            + b'1000\r\n'
            + b'a' * 0x1000
            + b'\r\n'
            + b'2000\r\n'
            + b'a' * 0x2000,
            413,
        ),
    ],
)
def test_bad_request_gets_its_answer_and_costs_no_engine(raw, status):
    """Invalid requests get a status, and the connection closes later.

    Guards against a reset right after the answer, which could lose it.
    """
    callers = Callers()
    connection = callers.connect()
    connection.dataReceived(raw)
    assert answers(connection)[0][0] == status
    assert connection.transport.half_closed
    assert not connection.transport.aborted
    assert not callers.arrived_requests()
    callers.clock.advance(2.0)
    assert connection.transport.aborted


def test_request_without_an_id_is_refused_and_the_next_one_served():
    callers = Callers()
    connection = callers.connect()
    connection.dataReceived(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    connection.dataReceived(REQUEST)
    assert answers(connection)[0][0] == 400
    assert len(callers.arrived_requests()) == 1


def test_slow_header_is_given_up():
    """Guards against slow callers that use up all file descriptors."""
    callers = Callers()
    connection = callers.connect()
    connection.dataReceived(b'GET / HT')
    callers.clock.advance(2.9)
    connection.dataReceived(b'TP')
    callers.clock.advance(0.2)
    assert answers(connection)[0][0] == 408


def test_idle_connection_is_closed_only_after_its_time():
    callers = Callers()
    connection = callers.connect()
    callers.clock.advance(14.9)
    assert not connection.transport.disconnecting
    callers.clock.advance(0.2)
    assert connection.transport.disconnecting


def test_answer_while_stopping_closes_its_connection():
    """Guards against callers that reuse a connection about to be closed."""
    callers = Callers()
    connection = callers.connect()
    connection.dataReceived(REQUEST)
    callers.side.is_closing = True
    pass_answer(callers, 1)
    assert b'Connection: close' in connection.transport.value()
    assert connection.transport.disconnecting


def test_caller_that_does_not_read_is_given_up():
    """A caller stops reading in the middle of a long stream.

    Guards against unsent events that fill the memory of the instance.
    """
    callers = Callers()
    connection = callers.connect()
    connection.dataReceived(REQUEST)
    callers.side.carry_out(relay_actions.BeginStream(1, HEAD))
    connection.pauseProducing()
    event = requests.StreamEvent(1, b'x' * 300_000)
    for _ in range(4):
        callers.side.carry_out(relay_actions.PassEvents(1, (event,)))
    assert connection.transport.aborted
