"""How instances keep to the limits that engines name, and use them.

    .venv/bin/python -m measure.limits --sizes 3,30,200

Plays fleets of relays, without sockets, around engines that all name a limit,
while callers ask for three times as much. Prints a row of JSON for each: the
most requests that an engine got in some 4 s and what is allowed, the part of
the limits that was used, and datagrams between instances, a second each.
"""

import argparse
import itertools
import json
from typing import Any

from tests.common import limited_fleet

RATES = (0.5, 2.0, 20.0, 200.0)
PRESSURE = 3.0
# Long enough for a share of the lowest rate to mean something.
LEAST_REQUESTS = 30
LEAST_SECONDS = 15.0
WARM_SECONDS = 5.0


class DisturbedFleet(limited_fleet.LimitedFleet):
    """Brings about, within some seconds, what may go wrong."""

    def place_cut(self, names: list[str], seconds: float) -> None:
        """Cut one data centre off from the others."""
        self.cut.add('west')

    def restarts(self, names: list[str], seconds: float) -> None:
        """Restart all instances, one after the other."""
        size = len(self.instances)
        for number in range(size):
            self.after(seconds * number / size, self.restart, number)

    def halved(self, names: list[str], seconds: float) -> None:
        """Have engines name half of their limit."""
        for name in names:
            self.limit(self.limits[name] / 2.0, name)


def play(
    size: int,
    rate: float,
    kind: str,
    loss: float = 0.0,
    callers_at: tuple[int, ...] | None = None,
    disturb: str = '',
    least_seconds: float = LEAST_SECONDS,
    seed: int = 1,
) -> dict[str, Any]:
    """Return what engines with a limit got from a fleet."""
    fleet = DisturbedFleet(size, per_place=1, loss=loss, seed=seed)
    names = fleet.engines_of(kind)
    fleet.limit(rate, *names)
    pressure = PRESSURE * rate * len(names)
    fleet.press(kind, pressure, WARM_SECONDS, callers_at)
    since = fleet.now
    datagrams = fleet.datagrams
    seconds = max(least_seconds, LEAST_REQUESTS / rate)
    if disturb:
        getattr(fleet, disturb)(names, seconds)
        rate = fleet.limits[names[0]]
    fleet.press(kind, pressure, seconds, callers_at)
    used = [fleet.share_used(name, rate, since) for name in names]
    return {
        'instances': size,
        'rate': rate,
        'kind': kind,
        'loss': loss,
        'callers_at': 'one' if callers_at else 'any',
        'disturb': disturb,
        'seconds': seconds,
        'seed': seed,
        'worst_window': max(fleet.worst_window(name) for name in names),
        'allowed': fleet.allowed(rate),
        'used': round(sum(used) / len(used), 3),
        'datagrams': round((fleet.datagrams - datagrams) / seconds / size, 1),
    }


def main() -> None:
    """Print a row for each size and rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='3,30,200')
    parser.add_argument('--rates', default=','.join(map(str, RATES)))
    parser.add_argument('--kinds', default='call,stream')
    parser.add_argument('--loss', type=float, default=0.0)
    parser.add_argument('--one', action='store_true')
    parser.add_argument('--disturb', default='')
    parser.add_argument('--seconds', type=float, default=LEAST_SECONDS)
    parser.add_argument('--seeds', default='1')
    chosen = parser.parse_args()
    at = (0,) if chosen.one else None
    cases = itertools.product(
        map(int, chosen.sizes.split(',')),
        map(float, chosen.rates.split(',')),
        chosen.kinds.split(','),
        map(int, chosen.seeds.split(',')),
    )
    for size, rate, kind, seed in cases:
        row = play(
            size,
            rate,
            kind,
            chosen.loss,
            at,
            chosen.disturb,
            chosen.seconds,
            seed,
        )
        print(json.dumps(row), flush=True)


if __name__ == '__main__':
    main()
