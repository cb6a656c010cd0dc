"""The subcommand that checks a settings file of either program."""

from collections.abc import Callable
import dataclasses
import pathlib
import sys

from absl import flags

from greengagelb import errors
from greengagelb import relay_settings
from greengagelb import settings
from greengagelb import settings_changes
from greengagelb.cli import exit_codes
from greengagelb.cli import serve
from greengagelb.cli import tables

AnySettings = settings.Settings | relay_settings.RelaySettings


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsKind:
    """One kind of settings file, and the ``program`` that starts with it."""

    program: str
    sections: settings.Sections
    read: Callable[[pathlib.Path], AnySettings]
    effects: settings_changes.Effects


SETTINGS_KINDS = (
    SettingsKind(
        'greengagelb serve',
        settings.SECTIONS,
        settings.read_settings,
        settings_changes.SERVE_EFFECTS,
    ),
    SettingsKind(
        'python3 -m greengagelb.platform',
        relay_settings.SECTIONS,
        relay_settings.read_relay_settings,
        settings_changes.RELAY_EFFECTS,
    ),
)
DETAILS = (
    'It takes both kinds of settings, and tells by the sections which one a '
    'file is:\n'
    '  greengagelb serve                [platform] [secrets] [peers]\n'
    '  python3 -m greengagelb.platform  [store] [retries] [engines] [stop]\n'
    'The first mistake is told with section, key and what to write instead.\n'
    'With --against=OLD it tells what differs from the settings that a '
    'process runs\nwith, and when that takes effect. It ends with 8 if a new '
    'start is needed.'
)
AGAINST = flags.DEFINE_string(
    'against', None, 'Settings file that a process runs with now.'
)


def check_config(words: list[str]) -> int:
    """Validate a settings file, and print what it changes."""
    if not serve.SETTINGS.value:
        raise errors.CommandError('write --settings=FILE')
    path = pathlib.Path(serve.SETTINGS.value)
    kind = detect_kind(path)
    new = kind.read(path)
    name = new.instance.name
    sys.stdout.write(f'settings of {name} are valid for {kind.program}\n')
    if not AGAINST.value:
        return exit_codes.ExitCode.SUCCESS
    return print_changes(kind, pathlib.Path(AGAINST.value), new)


def print_changes(
    kind: SettingsKind, path: pathlib.Path, new: AnySettings
) -> exit_codes.ExitCode:
    """Print the changes since another file, and when they take effect."""
    if detect_kind(path) is not kind:
        raise errors.CommandError(
            f'{path} is of another kind; compare settings of one program'
        )
    old = kind.read(path)
    changes = settings_changes.changes_between(old, new, kind.effects)
    if not changes:
        sys.stdout.write(f'nothing differs from {path}\n')
        return exit_codes.ExitCode.SUCCESS
    rows = [['section', 'key', 'old', 'new', 'takes effect', 'then']]
    rows += [
        [c.section, c.key, c.old, c.new, c.effect.value, c.meaning]
        for c in changes
    ]
    sys.stdout.write(tables.render(rows))
    restart_changes = [
        c for c in changes if c.effect is settings_changes.Effect.START
    ]
    if restart_changes:
        return exit_codes.ExitCode.NEEDS_START
    return exit_codes.ExitCode.SUCCESS


def detect_kind(path: pathlib.Path) -> SettingsKind:
    """Return the kind that most sections of a file belong to.

    A section that is misspelt or belongs to the other kind is then reported as
    unknown, together with the sections of the kind that the file is meant for.
    """
    given = settings.parse_file(path).sections()
    return max(
        SETTINGS_KINDS,
        key=lambda kind: sum(name in kind.sections for name in given),
    )
