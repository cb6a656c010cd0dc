"""Messages about the time line, as ``GET /v1/timeline`` takes and gives them.

Parameters: ``account``, ``request`` and ``kind``, each empty for any, and
``most_events``, the number of last events that are wanted.
"""

from collections.abc import Mapping

import msgspec

from greengagelb import errors
from greengagelb.state import timeline

MOST_EVENTS = 20_000


class TimelinePart(msgspec.Struct, frozen=True):
    """The events that one process still has; ``dropped`` are lost."""

    process: str
    dropped: int
    events: list[timeline.TimelineEvent]


def parameters_of(wanted: timeline.Selection) -> dict[str, str]:
    """Return the query parameters that ask for a selection of events."""
    return {
        'account': wanted.account,
        'request': wanted.request,
        'kind': wanted.kind,
        'most_events': str(wanted.most_events),
    }


def selection_of(
    parameters: Mapping[bytes, list[bytes]],
) -> timeline.Selection:
    """Return the selection in the parameters of a query."""
    given = parameters_of(timeline.Selection())
    for name, values in parameters.items():
        key = name.decode('utf-8', 'replace')
        if key not in given:
            raise errors.BadValue(f'unknown parameter {key}')
        given[key] = values[-1].decode('utf-8', 'replace')
    most = given['most_events']
    if not most.isdecimal() or not 0 < int(most) <= MOST_EVENTS:
        raise errors.BadValue(
            f'most_events: write a number from 1 to {MOST_EVENTS}'
        )
    return timeline.Selection(
        given['account'], given['request'], given['kind'], int(most)
    )
