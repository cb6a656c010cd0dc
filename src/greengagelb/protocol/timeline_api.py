"""Parameters and answer of ``GET /v1/timeline``.

Parameters: ``account``, ``request`` and ``kind``, each empty for any, and
``most_events``, the maximum number of events; the latest ones are returned.
"""

from collections.abc import Mapping

import msgspec

from greengagelb import errors
from greengagelb.state import timeline

MAX_EVENTS = 20_000


class TimelinePart(msgspec.Struct, frozen=True):
    """The events that a process still has; ``dropped`` older ones are lost."""

    process: str
    dropped: int
    events: list[timeline.TimelineEvent]


def to_parameters(selection: timeline.Selection) -> dict[str, str]:
    """Return the query parameters for a selection of events."""
    return {
        'account': selection.account,
        'request': selection.request,
        'kind': selection.kind,
        'most_events': str(selection.most_events),
    }


def parse_selection(
    parameters: Mapping[bytes, list[bytes]],
) -> timeline.Selection:
    """Return the selection in query parameters; raises ``BadValue``."""
    values_by_name = to_parameters(timeline.Selection())
    for name, values in parameters.items():
        parameter = name.decode('utf-8', 'replace')
        if parameter not in values_by_name:
            raise errors.BadValue(f'unknown parameter {parameter}')
        values_by_name[parameter] = values[-1].decode('utf-8', 'replace')
    max_events = values_by_name['most_events']
    if not max_events.isdecimal() or not 0 < int(max_events) <= MAX_EVENTS:
        raise errors.BadValue(
            f'most_events: write a number from 1 to {MAX_EVENTS}'
        )
    return timeline.Selection(
        values_by_name['account'],
        values_by_name['request'],
        values_by_name['kind'],
        int(max_events),
    )
