"""Orders to engines, and the leases that permit sending them."""

import dataclasses

from greengagelb.state import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Model, version, adapter and role that an engine is to have, or has."""

    model: str
    version: str
    adapter: str
    role: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The value of a lease's row; its fencing number is the row's version.

    ``holder`` is unique per write, so that a holder whose write was not
    answered recognises it later. An empty ``holder`` means that no order is
    in progress.
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
    """The latest report of an engine; ``reported_at`` is monotonic seconds."""

    incarnation: str
    target: Target
    busy: int
    reported_at: float


@dataclasses.dataclass(slots=True)
class OrderProgress:
    """Progress of an engine that gets no new work until it has its target.

    ``held_at`` and ``resend_at`` are monotonic seconds; ``may_load`` tells
    whether the weight store has permitted the load.
    """

    held_at: float
    resend_at: float = float('-inf')
    may_load: bool = False
    sent: int = 0
