"""Builds the final answers that the relay itself gives to callers."""

import random

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import sending
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import requests

BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Statuses by which callers know that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# The code of answers to requests that crash engines.
CRASHES_ENGINES = 'request-crashes-engines'
# The code of answers while another request shows which part crashes engines.
CRASHES_UNDECIDED = 'crashes-undecided'
# The code of answers when all engines have reached their limits.
ENGINES_LIMITED = 'engines-limited'
# The code of answers when all engines have asked for rest.
ENGINES_RESTING = 'engines-resting'
# Maximum random factor on the wait of callers that are refused together, and
# the most seconds that it adds.
MAX_WAIT_SPREAD_FACTOR = 2.0
MAX_WAIT_SPREAD_SECONDS = 2.0
# The wait is at most this share of the time until the caller's deadline.
# Callers retry within it or not at all, so a longer wait would only lose
# requests.
MAX_WAIT_SHARE = 0.25
MIN_WAIT_SECONDS = 0.05
MAX_WAIT_SECONDS = 2.0


class AnswerBuilder:
    """Builds refusals and failure answers."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def refuse_not_run(
        self, exchange: exchanges.Exchange, code: str, now: float
    ) -> relay_actions.Refuse:
        """Refuse a request that has not run, with a time to retry after.

        The waits are random, so that callers refused together do not retry
        together.
        """
        remaining_seconds = max(0.0, exchange.ruling.deadline - now)
        max_wait_seconds = min(
            MAX_WAIT_SECONDS, MAX_WAIT_SHARE * remaining_seconds
        )
        wait_seconds = max(
            MIN_WAIT_SECONDS, max_wait_seconds * self.rng.uniform(0.4, 1.0)
        )
        return relay_actions.Refuse(
            exchange.number, SERVICE_UNAVAILABLE, code, wait_seconds
        )

    def refuse_until(
        self, exchange: exchanges.Exchange, until: float, now: float
    ) -> relay_actions.Refuse:
        """Refuse a crashing request until the monotonic time ``until``."""
        return relay_actions.Refuse(
            exchange.number, SERVICE_UNAVAILABLE, CRASHES_ENGINES, until - now
        )

    def refuse_limited(
        self, exchange: exchanges.Exchange, back_at: float, now: float
    ) -> relay_actions.Refuse:
        """Refuse a request that no engine accepts before ``back_at``.

        The waits are random, so that callers refused together retry one after
        another.
        """
        wait_seconds = max(MIN_WAIT_SECONDS, back_at - now)
        wait_seconds *= self.rng.uniform(1.0, MAX_WAIT_SPREAD_FACTOR)
        return relay_actions.Refuse(
            exchange.number, SERVICE_UNAVAILABLE, ENGINES_LIMITED, wait_seconds
        )

    def refuse_resting(
        self, exchange: exchanges.Exchange, back_at: float, now: float
    ) -> relay_actions.Refuse:
        """Refuse a request as all engines rest, the first to ``back_at``.

        The waits are random, so that the end of a rest does not bring back all
        that were refused during it.
        """
        wait_seconds = max(MIN_WAIT_SECONDS, back_at - now)
        spread = min(MAX_WAIT_SPREAD_SECONDS, wait_seconds)
        wait_seconds += self.rng.uniform(0.0, spread)
        return relay_actions.Refuse(
            exchange.number, SERVICE_UNAVAILABLE, ENGINES_RESTING, wait_seconds
        )

    def pass_on(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        head: requests.AnswerHead,
        body: bytes,
        now: float,
    ) -> list[relay_actions.RelayAction]:
        """Pass on an engine's answer to a run, as the caller's final answer.

        A status that promises "not run" is replaced where a caller that
        relies on it would have the request run a second time.
        """
        is_repeatable = exchange.ruling.route.is_repeatable
        if head.status in NOT_RUN_STATUSES and not is_repeatable:
            detail = f'status {head.status}, may have run'
            return [
                sending.lost_send_record(exchange, sent, detail, now),
                relay_actions.Refuse(
                    exchange.number, BAD_GATEWAY, 'outcome-unknown'
                ),
            ]
        return [relay_actions.PassAnswer(exchange.number, head, body)]

    def fail_request(
        self, exchange: exchanges.Exchange, code: str, now: float
    ) -> relay_actions.RelayAction:
        """Return the final answer to a request that no engine will serve.

        A stream that has started can only be aborted. Otherwise the status
        says whether the request may have run.
        """
        if exchange.begun:
            return relay_actions.AbortStream(exchange.number, code)
        if exchange.failed is not None:
            head, body = exchange.failed
            return relay_actions.PassAnswer(exchange.number, head, body)
        if not exchange.may_have_run:
            return self.refuse_not_run(exchange, code, now)
        return relay_actions.Refuse(exchange.number, BAD_GATEWAY, code)
