"""The subcommand that checks a settings file, of whichever kind it is."""

from collections.abc import Callable
import dataclasses
import pathlib
import sys

from greengagelb import errors
from greengagelb import relay_settings
from greengagelb import settings
from greengagelb.cli import exit_codes
from greengagelb.cli import serve

Found = settings.Settings | relay_settings.RelaySettings


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of settings file, and the ``program`` that starts with it."""

    program: str
    sections: settings.Sections
    read: Callable[[pathlib.Path], Found]


KINDS = (
    Kind(
        'greengagelb serve',
        settings.SECTIONS,
        settings.read_settings,
    ),
    Kind(
        'python3 -m greengagelb.platform',
        relay_settings.SECTIONS,
        relay_settings.read_relay_settings,
    ),
)
DETAILS = (
    'It takes both kinds of settings, and tells by the sections which one a '
    'file is:\n'
    '  greengagelb serve                [platform] [secrets] [peers]\n'
    '  python3 -m greengagelb.platform  [store] [retries] [engines] [stop]\n'
    'The first mistake is told with section, key and what to write instead.'
)


def check_config(words: list[str]) -> int:
    """Read a settings file and say that it is good."""
    if not serve.SETTINGS.value:
        raise errors.CommandError('write --settings=FILE')
    path = pathlib.Path(serve.SETTINGS.value)
    kind = kind_of(path)
    name = kind.read(path).instance.name
    sys.stdout.write(f'settings of {name} are valid for {kind.program}\n')
    return exit_codes.ExitCode.SUCCESS


def kind_of(path: pathlib.Path) -> Kind:
    """Return the kind that most sections of a file belong to.

    A section that is misspelt or of the other kind is then told as unknown
    beside those of the kind that its writer meant.
    """
    given = settings.parse_file(path).sections()
    return max(
        KINDS, key=lambda kind: sum(name in kind.sections for name in given)
    )
