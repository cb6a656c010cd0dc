"""Which instances have a change of settings in force, seen from outside."""

import contextlib
import http.server
import json
import os
import signal
import subprocess
import sys
import threading

import pytest

from greengagelb.cli import exit_codes
from tests.common import fleet
from tests.soak import instances

pytestmark = pytest.mark.slow

Code = exit_codes.ExitCode
NAMES = ('first', 'second', 'third', 'frozen')


class Relay:
    """A relay instance without a store, and its settings file."""

    def __init__(self, folder, name):
        self.path = folder / f'{name}.ini'
        self.log = folder / f'{name}.log'
        ports = ('callers', 'ready', 'peers', 'metrics')
        self.fields = {
            'name': name,
            'place': 'north',
            'host': '127.0.0.1',
            'heartbeat': 1_200,
            'grace': 2.0,
            # Nothing listens on this port; all instances use it.
            'store': 1,
            **instances.USUAL_RETRIES,
            **{port: fleet.free_port() for port in ports},
        }
        self.write(grace=2.0)
        environment = {**os.environ, 'GREENGAGELB_SETTINGS': str(self.path)}
        with self.log.open('wb') as out:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'greengagelb.platform'],
                env=environment,
                stdout=out,
            )

    @property
    def page_address(self):
        return f'127.0.0.1:{self.fields["metrics"]}'

    def write(self, grace):
        """Replace the settings file with other settings."""
        text = instances.SETTINGS.format(**{**self.fields, 'grace': grace})
        new = self.path.with_suffix('.new')
        new.write_text(text)
        new.replace(self.path)

    def has_logged(self, what):
        return what in self.log.read_text()


class ForeignServer(http.server.BaseHTTPRequestHandler):
    """Answers with a page that is not that of an instance."""

    def do_GET(self):
        self.send_response(200)
        self.end_headers()
        self.wfile.write(b'hello')

    def log_message(self, *_):
        """Write nothing."""


@contextlib.contextmanager
def foreign_server():
    """Serve a foreign page; yield its address."""
    server = http.server.HTTPServer(('127.0.0.1', 0), ForeignServer)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield f'127.0.0.1:{server.server_port}'
    finally:
        server.shutdown()
        server.server_close()


@pytest.fixture
def relays(tmp_path):
    """Run instances; stop them after the test."""
    running = {name: Relay(tmp_path, name) for name in NAMES}
    try:
        for relay in running.values():
            fleet.wait_until(lambda r=relay: r.has_logged('started'))
        yield running
    finally:
        for relay in running.values():
            relay.process.kill()
            relay.process.wait()


def ask(*arguments):
    """Run the command; return its exit code, JSON lines and messages."""
    done = subprocess.run(
        [sys.executable, '-m', 'greengagelb', 'in-force', '--json']
        + list(arguments),
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    lines = [json.loads(line) for line in done.stdout.splitlines()]
    return done.returncode, lines, done.stderr


def pages(relays, *others):
    return '--pages=' + ','.join(
        [r.page_address for r in relays.values()] + [*others]
    )


def test_instances_without_the_change_are_listed(relays, tmp_path):
    """Guards against a change whose rollout can't be checked.

    One instance is frozen, one has an old file, one address belongs to a
    foreign server and at one nothing listens.
    """
    code, lines, _ = ask(pages(relays))
    assert code == Code.SUCCESS
    assert [line['differences'] for line in lines] == [[]] * len(NAMES)
    before = lines[0]['settings_digest']
    for name in ('first', 'second'):
        relays[name].write(grace=3.0)
        fleet.wait_until(
            lambda n=name: relays[n].has_logged('settings-reloaded')
        )
    relays['frozen'].process.send_signal(signal.SIGSTOP)
    unused_address = f'127.0.0.1:{fleet.free_port()}'
    with foreign_server() as address:
        code, lines, _ = ask(pages(relays, address, unused_address))
    assert code == Code.UNREACHABLE
    silent = {line['address'] for line in lines if 'name' not in line}
    assert silent == {relays['frozen'].page_address, address, unused_address}
    by_name = {line['name']: line for line in lines if 'name' in line}
    assert by_name['third']['settings_digest'] == before
    assert by_name['third']['differences']
    assert not by_name['first']['differences']
    relays['frozen'].process.send_signal(signal.SIGCONT)


def test_wait_ends_once_all_instances_have_the_change(relays):
    """Guards against a wait that ends too early, or never."""
    updated = relays['first']
    updated.write(grace=3.0)
    fleet.wait_until(lambda: updated.has_logged('settings-reloaded'))
    _, [line], _ = ask(f'--pages={updated.page_address}')
    digest = f'--wait_for_digest={line["settings_digest"]:08x}'
    code, lines, notes = ask(pages(relays), digest, '--deadline_seconds=0.2')
    assert code == Code.DIFFERENT
    assert f'1 of {len(NAMES)} have it' in notes
    for relay in relays.values():
        relay.write(grace=3.0)
    code, lines, notes = ask(pages(relays), digest, '--deadline_seconds=20')
    assert code == Code.SUCCESS
    assert f'{len(NAMES)} of {len(NAMES)} have it' in notes
