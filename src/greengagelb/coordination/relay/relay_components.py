"""The components that calls and streams share, and what they do together."""

import dataclasses

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import crash_watch
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import engine_selection
from greengagelb.coordination.relay import engine_waits
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import identity_checks
from greengagelb.coordination.relay import permit_waits
from greengagelb.coordination.relay import retry_loans
from greengagelb.coordination.relay import sending
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges

# The most engines that the timeline names for one request.
MAX_ENGINES_LEFT_OUT = 4

Action = relay_actions.RelayAction


@dataclasses.dataclass(frozen=True, slots=True)
class RelayComponents:
    """The components that calls and streams share."""

    engines: directory.EngineDirectory
    selector: engine_selection.EngineSelector
    send_manager: sending.SendManager
    answers: answers.AnswerBuilder
    crash_watch: crash_watch.CrashWatch
    waiting_sends: permit_waits.WaitingSends
    engine_waits: engine_waits.EngineWaits
    retry_loans: retry_loans.RetryLoans
    identity_checks: identity_checks.IdentityChecks

    def handle_misdirected(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Handle a send that reached another engine than the intended one."""
        self.send_manager.note_engine_replaced(exchange, sent)
        return self.identity_checks.check_neighbours(sent.entry, now)

    def wait_for_permit(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        continuation: permit_waits.Continuation,
        code: str,
        now: float,
    ) -> list[Action] | None:
        """Queue a send for a permit if its engine has a limit.

        Returns the resulting actions, or None if the send needs no permit.
        The request fails with ``code`` if it has no attempts left.
        """
        if not self.waiting_sends.needs_permit(state):
            return None
        if not self.send_manager.has_attempts_left(exchange):
            if exchange.sends:
                return []
            return [self.answers.fail_request(exchange, code, now)]
        self.waiting_sends.hold_for_permit(exchange, state, continuation, now)
        return []

    def wait_for_retry(
        self,
        exchange: exchanges.Exchange,
        continuation: permit_waits.Continuation,
        now: float,
    ) -> bool:
        """Have a request wait for a loan if all that it lacks is a retry.

        Returns whether it waits.
        """
        return self.send_manager.has_attempts_left(
            exchange
        ) and self.retry_loans.hold(exchange, continuation, now)

    def is_withheld(
        self,
        sent: exchanges.InFlightSend,
        event: relay_events.SendFailed,
        now: float,
    ) -> bool:
        """Return whether a send was not written as its engine wants none.

        The engine has not failed then.
        """
        return not event.handed_over and not self.engines.admits(
            sent.entry, now
        )

    def wait_or_refuse(
        self,
        exchange: exchanges.Exchange,
        excluded: set[str],
        continuation: permit_waits.CallAttempt | permit_waits.StreamStart,
        now: float,
    ) -> list[Action]:
        """Handle a request that no engine accepts now.

        One that has an open run goes on with it. Else it waits if all that is
        missing is the identity of an engine that is being asked for it, or the
        end of a rest that comes in its time. Otherwise it is refused at once,
        and told when to come back if rests or limits of engines are the
        reason. An engine that has refused it and asked for rest, one of those
        ``excluded``, may be asked again after that.
        """
        if exchange.sends:
            return []
        ruling = exchange.ruling
        service, account = ruling.service.name, ruling.account
        excluded -= self.engines.resting_engines(service, now)
        rested = self.selector.next_rested_engine(
            service, excluded, now, account
        )
        left_out = self.describe_left_out(exchange, now)
        asked_until = self.selector.identities_known_by(service, excluded, now)
        if asked_until > now and self.send_manager.has_attempts_left(exchange):
            self.engine_waits.hold(exchange, continuation, asked_until)
            return left_out
        if rested is not None and self.send_manager.has_attempts_left(
            exchange
        ):
            expected_at = self.engine_waits.expected_at(rested, now)
            if expected_at < self.engine_waits.deadline_of(exchange):
                self.engine_waits.hold(exchange, continuation)
                return left_out
        may_come_back = not (exchange.begun or exchange.may_have_run)
        if may_come_back and rested is not None:
            refusal = self.answers.refuse_resting(
                exchange, rested.available_at, now
            )
            return [*left_out, refusal]
        limited_until = self.selector.available_again_at(
            service, excluded, now, account
        )
        if may_come_back and limited_until is not None:
            refusal = self.answers.refuse_limited(exchange, limited_until, now)
            return [*left_out, refusal]
        code = continuation.code
        return [*left_out, self.answers.fail_request(exchange, code, now)]

    def refuse_attempt(
        self, exchange: exchanges.Exchange, code: str, now: float
    ) -> Action:
        """Return the final answer to a request with no attempts left.

        If no engine of its service takes requests now, it says when one does.
        """
        rested_at = self.selector.rested_at(exchange.ruling.service.name, now)
        if rested_at <= now or exchange.begun or exchange.may_have_run:
            return self.answers.fail_request(exchange, code, now)
        return self.answers.refuse_resting(exchange, rested_at, now)

    def describe_left_out(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Return the timeline event of the engines that want no requests."""
        service = exchange.ruling.service.name
        states = self.engines.by_service.get(service, {}).values()
        found = [
            state
            for state in states
            if state.leaving_source is not None
            or not state.accepts_requests(now)
        ]
        if not found:
            return []
        reasons = [
            f'{state.entry.engine} {describe_unavailable(state, now)}'
            for state in found[:MAX_ENGINES_LEFT_OUT]
        ]
        why = f'{len(found)} of {len(states)}: {"; ".join(reasons)}'
        return [sending.record(exchange, None, 'engines-left-out', why)]


def describe_unavailable(state: engine_states.EngineState, now: float) -> str:
    """Return why an engine wants no requests, for the timeline."""
    if state.leaving_source is not None:
        return f'leaves by {state.leaving_source.describe(now)}'
    if now < state.identity_unknown_until:
        return 'is asked for its identity'
    seconds = state.available_at - now
    source = state.rest_source
    return f'rests for {seconds:.3f} s by {source.describe(now)}'
