"""Talks to engines: one connection per attempt, closed when abandoned."""

from collections.abc import Callable

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
from greengagelb.transport import answer_limits
from greengagelb.transport import http

CONTROL_SECONDS = 1.0
RELAY_SECONDS = 0.01
Dispatch = Callable[[events.Event], None]


def url_of(upstream: configuration_state.Upstream, path: str) -> str:
    """Return the URL of a path at an upstream."""
    return f'http://{upstream.host}:{upstream.port}{path}'


class EngineStream:
    """One connection of one attempt.

    Once ``close`` was called it reports nothing more, so that a late event
    can't be taken for one of the connection that replaced it.
    """

    def __init__(
        self,
        attempt: identity.AttemptId,
        dispatch: Dispatch,
        gather: Callable[['EngineStream'], bool],
        forget: Callable[['EngineStream'], None],
    ) -> None:
        self.attempt = attempt
        self.dispatch = dispatch
        self.gather = gather
        self.forget = forget
        self.gathered: list[str] = []
        self.gathered_position = 0
        self.reader = sse.EventReader()
        self.closed = False
        self.collector: http.BodyCollector | None = None
        self.waiting: defer.Deferred | None = None

    def open(self, answer: 'defer.Deferred[iweb.IResponse]') -> None:
        """Follow a request that is under way."""
        self.waiting = answer
        answer.addCallbacks(self.answered, self.failed)
        answer.addErrback(self.failed)

    def answered(self, response: iweb.IResponse) -> object:
        """Read the event stream, or the refusal."""
        self.waiting = None
        if self.closed:
            return None
        if response.code != web_http.OK:
            return http.read_whole_body(response).addCallback(
                self.refused, response
            )
        said = answer_limits.read_answer(response.headers)
        self.report(events.AttemptAccepted(self.attempt, said))
        self.collector = http.BodyCollector(self.receive, self.failed)
        response.deliverBody(self.collector)
        return None

    def refused(self, raw: bytes, response: iweb.IResponse) -> None:
        """Report that the engine did not start the attempt."""
        try:
            refusal = codec.decode(raw, engine_api.Refusal)
        except errors.ProtocolError:
            refusal = engine_api.Refusal(f'status-{response.code}', '')
        self.report(
            events.AttemptRefused(
                self.attempt,
                refusal.code,
                refusal.retry_after,
                answer_limits.read_answer(response.headers),
            )
        )

    def receive(self, raw: bytes) -> None:
        """Report the events that have come in whole."""
        try:
            for event in self.reader.feed(raw):
                self.receive_event(event)
        except errors.ProtocolError as exc:
            self.report(events.AttemptBroken(self.attempt, str(exc), True))
            self.close()

    def receive_event(self, event: sse.ServerSentEvent) -> None:
        """Report one event, if it belongs to this attempt."""
        match event.kind:
            case 'tokens':
                batch = codec.decode(event.data, engine_api.TokenBatch)
                self.check(batch.generation, batch.attempt)
                self.receive_tokens(batch)
            case 'ended':
                ended = codec.decode(event.data, engine_api.AttemptEnded)
                self.check(ended.generation, ended.attempt)
                self.report(
                    events.AttemptEnded(
                        self.attempt, ended.position, ended.reason
                    )
                )
                self.close()

    def receive_tokens(self, batch: engine_api.TokenBatch) -> None:
        """Gather tokens that follow on, and report them together.

        Most of the cost of relaying is paid per event, not per token, so an
        engine whose steps are short would cost a multiple of what it has to.
        """
        if batch.position != self.gathered_position + len(self.gathered):
            self.flush()
            self.gathered_position = batch.position
        self.gathered += batch.tokens
        if not self.gather(self):
            self.flush()

    def flush(self) -> None:
        """Report the tokens that were gathered."""
        if not self.gathered:
            return
        tokens, self.gathered = tuple(self.gathered), []
        position = self.gathered_position
        self.gathered_position += len(tokens)
        if not self.closed:
            self.dispatch(events.TokensArrived(self.attempt, position, tokens))

    def set_reading(self, wanted: bool) -> None:
        """Pause or resume the reading of the event stream."""
        transport = self.collector.transport if self.collector else None
        if self.closed or transport is None:
            return
        if wanted:
            transport.resumeProducing()
        else:
            transport.pauseProducing()

    def check(self, generation: int, attempt: str) -> None:
        """Refuse what another attempt's stream has brought here."""
        mine = (self.attempt.generation, self.attempt.attempt)
        if (generation, attempt) != mine:
            raise errors.ProtocolError(f'tokens of attempt {attempt}')

    def failed(self, why: failure.Failure) -> None:
        """Report that the connection ended before the generation did."""
        self.waiting = None
        self.report(
            events.AttemptBroken(
                self.attempt,
                why.type.__name__,
                http.was_handed_over(why),
            )
        )

    def report(self, event: events.Event) -> None:
        """Pass an event on, unless this connection was abandoned.

        Tokens that were gathered go first: the event may end the attempt.
        """
        self.flush()
        if not self.closed:
            self.dispatch(event)

    def close(self) -> None:
        """Abandon the connection."""
        self.closed = True
        self.forget(self)
        if self.waiting is not None:
            self.waiting.cancel()
        if self.collector is not None:
            self.collector.abort()


class EngineClient:
    """All connections of this instance to engines."""

    def __init__(
        self, reactor: interfaces.IReactorTime, dispatch: Dispatch
    ) -> None:
        self.reactor = reactor
        self.dispatch = dispatch
        self.agent = http.fresh_connection_agent(reactor)
        self.treq = http.direct_client(self.agent)
        self.open_streams: dict[identity.AttemptId, EngineStream] = {}
        self.gathering: set[EngineStream] = set()
        self.relayed_at = float('-inf')

    def start(self, action: actions.StartAttempt) -> None:
        """Order a generation."""
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
        self.stream(attempt, url_of(action.upstream, '/v1/generate'), order)

    def attach(self, action: actions.AttachAttempt) -> None:
        """Follow an attempt that already runs, over a new connection."""
        attempt = action.attempt
        order = engine_api.AttachOrder(
            account=attempt.request.account,
            request=attempt.request.request,
            generation=attempt.generation,
            attempt=attempt.attempt,
            position=action.position,
        )
        self.stream(attempt, url_of(action.upstream, '/v1/attach'), order)

    def stream(
        self, attempt: identity.AttemptId, url: str, order: object
    ) -> None:
        """Open the one connection of an attempt, in place of an older one."""
        self.close(attempt)
        opened = EngineStream(attempt, self.dispatch, self.gather, self.forget)
        self.open_streams[attempt] = opened
        opened.open(
            self.treq.post(url, data=codec.encode(order), unbuffered=True)
        )

    def gather(self, opened: EngineStream) -> bool:
        """Return whether a stream's tokens should wait for the next relay.

        The first tokens after a quiet time go on at once; while tokens keep
        coming, all streams are read and relayed together every
        ``RELAY_SECONDS``.
        """
        if not self.gathering:
            now = self.reactor.seconds()
            due_at = self.relayed_at + RELAY_SECONDS
            if now >= due_at:
                self.relayed_at = now
                return False
            self.reactor.callLater(due_at - now, self.read_gathering)
        self.gathering.add(opened)
        return True

    def read_gathering(self) -> None:
        """Read what has come in on the connections that were paused.

        Each read costs about as much as all else that a token needs. Between
        two relays the connections are paused, so that one read brings all
        tokens of the time between.
        """
        for opened in self.gathering:
            opened.set_reading(True)
        self.reactor.callLater(0, self.relay)

    def relay(self) -> None:
        """Report what all streams have gathered, then pause them."""
        self.relayed_at = self.reactor.seconds()
        gathered = [o for o in self.gathering if o.gathered]
        self.gathering = set(gathered)
        for opened in gathered:
            opened.flush()
            opened.set_reading(False)
        if gathered:
            self.reactor.callLater(RELAY_SECONDS, self.read_gathering)

    def close(self, attempt: identity.AttemptId) -> None:
        """Abandon the connection of an attempt, if there is one."""
        opened = self.open_streams.get(attempt)
        if opened is not None:
            opened.close()

    def forget(self, opened: EngineStream) -> None:
        """Forget a connection that is over, for whatever reason.

        One that was replaced by another of its attempt is not known here
        any more.
        """
        if self.open_streams.get(opened.attempt) is opened:
            del self.open_streams[opened.attempt]

    def cancel(self, action: actions.CancelAttempt) -> None:
        """Have the engine stop an attempt, and report whether it did."""
        attempt = action.attempt
        self.close(attempt)
        order = engine_api.CancelOrder(
            account=attempt.request.account,
            request=attempt.request.request,
            generation=attempt.generation,
            attempt=attempt.attempt,
        )
        url = url_of(action.upstream, '/v1/cancel')
        answer = self.control(
            self.treq.post(url, data=codec.encode(order)),
            engine_api.CancelAnswer,
        )
        answer.addCallbacks(
            lambda _: self.dispatch(events.AttemptCancelled(attempt)),
            lambda _: self.dispatch(events.CancelFailed(attempt)),
        )

    def probe(self, action: actions.ProbeUpstream) -> None:
        """Ask an upstream for its report."""
        upstream = action.upstream
        answer = self.control(
            self.treq.get(url_of(upstream, '/v1/report')),
            engine_api.EngineReport,
        )
        answer.addCallbacks(
            self.reported,
            lambda why: self.dispatch(
                events.UpstreamUnreachable(
                    upstream.name, http.was_refused(why)
                )
            ),
        )

    def reported(self, report: engine_api.EngineReport) -> None:
        """Pass a report on as an event."""
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

    def control(
        self, answer: 'defer.Deferred[iweb.IResponse]', kind: type
    ) -> defer.Deferred:
        """Return the decoded answer to a short order, within its time."""

        def read(response: iweb.IResponse) -> defer.Deferred:
            if response.code != web_http.OK:
                http.discard_body(response)
                raise errors.TransportError(f'status {response.code}')
            return http.read_whole_body(response)

        answer.addCallback(read)
        answer.addCallback(codec.decode, kind)
        return answer.addTimeout(CONTROL_SECONDS, self.reactor)
