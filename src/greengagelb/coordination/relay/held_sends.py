"""Sends that wait for a permit, as their engine has named a limit."""

import dataclasses

from greengagelb.coordination.sharing import limit_keeper
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges

# A request waits for this part of its goal for a permit of an engine with a
# limit. The rest suffices for a whole call, or to read a usual prompt.
PERMIT_WAIT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CallAttempt:
    """A call, to be refused with ``code`` if no engine takes it."""

    code: str


@dataclasses.dataclass(frozen=True, slots=True)
class HedgedCall:
    """A call that is sent to a second engine beside the first."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStart:
    """A stream whose prompt is to be read, refused with ``code`` if not."""

    code: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFromCopy:
    """A stream that goes on from the copy of a run that was given up.

    ``patience`` is the time in seconds in which an engine would read its
    prompt: to wait for longer would be worse than to start afresh.
    """

    lost: exchanges.Sent
    max_wait_seconds: float


Step = CallAttempt | HedgedCall | StreamStart | StreamFromCopy


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSend:
    """A send of an exchange that waits for a permit of an engine's life."""

    exchange: int
    engine: str
    life: str
    step: Step


class HeldSends:
    """All sends that wait, by the number of their permit.

    Invariant: each one in ``waiting`` will have exactly one outcome.
    """

    def __init__(self, keeper: limit_keeper.LimitKeeper) -> None:
        self.keeper = keeper
        self.waiting: dict[int, HeldSend] = {}

    def needs_permit(self, state: engine_states.EngineState) -> bool:
        """Return whether an engine gets requests by permits only."""
        return self.keeper.is_limited(state.entry.life)

    def hold_for_permit(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        step: Step,
        now: float,
    ) -> None:
        """Ask for the permit of a send, which waits while it makes sense."""
        life = state.entry.life
        urgent = exchange.begun
        max_wait_seconds = PERMIT_WAIT_SHARE * exchange.ruling.route.goal
        if isinstance(step, StreamFromCopy):
            urgent = True
            max_wait_seconds = step.max_wait_seconds
        deadline = min(now + max_wait_seconds, exchange.ruling.deadline)
        account = exchange.ruling.account
        number = self.keeper.request_permit(
            life, account, deadline, now, urgent=urgent
        )
        self.waiting[number] = HeldSend(
            exchange.number, state.entry.engine, life, step
        )
