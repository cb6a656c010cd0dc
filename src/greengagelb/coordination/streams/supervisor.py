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
from greengagelb.coordination.streams import resumption
from greengagelb.coordination.streams import stalls
from greengagelb.state import attempts as attempt_state
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.state import streams as stream_state
from greengagelb.state import upstreams as upstream_state

CANCELLED = 'cancelled'


@dataclasses.dataclass(slots=True)
class StreamAttempt:
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
        cancellation_supervisor: cancellations.CancellationSupervisor,
        incarnation: str,
        guard: crash_guard.CrashGuard,
    ) -> None:
        self.directory = directory
        self.guard = guard
        self.stall_detector = stalls.StallDetector(directory)
        self.attempt_table = attempts.AttemptTable(
            directory,
            cancellation_supervisor,
            self.stall_detector,
            incarnation,
        )
        self.stream_recovery = recovery.StreamRecovery(
            directory, self.attempt_table, guard
        )
        self.stream_resumption = resumption.StreamResumption(
            self.stream_recovery
        )
        self.streams = self.stream_recovery.streams
        self.exchange_by_attempt = self.attempt_table.exchange_by_attempt
        self.dropped_events = 0

    def apply_configuration(
        self, configuration: configuration_state.Configuration
    ) -> None:
        """Adopt a configuration; running streams keep their version."""
        self.stream_recovery.configuration = configuration

    # -- beginning ----------------------------------------------------------

    def start_stream(
        self,
        request: requests.GenerationRequest,
        service: configuration_state.Service,
        pool: configuration_state.Pool,
        view: upstream_state.UpstreamView,
        now: float,
    ) -> list[actions.Action]:
        """Start a generation on an upstream that has room."""
        if request.request in self.stream_recovery.exhausted_requests:
            return [
                resumption.already_ran_failure(
                    request, 'engine-deaths-exceeded'
                )
            ]
        digest = stream_state.digest_of_request(request)
        stream = stream_state.Stream(request, service, pool, digest)
        self.streams[request.exchange] = stream
        return [
            endings.deadline_timer(request),
            *self.attempt_table.start_attempt(stream, view, now),
        ]

    def resume_stream(
        self,
        event: events.GenerationResumed,
        service: configuration_state.Service,
        pool: configuration_state.Pool,
        now: float,
    ) -> list[actions.Action]:
        """Go on where a caller's stream broke off at another instance."""
        return self.stream_resumption.resume_stream(event, service, pool, now)

    # -- progress -----------------------------------------------------------

    def find_limit_answer(
        self, event: events.AttemptAccepted | events.AttemptRefused
    ) -> upstream_limits.UpstreamAnswer | None:
        """Return the answer of an engine that an event brings."""
        source = self.find_stream_attempt(event.attempt)
        if source is None:
            return None
        attempt = source.attempt
        asked_at = attempt.attached_at
        if not attempt.suspected:
            asked_at = attempt.ordered_at
        name = attempt.upstream.name
        return upstream_limits.UpstreamAnswer(name, asked_at, event.said)

    def handle_attempt_accepted(
        self, event: events.AttemptAccepted, now: float
    ) -> list[actions.Action]:
        """Note that the engine answers."""
        source = self.find_or_count_dropped(event.attempt)
        if source is None:
            return []
        source.attempt.answered = True
        if not source.attempt.suspected:
            source.attempt.accepted_at = now
        source.stream.may_have_run = True
        return [
            self.stall_detector.reset_stall_timer(
                source.stream, source.attempt, now
            )
        ]

    def handle_tokens(
        self, event: events.TokensArrived, now: float
    ) -> list[actions.Action]:
        """Pass on tokens of an attempt that counts, at the next position."""
        source = self.find_or_count_dropped(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        stream.may_have_run = True
        already_sent = stream.position - event.position
        if already_sent < 0:
            return self.stream_recovery.handle_lost_contact(
                stream, attempt, now, 'gap in positions'
            )
        tokens = event.tokens[already_sent:]
        if not tokens:
            return []
        planned = self.keep_one_attempt(stream, attempt, now)
        position = stream.position
        stream.accept(event.position + already_sent, tokens)
        stream.recover_by = None
        stream.excluded.clear()
        self.stall_detector.observe_tokens(stream, attempt, now)
        planned.append(
            actions.SendTokens(
                stream.request.exchange,
                position,
                tokens,
                stream.resume_point(),
            )
        )
        planned.append(
            self.stall_detector.reset_stall_timer(stream, attempt, now)
        )
        return planned

    def keep_one_attempt(
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
            return self.attempt_table.cancel_spare(stream)
        planned = self.attempt_table.cancel_attempt(stream, stream.attempt)
        return planned + self.attempt_table.promote_spare(stream, now)

    def handle_attempt_ended(
        self, event: events.AttemptEnded, now: float
    ) -> list[actions.Action]:
        """Complete the answer, if no token of it is missing."""
        source = self.find_or_count_dropped(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        stream.may_have_run = True
        if event.reason == CANCELLED:
            # Another instance stopped it when it lost the caller, who is
            # here by now. The engine is well.
            return self.stream_recovery.replace_attempt(
                stream, attempt, now, CANCELLED
            )
        if event.position != stream.position:
            reason = f'ended at {event.position}'
            return self.stream_recovery.handle_lost_contact(
                stream, attempt, now, reason
            )
        planned = self.keep_one_attempt(stream, attempt, now)
        self.guard.record_survival(stream.request, now)
        return planned + self.stream_recovery.complete_stream(
            stream, event.reason
        )

    # -- trouble ------------------------------------------------------------

    def handle_attempt_refused(
        self, event: events.AttemptRefused, now: float
    ) -> list[actions.Action]:
        """Try another engine: this one is full, leaving or forgot."""
        source = self.find_or_count_dropped(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        if attempt.suspected and not attempt.returned_to:
            # It ran there and nobody here had cancelled it, so that engine
            # has died since, however quickly it came back.
            stream.engine_deaths += 1
        elif not attempt.suspected:
            stream.excluded.add(attempt.upstream.name)
        return self.stream_recovery.replace_attempt(
            stream, attempt, now, event.code
        )

    def handle_attempt_broken(
        self, event: events.AttemptBroken, now: float
    ) -> list[actions.Action]:
        """Look after an attempt whose connection ended too soon."""
        source = self.find_or_count_dropped(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        has_reached_engine = attempt.answered or attempt.suspected
        if event.handed_over or has_reached_engine:
            crash_check: list[actions.Action] = []
            if event.handed_over and not attempt.suspected:
                crash_check = self.request_crash_check(stream, attempt, now)
            recovered = self.stream_recovery.handle_lost_contact(
                stream, attempt, now, event.detail
            )
            return crash_check + recovered
        self.directory.mark_suspected(attempt.upstream.name, now)
        stream.excluded.add(attempt.upstream.name)
        return self.stream_recovery.replace_attempt(
            stream, attempt, now, event.detail
        )

    def request_crash_check(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
    ) -> list[actions.Action]:
        """Have the engine asked whether it has crashed.

        Engines accept at once, so one that dies as it begins may do so before
        its answer is out.
        """
        was_accepted = attempt.accepted_at <= now
        return self.guard.suspect_upstream(
            stream.request,
            attempt.upstream,
            attempt.incarnation,
            attempt.accepted_at if was_accepted else attempt.ordered_at,
            now,
        )

    def stop_blocked_streams(self, fingerprint: str) -> list[actions.Action]:
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
            for action in self.stream_recovery.fail_stream(
                stream, crash_guard.BLOCKED_RAN_CODE, None
            )
        ]

    def handle_engine_report(
        self, report: events.UpstreamReported, now: float
    ) -> list[actions.Action]:
        """Look after the attempts of an engine that is not what it was."""
        planned: list[actions.Action] = []
        name = report.engine.name
        for attempt_id in sorted(
            self.attempt_table.attempts_by_upstream.get(name, ()),
            key=lambda attempt_id: attempt_id.attempt,
        ):
            source = self.find_or_count_dropped(attempt_id)
            if source is not None:
                planned += self.check_reported_engine(source, report, now)
        return planned

    def check_reported_engine(
        self,
        source: StreamAttempt,
        report: events.UpstreamReported,
        now: float,
    ) -> list[actions.Action]:
        """Leave an engine that runs another version; ask one that restarted.

        Tokens of another version would make the answer a mixture, though the
        engine itself calls it the same attempt.
        """
        stream, attempt = source.stream, source.attempt
        reported = (report.model, report.version, report.adapter)
        required = pinning.required_model(stream.pool)
        if stream.pool.version and reported != required:
            stream.may_have_run = True
            reason = f'engine runs {report.version} now'
            return self.stream_recovery.replace_attempt(
                stream, attempt, now, reason
            )
        known_incarnation = attempt.incarnation
        if (
            not known_incarnation
            or known_incarnation == report.engine.incarnation
        ):
            return []
        if attempt.suspected:
            return []
        return self.stream_recovery.handle_lost_contact(
            stream, attempt, now, 'engine restarted'
        )

    # -- timers -------------------------------------------------------------

    def handle_timer(
        self, kind: str, exchange: int, now: float
    ) -> list[actions.Action]:
        """Handle one of the streams' timers."""
        stream = self.streams.get(exchange)
        if stream is None:
            return []
        match kind:
            case stalls.STALL_TIMER:
                return self.handle_stall_timer(stream, stream.attempt, now)
            case stalls.SPARE_TIMER:
                return self.handle_stall_timer(stream, stream.spare, now)
            case endings.RECOVERY_TIMER if stream.attempt is None:
                return self.stream_recovery.retry_all_engines(stream, now)
            case endings.DEADLINE_TIMER:
                return self.stream_recovery.fail_stream(
                    stream, 'deadline-passed', None
                )
        return []

    def handle_stall_timer(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt | None,
        now: float,
    ) -> list[actions.Action]:
        """Look after an attempt that makes no progress."""
        if attempt is None:
            return []
        timer = self.stall_detector.check_stall(stream, attempt, now)
        if timer is not None:
            return [timer]
        return self.stream_recovery.handle_lost_contact(
            stream, attempt, now, 'no progress'
        )

    def reset_stall_timers(self, now: float) -> list[actions.Action]:
        """Give every attempt its full time again.

        After a pause of this process all stall deadlines lie in the past,
        yet the tokens may wait unread in the sockets. Judging now would
        declare every engine dead at once.
        """
        return [
            self.stall_detector.reset_stall_timer(stream, attempt, now)
            for stream in self.streams.values()
            for attempt in stream.own_attempts()
        ]

    # -- others -------------------------------------------------------------

    def has_recovering_stream_in(self, pool: configuration_state.Pool) -> bool:
        """Return whether a stream of a pool waits for an engine."""
        waiting = self.stream_recovery.recovering_streams.values()
        return any(stream.pool.name == pool.name for stream in waiting)

    def retry_recovering_streams(self, now: float) -> list[actions.Action]:
        """Give streams that have no engine the places that came free.

        Were they to wait for their timers, new work would take each place
        first, and streams would be given up on for want of an engine.
        """
        planned: list[actions.Action] = []
        for stream in list(self.stream_recovery.recovering_streams.values()):
            planned += self.stream_recovery.recover_stream(stream, now)
        return planned

    def handle_caller_gone(self, exchange: int) -> list[actions.Action]:
        """Stop work that nobody waits for."""
        stream = self.streams.get(exchange)
        if stream is None:
            return []
        disconnected = attempts.record(
            stream, stream.attempt, 'caller-gone', 'connection lost'
        )
        return [disconnected, *self.stream_recovery.close_stream(stream)]

    def find_or_count_dropped(
        self, attempt_id: identity.AttemptId
    ) -> StreamAttempt | None:
        """Return the stream for which this attempt counts, if any.

        An engine that was paused goes on sending for an attempt that has
        been replaced. Its tokens may differ from those of the new attempt,
        and would mix two answers if they were passed on.
        """
        found = self.find_stream_attempt(attempt_id)
        if found is None:
            self.dropped_events += 1
        return found

    def find_stream_attempt(
        self, attempt_id: identity.AttemptId
    ) -> StreamAttempt | None:
        """Return the stream for which this attempt counts, if any."""
        exchange = self.attempt_table.exchange_by_attempt.get(attempt_id)
        stream = self.streams.get(exchange or 0)
        attempt = stream.find_attempt(attempt_id) if stream else None
        if stream is None or attempt is None:
            return None
        return StreamAttempt(stream, attempt)
