"""Log lines whose reader has stopped, and bursts of log lines."""

import json
import os

import pytest

from greengagelb.transport import bounded_log


class Pipe:
    """A pipe with a clock; its reader only reads when told to."""

    def __init__(self):
        self.out, descriptor = os.pipe()
        self.now = 0.0
        os.set_blocking(self.out, False)
        self.descriptor = descriptor
        self.log = bounded_log.BoundedLog(descriptor, lambda: self.now)

    def __enter__(self):
        return self

    def __exit__(self, *why):
        os.close(self.out)
        os.close(self.descriptor)

    def read_all(self):
        """Read until nothing is waiting."""
        found = b''
        while raw := self.read_raw():
            found += raw
            self.log.flush()
        return found.decode().splitlines()

    def read(self):
        return self.read_raw().decode().splitlines()

    def read_raw(self):
        found = b''
        while True:
            try:
                part = os.read(self.out, 1 << 20)
            except BlockingIOError:
                return found
            found += part


def test_stalled_log_reader_does_not_block_writes():
    """The process that collects the logs hangs.

    A blocking write would stop every caller's stream. Dropped lines are
    counted.
    """
    with Pipe() as pipe:
        for number in range(1_900):
            pipe.log.write('x' * 400 + f' {number}\n')
        assert len(pipe.log.pending) <= bounded_log.MAX_PENDING_BYTES
        assert pipe.log.unreported_drops > 0
        dropped = pipe.log.unreported_drops
        lines = pipe.read_all()
        pipe.now += 10.0
        pipe.log.write('after\n')
        lines += pipe.read_all()
        reports = [json.loads(line) for line in lines if line.startswith('{')]
        assert reports == [{'event': 'log-lines-dropped', 'count': dropped}]
        assert len(lines) == 1_900 - dropped + 2
        assert lines[-1] == 'after'


def test_burst_of_lines_is_bounded():
    """Everything fails at once, and each failure writes a line.

    Without a limit, logging would use up the processor time needed to serve
    callers.
    """
    with Pipe() as pipe:
        lines = 0
        for _ in range(100):
            for _ in range(100):
                pipe.log.write('line\n')
            lines += len(pipe.read())
            pipe.now += 0.01
        max_lines = bounded_log.MAX_BURST_LINES + bounded_log.LINES_PER_SECOND
        assert lines <= max_lines + 1
        assert pipe.log.total_dropped >= 10_000 - max_lines - 1


def test_closed_log_pipe_discards_lines():
    pipe = Pipe()
    os.close(pipe.out)
    pipe.log.write('line\n')
    assert not pipe.log.pending
    os.close(pipe.descriptor)
    with pytest.raises(OSError, match='descriptor'):
        os.write(pipe.descriptor, b'')
