"""Runs one instance on the platform, from reading its settings to its exit.

Imports only what serving needs. The modules of the other commands would add
half as much memory again, on machines that are paid for by memory.
"""

import gc
import os
import pathlib
import signal
import sys

from greengagelb import errors
from greengagelb import relay_settings
from greengagelb.platform import store
from greengagelb.platform import wire
from greengagelb.transport import bounded_log
from greengagelb.transport import reactors
from greengagelb.transport import settings_file
from greengagelb.transport import start_times

SETTINGS_VARIABLE = 'GREENGAGELB_SETTINGS'
LOG_FLUSH_INTERVAL_SECONDS = 0.5
# The platform sends a signal when the file has changed, but not always.
SETTINGS_POLL_INTERVAL_SECONDS = 1.0

read_settings = relay_settings.read_relay_settings


def main() -> int:
    """Run until a stop is requested and no request is in flight."""
    times = start_times.StartTimes()
    times.note('first imports')
    try:
        path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
        settings = read_settings(path)
    except errors.SettingsError as exc:
        sys.stderr.write(f'greengagelb: {exc.code}: {exc}\n')
        return 2
    return run(settings, path, times)


def run(
    settings: relay_settings.RelaySettings,
    path: pathlib.Path,
    times: start_times.StartTimes,
) -> int:
    """Run an instance with valid settings that were read from ``path``."""
    # Importing the reactor installs it; the modules imported below rely on an
    # installed reactor.
    from twisted.internet import reactor  # noqa: PLC0415

    from greengagelb.transport import recorder  # noqa: PLC0415
    from greengagelb.transport.relay import instance  # noqa: PLC0415
    from greengagelb.transport.relay import process_start  # noqa: PLC0415

    # Excludes the imported objects from garbage collection from here on.
    gc.freeze()
    gc.enable()
    times.note('imports')
    reactors.use_monotonic_clock(reactor)
    reactors.read_before_timers(reactor)
    reactors.distinguish_resets(reactor)
    log = bounded_log.BoundedLog(sys.stdout.fileno(), reactor.seconds)
    recorder.configure_logging(log)
    relay_instance = instance.RelayInstance(
        reactor,
        settings,
        wire.PlatformDialect(),
        lambda pool: store.PlatformStore(pool, settings.store.address),
        times,
    )
    relay_instance.loop.call_periodically(
        LOG_FLUSH_INTERVAL_SECONDS, log.flush
    )
    relay_instance.stopped.addCallback(lambda _: reactor.stop())
    starter = process_start.InstanceStarter(reactor, relay_instance)
    reactor.callWhenRunning(starter.start)
    watched_file = settings_file.WatchedFile(
        path, lambda: relay_instance.reload(lambda: read_settings(path))
    )
    relay_instance.loop.call_periodically(
        SETTINGS_POLL_INTERVAL_SECONDS, watched_file.check_for_change
    )
    # A busy loop runs the call late; the grace period starts at the signal.
    signal.signal(
        signal.SIGTERM,
        lambda *_: reactor.callFromThread(
            relay_instance.stop, relay_instance.earliest_signal_at()
        ),
    )
    signal.signal(
        signal.SIGHUP,
        lambda *_: reactor.callFromThread(watched_file.handle_change_notice),
    )
    reactor.run(installSignalHandlers=False)
    return 1 if starter.has_failed else 0
