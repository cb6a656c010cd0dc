"""Keeps each generation going while engines fail.

After a loss the cheapest step that can work is taken first:

1. attach to the same attempt over a new connection, since the old one may
   merely have gone silent and the engine still has its cache;
2. continue on another engine of the same model version and adapter, given
   the prompt and the exact tokens so far;
3. start a new generation, told to the caller as a restart, if the service is
   idempotent; else give the final answer.

Tokens reach the caller only from the current attempt and only at the next
position, so no step can mix two generations or repeat a token.
"""

import itertools

from greengagelb.coordination import actions
from greengagelb.coordination import cancellations
from greengagelb.coordination import events
from greengagelb.coordination import routing
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.state import streams as stream_state
from greengagelb.state import upstreams as upstream_state

FIRST_TOKEN_SECONDS = 2.0
RECOVERY_RETRY_SECONDS = 0.05
RECOVERY_PATIENCE_SECONDS = 3.0
STALL_TIMER = 'stall'
RECOVERY_TIMER = 'recovery'
DEADLINE_TIMER = 'deadline'
RETRY_AFTER_SECONDS = 2.0


def timer_name(kind: str, exchange: int) -> str:
    """Return the name of an exchange's timer."""
    return f'{kind}:{exchange}'


class StreamSupervisor:
    """Decides what happens to every running generation of an instance.

    Invariant: each attempt in ``exchanges`` is the current one of its
    stream; events of any other attempt are dropped and counted.
    """

    def __init__(
        self,
        directory: routing.UpstreamDirectory,
        cancels: cancellations.CancellationSupervisor,
        incarnation: str,
    ) -> None:
        self.directory = directory
        self.cancels = cancels
        self.incarnation = incarnation
        self.streams: dict[int, stream_state.Stream] = {}
        self.exchanges: dict[identity.AttemptId, int] = {}
        self.recover_by: dict[int, float] = {}
        self.waiting_for_engine: set[int] = set()
        self.counter = itertools.count(1)
        self.dropped_events = 0

    # -- beginning ----------------------------------------------------------

    def begin(
        self,
        request: requests.GenerationRequest,
        service: configuration_state.Service,
        pool: configuration_state.Pool,
        view: upstream_state.UpstreamView,
        now: float,
    ) -> list[actions.Action]:
        """Start a generation on an upstream that has room."""
        stream = stream_state.Stream(request, service, pool)
        self.streams[request.exchange] = stream
        return [
            self.deadline_timer(request),
            *self.start_attempt(stream, view, now),
        ]

    def resume(
        self,
        event: events.GenerationResumed,
        service: configuration_state.Service,
        pool: configuration_state.Pool,
        now: float,
    ) -> list[actions.Action]:
        """Go on where a caller's stream broke off at another instance.

        The caller's tokens are believed only if their digest is the one in
        the sealed cursor; otherwise the answer could become a mixture.
        """
        point = event.point
        stream = stream_state.Stream(event.request, service, pool)
        stream.generation = point.generation
        stream.engine_deaths = point.engine_deaths
        stream.accept(0, event.received)
        if stream.chain != point.chain:
            return [
                actions.SendFailure(
                    event.request.exchange,
                    requests.Failure(
                        'received-tokens-differ',
                        requests.Ran.YES,
                        'the tokens sent back are not those of this cursor',
                    ),
                )
            ]
        self.streams[event.request.exchange] = stream
        return [
            self.deadline_timer(event.request),
            *self.attach_after_return(stream, point, now),
        ]

    def attach_after_return(
        self,
        stream: stream_state.Stream,
        point: requests.ResumePoint,
        now: float,
    ) -> list[actions.Action]:
        """Attach to the attempt that the lost instance had started."""
        view = self.directory.views.get(point.engine.name)
        if view is None:
            return self.continue_elsewhere(stream, now, 'engine unknown')
        stream.attempt = identity.AttemptId(
            point.request, point.generation, point.attempt
        )
        stream.incarnation = point.engine.incarnation
        stream.attached_again = True
        self.take_upstream(stream, view)
        return [
            self.record(stream, 'stream-attached', 'caller came back'),
            actions.AttachAttempt(
                stream.attempt, view.upstream, stream.position
            ),
            self.stall_timer(stream, now),
        ]

    def start_attempt(
        self,
        stream: stream_state.Stream,
        view: upstream_state.UpstreamView,
        now: float,
    ) -> list[actions.Action]:
        """Give the generation, from its position on, to an upstream."""
        stream.attempt = identity.AttemptId(
            stream.request.request,
            stream.generation,
            f'{self.incarnation}.{next(self.counter)}',
        )
        stream.incarnation = view.incarnation
        stream.attached_again = False
        self.take_upstream(stream, view)
        self.waiting_for_engine.discard(stream.request.exchange)
        priority = stream.service.priority
        if stream.position and priority is configuration_state.Priority.LONG:
            priority = configuration_state.Priority.RESUME
        return [
            self.record(stream, 'attempt-started', f'at {stream.position}'),
            actions.StartAttempt(
                stream.attempt,
                view.upstream,
                stream.pool.model,
                stream.pool.version,
                stream.pool.adapter,
                stream.request.prompt,
                tuple(stream.tokens),
                stream.request.most_tokens,
                priority,
                stream.request.deadline,
            ),
            self.stall_timer(stream, now),
        ]

    # -- progress -----------------------------------------------------------

    def accepted(
        self, event: events.AttemptAccepted, now: float
    ) -> list[actions.Action]:
        """Note that the engine answers."""
        stream = self.current(event.attempt)
        if stream is None:
            return []
        return [self.stall_timer(stream, now)]

    def arrived(
        self, event: events.TokensArrived, now: float
    ) -> list[actions.Action]:
        """Pass on tokens of the current attempt at the next position."""
        stream = self.current(event.attempt)
        if stream is None:
            return []
        already = stream.position - event.position
        if already < 0:
            return self.lost(stream, now, 'gap in positions')
        tokens = event.tokens[already:]
        if not tokens:
            return []
        position = stream.position
        stream.accept(position, tokens)
        self.recover_by.pop(stream.request.exchange, None)
        return [
            actions.SendTokens(
                stream.request.exchange,
                position,
                tokens,
                stream.resume_point(),
            ),
            self.stall_timer(stream, now),
        ]

    def ended(
        self, event: events.AttemptEnded, now: float
    ) -> list[actions.Action]:
        """Complete the answer, if no token of it is missing."""
        stream = self.current(event.attempt)
        if stream is None:
            return []
        if event.position != stream.position or event.reason == 'cancelled':
            return self.lost(stream, now, f'ended early: {event.reason}')
        exchange = stream.request.exchange
        sent = actions.SendEnd(
            exchange, stream.generation, stream.position, event.reason
        )
        return [
            self.record(stream, 'stream-ended', event.reason),
            sent,
            *self.close(stream),
        ]

    # -- trouble ------------------------------------------------------------

    def refused(
        self, event: events.AttemptRefused, now: float
    ) -> list[actions.Action]:
        """Try another engine: this one is full, leaving or forgot."""
        stream = self.current(event.attempt)
        if stream is None:
            return []
        if stream.upstream is not None and not stream.attached_again:
            stream.excluded.add(stream.upstream.name)
        return self.continue_elsewhere(stream, now, event.code)

    def broken(
        self, event: events.AttemptBroken, now: float
    ) -> list[actions.Action]:
        """Look after an attempt whose connection ended too soon."""
        stream = self.current(event.attempt)
        if stream is None:
            return []
        return self.lost(stream, now, event.detail)

    def stalled(self, exchange: int, now: float) -> list[actions.Action]:
        """Look after an attempt that makes no progress."""
        stream = self.streams.get(exchange)
        if stream is None or stream.attempt is None:
            return []
        if stream.service.recovery.spare_attempt:
            stream.attached_again = True
        return self.lost(stream, now, 'no progress')

    def lost(
        self, stream: stream_state.Stream, now: float, reason: str
    ) -> list[actions.Action]:
        """Take the next step after a loss of contact with the attempt."""
        if not stream.attached_again and stream.upstream and stream.attempt:
            stream.attached_again = True
            return [
                self.record(stream, 'attempt-suspected', reason),
                actions.AttachAttempt(
                    stream.attempt, stream.upstream, stream.position
                ),
                self.stall_timer(stream, now),
            ]
        stream.engine_deaths += 1
        if stream.upstream is not None:
            self.directory.suspect(stream.upstream.name, now)
            stream.excluded = {stream.upstream.name}
        return self.continue_elsewhere(stream, now, reason)

    def continue_elsewhere(
        self, stream: stream_state.Stream, now: float, reason: str
    ) -> list[actions.Action]:
        """Replace the attempt by one on another engine of the version."""
        done = [self.record(stream, 'attempt-replaced', reason)]
        done += self.drop_attempt(stream)
        if stream.engine_deaths > stream.service.recovery.most_engine_deaths:
            return done + self.fail(stream, 'engine-deaths-exceeded', None)
        return done + self.recover(stream, now)

    def recover(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Find an engine for a stream that has none, or wait a little."""
        exchange = stream.request.exchange
        view = self.directory.choose(stream.pool, stream.excluded, now)
        if view is not None:
            return self.start_attempt(stream, view, now)
        give_up_at = self.recover_by.setdefault(
            exchange, now + RECOVERY_PATIENCE_SECONDS
        )
        if now >= give_up_at:
            return self.fail(stream, 'no-engine', RETRY_AFTER_SECONDS)
        self.waiting_for_engine.add(exchange)
        timer = timer_name(RECOVERY_TIMER, exchange)
        return [actions.SetTimer(timer, now + RECOVERY_RETRY_SECONDS)]

    def recovers_in(self, pool: configuration_state.Pool) -> bool:
        """Return whether a stream of a pool waits for an engine."""
        return any(
            self.streams[exchange].pool.name == pool.name
            for exchange in self.waiting_for_engine
        )

    def recover_waiting(self, now: float) -> list[actions.Action]:
        """Give streams that have no engine the places that came free.

        Were they to wait for their timers, new work would take each place
        first, and streams would be given up on for want of an engine.
        """
        done: list[actions.Action] = []
        for exchange in list(self.waiting_for_engine):
            done += self.recover(self.streams[exchange], now)
        return done

    def timer_fired(
        self, kind: str, exchange: int, now: float
    ) -> list[actions.Action]:
        """Handle one of this object's timers."""
        stream = self.streams.get(exchange)
        if stream is None:
            return []
        match kind:
            case 'stall':
                return self.stalled(exchange, now)
            case 'recovery':
                if stream.attempt is None:
                    # Engines that refused are asked again only after a
                    # while: a refusal brings about the next attempt, which
                    # would follow as fast as the network allows.
                    stream.excluded.clear()
                    return self.recover(stream, now)
            case 'deadline':
                return self.fail(stream, 'deadline-passed', None)
        return []

    def pause_noticed(self, now: float) -> list[actions.Action]:
        """Give every attempt its full time again.

        After a pause of this process all stall deadlines lie in the past,
        yet the tokens may wait unread in the sockets. Judging now would
        declare every engine dead at once.
        """
        return [
            self.stall_timer(stream, now)
            for stream in self.streams.values()
            if stream.attempt is not None
        ]

    def caller_gone(self, exchange: int) -> list[actions.Action]:
        """Stop work that nobody waits for."""
        stream = self.streams.get(exchange)
        if stream is None:
            return []
        return [
            self.record(stream, 'caller-gone', 'connection lost'),
            *self.drop_attempt(stream),
            *self.close(stream),
        ]

    # -- ending -------------------------------------------------------------

    def fail(
        self,
        stream: stream_state.Stream,
        code: str,
        retry_after: float | None,
    ) -> list[actions.Action]:
        """Give the caller its final answer."""
        ran = requests.Ran.YES if stream.position else requests.Ran.UNKNOWN
        failure = requests.Failure(
            code,
            ran,
            f'{stream.position} tokens of generation {stream.generation} sent',
            retry_after,
        )
        return [
            self.record(stream, 'stream-failed', code),
            actions.SendFailure(stream.request.exchange, failure),
            *self.drop_attempt(stream),
            *self.close(stream),
        ]

    def drop_attempt(
        self, stream: stream_state.Stream
    ) -> list[actions.Action]:
        """Cancel the current attempt; its events no longer count."""
        attempt, upstream = stream.attempt, stream.upstream
        if attempt is None or upstream is None:
            return []
        self.release_upstream(stream)
        return self.cancels.cancel(attempt, upstream)

    def close(self, stream: stream_state.Stream) -> list[actions.Action]:
        """Forget a stream that has had its final answer."""
        exchange = stream.request.exchange
        self.release_upstream(stream)
        self.streams.pop(exchange, None)
        self.recover_by.pop(exchange, None)
        self.waiting_for_engine.discard(exchange)
        return [
            actions.ClearTimer(timer_name(STALL_TIMER, exchange)),
            actions.ClearTimer(timer_name(RECOVERY_TIMER, exchange)),
            actions.ClearTimer(timer_name(DEADLINE_TIMER, exchange)),
        ]

    # -- helpers ------------------------------------------------------------

    def current(
        self, attempt: identity.AttemptId
    ) -> stream_state.Stream | None:
        """Return the stream whose current attempt this is, if any.

        An engine that was paused goes on sending for an attempt that has
        been replaced. Its tokens may differ from those of the new attempt,
        and would mix two answers if they were passed on.
        """
        exchange = self.exchanges.get(attempt)
        if exchange is None:
            self.dropped_events += 1
            return None
        return self.streams.get(exchange)

    def take_upstream(
        self,
        stream: stream_state.Stream,
        view: upstream_state.UpstreamView,
    ) -> None:
        """Count the stream as in flight at an upstream."""
        stream.upstream = view.upstream
        self.directory.started(view.upstream.name)
        if stream.attempt is not None:
            self.exchanges[stream.attempt] = stream.request.exchange

    def release_upstream(self, stream: stream_state.Stream) -> None:
        """Count the stream as no longer in flight anywhere."""
        if stream.attempt is not None:
            self.exchanges.pop(stream.attempt, None)
        if stream.upstream is not None:
            self.directory.finished(stream.upstream.name)
        stream.attempt = None
        stream.upstream = None

    def stall_timer(
        self, stream: stream_state.Stream, now: float
    ) -> actions.SetTimer:
        """Return the timer after which silence means trouble.

        The silence allowed follows the engine's own pace: a constant would
        be too short for a loaded engine or too long for a fast one.
        """
        exchange = stream.request.exchange
        policy = stream.service.recovery
        view = None
        if stream.upstream is not None:
            view = self.directory.views.get(stream.upstream.name)
        step = view.step_seconds if view is not None else 0.0
        wait = min(
            max(policy.least_stall, policy.stall_factor * step),
            policy.most_stall,
        )
        if not stream.position:
            wait = max(wait, FIRST_TOKEN_SECONDS)
        return actions.SetTimer(timer_name(STALL_TIMER, exchange), now + wait)

    def deadline_timer(
        self, request: requests.GenerationRequest
    ) -> actions.SetTimer:
        """Return the timer of the caller's own deadline."""
        timer = timer_name(DEADLINE_TIMER, request.exchange)
        return actions.SetTimer(timer, request.deadline)

    def record(
        self, stream: stream_state.Stream, kind: str, reason: str
    ) -> actions.Record:
        """Return a time line event about a stream."""
        return actions.Record(
            kind,
            reason,
            stream.request.request,
            stream.generation,
            stream.attempt.attempt if stream.attempt else '',
            stream.upstream.name if stream.upstream else '',
        )
