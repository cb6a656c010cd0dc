"""What engines state in their answers, as it is read from connections."""

from twisted.internet import testing

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state import identity
from greengagelb.state import statements
from greengagelb.transport.relay import engine_side
from greengagelb.transport.relay import http_client
from tests.common import relay_wires
from tests.common import relay_world

ENTRY = relay_world.engine('e', 's', 'north')
LEAVING = statements.Statement(leaving=True)


class Dialect(relay_wires.Dialect):
    """Also writes probes."""

    def write_probe(self, engine):
        return http_client.WireRequest(b'GET', b'/report', relay_wires.HOST)


class Side:
    """An engine side whose engine is a wire; keeps the events."""

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        self.events = []
        self.admitted = True
        pool = http_client.ConnectionPool(self.reactor)
        self.side = engine_side.EngineSide(
            pool,
            Dialect(),
            self.events.append,
            lambda entry: self.admitted,
            relay_wires.direct_opener(pool),
        )
        world = relay_world.RelayWorld()
        exchange = world.ask(headers=tuple(relay_wires.HOST))
        self.send = world.last_send(exchange)

    def connect(self):
        factory = self.reactor.tcpClients[-1][2]
        connection = factory.buildProtocol(None)
        connection.makeConnection(relay_wires.Wire())
        return connection

    def stated(self):
        return [
            event
            for event in self.events
            if isinstance(event, relay_events.EngineStated)
        ]


def test_statement_is_reported_before_a_long_stream_goes_on():
    """Guards against a statement that is read with the end of its answer."""
    side = Side()
    side.side.send_request(side.send)
    connection = side.connect()
    connection.dataReceived(
        b'HTTP/1.1 200 OK\r\nid: r1\r\nleaving: 1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    stated, started = side.events
    request = identity.RequestId(side.send.account, 'r1')
    assert stated == relay_events.EngineStated(
        side.send.engine, LEAVING, 200, request=request
    )
    assert isinstance(started, relay_events.AnswerStarted)


def test_statement_of_an_answer_to_another_request_counts():
    """Guards against dropping what a late second answer states."""
    side = Side()
    side.side.send_request(side.send)
    side.connect().dataReceived(
        b'HTTP/1.1 200 OK\r\nid: other\r\nleaving: 1\r\n'
        b'Content-Length: 2\r\n\r\nok'
    )
    [stated] = side.stated()
    assert stated.statement == LEAVING


def test_statement_of_an_answer_that_breaks_off_counts():
    """Guards against statements that only complete answers can make."""
    side = Side()
    side.side.send_request(side.send)
    connection = side.connect()
    connection.dataReceived(
        b'HTTP/1.1 500 No\r\nid: r1\r\nleaving: 1\r\n'
        b'Content-Length: 9\r\n\r\nok'
    )
    relay_wires.reset(connection)
    assert len(side.stated()) == 1


def test_statement_of_an_answer_to_a_probe_counts():
    """Guards against statements that only answers to callers can make."""
    side = Side()
    side.side.probe_engine(relay_actions.ProbeEngine(1, 1, ENTRY))
    side.connect().dataReceived(
        b'HTTP/1.1 503 No\r\nretry-after: 2\r\nContent-Length: 0\r\n\r\n'
    )
    [stated] = side.stated()
    assert stated.statement.rest_seconds == 2.0
    assert stated.request is None


def test_report_of_an_engine_that_leaves_counts():
    """Guards against a report whose state only a search for engines reads."""
    side = Side()
    side.side.probe_engine(relay_actions.ProbeEngine(1, 1, ENTRY))
    side.connect().dataReceived(
        b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nleaving'
    )
    [stated] = side.stated()
    assert (stated.entry, stated.statement) == (ENTRY, LEAVING)


def test_send_is_not_written_to_an_engine_that_wants_none_by_then():
    """Guards against what was chosen before the engine asked for rest."""
    side = Side()
    side.side.send_request(side.send)
    side.admitted = False
    connection = side.connect()
    assert connection.transport.value() == b''
    assert side.events == [
        relay_events.SendFailed(
            side.send.exchange,
            side.send.send,
            False,
            'server wants no requests',
        )
    ]
