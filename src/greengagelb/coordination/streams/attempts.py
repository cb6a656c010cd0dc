"""Starts, attaches and cancels attempts, and maps each to its exchange."""

import itertools

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.fleet import routing
from greengagelb.coordination.streams import cancellations
from greengagelb.coordination.streams import stalls
from greengagelb.state import attempts as attempt_state
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.state import streams as stream_state
from greengagelb.state import upstreams as upstream_state


class AttemptTable:
    """The current and spare attempts of all streams of an instance.

    Invariant: ``exchange_by_attempt`` holds exactly the current attempt and
    the spare of every stream, and each is counted once as in flight at its
    upstream.
    """

    def __init__(
        self,
        directory: routing.UpstreamDirectory,
        cancellation_supervisor: cancellations.CancellationSupervisor,
        stall_detector: stalls.StallDetector,
        incarnation: str,
    ) -> None:
        self.directory = directory
        self.cancellation_supervisor = cancellation_supervisor
        self.stall_detector = stall_detector
        self.incarnation = incarnation
        self.exchange_by_attempt: dict[identity.AttemptId, int] = {}
        self.attempts_by_upstream: dict[str, set[identity.AttemptId]] = {}
        self.attempt_numbers = itertools.count(1)

    def start_attempt(
        self,
        stream: stream_state.Stream,
        view: upstream_state.UpstreamView,
        now: float,
        *,
        spare: bool = False,
    ) -> list[actions.Action]:
        """Start an attempt at an upstream from the stream's position on."""
        attempt = attempt_state.Attempt(
            identity.AttemptId(
                stream.request.request,
                stream.generation,
                f'{self.incarnation}.{next(self.attempt_numbers)}',
            ),
            view.upstream,
            view.incarnation,
            ordered_at=now,
        )
        position_text = f'at {stream.position}'
        if spare:
            stream.spare = attempt
            started_event = record(
                stream, attempt, 'spare-started', position_text
            )
        else:
            stream.attempt = attempt
            started_event = record(
                stream, attempt, 'attempt-started', position_text
            )
        self.add_attempt(stream, attempt)
        self.directory.limits.spend_permit(attempt.upstream.name, now)
        planned: list[actions.Action] = [
            started_event,
            actions.StartAttempt(
                attempt.attempt_id,
                view.upstream,
                stream.pool.model,
                stream.pool.version,
                stream.pool.adapter,
                stream.request.prompt,
                tuple(stream.tokens),
                stream.request.most_tokens,
                attempt_priority(stream),
                stream.request.deadline,
            ),
            self.stall_detector.reset_stall_timer(stream, attempt, now),
        ]
        if spare:
            planned.append(self.stall_detector.bound_overlap(stream, now))
        return planned

    def attach_attempt(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
    ) -> list[actions.Action]:
        """Request a running attempt's stream over a new connection."""
        attempt.suspected = True
        attempt.answered = False
        attempt.unreachable = False
        attempt.attached_at = now
        self.directory.limits.spend_permit(attempt.upstream.name, now)
        view = self.directory.views.get(attempt.upstream.name)
        if view is not None:
            attempt.incarnation = view.incarnation
        return [
            actions.AttachAttempt(
                attempt.attempt_id, attempt.upstream, stream.position
            ),
            self.stall_detector.reset_stall_timer(stream, attempt, now),
        ]

    def adopt_attempt(
        self,
        stream: stream_state.Stream,
        point: requests.ResumePoint,
        view: upstream_state.UpstreamView,
        now: float,
    ) -> attempt_state.Attempt:
        """Add an attempt that another exchange started; return it."""
        attempt = attempt_state.Attempt(
            identity.AttemptId(point.request, point.generation, point.attempt),
            view.upstream,
            point.engine.incarnation,
            ordered_at=now,
            returned_to=True,
        )
        stream.attempt = attempt
        self.add_attempt(stream, attempt)
        return attempt

    def add_attempt(
        self, stream: stream_state.Stream, attempt: attempt_state.Attempt
    ) -> None:
        """Register an attempt of a stream and count it as in flight."""
        name = attempt.upstream.name
        self.exchange_by_attempt[attempt.attempt_id] = stream.request.exchange
        self.attempts_by_upstream.setdefault(name, set()).add(
            attempt.attempt_id
        )
        self.directory.add_in_flight(name)

    def remove_attempt(
        self, stream: stream_state.Stream, attempt: attempt_state.Attempt
    ) -> None:
        """Unregister an attempt; its later events are dropped."""
        name = attempt.upstream.name
        del self.exchange_by_attempt[attempt.attempt_id]
        self.attempts_by_upstream[name].discard(attempt.attempt_id)
        if not self.attempts_by_upstream[name]:
            del self.attempts_by_upstream[name]
        self.directory.remove_in_flight(name)
        if stream.attempt is attempt:
            stream.attempt = None
        if stream.spare is attempt:
            stream.spare = None

    def cancel_attempt(
        self, stream: stream_state.Stream, attempt: attempt_state.Attempt
    ) -> list[actions.Action]:
        """Unregister an attempt and tell its engine to stop it."""
        self.remove_attempt(stream, attempt)
        return self.cancellation_supervisor.request_cancellation(
            attempt.attempt_id,
            attempt.upstream,
            attempt.incarnation,
            stream.request.deadline,
        )

    def cancel_all_attempts(
        self, stream: stream_state.Stream
    ) -> list[actions.Action]:
        """Cancel the current attempt and the spare of a stream."""
        planned: list[actions.Action] = []
        for attempt in stream.active_attempts():
            planned += self.cancel_attempt(stream, attempt)
        return planned

    def cancel_spare(
        self, stream: stream_state.Stream
    ) -> list[actions.Action]:
        """Cancel the spare, if there is one."""
        if stream.spare is None:
            return []
        return [
            clear_timer(stalls.SPARE_TIMER, stream),
            clear_timer(stalls.OVERLAP_TIMER, stream),
            *self.cancel_attempt(stream, stream.spare),
        ]

    def promote_spare(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Make the spare the current attempt."""
        stream.attempt, stream.spare = stream.spare, None
        if stream.attempt is None:
            return []
        return [
            clear_timer(stalls.SPARE_TIMER, stream),
            clear_timer(stalls.OVERLAP_TIMER, stream),
            record(stream, stream.attempt, 'spare-promoted', 'in its place'),
            self.stall_detector.reset_stall_timer(stream, stream.attempt, now),
        ]


def attempt_priority(
    stream: stream_state.Stream,
) -> configuration_state.Priority:
    """Return an attempt's priority; continuations precede new long work."""
    priority = stream.service.priority
    if stream.position and priority is configuration_state.Priority.LONG:
        return configuration_state.Priority.RESUME
    return priority


def clear_timer(kind: str, stream: stream_state.Stream) -> actions.ClearTimer:
    """Return the action that clears a timer of a stream."""
    return actions.ClearTimer(timers.timer_name(kind, stream.request.exchange))


def record(
    stream: stream_state.Stream,
    attempt: attempt_state.Attempt | None,
    kind: str,
    reason: str,
) -> actions.Record:
    """Return a time line event about a stream."""
    return actions.Record(
        kind,
        reason,
        stream.request.request,
        stream.generation,
        attempt.attempt_id.attempt if attempt else '',
        attempt.upstream.name if attempt else '',
    )
