"""The output of ``--help``."""

from absl import flags

from greengagelb.cli import commands
from greengagelb.cli import exit_codes

HEADER = """greengagelb routes long generations to engines that fail, and calls
to plain services, for many client accounts.

usage: greengagelb COMMAND [ARGUMENTS] [--FLAG=VALUE]
       greengagelb COMMAND --help
       greengagelb --version
"""
EXIT_CODE_MEANINGS = {
    exit_codes.ExitCode.SUCCESS: 'done',
    exit_codes.ExitCode.FAILURE: 'failed; standard error tells why',
    exit_codes.ExitCode.USAGE: 'the command was not understood',
    exit_codes.ExitCode.BAD_SETTINGS: 'the settings file is wrong',
    exit_codes.ExitCode.UNREACHABLE: 'an instance gave no answer',
    exit_codes.ExitCode.CONFLICT: 'another operator was first; plan again',
    exit_codes.ExitCode.REFUSED: 'an instance answered and said no',
    exit_codes.ExitCode.UNSETTLED: 'it may or may not have taken effect',
    exit_codes.ExitCode.NEEDS_START: 'some settings need a new start',
    exit_codes.ExitCode.DIFFERENT: 'instances differ in what is in force',
    exit_codes.ExitCode.NOTHING_FOUND: 'no instance answered',
}


def render_overview() -> str:
    """Return the help for the whole program."""
    width = max(len(command.name) for command in commands.COMMANDS)
    lines = [HEADER, 'commands:']
    lines += [
        f'  {command.name.ljust(width)}  {command.summary}'
        for command in commands.COMMANDS
    ]
    lines += ['', 'exit codes:']
    lines += [
        f'  {code.value}  {meaning}'
        for code, meaning in EXIT_CODE_MEANINGS.items()
    ]
    return '\n'.join(lines) + '\n'


def render_command_help(command: commands.Command) -> str:
    """Return the help for one command."""
    lines = [
        f'usage: greengagelb {command.name} {command.arguments}'.rstrip(),
        '',
        command.summary,
    ]
    if command.details:
        lines += ['', command.details]
    if command.flags:
        lines += ['', 'flags:']
    for name in command.flags:
        flag = flags.FLAGS[name]
        lines.append(f'  --{name}')
        lines.append(f'      {flag.help}')
        if flag.default not in (None, '', []):
            lines.append(f'      default: {flag.default}')
    return '\n'.join(lines) + '\n'
