"""Orders to engines, and the leases that allow to send them."""

import dataclasses

from greengagelb.state import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What an engine shall be, or says that it is."""

    model: str
    version: str
    adapter: str
    role: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The value of a lease's row; its fencing number is the row's version.

    ``holder`` is unique per write, so that a holder whose write was not
    answered recognises it. An empty one says that no order is under way.
    """

    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """A lease as read from the store; ``number`` is 0 if there is none."""

    number: int
    lease: Lease


@dataclasses.dataclass(frozen=True, slots=True)
class RequiredTarget:
    """The target that the configuration sets for an upstream."""

    upstream: configuration.Upstream
    target: Target


@dataclasses.dataclass(slots=True)
class EngineObservation:
    """An engine's own report; ``reported_at`` is a monotonic time."""

    incarnation: str
    target: Target
    busy: int
    reported_at: float


@dataclasses.dataclass(slots=True)
class OrderProgress:
    """An engine that gets no new work until it has reached its target.

    ``held_at`` and ``resend_at`` are monotonic times; ``may_load`` says
    whether the weight store has allowed the load.
    """

    held_at: float
    resend_at: float = float('-inf')
    may_load: bool = False
    sent: int = 0
