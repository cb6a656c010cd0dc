"""Signals that arrive while an instance is starting."""

import json
import subprocess
import sys

import pytest

# Runs the platform's program up to its first import of a large library, and
# prints how signals are handled there.
PROGRAM = """
import json, runpy, signal, sys

class Look:
    def find_spec(self, name, path=None, target=None):
        if name.partition('.')[0] in ('twisted', 'msgspec', 'h11'):
            for number in (signal.SIGHUP, signal.SIGTERM):
                print(json.dumps(signal.getsignal(number) != signal.SIG_DFL))
            sys.stdout.flush()
            raise SystemExit(7)

sys.meta_path.insert(0, Look())
runpy.run_module('greengagelb.platform', run_name='__main__')
"""


@pytest.mark.slow
def test_signals_are_handled_before_anything_large_is_imported():
    """Guards against a signal that ends a process while it starts.

    Importing the libraries takes half a second. Until then the default handler
    would end the process: a reload would stop the instance, and a stop would
    look like a crash.
    """
    looked = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert looked.returncode == 7, looked.stderr
    handled = [json.loads(line) for line in looked.stdout.split()]
    assert handled == [True, True]
