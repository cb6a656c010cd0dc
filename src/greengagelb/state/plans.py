"""Operators' intents, and the plans computed for them."""

import dataclasses
import enum

from greengagelb.state import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """Put a whole configuration in force; its version is ignored."""

    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class PutAccount:
    """Create a client account, or replace the one with this name."""

    account: configuration.ClientAccount


@dataclasses.dataclass(frozen=True, slots=True)
class PutService:
    """Create a service, or replace the one with this name."""

    service: configuration.Service


@dataclasses.dataclass(frozen=True, slots=True)
class PutPool:
    """Create a pool, or replace the one with this name."""

    pool: configuration.Pool


@dataclasses.dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Stop giving new work to an upstream."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnUpstream:
    """Resume giving new work to an upstream that an operator drained."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeModel:
    """Have all engines of a pool serve another model, version or adapter."""

    pool: str
    model: str
    version: str
    adapter: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class MoveUpstream:
    """Move an upstream to another pool, another data centre, or both.

    An empty ``pool`` or ``data_centre`` stays unchanged.
    """

    upstream: str
    pool: str = ''
    data_centre: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """Order an engine to change to another role."""

    upstream: str
    role: str


Intent = (
    ReplaceConfiguration
    | PutAccount
    | PutService
    | PutPool
    | DrainUpstream
    | ReturnUpstream
    | ChangeModel
    | MoveUpstream
    | ChangeRole
)


class PlanStage(enum.Enum):
    """Stage of a plan; confirmed and overtaken plans never change again."""

    PROPOSED = 'proposed'
    CONFIRMED = 'confirmed'
    OVERTAKEN = 'overtaken'


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Slots for running requests before, during and after a plan.

    An empty ``account`` means the slots of the whole pool. Otherwise they are
    the account's share by weight when all accounts of the pool compete.
    """

    pool: str
    account: str
    before: int
    during: int
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The changes that take effect once an operator confirms.

    ``base_version`` is the version of the configuration that the plan was
    computed from; it can't be confirmed on any other version. ``result`` is
    the configuration that it puts in force. ``cut`` is the number of running
    requests that would be lost, ``moved`` the number of those that finish on
    an upstream that meanwhile gets no new work. ``estimated_seconds`` is the
    estimated duration.
    """

    plan_id: str
    base_version: int
    steps: tuple[str, ...]
    warnings: tuple[str, ...]
    result: configuration.Configuration
    stage: PlanStage = PlanStage.PROPOSED
    cut: int = 0
    moved: int = 0
    capacity: tuple[Capacity, ...] = ()
    estimated_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Records which plan put a version of the configuration in force."""

    version: int
    plan_id: str
    steps: tuple[str, ...] = ()
