"""Final answers of our own, and what each of them promises."""

import random

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.state.relay import exchanges

BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# The code of what is answered to requests that crash engines.
CRASHES_ENGINES = 'request-crashes-engines'
# The code of what is answered where engines have reached their limits.
ENGINES_LIMITED = 'engines-limited'
# By how much waits differ of callers who are turned away at the same time.
MAX_WAIT_SPREAD_FACTOR = 2.0
# Callers come back within this part of the time they have left, or not at
# all; a longer wait would be a loss without need.
MAX_WAIT_SHARE = 0.25
MIN_WAIT_SECONDS = 0.05
MAX_WAIT_SECONDS = 2.0


class AnswerBuilder:
    """Builds refusals and failures."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def refuse_not_run(
        self, exchange: exchanges.Exchange, code: str, now: float
    ) -> relay_actions.Refuse:
        """Refuse a request that has not run; say when to come back.

        The waits are spread, so that those who were turned away together do
        not come back together.
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
        """Refuse a request that must not run before a moment."""
        return relay_actions.Refuse(
            exchange.number, SERVICE_UNAVAILABLE, CRASHES_ENGINES, until - now
        )

    def refuse_limited(
        self, exchange: exchanges.Exchange, back_at: float, now: float
    ) -> relay_actions.Refuse:
        """Refuse a request that no engine takes before a moment.

        Those that are turned away together come back one after the other.
        """
        wait_seconds = max(MIN_WAIT_SECONDS, back_at - now)
        wait_seconds *= self.rng.uniform(1.0, MAX_WAIT_SPREAD_FACTOR)
        return relay_actions.Refuse(
            exchange.number, SERVICE_UNAVAILABLE, ENGINES_LIMITED, wait_seconds
        )

    def fail_request(
        self, exchange: exchanges.Exchange, code: str, now: float
    ) -> relay_actions.RelayAction:
        """Return the final answer of a request that nothing will serve.

        A stream that has begun can only be broken off. Else the status says
        whether the request may have run.
        """
        if exchange.begun:
            return relay_actions.AbortStream(exchange.number, code)
        if exchange.failed is not None:
            head, body = exchange.failed
            return relay_actions.PassAnswer(exchange.number, head, body)
        if not exchange.may_have_run:
            return self.refuse_not_run(exchange, code, now)
        return relay_actions.Refuse(exchange.number, BAD_GATEWAY, code)
