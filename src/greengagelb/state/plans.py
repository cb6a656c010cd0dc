"""Operators' intents and the plans that answer them."""

import dataclasses
import enum

from greengagelb.state import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """Put a whole configuration in force; its version is ignored."""

    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class PutAccount:
    """Create a client account, or change the one of that name."""

    account: configuration.ClientAccount


@dataclasses.dataclass(frozen=True, slots=True)
class PutService:
    """Create a service, or change the one of that name."""

    service: configuration.Service


@dataclasses.dataclass(frozen=True, slots=True)
class PutPool:
    """Create a pool, or change the one of that name."""

    pool: configuration.Pool


@dataclasses.dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Give an upstream no new work."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnUpstream:
    """Give new work again to an upstream that an operator had drained."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeModel:
    """Have all engines of a pool serve another version or adapter."""

    pool: str
    model: str
    version: str
    adapter: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class MoveUpstream:
    """Put an upstream into another pool, another data centre, or both.

    An empty ``pool`` or ``data_centre`` leaves that as it is.
    """

    upstream: str
    pool: str = ''
    data_centre: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """Order an engine to another role."""

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
    """Life of a plan; a confirmed or overtaken one never changes again."""

    PROPOSED = 'proposed'
    CONFIRMED = 'confirmed'
    OVERTAKEN = 'overtaken'


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Places for running requests: now, while the plan is carried out, after.

    ``account`` is empty where the places are those of a whole pool; else they
    are the account's share by weight when all accounts of the pool compete.
    """

    pool: str
    account: str
    before: int
    during: int
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What will happen once an operator confirms.

    ``base_version`` is the version of the configuration that the plan was
    built on; on any other version it can't be confirmed. ``result`` is the
    configuration that it puts in force. ``cut`` counts the running requests
    that would be lost, ``moved`` those that end on an upstream that gets no
    new work meanwhile. ``estimated_seconds`` is how long it takes.
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
    """Says which plan put a version of the configuration in force."""

    version: int
    plan_id: str
    steps: tuple[str, ...] = ()
