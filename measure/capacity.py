"""Works out docs/CAPACITY.md's tables from the measured slopes.

    .venv/bin/python -m measure.capacity            # rewrites the tables
    .venv/bin/python -m measure.capacity --check    # fails if they are stale

The page's text is written by hand; what stands between the two marks of a
table comes from here.
"""

import argparse
import dataclasses
import json
import pathlib
import sys
from typing import Any

from greengagelb import settings
from greengagelb.coordination.fleet import probe_assignment

ROOT = pathlib.Path(__file__).parent.parent
SLOPES = ROOT / 'docs' / 'measurements' / 'slopes.json'
PAGE = ROOT / 'docs' / 'CAPACITY.md'
SECONDS_A_DAY = 86_400
CONTROL_CORE = 0.014
CONTROL_BYTES = 64e6
CONTROL_BYTES_A_SECOND = 5_000
STORE_READS = 2_000
STORE_WRITES = 300
RESUME_SECONDS = 2.0
WATCHERS = probe_assignment.WATCHERS_PER_UPSTREAM
TURNS_BETWEEN_REMOTE = probe_assignment.TURNS_PER_REMOTE_PROBE
HEARTBEAT_SECONDS = settings.PeerSettings().heartbeat_seconds
POLL_SECONDS = 2.0
READS_A_POLL = 2
WRITES_A_CLAIM = 2


@dataclasses.dataclass(frozen=True, slots=True)
class DesignSize:
    """The size to design for, from the users' letter."""

    instances: int = 330
    engines: int = 630
    requests_a_second: float = 4_800
    tokens_a_second: float = 1.1e6
    seconds_between_tokens: float = 0.052
    accounts: int = 1_100
    data_centres: int = 5
    changes_a_day: int = 1_300

    @property
    def local_instances(self) -> int:
        """Return the instances of one data centre."""
        return self.instances // self.data_centres

    @property
    def local_engines(self) -> int:
        """Return the engines of one data centre."""
        return self.engines // self.data_centres

    @property
    def streams(self) -> float:
        """Return the streams in flight, each at the slowest pace allowed."""
        return self.tokens_a_second * self.seconds_between_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A line of a table; ``budget`` is empty where there is none."""

    what: str
    mechanism: str
    figure: str
    budget: str = ''
    margin: str = ''


class Slopes:
    """The measured lines, by name."""

    def __init__(self, lines: dict[str, dict[str, Any]]) -> None:
        self.lines = lines

    def slope(self, name: str) -> float:
        """Return the slope of a line."""
        return float(self.lines[name]['slope'])

    def at(self, name: str, size: float) -> float:
        """Return the value of a line at a size, never below zero."""
        line = self.lines[name]
        return max(0.0, line['at_zero'] + line['slope'] * size)


def margin(value: float, budget: float) -> str:
    """Return how many times a value fits its budget."""
    return f'{budget / value:.1f}x' if value else 'free'


def percent(share: float) -> str:
    """Return a share of a core as text."""
    return f'{100 * share:.2f}% of a core'


def probes_a_second(size: DesignSize) -> float:
    """Return the probes that each instance sends a second."""
    remote = (size.engines - size.local_engines) / TURNS_BETWEEN_REMOTE
    return WATCHERS * (size.local_engines + remote) / size.local_instances


def control_processor(size: DesignSize, slopes: Slopes) -> dict[str, float]:
    """Return the parts of an instance's control, in shares of a core."""
    watched = probes_a_second(size)
    changes = size.changes_a_day / SECONDS_A_DAY
    apply = slopes.at('configuration_apply_per_account', size.accounts)
    apply += slopes.at('configuration_apply_per_engine', size.engines)
    peers = size.local_instances - 1
    beats = slopes.at('heartbeat_round_per_peer', peers)
    return {
        'probes of watched engines': watched * slopes.slope('probe'),
        'heartbeats': beats / HEARTBEAT_SECONDS,
        'configuration changes': changes * apply,
        'polls of the platform': slopes.slope('poll') / POLL_SECONDS,
    }


def control_traffic(size: DesignSize, slopes: Slopes) -> dict[str, float]:
    """Return the parts of an instance's control, in bytes a second sent."""
    peers = size.local_instances - 1
    beat = slopes.slope('heartbeat_bytes')
    local = WATCHERS * size.local_engines / size.local_instances
    beat += local * slopes.slope('heartbeat_bytes_per_load')
    document = slopes.at('configuration_sent_per_account', size.accounts)
    document += slopes.at('configuration_sent_per_engine', size.engines)
    changes = size.changes_a_day / SECONDS_A_DAY
    return {
        'heartbeats': beat * peers / HEARTBEAT_SECONDS,
        'configuration changes': document * changes,
        'probes of watched engines': probes_a_second(size)
        * slopes.slope('probe_bytes'),
        'polls of the platform': slopes.slope('poll_bytes') / POLL_SECONDS,
    }


def control_memory(size: DesignSize, slopes: Slopes) -> dict[str, float]:
    """Return the parts of an instance's control state, in bytes."""
    return {
        'configuration and directory': slopes.at(
            'configuration_memory_per_account', size.accounts
        )
        + slopes.at('configuration_memory_per_engine', size.engines),
        'other instances': slopes.at(
            'memory_per_peer', size.local_instances - 1
        ),
    }


def parts_rows(
    parts: dict[str, float],
    mechanisms: dict[str, str],
    budget: float,
    shown: Any,
) -> list[Row]:
    """Return a row for each part and one for their sum."""
    rows = [
        Row(name, mechanisms[name], shown(value))
        for name, value in parts.items()
    ]
    total = sum(parts.values())
    rows.append(
        Row('**all**', '', shown(total), shown(budget), margin(total, budget))
    )
    return rows


MECHANISMS = {
    'probes of watched engines': 'two watchers an engine, by rendezvous hash',
    'heartbeats': 'full mesh within a data centre, relays between them',
    'configuration changes': 'peers pass the compressed document on',
    'polls of the platform': 'one small row and the instance list',
    'configuration and directory': 'one document, replaced whole',
    'other instances': 'soft state from heartbeats',
}


def control_tables(size: DesignSize, slopes: Slopes) -> dict[str, list[Row]]:
    """Return the tables of what an instance spends on control."""
    return {
        'control-processor': parts_rows(
            control_processor(size, slopes), MECHANISMS, CONTROL_CORE, percent
        ),
        'control-traffic': parts_rows(
            control_traffic(size, slopes),
            MECHANISMS,
            CONTROL_BYTES_A_SECOND,
            lambda value: f'{value:,.0f} B/s',
        ),
        'control-memory': parts_rows(
            control_memory(size, slopes),
            MECHANISMS,
            CONTROL_BYTES,
            lambda value: f'{value / 1e6:.2f} MB',
        ),
    }


def data_rows(size: DesignSize, slopes: Slopes) -> list[Row]:
    """Return the rows of what an instance spends on callers' work."""
    streams = size.streams / size.instances
    tokens = size.tokens_a_second / size.instances
    arrivals = size.requests_a_second / size.instances
    relay = tokens * slopes.slope('relay_per_token')
    starts = arrivals * slopes.slope('generation_start')
    memory = streams * slopes.slope('memory_per_stream')
    base = slopes.at('memory_per_stream', 0)
    return [
        Row('streams in flight', 'one object a stream', f'{streams:.0f}'),
        Row('memory of these', '', f'{memory / 1e6:.1f} MB'),
        Row(
            'memory of the process without them',
            'interpreter and libraries',
            f'{base / 1e6:.1f} MB',
        ),
        Row(
            f'relay of {tokens:,.0f} tokens a second',
            'read and written together every 10 ms',
            percent(relay),
        ),
        Row(
            f'{arrivals:.1f} new requests a second',
            'one connection an attempt',
            percent(starts),
        ),
    ]


def store_rows(size: DesignSize) -> list[Row]:
    """Return the rows of what all instances ask of the platform."""
    reads = size.instances * READS_A_POLL / POLL_SECONDS
    claims = STORE_WRITES / WRITES_A_CLAIM
    share = claims / size.requests_a_second
    return [
        Row(
            'polls',
            'each instance, every 2 s',
            f'{reads:.0f} reads/s',
            f'{STORE_READS} reads/s',
            margin(reads, STORE_READS),
        ),
        Row(
            'claimed requests that fit',
            'a conditional insert and an outcome each',
            f'{claims:.0f} a second ({100 * share:.1f}% of all requests)',
            f'{STORE_WRITES} writes/s',
        ),
    ]


def loss_rows(size: DesignSize, slopes: Slopes) -> list[Row]:
    """Return the rows of what a loss costs at once."""
    streams_an_engine = size.streams / size.engines
    streams_an_instance = size.streams / size.instances
    start = slopes.slope('generation_start')
    losses = [
        ('an engine', streams_an_engine, size.local_instances),
        ('an instance', streams_an_instance, size.local_instances - 1),
        (
            'a rack of 6 instances and 12 engines',
            6 * streams_an_instance + 12 * streams_an_engine,
            size.local_instances - 6,
        ),
        (
            'a data centre',
            size.streams / size.data_centres,
            size.instances - size.local_instances,
        ),
    ]
    rows = []
    for name, streams, instances in losses:
        each = streams / instances
        rows.append(
            Row(
                name,
                f'{streams:,.0f} streams resume at {instances} instances',
                f'{each:.1f} each, {1000 * each * start:.0f} ms of a core',
                f'{RESUME_SECONDS:.0f} s',
                margin(each * start, RESUME_SECONDS),
            )
        )
    return rows


def tables(slopes: Slopes) -> dict[str, str]:
    """Return the text of each table of the page."""
    size = DesignSize()
    rows = control_tables(size, slopes)
    rows['data'] = data_rows(size, slopes)
    rows['store'] = store_rows(size)
    rows['losses'] = loss_rows(size, slopes)
    return {name: render(found) for name, found in rows.items()}


def render(rows: list[Row]) -> str:
    """Return rows as a table in Markdown."""
    lines = [
        '| what | mechanism | figure | budget | margin |',
        '| --- | --- | --- | --- | --- |',
    ]
    lines += [f'| {" | ".join(dataclasses.astuple(row))} |' for row in rows]
    return '\n'.join(lines) + '\n'


def fill(page: str, found: dict[str, str]) -> str:
    """Return the page with its tables replaced."""
    for name, table in found.items():
        begin, end = f'<!-- table {name} -->\n', f'<!-- end {name} -->'
        head, _, rest = page.partition(begin)
        _, _, tail = rest.partition(end)
        page = head + begin + table + end + tail
    return page


def main() -> int:
    """Rewrite the page, or tell whether it is stale."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true')
    arguments = parser.parse_args()
    slopes = Slopes(json.loads(SLOPES.read_text()))
    page = PAGE.read_text()
    filled = fill(page, tables(slopes))
    if arguments.check:
        if filled != page:
            sys.stderr.write(
                'docs/CAPACITY.md is stale: run measure.capacity\n'
            )
            return 1
        return 0
    PAGE.write_text(filled)
    return 0


if __name__ == '__main__':
    sys.exit(main())
