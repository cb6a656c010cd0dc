"""Retries that instances lend each other.

In a large fleet the share of an instance may be less than one retry, and the
streams of a failed engine are spread unevenly. A request that finds no retry
left at its instance waits while others are asked for what is missing. It
waits only a few round trips; if nobody lends, it is refused, and the next ones
are refused at once.
"""

from collections.abc import Collection
import dataclasses
import itertools
import random

from greengagelb.coordination.relay import permit_waits
from greengagelb.coordination.relay import shared_retry_budget
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints

# How long a request waits for loans, and for the answers to one round of
# questions before others are asked.
LOAN_WAIT_SECONDS = 0.12
ROUND_SECONDS = 0.03
# After nobody has lent enough, no request for that service waits for so long.
REFUSAL_SECONDS = 1.0
# How many instances are asked at once, and for how much more than is missing:
# an answer may be lost, or the lender may have less.
LENDERS_ASKED = 3
ASKED_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRetry:
    """A request that waits for a retry until a monotonic time.

    ``continuation`` says how it goes on, with a retry or without.
    """

    exchange: int
    service: str
    continuation: permit_waits.Continuation
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class OpenQuestion:
    """A question for a loan that was not answered yet."""

    lender: str
    service: str
    retries: float
    asked_at: float


class RetryLoans:
    """The loans of one instance, and the requests that wait for one.

    ``lenders`` has the other instances that are heard. ``outgoing`` has the
    messages to send, each with its receiver. Until the monotonic time in
    ``refused_until``, no request for a service waits.

    Invariant: a request is in ``waiting`` at most once.
    """

    def __init__(
        self,
        budget: shared_retry_budget.SharedRetryBudget,
        lenders: Collection[str],
        rng: random.Random,
    ) -> None:
        self.budget = budget
        self.lenders = lenders
        self.rng = rng
        self.waiting: dict[int, WaitingRetry] = {}
        self.questions: dict[int, OpenQuestion] = {}
        self.numbers = itertools.count(1)
        self.refused_until: dict[str, float] = {}
        self.outgoing: list[tuple[str, hints.LoanRequested]] = []

    def hold(
        self,
        exchange: exchanges.Exchange,
        continuation: permit_waits.Continuation,
        now: float,
    ) -> bool:
        """Have a request wait for a loan; return whether it does."""
        service = exchange.ruling.service.name
        if not self.lenders:
            return False
        if now < self.refused_until.get(service, now):
            return False
        deadline = min(now + LOAN_WAIT_SECONDS, exchange.ruling.deadline)
        self.waiting.setdefault(
            exchange.number,
            WaitingRetry(exchange.number, service, continuation, deadline),
        )
        return True

    def missing(self, service: str, now: float) -> float:
        """Return how many retries the waiting requests lack."""
        wanted = sum(
            request.service == service for request in self.waiting.values()
        )
        return wanted - self.budget.available(service, now)

    def ask_for_missing(self, now: float) -> None:
        """Ask others for what is missing and was not asked for just now."""
        services = {request.service for request in self.waiting.values()}
        for service in sorted(services):
            asked = sum(
                question.retries
                for question in self.questions.values()
                if question.service == service
                and now < question.asked_at + ROUND_SECONDS
            )
            retries = ASKED_FACTOR * self.missing(service, now) - asked
            if retries > shared_retry_budget.ROUNDING:
                self.ask(service, retries, now)

    def ask(self, service: str, retries: float, now: float) -> None:
        """Ask some instances that have no open question for a loan."""
        busy = {question.lender for question in self.questions.values()}
        free = [name for name in self.lenders if name not in busy]
        chosen = self.rng.sample(free, min(LENDERS_ASKED, len(free)))
        for lender in chosen:
            number = next(self.numbers)
            part = retries / len(chosen)
            self.questions[number] = OpenQuestion(lender, service, part, now)
            request = hints.LoanRequested(number, service, part)
            self.outgoing.append((lender, request))

    def add_answer(
        self, lender: str, answer: hints.LoanGranted, now: float
    ) -> None:
        """Add what another instance lends, once for each question."""
        question = self.questions.get(answer.number)
        if question is None or question.lender != lender:
            return
        del self.questions[answer.number]
        retries = min(answer.retries, question.retries)
        self.budget.add_loan(question.service, retries, question.asked_at, now)

    def take_ready(self, now: float) -> WaitingRetry | None:
        """Remove and return a request for which there is a retry now."""
        for request in self.waiting.values():
            if self.budget.has_retry(request.service, now):
                return self.waiting.pop(request.exchange)
        return None

    def take_expired(self, now: float) -> list[WaitingRetry]:
        """Remove and return the requests that may wait no longer.

        Others for the same service are not held for a while.
        """
        expired = [
            request
            for request in self.waiting.values()
            if now >= request.deadline
        ]
        for request in expired:
            del self.waiting[request.exchange]
            self.refused_until[request.service] = now + REFUSAL_SECONDS
        return expired

    def drop_old_questions(self, now: float) -> None:
        """Drop the questions whose answers would be worthless."""
        earliest = now - shared_retry_budget.LOAN_SECONDS
        self.questions = {
            number: question
            for number, question in self.questions.items()
            if question.asked_at > earliest
        }

    def discard(self, exchange: int) -> None:
        """Remove a request that has its final answer or no caller."""
        self.waiting.pop(exchange, None)
