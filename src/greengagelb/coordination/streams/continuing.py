"""Keeps each generation going while engines fail.

Tokens reach the caller only from the current attempt, or from the spare that
thereby becomes it, and only at the next position. So no step of the recovery
can mix two generations or repeat a token.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.fleet import routing
from greengagelb.coordination.fleet import upstream_limits
from greengagelb.coordination.sharing import crash_guard
from greengagelb.coordination.sharing import fingerprints
from greengagelb.coordination.streams import attempts
from greengagelb.coordination.streams import cancellations
from greengagelb.coordination.streams import endings
from greengagelb.coordination.streams import pinning
from greengagelb.coordination.streams import recovery
from greengagelb.coordination.streams import returning
from greengagelb.coordination.streams import stalls
from greengagelb.state import attempts as attempt_state
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.state import streams as stream_state
from greengagelb.state import upstreams as upstream_state

CANCELLED = 'cancelled'


@dataclasses.dataclass(slots=True)
class Source:
    """A stream and that attempt of its own which an event is about."""

    stream: stream_state.Stream
    attempt: attempt_state.Attempt


class StreamSupervisor:
    """Decides what happens to every running generation of an instance.

    Events of an attempt that no longer counts are dropped and counted.
    """

    def __init__(
        self,
        directory: routing.UpstreamDirectory,
        cancels: cancellations.CancellationSupervisor,
        incarnation: str,
        guard: crash_guard.CrashGuard,
    ) -> None:
        self.directory = directory
        self.guard = guard
        self.watch = stalls.StallWatch(directory)
        self.table = attempts.AttemptTable(
            directory, cancels, self.watch, incarnation
        )
        self.ladder = recovery.RecoveryLadder(directory, self.table, guard)
        self.returns = returning.ReturningCallers(self.ladder)
        self.streams = self.ladder.streams
        self.exchanges = self.table.exchanges
        self.dropped_events = 0

    def apply(self, configuration: configuration_state.Configuration) -> None:
        """Adopt a configuration; running streams keep their version."""
        self.ladder.configuration = configuration

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
        if request.request in self.ladder.exhausted:
            return [returning.refusal(request, 'engine-deaths-exceeded')]
        digest = stream_state.digest_of_request(request)
        stream = stream_state.Stream(request, service, pool, digest)
        self.streams[request.exchange] = stream
        return [
            endings.deadline_timer(request),
            *self.table.order(stream, view, now),
        ]

    def resume(
        self,
        event: events.GenerationResumed,
        service: configuration_state.Service,
        pool: configuration_state.Pool,
        now: float,
    ) -> list[actions.Action]:
        """Go on where a caller's stream broke off at another instance."""
        return self.returns.resume(event, service, pool, now)

    # -- progress -----------------------------------------------------------

    def answer_in(
        self, event: events.AttemptAccepted | events.AttemptRefused
    ) -> upstream_limits.UpstreamAnswer | None:
        """Return the answer of an engine that an event brings."""
        source = self.find(event.attempt)
        if source is None:
            return None
        attempt = source.attempt
        asked_at = attempt.attached_at
        if not attempt.suspected:
            asked_at = attempt.ordered_at
        name = attempt.upstream.name
        return upstream_limits.UpstreamAnswer(name, asked_at, event.said)

    def accepted(
        self, event: events.AttemptAccepted, now: float
    ) -> list[actions.Action]:
        """Note that the engine answers."""
        source = self.source(event.attempt)
        if source is None:
            return []
        source.attempt.answered = True
        if not source.attempt.suspected:
            source.attempt.accepted_at = now
        source.stream.may_have_run = True
        return [self.watch.rearm(source.stream, source.attempt, now)]

    def arrived(
        self, event: events.TokensArrived, now: float
    ) -> list[actions.Action]:
        """Pass on tokens of an attempt that counts, at the next position."""
        source = self.source(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        stream.may_have_run = True
        already = stream.position - event.position
        if already < 0:
            return self.ladder.lost(stream, attempt, now, 'gap in positions')
        tokens = event.tokens[already:]
        if not tokens:
            return []
        done = self.settle_spare(stream, attempt, now)
        position = stream.position
        stream.accept(event.position + already, tokens)
        stream.recover_by = None
        stream.excluded.clear()
        self.watch.progressed(stream, attempt, now)
        done.append(
            actions.SendTokens(
                stream.request.exchange,
                position,
                tokens,
                stream.resume_point(),
            )
        )
        done.append(self.watch.rearm(stream, attempt, now))
        return done

    def settle_spare(
        self,
        stream: stream_state.Stream,
        winner: attempt_state.Attempt,
        now: float,
    ) -> list[actions.Action]:
        """Keep, of two attempts, the one that brings the next token.

        From here on the two differ. Were both kept, the caller could get one
        token of the one and the next of the other.
        """
        if stream.spare is None or stream.attempt is None:
            return []
        if winner is stream.attempt:
            return self.table.drop_spare(stream)
        done = self.table.drop(stream, stream.attempt)
        return done + self.table.promote_spare(stream, now)

    def ended(
        self, event: events.AttemptEnded, now: float
    ) -> list[actions.Action]:
        """Complete the answer, if no token of it is missing."""
        source = self.source(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        stream.may_have_run = True
        if event.reason == CANCELLED:
            # Another instance stopped it when it lost the caller, who is
            # here by now. The engine is well.
            return self.ladder.replace(stream, attempt, now, CANCELLED)
        if event.position != stream.position:
            reason = f'ended at {event.position}'
            return self.ladder.lost(stream, attempt, now, reason)
        done = self.settle_spare(stream, attempt, now)
        self.guard.record_survival(stream.request, now)
        return done + self.ladder.end(stream, event.reason)

    # -- trouble ------------------------------------------------------------

    def refused(
        self, event: events.AttemptRefused, now: float
    ) -> list[actions.Action]:
        """Try another engine: this one is full, leaving or forgot."""
        source = self.source(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        if attempt.suspected and not attempt.returned_to:
            # It ran there and nobody here had cancelled it, so that engine
            # has died since, however quickly it came back.
            stream.engine_deaths += 1
        elif not attempt.suspected:
            stream.excluded.add(attempt.upstream.name)
        return self.ladder.replace(stream, attempt, now, event.code)

    def broken(
        self, event: events.AttemptBroken, now: float
    ) -> list[actions.Action]:
        """Look after an attempt whose connection ended too soon."""
        source = self.source(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        ever_there = attempt.answered or attempt.suspected
        if event.handed_over or ever_there:
            asked: list[actions.Action] = []
            if event.handed_over and not attempt.suspected:
                asked = self.suspect(stream, attempt, now)
            lost = self.ladder.lost(stream, attempt, now, event.detail)
            return asked + lost
        self.directory.mark_suspected(attempt.upstream.name, now)
        stream.excluded.add(attempt.upstream.name)
        return self.ladder.replace(stream, attempt, now, event.detail)

    def suspect(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
    ) -> list[actions.Action]:
        """Have the engine asked whether it has crashed.

        Engines accept at once, so one that dies as it begins may do so before
        its answer is out.
        """
        accepted = attempt.accepted_at <= now
        return self.guard.suspect_upstream(
            stream.request,
            attempt.upstream,
            attempt.incarnation,
            attempt.accepted_at if accepted else attempt.ordered_at,
            now,
        )

    def block(self, fingerprint: str) -> list[actions.Action]:
        """Stop what runs of a request that must not run any more.

        A stream that brings tokens is left alone: it may show that the
        request does no harm.
        """
        found = [
            stream
            for stream in self.streams.values()
            if not (stream.attempt and stream.attempt.has_progressed)
            and fingerprints.for_own_request(stream.request) == fingerprint
        ]
        return [
            action
            for stream in found
            for action in self.ladder.fail(
                stream, crash_guard.BLOCKED_RAN_CODE, None
            )
        ]

    def engine_reported(
        self, report: events.UpstreamReported, now: float
    ) -> list[actions.Action]:
        """Look after the attempts of an engine that is not what it was."""
        done: list[actions.Action] = []
        name = report.engine.name
        for attempt_id in sorted(
            self.table.by_upstream.get(name, ()),
            key=lambda found: found.attempt,
        ):
            source = self.source(attempt_id)
            if source is not None:
                done += self.compare(source, report, now)
        return done

    def compare(
        self, source: Source, report: events.UpstreamReported, now: float
    ) -> list[actions.Action]:
        """Leave an engine that runs another version; ask one that restarted.

        Tokens of another version would make the answer a mixture, though the
        engine itself calls it the same attempt.
        """
        stream, attempt = source.stream, source.attempt
        reported = (report.model, report.version, report.adapter)
        pinned = pinning.what_it_runs(stream.pool)
        if stream.pool.version and reported != pinned:
            stream.may_have_run = True
            reason = f'engine runs {report.version} now'
            return self.ladder.replace(stream, attempt, now, reason)
        known = attempt.incarnation
        if not known or known == report.engine.incarnation:
            return []
        if attempt.suspected:
            return []
        return self.ladder.lost(stream, attempt, now, 'engine restarted')

    # -- timers -------------------------------------------------------------

    def timer_fired(
        self, kind: str, exchange: int, now: float
    ) -> list[actions.Action]:
        """Handle one of the streams' timers."""
        stream = self.streams.get(exchange)
        if stream is None:
            return []
        match kind:
            case stalls.STALL_TIMER:
                return self.silent(stream, stream.attempt, now)
            case stalls.SPARE_TIMER:
                return self.silent(stream, stream.spare, now)
            case endings.RECOVERY_TIMER if stream.attempt is None:
                return self.ladder.try_again(stream, now)
            case endings.DEADLINE_TIMER:
                return self.ladder.fail(stream, 'deadline-passed', None)
        return []

    def silent(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt | None,
        now: float,
    ) -> list[actions.Action]:
        """Look after an attempt that makes no progress."""
        if attempt is None:
            return []
        timer = self.watch.judge(stream, attempt, now)
        if timer is not None:
            return [timer]
        return self.ladder.lost(stream, attempt, now, 'no progress')

    def pause_noticed(self, now: float) -> list[actions.Action]:
        """Give every attempt its full time again.

        After a pause of this process all stall deadlines lie in the past,
        yet the tokens may wait unread in the sockets. Judging now would
        declare every engine dead at once.
        """
        return [
            self.watch.rearm(stream, attempt, now)
            for stream in self.streams.values()
            for attempt in stream.own_attempts()
        ]

    # -- others -------------------------------------------------------------

    def recovers_in(self, pool: configuration_state.Pool) -> bool:
        """Return whether a stream of a pool waits for an engine."""
        waiting = self.ladder.recovering.values()
        return any(stream.pool.name == pool.name for stream in waiting)

    def recover_waiting(self, now: float) -> list[actions.Action]:
        """Give streams that have no engine the places that came free.

        Were they to wait for their timers, new work would take each place
        first, and streams would be given up on for want of an engine.
        """
        done: list[actions.Action] = []
        for stream in list(self.ladder.recovering.values()):
            done += self.ladder.recover(stream, now)
        return done

    def caller_gone(self, exchange: int) -> list[actions.Action]:
        """Stop work that nobody waits for."""
        stream = self.streams.get(exchange)
        if stream is None:
            return []
        gone = attempts.record(
            stream, stream.attempt, 'caller-gone', 'connection lost'
        )
        return [gone, *self.ladder.close(stream)]

    def source(self, attempt_id: identity.AttemptId) -> Source | None:
        """Return the stream for which this attempt counts, if any.

        An engine that was paused goes on sending for an attempt that has
        been replaced. Its tokens may differ from those of the new attempt,
        and would mix two answers if they were passed on.
        """
        found = self.find(attempt_id)
        if found is None:
            self.dropped_events += 1
        return found

    def find(self, attempt_id: identity.AttemptId) -> Source | None:
        """Return the stream for which this attempt counts, if any."""
        exchange = self.table.exchanges.get(attempt_id)
        stream = self.streams.get(exchange or 0)
        attempt = stream.find_attempt(attempt_id) if stream else None
        if stream is None or attempt is None:
            return None
        return Source(stream, attempt)
