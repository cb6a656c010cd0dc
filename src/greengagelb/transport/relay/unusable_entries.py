"""Tracks the entries of the store's lists that can't be used.

Other programs write to the store too. An unusable entry may stay for days and
is read repeatedly; a log line for each read would hide the other lines, so
each mistake is reported once.
"""

from collections.abc import Iterable
import dataclasses

# The longest name or reason in a log line. Other programs choose the names,
# which may have any length.
MAX_TEXT_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class UnusableEntry:
    """An entry that can't be used; ``name`` is empty if it has none."""

    name: str
    reason: str


class UnusableEntries:
    """The unusable entries of one list.

    ``reasons`` has the reason for each entry that is unusable now;
    ``reported_count`` counts all mistakes that were returned as new.
    """

    def __init__(self) -> None:
        self.reasons: dict[str, str] = {}
        self.reported_count = 0

    def replace_all(
        self, found: tuple[UnusableEntry, ...]
    ) -> list[UnusableEntry]:
        """Process a complete list; return the mistakes that are new."""
        found_names = {entry.name for entry in found}
        self.remove_entries(self.reasons.keys() - found_names)
        return self.add_changed(found)

    def add_changed(
        self, found: tuple[UnusableEntry, ...]
    ) -> list[UnusableEntry]:
        """Process changed entries; return the mistakes that are new."""
        new_mistakes = []
        for entry in found:
            reason = entry.reason[:MAX_TEXT_CHARACTERS]
            if self.reasons.get(entry.name) != reason:
                self.reasons[entry.name] = reason
                new_mistakes.append(
                    UnusableEntry(entry.name[:MAX_TEXT_CHARACTERS], reason)
                )
        self.reported_count += len(new_mistakes)
        return new_mistakes

    def remove_entries(self, names: Iterable[str]) -> None:
        """Remove entries that are usable now, or no longer exist."""
        for name in list(names):
            self.reasons.pop(name, None)
