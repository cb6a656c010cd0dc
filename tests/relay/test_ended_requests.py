"""What is kept of requests to engines once they have ended."""

import dataclasses
import gc
import sys
import weakref

import pytest
from twisted.internet import protocol
from twisted.internet import selectreactor

from greengagelb.state.relay import engines
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay import timed_requests
from tests.common import relay_wires
from tests.common import relay_world

LARGE_BODY = bytes(8 << 20)
REAL_SECONDS = 0.2


@pytest.fixture(autouse=True)
def no_collector():
    """Leave what is in a cycle where it is."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


class Sending:
    """An instance that sends one request to an engine.

    ``body`` is that of the request; the test itself holds it once.
    """

    def __init__(self):
        self.server = relay_wires.Server()
        self.body = bytearray(b'a body').hex().encode()
        self.holders = sys.getrefcount(self.body)
        self.events = []
        self.side = relay_wires.engine_side_of(self.server.pool, self.events)

    def send(self):
        """Send it; the connection is being opened."""
        world = relay_world.RelayWorld()
        send = world.last_send(world.call())
        request = dataclasses.replace(send.request, body=self.body)
        self.side.send_request(dataclasses.replace(send, request=request))

    def connect(self):
        self.server.accept()
        return self.server.connections[-1]

    @property
    def is_body_kept(self):
        return sys.getrefcount(self.body) > self.holders


def answer(sending):
    sending.connect().dataReceived(
        b'HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok'
    )


def lose(sending):
    relay_wires.reset(sending.connect())


def abandon(sending):
    sending.connect()
    abandon_unconnected(sending)


def abandon_unconnected(sending):
    for exchange, send in list(sending.side.pending_sends):
        sending.side.abandon_send(exchange, send)


def refuse(sending):
    sending.server.refuse()


def time_out(sending):
    sending.server.reactor.advance(http_client.CONNECT_SECONDS)


@pytest.mark.parametrize(
    'end', [answer, lose, abandon, abandon_unconnected, refuse, time_out]
)
def test_body_is_not_kept_once_its_request_has_ended(end):
    """Guards against bodies that fill the memory of an instance.

    Connections and the attempts to open them referred to the requests that
    they had carried, until the garbage collector came to them.
    """
    sending = Sending()
    sending.send()
    assert sending.is_body_kept
    end(sending)
    assert not sending.side.pending_sends
    assert not sending.is_body_kept


class Answers(list):
    """Takes the answer to a request of the instance itself."""

    def __call__(self, found):
        self.append(found)


@pytest.mark.parametrize('body', [b'half', b'all of it'])
def test_answer_to_the_instance_itself_is_not_kept(body):
    """Guards against answers of the store that stay, some of them long.

    The function that checked for a timeout referred to itself.
    """
    server = relay_wires.Server()
    taken = Answers()
    timed_requests.send_timed_request(
        server.pool,
        timed_requests.TimedRequest(
            'store', relay_wires.ADDRESS, relay_wires.wire_request(), 0.5
        ),
        taken,
    )
    server.accept()
    server.connections[-1].dataReceived(
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n' + body
    )
    kept = weakref.ref(taken)
    server.reactor.advance(2.0)
    assert len(taken) == 1
    del taken
    assert kept() is None


class Engine(protocol.Protocol):
    """Reads nothing of what it is sent."""

    def connectionMade(self):
        self.transport.pauseProducing()


def test_unsent_body_is_not_kept_once_its_request_is_abandoned():
    """Guards against bodies that stay in the buffers of closed sockets."""
    reactor = selectreactor.SelectReactor()
    port = reactor.listenTCP(
        0, protocol.Factory.forProtocol(Engine), interface='127.0.0.1'
    )
    address = engines.Address('127.0.0.1', port.getHost().port)
    pool = http_client.ConnectionPool(reactor)
    open_requests = [
        pool.request(
            'engine-1',
            address,
            lambda: relay_wires.wire_request(body=LARGE_BODY),
            relay_wires.Receiver(),
        )
    ]
    sockets = []

    def abandon_it():
        pending = open_requests.pop()
        sockets.append(weakref.ref(pending.connection.transport))
        assert sockets[0]().dataBuffer
        pending.abandon()

    reactor.callLater(REAL_SECONDS, abandon_it)
    reactor.callLater(2 * REAL_SECONDS, port.stopListening)
    reactor.callLater(3 * REAL_SECONDS, reactor.stop)
    reactor.run(installSignalHandlers=False)
    assert sockets[0]() is None
