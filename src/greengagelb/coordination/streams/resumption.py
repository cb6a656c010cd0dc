"""Callers who come back after they lost the instance that served them.

Nothing about a stream is kept outside the instance that serves it. What
another instance needs comes with the caller: a sealed cursor, and the tokens
that the caller holds.
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
    """Takes up streams that broke off elsewhere."""

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
        """Go on where a caller's stream broke off."""
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
        """Return the stream as the lost instance knew it."""
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
            stream_state.digest_of_request(event.request),
        )
        stream.generation = point.generation
        stream.engine_deaths = point.engine_deaths
        stream.may_have_run = True
        stream.accept(0, event.received)
        return stream

    def find_rejection_code(
        self, event: events.GenerationResumed, stream: stream_state.Stream
    ) -> str:
        """Return why a stream can't be taken up, or an empty text.

        The caller's tokens are believed only if their digest is the one in
        the sealed cursor, and its request only if it is the one the cursor
        was sealed for; otherwise the answer could become a mixture.
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
        """End an older exchange that still follows the same attempt.

        Its caller has come back before its old connection was noticed to be
        broken. Two exchanges can't follow one attempt, and when the older
        one ends it must not cancel what the newer one reads.
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
        """End an exchange without stopping its attempt."""
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
        """Attach to the attempt that the lost instance had started."""
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
        """Return why there is nothing to attach to, or an empty text.

        What was reported some time ago may be of another incarnation; the
        engine itself is asked then.
        """
        if (
            attempt.attempt_id
            in self.attempt_table.cancellation_supervisor.pending
        ):
            return 'was cancelled here'
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
    """Return the final answer to a caller who can't be served."""
    failure = requests.Failure(
        code, requests.Ran.YES, 'this request ran before'
    )
    return actions.SendFailure(request.exchange, failure)
