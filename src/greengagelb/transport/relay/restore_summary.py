"""Tells what was read and written after the store came back from a copy."""

import collections

# After so many seconds it is told what was read and written again.
SUMMARY_DELAY_SECONDS = 5.0


class RestoreSummary:
    """What one instance has done in the store's present era.

    ``done`` counts the rows by what was done with them. Nothing is counted
    before the store has come back from a copy.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.row_counts: collections.Counter[str] = collections.Counter()

    def start_era(self, era: int) -> None:
        """Count from now on for another era."""
        self.era = era
        self.row_counts.clear()

    def add_rows(self, operation: str, rows: int = 1) -> None:
        """Count rows that were read or written."""
        if self.era is not None:
            self.row_counts[operation] += rows

    def take_summary(self, era: int) -> str | None:
        """Return what was done in an era, and count no more.

        None if another one has begun since.
        """
        if era != self.era:
            return None
        self.era = None
        parts = [
            f'{operation} {rows}'
            for operation, rows in sorted(self.row_counts.items())
        ]
        return f'era {era}: ' + (', '.join(parts) or 'nothing')
