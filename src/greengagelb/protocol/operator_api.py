"""Messages between operators and an instance, over HTTP on a port of its own.

``POST /v1/plans`` with an intent -> the plan; ``POST /v1/plans/{id}/confirm``
-> the plan as confirmed; ``GET /v1/plans/{id}``; ``GET /v1/status``;
``GET /v1/timeline``. Header ``Authorization: Bearer KEY``.
"""

import msgspec

from greengagelb.state import configuration
from greengagelb.state import plans
from greengagelb.state import timeline


class ReplaceConfiguration(
    msgspec.Struct, frozen=True, tag='replace-configuration'
):
    """Intent to put a whole configuration in force."""

    configuration: configuration.Configuration


class DrainUpstream(msgspec.Struct, frozen=True, tag='drain-upstream'):
    """Intent to give an upstream no new work."""

    upstream: str


IntentMessage = ReplaceConfiguration | DrainUpstream


class Status(msgspec.Struct, frozen=True):
    """What one instance says of itself."""

    process: str
    data_centre: str
    incarnation: str
    configuration_version: int
    stopping: bool
    running: int
    waiting: int


class TimelinePart(msgspec.Struct, frozen=True):
    """The events that one process still has; ``dropped`` are lost."""

    process: str
    dropped: int
    events: list[timeline.TimelineEvent]


def intent_of(message: IntentMessage) -> plans.Intent:
    """Return the intent in a message."""
    match message:
        case ReplaceConfiguration(configuration=wanted):
            return plans.ReplaceConfiguration(wanted)
        case DrainUpstream(upstream=name):
            return plans.DrainUpstream(name)
