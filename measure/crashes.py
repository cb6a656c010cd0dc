"""How many engines one request ends that crashes each which begins to run it.

    .venv/bin/python -m measure.crashes --seconds 30

Plays fleets of relays, without sockets, around engines that are back two
seconds after a crash. The request comes at any instance, under a new id each
time. Prints a row of JSON for each size and kind of request: the engines that
ended, with instances that tell nobody of crashes and as it is, how often
engines got the request later than instances must know of the third crash, and
when the last instance came to know of it.
"""

import argparse
import json
from typing import Any

from greengagelb.coordination.sharing import crash_records
from tests.common import crashing_fleet

SIZES = (3, 30, 200)
KINDS = ('stream', 'query', 'call')
LOOK_SECONDS = 0.05
# Engines of each data centre for so many instances.
INSTANCES_AN_ENGINE = 5


class NoRecords(crash_records.CrashRecords):
    """Forgets each crash at once."""

    def add_crash(self, *crash: object) -> bool:
        """Take no notice."""
        return False


class WatchedFleet(crashing_fleet.CrashingFleet):
    """Notes when the last instance has come to block the request."""

    known_by_all_at = float('inf')

    def look(self) -> None:
        """Note it if all instances block something now."""
        records = [one.relay.crash_watch.records for one in self.instances]
        if all(self.blocks(found) for found in records):
            self.known_by_all_at = self.now
        else:
            self.after(LOOK_SECONDS, self.look)

    def blocks(self, records: crash_records.CrashRecords) -> bool:
        """Return whether some request is blocked."""
        return any(records.is_blocked(n, self.now) for n in records.histories)


def play(
    size: int, kind: str, seconds: float, every: float, loss: float
) -> dict[str, Any]:
    """Return what one request does to a fleet, without and with records."""
    per_place = max(3, size // INSTANCES_AN_ENGINE)
    row: dict[str, Any] = {'instances': size, 'kind': kind, 'loss': loss}
    for name in ('unguarded', 'guarded'):
        fleet = WatchedFleet(size, per_place, loss)
        if name == 'unguarded':
            for instance in fleet.instances:
                instance.relay.crash_watch.records = NoRecords()
        else:
            fleet.look()
        fleet.ask_again_and_again(kind, seconds, every)
        row[name] = {
            'ended': len(fleet.crashes),
            'retries_after_third': fleet.retries_after_the_third_crash(),
        }
    third = fleet.crashes[2] if len(fleet.crashes) > 2 else float('inf')
    row['known_by_all_after'] = round(fleet.known_by_all_at - third, 3)
    return row


def main() -> None:
    """Print a row for each size and kind."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--every', type=float, default=1.0)
    parser.add_argument('--loss', type=float, default=0.02)
    chosen = parser.parse_args()
    for size in SIZES:
        for kind in KINDS:
            row = play(size, kind, chosen.seconds, chosen.every, chosen.loss)
            print(json.dumps(row), flush=True)


if __name__ == '__main__':
    main()
