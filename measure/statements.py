"""How instances keep to what engines state: that they leave, or want rest.

    .venv/bin/python -m measure.statements --sizes 3,30,200

Plays fleets of relays, without sockets, around engines that state it in their
answers alone; the list of engines shows all as live. An engine asks for rest
until it recovers. Prints a row of JSON for each: requests that reached an
engine too late after it said that it leaves, the most of an instance within
one rest, how many requests were asked and served, how many were told when to
come back, and how many of these were served then.
"""

import argparse
import itertools
import json
from typing import Any

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from tests.common import crashing_fleet
from tests.common import stating_fleet

# Requests a second, within what the engines that are left can serve.
RATES = {'call': 40.0, 'query': 40.0, 'stream': 1.5}
WARM_SECONDS = 4.0
FAULT_SECONDS = 6.0
END_SECONDS = 8.0
# The callers of streams wait for so long.
DRAIN_SECONDS = crashing_fleet.CALLER_SECONDS


class DisturbedFleet(stating_fleet.StatingFleet):
    """Brings about what engines state, and what may go wrong beside it."""

    def nothing(self, names: list[str]) -> None:
        """State nothing."""

    def leave(self, names: list[str]) -> None:
        """Have one engine of the service leave by its answers alone."""
        self.leaving.add(names[0])

    def rest(self, names: list[str]) -> None:
        """Have one engine turn all away and ask for rest."""
        self.recovers_at[names[0]] = self.now + FAULT_SECONDS

    def all_rest(self, names: list[str]) -> None:
        """Have all engines turn all away and ask for rest."""
        for name in names:
            self.recovers_at[name] = self.now + FAULT_SECONDS

    def store_away(self) -> None:
        """Have the store answer no instance."""
        lost = relay_events.StoreLost('away')
        self.has_store = False
        for instance in self.instances:
            instance.handle(lost)

    def restart_all(self) -> None:
        """Restart all instances, one after the other."""
        size = len(self.instances)
        for number in range(size):
            self.after(FAULT_SECONDS * number / size, self.restart, number)


def play(
    size: int,
    kind: str,
    fault: str,
    beside: str,
    seed: int = 1,
) -> dict[str, Any]:
    """Return what happened in one run."""
    loss = 0.33 if beside == 'loss' else 0.0
    fleet = DisturbedFleet(size, per_place=1, loss=loss, seed=seed)
    names = fleet.engines_of(kind)
    fleet.press(kind, RATES[kind], WARM_SECONDS)
    since = fleet.now
    getattr(fleet, fault)(names)
    if beside == 'store-away':
        fleet.store_away()
    if beside == 'restarts':
        fleet.restart_all()
    fleet.press(kind, RATES[kind], FAULT_SECONDS)
    fleet.press(kind, RATES[kind], END_SECONDS)
    fleet.run(DRAIN_SECONDS)
    first = fleet.answers_to(since)
    second = fleet.answers_to(since, second=True)
    return {
        'instances': size,
        'kind': kind,
        'fault': fault,
        'beside': beside,
        'seed': seed,
        'late_to_leaving': fleet.late_to_leaving(),
        'most_in_a_rest': fleet.most_in_a_rest(),
        'asked': len(first),
        'served': sum(map(is_served, [*first, *second])),
        'told_when': len(second),
        'served_then': sum(map(is_served, second)),
    }


def is_served(answer: object) -> bool:
    """Return whether an answer is a success."""
    match answer:
        case relay_actions.PassAnswer(head=head):
            return head.is_success
        case relay_actions.EndStream():
            return True
    return False


def main() -> None:
    """Print a row for each size, kind, fault and what goes wrong beside it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='3,30,200')
    parser.add_argument('--kinds', default='call,query,stream')
    parser.add_argument('--faults', default='nothing,leave,rest,all_rest')
    parser.add_argument('--beside', default='nothing')
    parser.add_argument('--seeds', default='1')
    chosen = parser.parse_args()
    cases = itertools.product(
        map(int, chosen.sizes.split(',')),
        chosen.kinds.split(','),
        chosen.beside.split(','),
        chosen.faults.split(','),
        map(int, chosen.seeds.split(',')),
    )
    for size, kind, beside, fault, seed in cases:
        row = play(size, kind, fault, beside, seed)
        print(json.dumps(row), flush=True)


if __name__ == '__main__':
    main()
