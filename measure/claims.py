"""What a claim costs a call, in time and in writes to the table service.

    .venv/bin/python -m measure.claims --calls 300

Starts a fleet on loopback and sends, one after another, lookups (never
claimed), charges with a key (claimed) and charges without one (not claimed),
in turns, and prints the times as JSON, with the versions that the claim rows
have at the end: one write a version.
"""

import argparse
import collections
import json
import pathlib
import statistics
import tempfile
import time
from typing import Any

from tests.common import fleet

LOOKUP = '/v1/services/lookup/find'
CHARGE = '/v1/services/charge/book'
PAUSE_SECONDS = 0.04


def timed(port: int, path: str, key: str = '') -> float:
    """Return the seconds that one call takes."""
    headers = fleet.bearer(fleet.ACCOUNT_KEY)
    if key:
        headers['Idempotency-Key'] = key
    began = time.perf_counter()
    answer = fleet.ask(port, path, {}, headers=headers)
    if answer.status != 200:
        raise RuntimeError(answer.body)
    return time.perf_counter() - began


def measure(calls: int) -> dict[str, Any]:
    """Return the times of each kind of call and the writes per claim."""
    times = collections.defaultdict(list)
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet.small_fleet(pathlib.Path(folder), engines=0) as running,
    ):
        port = running.instances['router-0'].port
        for number in range(calls):
            times['lookup'].append(timed(port, LOOKUP))
            times['charge'].append(timed(port, CHARGE))
            claimed = timed(port, CHARGE, f'k{number}')
            times['charge with a claim'].append(claimed)
            # Stay within the instance's own rate of writes.
            time.sleep(PAUSE_SECONDS)
        rows = fleet.ask(running.platform.port, '/tables/claims/rows').json()
    versions = collections.Counter(row['version'] for row in rows)
    found = {kind: summary(values) for kind, values in times.items()}
    return {'seconds': found, 'rows by version': versions}


def summary(values: list[float]) -> dict[str, float]:
    """Return median and 95th percentile."""
    return {
        'median': round(statistics.median(values), 5),
        'p95': round(statistics.quantiles(values, n=20)[-1], 5),
    }


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=300)
    print(json.dumps(measure(parser.parse_args().calls)))


if __name__ == '__main__':
    main()
