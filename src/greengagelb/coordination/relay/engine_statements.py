"""Keeps what engines state about themselves in their answers.

A statement holds for one life of an engine, whatever the list of engines shows
and whoever waits for the answer. An engine that leaves stays so to its end.
Rest is asked of one instance, until a deadline; the later of several counts.
"""

import collections
import random

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import fleet
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import run_copies
from greengagelb.coordination.sharing import refusal_rests
from greengagelb.coordination.sharing import statement_records
from greengagelb.state import statements
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints

# How often an engine is asked for its start after a statement, and within
# which time of it the answer tells which life has made it. An engine takes
# longer to start again.
MAX_START_QUESTIONS = 3
CONFIRMATION_SECONDS = 1.0

Action = relay_actions.RelayAction


class EngineStatementHandler:
    """Applies statements to the engines that made them."""

    def __init__(
        self,
        components: relay_components.RelayComponents,
        copies: run_copies.RunCopies,
        fleet_view: fleet.FleetView,
        rng: random.Random,
    ) -> None:
        self.components = components
        self.engines = components.engines
        self.keeper = components.waiting_sends.keeper
        self.copies = copies
        self.fleet = fleet_view
        self.rng = rng

    def handle_statement(
        self, event: relay_events.EngineStated, now: float
    ) -> list[Action]:
        """Apply the statement in the head of an answer."""
        state = self.find_speaker(event)
        if state is None:
            return []
        statement = event.statement
        resulting: list[Action] = []
        if statement.unusable:
            resulting += self.note_unusable(event, state, now)
        if statement.leaving:
            resulting += self.note_leaving(event, state, now)
        if refusal_rests.requires_rest(statement, event.status):
            resulting += self.note_refusal(event, state, now)
        if statement.rest_seconds:
            resulting += self.note_rest(event, state, now)
        return resulting

    def ask_for_life(
        self, state: engine_states.EngineState, now: float
    ) -> list[Action]:
        """Ask an engine for its start, as a statement may be its next life's.

        Where engines tell no start, each has an identity of its own.
        """
        is_asked = now < state.unconfirmed_until
        if is_asked or state.entry.started_at_ms == engines.UNKNOWN_START:
            return []
        state.unconfirmed_until = now + CONFIRMATION_SECONDS
        state.start_questions = MAX_START_QUESTIONS - 1
        return [relay_actions.AskStart(state.entry)]

    def note_start(
        self, engine: str, started_at_ms: int, now: float
    ) -> list[Action]:
        """Note which life of an engine runs now, and so made its statements.

        The other instances are told again if it is a later one than they were
        told of.
        """
        state = self.engines.states.get(engine)
        if state is None or now >= state.unconfirmed_until:
            return []
        if started_at_ms == engines.UNKNOWN_START:
            return self.ask_again(state)
        state.unconfirmed_until = now
        if engines.is_earlier(started_at_ms, state.entry.started_at_ms):
            state.forget_statements()
            return []
        source = state.leaving_source
        if source is None or state.learned_at < source.learned_at:
            return []
        self.components.send_manager.pending_hints.append(
            hints.EngineLeaving(engine, state.entry.started_at_ms)
        )
        reason = f'its life since {state.entry.started_at_ms} ms'
        return [actions.Record('engine-leaving', reason, upstream=engine)]

    def ask_again(self, state: engine_states.EngineState) -> list[Action]:
        """Ask an engine for its start again, unless that was done enough."""
        if not state.start_questions:
            return []
        state.start_questions -= 1
        return [relay_actions.AskStart(state.entry)]

    def find_speaker(
        self, event: relay_events.EngineStated
    ) -> engine_states.EngineState | None:
        """Return the engine that made a statement, None if it is not known.

        Another engine may have got the address, and an answer may be of a
        former life, whose statements say nothing about the current one.
        """
        asked = event.entry
        is_other = event.speaker not in ('', asked.engine)
        if is_other or event.status == calls.MISDIRECTED_REQUEST:
            state = self.engines.states.get(event.speaker)
            if state is None or state.entry.address != asked.address:
                return None
            return state
        return self.engines.find_same_life(asked.engine, asked.started_at_ms)

    def note_leaving(
        self,
        event: relay_events.EngineStated,
        state: engine_states.EngineState,
        now: float,
    ) -> list[Action]:
        """Note that an engine says that it leaves, and tell the others."""
        if state.leaving_source is not None:
            return []
        was_known = state.is_leaving
        source = statements.Source(
            statements.SourceKind.ANSWER,
            describe_answer(event),
            now,
        )
        resulting = self.retire(state, source, now)
        resulting += self.ask_for_life(state, now)
        if was_known:
            return resulting
        entry = state.entry
        self.components.send_manager.pending_hints.append(
            hints.EngineLeaving(entry.engine, entry.started_at_ms)
        )
        reason = f'stated in {source.text}'
        return [record(event, state, 'engine-leaving', reason), *resulting]

    def note_peer_leaving(
        self, incarnation: str, hint: hints.EngineLeaving, now: float
    ) -> list[Action]:
        """Note that an engine has told another instance that it leaves."""
        state = self.engines.find_same_life(hint.engine, hint.started_at_ms)
        if state is None or state.is_leaving:
            return []
        source = statements.Source(
            statements.SourceKind.INSTANCE, f'instance {incarnation}', now
        )
        reason = f'told by {source.text}'
        return [
            actions.Record('engine-leaving', reason, upstream=hint.engine),
            *self.retire(state, source, now),
        ]

    def note_peer_rest(self, hint: hints.EngineResting, now: float) -> None:
        """Note that an engine has asked another instance for rest."""
        state = self.engines.find_same_life(hint.engine, hint.started_at_ms)
        if state is not None:
            rest_until = now + hint.seconds
            state.peer_rest_until = max(state.peer_rest_until, rest_until)

    def retire(
        self,
        state: engine_states.EngineState,
        source: statements.Source,
        now: float,
    ) -> list[Action]:
        """Give an engine that leaves no more work.

        Sends that wait for its permits go elsewhere, and the copies of runs
        that it holds are replaced while it still serves.
        """
        state.leaving_source = source
        self.keeper.withdraw_requests(state.entry.life, now)
        return self.copies.replace_lost_copies(state.entry.engine, now)

    def statistics(self, now: float) -> statements.StatementStatistics:
        """Return the metrics of statements."""
        leaving: collections.Counter[statements.SourceKind] = (
            collections.Counter()
        )
        resting = 0
        for state in self.engines.states.values():
            resting += state.is_resting(now)
            if state.leaving_source is not None:
                leaving[state.leaving_source.kind] += 1
            elif state.leaving:
                leaving[statements.SourceKind.LIST] += 1
        waits = self.components.engine_waits
        return statements.StatementStatistics(
            leaving, resting, len(waits.waiting), waits.held_count
        )

    def note_rest(
        self,
        event: relay_events.EngineStated,
        state: engine_states.EngineState,
        now: float,
    ) -> list[Action]:
        """Note that an engine asks for rest.

        Sends that wait for its permits go elsewhere.
        """
        rest_until = now + event.statement.rest_seconds
        former = state.rest_until
        if rest_until <= former:
            return []
        state.rest_until = rest_until
        state.resting_instances = 1
        state.rest_source = statements.Source(
            statements.SourceKind.ANSWER,
            describe_answer(event),
            now,
        )
        self.keeper.withdraw_requests(state.entry.life, now)
        if now >= state.peer_rest_until:
            entry = state.entry
            self.components.send_manager.pending_hints.append(
                hints.EngineResting(
                    entry.engine,
                    event.statement.rest_seconds,
                    entry.started_at_ms,
                )
            )
            state.peer_rest_until = rest_until
        if (
            now < former
            and rest_until < former + statement_records.MIN_RECORDED_SECONDS
        ):
            return []
        reason = statement_records.rest_reason(
            event.statement.rest_seconds, state.rest_source.text
        )
        return [
            record(event, state, 'engine-rest', reason),
            *self.ask_for_life(state, now),
        ]

    def note_refusal(
        self,
        event: relay_events.EngineStated,
        state: engine_states.EngineState,
        now: float,
    ) -> list[Action]:
        """Space out requests after a refusal, and have all others do so."""
        rate = event.statement.refusal_rate
        entry = state.entry
        self.components.send_manager.pending_hints.append(
            hints.EngineRefused(entry.engine, rate, entry.started_at_ms)
        )
        source = statements.Source(
            statements.SourceKind.ANSWER, describe_answer(event), now
        )
        seconds = self.rest_after_refusal(state, rate, source, now)
        if not seconds:
            return []
        reason = f'for {seconds:.3f} s, turned away in {source.text}'
        return [record(event, state, 'engine-rest', reason)]

    def note_peer_refusal(
        self, incarnation: str, hint: hints.EngineRefused, now: float
    ) -> None:
        """Space out requests after a refusal of another instance."""
        state = self.engines.find_same_life(hint.engine, hint.started_at_ms)
        if state is not None:
            source = statements.Source(
                statements.SourceKind.INSTANCE, f'instance {incarnation}', now
            )
            self.rest_after_refusal(state, hint.refusal_rate, source, now)

    def rest_after_refusal(
        self,
        state: engine_states.EngineState,
        rate: float,
        source: statements.Source,
        now: float,
    ) -> float:
        """Leave an engine alone; return the seconds, 0.0 if it rests."""
        if state.is_resting(now):
            return 0.0
        seconds = refusal_rests.draw_rest_seconds(rate, 1, self.rng)
        state.rest_until = now + seconds
        state.rest_source = source
        state.resting_instances = self.fleet.size
        self.keeper.withdraw_requests(state.entry.life, now)
        return seconds

    def note_unusable(
        self,
        event: relay_events.EngineStated,
        state: engine_states.EngineState,
        now: float,
    ) -> list[Action]:
        """Record values that can't be used, at a bounded rate."""
        if now < state.next_unusable_record_at:
            return []
        state.next_unusable_record_at = (
            now + statement_records.UNUSABLE_RECORD_SECONDS
        )
        reason = statement_records.unusable_reason(event.statement)
        return [record(event, state, 'engine-statement-refused', reason)]


def describe_answer(event: relay_events.EngineStated) -> str:
    """Return the answer that contains a statement, for the timeline."""
    return statement_records.describe_answer(event.request, event.status)


def record(
    event: relay_events.EngineStated,
    state: engine_states.EngineState,
    kind: str,
    reason: str,
) -> actions.Record:
    """Return the timeline event of a statement."""
    return actions.Record(
        kind, reason, event.request, upstream=state.entry.engine
    )
