"""Writes log lines without ever waiting for whoever reads them.

A reader that stops reading fills the pipe, and a plain write would then hold
up the whole process, with all its callers. Lines that find no room are left
out and counted; the count is written as soon as there is room again.
"""

from collections.abc import Callable
import json
import os

MAX_PENDING_BYTES = 256 * 1024
# Lines a second that are written for long, and how many may come at once.
# Beyond that a burst of failures would spend the processor on its own report.
LINES_PER_SECOND = 200.0
MAX_BURST_LINES = 2_000.0
# The count of lines that were left out is written this often at the most.
DROP_REPORT_INTERVAL_SECONDS = 1.0


class BoundedLog:
    """A stream for log lines; ``flush`` is to be called now and then.

    Invariant: at most ``MOST_WAITING_BYTES`` wait to be written.
    """

    def __init__(self, descriptor: int, seconds: Callable[[], float]) -> None:
        self.descriptor = descriptor
        self.seconds = seconds
        self.pending = bytearray()
        self.line_tokens = MAX_BURST_LINES
        self.refilled_at = seconds()
        self.unreported_drops = 0
        self.total_dropped = 0
        self.next_drop_report_at = float('-inf')
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or leave it out."""
        if text == '\n':
            return
        raw = text.rstrip('\n').encode('utf-8', 'replace') + b'\n'
        if not self.take_line_token(len(raw)):
            self.unreported_drops += 1
            self.total_dropped += 1
            return
        if (
            self.unreported_drops
            and self.refilled_at >= self.next_drop_report_at
        ):
            self.report_dropped_lines()
        self.pending += raw
        self.flush()

    def take_line_token(self, size: int) -> bool:
        """Return whether a line of that size is let through now."""
        now = self.seconds()
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.line_tokens = min(MAX_BURST_LINES, self.line_tokens + refill)
        self.refilled_at = now
        if self.line_tokens < 1.0:
            return False
        if len(self.pending) + size > MAX_PENDING_BYTES:
            return False
        self.line_tokens -= 1.0
        return True

    def report_dropped_lines(self) -> None:
        """Add a line that says how many were left out."""
        line = {'event': 'log-lines-dropped', 'count': self.unreported_drops}
        self.unreported_drops = 0
        self.next_drop_report_at = (
            self.refilled_at + DROP_REPORT_INTERVAL_SECONDS
        )
        self.pending += json.dumps(line).encode() + b'\n'

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone. What nobody reads need not be kept.
                self.total_dropped += self.pending.count(b'\n')
                self.pending.clear()
                return
            del self.pending[:written]
