"""Failure detection for attempts that deliver no tokens.

A connection that has lost its peer can't be told from one whose engine is
slow. Attempts are therefore checked by progress, against the pace that this
instance has observed at the same engine, and not by the state of a socket.
"""

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.fleet import routing
from greengagelb.state import attempts
from greengagelb.state import pace
from greengagelb.state import streams as stream_state

FIRST_TOKEN_TIMEOUT_SECONDS = 2.0
MAX_FIRST_TOKEN_WAIT_SECONDS = 30.0
PROBE_TIMEOUT_SECONDS = 0.5
MAX_LATE_TIMERS = 3
STALL_TIMER = 'stall'
SPARE_TIMER = 'spare'
OVERLAP_TIMER = 'overlap'
# Two engines may work on a stream for 0.4 s; the rest is for the cancellation
# to arrive.
MAX_OVERLAP_SECONDS = 0.3


class StallDetector:
    """Sets the stall deadlines of attempts and checks expired ones."""

    def __init__(self, directory: routing.UpstreamDirectory) -> None:
        self.directory = directory
        self.pace_by_upstream: dict[str, pace.Pace] = {}

    def observe_tokens(
        self,
        stream: stream_state.Stream,
        attempt: attempts.Attempt,
        now: float,
    ) -> None:
        """Update the pace of an upstream from tokens that arrived."""
        observed_pace = self.upstream_pace(attempt)
        observed_pace.latest = now
        if attempt.latest_arrival is not None:
            gap = now - attempt.latest_arrival
            observed_pace.observe_gap(
                min(gap, stream.service.recovery.most_stall)
            )
        attempt.latest_arrival = now
        attempt.has_progressed = True
        attempt.answered = True
        attempt.suspected = False
        if attempt.silent:
            # The engine went on by itself, so it may have been the pause of
            # several engines.
            attempt.silent = False
            stream.silences = 0
        attempt.late_timers = 0

    def stall_timeout_seconds(
        self, stream: stream_state.Stream, attempt: attempts.Attempt
    ) -> float:
        """Return the seconds without tokens after which to suspect an attempt.

        An attempt without tokens so far gets longer, since the engine first
        evaluates the prompt and any earlier tokens. A probe over a new
        connection is answered at once or not at all.
        """
        policy = stream.service.recovery
        view = self.directory.views.get(attempt.upstream.name)
        reported_gap = view.step_seconds if view is not None else 0.0
        gap = max(reported_gap, self.upstream_pace(attempt).gap)
        timeout = max(policy.least_stall, policy.stall_factor * gap)
        timeout = min(timeout, policy.most_stall)
        if attempt.suspected and not attempt.answered:
            return max(policy.least_stall, min(timeout, PROBE_TIMEOUT_SECONDS))
        if not attempt.has_progressed:
            return max(timeout, FIRST_TOKEN_TIMEOUT_SECONDS)
        return timeout

    def upstream_pace(self, attempt: attempts.Attempt) -> pace.Pace:
        """Return the observed pace of an attempt's upstream."""
        name = attempt.upstream.name
        observed_pace = self.pace_by_upstream.get(name)
        if observed_pace is None:
            observed_pace = self.pace_by_upstream[name] = pace.Pace()
        return observed_pace

    def reset_stall_timer(
        self,
        stream: stream_state.Stream,
        attempt: attempts.Attempt,
        now: float,
    ) -> actions.SetTimer:
        """Restart an attempt's stall timeout from now."""
        attempt.confirming = False
        timeout = self.stall_timeout_seconds(stream, attempt)
        attempt.stall_deadline = now + timeout
        return self.stall_timer(stream, attempt)

    def stall_timer(
        self, stream: stream_state.Stream, attempt: attempts.Attempt
    ) -> actions.SetTimer:
        """Return the timer of an attempt's stall deadline."""
        kind = STALL_TIMER if attempt is stream.attempt else SPARE_TIMER
        name = timers.timer_name(kind, stream.request.exchange)
        return actions.SetTimer(name, attempt.stall_deadline)

    def bound_overlap(
        self, stream: stream_state.Stream, now: float
    ) -> actions.SetTimer:
        """Bound the time with two attempts, from the start of the second."""
        stream.overlap_until = now + MAX_OVERLAP_SECONDS
        stream.overlap_read = False
        return self.overlap_timer(stream)

    def overlap_timer(self, stream: stream_state.Stream) -> actions.SetTimer:
        """Return the timer at which one of two attempts is ended."""
        name = timers.timer_name(OVERLAP_TIMER, stream.request.exchange)
        return actions.SetTimer(name, stream.overlap_until)

    def check_overlap(
        self, stream: stream_state.Stream, now: float
    ) -> actions.SetTimer | None:
        """Return None if two attempts overlap for too long, else a timer.

        As with stalls, the sockets are read once more before.
        """
        if now >= stream.overlap_until and stream.overlap_read:
            return None
        if now >= stream.overlap_until:
            stream.overlap_read = True
            stream.overlap_until = now
        return self.overlap_timer(stream)

    def check_stall(
        self,
        stream: stream_state.Stream,
        attempt: attempts.Attempt,
        now: float,
    ) -> actions.SetTimer | None:
        """Return None if an attempt has stalled, else the timer to wait for.

        After a pause of this process its timers fire before its sockets are
        read, perhaps before the pause itself is detected, so every engine
        would seem dead at once. A timer that fires late therefore proves
        nothing, and one that fires in time is set again for the next turn of
        the event loop, which reads the sockets first.
        """
        if now < attempt.stall_deadline:
            return self.stall_timer(stream, attempt)
        is_late = now - attempt.stall_deadline > timers.LATE_TIMER_SECONDS
        if is_late and attempt.late_timers < MAX_LATE_TIMERS:
            attempt.late_timers += 1
            return self.reset_stall_timer(stream, attempt, now)
        if not attempt.confirming:
            attempt.confirming = True
            attempt.stall_deadline = now
            return self.stall_timer(stream, attempt)
        if self.is_queued_at_engine(attempt, now):
            return self.reset_stall_timer(stream, attempt, now)
        return None

    def is_queued_at_engine(
        self, attempt: attempts.Attempt, now: float
    ) -> bool:
        """Return whether an attempt is queued at an engine busy with others.

        Under load an engine accepts more than it can run at once. If a queued
        attempt were treated as dead, it would be moved to the next busy
        engine, and fail once its allowed engine deaths are used up.
        """
        if attempt.has_progressed or not attempt.answered:
            return False
        if now - attempt.ordered_at > MAX_FIRST_TOKEN_WAIT_SECONDS:
            return False
        observed_pace = self.upstream_pace(attempt)
        return now - observed_pace.latest < FIRST_TOKEN_TIMEOUT_SECONDS
