"""Messages between operators and an instance, over HTTP on a port of its own.

``POST /v1/plans`` with an intent -> the plan; ``POST /v1/plans/{id}/confirm``
-> the plan as confirmed; ``GET /v1/plans/{id}``; ``GET /v1/status``;
``GET /v1/timeline``, with the parameters ``account``, ``request``, ``kind``
and ``most_events``. Header ``Authorization: Bearer KEY``.
"""

import msgspec

from greengagelb import errors
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


MOST_TIMELINE_EVENTS = 20_000


def parameters_of(wanted: timeline.Selection) -> dict[str, str]:
    """Return the query parameters that ask for a selection of events."""
    return {
        'account': wanted.account,
        'request': wanted.request,
        'kind': wanted.kind,
        'most_events': str(wanted.most_events),
    }


def selection_of(parameters: dict[str, str]) -> timeline.Selection:
    """Return the selection in query parameters."""
    unknown = set(parameters) - set(parameters_of(timeline.Selection()))
    if unknown:
        raise errors.BadValue(f'unknown parameter {min(unknown)}')
    most = parameters.get('most_events', '2000')
    if not most.isdecimal() or not 0 < int(most) <= MOST_TIMELINE_EVENTS:
        raise errors.BadValue(
            f'most_events: write a number from 1 to {MOST_TIMELINE_EVENTS}'
        )
    return timeline.Selection(
        parameters.get('account', ''),
        parameters.get('request', ''),
        parameters.get('kind', ''),
        int(most),
    )


def intent_of(message: IntentMessage) -> plans.Intent:
    """Return the intent in a message."""
    match message:
        case ReplaceConfiguration(configuration=wanted):
            return plans.ReplaceConfiguration(wanted)
        case DrainUpstream(upstream=name):
            return plans.DrainUpstream(name)
