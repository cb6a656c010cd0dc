"""Continues sends that waited for a permit of a rate-limited engine."""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import permit_waits
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import sending
from greengagelb.coordination.relay import streams
from greengagelb.coordination.sharing import limit_keeper
from greengagelb.coordination.sharing import limit_table
from greengagelb.state import limits
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges

LIMITS_TIMER = 'relay-limits'
# How often limits of former lives are removed.
CLEANUP_INTERVAL_SECONDS = 1.0

Action = relay_actions.RelayAction


class PermitOutcomeHandler:
    """Connects the limit keeper with the requests that wait for permits."""

    def __init__(
        self,
        components: relay_components.RelayComponents,
        call_relay: calls.CallRelay,
        stream_relay: streams.StreamRelay,
        open_exchanges: dict[int, exchanges.Exchange],
    ) -> None:
        self.components = components
        self.keeper = components.waiting_sends.keeper
        self.waiting = components.waiting_sends.waiting
        self.calls = call_relay
        self.streams = stream_relay
        self.open_exchanges = open_exchanges
        self.timer_set_for = float('inf')
        self.next_cleanup_at = float('-inf')

    def handle_message(
        self, incarnation: str, message: limits.Message, now: float
    ) -> list[Action]:
        """Handle a message about limits of another instance."""
        match message:
            case limits.LimitUpdate(life):
                if not self.is_current_life(life, now):
                    return []
                if not self.keeper.merge_limit(message, now):
                    return []
                why = (
                    f'{limit_table.describe_limit(message)}, '
                    f'from {incarnation}'
                )
                engine = self.components.engines.find_by_life(
                    life
                ).entry.engine
                return [actions.Record('engine-limit', why, upstream=engine)]
        self.keeper.handle_message(incarnation, message, now)
        return []

    def is_current_life(self, life: str, now: float) -> bool:
        """Return whether a life is the known one of an engine in use."""
        state = self.components.engines.find_by_life(life)
        if state is None:
            return False
        return self.components.engines.is_in_use(state.entry.engine, now)

    def finish_event(
        self, resulting: list[Action], now: float
    ) -> list[Action]:
        """Update the limits after an event that led to these actions.

        Counts probes, checks and copy orders sent to limited engines,
        continues sends whose permit was granted or denied, and sends the
        messages of the limit keeper.
        """
        keeper = self.keeper
        if keeper.table.known_limits:
            self.count_unpermitted_requests(resulting, now)
            self.forget_former_lives(now)
        more: list[Action] = []
        while keeper.outcomes:
            more += self.handle_outcome(keeper.outcomes.pop(0), now)
        for outgoing in keeper.outgoing:
            notice = relay_actions.TellPeers(outgoing.message)
            if outgoing.receiver:
                notice = relay_actions.TellPeer(
                    outgoing.receiver, outgoing.message
                )
            more.append(notice)
        keeper.outgoing.clear()
        return more + self.set_timer(now)

    def set_timer(self, now: float) -> list[Action]:
        """Return the timer of the keeper's next due work, if it changed."""
        if not self.keeper.schedule_changed:
            return []
        self.keeper.schedule_changed = False
        due_at = self.keeper.next_due_at(now)
        if due_at == self.timer_set_for:
            return []
        self.timer_set_for = due_at
        if due_at == float('inf'):
            return [actions.ClearTimer(LIMITS_TIMER)]
        return [actions.SetTimer(LIMITS_TIMER, due_at)]

    def run_due_work(self, now: float) -> list[Action]:
        """Have the keeper do what is due."""
        self.timer_set_for = float('inf')
        self.keeper.run_due(now)
        return []

    def count_unpermitted_requests(
        self, resulting: list[Action], now: float
    ) -> None:
        """Count the requests to limited engines that need no permit.

        These are probes, checks and copy orders, which no caller has made.
        """
        for action in resulting:
            match action:
                case (
                    relay_actions.ProbeEngine(engine=entry)
                    | relay_actions.CheckEngine(entry=entry)
                    | relay_actions.CopyRun(source=entry)
                ) if self.keeper.is_limited(entry.life):
                    self.keeper.count_unpermitted(entry.life, 1, now)

    def forget_former_lives(self, now: float) -> None:
        """Forget the limits of former lives."""
        if now < self.next_cleanup_at:
            return
        self.next_cleanup_at = now + CLEANUP_INTERVAL_SECONDS
        for life in list(self.keeper.table.known_limits):
            if not self.is_current_life(life, now):
                self.keeper.forget_life(life)

    def handle_outcome(
        self,
        outcome: limit_keeper.Granted | limit_keeper.Denied,
        now: float,
    ) -> list[Action]:
        """Send a request that has its permit, or choose another engine."""
        held = self.waiting.pop(outcome.number, None)
        if held is None:
            return []
        exchange = self.open_exchanges.get(held.exchange)
        match outcome:
            case limit_keeper.Granted():
                resulting = self.send_granted(held, exchange, now)
                if not any(
                    is_sent_to(held.life, action) for action in resulting
                ):
                    self.keeper.return_permit(held.life, outcome, now)
                return resulting
            case limit_keeper.Denied() if exchange is not None:
                why = self.denial_reason(held, outcome, now)
                notice = sending.record(exchange, None, 'permit-denied', why)
                notice = dataclasses.replace(notice, upstream=held.engine)
                return [
                    notice,
                    *self.send_elsewhere(held.continuation, exchange, now),
                ]
        return []

    def send_granted(
        self,
        held: permit_waits.WaitingSend,
        exchange: exchanges.Exchange | None,
        now: float,
    ) -> list[Action]:
        """Make a send that has its permit, if its caller still waits."""
        if exchange is None:
            return []
        state = self.find_target(held, exchange, now)
        if state is None:
            return self.send_elsewhere(held.continuation, exchange, now)
        return self.send(held, exchange, state, now)

    def find_target(
        self,
        held: permit_waits.WaitingSend,
        exchange: exchanges.Exchange,
        now: float,
    ) -> engine_states.EngineState | None:
        """Return the engine of a send, if the send is still to be made."""
        state = self.components.engines.states.get(held.engine)
        if state is None:
            return None
        if state.entry.life != held.life or not state.is_usable(now):
            return None
        if not state.accepts_requests(now):
            return None
        return state if self.is_wanted(held, exchange, now) else None

    def is_wanted(
        self,
        held: permit_waits.WaitingSend,
        exchange: exchanges.Exchange,
        now: float,
    ) -> bool:
        """Return whether a request still needs the send that has waited."""
        match held.continuation:
            case permit_waits.HedgedCall():
                return len(exchange.sends) == 1
            case permit_waits.CallAttempt():
                return not exchange.sends
        return (
            not exchange.sends
            or self.streams.silent_runs.wants_replacement(exchange, now)
        )

    def send(
        self,
        held: permit_waits.WaitingSend,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        now: float,
    ) -> list[Action]:
        """Make a send that has its permit."""
        match held.continuation:
            case permit_waits.CallAttempt(code):
                return self.calls.send_to_engine(exchange, state, code, now)
            case permit_waits.HedgedCall():
                return self.calls.send_hedge(exchange, state, now)
            case permit_waits.StreamStart(code):
                return self.streams.start_on_engine(exchange, state, code, now)
            case permit_waits.StreamFromCopy(lost=lost):
                return self.streams.resume_from_copy(exchange, lost, now)

    def send_elsewhere(
        self,
        continuation: permit_waits.Continuation,
        exchange: exchanges.Exchange,
        now: float,
    ) -> list[Action]:
        """Choose an engine again for a request that has waited, if needed."""
        if exchange.sends and not (
            self.streams.silent_runs.wants_replacement(exchange, now)
        ):
            return []
        match continuation:
            case permit_waits.CallAttempt(code):
                return self.calls.send_to_next_engine(exchange, now, code)
            case permit_waits.StreamStart(code):
                return self.streams.start_from_prompt(exchange, now, code)
            case permit_waits.StreamFromCopy():
                code = 'engines-failed'
                return self.streams.start_from_prompt(exchange, now, code)
        return []

    def denial_reason(
        self,
        held: permit_waits.WaitingSend,
        denied: limit_keeper.Denied,
        now: float,
    ) -> str:
        """Return which limit denied a permit, its age and its issuer."""
        known = self.keeper.table.known_limits.get(held.life)
        limit = 'no limit known'
        if known is not None and known.rate is not None:
            age = now - known.known_at
            limit = f'limit {known.rate:g} known for {age:.1f} s'
        issuer = denied.issuer or 'none answered'
        return (
            f'{limit}, issuer {issuer}, share {denied.share:.3f}, '
            f'wait {denied.wait:.3f} s'
        )


def is_sent_to(life: str, action: Action) -> bool:
    """Return whether an action sends a request to a life of an engine."""
    match action:
        case relay_actions.Send(engine=entry):
            return entry.life == life
    return False
