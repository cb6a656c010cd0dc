"""The subcommand that runs a stand-in for an external system."""

from absl import flags

from greengagelb import errors
from greengagelb.cli import exit_codes

HOST = flags.DEFINE_string('host', '127.0.0.1', 'IP number to listen on.')
PORT = flags.DEFINE_integer('port', 0, 'Port to listen on.')
NAME = flags.DEFINE_string('name', 'stand-in', 'Name of the stand-in.')
MODEL = flags.DEFINE_string('model', 'm', 'Model of an engine.')
VERSION = flags.DEFINE_string('model_version', '1', 'Its version.')
STEP = flags.DEFINE_float('step_seconds', 0.004, 'Time of an engine step.')
SAMPLED = flags.DEFINE_boolean('sampled', False, 'Draw tokens at random.')


def stand_in(words: list[str]) -> int:
    """Run a stand-in until it is killed."""
    from twisted.internet import reactor  # noqa: PLC0415
    from twisted.internet import task  # noqa: PLC0415
    from twisted.web import server  # noqa: PLC0415

    from greengagelb.standins import engine  # noqa: PLC0415
    from greengagelb.standins import platform  # noqa: PLC0415
    from greengagelb.standins import service  # noqa: PLC0415

    match words:
        case ['engine']:
            running = engine.EngineStandIn(
                reactor,
                NAME.value,
                MODEL.value,
                VERSION.value,
                STEP.value,
                sampled=SAMPLED.value,
            )
            task.LoopingCall(running.step).start(STEP.value)
        case ['service']:
            running = service.ServiceStandIn(reactor, NAME.value)
        case ['platform']:
            running = platform.PlatformStandIn(reactor)
        case _:
            raise errors.CommandError(
                'stand-in: write engine, service or platform'
            )
    site = server.Site(running.app.resource())
    reactor.listenTCP(PORT.value, site, interface=HOST.value)
    reactor.run()
    return exit_codes.ExitCode.SUCCESS
