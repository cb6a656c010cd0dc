"""Turns the lines of measure.recovery into the table of its page.

.venv/bin/python -m measure.recovery_page < lines.jsonl
"""

import json
import sys
from typing import Any

HEADER = (
    '| failure | policy | streams hit | resumed after, p50 | p95 | '
    'extra engine steps | extra prompt tokens | whole answers |',
    '| --- | --- | --- | --- | --- | --- | --- | --- |',
)


def seconds(value: float | None) -> str:
    """Return a time as text; a dash where none was measured."""
    return '-' if value is None else f'{value:.3f} s'


def row(line: dict[str, Any]) -> str:
    """Return one line's row."""
    cells = [
        line['failure'],
        line['policy'],
        str(line['streams_hit']),
        seconds(line['latency_p50']),
        seconds(line['latency_p95']),
        f'{100 * line["extra_steps"]:.2f}%',
        f'{100 * line["extra_prompt_tokens"]:.1f}%',
        line['right_answers'],
    ]
    return f'| {" | ".join(cells)} |'


def main() -> None:
    """Print the table."""
    print('\n'.join(HEADER))
    for text in sys.stdin:
        print(row(json.loads(text)))


if __name__ == '__main__':
    main()
