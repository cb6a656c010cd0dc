"""Keeps plans and the configuration in the platform's table service."""

import dataclasses
from typing import Any

from twisted.internet import defer

from greengagelb import errors
from greengagelb.protocol import codec
from greengagelb.state import configuration as configuration_state
from greengagelb.state import plans as plan_state
from greengagelb.transport import platform_client

PLAN_TABLE = 'plans'
CONFIGURATION_TABLE = 'configuration'
CONFIGURATION_KEY = 'current'


class PlanStore:
    """Reads and confirms plans.

    The row that holds the configuration has the configuration's version as
    its own, so one conditional write both confirms a plan and proves that no
    other plan was confirmed since it was made.
    """

    def __init__(self, platform: platform_client.PlatformClient) -> None:
        self.platform = platform

    @defer.inlineCallbacks
    def read_configuration(self) -> Any:
        """Return the configuration in the platform's table."""
        row = yield self.platform.read(CONFIGURATION_TABLE, CONFIGURATION_KEY)
        if row is None:
            return configuration_state.Configuration()
        return codec.decode(row.value, configuration_state.Configuration)

    @defer.inlineCallbacks
    def keep(self, plan: plan_state.Plan) -> Any:
        """Keep a new plan."""
        value = codec.encode(plan).decode()
        yield self.platform.write(PLAN_TABLE, plan.plan_id, 0, value)

    @defer.inlineCallbacks
    def read(self, plan_id: str) -> Any:
        """Return a plan, or None where there is none of that id."""
        row = yield self.platform.read(PLAN_TABLE, plan_id)
        if row is None:
            return None
        return codec.decode(row.value, plan_state.Plan)

    @defer.inlineCallbacks
    def confirm(self, plan: plan_state.Plan) -> Any:
        """Put a plan's result in force and return the plan as confirmed.

        Raises :class:`~greengagelb.errors.VersionConflict` where another
        plan was confirmed since this one was made.
        """
        value = codec.encode(plan.result).decode()
        try:
            yield self.platform.write(
                CONFIGURATION_TABLE,
                CONFIGURATION_KEY,
                plan.base_version,
                value,
            )
        except (errors.VersionConflict, errors.PlatformUnavailable):
            current = yield self.read_configuration()
            if current != plan.result:
                raise
        return dataclasses.replace(plan, stage=plan_state.PlanStage.CONFIRMED)
