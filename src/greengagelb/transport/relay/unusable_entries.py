"""Which entries of the store's lists can't be used, and what is new in that.

Other programs write there too. An entry of theirs may stay for days and is
read again and again, so that telling each mistake with each read would bury
the other lines of the log.
"""

from collections.abc import Iterable
import dataclasses

# The most that a line of the log has of a mistake, in characters: names in it
# are those of the other writer, and may be of any length.
MAX_TEXT_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class UnusableEntry:
    """An entry that can't be used; ``name`` is empty where it has none."""

    name: str
    reason: str


class UnusableEntries:
    """The unusable entries of one list.

    ``reasons`` has those that stand there now; ``told`` counts the mistakes
    that were ever returned as new.
    """

    def __init__(self) -> None:
        self.reasons: dict[str, str] = {}
        self.reported_count = 0

    def replace_all(
        self, found: tuple[UnusableEntry, ...]
    ) -> list[UnusableEntry]:
        """Take in a whole list; return the mistakes that are new."""
        found_names = {entry.name for entry in found}
        self.remove_entries(self.reasons.keys() - found_names)
        return self.add_changed(found)

    def add_changed(
        self, found: tuple[UnusableEntry, ...]
    ) -> list[UnusableEntry]:
        """Take in changed entries; return the mistakes that are new."""
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
        """Forget entries that can be used now, or are gone."""
        for name in list(names):
            self.reasons.pop(name, None)
