"""Plays many seeds: ``python -m tests.soak --seeds 50``."""

import sys
import time

from absl import app
from absl import flags
from twisted.internet import defer
from twisted.internet import task

from tests.soak import run

FIRST = flags.DEFINE_integer('seed', 1, 'the first seed')
SEEDS = flags.DEFINE_integer('seeds', 1, 'how many seeds to play')
MINUTES = flags.DEFINE_float(
    'minutes', 0.0, 'play on with further seeds for so long'
)
FLEET = flags.DEFINE_integer('fleet', 3, 'instances in a run', lower_bound=1)


@defer.inlineCallbacks
def play_all(reactor: object) -> object:
    """Play the seeds one after the other; fail if one broke a promise."""
    bad = []
    seed = FIRST.value
    until = time.monotonic() + 60.0 * MINUTES.value
    while seed < FIRST.value + SEEDS.value or time.monotonic() < until:
        report = yield run.play_seed(reactor, seed, FLEET.value)
        print(run.tell(report), flush=True)
        if report.broken:
            bad.append(seed)
        seed += 1
    print(f'{seed - FIRST.value} seeds, broken: {bad or "none"}')
    if bad:
        raise SystemExit(1)


def main(argv: list[str]) -> None:
    """Run the command."""
    if len(argv) > 1:
        raise app.UsageError(f'no arguments expected: {argv[1:]}')
    task.react(play_all)


if __name__ == '__main__':
    sys.exit(app.run(main))
