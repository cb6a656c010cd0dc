"""Operators' intents and the plans that answer them."""

import dataclasses
import enum

from greengagelb.state import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """Put a whole configuration in force; its version is ignored."""

    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Give an upstream no new work."""

    upstream: str


Intent = ReplaceConfiguration | DrainUpstream


class PlanStage(enum.Enum):
    """Life of a plan; a confirmed or overtaken one never changes again."""

    PROPOSED = 'proposed'
    CONFIRMED = 'confirmed'
    OVERTAKEN = 'overtaken'


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What will happen once an operator confirms.

    ``base_version`` is the version of the configuration that the plan was
    built on; on any other version it can't be confirmed. ``result`` is the
    configuration that it puts in force.
    """

    plan_id: str
    base_version: int
    steps: tuple[str, ...]
    warnings: tuple[str, ...]
    result: configuration.Configuration
    stage: PlanStage = PlanStage.PROPOSED
