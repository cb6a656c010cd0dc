"""The command that reconstructs the events of a request from log files.

It needs only logs, because the instance that served a request may no longer
exist. The lines of all instances can be given in any order, with any prefix
that a log collector adds.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import fileinput
import json
import sys

from greengagelb import errors
from greengagelb.state import timeline

# Events of an instance or an engine within this time around a request may have
# affected it.
CONTEXT_SECONDS = 3.0


def explain(words: list[str]) -> int:
    """Print the events of a request, and events around it."""
    if not words:
        raise errors.CommandError('explain: write the id of a request')
    request, *files = words
    with fileinput.input(files or ('-',), errors='replace') as lines:
        found = list(read_events(lines))
    sys.stdout.write(render(select_events(request, found)))
    return 0


def read_events(lines: Iterable[str]) -> Iterator[timeline.TimelineEvent]:
    """Return the events in log lines; other lines are skipped."""
    for line in lines:
        event = parse_line(line)
        if event is not None:
            yield event


def parse_line(line: str) -> timeline.TimelineEvent | None:
    """Return the event in a log line, or None."""
    try:
        fields = json.loads(line[line.index('{') :])
        milliseconds, _, count = fields['stamp'].partition('.')
        return timeline.TimelineEvent(
            stamp=timeline.Stamp(int(milliseconds), int(count)),
            process=fields['process'],
            kind=fields['event'],
            reason=fields.get('reason', ''),
            account=fields.get('account', ''),
            request=fields.get('request', ''),
            attempt=fields.get('attempt', ''),
            upstream=fields.get('upstream', ''),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def select_events(
    request: str, events: list[timeline.TimelineEvent]
) -> list[timeline.TimelineEvent]:
    """Return the events that concern a request, in order.

    These are its own events, events of its instances and engines close to them
    in time that belong to no request, and the crashes for which it was refused
    or stopped.
    """
    request_events = [event for event in events if event.request == request]
    if not request_events:
        raise errors.CommandError(f'explain: no line names request {request}')
    processes = {event.process for event in request_events}
    upstreams = {event.upstream for event in request_events} - {''}
    slack = CONTEXT_SECONDS * 1000
    first = min(event.stamp.milliseconds for event in request_events) - slack
    last = max(event.stamp.milliseconds for event in request_events) + slack
    blamed = {
        event.reason
        for event in request_events
        if event.kind in ('refused-for-crashes', 'stopped-for-crashes')
    }
    context_events = [
        event
        for event in events
        if not event.request
        and (
            is_crash_of(event, blamed)
            or (
                first <= event.stamp.milliseconds <= last
                and (event.process in processes or event.upstream in upstreams)
            )
        )
    ]
    return sorted(request_events + context_events, key=timeline.sort_key)


def is_crash_of(event: timeline.TimelineEvent, blamed: set[str]) -> bool:
    """Return whether an event is a crash under one of some fingerprints."""
    return event.kind == 'engine-crashed' and any(
        f'fingerprint {fingerprint},' in event.reason for fingerprint in blamed
    )


def render(events: list[timeline.TimelineEvent]) -> str:
    """Return events as lines, with the seconds since the first one."""
    start = events[0].stamp.milliseconds
    return ''.join(
        f'{(event.stamp.milliseconds - start) / 1000.0:8.3f}  '
        f'{event.process}  {"*" if event.request else " "} {event.kind}  '
        f'{event.upstream}  {event.reason}\n'
        for event in events
    )
