"""The subcommand that runs an instance."""

import pathlib
import signal
import sys

from absl import flags

from greengagelb import errors
from greengagelb import settings
from greengagelb.cli import exit_codes

SETTINGS = flags.DEFINE_string('settings', None, 'INI file of the instance.')


def read_settings() -> settings.Settings:
    """Return the settings in the file that the flag names."""
    if not SETTINGS.value:
        raise errors.CommandError('write --settings=FILE')
    return settings.read_settings(pathlib.Path(SETTINGS.value))


def serve(words: list[str]) -> int:
    """Run an instance until a stop is requested and nothing is in flight."""
    found = read_settings()
    # Importing the reactor installs it, so only commands that run one do so.
    from twisted.internet import reactor  # noqa: PLC0415

    from greengagelb.coordination import events  # noqa: PLC0415
    from greengagelb.transport import instance  # noqa: PLC0415
    from greengagelb.transport import reactors  # noqa: PLC0415
    from greengagelb.transport import recorder  # noqa: PLC0415

    reactors.use_monotonic_clock(reactor)
    reactors.read_before_timers(reactor)
    reactors.distinguish_resets(reactor)
    recorder.configure_logging()
    served_instance = instance.Instance(reactor, found)
    outcomes: list[int] = []

    def start() -> None:
        try:
            served_instance.start()
        except errors.CannotListen as exc:
            # Another process uses the port. Without stopping the reactor, the
            # process would go on running although nobody can reach it.
            sys.stderr.write(f'greengagelb: {exc.code}: {exc}\n')
            outcomes.append(exit_codes.ExitCode.FAILURE)
            reactor.stop()

    reactor.callWhenRunning(start)
    served_instance.stopped.addCallback(lambda _: reactor.stop())

    def stop(number: int, frame: object) -> None:
        reactor.callFromThread(
            served_instance.dispatch, events.StopRequested()
        )

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    reactor.run(installSignalHandlers=False)
    return outcomes[0] if outcomes else exit_codes.ExitCode.SUCCESS
