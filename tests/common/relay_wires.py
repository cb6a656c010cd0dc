"""Connections of the relay without sockets, and a small dialect for them."""

import h11
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from greengagelb import errors
from greengagelb.protocol import statement_headers
from greengagelb.state.relay import engines
from greengagelb.state.relay import requests
from greengagelb.transport.relay import engine_side
from greengagelb.transport.relay import http1
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay.forwarding import connection_race
from tests.common import relay_world

ADDRESS = engines.Address('127.0.0.1', 7)


class Handle:
    """Takes socket options."""

    def setsockopt(self, *options):
        """Nothing depends on them here."""


class Wire(testing.StringTransport):
    """A transport that remembers how it was closed."""

    aborted = False
    half_closed = False

    def setTcpNoDelay(self, enabled):
        """Nothing depends on it here."""

    def setTcpKeepAlive(self, enabled):
        """Nothing depends on it here."""

    def getHandle(self):
        return Handle()

    def unregisterProducer(self):
        """Forget the producer, once more too, as a socket's does."""
        self.producer = None

    def abortConnection(self):
        self.aborted = True
        self.disconnecting = True

    def loseWriteConnection(self):
        self.half_closed = True


class Dialect:
    """The least that the relay needs: an ``Id`` field and a time left."""

    def read_request(self, exchange, head, body, received_at):
        fields = tuple(head.headers.raw_items())
        request_id = http1.first_header_value(fields, b'id')
        if request_id is None:
            raise errors.ProtocolError('request without an id')
        return requests.CallerRequest(
            exchange,
            head.method,
            head.target,
            'api.example',
            http1.select_end_to_end_headers(fields),
            body,
            request_id.decode(),
            'a key',
            received_at,
            received_at + 10.0,
        )

    def write_send(self, send, now):
        left = str(int(1000 * (send.deadline - now))).encode()
        headers = (*send.request.headers, (b'Left', left))
        return http_client.WireRequest(
            send.request.method,
            send.request.target,
            headers,
            send.request.body,
        )

    def read_answer_head(self, response):
        fields = tuple(response.headers.raw_items())
        return requests.AnswerHead(
            response.status_code,
            bytes(response.reason),
            http1.select_end_to_end_headers(fields),
            http1.first_header_value(fields, b'seal') is not None,
            http1.first_header_value(fields, b'not-run') is not None,
            statement=statement_headers.parse_statement(
                response.status_code,
                [v for n, v in fields if n.lower() == b'leaving'],
                [v for n, v in fields if n.lower() == b'retry-after'],
                [v for n, v in fields if n.lower() == b'refusal-rate'],
            ),
        )

    def read_started_at_ms(self, status, body):
        return engines.UNKNOWN_START

    def read_run_events(self, status, body, request_id):
        return None

    def read_is_leaving(self, status, body):
        return body == b'leaving'

    def write_identity_request(self, engine, path):
        return http_client.WireRequest(
            b'GET', path.encode(), ((b'Host', b'engine'),)
        )

    def is_answer_to(self, response, send):
        fields = tuple(response.headers.raw_items())
        echoed = http1.first_header_value(fields, b'id')
        return echoed == send.request.request_id.encode()

    def read_event_number(self, raw):
        return int(raw.partition(b'id: ')[2].split(b'\n')[0])


class Receiver:
    """Keeps what a connection reports of one request."""

    def __init__(self):
        self.status = None
        self.body = b''
        self.complete = False
        self.broken = None

    def answer_started(self, response):
        self.status = response.status_code

    def body_received(self, data):
        self.body += data

    def answer_completed(self, *, ended_by_close):
        self.complete = True
        self.ended_by_close = ended_by_close

    def answer_failed(self, handed_over, detail):
        self.broken = (handed_over, detail)


def direct_opener(pool):
    """Return an opener that knows no other instances to connect through."""
    lone = relay_world.RelayWorld().relay
    return connection_race.ConnectionOpener(
        pool, lone.paths, lambda event: None, lambda name: None, 'own', 4
    )


def engine_side_of(pool, events):
    """Return the engine side of an instance, which appends its events."""
    return engine_side.EngineSide(
        pool, Dialect(), events.append, lambda entry: True, direct_opener(pool)
    )


def wire_request(name=b'/one', body=b''):
    """Return a request as it goes out."""
    method = b'POST' if body else b'GET'
    return http_client.WireRequest(method, name, ((b'Host', b'engine'),), body)


class Server:
    """The far end of the connections that a pool opens."""

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        self.pool = http_client.ConnectionPool(self.reactor)
        self.connections = []

    def ask(self, receiver, *, fresh=False, key='engine-1', body=b''):
        """Send a request, accepting a connection if one is opened."""
        before = len(self.reactor.tcpClients)
        self.pool.request(
            key, ADDRESS, lambda: wire_request(body=body), receiver, fresh
        )
        if len(self.reactor.tcpClients) > before:
            self.accept()
        return self.connections[-1]

    def accept(self):
        """Let the connection that is being opened come up."""
        factory = self.reactor.tcpClients[-1][2]
        connection = factory.buildProtocol(None)
        connection.makeConnection(Wire())
        self.connections.append(connection)

    def refuse(self):
        """Refuse the connection that is being opened."""
        factory = self.reactor.tcpClients[-1][2]
        why = failure.Failure(error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, why)


def close(connection):
    """Let the far end close a connection in order."""
    connection.connectionLost(failure.Failure(error.ConnectionDone()))


def reset(connection):
    """Let the far end reset a connection."""
    connection.connectionLost(failure.Failure(error.ConnectionLost()))


def parse_answers(raw):
    """Return status and body of each answer in what a caller received.

    The last one has None for a body if it does not look complete.
    """
    client = h11.Connection(h11.CLIENT)
    found = []
    rest = raw
    while rest:
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method=b'GET', target=b'/', headers=HOST))
        client.send(h11.EndOfMessage())
        client.receive_data(rest)
        status, body, whole = None, b'', False
        while True:
            event = client.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                whole = True
                break
            elif event is h11.NEED_DATA:
                break
        found.append((status, body if whole else None))
        rest = client.trailing_data[0] if whole else b''
    return found


HOST = [(b'Host', b'x')]
