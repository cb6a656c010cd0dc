"""Sends that wait for a permit, as their engine has a rate limit."""

import dataclasses

from greengagelb.coordination.sharing import limit_keeper
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges

# The share of its latency goal that a request may wait for a permit. The rest
# suffices for a whole call, or to read a usual prompt.
PERMIT_WAIT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CallAttempt:
    """A call, refused with ``code`` if no engine accepts it."""

    code: str


@dataclasses.dataclass(frozen=True, slots=True)
class HedgedCall:
    """A call that is sent to a second engine while the first still runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStart:
    """A stream whose prompt must be read, refused with ``code`` otherwise."""

    code: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFromCopy:
    """A stream that resumes from the copy of an abandoned run.

    ``max_wait_seconds`` is the time in which an engine would read the prompt:
    after a longer wait it would be faster to read it again.
    """

    lost: exchanges.InFlightSend
    max_wait_seconds: float


Continuation = CallAttempt | HedgedCall | StreamStart | StreamFromCopy


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingSend:
    """A send that waits for a permit of one life of an engine.

    ``continuation`` says what to do once the permit is granted or denied.
    """

    exchange: int
    engine: str
    life: str
    continuation: Continuation


class WaitingSends:
    """All sends that wait, by the number of their permit.

    Invariant: each send in ``waiting`` has exactly one outcome.
    """

    def __init__(self, keeper: limit_keeper.LimitKeeper) -> None:
        self.keeper = keeper
        self.waiting: dict[int, WaitingSend] = {}

    def needs_permit(self, state: engine_states.EngineState) -> bool:
        """Return whether requests to an engine need permits."""
        return self.keeper.is_limited(state.entry.life)

    def hold_for_permit(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        continuation: Continuation,
        now: float,
    ) -> None:
        """Request the permit of a send, with a deadline for the wait."""
        life = state.entry.life
        urgent = exchange.begun
        max_wait_seconds = PERMIT_WAIT_SHARE * exchange.ruling.route.goal
        if isinstance(continuation, StreamFromCopy):
            urgent = True
            max_wait_seconds = continuation.max_wait_seconds
        deadline = min(now + max_wait_seconds, exchange.ruling.deadline)
        account = exchange.ruling.account
        number = self.keeper.request_permit(
            life, account, deadline, now, urgent=urgent
        )
        self.waiting[number] = WaitingSend(
            exchange.number, state.entry.engine, life, continuation
        )
