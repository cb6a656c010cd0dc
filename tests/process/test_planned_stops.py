"""Callers send calls during the whole stop of an instance.

See tests/relay/test_stop_ending.py for how such calls were lost.
"""

import base64
import contextlib
import dataclasses
import http.client
import http.server
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
import urllib.parse

import pytest

from greengagelb.cli import launcher
from tests.common import fleet
from tests.process import test_reload
from tests.soak import world

pytestmark = pytest.mark.slow
HOST = '127.0.0.1'
ENGINE = 'engine-1'
# The duration of a call on an engine. It makes a call that is cut off with
# the process visible as one that ran without an answer.
CALL_SECONDS = 0.05
# The store delays the removal of the instance's entry by this time.
REMOVAL_DELAY_SECONDS = 0.4
# Long enough for an instance without callers to exit before it would refuse
# calls whose time limit exceeds the remaining time.
GRACE_SECONDS = 8.0
CALL_INTERVAL_SECONDS = 0.001
# Calls of the other route last up to this time, more than half of the grace.
LONG_CALL_SECONDS = 4.0
LONG_CALL_INTERVAL_SECONDS = 0.02
TABLES = {
    'op': {
        'config': {
            'version': 3,
            'routes': [
                world.route('call', 'booking', 'unsafe', 900, 1),
                world.route('long', 'booking', 'unsafe', 4_000, 1),
            ],
            'services': [world.service('booking')],
            'limits': {},
            'tenants': None,
        }
    },
    'servers': {},
    'instances': {},
}


class Store(http.server.BaseHTTPRequestHandler):
    """A store whose rows never change, and that is slow to remove one."""

    protocol_version = 'HTTP/1.1'
    tables = TABLES
    removing = threading.Event()

    def do_GET(self):
        url = urllib.parse.urlsplit(self.path)
        query = urllib.parse.parse_qs(url.query)
        found = self.tables[query['table'][0]]
        if url.path == '/api/rows-feed':
            time.sleep(min(0.2, int(query['wait_ms'][0]) / 1000.0))
            found = {}
        rows = [row(key, value) for key, value in found.items()]
        self.reply({'rows': rows, 'ver': 1, 'has_more': False})

    def do_POST(self):
        length = int(self.headers['Content-Length'])
        change = json.loads(self.rfile.read(length))
        if change['remove']:
            self.removing.set()
            time.sleep(REMOVAL_DELAY_SECONDS)
        self.reply({'rows': [], 'ver': 2, 'has_more': False})

    def reply(self, body):
        raw = json.dumps(body).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)

    def log_message(self, *args):
        """Print nothing."""


class Engine(http.server.BaseHTTPRequestHandler):
    """An engine that records the ids of the calls that reached it."""

    protocol_version = 'HTTP/1.1'
    ran = []

    def do_POST(self):
        self.ran.append(self.headers['Request-Id'])
        self.rfile.read(int(self.headers['Content-Length']))
        time.sleep(CALL_SECONDS)
        self.answer()

    def answer(self):
        """Answer a call."""
        self.send_response(200)
        self.send_header('Request-Id', self.headers['Request-Id'])
        self.send_header('Engine-Seal', 'seal')
        self.send_header('Content-Length', '2')
        self.end_headers()
        self.wfile.write(b'ok')

    def log_message(self, *args):
        """Print nothing."""


class SlowEngine(Engine):
    """An engine whose calls end at any time until their limit, or not."""

    ran = []

    def do_POST(self):
        numbers = random.Random(self.headers['Request-Id'])
        self.ran.append(self.headers['Request-Id'])
        self.rfile.read(int(self.headers['Content-Length']))
        time.sleep(numbers.uniform(0.0, 1.05 * LONG_CALL_SECONDS))
        with contextlib.suppress(OSError):
            self.answer()


def row(key, value):
    """Return a row in the format of the store."""
    raw = base64.b64encode(json.dumps(value).encode()).decode()
    return {'key': key, 'value': raw, 'ver': 1, 'tombstone': False}


def list_engine(port):
    """Put the engine into the store's list."""
    TABLES['servers'][ENGINE] = {
        'service': 'booking',
        'address': f'{HOST}:{port}',
        'zone': 'north',
        'slots': 100,
        'state': 'ready',
        'seq': 1,
    }


@dataclasses.dataclass
class SentCall:
    """A call that was sent; ``status`` is None if no answer came."""

    call: str
    status: int | None = None


class Callers:
    """Sends calls, each on its own thread, and keeps the outcomes."""

    def __init__(self, port, path='/call/a', seconds=0.9):
        self.port = port
        self.path = path
        self.seconds = seconds
        self.sent_calls = []
        self.threads = []

    def send_call(self, connection=None):
        """Send one call, on a new or a persistent connection."""
        sent_call = SentCall(f'call{len(self.sent_calls)}')
        self.sent_calls.append(sent_call)
        thread = threading.Thread(
            target=self.receive_answer, args=(sent_call, connection)
        )
        self.threads.append(thread)
        thread.start()

    def receive_answer(self, sent_call, connection):
        """Send a call and wait for its answer, if there is one."""
        connection = connection or self.new_connection()
        headers = {
            'Host': world.callers.HOST,
            'Request-Id': sent_call.call,
            'Request-Deadline': str(round(1_000 * self.seconds)),
        }
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request('POST', self.path, b'hi', headers)
            answer = connection.getresponse()
            answer.read()
            sent_call.status = answer.status

    def new_connection(self):
        """Return a connection that opens with its first call."""
        return http.client.HTTPConnection(
            HOST, self.port, timeout=self.seconds + 4.0
        )

    def join(self):
        """Wait until the outcome of each call is known."""
        for thread in self.threads:
            thread.join()


@contextlib.contextmanager
def serving(handler):
    """Serve on a free port; yield the port."""
    server = http.server.ThreadingHTTPServer((HOST, 0), handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server.server_address[1]
    finally:
        server.shutdown()
        server.server_close()
        thread.join()


@contextlib.contextmanager
def running_instance(tmp_path, store_port):
    """Run an instance; yield it and the port for callers."""
    path = tmp_path / 'relay.ini'
    fields = test_reload.write_settings(
        path, store=store_port, grace=GRACE_SECONDS
    )
    with (tmp_path / 'log').open('wb') as log:
        process = subprocess.Popen(
            [sys.executable, '-m', 'greengagelb.platform'],
            env={**os.environ, 'GREENGAGELB_SETTINGS': str(path)},
            stdout=log,
        )
    try:
        yield process, fields['callers']
    finally:
        process.kill()
        process.wait()


def test_every_call_of_a_stop_is_answered_or_not_run(tmp_path):
    """Callers send calls until the port of a stopping instance is closed.

    Some use persistent connections, some new ones, and about one call arrives
    each millisecond while the instance's entry is being removed. A caller
    whose call ran without an answer would not know whether it was charged, and
    the call must not be repeated for it.
    """
    with serving(Engine) as engine_port, serving(Store) as store_port:
        list_engine(engine_port)
        with running_instance(tmp_path, store_port) as (process, port):
            callers = Callers(port)

            def is_served():
                callers.send_call()
                callers.join()
                return callers.sent_calls[-1].status == 200

            fleet.wait_until(is_served)
            idle_connections = [callers.new_connection() for _ in range(20)]
            for connection in idle_connections:
                connection.connect()
            process.send_signal(signal.SIGTERM)
            while not Store.removing.wait(0.1):
                callers.send_call(
                    idle_connections.pop() if idle_connections else None
                )
                callers.join()
            removal_ends_at = time.monotonic() + REMOVAL_DELAY_SECONDS + 0.3
            while time.monotonic() < removal_ends_at:
                callers.send_call()
                time.sleep(CALL_INTERVAL_SECONDS)
            assert process.wait(timeout=10) == 0
            callers.join()
    answered = {o.call for o in callers.sent_calls if o.status == 200}
    refused = {o.call for o in callers.sent_calls if o.status == 503}
    ran = set(Engine.ran)
    assert len(ran) == len(Engine.ran)
    assert ran == answered
    assert refused
    assert not ran & refused
    assert {o.status for o in callers.sent_calls} <= {200, 503, None}


def test_long_calls_of_a_stop_are_answered_or_not_run(tmp_path):
    """Guards against calls that are cut at the end of a planned stop.

    Callers send on connections that they have kept, and then on new ones.
    Each call may take half of the stop, and is answered last with 504.
    """
    with serving(SlowEngine) as engine_port, serving(Store) as store_port:
        list_engine(engine_port)
        with running_instance(tmp_path, store_port) as (process, port):
            callers = Callers(port, '/long/a', LONG_CALL_SECONDS)
            fleet.wait_until(lambda: launcher.is_listening(port))
            kept = [callers.new_connection() for _ in range(150)]
            for connection in kept:
                connection.connect()
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                callers.send_call(kept.pop() if kept else None)
                time.sleep(LONG_CALL_INTERVAL_SECONDS)
            callers.join()
    statuses = {call.call: call.status for call in callers.sent_calls}
    ran = set(SlowEngine.ran)
    assert {statuses[call] for call in ran} == {200, 504}
    not_run = [s for call, s in statuses.items() if call not in ran]
    assert 503 in not_run
    assert set(not_run) <= {503, None}


def test_stop_counts_from_a_signal_that_was_sent_during_a_pause(tmp_path):
    """Guards against a stop that outlasts the platform's patience.

    The process is suspended as it is asked to stop, and counted its time from
    when it ran again. Requests that came meanwhile must know of the stop.
    """
    pause = 1.0
    with (
        serving(Store) as store_port,
        running_instance(tmp_path, store_port) as (process, port),
    ):
        fleet.wait_until(lambda: launcher.is_listening(port))
        process.send_signal(signal.SIGSTOP)
        process.send_signal(signal.SIGTERM)
        callers = Callers(port)
        callers.send_call()
        time.sleep(pause)
        process.send_signal(signal.SIGCONT)
        callers.join()
        log = tmp_path / 'log'
        fleet.wait_until(lambda: 'noticed after' in log.read_text('utf-8'))
    before, _, after = log.read_text('utf-8').partition('noticed after ')
    assert float(after.split(' s')[0]) >= pause
    assert callers.sent_calls[0].call not in before
    assert callers.sent_calls[0].call in after
