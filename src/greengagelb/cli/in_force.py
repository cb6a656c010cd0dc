"""The subcommand that shows what is in force on each instance."""

from collections.abc import Callable
import dataclasses
import json
import pathlib
import sys

from absl import flags
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from greengagelb import errors
from greengagelb.cli import event_loop
from greengagelb.cli import exit_codes
from greengagelb.cli import operator_flags
from greengagelb.cli import tables
from greengagelb.state import in_force
from greengagelb.transport import operator_client
from greengagelb.transport import page_reader

DETAILS = (
    'Reads /metrics of each instance. Those that differ from most or give no '
    'answer\ncome first, with the reason. With --wait_for_version or '
    '--wait_for_digest it asks\nuntil all have it or --deadline_seconds are '
    'over, and names who has not.'
)
PAGES = flags.DEFINE_list(
    'pages', [], 'Addresses of pages of metrics as IP:PORT, by commas.'
)
PAGES_FILE = flags.DEFINE_string(
    'pages_file', None, 'File with such addresses, one a line.'
)
WAIT_FOR_VERSION = flags.DEFINE_integer(
    'wait_for_version', None, 'Wait until all have this configuration.'
)
WAIT_FOR_DIGEST = flags.DEFINE_string(
    'wait_for_digest', None, 'Wait until all have settings of this digest.'
)
DEADLINE_SECONDS = flags.DEFINE_float(
    'deadline_seconds', 30.0, 'How long to wait, in seconds.'
)
AS_JSON = flags.DEFINE_boolean('json', False, 'Print JSON, a line for each.')
POLL_INTERVAL_SECONDS = 0.5
COLUMNS = (
    'ADDRESS',
    'INSTANCE',
    'DATA CENTRE',
    'RELEASE',
    'STATE',
    'SETTINGS',
    'SINCE',
    'VERSION',
    'ENGINES',
    'RUNNING',
    'STORE AGE',
    'DIFFERS',
)

Condition = Callable[[in_force.InstanceReport], bool]


def show_in_force(words: list[str]) -> int:
    """Print what is in force on each instance; wait if a flag asks for it."""
    addresses = read_addresses()
    condition = condition_from_flags()

    async def poll(
        reactor: interfaces.IReactorCore,
    ) -> list[in_force.ComparedReport]:
        reader = page_reader.PageReader(reactor)
        return await poll_instances(reactor, reader, addresses, condition)

    seen = event_loop.run_coroutine(poll)
    sys.stdout.write(
        render_json(seen) if AS_JSON.value else render_table(seen)
    )
    return exit_code_of(seen, condition)


def read_addresses() -> list[operator_client.Address]:
    """Return the addresses in the flags, without duplicates."""
    texts = list(PAGES.value)
    if PAGES_FILE.value is not None:
        try:
            lines = pathlib.Path(PAGES_FILE.value).read_text('utf-8')
        except (OSError, UnicodeDecodeError) as exc:
            raise errors.CommandError(f'--pages_file: {exc}') from exc
        texts += [line for line in lines.splitlines() if line.strip()]
    if not texts:
        raise errors.CommandError(
            'write --pages=IP:PORT[,IP:PORT...] or --pages_file=FILE'
        )
    return [
        operator_flags.parse_address(text, 'pages')
        for text in dict.fromkeys(text.strip() for text in texts)
    ]


def condition_from_flags() -> Condition | None:
    """Return the condition that instances have to meet, or None."""
    version, digest = WAIT_FOR_VERSION.value, WAIT_FOR_DIGEST.value
    if version is None and digest is None:
        return None

    def is_met(page: in_force.InstanceReport) -> bool:
        return (version is None or page.configuration_version >= version) and (
            digest is None or page.digest == digest
        )

    return is_met


async def poll_instances(
    reactor: interfaces.IReactorCore,
    reader: page_reader.PageReader,
    addresses: list[operator_client.Address],
    condition: Condition | None,
) -> list[in_force.ComparedReport]:
    """Return the state of the instances.

    With a condition, polls until all instances meet it or the deadline is
    over.
    """
    deadline = reactor.seconds() + DEADLINE_SECONDS.value
    last_progress = ''
    while True:
        found = await reader.read_all_pages(addresses)
        if condition is None:
            return in_force.compare_reports(found)
        count = sum(meets_condition(page, condition) for _, page in found)
        progress = f'{count} of {len(found)} have it\n'
        if progress != last_progress:
            sys.stderr.write(progress)
            last_progress = progress
        if count == len(found) or reactor.seconds() >= deadline:
            return in_force.compare_reports(found)
        await sleep(reactor, POLL_INTERVAL_SECONDS)


def sleep(
    reactor: interfaces.IReactorTime, seconds: float
) -> 'defer.Deferred[None]':
    """Return a Deferred that fires after some seconds."""
    return task.deferLater(reactor, seconds, lambda: None)


def meets_condition(
    page: in_force.InstanceReport | in_force.ReportUnavailable,
    condition: Condition,
) -> bool:
    """Return whether an instance answered and meets the condition."""
    return isinstance(page, in_force.InstanceReport) and condition(page)


def exit_code_of(
    seen: list[in_force.ComparedReport], condition: Condition | None
) -> exit_codes.ExitCode:
    """Return the exit code for the state of the instances."""
    answered = [
        one for one in seen if isinstance(one.found, in_force.InstanceReport)
    ]
    if not answered:
        return exit_codes.ExitCode.NOTHING_FOUND
    if len(answered) < len(seen):
        return exit_codes.ExitCode.UNREACHABLE
    if condition is not None:
        agree = all(meets_condition(one.found, condition) for one in seen)
    else:
        agree = not any(one.differences for one in seen)
    if agree:
        return exit_codes.ExitCode.SUCCESS
    return exit_codes.ExitCode.DIFFERENT


def render_table(seen: list[in_force.ComparedReport]) -> str:
    """Return a table row for each instance, and how many agree."""
    rows = [list(COLUMNS), *map(row_of, seen)]
    agree = sum(not one.differences for one in seen)
    return tables.render(rows) + f'{agree} of {len(seen)} agree\n'


def row_of(seen: in_force.ComparedReport) -> list[str]:
    """Return the table cells of one instance."""
    differs = '; '.join(seen.differences)
    match seen.found:
        case in_force.ReportUnavailable():
            return [seen.address, *['?'] * (len(COLUMNS) - 2), differs]
        case in_force.InstanceReport() as page:
            age = page.store_seconds
            return [
                seen.address,
                page.name,
                page.data_centre,
                page.release,
                'stopping' if page.stopping else 'serving',
                page.digest,
                f'{page.settings_seconds:.0f} s',
                str(page.configuration_version),
                str(page.engines),
                str(page.running),
                '?' if age is None else f'{age:.1f} s',
                differs,
            ]


def render_json(seen: list[in_force.ComparedReport]) -> str:
    """Return a line of JSON for each instance."""
    lines = []
    for one in seen:
        fields = {'address': one.address, 'differences': one.differences}
        if isinstance(one.found, in_force.InstanceReport):
            fields |= dataclasses.asdict(one.found)
        lines.append(json.dumps(fields))
    return '\n'.join(lines) + '\n'
