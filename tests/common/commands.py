"""Runs the command line, within this process or as one of its own."""

import contextlib
import dataclasses
import io
import os
import subprocess
import sys

from absl.testing import flagsaver

from greengagelb.cli import main


@dataclasses.dataclass
class Outcome:
    """Exit code and output of a command."""

    code: int
    output: str
    complaint: str


def run_here(*words: str) -> Outcome:
    """Run a command that needs no event loop."""
    output, complaint = io.StringIO(), io.StringIO()
    with (
        flagsaver.flagsaver(),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(complaint),
    ):
        try:
            code = main.main(main.parse_flags(['greengagelb', *words]))
        except SystemExit as exc:
            code = exc.code
    return Outcome(int(code), output.getvalue(), complaint.getvalue())


def run_process(*words: str, key: str = '', timeout: float = 60.0) -> Outcome:
    """Run a command as a process of its own."""
    environment = dict(os.environ)
    environment['GREENGAGELB_OPERATOR_KEY'] = key
    done = subprocess.run(
        [sys.executable, '-m', 'greengagelb', *words],
        capture_output=True,
        text=True,
        env=environment,
        timeout=timeout,
        check=False,
    )
    return Outcome(done.returncode, done.stdout, done.stderr)


def start_process(*words: str) -> subprocess.Popen:
    """Start a command as a process of its own, for a test that ends it."""
    return subprocess.Popen(
        [sys.executable, '-m', 'greengagelb', *words],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
