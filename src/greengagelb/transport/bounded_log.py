"""Writes log lines without blocking on the reader.

When the reader stops, the pipe fills up, and a plain write would then block
the whole process with all its callers. Lines that do not fit are dropped and
counted; the count is written as soon as there is room again.
"""

from collections.abc import Callable
import json
import os

MAX_PENDING_BYTES = 256 * 1024
# The sustained rate of lines, and the size of a burst. Without a limit, a
# burst of failures would use up the processor for logging.
LINES_PER_SECOND = 200.0
MAX_BURST_LINES = 2_000.0
# The minimum interval between two reports of dropped lines.
DROP_REPORT_INTERVAL_SECONDS = 1.0


class BoundedLog:
    """A stream for log lines; ``flush`` must be called periodically.

    ``seconds`` returns the monotonic time. A token bucket limits the rate of
    lines. Invariant: at most ``MAX_PENDING_BYTES`` are pending.
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
        """Write a line, or drop it."""
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
        """Return whether a line of this size may be written, and count it."""
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
        """Add a line with the number of dropped lines since the last one."""
        line = {'event': 'log-lines-dropped', 'count': self.unreported_drops}
        self.unreported_drops = 0
        self.next_drop_report_at = (
            self.refilled_at + DROP_REPORT_INTERVAL_SECONDS
        )
        self.pending += json.dumps(line).encode() + b'\n'

    def flush(self) -> None:
        """Write as many pending bytes as the reader accepts now."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end of the pipe; there is no use in
                # keeping the lines.
                self.total_dropped += self.pending.count(b'\n')
                self.pending.clear()
                return
            del self.pending[:written]
