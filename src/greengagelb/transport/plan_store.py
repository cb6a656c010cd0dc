"""Stores plans and the configuration in the platform's table service.

Table ``plans`` has a row per plan, with the resulting configuration; table
``confirmations`` has the row ``current`` and one row per earlier version. The
row ``current`` is small because instances poll it; they fetch a plan's whole
document only when the version has increased.
"""

import dataclasses
from typing import Any

from twisted.internet import defer

from greengagelb import errors
from greengagelb.coordination.configuration import confirming
from greengagelb.protocol import codec
from greengagelb.state import configuration as configuration_state
from greengagelb.state import plans as plan_state
from greengagelb.transport import platform_client

PLAN_TABLE = 'plans'
CONFIRMATION_TABLE = 'confirmations'
CURRENT_KEY = 'current'


class PlanStore:
    """Reads, writes and confirms plans."""

    def __init__(self, platform: platform_client.PlatformClient) -> None:
        self.platform = platform

    @defer.inlineCallbacks
    def read_current(self) -> Any:
        """Return the confirmation in force; version 0 if there is none."""
        row = yield self.platform.read_row(CONFIRMATION_TABLE, CURRENT_KEY)
        if row is None:
            return plan_state.Confirmation(0, '')
        return codec.decode(row.value, plan_state.Confirmation)

    @defer.inlineCallbacks
    def read_configuration(self, newer_than: int = -1) -> Any:
        """Return the configuration in the platform's table.

        Returns None, without fetching it, if its version is not higher than
        ``newer_than``.
        """
        current = yield self.read_current()
        if current.version <= newer_than:
            return None
        if not current.version:
            return configuration_state.Configuration()
        plan = yield self.read_plan(current.plan_id)
        if plan is None:
            raise errors.UnknownPlan(current.plan_id)
        return plan.result

    @defer.inlineCallbacks
    def store_plan(self, plan: plan_state.Plan) -> Any:
        """Store a new plan.

        Its id is unique, so a row with this id found after a lost answer is
        its own.
        """
        value = codec.compress_to_text(plan)
        try:
            yield self.platform.write_row(PLAN_TABLE, plan.plan_id, 0, value)
        except errors.PlatformUnavailable:
            found = yield self.read_plan(plan.plan_id)
            if found is None:
                raise

    @defer.inlineCallbacks
    def read_plan(self, plan_id: str) -> Any:
        """Return a plan as proposed, or None if there is none."""
        row = yield self.platform.read_row(PLAN_TABLE, plan_id)
        if row is None:
            return None
        return codec.decompress_from_text(row.value, plan_state.Plan)

    def confirm_plan(self, plan: plan_state.Plan) -> 'defer.Deferred':
        """Put a plan in force; return the outcome."""
        return self.run_steps(confirming.confirm(plan))

    def find_outcome(self, plan: plan_state.Plan) -> 'defer.Deferred':
        """Return the outcome of a plan without changing anything."""
        return self.run_steps(confirming.find_outcome(plan))

    @defer.inlineCallbacks
    def run_steps(self, steps: confirming.Steps) -> Any:
        """Execute the requests of a generator until it returns its result."""
        answer = None
        try:
            while True:
                request = steps.send(answer)
                answer = yield self.execute_request(request)
        except StopIteration as done:
            return done.value

    @defer.inlineCallbacks
    def execute_request(self, request: confirming.Request) -> Any:
        """Execute one request; errors of the platform become answers."""
        try:
            match request:
                case confirming.ReadCurrent():
                    return (yield self.read_current())
                case confirming.ReadArchived(version):
                    return (yield self.read_archived(version))
                case confirming.ArchiveConfirmation(confirmation):
                    key = str(confirmation.version)
                    yield self.write_confirmation(key, 0, confirmation)
                case confirming.ReplaceCurrent(confirmation):
                    expected = confirmation.version - 1
                    yield self.write_confirmation(
                        CURRENT_KEY, expected, confirmation
                    )
        except errors.VersionConflict:
            return confirming.WriteConflict()
        except (errors.PlatformUnavailable, errors.ProtocolError):
            return confirming.StoreUnavailable()
        return confirming.Written()

    @defer.inlineCallbacks
    def read_archived(self, version: int) -> Any:
        """Return the confirmation of an earlier version, or None."""
        row = yield self.platform.read_row(CONFIRMATION_TABLE, str(version))
        if row is None:
            return None
        return codec.decode(row.value, plan_state.Confirmation)

    def write_confirmation(
        self, key: str, expected: int, confirmation: plan_state.Confirmation
    ) -> 'defer.Deferred':
        """Write a confirmation if its row has the expected version."""
        value = codec.encode(confirmation).decode()
        return self.platform.write_row(
            CONFIRMATION_TABLE, key, expected, value
        )


def with_stage(
    plan: plan_state.Plan, stage: plan_state.PlanStage
) -> plan_state.Plan:
    """Return a copy of a plan with another stage."""
    return dataclasses.replace(plan, stage=stage)
