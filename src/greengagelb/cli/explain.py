"""The command that tells the story of a request from log files.

On call there are only logs: the instance that served a request may be gone.
The lines of all instances can be given in any order, with anything in front
of them that a log collector adds.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import fileinput
import json
import sys

from greengagelb import errors
from greengagelb.state import timeline

# Seconds around a request within which what an instance or an engine went
# through may be its cause.
CONTEXT_SECONDS = 3.0


def explain(words: list[str]) -> int:
    """Show the events of one request, and what happened around it."""
    if not words:
        raise errors.CommandError('explain: write the id of a request')
    request, *files = words
    with fileinput.input(files or ('-',), errors='replace') as lines:
        found = list(read_events(lines))
    sys.stdout.write(render(select_events(request, found)))
    return 0


def read_events(lines: Iterable[str]) -> Iterator[timeline.TimelineEvent]:
    """Return the events in log lines; other lines are left out."""
    for line in lines:
        event = parse_line(line)
        if event is not None:
            yield event


def parse_line(line: str) -> timeline.TimelineEvent | None:
    """Return the event in a log line, if it holds one."""
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
    """Return what concerns a request, in order.

    That is its own events, and around their time what its instances did
    besides serving others and what became of its engines.
    """
    request_events = [event for event in events if event.request == request]
    if not request_events:
        raise errors.CommandError(f'explain: no line names request {request}')
    processes = {event.process for event in request_events}
    upstreams = {event.upstream for event in request_events} - {''}
    slack = CONTEXT_SECONDS * 1000
    first = min(event.stamp.milliseconds for event in request_events) - slack
    last = max(event.stamp.milliseconds for event in request_events) + slack
    context_events = [
        event
        for event in events
        if not event.request
        and first <= event.stamp.milliseconds <= last
        and (event.process in processes or event.upstream in upstreams)
    ]
    return sorted(request_events + context_events, key=timeline.sort_key)


def render(events: list[timeline.TimelineEvent]) -> str:
    """Return a story as lines, with the time since its first event."""
    start = events[0].stamp.milliseconds
    return ''.join(
        f'{(event.stamp.milliseconds - start) / 1000.0:8.3f}  '
        f'{event.process}  {"*" if event.request else " "} {event.kind}  '
        f'{event.upstream}  {event.reason}\n'
        for event in events
    )
