"""Checks whether an engine whose connections failed has ended."""

import h11
import pytest
from twisted.internet import error
from twisted.internet import task
from twisted.python import failure

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import engines
from greengagelb.transport.relay import engine_side
from greengagelb.transport.relay import http_client
from tests.common import relay_wires

ENTRY = engines.EngineEntry(
    'e', 's', relay_wires.ADDRESS, 'north', 1, False, 1, started_at_ms=1000
)
FATE = relay_events.EngineFate


class Dialect(relay_wires.Dialect):
    """Reads an engine's start from the body of its answer."""

    def write_probe(self, engine):
        host = (b'Host', b'e')
        return http_client.WireRequest(b'GET', b'/report', (host,))

    def read_started_at_ms(self, status, body):
        return int(body)


class Reactor(task.Clock):
    """Records the factory of the connection that is being opened."""

    def connectTCP(self, host, port, factory, **named):  # noqa: N802
        self.factory = factory
        return self

    def disconnect(self):
        """Ignore the end of the attempt to connect."""


def check_engine():
    """Check an engine; return the reactor and the reported events."""
    reactor = Reactor()
    found = []
    pool = http_client.ConnectionPool(reactor)
    side = engine_side.EngineSide(
        pool,
        Dialect(),
        found.append,
        lambda _: True,
        relay_wires.direct_opener(pool),
    )
    side.check_engine(relay_actions.CheckEngine(ENTRY))
    return reactor, found


def test_engine_that_refuses_connections_has_ended():
    """Guards against crashes that are not counted."""
    reactor, found = check_engine()
    refused = failure.Failure(error.ConnectionRefusedError())
    reactor.factory.clientConnectionFailed(None, refused)
    assert found == [relay_events.EngineChecked(ENTRY, FATE.ENDED)]


@pytest.mark.parametrize('why', [error.TimeoutError, error.NoRouteError])
def test_fate_of_an_unreachable_engine_is_unknown(why):
    """Guards against failures of links that are counted as crashes."""
    reactor, found = check_engine()
    failed = failure.Failure(why())
    reactor.factory.clientConnectionFailed(None, failed)
    assert found == [relay_events.EngineChecked(ENTRY, FATE.UNKNOWN)]


def test_fate_of_an_unresponsive_engine_is_unknown():
    """Guards against unresponsive engines that are counted as crashed."""
    reactor, found = check_engine()
    reactor.pump([0.1] * 10)
    assert found == [relay_events.EngineChecked(ENTRY, FATE.UNKNOWN)]


@pytest.mark.parametrize(
    ('start', 'fate'),
    [(1000, FATE.ALIVE), (0, FATE.ALIVE), (1001, FATE.ENDED)],
)
def test_engine_with_a_later_start_has_restarted(start, fate):
    """Guards against missing the crash of an engine that has restarted."""
    reactor, found = check_engine()
    connection = reactor.factory.buildProtocol(None)
    connection.makeConnection(relay_wires.Wire())
    server = h11.Connection(h11.SERVER)
    server.receive_data(connection.transport.value())
    while not isinstance(server.next_event(), h11.EndOfMessage):
        pass
    body = str(start).encode()
    length = str(len(body)).encode()
    connection.dataReceived(
        server.send(
            h11.Response(
                status_code=200, headers=[(b'Content-Length', length)]
            )
        )
        + server.send(h11.Data(data=body))
    )
    assert found == [relay_events.EngineChecked(ENTRY, fate)]
