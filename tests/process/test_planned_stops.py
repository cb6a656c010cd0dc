"""Callers offer calls through the whole of an instance's stop.

See tests/relay/test_stop_ending.py for how calls were lost in one.
"""

import base64
import contextlib
import dataclasses
import http.client
import http.server
import json
import os
import signal
import subprocess
import sys
import threading
import time
import urllib.parse

import pytest

from tests.common import fleet
from tests.process import test_reload
from tests.soak import world

pytestmark = pytest.mark.slow
HOST = '127.0.0.1'
ENGINE = 'engine-1'
# An engine works on a call for so long, in seconds; one that is cut with the
# process is then seen as one that ran without an answer.
CALL_SECONDS = 0.05
# The store holds the removal of the instance's entry for so long.
REMOVAL_DELAY_SECONDS = 0.4
# Long enough for an instance without callers to end before calls that may
# take their time limit would be refused for want of time.
GRACE_SECONDS = 8.0
CALL_INTERVAL_SECONDS = 0.001
TABLES = {
    'op': {
        'config': {
            'version': 3,
            'routes': [world.route('call', 'booking', 'unsafe', 900, 1)],
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
    """An engine that keeps the ids of the calls that reached it."""

    protocol_version = 'HTTP/1.1'
    ran = []

    def do_POST(self):
        self.ran.append(self.headers['Request-Id'])
        self.rfile.read(int(self.headers['Content-Length']))
        time.sleep(CALL_SECONDS)
        self.send_response(200)
        self.send_header('Request-Id', self.headers['Request-Id'])
        self.send_header('Engine-Seal', 'seal')
        self.send_header('Content-Length', '2')
        self.end_headers()
        self.wfile.write(b'ok')

    def log_message(self, *args):
        """Print nothing."""


def row(key, value):
    """Return a row as the store gives it."""
    raw = base64.b64encode(json.dumps(value).encode()).decode()
    return {'key': key, 'value': raw, 'ver': 1, 'tombstone': False}


@dataclasses.dataclass
class SentCall:
    """A call that was offered; ``status`` is None where none came."""

    call: str
    status: int | None = None


class Callers:
    """Offers calls, each on a thread of its own, and keeps the outcomes."""

    def __init__(self, port):
        self.port = port
        self.sent_calls = []
        self.threads = []

    def send_call(self, connection=None):
        """Offer one call, on a new connection or on a kept one."""
        sent_call = SentCall(f'call{len(self.sent_calls)}')
        self.sent_calls.append(sent_call)
        thread = threading.Thread(
            target=self.receive_answer, args=(sent_call, connection)
        )
        self.threads.append(thread)
        thread.start()

    def receive_answer(self, sent_call, connection):
        """Send a call and wait for its answer, if one comes."""
        connection = connection or self.new_connection()
        headers = {
            'Host': world.callers.HOST,
            'Request-Id': sent_call.call,
            'Request-Deadline': '900',
        }
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request('POST', '/call/a', b'hi', headers)
            answer = connection.getresponse()
            answer.read()
            sent_call.status = answer.status

    def new_connection(self):
        """Return a connection that opens with its first call."""
        return http.client.HTTPConnection(HOST, self.port, timeout=5.0)

    def join(self):
        """Wait until each offer has its outcome."""
        for thread in self.threads:
            thread.join()


@contextlib.contextmanager
def serving(handler):
    """Serve on a port of its own; give that port."""
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
    """Run an instance; give it and the port for callers."""
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
    """Callers go on calling until the port of a stopping instance is closed.

    Some keep their connections, some open new ones, and one comes in about
    each millisecond while the entry is being removed. One whose call ran and
    who gets no answer would not know whether it has been charged, and nobody
    may ask again in its place.
    """
    with serving(Engine) as engine_port, serving(Store) as store_port:
        TABLES['servers'][ENGINE] = {
            'service': 'booking',
            'address': f'{HOST}:{engine_port}',
            'zone': 'north',
            'slots': 100,
            'state': 'ready',
            'seq': 1,
        }
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
