"""How engines fare that fail if they turn away too many requests in a second.

    .venv/bin/python -m measure.brittle_engines --sizes 3,30

Plays fleets of whole instances over a simulated network while callers ask for
more than the engines of a service have room for. Prints a row of JSON for
each: how often engines fell over, how many requests a second were served and
refused, once with engines that state a rate and fall over, and once with ones
that neither state one nor fall.
"""

import argparse
import json
from typing import Any

from tests.common import linked_fleet

# Calls take longer, so that fewer of them fill the engines.
CALL_SECONDS = 0.1
ROOM = 2
REFUSAL_RATE = 10
SECONDS = 15.0
END_SECONDS = 3.0
# As a share of what the engines of the service can do.
LOADS = (0.5, 0.9, 1.5, 3.0)
TARGETS = (b'/booking/1', b'/queries/1')


def play(size: int, load: float, *, brittle: bool) -> dict[str, Any]:
    """Play one fleet; return its row."""
    fleet = linked_fleet.LinkedFleet(size)
    calls = [
        engine
        for engine in fleet.engines.values()
        if engine.entry.service == 'booking'
    ]
    for engine in calls:
        engine.call_seconds = CALL_SECONDS
        engine.room = ROOM
        engine.refusal_rate = REFUSAL_RATE if brittle else None
    capacity = len(calls) * linked_fleet.SLOTS / CALL_SECONDS
    pause = 1.0 / (load * capacity)
    asked = []
    for step in range(round(SECONDS / pause)):
        number = fleet.network.rng.randrange(size)
        asked.append(fleet.ask(number, TARGETS[step % len(TARGETS)]))
        fleet.network.advance(pause)
    fleet.network.advance(END_SECONDS)
    return {
        'instances': size,
        'load': load,
        'brittle': brittle,
        'falls': sum(engine.falls for engine in calls),
        'asked': round(len(asked) / SECONDS, 1),
        'served': round(sum(a.is_served for a in asked) / SECONDS, 1),
        'refused': round(sum(a.status == 503 for a in asked) / SECONDS, 1),
        'capacity': capacity,
    }


def main() -> None:
    """Print a row for each play."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--sizes', default='3,30')
    for size in map(int, parser.parse_args().sizes.split(',')):
        for load in LOADS:
            for brittle in (False, True):
                print(
                    json.dumps(play(size, load, brittle=brittle)), flush=True
                )


if __name__ == '__main__':
    main()
