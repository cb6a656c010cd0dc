"""Server side connections of callers.

A request is read completely before it is handed to the decisions. A caller
that never finishes its body therefore occupies no engine, and a request can be
sent to a second engine.
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
from greengagelb.transport import listening
from greengagelb.transport.relay import dialect
from greengagelb.transport.relay import engine_side
from greengagelb.transport.relay import http1

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
TOO_LARGE = 413
HEADER_TOO_LARGE = 431
UNAVAILABLE = 503
# How long further input is discarded after an answer that ends a connection
# early. Closing a socket with unread bytes would reset the connection, and the
# answer could be lost in transit.
LINGER_SECONDS = 1.0
# Total of all bodies that are being received or kept for a retry.
MAX_BUFFERED_BODY_BYTES = 48 << 20
# What a caller may send of further requests before the current one is
# answered.
MAX_PIPELINED_BYTES = 65_536
# The most of a stream that may wait for a slow caller. Whole streams are
# smaller, so a caller that far behind has stopped reading.
MAX_UNSENT_BYTES = 1 << 20
BODIES_FULL_RETRY_SECONDS = 0.5
# After this time the port of a stopping instance is closed, so a refused
# caller that connects again reaches another instance.
STOPPING_RETRY_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class PartialRequest:
    """A request that has not been received completely."""

    head: h11.Request
    received_at: float
    body: bytearray


class CallerConnection(protocol.Protocol):
    """One connection of a caller.

    ``buffered_body_bytes`` is this connection's part of the total that
    :class:`CallerSide` bounds.
    """

    def __init__(self, side: 'CallerSide') -> None:
        self.side = side
        self.http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=side.limits.header_bytes,
        )
        self.partial_request: PartialRequest | None = None
        self.exchange: int | None = None
        self.buffered_body_bytes = 0
        self.pipelined_bytes = 0
        self.first_request_until = (
            side.reactor.seconds() + listening.FIRST_REQUEST_SECONDS
        )
        self.has_received = False
        self.timer: interfaces.IDelayedCall | None = None
        self.is_lingering = False
        self.is_write_paused = False
        self.unsent_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Start the idle timeout of the new connection."""
        http1.configure_socket(self.transport)
        self.transport.registerProducer(self, True)
        self.side.connections.add(self)
        self.start_timer(
            self.side.limits.idle_seconds, self.handle_idle_timeout
        )

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Report that the caller has disconnected, if it awaits an answer."""
        self.cancel_timer()
        self.side.remove_connection(self)
        self.release_body_bytes()
        if self.exchange is not None:
            exchange, self.exchange = self.exchange, None
            self.side.report_caller_gone(exchange)

    def start_timer(
        self, seconds: float, callback: Callable[[], None]
    ) -> None:
        """Call a function after some seconds; replaces the timer before."""
        self.cancel_timer()
        self.timer = self.side.reactor.callLater(
            seconds, self.run_timer_callback, callback
        )

    def run_timer_callback(self, callback: Callable[[], None]) -> None:
        """Clear the timer that has fired, and call its function."""
        self.timer = None
        callback()

    def cancel_timer(self) -> None:
        """Cancel the timer, if one is set."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def handle_idle_timeout(self) -> None:
        """Close a connection without a request for ``idle_seconds``."""
        self.close_when_written()

    @property
    def is_idle(self) -> bool:
        """Return whether the connection carries no request and no refusal."""
        is_active = self.exchange is not None or self.has_partial_request
        return not (is_active or self.is_lingering)

    @property
    def has_partial_request(self) -> bool:
        """Return whether a request has been received only in part."""
        has_started = self.partial_request is not None or bool(
            self.http.trailing_data[0]
        )
        return has_started and self.exchange is None

    @property
    def awaits_first_request(self) -> bool:
        """Return whether the first request may still be on its way."""
        now = self.side.reactor.seconds()
        return not self.has_received and now < self.first_request_until

    def close_or_refuse(self) -> None:
        """Close the connection as the process ends.

        A request that was received only in part is refused first, as is the
        first one of a connection that has just been opened.
        """
        self.close_if_idle()
        if self.transport.disconnecting:
            return
        if self.awaits_first_request:
            now = self.side.reactor.seconds()
            self.start_timer(
                self.first_request_until - now, self.handle_idle_timeout
            )
        else:
            self.refuse_partial_request()

    def close_if_idle(self) -> None:
        """Close the connection unless it carries or awaits a request."""
        if self.transport.disconnecting:
            return
        listening.read_pending_bytes(self.transport)
        if self.is_idle and not self.awaits_first_request:
            self.close_when_written()

    def refuse_partial_request(self) -> None:
        """Refuse a request that has been received only in part.

        Without an answer its caller could not know whether it has run.
        """
        if self.has_partial_request and not self.is_lingering:
            self.refuse_and_close(
                UNAVAILABLE, 'stopping', STOPPING_RETRY_SECONDS
            )

    def close_when_written(self) -> None:
        """Close the connection once the send buffer is empty."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the send buffer is full: the caller reads too slowly."""
        self.is_write_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the send buffer has been emptied."""
        self.is_write_paused = False
        self.unsent_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost`` handles the end."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes.

        They are discarded after a refusal that ends the connection. A caller
        that pipelines too much before its answer is disconnected.
        """
        self.has_received = True
        if self.is_lingering:
            return
        if self.exchange is not None:
            self.pipelined_bytes += len(data)
            if self.pipelined_bytes > MAX_PIPELINED_BYTES:
                self.transport.abortConnection()
                return
        self.parse_bytes(data)
        if self.side.drained is not None:
            self.refuse_partial_request()

    def parse_bytes(self, data: bytes) -> None:
        """Parse bytes and handle the resulting events.

        Stops after a whole request until that one is answered.
        """
        if data:
            self.http.receive_data(data)
        try:
            while self.exchange is None and not self.is_lingering:
                if not self.handle_next_event():
                    break
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            code = (
                'header-too-large'
                if status == HEADER_TOO_LARGE
                else 'bad-request'
            )
            self.refuse_and_close(status, code)

    def handle_next_event(self) -> bool:
        """Handle one parsed event; return whether more may follow."""
        event = self.http.next_event()
        match event:
            case h11.Request():
                self.begin_request(event)
            case h11.Data(data=data):
                self.append_body(data)
            case h11.EndOfMessage():
                self.dispatch_request()
            case h11.ConnectionClosed():
                return False
            case _:
                if event is h11.NEED_DATA:
                    self.start_header_timer()
                return False
        return True

    def start_header_timer(self) -> None:
        """Start the header timeout; send the interim response if awaited."""
        has_started = self.partial_request is None and bool(
            self.http.trailing_data[0]
        )
        if has_started and not self.side.is_header_timed(self):
            self.side.connections_in_header.add(self)
            self.start_timer(
                self.side.limits.header_seconds, self.handle_header_timeout
            )
        if self.http.they_are_waiting_for_100_continue:
            interim_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self.transport.write(self.http.send(interim_response))

    def handle_header_timeout(self) -> None:
        """Refuse a request whose header took too long."""
        self.refuse_and_close(REQUEST_TIMEOUT, 'header-timeout')

    def handle_body_timeout(self) -> None:
        """Refuse a request whose body took too long."""
        self.refuse_and_close(REQUEST_TIMEOUT, 'body-timeout')

    def begin_request(self, head: h11.Request) -> None:
        """Start to receive a body; refuse one whose length is not accepted."""
        self.side.connections_in_header.discard(self)
        now = self.side.reactor.seconds()
        self.partial_request = PartialRequest(head, now, bytearray())
        self.start_timer(
            self.side.limits.idle_seconds, self.handle_body_timeout
        )
        fields = tuple(head.headers.raw_items())
        content_length = http1.first_header_value(fields, b'content-length')
        transfer_encoding = http1.first_header_value(
            fields, b'transfer-encoding'
        )
        if content_length is not None and transfer_encoding is not None:
            # A proxy between the caller and this instance may have used the
            # other framing; the body could then hide a second request
            # (request smuggling).
            self.refuse_and_close(BAD_REQUEST, 'ambiguous-length')
        elif (
            content_length
            and int(content_length) > self.side.limits.body_bytes
        ):
            self.refuse_and_close(TOO_LARGE, 'body-too-large')

    def append_body(self, data: bytes) -> None:
        """Append a part of the body, up to the limits on size and memory."""
        self.partial_request.body += data
        self.buffered_body_bytes += len(data)
        self.side.body_bytes += len(data)
        if len(self.partial_request.body) > self.side.limits.body_bytes:
            self.refuse_and_close(TOO_LARGE, 'body-too-large')
        elif self.side.body_bytes > MAX_BUFFERED_BODY_BYTES:
            self.refuse_and_close(
                UNAVAILABLE, 'bodies-full', BODIES_FULL_RETRY_SECONDS
            )

    def dispatch_request(self) -> None:
        """Hand a complete request to the decisions."""
        self.cancel_timer()
        partial_request, self.partial_request = self.partial_request, None
        if partial_request is None or self.is_lingering:
            return
        number = next(self.side.exchange_numbers)
        try:
            request = self.side.dialect.read_request(
                number,
                partial_request.head,
                bytes(partial_request.body),
                partial_request.received_at,
            )
        except errors.ProtocolError as exc:
            self.side.record_refusal(BAD_REQUEST, f'bad-request: {exc}')
            self.write_refusal(
                BAD_REQUEST, 'bad-request', None, close=False, detail=str(exc)
            )
            self.start_next_request()
            return
        self.exchange = number
        self.pipelined_bytes = len(self.http.trailing_data[0])
        self.side.exchanges[number] = self
        self.side.dispatch(relay_events.RequestArrived(request))

    def release_body_bytes(self) -> None:
        """Subtract this connection's body from the total of all bodies."""
        self.side.body_bytes -= self.buffered_body_bytes
        self.buffered_body_bytes = 0

    def refuse_and_close(
        self, status: int, code: str, retry_after: float | None = None
    ) -> None:
        """Refuse a request that was not received completely, then close."""
        self.is_lingering = True
        self.partial_request = None
        self.side.record_refusal(status, code)
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.write_refusal(status, code, retry_after, close=True)
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.start_timer(LINGER_SECONDS, self.transport.abortConnection)

    def refuse_request(
        self, status: int, code: str, retry_after: float | None
    ) -> None:
        """Refuse a request that was received completely."""
        self.write_refusal(status, code, retry_after, close=False)
        self.start_next_request()

    def write_refusal(
        self,
        status: int,
        code: str,
        retry_after: float | None,
        close: bool,
        detail: str = '',
    ) -> None:
        """Write an answer of this instance itself.

        ``retry_after`` is in seconds; ``detail`` describes the mistake.
        """
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
        if close or self.side.is_closing:
            headers = [*headers, (b'Connection', b'close')]
        self.write_bytes(
            self.http.send(
                h11.Response(
                    status_code=status, headers=headers, reason=reason
                )
            )
        )

    def write_end(self, body: bytes = b'') -> None:
        """Write the remaining body of an answer and its end."""
        out = b''
        if body:
            out = self.http.send(h11.Data(data=body)) or b''
        self.write_bytes(out + (self.http.send(h11.EndOfMessage()) or b''))

    def write_bytes(self, data: bytes) -> None:
        """Write bytes; count those that wait for a slow caller."""
        self.transport.write(data)
        if self.is_write_paused:
            self.unsent_bytes += len(data)

    def start_next_request(self) -> None:
        """Start the next request cycle, or close if there can be none."""
        self.exchange = None
        self.release_body_bytes()
        self.pipelined_bytes = 0
        done = h11.DONE
        if self.http.our_state is not done or (
            self.http.their_state is not done
        ):
            self.close_when_written()
            return
        self.http.start_next_cycle()
        self.start_timer(
            self.side.limits.idle_seconds, self.handle_idle_timeout
        )
        self.parse_bytes(b'')

    def pass_answer(self, action: relay_actions.PassAnswer) -> None:
        """Write an engine's complete answer."""
        headers = with_content_length(action.head.headers, len(action.body))
        self.write_head(action.head.status, action.head.reason, headers)
        self.write_end(action.body)
        self.start_next_request()

    def begin_stream(self, head: requests.AnswerHead) -> None:
        """Write the head of a streamed answer."""
        headers = without_content_length(head.headers)
        self.write_head(head.status, head.reason, headers)

    def pass_events(self, action: relay_actions.PassEvents) -> None:
        """Write events of a stream; disconnect a caller that does not read."""
        raw = b''.join(event.raw for event in action.events)
        self.write_bytes(self.http.send(h11.Data(data=raw)))
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            self.transport.abortConnection()

    def end_stream(self) -> None:
        """Complete a streamed answer."""
        self.write_end()
        self.start_next_request()

    def reset_connection(self) -> None:
        """Reset the connection, so that the answer does not look complete."""
        self.exchange = None
        self.transport.abortConnection()


def without_content_length(
    headers: requests.Headers,
) -> list[tuple[bytes, bytes]]:
    """Return header fields without ``Content-Length``."""
    return [(n, v) for n, v in headers if n.lower() != b'content-length']


def with_content_length(
    headers: requests.Headers, length: int
) -> list[tuple[bytes, bytes]]:
    """Return header fields with the ``Content-Length`` of a body.

    An answer to a ``HEAD`` request states a length without having a body.
    """
    if not length and http1.first_header_value(headers, b'content-length'):
        return list(headers)
    content_length = (b'Content-Length', str(length).encode())
    return [*without_content_length(headers), content_length]


class CallerSide(protocol.ServerFactory):
    """All connections of callers, and the exchanges that await an answer.

    ``record_refusal`` gets status and code of each refusal that precedes any
    decision. ``body_bytes`` is the total of all buffered bodies.
    """

    noisy = False

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        wire_dialect: dialect.Dialect,
        dispatch: engine_side.Dispatch,
        limits: Callable[[], routes.CallerLimits],
        record_refusal: Callable[[int, str], None],
    ) -> None:
        self.reactor = reactor
        self.dialect = wire_dialect
        self.dispatch = dispatch
        self.get_limits = limits
        self.record_refusal = record_refusal
        self.connections: set[CallerConnection] = set()
        self.connections_in_header: set[CallerConnection] = set()
        self.exchanges: dict[int, CallerConnection] = {}
        self.exchange_numbers = itertools.count(1)
        self.body_bytes = 0
        self.is_closing = False
        self.drained: defer.Deferred | None = None

    @property
    def limits(self) -> routes.CallerLimits:
        """Return the current limits on callers."""
        return self.get_limits()

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def is_header_timed(self, connection: CallerConnection) -> bool:
        """Return whether a connection's header timeout is running."""
        return connection in self.connections_in_header

    def report_caller_gone(self, exchange: int) -> None:
        """Report that the caller of an exchange has disconnected."""
        if self.exchanges.pop(exchange, None) is not None:
            self.dispatch(events.CallerGone(exchange))

    def remove_connection(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self.connections_in_header.discard(connection)
        self.notify_if_drained()

    def close_idle_connections(self) -> None:
        """Close the connections without a request or refusal."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def refuse_partial_requests(self) -> None:
        """Refuse the requests that have been received only in part."""
        for connection in list(self.connections):
            connection.refuse_partial_request()

    def drain(self) -> defer.Deferred:
        """Close all connections; the Deferred fires once they are closed.

        Bytes that are still in a send buffer when the process ends are lost.
        """
        drained = self.drained = defer.Deferred()
        for connection in list(self.connections):
            connection.close_or_refuse()
        self.notify_if_drained()
        return drained

    def notify_if_drained(self) -> None:
        """Fire the Deferred of ``drain`` if no connection is left."""
        if self.drained is not None and not self.connections:
            drained, self.drained = self.drained, None
            drained.callback(None)

    def reset_waiting_connections(self) -> None:
        """Reset the connections that still wait for an answer.

        This precedes the end of the process: if the engines' connections were
        closed first, their requests would be sent to other engines again.
        """
        for exchange, connection in list(self.exchanges.items()):
            self.report_caller_gone(exchange)
            connection.reset_connection()

    def carry_out(self, action: relay_actions.RelayAction) -> None:
        """Carry out an action on a caller's connection.

        Actions on an exchange that is over are ignored.
        """
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
                connection.reset_connection()
            case relay_actions.Refuse(status=status, code=code):
                connection.refuse_request(status, code, action.retry_after)
