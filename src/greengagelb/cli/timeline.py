"""The command that prints a time line of the events of all processes."""

import datetime
import sys
from typing import Any

from absl import flags
from twisted.internet import interfaces

from greengagelb.cli import event_loop
from greengagelb.cli import operator_flags
from greengagelb.cli import operators
from greengagelb.cli import tables
from greengagelb.protocol import timeline_api
from greengagelb.state import timeline as timeline_state
from greengagelb.transport import operator_client

REQUEST = flags.DEFINE_string('request', '', 'Only events of this request.')
ACCOUNT = flags.DEFINE_string(
    'account', '', 'Only events of this client account.'
)
KIND = flags.DEFINE_string('kind', '', 'Only events of this kind.')
MAX_EVENTS = flags.DEFINE_integer(
    'most_events',
    2_000,
    'The last events that each instance gives.',
    lower_bound=1,
    upper_bound=timeline_api.MAX_EVENTS,
)

MAX_CELL_WIDTH = 60
ELLIPSIS = '...'
COLUMNS = [
    'TIME (UTC)',
    'SINCE START',
    'PROCESS',
    'EVENT',
    'REQUEST',
    'GEN',
    'UPSTREAM',
    'REASON',
    'ATTEMPT',
]

InstanceAnswer = timeline_api.TimelinePart | operator_client.NoAnswer


def timeline(words: list[str]) -> int:
    """Print the merged events of all given instances."""
    addresses = operator_flags.operator_addresses()
    key = operator_flags.operator_key()
    selection = timeline_state.Selection(
        ACCOUNT.value, REQUEST.value, KIND.value, MAX_EVENTS.value
    )

    async def ask(reactor: interfaces.IReactorCore) -> list[Any]:
        clients = [
            operator_client.OperatorClient(reactor, address, key)
            for address in addresses
        ]
        return await operator_client.query_instances(
            clients, lambda client: client.timeline(selection)
        )

    parts = event_loop.run_coroutine(ask)
    sys.stdout.write(render(parts, selection))
    return operators.exit_code_of(parts)


def merge_events(
    parts: list[InstanceAnswer],
) -> list[timeline_state.TimelineEvent]:
    """Return the events of all instances in the order of their stamps."""
    events = []
    for part in parts:
        match part:
            case timeline_api.TimelinePart(events=found):
                events += found
    return sorted(events, key=timeline_state.sort_key)


def render(
    parts: list[InstanceAnswer], selection: timeline_state.Selection
) -> str:
    """Return the merged time line, with notes on what may be missing."""
    events = merge_events(parts)
    lines = ''
    if events:
        start = events[0].stamp.milliseconds
        rows = [COLUMNS, *(row_of(event, start) for event in events)]
        lines = tables.render(rows)
    notes = [note for part in parts for note in notes_of(part, selection)]
    if not events:
        notes.append('no event matches')
    return lines + ''.join(f'note: {note}\n' for note in notes)


def row_of(event: timeline_state.TimelineEvent, start: int) -> list[str]:
    """Return the table cells of an event; ``start`` is in milliseconds."""
    since = event.stamp.milliseconds - start
    moment = datetime.datetime.fromtimestamp(
        event.stamp.milliseconds / 1000, datetime.UTC
    )
    request = f'{event.account}/{event.request}' if event.request else '-'
    return [
        moment.strftime('%H:%M:%S.') + f'{moment.microsecond // 1000:03d}',
        f'{since / 1000:+.3f} s',
        event.process,
        event.kind,
        truncate_cell(request),
        str(event.generation or '-'),
        event.upstream or '-',
        truncate_cell(event.reason),
        event.attempt or '-',
    ]


def truncate_cell(cell: str) -> str:
    """Return a cell that is truncated to the maximum width.

    Callers choose their request ids, and one long id would push the other
    columns off the screen.
    """
    if len(cell) <= MAX_CELL_WIDTH:
        return cell
    return cell[: MAX_CELL_WIDTH - len(ELLIPSIS)] + ELLIPSIS


def notes_of(
    part: InstanceAnswer, selection: timeline_state.Selection
) -> list[str]:
    """Return notes on what is missing in the answer of an instance."""
    match part:
        case operator_client.NoAnswer(address, _, reason):
            return [f'{address} gave no events, they are missing: {reason}']
        case timeline_api.TimelinePart(process=process, dropped=dropped):
            notes = []
            if dropped:
                notes.append(
                    f'{process} has dropped its oldest {dropped} events'
                )
            if len(part.events) == selection.most_events:
                notes.append(
                    f'{process} may have more events: raise --most_events'
                )
            return notes
    return []
