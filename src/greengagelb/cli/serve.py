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
    """Return the settings that the flags name."""
    if not SETTINGS.value:
        raise errors.CommandError('write --settings=FILE')
    return settings.read_settings(pathlib.Path(SETTINGS.value))


def serve(words: list[str]) -> int:
    """Run one instance until it is asked to stop and nothing is in flight."""
    found = read_settings()
    # The reactor is installed by its import, so that happens only where one
    # is run.
    from twisted.internet import reactor  # noqa: PLC0415

    from greengagelb.coordination import events  # noqa: PLC0415
    from greengagelb.transport import instance  # noqa: PLC0415
    from greengagelb.transport import reactors  # noqa: PLC0415
    from greengagelb.transport import recorder  # noqa: PLC0415

    reactors.use_monotonic_clock(reactor)
    recorder.configure_logging()
    served_instance = instance.Instance(reactor, found)
    outcomes: list[int] = []

    def start() -> None:
        try:
            served_instance.start()
        except errors.CannotListen as exc:
            # Another process has the port. The loop would go on without it
            # and the instance would look alive while nobody reaches it.
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
