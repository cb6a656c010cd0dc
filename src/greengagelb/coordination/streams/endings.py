"""Completes or fails streams and releases what they hold."""

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.fleet import routing
from greengagelb.coordination.streams import attempts
from greengagelb.coordination.streams import stalls
from greengagelb.state import requests
from greengagelb.state import streams as stream_state

RECOVERY_TIMER = 'recovery'
DEADLINE_TIMER = 'deadline'
STREAM_TIMERS = (
    stalls.STALL_TIMER,
    stalls.SPARE_TIMER,
    stalls.OVERLAP_TIMER,
    RECOVERY_TIMER,
    DEADLINE_TIMER,
)


class StreamEndings:
    """Ends streams and releases their attempts and timers.

    ``streams`` holds the running streams by exchange;
    ``recovering_streams`` those without an attempt, in the order in which
    they lost it.
    """

    def __init__(
        self,
        directory: routing.UpstreamDirectory,
        attempt_table: attempts.AttemptTable,
    ) -> None:
        self.directory = directory
        self.attempt_table = attempt_table
        self.streams: dict[int, stream_state.Stream] = {}
        self.recovering_streams: dict[int, stream_state.Stream] = {}

    def complete_stream(
        self, stream: stream_state.Stream, reason: str
    ) -> list[actions.Action]:
        """Tell the caller that the answer is complete; close the stream."""
        end = actions.SendEnd(
            stream.request.exchange,
            stream.generation,
            stream.position,
            reason,
        )
        last_attempt = stream.attempt
        if last_attempt is not None:
            self.attempt_table.remove_attempt(stream, last_attempt)
        return [
            attempts.record(stream, last_attempt, 'stream-ended', reason),
            end,
            *self.close_stream(stream),
        ]

    def fail_stream(
        self,
        stream: stream_state.Stream,
        code: str,
        retry_after: float | None,
    ) -> list[actions.Action]:
        """Send the caller a failure and close the stream.

        ``retry_after`` (seconds) is jittered up to twofold: all streams of a
        lost pool fail at the same moment, and their callers would all retry
        at the same moment.
        """
        if retry_after is not None:
            retry_after *= self.directory.rng.uniform(1.0, 2.0)
        failure = requests.Failure(
            code,
            stream.execution_status,
            f'{stream.position} tokens of generation {stream.generation} sent',
            retry_after,
        )
        return [
            attempts.record(stream, stream.attempt, 'stream-failed', code),
            actions.SendFailure(stream.request.exchange, failure),
            *self.close_stream(stream),
        ]

    def close_stream(
        self, stream: stream_state.Stream
    ) -> list[actions.Action]:
        """Remove a stream, its attempts and its timers."""
        exchange = stream.request.exchange
        planned = self.attempt_table.cancel_all_attempts(stream)
        self.streams.pop(exchange, None)
        self.recovering_streams.pop(exchange, None)
        planned += [
            attempts.clear_timer(kind, stream) for kind in STREAM_TIMERS
        ]
        return planned


def deadline_timer(request: requests.GenerationRequest) -> actions.SetTimer:
    """Return the timer of the caller's deadline."""
    timer = timers.timer_name(DEADLINE_TIMER, request.exchange)
    return actions.SetTimer(timer, request.deadline)
