"""How many engines requests end that share a part which crashes engines.

    .venv/bin/python -m measure.crashing_parts --seeds 3

Plays fleets of relays, without sockets, around engines that are back two
seconds after a crash. Each crashing request is new but for one part of its
prompt; sound ones share its account and its other parts. Prints a row of JSON
for each fleet: engines ended, how often engines got such requests later than
instances must know of the fifth crash, the share of the sound requests that
got their whole answer, and how many of them were refused for crashes, beside
the same without crashing requests.
"""

import argparse
import dataclasses
import json
from typing import Any

from tests.common import crashing_fleet

SYSTEM = crashing_fleet.SYSTEM_PART
TOOLS = crashing_fleet.TOOLS_PART
CRASHING = crashing_fleet.CRASHING_PART
OTHER_CRASHING = crashing_fleet.OTHER_CRASHING_PART
ONE_PART = ((SYSTEM, CRASHING), (SYSTEM, TOOLS, CRASHING))
TWO_PARTS = ((SYSTEM, CRASHING), (SYSTEM, TOOLS, OTHER_CRASHING))
# Engines of each data centre for so many instances.
INSTANCES_AN_ENGINE = 5
ANY_MOMENT = tuple(crashing_fleet.MOMENTS.values())
# Time between two losses of a data centre.
LOSS_EVERY_SECONDS = 6.0


@dataclasses.dataclass(frozen=True)
class Case:
    """A fleet and what comes to it; times are in seconds."""

    size: int
    every: float
    loss: float = 0.02
    warm: bool = True
    restarts: bool = False
    parts: tuple[tuple[str, ...], ...] = ONE_PART
    seconds: float = 40.0
    moment: str = 'at the head'
    losses: bool = False

    @property
    def moments(self) -> tuple[crashing_fleet.CrashMoment, ...]:
        """Return the moments of a run at which its engine crashes."""
        every = crashing_fleet.MOMENTS
        return (every[self.moment],) if self.moment in every else ANY_MOMENT


CASES = (
    *(
        Case(size, every, warm=warm)
        for size in (3, 30)
        for every in (0.4, 1.5)
        for warm in (True, False)
    ),
    *(Case(200, 0.4, warm=warm, seconds=30.0) for warm in (True, False)),
    Case(8, 1.0, loss=0.0),
    *(Case(8, 1.0, loss=0.3, restarts=True, warm=w) for w in (True, False)),
    *(Case(6, 0.7, parts=TWO_PARTS, warm=w) for w in (True, False)),
    *(
        Case(size, 1.0, moment=moment, losses=losses)
        for size in (3, 8, 30)
        for moment in (*crashing_fleet.MOMENTS, 'drawn')
        for losses in (False, True)
    ),
    Case(200, 1.0, moment='before the head', seconds=30.0),
    Case(200, 1.0, moment='drawn', seconds=30.0),
)


def play(case: Case, seed: int, *, crashing: bool) -> dict[str, Any]:
    """Return what came of a case, with or without crashing requests."""
    per_place = max(3, case.size // INSTANCES_AN_ENGINE)
    fleet = crashing_fleet.CrashingFleet(case.size, per_place, case.loss, seed)
    if case.restarts:
        begin = 6.0 + (crashing_fleet.WARM_SECONDS if case.warm else 0.0)
        for number in range(case.size):
            fleet.after(begin + 0.5 * number, fleet.restart, number)
    fleet.moments = case.moments
    if case.losses:
        fleet.lose_data_centres(case.seconds, LOSS_EVERY_SECONDS)
    choices = case.parts if crashing else ()
    asked = fleet.play_parts(case.seconds, case.every, choices, warm=case.warm)
    return {
        'ended': len(fleet.crashes),
        'late': fleet.arrivals_after_crash(5),
        'served': round(fleet.served_share(asked), 3),
        'refused': fleet.count_refused_for_crashes(asked),
    }


def main() -> None:
    """Print a row for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=1)
    chosen = parser.parse_args()
    for case in CASES:
        row: dict[str, Any] = dataclasses.asdict(case)
        row['parts'] = len({part for parts in case.parts for part in parts})
        for name, crashing in (('crashing', True), ('without', False)):
            row[name] = [
                play(case, seed, crashing=crashing)
                for seed in range(1, chosen.seeds + 1)
            ]
        print(json.dumps(row), flush=True)


if __name__ == '__main__':
    main()
