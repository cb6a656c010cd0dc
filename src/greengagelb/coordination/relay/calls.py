"""Relays short calls, and retries them only where the route allows it."""

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import permit_waits
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import sending
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints

HEDGE_TIMER = 'relay-second-try'
# Fires when a call has exceeded the goal of its route.
LATE_CALL_TIMER = 'relay-call-late'
# An idempotent call without an answer after this share of its goal is also
# sent to a second engine: a stalled or slow engine shows no other sign, and
# the rest of the goal still suffices for a whole call.
HEDGE_DELAY_SHARE = 0.6
# Connections that could not be opened do not count as attempts, as nothing was
# sent. They are bounded so that a request does not try an unreachable pool
# forever.
MAX_FAILED_CONNECTIONS = 12
# The status of an engine that is not the one the request was meant for.
MISDIRECTED_REQUEST = 421

Action = relay_actions.RelayAction


class CallRelay:
    """Sends short calls, retries them and hedges them."""

    def __init__(self, components: relay_components.RelayComponents) -> None:
        self.components = components

    def start_request(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Make the first attempt of a call, or refuse it at once."""
        return self.send_to_next_engine(exchange, now, 'no-engine')

    def send_to_next_engine(
        self, exchange: exchanges.Exchange, now: float, code: str
    ) -> list[Action]:
        """Send a call to an engine that it has not tried, or end it."""
        if self.components.crash_watch.is_blocked(exchange, now):
            code = answers.CRASHES_ENGINES
            return [self.components.answers.fail_request(exchange, code, now)]
        state = self.choose_engine(exchange, now)
        continuation = permit_waits.CallAttempt(code)
        if state is None:
            return self.components.wait_or_refuse(
                exchange, exchange.tried, continuation, now
            )
        pending = self.components.wait_for_permit(
            exchange, state, continuation, code, now
        )
        if pending is not None:
            return pending
        return self.send_to_engine(exchange, state, code, now)

    def choose_engine(
        self, exchange: exchanges.Exchange, now: float
    ) -> engine_states.EngineState | None:
        """Return the engine for a call's next attempt, or None."""
        ruling = exchange.ruling
        return self.components.selector.choose_for_call(
            ruling.service.name, exchange.tried, now, ruling.account
        )

    def send_to_engine(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        code: str,
        now: float,
    ) -> list[Action]:
        """Send a call to the chosen engine, or end it."""
        if self.components.crash_watch.is_blocked(exchange, now):
            code = answers.CRASHES_ENGINES
            return [self.components.answers.fail_request(exchange, code, now)]
        if not self.components.send_manager.try_spend_attempt(exchange, now):
            attempt = permit_waits.CallAttempt(code)
            if self.components.wait_for_retry(exchange, attempt, now):
                return []
            return [self.components.refuse_attempt(exchange, code, now)]
        resulting = self.components.send_manager.start_send(
            exchange, state, now
        )
        goal = exchange.ruling.route.goal
        late = timers.timer_name(LATE_CALL_TIMER, exchange.number)
        resulting.append(actions.SetTimer(late, now + goal))
        if exchange.ruling.route.is_repeatable:
            name = timers.timer_name(HEDGE_TIMER, exchange.number)
            resulting.append(
                actions.SetTimer(name, now + HEDGE_DELAY_SHARE * goal)
            )
        return resulting

    def handle_answer(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.AnswerComplete,
        now: float,
    ) -> list[Action]:
        """Handle a complete answer of an engine."""
        told = self.components.send_manager.note_answer_head(
            exchange, sent, event.head, now
        )
        return told + self.decide_answer(exchange, sent, event, now)

    def decide_answer(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.AnswerComplete,
        now: float,
    ) -> list[Action]:
        """Pass a complete answer on, or try another engine."""
        head = event.head
        self.components.send_manager.release_send(exchange, sent)
        if head.not_run:
            return self.retry_not_run(exchange, sent, head.status, now)
        exchange.may_have_run = True
        self.components.engines.note_answered(sent.entry.engine, sent.began_at)
        if head.sealed and head.status < 500:
            self.note_survived(exchange, now)
        self.components.engines.note_success(sent.entry.engine, now)
        if head.status >= 500:
            self.count_engine_error(sent, now)
        if not head.sealed and head.is_success:
            return self.handle_lost_send(
                exchange, sent, 'unsigned answer', now
            )
        if head.status >= 500 and exchange.ruling.route.is_repeatable:
            exchange.failed = (head, event.body)
            return self.handle_lost_send(
                exchange, sent, f'status {head.status}', now
            )
        resulting = self.components.send_manager.abandon_all_sends(exchange)
        passed = self.components.answers.pass_on(
            exchange, sent, head, event.body, now
        )
        took = now - exchange.request.received_at
        call = relay_actions.DurationKind.CALL
        return [*resulting, *passed, relay_actions.ObserveDuration(call, took)]

    def note_survived(self, exchange: exchanges.Exchange, now: float) -> None:
        """Note that an engine has run a call, and tell the others."""
        watch = self.components.crash_watch
        self.components.send_manager.pending_hints.extend(
            [
                *watch.note_survival(exchange, now),
                *watch.note_sound_parts(exchange, now),
            ]
        )

    def count_engine_error(
        self, sent: exchanges.InFlightSend, now: float
    ) -> None:
        """Count an error of an engine here and announce it to others."""
        engine, start = sent.entry.engine, sent.entry.started_at_ms
        self.components.engines.note_call_error(engine, now, start)
        self.components.send_manager.pending_hints.append(
            hints.EngineErrored(engine, start)
        )

    def retry_not_run(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        status: int,
        now: float,
    ) -> list[Action]:
        """Try another engine after one that did not run the call."""
        why = f'not run, status {status}'
        resulting: list[Action] = [
            sending.record(exchange, sent, 'send-refused', why)
        ]
        if status == MISDIRECTED_REQUEST:
            resulting += self.components.handle_misdirected(
                exchange, sent, now
            )
        if exchange.sends:
            return resulting
        return resulting + self.send_to_next_engine(
            exchange, now, 'engines-full'
        )

    def handle_broken_send(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.SendFailed,
        now: float,
    ) -> list[Action]:
        """Handle a send that ended without an answer."""
        if not self.components.is_withheld(sent, event, now):
            self.components.engines.note_failure(
                sent.entry.engine,
                now,
                dead=not event.handed_over,
                started_at_ms=sent.entry.started_at_ms,
            )
        self.components.send_manager.release_send(exchange, sent)
        if event.handed_over:
            exchange.may_have_run = True
            # A call shows no progress before its answer, so the run counts
            # from the time of the send.
            asked = self.components.crash_watch.suspect_engine(
                exchange, sent, sent.began_at, now
            )
            return asked + self.handle_lost_send(
                exchange, sent, event.detail, now
            )
        self.components.send_manager.note_unconnected(exchange, sent)
        resulting: list[Action] = [
            sending.record(exchange, sent, 'send-unconnected', event.detail)
        ]
        if exchange.sends:
            return resulting
        if exchange.unconnected >= MAX_FAILED_CONNECTIONS:
            code = 'engines-unreachable'
            return [
                *resulting,
                self.components.answers.fail_request(exchange, code, now),
            ]
        return resulting + self.send_to_next_engine(
            exchange, now, 'engines-unreachable'
        )

    def handle_lost_send(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        detail: str,
        now: float,
    ) -> list[Action]:
        """Retry a call that may have run, if its route allows that."""
        resulting: list[Action] = [
            sending.lost_send_record(exchange, sent, detail, now)
        ]
        if exchange.sends:
            return resulting
        if exchange.ruling.route.is_repeatable:
            if self.components.crash_watch.hold_until_checked(
                exchange, sent, now
            ):
                return resulting
            return resulting + self.send_to_next_engine(
                exchange, now, 'engines-failed'
            )
        code = 'outcome-unknown'
        return [
            *resulting,
            self.components.answers.fail_request(exchange, code, now),
        ]

    def count_late_sends(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Count each late answer as an error of its engine.

        An engine may stop answering calls while its status check passes. A
        call that must not be repeated shows that only at its deadline, and
        until then each instance would send the engine more calls. The answer
        is still awaited. If all engines are late, none is avoided.
        """
        goal = exchange.ruling.route.goal
        for sent in exchange.sends.values():
            if now >= sent.began_at + goal:
                self.count_engine_error(sent, now)
        return []

    def start_hedge(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Send a call without an answer to a second engine as well."""
        if len(exchange.sends) != 1:
            return []
        if self.components.crash_watch.is_blocked(exchange, now):
            return []
        state = self.choose_engine(exchange, now)
        if state is None or state.in_flight >= state.entry.slots:
            return []
        if not self.components.waiting_sends.needs_permit(state):
            return self.send_hedge(exchange, state, now)
        if self.components.send_manager.has_attempts_left(exchange):
            continuation = permit_waits.HedgedCall()
            self.components.waiting_sends.hold_for_permit(
                exchange, state, continuation, now
            )
        return []

    def send_hedge(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        now: float,
    ) -> list[Action]:
        """Send a call to a second engine, if a retry is allowed."""
        if not self.components.send_manager.try_spend_attempt(exchange, now):
            return []
        return self.components.send_manager.start_send(exchange, state, now)
