"""When the silence of an attempt means trouble.

A connection that has lost its other end looks like one whose engine thinks
for long. So attempts are judged by progress, against the pace that this
instance has observed at the same engine, never by the state of a socket.
"""

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.fleet import routing
from greengagelb.state import attempts
from greengagelb.state import pace
from greengagelb.state import streams as stream_state

FIRST_TOKEN_SECONDS = 2.0
MOST_FIRST_TOKEN_SECONDS = 30.0
PROBE_SECONDS = 0.5
LATE_SECONDS = 0.1
MOST_LATE_TIMERS = 3
STALL_TIMER = 'stall'
SPARE_TIMER = 'spare'


class StallWatch:
    """Sets the stall deadlines of attempts and judges those that pass."""

    def __init__(self, directory: routing.UpstreamDirectory) -> None:
        self.directory = directory
        self.paces: dict[str, pace.Pace] = {}

    def progressed(
        self,
        stream: stream_state.Stream,
        attempt: attempts.Attempt,
        now: float,
    ) -> None:
        """Learn the pace of an upstream from tokens that have arrived."""
        found = self.pace_of(attempt)
        found.latest = now
        if attempt.latest_arrival is not None:
            gap = now - attempt.latest_arrival
            found.observe(min(gap, stream.service.recovery.most_stall))
        attempt.latest_arrival = now
        attempt.has_progressed = True
        attempt.answered = True
        attempt.suspected = False
        attempt.late_timers = 0

    def silence_allowed(
        self, stream: stream_state.Stream, attempt: attempts.Attempt
    ) -> float:
        """Return the seconds of silence after which to look closer.

        A prompt, or a prompt with the tokens so far, is read before the
        first token: an attempt that has brought none gets longer. A probe
        over a fresh connection is answered at once or not at all.
        """
        policy = stream.service.recovery
        view = self.directory.views.get(attempt.upstream.name)
        reported = view.step_seconds if view is not None else 0.0
        gap = max(reported, self.pace_of(attempt).gap)
        steady = max(policy.least_stall, policy.stall_factor * gap)
        steady = min(steady, policy.most_stall)
        if attempt.suspected and not attempt.answered:
            return max(policy.least_stall, min(steady, PROBE_SECONDS))
        if not attempt.has_progressed:
            return max(steady, FIRST_TOKEN_SECONDS)
        return steady

    def pace_of(self, attempt: attempts.Attempt) -> pace.Pace:
        """Return what is known of the pace of an attempt's upstream."""
        name = attempt.upstream.name
        found = self.paces.get(name)
        if found is None:
            found = self.paces[name] = pace.Pace()
        return found

    def rearm(
        self,
        stream: stream_state.Stream,
        attempt: attempts.Attempt,
        now: float,
    ) -> actions.SetTimer:
        """Give an attempt its full time from now on."""
        attempt.confirming = False
        allowed = self.silence_allowed(stream, attempt)
        attempt.stall_deadline = now + allowed
        return self.timer(stream, attempt)

    def timer(
        self, stream: stream_state.Stream, attempt: attempts.Attempt
    ) -> actions.SetTimer:
        """Return the timer of an attempt's stall deadline."""
        kind = STALL_TIMER if attempt is stream.attempt else SPARE_TIMER
        name = timers.timer_name(kind, stream.request.exchange)
        return actions.SetTimer(name, attempt.stall_deadline)

    def judge(
        self,
        stream: stream_state.Stream,
        attempt: attempts.Attempt,
        now: float,
    ) -> actions.SetTimer | None:
        """Return a timer where it is too early to judge, else None.

        After a pause of this process its timers fire before its sockets are
        read, perhaps before the pause itself is noticed: every engine would
        seem dead at once. A timer that fires late therefore proves nothing,
        and one that fires in time is set again for the very next turn of the
        event loop, which reads the sockets first.
        """
        if now < attempt.stall_deadline:
            return self.timer(stream, attempt)
        is_late = now - attempt.stall_deadline > LATE_SECONDS
        if is_late and attempt.late_timers < MOST_LATE_TIMERS:
            attempt.late_timers += 1
            return self.rearm(stream, attempt, now)
        if not attempt.confirming:
            attempt.confirming = True
            attempt.stall_deadline = now
            return self.timer(stream, attempt)
        if self.waits_for_its_turn(attempt, now):
            return self.rearm(stream, attempt, now)
        return None

    def waits_for_its_turn(
        self, attempt: attempts.Attempt, now: float
    ) -> bool:
        """Return whether an engine is busy with others, rather than dead.

        Under load an engine accepts more than it can run at once. To take
        each attempt that waits there for a dead one would move it to the next
        busy engine, and end it when its deaths are used up.
        """
        if attempt.has_progressed or not attempt.answered:
            return False
        if now - attempt.ordered_at > MOST_FIRST_TOKEN_SECONDS:
            return False
        found = self.pace_of(attempt)
        return now - found.latest < FIRST_TOKEN_SECONDS
