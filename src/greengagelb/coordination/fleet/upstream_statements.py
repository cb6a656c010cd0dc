"""Keeps what upstreams state about themselves in their answers.

A statement holds for one incarnation of an upstream. One that leaves stays so;
the other instances learn of it with the next heartbeat. Rest is asked of one
instance, until a deadline; the later of several counts.
"""

import collections
import random

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.fleet import routing
from greengagelb.coordination.sharing import refusal_rests
from greengagelb.coordination.sharing import statement_records
from greengagelb.state import identity
from greengagelb.state import statements
from greengagelb.state import upstreams as upstream_state

# Fires when the rest of an upstream is over.
REST_TIMER = 'upstream-rest'


class UpstreamStatements:
    """Applies statements to the upstreams that made them."""

    def __init__(
        self, directory: routing.UpstreamDirectory, rng: random.Random
    ) -> None:
        self.directory = directory
        self.rng = rng
        self.answer_leaving: set[identity.EngineId] = set()

    def handle_statement(
        self, event: events.UpstreamStated, now: float
    ) -> list[actions.Action]:
        """Apply the statement in the head of an answer."""
        view = self.directory.views.get(event.upstream)
        if view is None or not is_of_current_life(event, view):
            return []
        statement = event.statement
        planned: list[actions.Action] = []
        if statement.unusable:
            planned += self.note_unusable(event, view, now)
        if statement.leaving:
            planned += self.note_leaving(event, view, now)
        seconds = statement.rest_seconds
        if refusal_rests.requires_rest(statement, event.status):
            drawn = refusal_rests.draw_rest_seconds(
                statement.refusal_rate, self.directory.live_instances, self.rng
            )
            seconds = max(seconds, drawn)
        if seconds:
            planned += self.note_rest(event, view, seconds, now)
        return planned

    def note_leaving(
        self,
        event: events.UpstreamStated,
        view: upstream_state.UpstreamView,
        now: float,
    ) -> list[actions.Action]:
        """Note that an upstream says that it leaves."""
        engine = identity.EngineId(
            event.upstream, event.incarnation or view.incarnation
        )
        if view.leaving and engine in self.directory.leaving_engines:
            return []
        self.directory.mark_leaving(
            events.UpstreamLeaving(
                engine,
                describe_answer(event),
            ),
            now,
        )
        view.leaving = True
        self.directory.limits.release_permits(event.upstream, now)
        self.answer_leaving.add(engine)
        self.answer_leaving &= self.directory.leaving_engines
        reason = f'stated in {describe_answer(event)}'
        return [record(event, 'engine-leaving', reason)]

    def note_rest(
        self,
        event: events.UpstreamStated,
        view: upstream_state.UpstreamView,
        seconds: float,
        now: float,
    ) -> list[actions.Action]:
        """Note that an upstream asks for rest, or needs it after a refusal.

        Its slots become available gradually after that, as those of an
        upstream that has just returned.
        """
        rest_until = now + seconds
        former = view.rest_until
        if rest_until <= former:
            return []
        view.rest_until = rest_until
        self.directory.last_rest_end = max(
            self.directory.last_rest_end, rest_until
        )
        view.rest_incarnation = event.incarnation or view.incarnation
        view.returned_at = max(view.returned_at, rest_until)
        self.directory.limits.release_permits(event.upstream, now)
        name = f'{REST_TIMER}:{event.upstream}'
        planned: list[actions.Action] = [actions.SetTimer(name, rest_until)]
        if (
            now < former
            and rest_until < former + statement_records.MIN_RECORDED_SECONDS
        ):
            return planned
        reason = statement_records.rest_reason(seconds, describe_answer(event))
        return [*planned, record(event, 'engine-rest', reason)]

    def note_unusable(
        self,
        event: events.UpstreamStated,
        view: upstream_state.UpstreamView,
        now: float,
    ) -> list[actions.Action]:
        """Record values that can't be used, at a bounded rate."""
        if now < view.next_unusable_record_at:
            return []
        view.next_unusable_record_at = (
            now + statement_records.UNUSABLE_RECORD_SECONDS
        )
        reason = statement_records.unusable_reason(event.statement)
        return [record(event, 'engine-statement-refused', reason)]

    def end_rest(self, upstream: str) -> list[actions.Action]:
        """Let waiting requests go to an upstream whose rest is over."""
        self.directory.mark_possible_room(upstream)
        return []

    def statistics(self, now: float) -> statements.StatementStatistics:
        """Return the metrics of statements."""
        leaving: collections.Counter[statements.SourceKind] = (
            collections.Counter()
        )
        resting = 0
        for name, view in self.directory.views.items():
            resting += now < view.rest_until
            if view.leaving:
                engine = identity.EngineId(name, view.incarnation)
                is_stated = engine in self.answer_leaving
                kind = statements.SourceKind.LIST
                leaving[
                    statements.SourceKind.ANSWER if is_stated else kind
                ] += 1
        return statements.StatementStatistics(leaving, resting)


def is_of_current_life(
    event: events.UpstreamStated, view: upstream_state.UpstreamView
) -> bool:
    """Return whether a statement is of the current incarnation or a later one.

    An answer that names another incarnation than the known one is of a former
    one if it was asked for before the known one had reported.
    """
    if not event.incarnation or not view.incarnation:
        return True
    if event.incarnation == view.incarnation:
        return True
    return event.asked_at > view.incarnation_known_at


def describe_answer(event: events.UpstreamStated) -> str:
    """Return the answer that contains a statement, for the timeline."""
    return statement_records.describe_answer(event.request, event.status)


def record(
    event: events.UpstreamStated, kind: str, reason: str
) -> actions.Record:
    """Return the timeline event of a statement."""
    return actions.Record(kind, reason, event.request, upstream=event.upstream)
