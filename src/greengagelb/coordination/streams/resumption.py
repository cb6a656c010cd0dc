"""Resumes streams of callers that lost the instance serving them.

The state of a stream is kept only by the instance that serves it. Another
instance gets what it needs from the caller: a sealed cursor and the tokens
received so far.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.fleet import upstream_views
from greengagelb.coordination.streams import attempts
from greengagelb.coordination.streams import endings
from greengagelb.coordination.streams import pinning
from greengagelb.coordination.streams import recovery
from greengagelb.state import attempts as attempt_state
from greengagelb.state import configuration as configuration_state
from greengagelb.state import requests
from greengagelb.state import streams as stream_state
from greengagelb.state import upstreams as upstream_state


class StreamResumption:
    """Continues streams that were interrupted at another instance."""

    def __init__(self, stream_recovery: recovery.StreamRecovery) -> None:
        self.stream_recovery = stream_recovery
        self.directory = stream_recovery.directory
        self.attempt_table = stream_recovery.attempt_table

    def resume_stream(
        self,
        event: events.GenerationResumed,
        service: configuration_state.Service,
        pool: configuration_state.Pool,
        now: float,
    ) -> list[actions.Action]:
        """Continue a caller's stream from its cursor, or refuse it."""
        stream = self.rebuild_stream(event, service, pool)
        code = self.find_rejection_code(event, stream)
        if code:
            return [already_ran_failure(event.request, code)]
        planned = self.end_older_exchange(event.point)
        self.stream_recovery.streams[event.request.exchange] = stream
        planned.append(endings.deadline_timer(event.request))
        return planned + self.attach_or_replace(stream, event.point, now)

    def rebuild_stream(
        self,
        event: events.GenerationResumed,
        service: configuration_state.Service,
        pool: configuration_state.Pool,
    ) -> stream_state.Stream:
        """Return the stream as the previous instance held it."""
        point = event.point
        pinned = dataclasses.replace(
            pool,
            model=point.model,
            version=point.version,
            adapter=point.adapter,
        )
        stream = stream_state.Stream(
            event.request,
            service,
            pinned,
            stream_state.hash_request(event.request),
        )
        stream.generation = point.generation
        stream.engine_deaths = point.engine_deaths
        stream.may_have_run = True
        stream.append_tokens(0, event.received)
        return stream

    def find_rejection_code(
        self, event: events.GenerationResumed, stream: stream_state.Stream
    ) -> str:
        """Return the code of why a stream can't be resumed, or ''.

        The caller's tokens are accepted only if they have the digest in the
        sealed cursor, and its request only if the cursor was sealed for it.
        Otherwise the answer could mix two generations.
        """
        point = event.point
        if event.request.request != point.request:
            return 'bad-cursor'
        if stream.request_digest != point.request_digest:
            return 'request-differs'
        if (stream.position, stream.chain) != (point.position, point.chain):
            return 'received-tokens-differ'
        if point.request in self.stream_recovery.exhausted_requests:
            return 'engine-deaths-exceeded'
        return ''

    def end_older_exchange(
        self, point: requests.ResumePoint
    ) -> list[actions.Action]:
        """End an older exchange that still reads the same attempt.

        The caller has reconnected before the loss of its old connection was
        detected. Two exchanges can't read one attempt, and the end of the
        older one must not cancel what the newer one reads.
        """
        for (
            attempt_id,
            exchange,
        ) in self.attempt_table.exchange_by_attempt.items():
            owner = (attempt_id.request, attempt_id.generation)
            if owner != (point.request, point.generation):
                continue
            if attempt_id.attempt == point.attempt:
                return self.detach_exchange(
                    self.stream_recovery.streams[exchange]
                )
        return []

    def detach_exchange(
        self, older_stream: stream_state.Stream
    ) -> list[actions.Action]:
        """End an exchange without cancelling its current attempt."""
        planned = self.attempt_table.cancel_spare(older_stream)
        if older_stream.attempt is not None:
            self.attempt_table.remove_attempt(
                older_stream, older_stream.attempt
            )
        return planned + self.stream_recovery.fail_stream(
            older_stream, 'taken-over', None
        )

    def attach_or_replace(
        self,
        stream: stream_state.Stream,
        point: requests.ResumePoint,
        now: float,
    ) -> list[actions.Action]:
        """Attach to the attempt of the previous instance, or replace it."""
        view = self.directory.views.get(point.engine.name)
        if view is None:
            return self.stream_recovery.recover_stream(stream, now)
        attempt = self.attempt_table.adopt_attempt(stream, point, view, now)
        reason = self.find_loss_reason(stream, attempt, view, now)
        if reason:
            return self.stream_recovery.replace_attempt(
                stream, attempt, now, reason
            )
        return [
            attempts.record(
                stream, attempt, 'stream-attached', 'caller came back'
            ),
            *self.attempt_table.attach_attempt(stream, attempt, now),
        ]

    def find_loss_reason(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        view: upstream_state.UpstreamView,
        now: float,
    ) -> str:
        """Return why an attempt no longer exists, or ''.

        An old report may be of an earlier incarnation, so the engine is asked
        instead if the last report is too old.
        """
        if (
            attempt.attempt_id
            in self.attempt_table.cancellation_supervisor.pending
        ):
            return 'cancelled by this instance'
        if now - view.probed_at >= upstream_views.PROBE_TRUST_SECONDS:
            return ''
        known_incarnation = attempt.incarnation
        if known_incarnation and known_incarnation != view.incarnation:
            stream.engine_deaths += 1
            return 'engine restarted'
        reported = (view.model, view.version, view.adapter)
        if stream.pool.version and reported != pinning.required_model(
            stream.pool
        ):
            return f'engine runs {view.version} now'
        return ''


def already_ran_failure(
    request: requests.GenerationRequest, code: str
) -> actions.SendFailure:
    """Return the final failure of a request that ran before."""
    failure = requests.Failure(
        code, requests.Ran.YES, 'this request ran before'
    )
    return actions.SendFailure(request.exchange, failure)
