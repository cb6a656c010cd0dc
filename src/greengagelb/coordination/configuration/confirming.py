"""Confirms plans so that exactly one plan is confirmed for each version.

One small row of the platform's table, the current confirmation, has the
version in force and the id of its plan. A plan is put in force only by a
conditional write of that row, which succeeds if the row still has the version
that the plan was built on. The configuration is stored with the plan before,
so an instance may die right after that write and nothing is missing.

Before the row is overwritten, its content is archived in a row keyed by
version. The plan of each version can thus always be found, and the stage of a
plan is derived from rows that don't change any more.

The functions are generators that yield typed requests to the store and are
sent the answers. The same steps therefore run against the real store and in
Hypothesis tests, interleaved in any order with those of other operators.
"""

from collections.abc import Generator
import dataclasses
from typing import Any

from greengagelb.state import plans as plan_state

MAX_CHANGES_SHOWN = 20


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCurrent:
    """Read the confirmation in force.

    The answer is the confirmation or ``StoreUnavailable``.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ReadArchived:
    """Read the archived confirmation of an earlier version, or None."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ArchiveConfirmation:
    """Insert a confirmation under its version unless a row exists."""

    confirmation: plan_state.Confirmation


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceCurrent:
    """Replace the current confirmation if it has the previous version."""

    confirmation: plan_state.Confirmation


Request = ReadCurrent | ReadArchived | ArchiveConfirmation | ReplaceCurrent


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The store carried out a write."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteConflict:
    """The store did not write, as the row has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store did not answer; a write may still take effect later."""


Answer = (
    plan_state.Confirmation | Written | WriteConflict | StoreUnavailable | None
)
Steps = Generator[Request, Answer, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """The plan is in force, or was until a later plan replaced it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """No plan has been confirmed on this plan's base version yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Overtaken:
    """Another plan was confirmed on this plan's base version.

    ``changes`` are the confirmations since the base version.
    """

    current_version: int
    changes: tuple[plan_state.Confirmation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unsettled:
    """The outcome is unknown; a later query with the plan's id shows it."""


Outcome = Confirmed | Proposed | Overtaken | Unsettled


def find_outcome(plan: plan_state.Plan) -> Steps:
    """Determine the outcome of a plan; returns an :data:`Outcome`."""
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
    """Return the confirmation of a version, or None if it can't be read."""
    if current.version == version:
        return current
    found = yield ReadArchived(version)
    return found if isinstance(found, plan_state.Confirmation) else None


def read_changes(
    winner: plan_state.Confirmation, current: plan_state.Confirmation
) -> Steps:
    """Return the confirmations since a plan's base version.

    Of more than ``MAX_CHANGES_SHOWN`` only the first ones and the current one
    are returned.
    """
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
    """Put a plan in force or determine why not; returns an :data:`Outcome`.

    The operation is idempotent: a plan that is already in force is
    ``Confirmed``. ``Proposed`` is never returned. A write that was not
    answered may still take effect later and gives ``Unsettled``.
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
    # The write may have taken effect although its answer was lost, and a
    # conflict may be with this plan's own earlier write. The rows are read
    # again so that the operator isn't told of a failure when the plan is in
    # force.
    found = yield from find_outcome(plan)
    return Unsettled() if isinstance(found, Proposed) else found


def archive_base(version: int) -> Steps:
    """Archive the confirmation of the base before it is overwritten.

    Returns whether it is archived. Without that row the plan of that version
    would be unknown after two more confirmations.
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
