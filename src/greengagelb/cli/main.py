"""Entry point of the ``greengagelb`` program: picks the subcommand."""

import sys

from absl import app
from absl import flags

from greengagelb import errors
from greengagelb.cli import exit_codes
from greengagelb.cli import serve
from greengagelb.cli import standin

COMMANDS = {
    'serve': serve.serve,
    'check-config': serve.check_config,
    'stand-in': standin.stand_in,
}

USAGE = """greengagelb COMMAND [ARGUMENTS] [FLAGS]

Commands:
  serve --settings FILE         run one instance
  check-config --settings FILE  read a settings file and tell what is wrong
  stand-in engine|service|platform --port N
                                run a replacement of an outside system (tests)

Exit codes: 0 success, 1 failure, 2 usage, 3 bad settings, 4 unreachable,
5 conflict.
"""


def main(arguments: list[str]) -> int:
    """Run the subcommand that the arguments name."""
    words = arguments[1:]
    if not words or words[0] not in COMMANDS:
        sys.stderr.write(USAGE)
        return exit_codes.USAGE
    try:
        return COMMANDS[words[0]](words[1:])
    except errors.SettingsError as exc:
        sys.stderr.write(f'{exc.code}: {exc}\n')
        return exit_codes.BAD_SETTINGS


def run() -> None:
    """Run the program."""
    app.run(main, flags_parser=parse_flags)


def parse_flags(arguments: list[str]) -> list[str]:
    """Return the arguments that are no flags."""
    try:
        return flags.FLAGS(arguments)
    except flags.Error as exc:
        sys.stderr.write(f'{exc}\n\n{USAGE}')
        sys.exit(exit_codes.USAGE)
