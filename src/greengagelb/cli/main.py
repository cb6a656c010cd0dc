"""Entry point of the ``greengagelb`` program: selects the subcommand."""

import importlib.metadata
import sys

from absl import app
from absl import flags

from greengagelb import errors
from greengagelb.cli import commands
from greengagelb.cli import exit_codes
from greengagelb.cli import help_texts

HELP_ARGUMENTS = {'--help', '-h', '--helpfull', '--helpshort', 'help'}


def main(arguments: list[str]) -> int:
    """Run the subcommand that the arguments name."""
    try:
        command, words = select_command(arguments[1:])
        check_flags(command)
        return int(command.run(words))
    except errors.GreengagelbError as exc:
        sys.stderr.write(f'greengagelb: {exc.code}: {exc}\n')
        return int(exit_code_of(exc))


def select_command(words: list[str]) -> tuple[commands.Command, list[str]]:
    """Return the command that is named, and its positional arguments."""
    if not words:
        raise errors.CommandError('write a command; see greengagelb --help')
    command = commands.find_command(words[0])
    if command is None:
        raise errors.CommandError(
            f'unknown command {words[0]}; see greengagelb --help'
        )
    if len(words) - 1 > command.max_words:
        raise errors.CommandError(
            f'{command.name}: {words[command.max_words + 1]} is one word too '
            f'many; see greengagelb {command.name} --help'
        )
    return command, words[1:]


def check_flags(command: commands.Command) -> None:
    """Raise if a flag of another command is given."""
    known = {name for c in commands.COMMANDS for name in c.flags}
    for name in sorted(known - set(command.flags)):
        if flags.FLAGS[name].present:
            raise errors.CommandError(
                f'{command.name} has no flag --{name}; '
                f'see greengagelb {command.name} --help'
            )


def exit_code_of(error: errors.GreengagelbError) -> exit_codes.ExitCode:
    """Return the exit code that stands for an error."""
    match error:
        case errors.SettingsError():
            return exit_codes.ExitCode.BAD_SETTINGS
        case errors.CommandError():
            return exit_codes.ExitCode.USAGE
        case errors.InstanceUnreachable():
            return exit_codes.ExitCode.UNREACHABLE
        case errors.InstanceRefused(reason=errors.VersionConflict.code):
            return exit_codes.ExitCode.CONFLICT
        case errors.InstanceRefused(reason=errors.ConfirmUnsettled.code):
            return exit_codes.ExitCode.UNSETTLED
        case errors.InstanceRefused():
            return exit_codes.ExitCode.REFUSED
    return exit_codes.ExitCode.FAILURE


def run() -> None:
    """Run the program."""
    app.run(main, flags_parser=parse_flags)


def parse_flags(arguments: list[str]) -> list[str]:
    """Return the positional arguments; print help or the version and exit."""
    if '--version' in arguments[1:]:
        version = importlib.metadata.version('greengagelb')
        sys.stdout.write(f'greengagelb {version}\n')
        sys.exit(exit_codes.ExitCode.SUCCESS)
    if HELP_ARGUMENTS & set(arguments[1:]):
        sys.stdout.write(select_help(arguments[1:]))
        sys.exit(exit_codes.ExitCode.SUCCESS)
    try:
        return flags.FLAGS(arguments)
    except flags.Error as exc:
        sys.stderr.write(
            f'greengagelb: bad-command: {exc}; see greengagelb --help\n'
        )
        sys.exit(exit_codes.ExitCode.USAGE)


def select_help(arguments: list[str]) -> str:
    """Return the help for the command in the arguments, or the overview."""
    for word in arguments:
        command = commands.find_command(word)
        if command is not None:
            return help_texts.render_command_help(command)
    return help_texts.render_overview()
