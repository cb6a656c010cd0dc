"""When the parts of a process's start were done, and what they took.

A start that takes long on a busy machine takes little processor time; one that
waits for something takes long in one part.
"""

import os
import pathlib
import time

OWN_STATUS = pathlib.Path('/proc/self/stat')
# The position of the start in the status, counted after the program's name,
# which may contain spaces. Linux: proc(5).
START_FIELD = 19


class StartTimes:
    """The parts of a start, by the time since the process began.

    ``began_at`` is a monotonic time in seconds.
    """

    def __init__(self) -> None:
        self.began_at = process_start()
        self.parts: list[str] = []

    def note(self, part: str) -> None:
        """Note that a part of the start is done."""
        elapsed = time.monotonic() - self.began_at
        self.parts.append(f'{part} {elapsed:.3f} s')

    def describe(self) -> str:
        """Return the parts and the processor time so far."""
        parts = ', '.join(self.parts)
        return f'{parts}; {time.process_time():.3f} s of processor time'


def process_start() -> float:
    """Return when this process began, by the monotonic clock.

    Where the system doesn't tell, the process counts as beginning now.
    """
    try:
        fields = OWN_STATUS.read_text('utf-8').rpartition(')')[2].split()
        ticks = int(fields[START_FIELD])
        since_boot = ticks / os.sysconf('SC_CLK_TCK')
        age = time.clock_gettime(time.CLOCK_BOOTTIME) - since_boot
    except (OSError, ValueError, IndexError):
        age = 0.0
    return time.monotonic() - max(0.0, age)
