"""A pool of client connections that carry one request at a time.

A connection is reused only after a complete answer without trailing bytes.
Bytes that arrive while no request is in flight close the connection, as the
next request would receive them as its answer.
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

# A connection within the fleet opens in a few milliseconds. If it takes
# longer, the machine is down or its accept queue is full. Nothing of the
# request was sent, and there is still time to send it to another engine.
CONNECT_SECONDS = 0.25
# An idle connection is closed this long before the server's own timeout, so
# that a request does not race with the server's close.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
# For servers that state no keep-alive timeout; an upper bound for the others.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
MAX_HEADER_BYTES = 65_536
MAX_STATUS = 599
# A server with too many connections resets new ones once they are open, within
# a round trip and a millisecond. For RESET_MEMORY_SECONDS after a connection
# was reset without an answer, requests on new connections to that server are
# delayed by SEND_DELAY_SECONDS, so that nothing has been sent when the reset
# arrives. A request that was sent may have run, and an at-most-once call could
# not be retried then.
SEND_DELAY_SECONDS = 0.005
RESET_MEMORY_SECONDS = 5.0


class Receiver(Protocol):
    """Receives the answer to one request."""

    def answer_started(self, response: h11.Response) -> None:
        """Handle the head of the answer."""

    def body_received(self, data: bytes) -> None:
        """Handle a part of the body."""

    def answer_completed(self, *, ended_by_close: bool) -> None:
        """Handle the end of a complete answer; no call follows.

        ``ended_by_close`` tells that only the orderly close of the connection
        ended it: the answer had neither a length nor chunks.
        """

    def answer_failed(self, handed_over: bool, detail: str) -> None:
        """Handle a failure: there is no complete answer; no call follows.

        ``handed_over`` is false only if no byte of the request was written to
        a connection.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class WireRequest:
    """A request to send; ``headers`` exclude framing fields."""

    method: bytes
    target: bytes
    headers: requests.Headers
    body: bytes = b''

    def build_head(self) -> h11.Request:
        """Return the head with the body's ``Content-Length``."""
        headers = list(self.headers)
        if self.body or self.method not in (b'GET', b'HEAD', b'DELETE'):
            length = str(len(self.body)).encode()
            headers.append((b'Content-Length', length))
        return h11.Request(
            method=self.method, target=self.target, headers=headers
        )


class ConnectionLease(Protocol):
    """The lease of a connection through another instance."""

    def set_suspended(self, is_suspended: bool) -> None:
        """Stop renewing the lease after one more time, or go on with that."""


class ClientConnection(protocol.Protocol):
    """One connection to a server.

    ``opened``, if given, is called once the connection is open.
    ``delayed_request`` waits for ``SEND_DELAY_SECONDS`` to pass. ``via`` is
    the incarnation of the instance through which it goes, empty if it is
    direct; a connection through another instance carries one request.
    ``is_close_announced`` tells that the current answer's head says so.
    ``lease`` is that of a connection through another instance, if it has one,
    and ``is_path_lost`` tells that the path to that instance was lost.
    """

    def __init__(
        self,
        pool: 'ConnectionPool',
        key: str,
        opened: Callable[['ClientConnection'], None] | None = None,
        *,
        via: str = '',
    ) -> None:
        self.pool = pool
        self.key = key
        self.opened = opened
        self.via = via
        self.lease: ConnectionLease | None = None
        self.is_path_lost = False
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.receiver: Receiver | None = None
        self.delayed_request: PendingRequest | None = None
        self.has_answer_started = False
        self.is_close_announced = False
        self.head_bytes = 0
        self.idle_until = 0.0
        self.keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self.is_closed = False

    def connectionMade(self) -> None:  # noqa: N802
        """Set the options of the socket, and hand the connection over."""
        http1.configure_socket(self.transport)
        opened, self.opened = self.opened, None
        if opened is not None:
            opened(self)

    def send_request(self, request: WireRequest, receiver: Receiver) -> None:
        """Write a whole request; the connection must be idle or new."""
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        self.receiver = receiver
        self.has_answer_started = False
        self.head_bytes = 0
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
        """Reset the connection, since the answer is no longer wanted."""
        self.receiver = None
        self.delayed_request = None
        self.reset_connection()

    def reset_connection(self) -> None:
        """Reset the connection and remove it from the pool."""
        self.is_closed = True
        self.pool.remove_idle_connection(self)
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes; reset if no request is in flight."""
        if self.is_closed:
            return
        if self.receiver is None:
            self.reset_connection()
            return
        self.parse_bytes(data)

    def parse_bytes(self, data: bytes) -> None:
        """Parse bytes and handle the resulting events."""
        try:
            self.http.receive_data(data)
            while self.receiver is not None and self.handle_next_event():
                pass
        except h11.RemoteProtocolError as exc:
            self.fail_request(True, f'not an answer: {exc}')
            return
        self.bound_head(len(data))

    def bound_head(self, length: int) -> None:
        """Fail a request whose answer goes on without a head.

        The parser bounds each head, but not the informational ones together.
        """
        if self.receiver is None or self.has_answer_started:
            return
        self.head_bytes += length
        if self.head_bytes > MAX_HEADER_BYTES:
            self.fail_request(True, 'not an answer: no end of its head')

    def handle_next_event(self) -> bool:
        """Handle one parsed event; return whether more may follow."""
        event = self.http.next_event()
        match event:
            case h11.Response(status_code=status) if status > MAX_STATUS:
                self.fail_request(True, f'not an answer: status {status}')
                return False
            case h11.Response():
                self.has_answer_started = True
                self.is_close_announced = http1.announces_close(event)
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
        """Note how long the server keeps an idle connection open."""
        stated = http1.first_header_value(
            tuple(response.headers.raw_items()), b'keep-alive'
        )
        self.keep_alive_seconds = parse_keep_alive(stated)

    def finish_request(self) -> None:
        """Complete the request; keep the connection if it may be reused.

        An answer without a length that ends with its connection is cut if its
        head did not announce that: the rest of the head may be missing.
        Bytes behind a complete answer belong to no request, so the connection
        is not reused. A request may be answered before all of it was sent.
        The connection can be reused even then: the whole request is in the
        send buffer, so the next one follows it on the wire.
        """
        ended_by_close = self.is_closed
        if ended_by_close and not self.is_close_announced:
            self.fail_request(True, 'closed without the end of its answer')
            return
        receiver, self.receiver = self.receiver, None
        trailing_bytes = self.http.trailing_data[0]
        reusable = (
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not trailing_bytes
            and self.keep_alive_seconds > 0
            and not self.via
        )
        if reusable:
            self.pool.keep_idle_connection(self)
        else:
            self.reset_connection()
        receiver.answer_completed(ended_by_close=ended_by_close)

    def fail_request(self, handed_over: bool, detail: str) -> None:
        """Fail the request and reset the connection."""
        receiver, self.receiver = self.receiver, None
        self.reset_connection()
        if receiver is not None:
            receiver.answer_failed(handed_over, detail)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fail the request in flight, if there is one.

        An orderly close completes an answer that is delimited by it.
        """
        self.is_closed = True
        self.pool.remove_idle_connection(self)
        delayed_request, self.delayed_request = self.delayed_request, None
        if delayed_request is not None:
            delayed_request.fail('reset before anything was sent')
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
    """Return how many seconds a connection may be kept idle.

    ``stated`` is the server's ``Keep-Alive`` field. The result is zero or
    less, so that the connection is not kept, if its timeout is not longer than
    ``KEEP_ALIVE_MARGIN_SECONDS``.
    """
    if stated is None:
        return DEFAULT_KEEP_ALIVE_SECONDS
    for part in stated.split(b','):
        name, _, value = part.strip().partition(b'=')
        seconds = http1.parse_digits(value)
        if name.lower() == b'timeout' and seconds is not None:
            return min(
                DEFAULT_KEEP_ALIVE_SECONDS,
                seconds - KEEP_ALIVE_MARGIN_SECONDS,
            )
    return DEFAULT_KEEP_ALIVE_SECONDS


class Connector(Protocol):
    """An attempt to open a connection."""

    def disconnect(self) -> None:
        """End the attempt."""


def always() -> bool:
    """Return that a request may be written."""
    return True


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request in flight, or waiting for its connection.

    ``is_admitted`` is asked right before it is written.
    ``connection_refused`` tells that its address refused the connection.

    Invariant: the request and its receiver are None once it is written or
    over. Connections refer to what they have carried, partly in cycles, and
    bodies would stay in memory until the garbage collector came to them.
    """

    build_request: Callable[[], WireRequest] | None
    receiver: Receiver | None
    is_admitted: Callable[[], bool] = always
    connection: ClientConnection | None = None
    connector: Connector | None = None
    is_finished: bool = False
    connection_refused: bool = False

    def write(self, connection: ClientConnection) -> None:
        """Write the request to a connection, which calls the receiver."""
        build_request, receiver = self.build_request, self.receiver
        self.release()
        self.connection = connection
        connection.send_request(build_request(), receiver)

    def fail(self, detail: str) -> None:
        """Tell the receiver that nothing of the request was written."""
        receiver = self.receiver
        self.is_finished = True
        self.release()
        receiver.answer_failed(False, detail)

    def abandon(self) -> None:
        """Drop the request; its receiver is not called any more."""
        connector = self.connector
        self.is_finished = True
        self.release()
        if self.connection is not None:
            self.connection.abandon()
        elif connector is not None:
            connector.disconnect()

    def release(self) -> None:
        """Release the request with its body, and all that it waited for."""
        self.build_request = None
        self.receiver = None
        self.is_admitted = always
        self.connector = None


class SingleUseFactory(protocol.ClientFactory):
    """Opens one connection."""

    noisy = False

    def clientConnectionLost(  # noqa: N802
        self, connector: object, reason: failure.Failure
    ) -> None:
        """Release the socket, and with it the bytes that were not sent.

        The connector and the socket refer to each other.
        """
        connector.transport = None


class ConnectionFactory(SingleUseFactory):
    """Opens a direct connection; ``opened`` or ``failed`` is called once.

    Neither is kept after that: the connection refers to its factory.
    """

    def __init__(
        self,
        pool: 'ConnectionPool',
        key: str,
        opened: Callable[[ClientConnection], None],
        failed: Callable[[failure.Failure], None],
    ) -> None:
        self.pool = pool
        self.key = key
        self.opened: Callable[[ClientConnection], None] | None = opened
        self.failed: Callable[[failure.Failure], None] | None = failed

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> ClientConnection:
        """Return a connection that is handed over once it is open."""
        opened, self.opened, self.failed = self.opened, None, None
        return ClientConnection(self.pool, self.key, opened)

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: failure.Failure
    ) -> None:
        """Report that nothing was opened."""
        failed, self.opened, self.failed = self.failed, None, None
        failed(reason)


class ConnectionPool:
    """Opens connections and keeps idle ones, under keys of its users.

    The key must change when another server gets the same address, as a kept
    connection must never carry a request for that server.

    Invariant: a connection is in ``idle_connections`` only while it carries no
    request.
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
        is_admitted: Callable[[], bool] = always,
        open_connection: Callable[[PendingRequest], None] | None = None,
    ) -> PendingRequest:
        """Send a request on an idle connection, or on a new one.

        ``open_connection`` opens that; without it, it is opened directly.

        ``fresh`` demands a new connection. ``build_request`` is called right
        before the request is written, so that the remaining time in it is
        correct. The request fails instead if ``is_admitted`` denies it then.
        """
        pending = PendingRequest(build_request, receiver, is_admitted)
        connection = None if fresh else self.take_idle_connection(key)
        if connection is not None:
            self.write_request(connection, pending)
            return pending
        if open_connection is None:
            self.connect_directly(key, address, pending)
        else:
            open_connection(pending)
        return pending

    def connect_directly(
        self, key: str, address: engines.Address, pending: PendingRequest
    ) -> None:
        """Open a connection for a request that waits for one."""

        def failed(reason: failure.Failure) -> None:
            if not pending.is_finished:
                refused = reason.check(error.ConnectionRefusedError)
                pending.connection_refused = refused is not None
                pending.fail(f'connect: {reason.type.__name__}')

        self.connections_opened += 1
        pending.connector = self.reactor.connectTCP(
            address.host,
            address.port,
            ConnectionFactory(
                self,
                key,
                lambda connection: self.handle_connected(connection, pending),
                failed,
            ),
            timeout=CONNECT_SECONDS,
        )

    def handle_connected(
        self, connection: ClientConnection, pending: PendingRequest
    ) -> None:
        """Send the request that waited for a connection.

        It is delayed if the server has recently reset connections.
        """
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
        self.write_request(connection, pending)

    def send_delayed_request(self, connection: ClientConnection) -> None:
        """Send the delayed request unless its connection was reset."""
        pending, connection.delayed_request = connection.delayed_request, None
        if pending is not None:
            self.write_request(connection, pending)

    def write_request(
        self, connection: ClientConnection, pending: PendingRequest
    ) -> None:
        """Write a request if it is still admitted; fail it otherwise.

        All requests are written here, whatever they have waited for.
        """
        if pending.is_admitted():
            pending.write(connection)
            return
        connection.reset_connection()
        pending.fail('server wants no requests')

    def note_reset(self, key: str) -> None:
        """Note that a server closed a connection without any answer."""
        self.delay_sends_until[key] = (
            self.reactor.seconds() + RESET_MEMORY_SECONDS
        )

    def take_idle_connection(self, key: str) -> ClientConnection | None:
        """Return the most recently used idle connection, or None."""
        kept = self.idle_connections.get(key, [])
        now = self.reactor.seconds()
        while kept:
            connection = kept.pop()
            if connection.idle_until > now and not connection.is_closed:
                return connection
            connection.reset_connection()
        return None

    def keep_idle_connection(self, connection: ClientConnection) -> None:
        """Keep a connection whose request is complete."""
        seconds = connection.keep_alive_seconds
        connection.idle_until = self.reactor.seconds() + seconds
        self.idle_connections.setdefault(connection.key, []).append(connection)

    def remove_idle_connection(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the idle ones."""
        kept = self.idle_connections.get(connection.key)
        if kept is None:
            return
        if connection in kept:
            kept.remove(connection)
        if not kept:
            del self.idle_connections[connection.key]

    def close_expired(self) -> None:
        """Close expired idle connections; remove expired notes of resets."""
        now = self.reactor.seconds()
        for key, until in list(self.delay_sends_until.items()):
            if now >= until:
                del self.delay_sends_until[key]
        for kept in list(self.idle_connections.values()):
            for connection in list(kept):
                if connection.idle_until <= now:
                    connection.reset_connection()
