"""Text tables with aligned columns."""

COLUMN_GAP = '  '


def render(rows: list[list[str]]) -> str:
    """Return rows of equal length as lines with aligned columns."""
    columns = zip(*rows, strict=True)
    widths = [max(len(cell) for cell in column) for column in columns]
    lines = []
    for row in rows:
        cells = [
            replace_unprintable(cell).ljust(width)
            for cell, width in zip(row, widths, strict=True)
        ]
        lines.append(COLUMN_GAP.join(cells).rstrip())
    return '\n'.join(lines) + '\n'


def replace_unprintable(cell: str) -> str:
    """Return a cell with unprintable characters replaced.

    Request ids come from callers. An escape sequence in one could otherwise
    change what the operator's terminal shows.
    """
    return ''.join(
        character if character.isprintable() else '?' for character in cell
    )
