"""Continues requests that waited for a retry of another instance."""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import permit_outcomes
from greengagelb.coordination.relay import permit_waits
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import retry_loans
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints

RETRY_LOAN_TIMER = 'relay-retry-loan'

Action = relay_actions.RelayAction


class RetryLoanHandler:
    """Connects the loans with the requests that wait, and with the timer."""

    def __init__(
        self,
        components: relay_components.RelayComponents,
        permits: permit_outcomes.PermitOutcomeHandler,
        open_exchanges: dict[int, exchanges.Exchange],
    ) -> None:
        self.loans = components.retry_loans
        self.streams = permits.streams
        self.permits = permits
        self.open_exchanges = open_exchanges
        self.is_timer_set = False

    def lend(
        self, borrower: str, request: hints.LoanRequested, now: float
    ) -> list[Action]:
        """Lend another instance what it asks for, as far as possible."""
        retries = self.loans.budget.lend(request.service, request.retries, now)
        if not retries:
            return []
        granted = hints.LoanGranted(request.number, retries)
        return [relay_actions.TellPeer(borrower, granted)]

    def receive(
        self, lender: str, answer: hints.LoanGranted, now: float
    ) -> list[Action]:
        """Continue the requests for which a loan suffices."""
        self.loans.add_answer(lender, answer, now)
        resulting: list[Action] = []
        while (request := self.loans.take_ready(now)) is not None:
            resulting += self.continue_request(request, now)
        return resulting

    def finish_event(self, now: float) -> list[Action]:
        """Ask for what is missing after an event, and set the timer."""
        loans = self.loans
        if not loans.waiting:
            return []
        loans.ask_for_missing(now)
        resulting: list[Action] = [
            relay_actions.TellPeer(lender, request)
            for lender, request in loans.outgoing
        ]
        loans.outgoing.clear()
        if not self.is_timer_set:
            self.is_timer_set = True
            due_at = now + retry_loans.ROUND_SECONDS
            resulting.append(actions.SetTimer(RETRY_LOAN_TIMER, due_at))
        return resulting

    def continue_expired(self, now: float) -> list[Action]:
        """Refuse the requests that have waited long enough."""
        self.is_timer_set = False
        self.loans.drop_old_questions(now)
        resulting: list[Action] = []
        for request in self.loans.take_expired(now):
            resulting += self.continue_request(request, now)
        return resulting

    def continue_request(
        self, request: retry_loans.WaitingRetry, now: float
    ) -> list[Action]:
        """Choose an engine again for a request, if its caller still waits."""
        exchange = self.open_exchanges.get(request.exchange)
        if exchange is None:
            return []
        match request.continuation:
            case permit_waits.StreamFromCopy(lost=lost):
                return self.streams.continue_from_lost(exchange, lost, now)
        return self.permits.send_elsewhere(request.continuation, exchange, now)
