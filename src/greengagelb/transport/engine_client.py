"""HTTP client for engines: one connection per attempt, closed on abandon."""

from collections.abc import Callable
import functools

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure
from twisted.web import http as web_http
from twisted.web import iweb

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.protocol import codec
from greengagelb.protocol import engine_api
from greengagelb.protocol import sse
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.transport import answer_memory
from greengagelb.transport import answer_statements
from greengagelb.transport import http
from greengagelb.transport import repeated_requests

CONTROL_TIMEOUT_SECONDS = 1.0
RELAY_INTERVAL_SECONDS = 0.01
Dispatch = Callable[[events.Event], None]


def url_of(upstream: configuration_state.Upstream, path: str) -> str:
    """Return the URL of a path at an upstream."""
    return f'http://{upstream.host}:{upstream.port}{path}'


class EngineStream:
    """The event stream of one attempt, over one connection.

    After ``close`` it reports nothing more, so that a late event can't be
    mistaken for one of the connection that replaced it.

    ``delay_relay`` returns whether received tokens should be reported later,
    together with those of other streams; ``forget_stream`` is called on close.
    ``report_statement`` gets the head of the answer. ``memory`` bounds what
    all answers hold.
    """

    def __init__(
        self,
        attempt: identity.AttemptId,
        report_statement: Callable[[iweb.IResponse], None],
        dispatch: Dispatch,
        delay_relay: Callable[['EngineStream'], bool],
        forget_stream: Callable[['EngineStream'], None],
        memory: answer_memory.AnswerMemory,
    ) -> None:
        self.attempt = attempt
        self.report_statement = report_statement
        self.dispatch = dispatch
        self.delay_relay = delay_relay
        self.forget_stream = forget_stream
        self.memory = memory
        self.pending_tokens: list[str] = []
        self.pending_position = 0
        self.event_reader = sse.EventReader()
        self.is_closed = False
        self.collector: http.BodyCollector | None = None
        self.pending_response: defer.Deferred | None = None

    def follow_response(
        self, answer: 'defer.Deferred[iweb.IResponse]'
    ) -> None:
        """Handle the response to a request that was sent."""
        self.pending_response = answer
        answer.addCallbacks(self.handle_response, self.report_broken)
        answer.addErrback(self.report_broken)

    def handle_response(self, response: iweb.IResponse) -> object:
        """Read the event stream, or the body of another answer."""
        self.pending_response = None
        self.report_statement(response)
        if self.is_closed:
            return None
        if response.code != web_http.OK:
            body = http.read_whole_body(response, memory=self.memory)
            return body.addCallback(self.report_other_answer, response)
        limit = answer_statements.read_limit_headers(response.headers)
        self.report_event(events.AttemptAccepted(self.attempt, limit))
        self.collector = http.BodyCollector(
            self.receive_bytes, self.report_broken
        )
        response.deliverBody(self.collector)
        return None

    def report_other_answer(
        self, raw: bytes, response: iweb.IResponse
    ) -> None:
        """Report a refusal, or a failure after which the attempt may have run.

        Only a refusal that can be read says that nothing ran.
        """
        limit = answer_statements.read_limit_headers(response.headers)
        code = f'status-{response.code}'
        failed = events.AttemptFailed(self.attempt, code, limit)
        if response.code < web_http.BAD_REQUEST:
            self.report_event(failed)
            return
        try:
            refusal = codec.decode(raw, engine_api.Refusal)
        except errors.ProtocolError:
            self.report_event(failed)
            return
        self.report_event(
            events.AttemptRefused(
                self.attempt, refusal.code, refusal.retry_after, limit
            )
        )

    def receive_bytes(self, raw: bytes) -> None:
        """Report the events that are complete."""
        try:
            for event in self.event_reader.feed(raw):
                self.receive_event(event)
        except errors.ProtocolError as exc:
            self.reject_answer(str(exc))
            return
        if not self.is_closed:
            pending = self.event_reader.splitter.pending_bytes
            self.memory.hold(self, len(pending))

    def reject_answer(self, detail: str) -> None:
        """Report that the answer can't be used, and close the connection."""
        self.report_event(events.AttemptBroken(self.attempt, detail, True))
        self.close()

    def receive_event(self, event: sse.ServerSentEvent) -> None:
        """Report one event, if it belongs to this attempt."""
        match event.kind:
            case 'tokens':
                batch = codec.decode(event.data, engine_api.TokenBatch)
                self.check_attempt(batch.generation, batch.attempt)
                self.receive_tokens(batch)
            case 'ended':
                ended = codec.decode(event.data, engine_api.AttemptEnded)
                self.check_attempt(ended.generation, ended.attempt)
                self.report_event(
                    events.AttemptEnded(
                        self.attempt, ended.position, ended.reason
                    )
                )
                self.close()

    def receive_tokens(self, batch: engine_api.TokenBatch) -> None:
        """Collect consecutive tokens, and report them together.

        Most of the cost of relaying is per event, not per token. Reported one
        by one, the tokens of an engine with short steps would cost a multiple
        of the necessary time.
        """
        if batch.position != self.pending_position + len(self.pending_tokens):
            self.relay_pending_tokens()
            self.pending_position = batch.position
        self.pending_tokens += batch.tokens
        if not self.delay_relay(self):
            self.relay_pending_tokens()

    def relay_pending_tokens(self) -> None:
        """Report the collected tokens."""
        if not self.pending_tokens:
            return
        tokens, self.pending_tokens = tuple(self.pending_tokens), []
        position = self.pending_position
        self.pending_position += len(tokens)
        if not self.is_closed:
            self.dispatch(events.TokensArrived(self.attempt, position, tokens))

    def set_reading(self, is_wanted: bool) -> None:
        """Pause or resume reading from the connection."""
        transport = self.collector.transport if self.collector else None
        if self.is_closed or transport is None:
            return
        if is_wanted:
            transport.resumeProducing()
        else:
            transport.pauseProducing()

    def check_attempt(self, generation: int, attempt: str) -> None:
        """Raise if an event belongs to another attempt."""
        mine = (self.attempt.generation, self.attempt.attempt)
        if (generation, attempt) != mine:
            raise errors.ProtocolError(f'event of another attempt: {attempt}')

    def report_broken(self, why: failure.Failure) -> None:
        """Report that the connection ended before the generation did."""
        self.pending_response = None
        self.memory.release(self)
        self.report_event(
            events.AttemptBroken(
                self.attempt,
                why.type.__name__,
                http.was_handed_over(why),
                http.was_unreachable(why),
            )
        )

    def report_event(self, event: events.Event) -> None:
        """Dispatch an event, unless this connection was abandoned.

        Collected tokens are dispatched first, as the event may end the
        attempt.
        """
        self.relay_pending_tokens()
        if not self.is_closed:
            self.dispatch(event)

    def close(self) -> None:
        """Abandon the connection."""
        self.is_closed = True
        self.memory.release(self)
        self.forget_stream(self)
        if self.pending_response is not None:
            self.pending_response.cancel()
        if self.collector is not None:
            self.collector.abort()


class EngineClient:
    """This instance's connections to engines."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        dispatch: Dispatch,
        memory: answer_memory.AnswerMemory | None = None,
    ) -> None:
        self.reactor = reactor
        self.memory = memory or answer_memory.AnswerMemory()
        self.dispatch = dispatch
        self.agent = http.fresh_connection_agent(reactor)
        self.treq = http.direct_client(self.agent)
        self.open_streams: dict[identity.AttemptId, EngineStream] = {}
        self.delayed_streams: set[EngineStream] = set()
        self.relayed_at = float('-inf')

    def start_attempt(self, action: actions.StartAttempt) -> None:
        """Request a generation."""
        attempt = action.attempt
        order = engine_api.GenerateOrder(
            account=attempt.request.account,
            request=attempt.request.request,
            generation=attempt.generation,
            attempt=attempt.attempt,
            model=action.model,
            version=action.version,
            adapter=action.adapter,
            prompt=action.prompt,
            received=list(action.received),
            most_tokens=action.most_tokens,
            priority=int(action.priority),
            deadline_seconds=action.deadline - self.reactor.seconds(),
        )
        self.open_stream(attempt, action.upstream, '/v1/generate', order)

    def attach_attempt(self, action: actions.AttachAttempt) -> None:
        """Follow a running attempt over a new connection."""
        attempt = action.attempt
        order = engine_api.AttachOrder(
            account=attempt.request.account,
            request=attempt.request.request,
            generation=attempt.generation,
            attempt=attempt.attempt,
            position=action.position,
        )
        self.open_stream(attempt, action.upstream, '/v1/attach', order)

    def open_stream(
        self,
        attempt: identity.AttemptId,
        upstream: configuration_state.Upstream,
        path: str,
        order: object,
    ) -> None:
        """Open the connection of an attempt, and close an earlier one."""
        self.close(attempt)
        stream = EngineStream(
            attempt,
            self.statement_reporter(upstream, attempt.request),
            self.dispatch,
            self.delay_relay,
            self.forget_stream,
            self.memory,
        )
        self.open_streams[attempt] = stream
        url = url_of(upstream, path)
        stream.follow_response(
            self.treq.post(url, data=codec.encode(order), unbuffered=True)
        )

    def statement_reporter(
        self,
        upstream: configuration_state.Upstream,
        request: identity.RequestId | None = None,
    ) -> Callable[[iweb.IResponse], None]:
        """Return what reports the statements in an answer, asked for now."""
        return functools.partial(
            answer_statements.report_statement,
            self.dispatch,
            upstream.name,
            asked_at=self.reactor.seconds(),
            request=request,
        )

    def delay_relay(self, stream: EngineStream) -> bool:
        """Return whether a stream's tokens should wait for the next relay.

        The first tokens after an idle period are relayed at once. While tokens
        keep arriving, all streams are read and relayed together every
        ``RELAY_INTERVAL_SECONDS``.
        """
        if not self.delayed_streams:
            now = self.reactor.seconds()
            due_at = self.relayed_at + RELAY_INTERVAL_SECONDS
            if now >= due_at:
                self.relayed_at = now
                return False
            self.reactor.callLater(due_at - now, self.resume_reading)
        self.delayed_streams.add(stream)
        return True

    def resume_reading(self) -> None:
        """Read the paused connections.

        A read costs about as much as everything else done for a token.
        Connections are paused between two relays, so that one read returns all
        tokens that have arrived since.
        """
        for stream in self.delayed_streams:
            stream.set_reading(True)
        self.reactor.callLater(0, self.relay_delayed_streams)

    def relay_delayed_streams(self) -> None:
        """Report the tokens of all delayed streams, and pause these."""
        self.relayed_at = self.reactor.seconds()
        streams_with_tokens = [
            o for o in self.delayed_streams if o.pending_tokens
        ]
        self.delayed_streams = set(streams_with_tokens)
        for stream in streams_with_tokens:
            stream.relay_pending_tokens()
            stream.set_reading(False)
        if streams_with_tokens:
            self.reactor.callLater(RELAY_INTERVAL_SECONDS, self.resume_reading)

    def close(self, attempt: identity.AttemptId) -> None:
        """Abandon the connection of an attempt, if there is one."""
        stream = self.open_streams.get(attempt)
        if stream is not None:
            stream.close()

    def forget_stream(self, stream: EngineStream) -> None:
        """Forget a closed connection.

        Does nothing for a connection that another one of its attempt has
        replaced.
        """
        if self.open_streams.get(stream.attempt) is stream:
            del self.open_streams[stream.attempt]

    def cancel_attempt(self, action: actions.CancelAttempt) -> None:
        """Ask the engine to stop an attempt, and report whether it did."""
        attempt = action.attempt
        self.close(attempt)
        order = engine_api.CancelOrder(
            account=attempt.request.account,
            request=attempt.request.request,
            generation=attempt.generation,
            attempt=attempt.attempt,
        )
        url = url_of(action.upstream, '/v1/cancel')

        def send() -> defer.Deferred:
            return self.read_control_answer(
                self.treq.post(url, data=codec.encode(order)),
                engine_api.CancelAnswer,
                self.statement_reporter(action.upstream, attempt.request),
            )

        def report(is_answered: bool) -> None:
            kind = events.CancelFailed
            if is_answered:
                kind = events.AttemptCancelled
            self.dispatch(kind(attempt))

        repeated_requests.RepeatedRequest(
            self.reactor, send, report
        ).send_next()

    def probe_upstream(self, action: actions.ProbeUpstream) -> None:
        """Request the report of an upstream."""
        upstream = action.upstream
        answer = self.read_control_answer(
            self.treq.get(url_of(upstream, '/v1/report')),
            engine_api.EngineReport,
            self.statement_reporter(upstream),
        )
        answer.addCallbacks(
            self.dispatch_report,
            lambda why: self.dispatch(
                events.UpstreamUnreachable(
                    upstream.name, http.was_connection_refused(why)
                )
            ),
        )

    def dispatch_report(self, report: engine_api.EngineReport) -> None:
        """Dispatch the report of an upstream as an event."""
        self.dispatch(
            events.UpstreamReported(
                engine=identity.EngineId(report.name, report.incarnation),
                model=report.model,
                version=report.version,
                adapter=report.adapter,
                running=report.running,
                queued=report.queued,
                step_seconds=report.step_seconds,
                leaving=report.leaving,
                role=report.role,
            )
        )

    def read_control_answer(
        self,
        answer: 'defer.Deferred[iweb.IResponse]',
        kind: type,
        report_statement: Callable[[iweb.IResponse], None],
    ) -> defer.Deferred:
        """Return the decoded answer to a control request, with a timeout."""

        def read(response: iweb.IResponse) -> defer.Deferred:
            report_statement(response)
            if response.code != web_http.OK:
                http.discard_body(response)
                raise errors.TransportError(f'status {response.code}')
            return http.read_whole_body(response, memory=self.memory)

        answer.addCallback(read)
        answer.addCallback(codec.decode, kind)
        return answer.addTimeout(CONTROL_TIMEOUT_SECONDS, self.reactor)
