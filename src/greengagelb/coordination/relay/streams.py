"""Continues streams on other engines when engines fail.

The memory of each run is copied to a second engine as it grows. If the first
engine is lost, the second one continues with the next event. Reading the
prompt again would take longer than any pause that callers do not notice.
"""

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import engine_selection
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import permit_waits
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import sending
from greengagelb.coordination.relay import successor_search
from greengagelb.coordination.sharing import rates
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests

SILENCE_TIMER = 'relay-silence'
# A stream is moved after it has been silent for this share of the pause that
# its callers accept. The rest suffices to continue on another engine;
# moving earlier takes streams away from engines that are only reading another
# prompt.
MAX_SILENCE_SHARE = 0.55
# The longest pause that callers accept, for routes that state none: they give
# up on a stream after two seconds.
DEFAULT_GAP_GOAL_SECONDS = 2.0
# Reading a prompt takes at least this share of the expected time.
MIN_READING_SHARE = 0.8
# How long a first event may be overdue before its engine is probed. Moving
# the stream wastes the work of reading its prompt, and most late engines are
# only busy.
FIRST_EVENT_MARGIN_SECONDS = 0.5
# How long an engine has to send the next event after a probe.
PROBED_MARGIN_SECONDS = 1.0
# The time for the first event of a run that resumes from a copy: it has
# almost nothing to read, and engines admit it first.
COPY_FIRST_EVENT_SECONDS = 0.6

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
            code = answers.CRASHES_ENGINES
            return [self.components.answers.fail_request(exchange, code, now)]
        state = self.components.selector.choose_for_stream(
            exchange.ruling,
            exchange.request.prompt,
            exchange.refused_by,
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
            code = answers.CRASHES_ENGINES
            return [self.components.answers.fail_request(exchange, code, now)]
        if now + self.min_reading_seconds(exchange, state, now) > (
            exchange.ruling.deadline
        ):
            code = 'deadline-too-near'
            return [self.components.answers.fail_request(exchange, code, now)]
        if not self.components.send_manager.try_spend_attempt(exchange, now):
            return self.refuse_attempt(exchange, code, now)
        return self.send_stream(exchange, state, now)

    def refuse_attempt(
        self, exchange: exchanges.Exchange, code: str, now: float
    ) -> list[Action]:
        """End a stream that may not be sent once more."""
        return [
            self.components.send_manager.record_refused_attempt(exchange, now),
            self.components.answers.fail_request(exchange, code, now),
        ]

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
            exchange.refused_by,
            now,
        )
        resulting = self.components.send_manager.start_send(
            exchange, state, now, copy_from, copy_to.entry if copy_to else None
        )
        sent = list(exchange.sends.values())[-1]
        sent.first_due = self.first_event_due_at(
            state, copy_from is not None, now
        )
        return [*resulting, self.silence_timer(exchange, sent)]

    def first_event_due_at(
        self, state: engine_states.EngineState, from_copy: bool, now: float
    ) -> float:
        """Return the monotonic time by which the first event is due."""
        if from_copy:
            return now + COPY_FIRST_EVENT_SECONDS
        work = self.components.send_manager.loads.work_on(state.entry.engine)
        return max(now, work.reading_until) + FIRST_EVENT_MARGIN_SECONDS

    def silence_timer(
        self, exchange: exchanges.Exchange, sent: exchanges.InFlightSend
    ) -> actions.SetTimer:
        """Return the timer at which a send is checked for silence."""
        name = timers.timer_name(SILENCE_TIMER, exchange.number)
        return actions.SetTimer(name, self.next_event_due_at(exchange, sent))

    def next_event_due_at(
        self, exchange: exchanges.Exchange, sent: exchanges.InFlightSend
    ) -> float:
        """Return the monotonic time by which the next event is due."""
        if not sent.events_seen:
            return sent.first_due
        if sent.asked_at > sent.moved_at:
            return sent.asked_at + PROBED_MARGIN_SECONDS
        gap = exchange.ruling.route.gap_goal or DEFAULT_GAP_GOAL_SECONDS
        return sent.moved_at + MAX_SILENCE_SHARE * gap

    def check_silence(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Move a stream whose engine has been silent for too long.

        Without a copy, another engine has to read the prompt again, which
        takes longer than the silence, so the engine is probed first.
        """
        if not exchange.sends:
            return []
        sent = list(exchange.sends.values())[-1]
        if now < self.next_event_due_at(exchange, sent):
            return [self.silence_timer(exchange, sent)]
        first = not sent.events_seen and not sent.from_copy
        is_not_probed = sent.asked_at <= sent.moved_at
        has_no_copy = (
            sent.events_seen and self.usable_copy_engine(sent, now) is None
        )
        if first or (has_no_copy and is_not_probed):
            return self.probe_engine(exchange, sent, now)
        exchange.may_have_run = True
        detail = self.describe_silence(exchange, sent, now)
        return self.handle_lost_send(exchange, sent, detail, now, dead=False)

    def describe_silence(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> str:
        """Return what separates one silent engine from several or our own.

        A late timer means that this process stood still, and no word from
        other engines that the cause is none of this engine's.
        """
        silent = now - sent.moved_at
        late = now - self.next_event_due_at(exchange, sent)
        heard = now - self.components.engines.others_heard_at(sent.entry)
        return (
            f'silent for {silent:.3f} s, noticed {late:.3f} s late, '
            f'others heard {heard:.3f} s ago'
        )

    def probe_engine(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Probe an engine whose next event is overdue."""
        sent.first_due = now + PROBED_MARGIN_SECONDS
        sent.asked_at = now
        return [
            relay_actions.ProbeEngine(
                exchange.number, sent.number, sent.entry
            ),
            self.silence_timer(exchange, sent),
        ]

    def handle_probe(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.EngineProbed,
        now: float,
    ) -> list[Action]:
        """Move a stream away from an engine that does not answer a probe.

        An engine that has restarted counts as not answering: it does not have
        the run, or would have started it by now.
        """
        progressed_since = sent.events_seen and sent.moved_at > sent.asked_at
        restarted = sent.entry.is_earlier_than(event.started_at_ms)
        if progressed_since or (event.alive and not restarted):
            return []
        exchange.may_have_run = True
        detail = 'no answer to a probe'
        if restarted:
            detail = 'probe answered after a restart of the engine'
        return self.handle_lost_send(exchange, sent, detail, now)

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
        sent.moved_at = now
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
        sent.moved_at = now
        self.components.engines.note_heard(sent.entry.engine, now)
        if first:
            told = self.components.crash_watch.note_sound_parts(exchange, now)
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
            resulting.append(self.silence_timer(exchange, sent))
            resulting.append(self.measure_wait(exchange, now))
        if not exchange.begun and sent.head is not None:
            exchange.begun = True
            resulting.append(
                relay_actions.BeginStream(exchange.number, sent.head)
            )
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
        """End the caller's answer as complete, unless it has no events."""
        exchange.may_have_run = True
        if not exchange.begun:
            return self.handle_lost_send(exchange, sent, 'no events', now)
        self.components.send_manager.release_send(exchange, sent)
        told = self.components.crash_watch.note_survival(exchange, now)
        self.components.send_manager.pending_hints.extend(told)
        if not exchange.request.resumes_after:
            took = now - exchange.request.received_at
            self.duration_estimate.observe(took, token_cost(exchange))
        why = f'{exchange.position} events'
        return [
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
        """Pass on a final answer, or start the stream on another engine."""
        head = event.head
        why = f'status {head.status}'
        if not head.not_run:
            exchange.may_have_run = True
            if head.status < 500:
                self.components.send_manager.release_send(exchange, sent)
                return [
                    relay_actions.PassAnswer(exchange.number, head, event.body)
                ]
            exchange.failed = (head, event.body)
        self.components.send_manager.release_send(exchange, sent)
        told = sending.record(exchange, sent, 'send-refused', why)
        resulting: list[Action] = [told]
        if head.status == calls.MISDIRECTED_REQUEST:
            self.components.send_manager.note_engine_replaced(exchange, sent)
            resulting += self.succession.search_after_replacement(
                sent.entry, now
            )
        if not sent.from_copy:
            exchange.refused_by.add(sent.entry.engine)
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
        if event.handed_over:
            exchange.may_have_run = True
        else:
            self.components.send_manager.note_unconnected(exchange)
        if sent.head is not None:
            resulting = self.components.crash_watch.suspect_engine(
                exchange, sent, sent.answered_at, now
            )
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
        *,
        dead: bool = True,
    ) -> list[Action]:
        """Record the failure of a send's engine, and replace the send.

        ``dead`` is whether the engine seems to have failed. An engine that was
        only silent may still be reading another prompt.
        """
        engine, start = sent.entry.engine, sent.entry.started_at_ms
        self.components.engines.note_failure(
            engine, now, dead=dead, started_at_ms=start
        )
        kind = hints.EngineFailed if dead else hints.StreamSilent
        self.components.send_manager.pending_hints.append(kind(engine, start))
        heard_at = sent.moved_at if sent.head else self.engine_heard_at(sent)
        return [
            *self.succession.search_after_loss(sent.entry, heard_at, now),
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
        copy = self.usable_copy_engine(sent, now) if sent.events_seen else None
        if copy is None or self.components.crash_watch.is_blocked(
            exchange, now
        ):
            return self.start_from_prompt(exchange, now, 'engines-failed')
        prompt = exchange.request.prompt
        tokens = prompt.tokens if prompt else 0
        patience = self.components.send_manager.loads.reading_seconds(tokens)
        continuation = permit_waits.StreamFromCopy(sent, patience)
        code = 'retry-budget-spent'
        pending = self.components.wait_for_permit(
            exchange, copy, continuation, code, now
        )
        if pending is not None:
            return pending
        return self.resume_from_copy(exchange, sent, now)

    def resume_from_copy(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Resume a run on the engine that holds its copy."""
        copy = self.usable_copy_engine(sent, now)
        if copy is None or self.components.crash_watch.is_blocked(
            exchange, now
        ):
            return self.start_from_prompt(exchange, now, 'engines-failed')
        if not self.components.send_manager.try_spend_attempt(exchange, now):
            return self.refuse_attempt(exchange, 'retry-budget-spent', now)
        return self.send_stream(exchange, copy, now, sent.copy_name)

    def engine_heard_at(self, sent: exchanges.InFlightSend) -> float:
        """Return the monotonic time when an engine was last heard from."""
        state = self.components.engines.states.get(sent.entry.engine)
        return state.heard_at if state else float('-inf')

    def usable_copy_engine(
        self, sent: exchanges.InFlightSend, now: float
    ) -> engine_states.EngineState | None:
        """Return the engine with a copy of a run, if it can resume it.

        After a restart the engine answers under the same identity but has no
        copy.
        """
        if sent.copy_to is None or sent.copy_name is None:
            return None
        if self.components.engines.is_former_life(sent.copy_to):
            return None
        state = self.components.engines.states.get(sent.copy_to.engine)
        if state is None or not state.is_reachable(now):
            return None
        return None if state.is_resting(now) else state


def token_cost(exchange: exchanges.Exchange) -> float:
    """Return the work of a stream, in generated tokens.

    Reading a token takes about a fiftieth of the time of generating one.
    """
    prompt = exchange.request.prompt
    if prompt is None:
        return 1.0
    return prompt.most_new_tokens + prompt.tokens / 50.0
