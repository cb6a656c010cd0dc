"""Client connections that carry one request at a time.

A connection goes back to the idle ones only after a whole answer with
nothing behind it. Any byte that comes while none is asked for belongs to
nobody, and closes it: the next request would get it as its answer.
"""

from collections.abc import Callable
import dataclasses
from typing import Protocol

import h11
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from greengagelb.state.relay import engines
from greengagelb.state.relay import requests
from greengagelb.transport.relay import http1

# A connection within the fleet is up in a few milliseconds. One that takes
# longer goes to a machine that is dark or to a full queue, and its request
# still has time for another engine, as nothing of it was sent.
CONNECT_SECONDS = 0.25
# An idle connection is closed this long before the time that its server
# states, so that a request does not cross the server's close. In seconds.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
# The same where the server states none.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
MAX_HEADER_BYTES = 65_536
# A server that has too many connections resets new ones when they are open,
# within a round trip and a millisecond. For some seconds after one was reset
# without an answer, requests are held back for this long, so that a reset
# finds nothing sent: a request that was may have run, and an at-most-once
# call can then not be tried again. In seconds.
SEND_DELAY_SECONDS = 0.005
RESET_MEMORY_SECONDS = 5.0


class Receiver(Protocol):
    """What gets the answer to one request."""

    def answer_started(self, response: h11.Response) -> None:
        """The head of the answer is in."""

    def body_received(self, data: bytes) -> None:
        """More of the body is in."""

    def answer_completed(self) -> None:
        """The answer is whole; nothing follows on this request."""

    def answer_failed(self, handed_over: bool, detail: str) -> None:
        """There will be no whole answer.

        ``handed_over`` is false only where no byte of the request was given
        to a connection.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class WireRequest:
    """A request as it goes out; ``headers`` hold no framing."""

    method: bytes
    target: bytes
    headers: requests.Headers
    body: bytes = b''

    def build_head(self) -> h11.Request:
        """Return the head, with the length of the body."""
        headers = list(self.headers)
        if self.body or self.method not in (b'GET', b'HEAD', b'DELETE'):
            length = str(len(self.body)).encode()
            headers.append((b'Content-Length', length))
        return h11.Request(
            method=self.method, target=self.target, headers=headers
        )


class ClientConnection(protocol.Protocol):
    """One connection to a server."""

    def __init__(self, pool: 'ConnectionPool', key: str) -> None:
        self.pool = pool
        self.key = key
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.receiver: Receiver | None = None
        self.delayed_request: PendingRequest | None = None
        self.has_answer_started = False
        self.idle_until = 0.0
        self.keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self.is_closed = False

    def connectionMade(self) -> None:  # noqa: N802
        """Prepare the socket."""
        http1.configure_socket(self.transport)

    def send_request(self, request: WireRequest, receiver: Receiver) -> None:
        """Send a request whole; the connection must be idle or new."""
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        self.receiver = receiver
        self.has_answer_started = False
        try:
            out = self.http.send(request.build_head())
            if request.body:
                out += self.http.send(h11.Data(data=request.body))
            out += self.http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            self.fail_request(False, f'cannot send: {exc}')
            return
        self.transport.write(out)

    def abandon(self) -> None:
        """Close the connection at once; nobody wants the answer."""
        self.receiver = None
        self.delayed_request = None
        self.reset_connection()

    def reset_connection(self) -> None:
        """Reset the connection and never use it again."""
        self.is_closed = True
        self.pool.remove_idle_connection(self)
        self.transport.abortConnection()

    # -- what comes in ------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on what belongs to the request that waits."""
        if self.is_closed:
            return
        if self.receiver is None:
            self.reset_connection()
            return
        self.parse_bytes(data)

    def parse_bytes(self, data: bytes) -> None:
        """Have bytes parsed, and carry out what they mean."""
        try:
            self.http.receive_data(data)
            while self.receiver is not None and self.handle_next_event():
                pass
        except h11.RemoteProtocolError as exc:
            self.fail_request(True, f'not an answer: {exc}')

    def handle_next_event(self) -> bool:
        """Handle one parsed event; return whether there may be more."""
        event = self.http.next_event()
        match event:
            case h11.Response():
                self.has_answer_started = True
                self.note_keep_alive(event)
                self.receiver.answer_started(event)
            case h11.Data(data=data):
                self.receiver.body_received(bytes(data))
            case h11.EndOfMessage():
                self.finish_request()
                return False
            case h11.InformationalResponse():
                return True
            case _:
                return False
        return True

    def note_keep_alive(self, response: h11.Response) -> None:
        """Keep how long the server leaves an idle connection open."""
        stated = http1.first_header_value(
            tuple(response.headers.raw_items()), b'keep-alive'
        )
        self.keep_alive_seconds = parse_keep_alive(stated)

    def finish_request(self) -> None:
        """End the request; keep the connection if nothing speaks against it.

        Bytes behind a whole answer belong to no request. A request that was
        answered before all of it was sent would be read on by the server as
        the next one's beginning; all of it is in the send buffer by now, so
        that the order on the wire holds.
        """
        receiver, self.receiver = self.receiver, None
        trailing_bytes = self.http.trailing_data[0]
        reusable = (
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not trailing_bytes
            and self.keep_alive_seconds > 0
        )
        if reusable:
            self.pool.keep_idle_connection(self)
        else:
            self.reset_connection()
        receiver.answer_completed()

    def fail_request(self, handed_over: bool, detail: str) -> None:
        """End the request without a whole answer."""
        receiver, self.receiver = self.receiver, None
        self.reset_connection()
        if receiver is not None:
            receiver.answer_failed(handed_over, detail)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """End what is under way; an orderly end may end an answer."""
        self.is_closed = True
        self.pool.remove_idle_connection(self)
        delayed_request, self.delayed_request = self.delayed_request, None
        if delayed_request is not None:
            delayed_request.is_finished = True
            detail = 'reset before anything was sent'
            delayed_request.receiver.answer_failed(False, detail)
        if self.receiver is None:
            return
        if not self.has_answer_started:
            self.pool.note_reset(self.key)
        if reason.check(error.ConnectionDone):
            self.parse_bytes(b'')
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.answer_failed(True, reason.type.__name__)


def parse_keep_alive(stated: bytes | None) -> float:
    """Return how long a connection may be kept, from a ``Keep-Alive`` field.

    Less than a second stated means that it is not kept at all.
    """
    if stated is None:
        return DEFAULT_KEEP_ALIVE_SECONDS
    for part in stated.split(b','):
        name, _, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return min(
                DEFAULT_KEEP_ALIVE_SECONDS,
                int(value) - KEEP_ALIVE_MARGIN_SECONDS,
            )
    return DEFAULT_KEEP_ALIVE_SECONDS


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request on its way: waiting for a connection, or on one.

    ``refused`` tells that nobody listened at its address.
    """

    build_request: Callable[[], WireRequest]
    receiver: Receiver
    connection: ClientConnection | None = None
    connector: interfaces.IConnector | None = None
    is_finished: bool = False
    connection_refused: bool = False

    def abandon(self) -> None:
        """Give up the request; its receiver hears no more of it."""
        self.is_finished = True
        if self.connection is not None:
            self.connection.abandon()
        elif self.connector is not None:
            self.connector.disconnect()


class ConnectionOpener(protocol.ClientFactory):
    """Opens one connection for a request that waits for it."""

    noisy = False

    def __init__(
        self, pool: 'ConnectionPool', key: str, pending: PendingRequest
    ):
        self.pool = pool
        self.key = key
        self.pending = pending

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> ClientConnection:
        """Return a connection that sends the request when it is up."""
        connection = ClientConnection(self.pool, self.key)
        original_connection_made = connection.connectionMade

        def connection_made() -> None:
            original_connection_made()
            self.pool.handle_connected(connection, self.pending)

        connection.connectionMade = connection_made
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: failure.Failure
    ) -> None:
        """Report that nothing was sent."""
        if not self.pending.is_finished:
            self.pending.is_finished = True
            connection_refused = reason.check(error.ConnectionRefusedError)
            self.pending.connection_refused = connection_refused is not None
            detail = f'connect: {reason.type.__name__}'
            self.pending.receiver.answer_failed(False, detail)


class ConnectionPool:
    """Opens connections and keeps idle ones, by a key of the caller's.

    The key has to change when another server gets the same address: what is
    kept must never carry a request to it.

    Invariant: a connection is in ``idle`` only while it carries no request.
    """

    def __init__(self, reactor: interfaces.IReactorTCP) -> None:
        self.reactor = reactor
        self.idle_connections: dict[str, list[ClientConnection]] = {}
        self.delay_sends_until: dict[str, float] = {}
        self.connections_opened = 0

    def request(
        self,
        key: str,
        address: engines.Address,
        build_request: Callable[[], WireRequest],
        receiver: Receiver,
        fresh: bool = False,
    ) -> PendingRequest:
        """Send a request, on an idle connection unless a new one is wanted.

        ``request`` is called right before the sending, so that what it says
        of the time left is true then.
        """
        pending = PendingRequest(build_request, receiver)
        connection = None if fresh else self.take_idle_connection(key)
        if connection is not None:
            pending.connection = connection
            connection.send_request(build_request(), receiver)
            return pending
        self.connections_opened += 1
        pending.connector = self.reactor.connectTCP(
            address.host,
            address.port,
            ConnectionOpener(self, key, pending),
            timeout=CONNECT_SECONDS,
        )
        return pending

    def handle_connected(
        self, connection: ClientConnection, pending: PendingRequest
    ) -> None:
        """Send what waited for a connection, if that seems to hold."""
        if pending.is_finished:
            connection.reset_connection()
            return
        pending.connection = connection
        if self.reactor.seconds() < self.delay_sends_until.get(
            connection.key, 0.0
        ):
            connection.delayed_request = pending
            self.reactor.callLater(
                SEND_DELAY_SECONDS, self.send_delayed_request, connection
            )
            return
        connection.send_request(pending.build_request(), pending.receiver)

    def send_delayed_request(self, connection: ClientConnection) -> None:
        """Send on a connection that was not reset right after it opened."""
        pending, connection.delayed_request = connection.delayed_request, None
        if pending is not None:
            connection.send_request(pending.build_request(), pending.receiver)

    def note_reset(self, key: str) -> None:
        """Note that a server ended a connection that owed an answer."""
        self.delay_sends_until[key] = (
            self.reactor.seconds() + RESET_MEMORY_SECONDS
        )

    def take_idle_connection(self, key: str) -> ClientConnection | None:
        """Return an idle connection, the one that was used last."""
        kept = self.idle_connections.get(key, [])
        now = self.reactor.seconds()
        while kept:
            connection = kept.pop()
            if connection.idle_until > now and not connection.is_closed:
                return connection
            connection.reset_connection()
        return None

    def keep_idle_connection(self, connection: ClientConnection) -> None:
        """Keep a connection that carries no request now."""
        seconds = connection.keep_alive_seconds
        connection.idle_until = self.reactor.seconds() + seconds
        self.idle_connections.setdefault(connection.key, []).append(connection)

    def remove_idle_connection(self, connection: ClientConnection) -> None:
        """Drop a connection that is closed from the idle ones."""
        kept = self.idle_connections.get(connection.key)
        if kept is None:
            return
        if connection in kept:
            kept.remove(connection)
        if not kept:
            del self.idle_connections[connection.key]

    def close_expired(self) -> None:
        """Close idle connections whose time is over; forget old resets."""
        now = self.reactor.seconds()
        for key, until in list(self.delay_sends_until.items()):
            if now >= until:
                del self.delay_sends_until[key]
        for kept in list(self.idle_connections.values()):
            for connection in list(kept):
                if connection.idle_until <= now:
                    connection.reset_connection()
