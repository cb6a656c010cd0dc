"""What the system knows of processes."""

import pathlib

PROCESSES = pathlib.Path('/proc')


def children_of(pid: int) -> list[int]:
    """Return the processes that a process has started and not yet ended."""
    return [
        int(child)
        for task in (PROCESSES / str(pid) / 'task').iterdir()
        for child in (task / 'children').read_text().split()
    ]


def lives(pid: int) -> bool:
    """Return whether a process is still there."""
    return (PROCESSES / str(pid)).exists()
