"""Keeps each generation running while engines fail.

Tokens are sent to the caller only from the current attempt, or from the spare,
which then becomes the current one, and only at the next position. Recovery can
therefore neither mix two generations nor repeat a token.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.fleet import routing
from greengagelb.coordination.fleet import upstream_limits
from greengagelb.coordination.sharing import crash_guard
from greengagelb.coordination.streams import attempts
from greengagelb.coordination.streams import cancellations
from greengagelb.coordination.streams import endings
from greengagelb.coordination.streams import pinning
from greengagelb.coordination.streams import recovery
from greengagelb.coordination.streams import resumption
from greengagelb.coordination.streams import silent_attempts
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
    """A stream together with one of its attempts."""

    stream: stream_state.Stream
    attempt: attempt_state.Attempt


class StreamSupervisor:
    """Makes the decisions about all running generations of an instance.

    Events of attempts that are neither current nor spare are dropped;
    ``dropped_events`` counts them.
    """

    def __init__(
        self,
        directory: routing.UpstreamDirectory,
        cancellation_supervisor: cancellations.CancellationSupervisor,
        incarnation: str,
        guard: crash_guard.ProductCrashGuard,
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
        self.silent_attempts = silent_attempts.SilentAttempts(
            self.stream_recovery, self.stall_detector
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
        """Use a new configuration; running streams keep their version."""
        self.stream_recovery.configuration = configuration

    def start_stream(
        self,
        request: requests.GenerationRequest,
        service: configuration_state.Service,
        pool: configuration_state.Pool,
        view: upstream_state.UpstreamView,
        now: float,
    ) -> list[actions.Action]:
        """Start a generation on an upstream with free capacity."""
        if request.request in self.stream_recovery.exhausted_requests:
            return [
                resumption.already_ran_failure(
                    request, 'engine-deaths-exceeded'
                )
            ]
        digest = stream_state.hash_request(request)
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
        """Continue a caller's stream that was interrupted elsewhere."""
        return self.stream_resumption.resume_stream(event, service, pool, now)

    def find_limit_answer(
        self,
        event: (
            events.AttemptAccepted
            | events.AttemptRefused
            | events.AttemptFailed
        ),
    ) -> upstream_limits.UpstreamAnswer | None:
        """Return what an event says about its engine's limit, if current."""
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
        """Mark the attempt as answered and reset its stall timer."""
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
        """Send the caller the new tokens from the next position on."""
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
        stream.append_tokens(event.position + already_sent, tokens)
        stream.recover_by = None
        stream.excluded.clear()
        self.stream_recovery.recovering_streams.pop(
            stream.request.exchange, None
        )
        self.guard.record_progress(stream.request, attempt, now)
        self.stall_detector.observe_tokens(stream, attempt, now)
        planned.append(
            actions.SendTokens(
                stream.request.exchange,
                position,
                tokens,
                stream.build_resume_point(),
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
        """Keep the attempt that delivered the next token; cancel the other.

        Their outputs may diverge from here on. If both were kept, the caller
        could get tokens from both in turn.
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
        """Complete the answer, if no token is missing."""
        source = self.find_or_count_dropped(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        stream.may_have_run = True
        if event.reason == CANCELLED:
            # Another instance cancelled it when its caller disconnected; the
            # caller is connected here now. The engine has not failed.
            return self.stream_recovery.replace_attempt(
                stream, attempt, now, CANCELLED
            )
        if event.position != stream.position:
            reason = f'ended at {event.position}'
            return self.stream_recovery.handle_lost_contact(
                stream, attempt, now, reason
            )
        planned = self.keep_one_attempt(stream, attempt, now)
        self.guard.record_completion(stream.request, now)
        return planned + self.stream_recovery.complete_stream(
            stream, event.reason
        )

    def handle_attempt_refused(
        self, event: events.AttemptRefused, now: float
    ) -> list[actions.Action]:
        """Try another engine after a refusal.

        The engine is full or leaving, or has lost the attempt. One that is
        asked for an attempt again and turns only the connection away may
        still work on it.
        """
        source = self.find_or_count_dropped(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        if attempt.suspected and event.code != events.UNKNOWN_ATTEMPT:
            return self.silent_attempts.handle_silence(
                stream, attempt, now, event.code
            )
        if attempt.suspected and not attempt.returned_to:
            # The attempt ran there and was not cancelled here, so the engine
            # has crashed since, even if it restarted quickly.
            stream.engine_deaths += 1
        elif not attempt.suspected:
            stream.excluded.add(attempt.upstream.name)
        return self.stream_recovery.replace_attempt(
            stream, attempt, now, event.code
        )

    def handle_attempt_failed(
        self, event: events.AttemptFailed, now: float
    ) -> list[actions.Action]:
        """Try another engine after a failure, if a second run is allowed.

        Failures count like deaths of engines, so that a request that fails
        everywhere is not run without end.
        """
        source = self.find_or_count_dropped(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        stream.may_have_run = True
        return self.stream_recovery.replace_dead_engine(
            stream, attempt, now, event.code
        )

    def handle_attempt_broken(
        self, event: events.AttemptBroken, now: float
    ) -> list[actions.Action]:
        """Recover an attempt whose connection ended prematurely."""
        source = self.find_or_count_dropped(event.attempt)
        if source is None:
            return []
        stream, attempt = source.stream, source.attempt
        has_reached_engine = attempt.answered or attempt.suspected
        if event.unreachable and has_reached_engine:
            attempt.unreachable = True
            return self.silent_attempts.handle_silence(
                stream, attempt, now, event.detail
            )
        if event.handed_over or has_reached_engine:
            crash_check: list[actions.Action] = []
            if event.handed_over and not attempt.suspected:
                crash_check = self.request_crash_check(stream, attempt, now)
            return crash_check + self.handle_broken_contact(
                source, event.detail, now
            )
        self.directory.mark_suspected(attempt.upstream.name, now)
        stream.excluded.add(attempt.upstream.name)
        return self.stream_recovery.replace_attempt(
            stream, attempt, now, event.detail
        )

    def handle_broken_contact(
        self, source: StreamAttempt, detail: str, now: float
    ) -> list[actions.Action]:
        """Ask for an attempt again, or later if its engine asked for rest."""
        stream, attempt = source.stream, source.attempt
        is_resting = self.directory.is_resting(attempt.upstream.name, now)
        is_asked_now = attempt is stream.spare or attempt.suspected
        if is_resting and not is_asked_now:
            return self.silent_attempts.handle_silence(
                stream, attempt, now, detail
            )
        return self.stream_recovery.handle_lost_contact(
            stream, attempt, now, detail
        )

    def request_crash_check(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
    ) -> list[actions.Action]:
        """Have the crash guard check whether the engine has crashed.

        Engines accept an attempt at once, so one that crashes as it starts
        may do so before its answer is sent.
        """
        was_accepted = attempt.accepted_at <= now
        return self.guard.suspect_attempt(
            stream.request,
            attempt,
            attempt.accepted_at if was_accepted else attempt.ordered_at,
            now,
        )

    def stop_blocked_streams(self, now: float) -> list[actions.Action]:
        """Fail the streams of requests that are blocked for their crashes.

        A stream that delivers tokens continues, as it may prove the request
        harmless.
        """
        found = [
            stream
            for stream in self.streams.values()
            if not (stream.attempt and stream.attempt.has_progressed)
            and self.guard.is_blocked(stream.request, now)
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
        """Check an engine's attempts against its new report."""
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
        """Replace or re-attach an attempt if its engine has changed.

        An engine that runs another version is replaced: its tokens would mix
        two versions in one answer, although it reports the same attempt id.
        One that restarted is asked for the attempt again.
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
        if attempt.silent:
            stream.engine_deaths += 1
            return self.stream_recovery.replace_attempt(
                stream, attempt, now, 'engine restarted'
            )
        if attempt.suspected:
            return []
        return self.stream_recovery.handle_lost_contact(
            stream, attempt, now, 'engine restarted'
        )

    def handle_timer(
        self, kind: str, exchange: int, now: float
    ) -> list[actions.Action]:
        """Handle a timer of a stream."""
        stream = self.streams.get(exchange)
        if stream is None:
            return []
        match kind:
            case stalls.STALL_TIMER:
                return self.handle_stall_timer(stream, stream.attempt, now)
            case stalls.SPARE_TIMER:
                return self.handle_stall_timer(stream, stream.spare, now)
            case stalls.OVERLAP_TIMER:
                return self.silent_attempts.handle_overlap_timer(stream, now)
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
        """Handle the stall timer of an attempt, if it still exists."""
        if attempt is None:
            return []
        timer = self.stall_detector.check_stall(stream, attempt, now)
        if timer is not None:
            return [timer]
        return self.silent_attempts.handle_silence(
            stream, attempt, now, 'no progress'
        )

    def reset_stall_timers(self, now: float) -> list[actions.Action]:
        """Reset the stall timers of all attempts after a pause.

        After a pause of this process all stall deadlines have passed, while
        tokens may be unread in the sockets. Checking them now would mark
        every engine dead at once.
        """
        return [
            self.stall_detector.reset_stall_timer(stream, attempt, now)
            for stream in self.streams.values()
            for attempt in stream.active_attempts()
        ]

    def has_recovering_stream_in(self, pool: configuration_state.Pool) -> bool:
        """Return whether a stream of a pool has no engine."""
        waiting = self.stream_recovery.recovering_streams.values()
        return any(stream.pool.name == pool.name for stream in waiting)

    def retry_recovering_streams(self, now: float) -> list[actions.Action]:
        """Retry streams without an engine when capacity becomes free.

        If they waited for their timers, new requests would take the capacity
        first, and streams would fail for lack of an engine.
        """
        planned: list[actions.Action] = []
        for stream in list(self.stream_recovery.recovering_streams.values()):
            planned += self.stream_recovery.recover_stream(stream, now)
        return planned

    def handle_caller_gone(self, exchange: int) -> list[actions.Action]:
        """Close a stream whose caller has disconnected."""
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
        """Return the stream and attempt of an id; count it if there are none.

        An engine that resumes after a pause keeps sending for an attempt that
        has been replaced. Its tokens may differ from those of the new attempt
        and would mix two answers if they were sent to the caller.
        """
        found = self.find_stream_attempt(attempt_id)
        if found is None:
            self.dropped_events += 1
        return found

    def find_stream_attempt(
        self, attempt_id: identity.AttemptId
    ) -> StreamAttempt | None:
        """Return the stream and attempt of an attempt id, if it is in use."""
        exchange = self.attempt_table.exchange_by_attempt.get(attempt_id)
        stream = self.streams.get(exchange or 0)
        attempt = stream.find_attempt(attempt_id) if stream else None
        if stream is None or attempt is None:
            return None
        return StreamAttempt(stream, attempt)
