"""Upstreams of the own interface whose answers never end, all at once."""

import contextlib
import itertools
import json
import pathlib
import socket
import threading
import time

import pytest

from tests.common import callers
from tests.common import endless_answers
from tests.common import fleet

pytestmark = pytest.mark.slow

# What a machine of an instance has at least.
MACHINE_MEGABYTES = 200.0
ENDLESS_UPSTREAMS = 12
PLAY_SECONDS = 8.0
CALLERS_OF_ENDLESS = 12
CALLERS_OF_SOUND = 4
TOKENS = 30
PIECES = {
    'head': endless_answers.HEADS['header lines'],
    'informational': (b'', endless_answers.INFORMATIONAL),
    'body': (b'HTTP/1.1 500 No\r\n\r\n', endless_answers.FILLER),
    'event': (
        endless_answers.STATUS + b'\r\ndata: ',
        endless_answers.FILLER,
    ),
}
PIECE_BYTES = 65_536


class EndlessUpstream:
    """Answers reports properly, and everything else without an end."""

    def __init__(self, name, kind, report):
        self.name = name
        self.kind = kind
        self.report = report
        self.socket = socket.create_server((fleet.HOST, 0))
        self.port = self.socket.getsockname()[1]
        self.orders = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.socket.accept()
                threading.Thread(
                    target=self.answer, args=(connection,), daemon=True
                ).start()

    def answer(self, connection):
        with connection, contextlib.suppress(OSError):
            asked = connection.recv(PIECE_BYTES)
            if b'/v1/report' in asked:
                body = json.dumps(self.report | {'name': self.name}).encode()
                head = (
                    f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
                )
                connection.sendall(head.encode() + body)
                return
            if b'/v1/generate' in asked or b'/call/' in asked:
                self.orders += 1
            first, more = PIECES[self.kind]
            connection.sendall(first)
            piece = more * (PIECE_BYTES // len(more))
            while True:
                connection.sendall(piece)

    def close(self):
        self.socket.close()


@pytest.fixture
def endless_fleet(tmp_path):
    """Run a sound pool, and services whose upstreams are all endless."""
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(fleet.Fleet(tmp_path))
        sound = running.start_engine('engine-0')
        running.start_service('plain-0')
        running.start_instance('router-0')
        running.wait_for_all()
        report = fleet.ask(sound.port, '/v1/report').json()
        kinds = itertools.cycle(PIECES)
        running.endless = [
            EndlessUpstream(f'endless-{number}', next(kinds), report)
            for number in range(ENDLESS_UPSTREAMS)
        ]
        for upstream in running.endless:
            stack.callback(upstream.close)
        running.configure(with_endless(running))
        yield running


def with_endless(running):
    """Return a configuration with services of endless upstreams."""
    wanted = running.configuration()
    upstreams = [
        {
            'name': each.name,
            'host': fleet.HOST,
            'port': each.port,
            'data_centre': 'kl-1',
        }
        for each in running.endless
    ]
    wanted['pools'] += [
        {
            'name': 'endless-engines',
            'model': 'm',
            'version': '1',
            'upstreams': upstreams[::2],
        },
        {'name': 'endless-services', 'upstreams': upstreams[1::2]},
    ]
    wanted['services'] += [
        {
            'name': 'endless-draft',
            'kind': 'generation',
            'pool': 'endless-engines',
            'idempotent': False,
        },
        {
            'name': 'endless-charge',
            'kind': 'call',
            'pool': 'endless-services',
            'idempotent': False,
        },
    ]
    wanted['accounts'][1]['services'] += ['endless-draft', 'endless-charge']
    return wanted


def ask_endless(port, number, until, answers):
    """Ask endless upstreams, as the second account, and keep what is told."""
    for count in itertools.count():
        if time.monotonic() > until:
            return
        if number % 2:
            path = '/v1/call/endless-charge/book'
            headers = fleet.bearer(fleet.OTHER_KEY) | {
                'Idempotency-Key': f'{number}-{count}'
            }
            answer = fleet.ask(port, path, {'n': 1}, headers=headers)
        else:
            asked = callers.StreamCaller(
                f'{number}.{count}',
                TOKENS,
                key=fleet.OTHER_KEY,
                service='endless-draft',
            )
            answer = fleet.ask(
                port,
                '/v1/chat/completions',
                asked.body(),
                headers=fleet.bearer(fleet.OTHER_KEY),
            )
        answers.append(answer)
        if answer.status == 429 or 'Retry-After' in answer.headers:
            time.sleep(0.1)


def ask_sound(port, number, until, asked):
    """Ask the sound pool for one stream after the other."""
    for count in itertools.count():
        if time.monotonic() > until:
            return
        caller = callers.StreamCaller(f's{number}.{count}', TOKENS)
        asked.append(caller)
        caller.read_all(port)


def peak_megabytes(process):
    status = pathlib.Path(f'/proc/{process.popen.pid}/status').read_text()
    fields = dict(line.split(':', 1) for line in status.splitlines())
    return int(fields['VmHWM'].split()[0]) / 1024.0


def test_endless_answers_cost_neither_memory_nor_other_callers(endless_fleet):
    """Guards against upstreams that end a process, and all that it serves.

    Heads, events and bodies come without an end from all upstreams of one
    account, while another account is served by a sound engine.
    """
    instance = endless_fleet.instances['router-0']
    until = time.monotonic() + PLAY_SECONDS
    told, asked = [], []
    threads = [
        threading.Thread(
            target=ask_endless, args=(instance.port, number, until, told)
        )
        for number in range(CALLERS_OF_ENDLESS)
    ]
    threads += [
        threading.Thread(
            target=ask_sound, args=(instance.port, number, until, asked)
        )
        for number in range(CALLERS_OF_SOUND)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert peak_megabytes(instance) < MACHINE_MEGABYTES
    assert len(asked) > CALLERS_OF_SOUND
    assert all(caller.tokens == caller.right_answer() for caller in asked)
    outcomes = {answer.json()['ran'] for answer in told}
    assert outcomes <= {'outcome-unknown', 'not-run'}
    unknown = sum(a.json()['ran'] == 'outcome-unknown' for a in told)
    orders = sum(upstream.orders for upstream in endless_fleet.endless)
    assert 0 < orders <= unknown
