"""Lists the blocks of requests and parts that crash engines, or lifts one.

    python3 -m greengagelb.platform blocks
    python3 -m greengagelb.platform lift FINGERPRINT

Reads the address of the store from the settings of an instance. A lift is
written to the store; the instance that reads for all applies it within ten
seconds and tells the others.
"""

import os
import pathlib
import sys
import time

from greengagelb import errors
from greengagelb import relay_settings
from greengagelb.platform import process
from greengagelb.platform import store
from greengagelb.state import crashes
from greengagelb.transport.relay import http_client

USAGE = 'usage: python3 -m greengagelb.platform [blocks | lift FINGERPRINT]'


def main(words: list[str]) -> int:
    """Run a command; return its exit code."""
    try:
        check_words(words)
        path = pathlib.Path(os.environ.get(process.SETTINGS_VARIABLE, ''))
        settings = process.read_settings(path)
        run(settings, words)
    except errors.GreengagelbError as exc:
        sys.stderr.write(f'greengagelb: {exc.code}: {exc}\n')
        return 2
    return 0


def check_words(words: list[str]) -> None:
    """Raise :class:`~greengagelb.errors.CommandError` for other words."""
    match words:
        case ['blocks'] | ['lift', _]:
            return
    raise errors.CommandError(USAGE)


def run(settings: relay_settings.RelaySettings, words: list[str]) -> None:
    """Run a command with its own event loop.

    Raises :class:`~greengagelb.errors.PlatformUnavailable`.
    """
    from twisted.internet import defer  # noqa: PLC0415
    from twisted.internet import reactor  # noqa: PLC0415

    pool = http_client.ConnectionPool(reactor)
    client = store.PlatformStore(pool, settings.store.address)
    failures = []

    @defer.inlineCallbacks
    def work() -> object:
        read = yield client.read_members()
        match words:
            case ['blocks']:
                sys.stdout.write(render(read.kept_crashes, time.time()))
            case ['lift', fingerprint]:
                lifted = lift(read.kept_crashes, fingerprint, time.time())
                yield client.write_crashes(lifted)
                sys.stdout.write(f'lifted: {fingerprint}\n')

    def start() -> None:
        done = work().addErrback(lambda why: failures.append(why.value))
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if failures:
        raise failures[0]


def render(
    kept: tuple[crashes.StoredCrashes, ...], wall_seconds: float
) -> str:
    """Return a line for each block, and one for each crash behind it."""
    lines = []
    for block in sorted(kept, key=lambda block: block.fingerprint):
        if block.lifted_at_ms is not None:
            lines.append(f'{block.fingerprint}  lifted')
            continue
        lines.append(f'{block.fingerprint}  {len(block.crashes)} crashes')
        for crash in block.crashes:
            age = wall_seconds - crash.ended_at_ms / 1000
            lines.append(
                f'  {crash.life}  {age:.0f} s ago, {crash.seconds:.3f} s '
                'after the run began'
            )
    return ''.join(f'{line}\n' for line in lines)


def lift(
    kept: tuple[crashes.StoredCrashes, ...],
    fingerprint: str,
    wall_seconds: float,
) -> crashes.StoredCrashes:
    """Return the entry that lifts a block.

    Raises :class:`~greengagelb.errors.CommandError` if there is no such block.
    """
    if fingerprint not in {block.fingerprint for block in kept}:
        raise errors.CommandError(f'no block is stored for {fingerprint}')
    return crashes.StoredCrashes(
        fingerprint, (), lifted_at_ms=round(wall_seconds * 1000)
    )
