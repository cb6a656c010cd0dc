"""What instances tell each other, and what handling it costs.

    .venv/bin/python -m measure.fleet_messages --sizes 8,30,90,200

Plays fleets of whole instances over a simulated network, with so many requests
a second at each instance, a quarter of them streams. Prints a row of JSON for
each size: datagrams and hints that an instance receives in a second, and the
processor time that its decisions take in a second, in milliseconds, in all and
for what the other instances tell.
"""

import argparse
import json
from typing import Any

from tests.common import linked_fleet

WARM_SECONDS = 2.0
SECONDS = 4.0
TARGETS = (b'/drafts/1', b'/booking/1', b'/queries/1', b'/booking/1')
LEAST_ENGINES = 2
INSTANCES_PER_ENGINE = 6
PEER_KINDS = ('hint-', 'peer-')


def ask_for(
    fleet: linked_fleet.LinkedFleet, rate: float, seconds: float
) -> None:
    """Have callers ask all instances in turn for a time."""
    size = len(fleet.instances)
    count = max(1, round(rate * size * seconds))
    for number in range(count):
        fleet.ask(number * 7 % size, TARGETS[number % len(TARGETS)])
        fleet.network.advance(seconds / count)


def play(size: int, rate: float) -> dict[str, Any]:
    """Play a fleet, and return its row."""
    per_place = max(LEAST_ENGINES, size // INSTANCES_PER_ENGINE)
    fleet = linked_fleet.LinkedFleet(size, per_place=per_place)
    ask_for(fleet, rate, WARM_SECONDS)
    for instance in fleet.instances:
        instance.loop.costs.by_kind.clear()
    before = fleet.network.datagrams_sent
    ask_for(fleet, rate, SECONDS)
    sent = fleet.network.datagrams_sent - before
    hints = 0
    decisions = 0.0
    of_peers = 0.0
    for instance in fleet.instances:
        for kind, cost in instance.loop.costs.by_kind.items():
            decisions += cost.seconds
            if kind.startswith(PEER_KINDS):
                of_peers += cost.seconds
            if kind.startswith('hint-'):
                hints += cost.count
    spans = size * SECONDS
    return {
        'instances': size,
        'datagrams': round(sent / spans, 1),
        'hints': round(hints / spans, 1),
        'decisions_ms': round(1000 * decisions / spans, 2),
        'peers_ms': round(1000 * of_peers / spans, 2),
    }


def main() -> None:
    """Print a row for each size."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--sizes', default='8,30,90,200')
    parser.add_argument('--rate', type=float, default=1.5)
    words = parser.parse_args()
    for size in map(int, words.sizes.split(',')):
        print(json.dumps(play(size, words.rate)), flush=True)


if __name__ == '__main__':
    main()
