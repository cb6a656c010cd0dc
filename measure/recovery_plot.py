"""Plots the two measures against each other, one mark for each policy.

    .venv/bin/python -m measure.recovery_plot < lines.jsonl > recovery.svg

Time until a stream goes on runs to the right, on a logarithmic axis; engine
steps beyond a run without failures run upwards. Left and low is better. SVG
is written by hand: no plotting library has to be locked for one picture.
"""

import dataclasses
import json
import math
import sys
from typing import Any

WIDTH = 760
HEIGHT = 420
LEFT, RIGHT, TOP, BOTTOM = 70, 230, 30, 50
LEAST_SECONDS = 0.02
MOST_SECONDS = 5.0
MOST_EXTRA = 0.18
SECONDS_TICKS = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
EXTRA_TICKS = (0.0, 0.05, 0.1, 0.15)
TARGET_SECONDS = 2.0
COLOURS = {
    'latency-first': '#1b9e77',
    'default': '#7570b3',
    'resources-first': '#d95f02',
    'fixed-timeout': '#666666',
    'restart-from-scratch': '#e7298a',
}
LETTERS = {'kill': 'K', 'freeze': 'F', 'silence': 'S'}


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """One policy under one failure; seconds and a share of engine steps."""

    policy: str
    failure: str
    seconds: float
    extra: float


def mark_of(line: dict[str, Any]) -> Mark | None:
    """Return the mark of a line, or None where no stream was hit."""
    if line['latency_p50'] is None:
        return None
    extra = max(0.0, line['extra_steps'])
    return Mark(line['policy'], line['failure'], line['latency_p50'], extra)


def across(seconds: float) -> float:
    """Return the horizontal place of a time, in pixels."""
    whole = math.log(MOST_SECONDS / LEAST_SECONDS)
    share = math.log(max(seconds, LEAST_SECONDS) / LEAST_SECONDS) / whole
    return LEFT + share * (WIDTH - LEFT - RIGHT)


def upwards(extra: float) -> float:
    """Return the vertical place of a share, in pixels."""
    return HEIGHT - BOTTOM - extra / MOST_EXTRA * (HEIGHT - TOP - BOTTOM)


def text(x: float, y: float, words: str, anchor: str = 'middle') -> str:
    """Return some words at a place."""
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">{words}</text>'
    )


def line(x1: float, y1: float, x2: float, y2: float, colour: str) -> str:
    """Return a straight line."""
    ends = f'x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}"'
    return f'<line {ends} stroke="{colour}"/>'


def axes() -> list[str]:
    """Return the axes, their ticks and the target of the users."""
    base = upwards(0.0)
    found = [
        line(LEFT, base, WIDTH - RIGHT, base, 'black'),
        line(LEFT, base, LEFT, TOP, 'black'),
        text((LEFT + WIDTH - RIGHT) / 2, HEIGHT - 8, 'resumed after, p50 (s)'),
        text(LEFT, TOP - 12, 'extra engine steps', 'start'),
    ]
    for seconds in SECONDS_TICKS:
        x = across(seconds)
        found.append(line(x, base, x, base + 5, 'black'))
        found.append(text(x, base + 20, f'{seconds:g}'))
    for extra in EXTRA_TICKS:
        y = upwards(extra)
        found.append(line(LEFT - 5, y, LEFT, y, 'black'))
        found.append(text(LEFT - 9, y + 4, f'{100 * extra:.0f}%', 'end'))
    x = across(TARGET_SECONDS)
    found.append(line(x, base, x, TOP, '#bbbbbb'))
    found.append(text(x, TOP - 4, 'to go on by'))
    return found


def legend() -> list[str]:
    """Return what the colours and letters mean."""
    x = WIDTH - RIGHT + 24
    found = []
    for number, (policy, colour) in enumerate(COLOURS.items()):
        y = TOP + 20 + 22 * number
        found.append(f'<circle cx="{x}" cy="{y - 4}" r="6" fill="{colour}"/>')
        found.append(text(x + 14, y, policy, 'start'))
    for number, (failure, letter) in enumerate(LETTERS.items()):
        y = TOP + 150 + 22 * number
        found.append(text(x + 14, y, f'{letter}: {failure}', 'start'))
    return found


def drawn(mark: Mark) -> str:
    """Return a mark with its letter."""
    x, y = across(mark.seconds), upwards(mark.extra)
    colour = COLOURS[mark.policy]
    letter = text(x, y - 11, LETTERS[mark.failure])
    return f'<circle cx="{x:.1f}" cy="{y:.1f}" r="6" fill="{colour}"/>{letter}'


def main() -> None:
    """Read lines and write the picture."""
    lines = [json.loads(raw) for raw in sys.stdin]
    marks = [mark for found in lines if (mark := mark_of(found))]
    parts = [*axes(), *legend(), *(drawn(mark) for mark in marks)]
    style = 'font-family="sans-serif" font-size="12"'
    size = f'width="{WIDTH}" height="{HEIGHT}"'
    names = 'xmlns="http://www.w3.org/2000/svg"'
    print(f'<svg {names} {size} {style}>')
    print(f'<rect {size} fill="white"/>')
    print('\n'.join(parts))
    print('</svg>')


if __name__ == '__main__':
    main()
