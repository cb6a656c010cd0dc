"""Plays seeds and tells what was broken."""

import dataclasses
import pathlib
import shutil
import tempfile

from twisted.internet import defer
from twisted.internet import interfaces

from tests.soak import faults
from tests.soak import judge
from tests.soak import world


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one seed has shown; ``folder`` has the logs of a bad run."""

    seed: int
    broken: list[judge.Broken]
    requests: int
    served: int
    injected: int
    folder: pathlib.Path | None


@defer.inlineCallbacks
def play_seed(
    reactor: interfaces.IReactorCore, seed: int, fleet: int = 3
) -> object:
    """Play one seed; return its report."""
    planned = faults.plan_all(seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    played = world.World(reactor, folder, seed, fleet)
    try:
        yield played.play(planned)
    finally:
        played.close()
    broken = judge.Judge(played).verdict()
    outcomes = played.callers.outcomes
    if not broken:
        shutil.rmtree(folder)
    return Report(
        seed,
        broken,
        len(outcomes),
        sum(1 for o in outcomes if o.status == 200 and o.whole),
        len(played.moments),
        folder if broken else None,
    )


def tell(report: Report) -> str:
    """Return a report in a line for the seed and one for each breach."""
    lines = [
        f'seed {report.seed}: {report.injected} faults, '
        f'{report.served} of {report.requests} requests served, '
        f'{len(report.broken)} promises broken'
    ]
    lines += [f'  {b.promise}: {b.detail}' for b in report.broken[:20]]
    if report.folder is not None:
        lines.append(f'  logs in {report.folder}')
    return '\n'.join(lines)
