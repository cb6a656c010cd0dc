"""Summary of reads and writes after the store was restored from a copy."""

import collections

# How long after a restore the summary is recorded.
SUMMARY_DELAY_SECONDS = 5.0


class RestoreSummary:
    """Counts the rows that were read and written since a restore.

    ``row_counts`` has the number of rows by operation. Nothing is counted
    until the store has been restored from a copy.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self.row_counts: collections.Counter[str] = collections.Counter()

    def start_era(self, era: int) -> None:
        """Start to count for a new era."""
        self.era = era
        self.row_counts.clear()

    def add_rows(self, operation: str, rows: int = 1) -> None:
        """Add rows that were read or written."""
        if self.era is not None:
            self.row_counts[operation] += rows

    def take_summary(self, era: int) -> str | None:
        """Return the summary of an era, and stop counting.

        None if another era has started since.
        """
        if era != self.era:
            return None
        self.era = None
        parts = [
            f'{operation} {rows}'
            for operation, rows in sorted(self.row_counts.items())
        ]
        return f'era {era}: ' + (', '.join(parts) or 'nothing')
