"""Connections of callers: reads whole requests, writes answers.

A request is read whole before anything is decided on it, so that a caller
who never finishes its body costs no engine anything, and a request that has
to go to a second engine can.
"""

from collections.abc import Callable
import dataclasses
import itertools
import json

import h11
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from greengagelb import errors
from greengagelb.coordination import events
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes
from greengagelb.transport.relay import dialect
from greengagelb.transport.relay import engine_side
from greengagelb.transport.relay import http1

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
TOO_LARGE = 413
HEADER_TOO_LARGE = 431
UNAVAILABLE = 503
# After an answer that ends a connection early, what the caller still sends is
# read and dropped for so long: closing with unread bytes would reset the
# connection, and the answer could be lost on its way. In seconds.
LINGER_SECONDS = 1.0
# Bodies that are being read or kept for a second try, all together.
MOST_BODY_BYTES = 48 << 20
# Bytes of a further request that a caller may send while it waits.
MOST_AHEAD_BYTES = 65_536
# Bytes of a stream that may wait for a caller who does not read. Streams of
# this size are over before; a caller that far behind has stopped reading.
MOST_UNSENT_BYTES = 1 << 20
BODY_WAIT = 0.5
# A caller whose request is refused as this instance ends finds another one as
# soon as it connects again; by then the port here is closed. In seconds.
STOPPING_WAIT = 0.1


@dataclasses.dataclass(slots=True)
class Reading:
    """A request that is being read."""

    head: h11.Request
    received_at: float
    body: bytearray


class CallerConnection(protocol.Protocol):
    """One connection of a caller."""

    def __init__(self, side: 'CallerSide') -> None:
        self.side = side
        self.http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=side.limits.header_bytes,
        )
        self.reading: Reading | None = None
        self.exchange: int | None = None
        self.kept_body = 0
        self.ahead = 0
        self.timer: interfaces.IDelayedCall | None = None
        self.lingering = False
        self.congested = False
        self.unsent = 0

    # -- life ---------------------------------------------------------------

    def connectionMade(self) -> None:  # noqa: N802
        """Wait for the first request."""
        http1.prepare(self.transport)
        self.transport.registerProducer(self, True)
        self.side.connections.add(self)
        self.wait(self.side.limits.idle_seconds, self.idle_too_long)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tell the decisions that the caller is gone."""
        self.stop_waiting()
        self.side.forget(self)
        self.drop_body()
        if self.exchange is not None:
            exchange, self.exchange = self.exchange, None
            self.side.gone(exchange)

    def wait(self, seconds: float, then: Callable[[], None]) -> None:
        """Call a function unless the caller moves on before."""
        self.stop_waiting()
        self.timer = self.side.reactor.callLater(seconds, self.due, then)

    def due(self, then: Callable[[], None]) -> None:
        """Carry out what was waited for."""
        self.timer = None
        then()

    def stop_waiting(self) -> None:
        """Forget the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def idle_too_long(self) -> None:
        """Close a connection on which nothing was asked for long."""
        self.close()

    @property
    def idle(self) -> bool:
        """Return whether nothing is asked, or refused, on this connection."""
        under_way = self.exchange is not None or self.half_read
        return not (under_way or self.lingering)

    @property
    def half_read(self) -> bool:
        """Return whether a part of a request has come in."""
        begun = self.reading is not None or bool(self.http.trailing_data[0])
        return begun and self.exchange is None

    def end(self) -> None:
        """Close the connection, as this instance ends."""
        if self.transport.disconnecting:
            return
        if self.idle:
            self.close()
        else:
            self.refuse_half_read()

    def refuse_half_read(self) -> None:
        """Refuse a request that has come in only in part.

        Without an answer its caller could not know whether it has run.
        """
        if self.half_read and not self.lingering:
            self.refuse_and_close(UNAVAILABLE, 'stopping', STOPPING_WAIT)

    def close(self) -> None:
        """Close the connection once all that was written is out."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the caller does not read as fast as it is sent."""
        self.congested = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the caller has caught up."""
        self.congested = False
        self.unsent = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing to do: the end is told by ``connectionLost``."""

    # -- reading ------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read on, unless an answer is still owed or all is over."""
        if self.lingering:
            return
        if self.exchange is not None:
            self.ahead += len(data)
            if self.ahead > MOST_AHEAD_BYTES:
                self.transport.abortConnection()
                return
        self.parse(data)

    def parse(self, data: bytes) -> None:
        """Have bytes parsed, and carry out what they mean."""
        if data:
            self.http.receive_data(data)
        try:
            while self.exchange is None and not self.lingering:
                if not self.advance():
                    break
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            code = (
                'header-too-large'
                if status == HEADER_TOO_LARGE
                else 'bad-request'
            )
            self.refuse_and_close(status, code)

    def advance(self) -> bool:
        """Handle one parsed event; return whether there may be more."""
        event = self.http.next_event()
        match event:
            case h11.Request():
                self.begin_request(event)
            case h11.Data(data=data):
                self.read_body(data)
            case h11.EndOfMessage():
                self.finish_request()
            case h11.ConnectionClosed():
                return False
            case _:
                if event is h11.NEED_DATA:
                    self.need_data()
                return False
        return True

    def need_data(self) -> None:
        """Bound how long the rest of a head may take."""
        begun = self.reading is None and bool(self.http.trailing_data[0])
        if begun and not self.side.header_timed(self):
            self.side.heads.add(self)
            self.wait(self.side.limits.header_seconds, self.head_too_slow)
        if self.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self.http.send(go_on))

    def head_too_slow(self) -> None:
        """Refuse a caller that takes too long over its header."""
        self.refuse_and_close(REQUEST_TIMEOUT, 'header-timeout')

    def body_too_slow(self) -> None:
        """Refuse a caller that stopped in the middle of its body."""
        self.refuse_and_close(REQUEST_TIMEOUT, 'body-timeout')

    def begin_request(self, head: h11.Request) -> None:
        """Begin to read a request."""
        self.side.heads.discard(self)
        now = self.side.reactor.seconds()
        self.reading = Reading(head, now, bytearray())
        self.wait(self.side.limits.idle_seconds, self.body_too_slow)
        fields = tuple(head.headers.raw_items())
        stated = http1.first_value(fields, b'content-length')
        chunked = http1.first_value(fields, b'transfer-encoding')
        if stated is not None and chunked is not None:
            # Two framings: what stands between us and the caller may have
            # read the other one, and a second request would hide in this one.
            self.refuse_and_close(BAD_REQUEST, 'ambiguous-length')
        elif stated and int(stated) > self.side.limits.body_bytes:
            self.refuse_and_close(TOO_LARGE, 'body-too-large')

    def read_body(self, data: bytes) -> None:
        """Keep a part of the body, within the bounds."""
        self.reading.body += data
        self.kept_body += len(data)
        self.side.body_bytes += len(data)
        if len(self.reading.body) > self.side.limits.body_bytes:
            self.refuse_and_close(TOO_LARGE, 'body-too-large')
        elif self.side.body_bytes > MOST_BODY_BYTES:
            self.refuse_and_close(UNAVAILABLE, 'bodies-full', BODY_WAIT)

    def finish_request(self) -> None:
        """Hand a whole request to the decisions."""
        self.stop_waiting()
        reading, self.reading = self.reading, None
        if reading is None or self.lingering:
            return
        number = next(self.side.counter)
        try:
            request = self.side.dialect.read_request(
                number, reading.head, bytes(reading.body), reading.received_at
            )
        except errors.ProtocolError as exc:
            self.side.refused(BAD_REQUEST, f'bad-request: {exc}')
            self.write_refusal(
                BAD_REQUEST, 'bad-request', None, close=False, detail=str(exc)
            )
            self.next_request()
            return
        self.exchange = number
        self.ahead = len(self.http.trailing_data[0])
        self.side.exchanges[number] = self
        self.side.dispatch(relay_events.RequestArrived(request))

    def drop_body(self) -> None:
        """Count the bytes of a body no longer."""
        self.side.body_bytes -= self.kept_body
        self.kept_body = 0

    # -- answering ----------------------------------------------------------

    def refuse_and_close(
        self, status: int, code: str, retry_after: float | None = None
    ) -> None:
        """Answer a request that is not read to its end, then close."""
        self.lingering = True
        self.reading = None
        self.side.refused(status, code)
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.write_refusal(status, code, retry_after, close=True)
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.wait(LINGER_SECONDS, self.transport.abortConnection)

    def answer_refusal(
        self, status: int, code: str, retry_after: float | None
    ) -> None:
        """Answer a request that was read whole with a refusal."""
        self.write_refusal(status, code, retry_after, close=False)
        self.next_request()

    def write_refusal(
        self,
        status: int,
        code: str,
        retry_after: float | None,
        close: bool,
        detail: str = '',
    ) -> None:
        """Write an answer of our own; ``detail`` says what is wrong."""
        problem = {'code': code}
        if detail:
            problem['detail'] = detail
        body = json.dumps(problem).encode()
        headers = [
            (b'Content-Type', b'application/json'),
            (b'Content-Length', str(len(body)).encode()),
        ]
        if retry_after is not None:
            headers.append((b'Retry-After', f'{retry_after:.3f}'.encode()))
        self.write_head(status, b'', headers, close)
        self.write_end(body)

    def write_head(
        self, status: int, reason: bytes, headers: list, close: bool = False
    ) -> None:
        """Write the head of an answer."""
        if close or self.side.closing:
            headers = [*headers, (b'Connection', b'close')]
        self.write(
            self.http.send(
                h11.Response(
                    status_code=status, headers=headers, reason=reason
                )
            )
        )

    def write_end(self, body: bytes = b'') -> None:
        """Write the rest of an answer and its end."""
        out = b''
        if body:
            out = self.http.send(h11.Data(data=body)) or b''
        self.write(out + (self.http.send(h11.EndOfMessage()) or b''))

    def write(self, data: bytes) -> None:
        """Write bytes, and count what a slow caller has not taken."""
        self.transport.write(data)
        if self.congested:
            self.unsent += len(data)

    def next_request(self) -> None:
        """Wait for the next request, or close if there is to be none."""
        self.exchange = None
        self.drop_body()
        self.ahead = 0
        done = h11.DONE
        if self.http.our_state is not done or (
            self.http.their_state is not done
        ):
            self.close()
            return
        self.http.start_next_cycle()
        self.wait(self.side.limits.idle_seconds, self.idle_too_long)
        self.parse(b'')

    def pass_answer(self, action: relay_actions.PassAnswer) -> None:
        """Write an engine's whole answer."""
        headers = framed(action.head.headers, len(action.body))
        self.write_head(action.head.status, action.head.reason, headers)
        self.write_end(action.body)
        self.next_request()

    def begin_stream(self, head: requests.AnswerHead) -> None:
        """Write the head of a streamed answer."""
        headers = unframed(head.headers)
        self.write_head(head.status, head.reason, headers)

    def pass_events(self, action: relay_actions.PassEvents) -> None:
        """Write events of a stream."""
        raw = b''.join(event.raw for event in action.events)
        self.write(self.http.send(h11.Data(data=raw)))
        if self.unsent > MOST_UNSENT_BYTES:
            self.transport.abortConnection()

    def end_stream(self) -> None:
        """End a streamed answer."""
        self.write_end()
        self.next_request()

    def break_off(self) -> None:
        """Reset the connection: the answer must not look complete."""
        self.exchange = None
        self.transport.abortConnection()


def unframed(headers: requests.Headers) -> list[tuple[bytes, bytes]]:
    """Return header fields without the length of a body."""
    return [(n, v) for n, v in headers if n.lower() != b'content-length']


def framed(
    headers: requests.Headers, length: int
) -> list[tuple[bytes, bytes]]:
    """Return header fields that state the length of a body.

    An answer to a ``HEAD`` request states a length without having a body.
    """
    if not length and http1.first_value(headers, b'content-length'):
        return list(headers)
    stated = (b'Content-Length', str(length).encode())
    return [*unframed(headers), stated]


class CallerSide(protocol.ServerFactory):
    """All connections of callers, and the exchanges that wait on them."""

    noisy = False

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        wire: dialect.Dialect,
        dispatch: engine_side.Dispatch,
        limits: Callable[[], routes.Limits],
        refused: Callable[[int, str], None],
    ) -> None:
        self.reactor = reactor
        self.dialect = wire
        self.dispatch = dispatch
        self.limits_now = limits
        self.refused = refused
        self.connections: set[CallerConnection] = set()
        self.heads: set[CallerConnection] = set()
        self.exchanges: dict[int, CallerConnection] = {}
        self.counter = itertools.count(1)
        self.body_bytes = 0
        self.closing = False
        self.drained: defer.Deferred | None = None

    @property
    def limits(self) -> routes.Limits:
        """Return the limits that are in force now."""
        return self.limits_now()

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def header_timed(self, connection: CallerConnection) -> bool:
        """Return whether a head's time is being taken already."""
        return connection in self.heads

    def gone(self, exchange: int) -> None:
        """Tell the decisions that a caller has left."""
        if self.exchanges.pop(exchange, None) is not None:
            self.dispatch(events.CallerGone(exchange))

    def forget(self, connection: CallerConnection) -> None:
        """Forget a connection that is closed."""
        self.connections.discard(connection)
        self.heads.discard(connection)
        self.check_drained()

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def refuse_half_read(self) -> None:
        """Refuse the requests that have come in only in part."""
        for connection in list(self.connections):
            connection.refuse_half_read()

    def drain(self) -> defer.Deferred:
        """Close all connections; fire once all that was written is out.

        What is still in a buffer when the process ends is lost.
        """
        drained = self.drained = defer.Deferred()
        for connection in list(self.connections):
            connection.end()
        self.check_drained()
        return drained

    def check_drained(self) -> None:
        """Tell that the last connection is closed."""
        if self.drained is not None and not self.connections:
            drained, self.drained = self.drained, None
            drained.callback(None)

    def break_all(self) -> None:
        """Reset the connections that still wait for an answer.

        Done before the process ends: were the engines' connections closed
        first, their requests would be sent to other engines once more.
        """
        for exchange, connection in list(self.exchanges.items()):
            self.gone(exchange)
            connection.break_off()

    def carry_out(self, action: relay_actions.RelayAction) -> None:
        """Carry out what concerns a caller."""
        final = not isinstance(
            action, relay_actions.BeginStream | relay_actions.PassEvents
        )
        if final:
            connection = self.exchanges.pop(action.exchange, None)
        else:
            connection = self.exchanges.get(action.exchange)
        if connection is None:
            return
        match action:
            case relay_actions.PassAnswer():
                connection.pass_answer(action)
            case relay_actions.BeginStream(head=head):
                connection.begin_stream(head)
            case relay_actions.PassEvents():
                connection.pass_events(action)
            case relay_actions.EndStream():
                connection.end_stream()
            case relay_actions.AbortStream():
                connection.break_off()
            case relay_actions.Refuse(status=status, code=code):
                connection.answer_refusal(status, code, action.retry_after)
