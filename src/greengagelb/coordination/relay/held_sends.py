"""Sends that wait for a permit, as their engine has named a limit."""

import dataclasses

from greengagelb.coordination.sharing import limit_keeper
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges


@dataclasses.dataclass(frozen=True, slots=True)
class CallTry:
    """A call, to be refused with ``code`` if no engine takes it."""

    code: str


@dataclasses.dataclass(frozen=True, slots=True)
class SecondTry:
    """A call that is sent to a second engine beside the first."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStart:
    """A stream whose prompt is to be read, refused with ``code`` if not."""

    code: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFromCopy:
    """A stream that goes on from the copy of a run that was given up."""

    lost: exchanges.Sent


Step = CallTry | SecondTry | StreamStart | StreamFromCopy


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
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
        self.waiting: dict[int, Held] = {}

    def needed(self, state: engine_states.EngineState) -> bool:
        """Return whether an engine gets requests by permits only."""
        return self.keeper.limited(state.entry.life)

    def hold(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        step: Step,
        patience: float,
        now: float,
    ) -> None:
        """Ask for the permit of a send that can wait for some seconds."""
        life = state.entry.life
        urgent = exchange.begun or isinstance(step, StreamFromCopy)
        deadline = min(now + patience, exchange.ruling.deadline)
        account = exchange.ruling.account
        number = self.keeper.ask(life, account, deadline, now, urgent=urgent)
        self.waiting[number] = Held(
            exchange.number, state.entry.engine, life, step
        )
