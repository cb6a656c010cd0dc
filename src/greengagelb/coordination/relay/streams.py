"""Continues streams on other engines when engines fail.

The memory of each run is copied to a second engine as it grows. If the first
engine is lost, the second one continues with the next event. Reading the
prompt again would take longer than any pause that callers do not notice.
Streams whose runs are only silent are continued by
:mod:`greengagelb.coordination.relay.silent_runs`.
"""

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import engine_selection
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import permit_waits
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import send_lives
from greengagelb.coordination.relay import sending
from greengagelb.coordination.relay import silent_runs
from greengagelb.coordination.relay import successor_search
from greengagelb.coordination.sharing import rates
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import requests

# Reading a prompt takes at least this share of the expected time.
MIN_READING_SHARE = 0.8

Action = relay_actions.RelayAction


class StreamRelay:
    """Starts streams and moves them between engines."""

    def __init__(
        self,
        components: relay_components.RelayComponents,
        stream_succession: successor_search.SuccessorSearch,
    ) -> None:
        self.components = components
        self.succession = stream_succession
        self.silent_runs = silent_runs.SilentRuns(
            components, stream_succession, self.start_replacement
        )
        self.duration_estimate = rates.DurationEstimate()

    def conservative_seconds(self, exchange: exchanges.Exchange) -> float:
        """Return the seconds within which nearly all such streams end."""
        return self.duration_estimate.conservative_seconds(
            token_cost(exchange)
        )

    def start_request(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Start a stream, after the last event that the caller has."""
        exchange.position = exchange.request.resumes_after or 0
        return self.start_from_prompt(exchange, now, 'no-engine')

    def start_from_prompt(
        self, exchange: exchanges.Exchange, now: float, code: str
    ) -> list[Action]:
        """Have an engine read the prompt and continue at the position."""
        lost = exchange.attempts > 0
        if self.components.crash_watch.is_blocked(exchange, now):
            return self.give_up(exchange, answers.CRASHES_ENGINES, now)
        state = self.components.selector.choose_for_stream(
            exchange.ruling,
            exchange.request.prompt,
            exchange.refused_by | engines_in_use(exchange),
            now,
            engine_selection.LOSS_JITTER_SECONDS
            if lost
            else engine_selection.JITTER_SECONDS,
        )
        continuation = permit_waits.StreamStart(code)
        if state is None:
            return self.components.wait_or_refuse(
                exchange, exchange.refused_by, continuation, now
            )
        pending = self.components.wait_for_permit(
            exchange, state, continuation, code, now
        )
        if pending is not None:
            return pending
        return self.start_on_engine(exchange, state, code, now)

    def start_on_engine(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        code: str,
        now: float,
    ) -> list[Action]:
        """Send a stream to the chosen engine, which reads its prompt."""
        if self.components.crash_watch.is_blocked(exchange, now):
            return self.give_up(exchange, answers.CRASHES_ENGINES, now)
        if now + self.min_reading_seconds(exchange, state, now) > (
            exchange.ruling.deadline
        ):
            return self.give_up(exchange, 'deadline-too-near', now)
        if not self.components.send_manager.try_spend_attempt(exchange, now):
            start = permit_waits.StreamStart(code)
            if self.components.wait_for_retry(exchange, start, now):
                return []
            return self.refuse_attempt(exchange, code, now)
        return self.send_stream(exchange, state, now)

    def refuse_attempt(
        self, exchange: exchanges.Exchange, code: str, now: float
    ) -> list[Action]:
        """End a stream that may not be sent once more."""
        return [
            self.components.send_manager.record_refused_attempt(exchange, now),
            *self.give_up(exchange, code, now),
        ]

    def give_up(
        self, exchange: exchanges.Exchange, code: str, now: float
    ) -> list[Action]:
        """End a stream that no engine will continue, unless a run is open."""
        if exchange.sends:
            return []
        return [self.components.answers.fail_request(exchange, code, now)]

    def min_reading_seconds(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        now: float,
    ) -> float:
        """Return the minimum seconds in which an engine reads a prompt.

        A caller with less time than that would get no event at all, and
        reading its prompt would only delay those of others.
        """
        prompt = exchange.request.prompt
        if prompt is None:
            return 0.0
        holder = self.components.send_manager.loads.prompts.likely_holder(
            prompt.own_part, now
        )
        if holder == state.entry.engine:
            return 0.0
        seconds = self.components.send_manager.loads.reading_seconds(
            prompt.tokens
        )
        return MIN_READING_SHARE * seconds

    def send_stream(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        now: float,
        copy_from: requests.CopyName | None = None,
    ) -> list[Action]:
        """Send a stream to an engine, and choose another for its copy."""
        copy_to = self.components.selector.choose_for_copy(
            exchange.ruling.service,
            exchange.request.prompt,
            state,
            exchange.refused_by | engines_in_use(exchange),
            now,
        )
        resulting = self.components.send_manager.start_send(
            exchange, state, now, copy_from, copy_to.entry if copy_to else None
        )
        sent = list(exchange.sends.values())[-1]
        sent.first_due = self.silent_runs.first_event_due_at(
            state, copy_from is not None, now
        )
        self.silent_runs.bound_overlap(exchange, now)
        return [*resulting, self.silent_runs.silence_timer(exchange)]

    def handle_probe(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.EngineProbed,
        now: float,
    ) -> list[Action]:
        """Handle a probe result for the engine of a silent run.

        A stream that may run once is not ended because its engine has
        restarted: the new life may have got it, and nothing could replace it.
        """
        is_repeatable = exchange.ruling.route.is_repeatable
        state = self.components.engines.states[sent.entry.engine]
        send_lives.note_probe(sent, state, event)
        if is_repeatable and send_lives.seems_lost(sent, state, event):
            exchange.may_have_run = True
            detail = 'probe answered after a restart of the engine'
            return self.handle_lost_send(exchange, sent, detail, now)
        resulting = self.silent_runs.handle_probe(exchange, sent, event, now)
        is_only_run = list(exchange.sends.values()) == [sent]
        is_gone = not event.alive and not self.components.engines.is_in_use(
            sent.entry.engine, now
        )
        may_go_on = is_repeatable and not exchange.begun
        if is_gone and is_only_run and may_go_on:
            exchange.may_have_run = True
            detail = 'no answer to a probe, engine not listed'
            resulting += self.replace_send(exchange, sent, detail, now)
        return resulting

    def handle_answer_head(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.AnswerStarted,
        now: float,
    ) -> list[Action]:
        """Store the head of an answer until its first event arrives.

        Once the head is sent to the caller, no other answer can be given if
        the engine fails before the first event.
        """
        exchange.may_have_run = True
        told = self.components.send_manager.note_answer_head(
            exchange, sent, event.head, now
        )
        if not event.head.sealed:
            return told + self.handle_lost_send(
                exchange, sent, 'unsigned answer', now
            )
        sent.head = event.head
        sent.answered_at = now
        sent.silent_since = now
        self.components.engines.note_answered(sent.entry.engine, sent.began_at)
        return told

    def pass_events(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.StreamProgressed,
        now: float,
    ) -> list[Action]:
        """Pass the next events on to the caller, and skip duplicates."""
        new_events = [e for e in event.events if e.number > exchange.position]
        resulting: list[Action] = []
        first = not sent.events_seen
        sent.events_seen += len(event.events)
        sent.silent_since = now
        sent.last_event_at = now
        self.components.engines.note_heard(sent.entry.engine, now)
        told = self.components.crash_watch.note_progress(exchange, sent, now)
        self.components.send_manager.pending_hints.extend(told)
        if not new_events:
            return []
        expected = range(
            exchange.position + 1, exchange.position + 1 + len(new_events)
        )
        if [e.number for e in new_events] != list(expected):
            return self.handle_lost_send(
                exchange, sent, 'event numbers missing', now
            )
        if first:
            self.components.engines.note_success(sent.entry.engine, now)
            waited = now - sent.began_at
            if sent.alone_with:
                self.components.send_manager.loads.update_reading_rate(
                    sent.alone_with, waited
                )
            why = f'first event after {waited:.3f} s'
            resulting.append(
                sending.record(exchange, sent, 'stream-moving', why)
            )
            resulting.append(self.silent_runs.silence_timer(exchange))
            resulting.append(self.measure_wait(exchange, now))
        if not exchange.begun and sent.head is not None:
            exchange.begun = True
            resulting.append(
                relay_actions.BeginStream(exchange.number, sent.head)
            )
        resulting += self.silent_runs.keep_winner(exchange, sent, now)
        exchange.position = new_events[-1].number
        exchange.moved_at = now
        resulting.append(
            relay_actions.PassEvents(exchange.number, tuple(new_events))
        )
        return resulting

    def measure_wait(
        self, exchange: exchanges.Exchange, now: float
    ) -> relay_actions.ObserveDuration:
        """Return the seconds that a caller waited for the current event."""
        if exchange.begun:
            kind = relay_actions.DurationKind.RESUME
            return relay_actions.ObserveDuration(kind, now - exchange.moved_at)
        kind = relay_actions.DurationKind.FIRST_EVENT
        waited = now - exchange.request.received_at
        return relay_actions.ObserveDuration(kind, waited)

    def end_stream(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """End the caller's answer as complete, unless it has no events.

        A stream that is resumed after its last event has none.
        """
        exchange.may_have_run = True
        resulting: list[Action] = []
        if not exchange.begun:
            if not exchange.position or sent.head is None:
                return self.handle_lost_send(exchange, sent, 'no events', now)
            exchange.begun = True
            resulting.append(
                relay_actions.BeginStream(exchange.number, sent.head)
            )
        self.components.send_manager.release_send(exchange, sent)
        told = self.components.crash_watch.note_survival(exchange, now)
        if not sent.has_survived:
            told += self.components.crash_watch.note_sound_parts(exchange, now)
        self.components.send_manager.pending_hints.extend(told)
        if not exchange.request.resumes_after:
            took = now - exchange.request.received_at
            self.duration_estimate.observe(took, token_cost(exchange))
        why = f'{exchange.position} events'
        return [
            *resulting,
            sending.record(exchange, sent, 'stream-complete', why),
            *self.components.send_manager.abandon_all_sends(exchange),
            relay_actions.EndStream(exchange.number),
        ]

    def handle_plain_answer(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.AnswerComplete,
        now: float,
    ) -> list[Action]:
        """Handle an answer that is not a stream: a refusal or a failure."""
        told = self.components.send_manager.note_answer_head(
            exchange, sent, event.head, now
        )
        return told + self.pass_on_or_restart(exchange, sent, event, now)

    def pass_on_or_restart(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.AnswerComplete,
        now: float,
    ) -> list[Action]:
        """Pass on a final answer, or go on without it.

        The caller of a stream that has begun can get no other answer.
        """
        head = event.head
        if head.not_run:
            return self.go_on_without(exchange, sent, head, now)
        exchange.may_have_run = True
        if head.is_success and not head.sealed:
            return self.handle_lost_send(
                exchange, sent, 'unsigned answer', now
            )
        is_repeatable = exchange.ruling.route.is_repeatable
        if exchange.begun and not is_repeatable:
            detail = f'status {head.status}'
            return self.handle_lost_send(exchange, sent, detail, now)
        if exchange.begun or len(exchange.sends) > 1:
            return self.go_on_without(exchange, sent, head, now)
        if head.status < 500 or not is_repeatable:
            self.components.send_manager.release_send(exchange, sent)
            return self.components.answers.pass_on(
                exchange, sent, head, event.body, now
            )
        exchange.failed = (head, event.body)
        return self.go_on_without(exchange, sent, head, now)

    def go_on_without(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        head: requests.AnswerHead,
        now: float,
    ) -> list[Action]:
        """Go on with the other run of a stream, or on another engine."""
        self.components.send_manager.release_send(exchange, sent)
        why = f'status {head.status}'
        told = sending.record(exchange, sent, 'send-refused', why)
        resulting: list[Action] = [told]
        if head.status == calls.MISDIRECTED_REQUEST:
            resulting += self.components.handle_misdirected(
                exchange, sent, now
            )
            resulting += self.succession.search_after_replacement(
                sent.entry, now
            )
        if not sent.from_copy:
            exchange.refused_by.add(sent.entry.engine)
        if exchange.sends:
            return resulting + self.silent_runs.go_on_with_other_run(
                exchange, sent, now
            )
        return resulting + self.start_from_prompt(
            exchange, now, 'engines-full'
        )

    def handle_broken_send(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.SendFailed,
        now: float,
    ) -> list[Action]:
        """Handle a connection that ended before its stream did."""
        resulting: list[Action] = []
        if event.is_path_lost:
            exchange.may_have_run = True
            return self.replace_send(exchange, sent, event.detail, now)
        if event.handed_over:
            exchange.may_have_run = True
            has_begun = sent.head is not None
            resulting = self.components.crash_watch.suspect_engine(
                exchange,
                sent,
                sent.answered_at if has_begun else now,
                now,
                has_begun=has_begun,
            )
        else:
            self.components.send_manager.note_unconnected(exchange, sent)
        if self.components.is_withheld(sent, event, now):
            return resulting + self.replace_send(
                exchange, sent, event.detail, now
            )
        return resulting + self.handle_lost_send(
            exchange, sent, event.detail, now
        )

    def handle_lost_send(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        detail: str,
        now: float,
    ) -> list[Action]:
        """Record the failure of a send's engine, and replace the send."""
        return [
            *self.silent_runs.blame_engine(sent, now, dead=True),
            *self.replace_send(exchange, sent, detail, now),
        ]

    def replace_send(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        detail: str,
        now: float,
    ) -> list[Action]:
        """Abandon a send; continue elsewhere, from a copy if there is one."""
        resulting: list[Action] = [
            sending.lost_send_record(exchange, sent, detail, now),
            *self.components.send_manager.abandon_send(exchange, sent),
        ]
        if exchange.sends:
            return [
                *resulting,
                *self.silent_runs.go_on_with_other_run(exchange, sent, now),
            ]
        if exchange.unconnected >= calls.MAX_FAILED_CONNECTIONS:
            code = 'engines-unreachable'
            return [
                *resulting,
                self.components.answers.fail_request(exchange, code, now),
            ]
        if exchange.may_have_run and not exchange.ruling.route.is_repeatable:
            code = 'outcome-unknown'
            return [
                *resulting,
                self.components.answers.fail_request(exchange, code, now),
            ]
        if self.components.crash_watch.hold_until_checked(exchange, sent, now):
            return resulting
        return resulting + self.start_replacement(exchange, sent, now)

    def start_replacement(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Start a run in place of an abandoned one."""
        copy = self.silent_runs.usable_copy_engine(sent, now)
        if copy is None or self.components.crash_watch.is_blocked(
            exchange, now
        ):
            return self.start_from_prompt(exchange, now, 'engines-failed')
        continuation = self.continue_from_copy(exchange, sent)
        code = 'retry-budget-spent'
        pending = self.components.wait_for_permit(
            exchange, copy, continuation, code, now
        )
        if pending is not None:
            return pending
        return self.resume_from_copy(exchange, sent, now)

    def continue_from_lost(
        self,
        exchange: exchanges.Exchange,
        lost: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Start a run in place of a lost or silent one, if still needed."""
        if exchange.sends and not self.silent_runs.wants_replacement(
            exchange, now
        ):
            return []
        return self.start_replacement(exchange, lost, now)

    def continue_from_copy(
        self, exchange: exchanges.Exchange, sent: exchanges.InFlightSend
    ) -> permit_waits.StreamFromCopy:
        """Return how a stream goes on that waits to resume from a copy."""
        prompt = exchange.request.prompt
        tokens = prompt.tokens if prompt else 0
        patience = self.components.send_manager.loads.reading_seconds(tokens)
        return permit_waits.StreamFromCopy(sent, patience)

    def resume_from_copy(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Resume a run on the engine that holds its copy."""
        copy = self.silent_runs.usable_copy_engine(sent, now)
        if copy is None or self.components.crash_watch.is_blocked(
            exchange, now
        ):
            return self.start_from_prompt(exchange, now, 'engines-failed')
        if not self.components.send_manager.try_spend_attempt(exchange, now):
            continuation = self.continue_from_copy(exchange, sent)
            if self.components.wait_for_retry(exchange, continuation, now):
                return []
            return self.refuse_attempt(exchange, 'retry-budget-spent', now)
        sent.copy_used = True
        return self.send_stream(exchange, copy, now, sent.copy_name)


def engines_in_use(exchange: exchanges.Exchange) -> set[str]:
    """Return the engines of the open runs of a stream."""
    return {sent.entry.engine for sent in exchange.sends.values()}


def token_cost(exchange: exchanges.Exchange) -> float:
    """Return the work of a stream, in generated tokens.

    Reading a token takes about a fiftieth of the time of generating one.
    """
    prompt = exchange.request.prompt
    if prompt is None:
        return 1.0
    return prompt.most_new_tokens + prompt.tokens / 50.0
