"""Writes log lines without ever waiting for whoever reads them.

A reader that stops reading fills the pipe, and a plain write would then hold
up the whole process, with all its callers. Lines that find no room are left
out and counted; the count is written as soon as there is room again.
"""

from collections.abc import Callable
import json
import os

MOST_WAITING_BYTES = 256 * 1024
# Lines a second that are written for long, and how many may come at once.
# Beyond that a burst of failures would spend the processor on its own report.
LINES_PER_SECOND = 200.0
MOST_LINES_AT_ONCE = 2_000.0
# The count of lines that were left out is written this often at the most.
TELL_SECONDS = 1.0


class BoundedLog:
    """A stream for log lines; ``flush`` is to be called now and then.

    Invariant: at most ``MOST_WAITING_BYTES`` wait to be written.
    """

    def __init__(self, descriptor: int, seconds: Callable[[], float]) -> None:
        self.descriptor = descriptor
        self.seconds = seconds
        self.waiting = bytearray()
        self.allowed = MOST_LINES_AT_ONCE
        self.filled_at = seconds()
        self.dropped = 0
        self.dropped_in_all = 0
        self.tell_at = float('-inf')
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or leave it out."""
        if text == '\n':
            return
        raw = text.rstrip('\n').encode('utf-8', 'replace') + b'\n'
        if not self.may_write(len(raw)):
            self.dropped += 1
            self.dropped_in_all += 1
            return
        if self.dropped and self.filled_at >= self.tell_at:
            self.tell_dropped()
        self.waiting += raw
        self.flush()

    def may_write(self, size: int) -> bool:
        """Return whether a line of that size is let through now."""
        now = self.seconds()
        came = (now - self.filled_at) * LINES_PER_SECOND
        self.allowed = min(MOST_LINES_AT_ONCE, self.allowed + came)
        self.filled_at = now
        if self.allowed < 1.0:
            return False
        if len(self.waiting) + size > MOST_WAITING_BYTES:
            return False
        self.allowed -= 1.0
        return True

    def tell_dropped(self) -> None:
        """Add a line that says how many were left out."""
        line = {'event': 'log-lines-dropped', 'count': self.dropped}
        self.dropped = 0
        self.tell_at = self.filled_at + TELL_SECONDS
        self.waiting += json.dumps(line).encode() + b'\n'

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.waiting:
            try:
                written = os.write(self.descriptor, self.waiting)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone. What nobody reads need not be kept.
                self.dropped_in_all += self.waiting.count(b'\n')
                self.waiting.clear()
                return
            del self.waiting[:written]
