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
KEEP_ALIVE_MARGIN = 1.0
# The same where the server states none.
IDLE_SECONDS = 4.0
MOST_HEADER_BYTES = 65_536
# A server that has too many connections resets new ones when they are open,
# within a round trip and a millisecond. For some seconds after one was reset
# without an answer, requests are held back for this long, so that a reset
# finds nothing sent: a request that was may have run, and an at-most-once
# call can then not be tried again. In seconds.
SETTLE_SECONDS = 0.005
WARY_SECONDS = 5.0


class Receiver(Protocol):
    """What gets the answer to one request."""

    def answer_began(self, response: h11.Response) -> None:
        """The head of the answer is in."""

    def answer_moved(self, data: bytes) -> None:
        """More of the body is in."""

    def answer_complete(self) -> None:
        """The answer is whole; nothing follows on this request."""

    def answer_broken(self, handed_over: bool, detail: str) -> None:
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

    def head(self) -> h11.Request:
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
            h11.CLIENT, max_incomplete_event_size=MOST_HEADER_BYTES
        )
        self.receiver: Receiver | None = None
        self.settling: Pending | None = None
        self.answered = False
        self.idle_until = 0.0
        self.keep_seconds = IDLE_SECONDS
        self.closed = False

    def connectionMade(self) -> None:  # noqa: N802
        """Prepare the socket."""
        http1.prepare(self.transport)

    def send(self, request: WireRequest, receiver: Receiver) -> None:
        """Send a request whole; the connection must be idle or new."""
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        self.receiver = receiver
        self.answered = False
        try:
            out = self.http.send(request.head())
            if request.body:
                out += self.http.send(h11.Data(data=request.body))
            out += self.http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            self.fail(False, f'cannot send: {exc}')
            return
        self.transport.write(out)

    def abandon(self) -> None:
        """Close the connection at once; nobody wants the answer."""
        self.receiver = None
        self.settling = None
        self.drop()

    def drop(self) -> None:
        """Reset the connection and never use it again."""
        self.closed = True
        self.pool.forget(self)
        self.transport.abortConnection()

    # -- what comes in ------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on what belongs to the request that waits."""
        if self.closed:
            return
        if self.receiver is None:
            self.drop()
            return
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Have bytes parsed, and carry out what they mean."""
        try:
            self.http.receive_data(data)
            while self.receiver is not None and self.advance():
                pass
        except h11.RemoteProtocolError as exc:
            self.fail(True, f'not an answer: {exc}')

    def advance(self) -> bool:
        """Handle one parsed event; return whether there may be more."""
        event = self.http.next_event()
        match event:
            case h11.Response():
                self.answered = True
                self.note_keep_alive(event)
                self.receiver.answer_began(event)
            case h11.Data(data=data):
                self.receiver.answer_moved(bytes(data))
            case h11.EndOfMessage():
                self.finish()
                return False
            case h11.InformationalResponse():
                return True
            case _:
                return False
        return True

    def note_keep_alive(self, response: h11.Response) -> None:
        """Keep how long the server leaves an idle connection open."""
        stated = http1.first_value(
            tuple(response.headers.raw_items()), b'keep-alive'
        )
        self.keep_seconds = keep_alive_seconds(stated)

    def finish(self) -> None:
        """End the request; keep the connection if nothing speaks against it.

        Bytes behind a whole answer belong to no request. A request that was
        answered before all of it was sent would be read on by the server as
        the next one's beginning; all of it is in the send buffer by now, so
        that the order on the wire holds.
        """
        receiver, self.receiver = self.receiver, None
        surplus = self.http.trailing_data[0]
        reusable = (
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not surplus
            and self.keep_seconds > 0
        )
        if reusable:
            self.pool.keep(self)
        else:
            self.drop()
        receiver.answer_complete()

    def fail(self, handed_over: bool, detail: str) -> None:
        """End the request without a whole answer."""
        receiver, self.receiver = self.receiver, None
        self.drop()
        if receiver is not None:
            receiver.answer_broken(handed_over, detail)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """End what is under way; an orderly end may end an answer."""
        self.closed = True
        self.pool.forget(self)
        settling, self.settling = self.settling, None
        if settling is not None:
            settling.over = True
            detail = 'reset before anything was sent'
            settling.receiver.answer_broken(False, detail)
        if self.receiver is None:
            return
        if not self.answered:
            self.pool.was_reset(self.key)
        if reason.check(error.ConnectionDone):
            self.feed(b'')
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.answer_broken(True, reason.type.__name__)


def keep_alive_seconds(stated: bytes | None) -> float:
    """Return how long a connection may be kept, from a ``Keep-Alive`` field.

    Less than a second stated means that it is not kept at all.
    """
    if stated is None:
        return IDLE_SECONDS
    for part in stated.split(b','):
        name, _, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return min(IDLE_SECONDS, int(value) - KEEP_ALIVE_MARGIN)
    return IDLE_SECONDS


@dataclasses.dataclass(slots=True)
class Pending:
    """A request on its way: waiting for a connection, or on one.

    ``refused`` tells that nobody listened at its address.
    """

    request: Callable[[], WireRequest]
    receiver: Receiver
    connection: ClientConnection | None = None
    connecting: interfaces.IConnector | None = None
    over: bool = False
    refused: bool = False

    def abandon(self) -> None:
        """Give up the request; its receiver hears no more of it."""
        self.over = True
        if self.connection is not None:
            self.connection.abandon()
        elif self.connecting is not None:
            self.connecting.disconnect()


class Connecting(protocol.ClientFactory):
    """Opens one connection for a request that waits for it."""

    noisy = False

    def __init__(self, pool: 'ConnectionPool', key: str, pending: Pending):
        self.pool = pool
        self.key = key
        self.pending = pending

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> ClientConnection:
        """Return a connection that sends the request when it is up."""
        connection = ClientConnection(self.pool, self.key)
        made = connection.connectionMade

        def connection_made() -> None:
            made()
            self.pool.connected(connection, self.pending)

        connection.connectionMade = connection_made
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: failure.Failure
    ) -> None:
        """Report that nothing was sent."""
        if not self.pending.over:
            self.pending.over = True
            refused = reason.check(error.ConnectionRefusedError)
            self.pending.refused = refused is not None
            detail = f'connect: {reason.type.__name__}'
            self.pending.receiver.answer_broken(False, detail)


class ConnectionPool:
    """Opens connections and keeps idle ones, by a key of the caller's.

    The key has to change when another server gets the same address: what is
    kept must never carry a request to it.

    Invariant: a connection is in ``idle`` only while it carries no request.
    """

    def __init__(self, reactor: interfaces.IReactorTCP) -> None:
        self.reactor = reactor
        self.idle: dict[str, list[ClientConnection]] = {}
        self.wary_until: dict[str, float] = {}
        self.opened = 0

    def request(
        self,
        key: str,
        address: engines.Address,
        request: Callable[[], WireRequest],
        receiver: Receiver,
        fresh: bool = False,
    ) -> Pending:
        """Send a request, on an idle connection unless a new one is wanted.

        ``request`` is called right before the sending, so that what it says
        of the time left is true then.
        """
        pending = Pending(request, receiver)
        connection = None if fresh else self.take(key)
        if connection is not None:
            pending.connection = connection
            connection.send(request(), receiver)
            return pending
        self.opened += 1
        pending.connecting = self.reactor.connectTCP(
            address.host,
            address.port,
            Connecting(self, key, pending),
            timeout=CONNECT_SECONDS,
        )
        return pending

    def connected(
        self, connection: ClientConnection, pending: Pending
    ) -> None:
        """Send what waited for a connection, if that seems to hold."""
        if pending.over:
            connection.drop()
            return
        pending.connection = connection
        if self.reactor.seconds() < self.wary_until.get(connection.key, 0.0):
            connection.settling = pending
            self.reactor.callLater(SETTLE_SECONDS, self.settled, connection)
            return
        connection.send(pending.request(), pending.receiver)

    def settled(self, connection: ClientConnection) -> None:
        """Send on a connection that was not reset right after it opened."""
        pending, connection.settling = connection.settling, None
        if pending is not None:
            connection.send(pending.request(), pending.receiver)

    def was_reset(self, key: str) -> None:
        """Note that a server ended a connection that owed an answer."""
        self.wary_until[key] = self.reactor.seconds() + WARY_SECONDS

    def take(self, key: str) -> ClientConnection | None:
        """Return an idle connection, the one that was used last."""
        kept = self.idle.get(key, [])
        now = self.reactor.seconds()
        while kept:
            connection = kept.pop()
            if connection.idle_until > now and not connection.closed:
                return connection
            connection.drop()
        return None

    def keep(self, connection: ClientConnection) -> None:
        """Keep a connection that carries no request now."""
        seconds = connection.keep_seconds
        connection.idle_until = self.reactor.seconds() + seconds
        self.idle.setdefault(connection.key, []).append(connection)

    def forget(self, connection: ClientConnection) -> None:
        """Drop a connection that is closed from the idle ones."""
        kept = self.idle.get(connection.key)
        if kept is None:
            return
        if connection in kept:
            kept.remove(connection)
        if not kept:
            del self.idle[connection.key]

    def close_expired(self) -> None:
        """Close idle connections whose time is over; forget old resets."""
        now = self.reactor.seconds()
        for key, until in list(self.wary_until.items()):
            if now >= until:
                del self.wary_until[key]
        for kept in list(self.idle.values()):
            for connection in list(kept):
                if connection.idle_until <= now:
                    connection.drop()
