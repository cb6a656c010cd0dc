"""Settings that change while a relay instance runs."""

import os
import signal
import subprocess
import sys

import pytest

from tests.common import fleet
from tests.soak import instances

pytestmark = pytest.mark.slow


def write_settings(path, **changed):
    """Write settings with free ports; return them."""
    names = ('callers', 'ready', 'peers', 'metrics', 'store')
    fields = {
        'name': 'relay-0',
        'place': 'north',
        'host': '127.0.0.1',
        'heartbeat': 1_200,
        'grace': 2.0,
        **instances.USUAL_RETRIES,
        **{name: fleet.free_port() for name in names},
        **changed,
    }
    path.write_text(instances.SETTINGS.format(**fields))
    return fields


def start_process(path, log):
    """Start an instance; what it writes goes to a file."""
    environment = {**os.environ, 'GREENGAGELB_SETTINGS': str(path)}
    with log.open('wb') as out:
        return subprocess.Popen(
            [sys.executable, '-m', 'greengagelb.platform'],
            env=environment,
            stdout=out,
            stderr=subprocess.STDOUT,
        )


def test_changed_settings_are_applied_and_bad_ones_refused(tmp_path):
    """The platform replaces the settings file, with and without a signal.

    A process that exited on the signal would break off its callers' streams;
    one that accepted an invalid file would fail at its next start.
    """
    path = tmp_path / 'relay.ini'
    log = tmp_path / 'log'
    fields = write_settings(path)
    process = start_process(path, log)
    try:
        fleet.wait_until(lambda: 'started' in log.read_text())
        write_settings(path, **{**fields, 'grace': 3.0})
        process.send_signal(signal.SIGHUP)
        fleet.wait_until(lambda: 'settings-reloaded' in log.read_text())
        assert 'in force: [stop] grace_seconds 2.0 -> 3.0' in log.read_text()
        path.write_text('[instance]\n')
        fleet.wait_until(lambda: 'settings-refused' in log.read_text())
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10) == 0
    finally:
        process.kill()
        process.wait()
