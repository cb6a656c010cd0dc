"""What a changed settings file does to a process that runs with it.

Which settings need a new start is known here only: a reload, its log line and
``check-config --against`` all ask this module.
"""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Any
from typing import TypeVar
import zlib

T = TypeVar('T')

# Stands in place of a value that nobody is to see.
HIDDEN = '(hidden)'


class Effect(enum.Enum):
    """When a changed section takes effect."""

    RELOAD = 'on a reload'
    START = 'at the next start'


@dataclasses.dataclass(frozen=True, slots=True)
class SectionEffect:
    """When a changed section takes effect, and what it does then.

    Where it ``is_secret`` no value is shown.
    """

    effect: Effect
    meaning: str
    is_secret: bool = False


Effects = Mapping[str, SectionEffect]

AT_THE_START = 'nothing until then; no request under way is touched'
RELAY_EFFECTS: Effects = {
    'instance': SectionEffect(Effect.START, AT_THE_START),
    'store': SectionEffect(
        Effect.RELOAD,
        'the store is read at the new address; requests are not touched',
    ),
    'retries': SectionEffect(
        Effect.RELOAD, 'holds for repeats from then on, not for those made'
    ),
    'engines': SectionEffect(
        Effect.RELOAD, 'holds for engines that end from then on'
    ),
    'stop': SectionEffect(
        Effect.RELOAD, 'holds for a stop that is asked for after it'
    ),
}
SERVE_EFFECTS: Effects = {
    'instance': SectionEffect(Effect.START, AT_THE_START),
    'platform': SectionEffect(Effect.START, AT_THE_START),
    'secrets': SectionEffect(Effect.START, AT_THE_START, is_secret=True),
    'peers': SectionEffect(Effect.START, AT_THE_START),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One setting that differs; values are as a person reads them."""

    section: str
    key: str
    old: str
    new: str
    effect: Effect
    meaning: str

    def __str__(self) -> str:
        """Return the change as a log line tells it."""
        return f'[{self.section}] {self.key} {self.old} -> {self.new}'


def changes_between(old: Any, new: Any, effects: Effects) -> list[Change]:
    """Return the settings that differ, in the order of the sections."""
    found: list[Change] = []
    for section, known in effects.items():
        before, after = getattr(old, section), getattr(new, section)
        for field in dataclasses.fields(before):
            was = getattr(before, field.name)
            will_be = getattr(after, field.name)
            if was == will_be:
                continue
            change = Change(
                section,
                field.name,
                shown(was, known),
                shown(will_be, known),
                known.effect,
                known.meaning,
            )
            found.append(change)
    return found


def reloaded(old: T, new: T, effects: Effects) -> T:
    """Return the settings in force after a reload."""
    kept = {
        section: getattr(old, section)
        for section, known in effects.items()
        if known.effect is Effect.START
    }
    return dataclasses.replace(new, **kept)  # type: ignore[type-var]


def digest(settings: Any, effects: Effects) -> int:
    """Return a number that differs where instances of a fleet differ.

    Who and where an instance is differs by design, and secrets are left out,
    as nobody is to learn of them from a page.
    """
    shared = [
        f'{section} {getattr(settings, section)}'
        for section, known in effects.items()
        if section != 'instance' and not known.is_secret
    ]
    return zlib.crc32('\n'.join(shared).encode())


def summary(changes: list[Change]) -> str:
    """Return what a reload did, and what needs a new start, as one line."""
    applied = [str(c) for c in changes if c.effect is Effect.RELOAD]
    waiting = [str(c) for c in changes if c.effect is Effect.START]
    parts = []
    if applied:
        parts.append('in force: ' + ', '.join(applied))
    if waiting:
        parts.append('needs a new start: ' + ', '.join(waiting))
    return '; '.join(parts) or 'nothing differs'


def shown(value: Any, section: SectionEffect) -> str:
    """Return a value as a person reads it."""
    if section.is_secret:
        return HIDDEN
    if isinstance(value, tuple):
        return ', '.join(map(str, value)) or '(none)'
    return str(value)
