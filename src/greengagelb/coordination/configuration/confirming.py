"""Confirms plans so that exactly one plan wins each version.

The platform's table holds one small row, the current confirmation, which
names the version in force and the plan that put it there. Writing that row,
on condition that it still has the version that the plan was built on, is the
only act that puts a plan in force. The document itself was stored with the
plan before, so nothing else has to happen after that write: an instance may
die right behind it.

Before the row is overwritten its content is inserted into a row of its own,
keyed by version. So the plan behind each version can be found for good, and
the stage of a plan is derived from rows that never change again.

The functions here are generators: they yield typed requests to the store and
are sent the answers. So the very same steps run against the real store and
under Hypothesis, interleaved with those of other operators in any order.
"""

from collections.abc import Generator
import dataclasses
from typing import Any

from greengagelb.state import plans as plan_state

MAX_CHANGES_SHOWN = 20


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCurrent:
    """Read the confirmation in force; answered by it, or by ``StoreAway``."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadArchived:
    """Read the confirmation of an earlier version, or None."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ArchiveConfirmation:
    """Insert a confirmation under its version unless one is there."""

    confirmation: plan_state.Confirmation


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceCurrent:
    """Replace the current confirmation if it is of the version before."""

    confirmation: plan_state.Confirmation


Request = ReadCurrent | ReadArchived | ArchiveConfirmation | ReplaceCurrent


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The store carried out a write."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteConflict:
    """The store did not write: the row has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store gave no answer; a write may take effect, even later."""


Answer = (
    plan_state.Confirmation | Written | WriteConflict | StoreUnavailable | None
)
Steps = Generator[Request, Answer, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """The plan is in force, or was until a later one replaced it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """No plan has been confirmed on the version this one was built on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Overtaken:
    """Another plan won; ``changes`` are those confirmed since the base."""

    current_version: int
    changes: tuple[plan_state.Confirmation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unsettled:
    """Nobody can tell now; asking again with the plan's id will."""


Outcome = Confirmed | Proposed | Overtaken | Unsettled


def find_outcome(plan: plan_state.Plan) -> Steps:
    """Find out what became of a plan; returns an :data:`Outcome`."""
    current = yield ReadCurrent()
    if not isinstance(current, plan_state.Confirmation):
        return Unsettled()
    if current.version <= plan.base_version:
        return Proposed()
    winner = yield from read_winner(plan.base_version + 1, current)
    if winner is None:
        return Unsettled()
    if winner.plan_id == plan.plan_id:
        return Confirmed()
    changes = yield from read_changes(winner, current)
    return Overtaken(current.version, changes)


def read_winner(version: int, current: plan_state.Confirmation) -> Steps:
    """Return the confirmation of a version, or None if the store is away."""
    if current.version == version:
        return current
    found = yield ReadArchived(version)
    return found if isinstance(found, plan_state.Confirmation) else None


def read_changes(
    winner: plan_state.Confirmation, current: plan_state.Confirmation
) -> Steps:
    """Return the confirmations since a plan's base, the first ones of many."""
    changes = [winner]
    end = min(current.version, winner.version + MAX_CHANGES_SHOWN)
    for version in range(winner.version + 1, end):
        found = yield ReadArchived(version)
        if isinstance(found, plan_state.Confirmation):
            changes.append(found)
    if current.version > winner.version:
        changes.append(current)
    return tuple(changes)


def confirm(plan: plan_state.Plan) -> Steps:
    """Put a plan in force, or find out why not; returns an `Outcome`.

    Repeating it is harmless: a plan that is in force already is found to be.
    ``Proposed`` is never returned; a write that was not answered may still
    take effect later, so that is ``Unsettled``.
    """
    found = yield from find_outcome(plan)
    if not isinstance(found, Proposed):
        return found
    archived = yield from archive_base(plan.base_version)
    if not archived:
        return Unsettled()
    answer = yield ReplaceCurrent(
        plan_state.Confirmation(
            plan.base_version + 1, plan.plan_id, plan.steps
        )
    )
    if isinstance(answer, Written):
        return Confirmed()
    # The answer may have been lost after the write took effect. A failure
    # reported then would make the operator repeat what is already in force,
    # and a refusal may be this plan's own first write: so the rows decide.
    found = yield from find_outcome(plan)
    return Unsettled() if isinstance(found, Proposed) else found


def archive_base(version: int) -> Steps:
    """Keep the confirmation of the base before it is overwritten.

    Returns whether it is kept. Without that row nobody could tell any more
    which plan had put that version in force once two more were confirmed.
    """
    if version == 0:
        return True
    current = yield ReadCurrent()
    if not isinstance(current, plan_state.Confirmation):
        return False
    if current.version != version:
        return True
    answer = yield ArchiveConfirmation(current)
    if isinstance(answer, StoreUnavailable):
        answer = yield ReadArchived(version)
    return not isinstance(answer, StoreUnavailable | None)
