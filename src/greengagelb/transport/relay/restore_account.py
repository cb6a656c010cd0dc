"""Tells what was read and written after the store came back from a copy."""

import collections

# After so many seconds it is told what was read and written again.
TOLD_AFTER_SECONDS = 5.0


class RestoreAccount:
    """What one instance has done in the store's present era.

    ``done`` counts the rows by what was done with them. Nothing is counted
    before the store has come back from a copy.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.done: collections.Counter[str] = collections.Counter()

    def begin(self, era: int) -> None:
        """Count from now on for another era."""
        self.era = era
        self.done.clear()

    def count(self, what: str, rows: int = 1) -> None:
        """Count rows that were read or written."""
        if self.era is not None:
            self.done[what] += rows

    def tell(self, era: int) -> str | None:
        """Return what was done in an era, and count no more.

        None if another one has begun since.
        """
        if era != self.era:
            return None
        self.era = None
        parts = [f'{what} {rows}' for what, rows in sorted(self.done.items())]
        return f'era {era}: ' + (', '.join(parts) or 'nothing')
