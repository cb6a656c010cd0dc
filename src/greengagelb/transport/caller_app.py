"""The callers' HTTP interface of an instance."""

from collections.abc import Callable
import dataclasses
import hashlib
import hmac
import itertools
import secrets

import klein
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import http as web_http
from twisted.web import server

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.protocol import caller_api
from greengagelb.protocol import codec
from greengagelb.protocol import problems
from greengagelb.protocol import sse
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.transport import body_budget
from greengagelb.transport import caller_headers
from greengagelb.transport import caller_stream
from greengagelb.transport import engine_client
from greengagelb.transport import http
from greengagelb.transport import problem_handlers
from greengagelb.transport import recorder


@dataclasses.dataclass(slots=True)
class Exchange:
    """A caller's connection that is waiting for its final answer."""

    request: server.Request
    final_answer: defer.Deferred
    service: str
    request_id: str
    stream: caller_stream.CallerStream | None = None


class CallerApp:
    """Turns callers' requests into events, and actions into answers."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        dispatch: engine_client.Dispatch,
        configuration: Callable[[], configuration_state.Configuration],
        seal: codec.CursorSeal,
        events_recorder: recorder.Recorder,
    ) -> None:
        self.reactor = reactor
        self.dispatch = dispatch
        self.configuration = configuration
        self.seal = seal
        self.recorder = events_recorder
        self.budget = body_budget.BodyBudget(
            lambda request: self.authenticate(request).name
        )
        self.exchanges: dict[int, Exchange] = {}
        self.exchange_numbers = itertools.count(1)
        self.app = klein.Klein()
        self.app.route('/v1/chat/completions', methods=['POST'])(
            self.handle_chat
        )
        self.app.route('/v1/services/<service>/<operation>', methods=['POST'])(
            self.handle_call
        )
        problem_handlers.install_problem_handlers(
            self.app, events_recorder.metrics.count_refusal
        )

    def handle_chat(self, request: server.Request) -> object:
        """Handle a request for a streamed generation."""
        account = self.authenticate(request)
        headers = caller_headers.read_headers(request)
        body = codec.decode(request.content.read(), caller_api.ChatCompletion)
        if not body.stream:
            raise errors.BadValue(
                'stream: must be true; every answer is streamed'
            )
        parts = tuple(
            f'{message.role}: {message.content}' for message in body.messages
        )
        generation = requests.GenerationRequest(
            next(self.exchange_numbers),
            identity.RequestId(account.name, self.choose_request_id(headers)),
            body.model,
            '\n'.join(parts),
            body.max_tokens,
            self.deadline_of(headers),
            bool(headers.idempotency_key),
            headers.first_send,
            headers.priority,
            parts[:-1],
        )
        event = self.event_of_submission(
            headers.cursor, generation, tuple(body.received)
        )
        return self.open_exchange(request, generation, event)

    def event_of_submission(
        self,
        cursor: str,
        generation: requests.GenerationRequest,
        received: tuple[str, ...],
    ) -> events.Event:
        """Return the event of a new or a resuming request.

        A cursor of another account is rejected like one that was never sealed,
        so that nobody can probe for another account's requests.
        """
        if not cursor:
            if received:
                raise errors.BadCursor(
                    'received: requires the header Last-Event-ID'
                )
            return events.GenerationSubmitted(generation)
        sealed = self.seal.open_cursor(cursor)
        point = sealed.point
        if point.request.account != generation.request.account:
            raise errors.BadCursor('cursor was not sealed here')
        self.recorder.observe_stamp(sealed.stamp)
        resumed = dataclasses.replace(generation, request=point.request)
        return events.GenerationResumed(resumed, point, received)

    def handle_call(
        self, request: server.Request, service: str, operation: str
    ) -> object:
        """Handle a call to a plain service."""
        account = self.authenticate(request)
        headers = caller_headers.read_headers(request)
        caller_headers.check_operation(operation)
        call = requests.CallRequest(
            next(self.exchange_numbers),
            identity.RequestId(account.name, self.choose_request_id(headers)),
            service,
            operation,
            request.content.read(),
            self.deadline_of(headers),
            bool(headers.idempotency_key),
            headers.first_send,
            headers.priority,
        )
        return self.open_exchange(request, call, events.CallSubmitted(call))

    def open_exchange(
        self,
        request: server.Request,
        submitted: requests.GenerationRequest | requests.CallRequest,
        event: events.Event,
    ) -> defer.Deferred:
        """Dispatch a request, and return the Deferred of its final answer."""
        number = submitted.exchange
        final_answer: defer.Deferred = defer.Deferred()
        self.exchanges[number] = Exchange(
            request, final_answer, submitted.service, submitted.request.request
        )
        request.notifyFinish().addErrback(
            lambda _: self.report_caller_gone(number)
        )
        self.dispatch(event)
        return final_answer

    def report_caller_gone(self, number: int) -> None:
        """Report that a caller's connection was lost."""
        if self.exchanges.pop(number, None) is not None:
            self.dispatch(events.CallerGone(number))

    def authenticate(
        self, request: server.Request
    ) -> configuration_state.ClientAccount:
        """Return the client account of the request's API key.

        The key's digest is compared with every account's, in constant time, so
        that the time taken reveals nothing about the keys. Raises
        :class:`~greengagelb.errors.Unauthenticated`.
        """
        key = caller_headers.api_key_of(request)
        digest = hashlib.sha256(key).hexdigest().encode()
        found = None
        for account in self.configuration().accounts:
            if hmac.compare_digest(account.key_digest.encode(), digest):
                found = account
        # An account with the digest of the empty key would otherwise accept
        # requests without a key.
        if found is None or not key:
            raise errors.Unauthenticated('unknown API key')
        return found

    def choose_request_id(self, headers: caller_headers.CallerHeaders) -> str:
        """Return the caller's idempotency key, or a new random id."""
        return headers.idempotency_key or secrets.token_urlsafe(12)

    def deadline_of(self, headers: caller_headers.CallerHeaders) -> float:
        """Return the monotonic time of the caller's deadline."""
        return self.reactor.seconds() + headers.deadline_seconds

    def send_tokens(self, action: actions.SendTokens) -> None:
        """Write tokens as one event."""
        exchange = self.exchanges.get(action.exchange)
        if exchange is None:
            return
        stream = self.get_or_open_stream(exchange)
        chunk = caller_api.ChatChunk(
            id=exchange.request_id,
            model=exchange.service,
            choices=[
                caller_api.Choice(0, caller_api.Delta(''.join(action.tokens)))
            ],
            generation=action.point.generation,
            position=action.position,
            tokens=list(action.tokens),
        )
        cursor = self.seal.seal_point(action.point, self.recorder.clock.latest)
        stream.write(sse.encode_event(codec.encode(chunk), event_id=cursor))

    def get_or_open_stream(
        self, exchange: Exchange
    ) -> caller_stream.CallerStream:
        """Return an exchange's stream; set its headers when it is opened."""
        if exchange.stream is None:
            request = exchange.request
            request.setHeader(b'content-type', b'text/event-stream')
            request.setHeader(b'cache-control', b'no-store')
            exchange.stream = caller_stream.CallerStream(
                request, lambda: self.abort_connection(request)
            )
        return exchange.stream

    def abort_connection(self, request: server.Request) -> None:
        """Close the connection of a caller that does not read.

        Data in the transport's buffer is dropped: flushing it would wait for
        the same caller.
        """
        request.transport.abortConnection()

    def send_restart(self, action: actions.SendRestart) -> None:
        """Tell the caller to discard the tokens that it has received."""
        exchange = self.exchanges.get(action.exchange)
        if exchange is None:
            return
        message = caller_api.GenerationRestarted(
            action.generation, action.reason
        )
        cursor = self.seal.seal_point(action.point, self.recorder.clock.latest)
        self.get_or_open_stream(exchange).write(
            sse.encode_event(codec.encode(message), 'restart', cursor)
        )

    def send_end(self, action: actions.SendEnd) -> None:
        """Write the last events of a complete stream."""
        exchange = self.exchanges.pop(action.exchange, None)
        if exchange is None:
            return
        stream = self.get_or_open_stream(exchange)
        chunk = caller_api.ChatChunk(
            id=exchange.request_id,
            model=exchange.service,
            choices=[
                caller_api.Choice(0, caller_api.Delta(''), action.reason)
            ],
            generation=action.generation,
            position=action.position,
            tokens=[],
        )
        last = sse.encode_event(codec.encode(chunk))
        last += sse.encode_event(b'[DONE]')
        exchange.final_answer.callback(stream.finish() + last)

    def send_failure(self, action: actions.SendFailure) -> None:
        """Send the caller a failure as its final answer."""
        exchange = self.exchanges.pop(action.exchange, None)
        if exchange is None:
            return
        problem = problems.to_problem(action.failure)
        if exchange.stream is not None:
            event = sse.encode_event(codec.encode(problem), 'error')
            exchange.final_answer.callback(exchange.stream.finish() + event)
            return
        exchange.final_answer.callback(
            http.problem_answer(exchange.request, problem)
        )

    def send_answer(self, action: actions.SendAnswer) -> None:
        """Send the caller a plain service's answer."""
        exchange = self.exchanges.pop(action.exchange, None)
        if exchange is None:
            return
        exchange.request.setResponseCode(action.status)
        exchange.final_answer.callback(action.body)


def health_app(
    ready: Callable[[], bool], metrics: Callable[[], bytes]
) -> klein.Klein:
    """Return an app with ``/healthz``, ``/readyz`` and ``/metrics``."""
    app = klein.Klein()
    problem_handlers.install_problem_handlers(app)

    @app.route('/healthz')
    def healthz(request: server.Request) -> bytes:
        return b'alive\n'

    @app.route('/readyz')
    def readyz(request: server.Request) -> bytes:
        if ready():
            return b'ready\n'
        request.setResponseCode(web_http.SERVICE_UNAVAILABLE)
        return b'not ready\n'

    @app.route('/metrics')
    def render(request: server.Request) -> bytes:
        request.setHeader(b'content-type', b'text/plain; version=0.0.4')
        return metrics()

    return app
