"""Stand-ins for the platform's store, engines and callers, on loopback.

They need nothing but the standard library. Instances of the product are
started as the deploy file says, each as a process of its own.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / 'src/greengagelb/platform/settings.ini'
ZONES = ('zone-a', 'zone-b', 'zone-c')
HOST = 'app.example'
KEY = 'key-of-tenant-1'
HEARTBEAT_SECONDS = 1.2
MAX_ROWS = 500
START_SECONDS = 20.0
# The bounds of the small installations.
BOUNDS = {
    'bounds.retry_budget_ratio': '0.8',
    'bounds.budget_window_s': '10',
    'bounds.budget_slack': '150',
    'bounds.addr_reuse_s': '2',
    'bounds.grace_s': '8',
    'heartbeat_ms': '1200',
}
DRAIN_SECONDS = 2.0
CONFIG_APPLY_SECONDS = 2.0
CONTACT_SECONDS = 3.0
ADDRESS_REUSE_SECONDS = 2.0
CONNECTION_ENDS = (asyncio.IncompleteReadError, ConnectionError)

now = time.monotonic


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self.began_at = now()
        self.file = path.open('w', encoding='utf-8')

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self.file.write(f'{now() - self.began_at:8.3f}  {text}\n')
        self.file.flush()


@dataclasses.dataclass(slots=True)
class Request:
    """A request as an engine has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def id(self) -> str:
        """Return the request's id."""
        return self.headers.get('request-id', '')


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request whole."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')[:-2]
    method, target, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return Request(method, target, headers, body)


def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> None:
    """Write an answer with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)


class Store:
    """The platform's store: rows in tables and parts, with their changes."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.version = 1
        self.waiting: list[tuple[str, asyncio.Event]] = []

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: object, part: str = '') -> None:
        """Write a row."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        self.write(table, part, key, raw, tombstone=False)

    def remove(self, table: str, key: str) -> None:
        """Remove a row of the empty part, if it is there."""
        if (table, '', key) in self.rows:
            self.write(table, '', key, '', tombstone=True)

    def write(
        self, table: str, part: str, key: str, raw: str, *, tombstone: bool
    ) -> None:
        """Keep a row, and tell those who wait for a change of its table."""
        self.version += 1
        row = {
            'table': table,
            'part': part,
            'key': key,
            'value': raw,
            'ver': self.version,
            'tombstone': tombstone,
        }
        self.rows[table, part, key] = row
        for waited_for, changed in self.waiting:
            if waited_for == table:
                changed.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                request = await read_request(reader)
                status, answer = await self.answer(request)
                answer |= {'ver': self.version, 'now_ms': int(now() * 1000)}
                write_answer(writer, status, json.dumps(answer).encode())
                await writer.drain()
        writer.close()

    async def answer(self, request: Request) -> tuple[int, dict]:
        """Carry out one call."""
        target = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(target.query))
        match target.path:
            case '/api/rows-get':
                return 200, self.read(query)
            case '/api/rows-feed':
                return 200, await self.feed(query)
            case '/api/rows-tx':
                self.change(json.loads(request.body))
                return 200, {'rows': []}
        return 404, {}

    def read(self, query: dict[str, str]) -> dict:
        """Return the rows of one part of a table."""
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query['table']
            and part == query.get('part', '')
            and key >= query.get('from', '')
            and not row['tombstone']
        ]
        return {'rows': found[:MAX_ROWS], 'has_more': len(found) > MAX_ROWS}

    async def feed(self, query: dict[str, str]) -> dict:
        """Return the changes of a table, in all its parts."""
        table, after = query['table'], int(query['after_rev'])
        seconds = int(query.get('wait_ms', 0)) / 1000.0
        if seconds and not self.changes(table, after):
            waiting = (table, asyncio.Event())
            self.waiting.append(waiting)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(waiting[1].wait(), seconds)
            self.waiting.remove(waiting)
        return {'rows': self.changes(table, after)}

    def changes(self, table: str, after: int) -> list[dict]:
        """Return the rows that have changed since a version, in order."""
        found = [
            row
            for row in self.rows.values()
            if row['table'] == table and row['ver'] > after
        ]
        return sorted(found, key=lambda row: row['ver'])

    def change(self, transaction: dict) -> None:
        """Carry out a transaction without expected versions."""
        for row in transaction['set_keys']:
            self.write(
                row['table'],
                row['part'],
                row['key'],
                row['value'],
                tombstone=False,
            )
        for row in transaction['remove']:
            self.remove(row['table'], row['key'])


class Engine:
    """One engine; ``answer`` runs a request and writes its answer.

    While ``is_dark`` it reads, writes and closes nothing: its machine has
    lost its power.
    """

    def __init__(self, world: 'World', service: str, zone: str) -> None:
        self.world = world
        self.service = service
        self.zone = zone
        self.identity = 'i-' + secrets.token_hex(5)
        self.born = int(time.time() * 1000)
        self.heartbeats = 0
        self.state = 'ready'
        self.port = 0
        self.is_registered = True
        self.is_dark = False
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.arrivals: list[tuple[float, Request]] = []

    @property
    def address(self) -> str:
        """Return the address in the form of the list of engines."""
        return f'{self.world.host}:{self.port}'

    async def listen(self) -> None:
        """Listen at the port it had, or at a free one."""
        self.server = await asyncio.start_server(
            self.serve, self.world.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict:
        """Return the next entry for the list of engines."""
        self.heartbeats += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 16,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self.heartbeats,
            'born': self.born,
        }

    def register(self) -> None:
        """Write the entry into the list of engines."""
        self.world.store.put('servers', self.identity, self.entry())

    async def beat(self) -> None:
        """Renew the entry."""
        while True:
            if self.is_registered:
                self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def crash(self) -> None:
        """End: connections are reset and new ones refused."""
        self.is_registered = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        self.writers.add(writer)
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                await self.handle(await read_request(reader), writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, or say that it has not run."""
        while self.is_dark:
            await asyncio.sleep(0.05)
        expected = request.headers.get('expect-instance', self.identity)
        if expected != self.identity:
            write_answer(writer, 421, b'', {'Instance-Id': self.identity})
        elif request.target.startswith(('/health', '/api/report')):
            report = {'born': self.born, 'state': self.state, 'runs': []}
            headers = {'Instance-Id': self.identity}
            write_answer(writer, 200, json.dumps(report).encode(), headers)
        else:
            self.arrivals.append((now(), request))
            self.world.record.note(
                f'{self.identity} ({self.service}) runs {request.id} '
                f'{request.method} {request.target}'
            )
            await self.run(request, writer)

    async def run(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request: a short call, or a stream of events."""
        headers = {
            'Request-Id': request.id,
            'Engine-Seal': f'{self.identity}.{request.id}',
        }
        if self.service != 'drafts':
            await asyncio.sleep(0.02)
            body = f'{self.service} {request.id}'.encode()
            write_answer(writer, 200, body, headers)
            return
        headers |= {
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        await asyncio.sleep(0.1)
        lines = [f'{name}: {value}' for name, value in headers.items()]
        writer.write('\r\n'.join(['HTTP/1.1 200 X', *lines, '', '']).encode())
        first = int(request.headers.get('last-event-id', 0)) + 1
        for number in range(first, int(request.body) + 1):
            while self.is_dark:
                await asyncio.sleep(0.05)
            event = f'id: {number}\ndata: {request.id} {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b'0\r\n\r\n')


class Instance:
    """One instance of the product, a process of its own."""

    def __init__(self, world: 'World', number: int, peer_port: int) -> None:
        self.name = f'front-{number}'
        self.host = f'{world.network}.{100 + number}'
        self.port = free_port(self.host)
        self.ready_port = free_port(self.host)
        self.settings = world.folder / f'{self.name}.ini'
        self.log = world.folder / f'{self.name}.log'
        values = BOUNDS | {
            'node_name': self.name,
            'zone': ZONES[number % len(ZONES)],
            'listen.front': f'{self.host}:{self.port}',
            'listen.ready': f'{self.host}:{self.ready_port}',
            'port_range.0': str(peer_port),
            'platform.address': f'{world.store.host}:{world.store.port}',
        }
        text = re.sub(
            r'\{\{([^}]*)\}\}', lambda m: values[m[1]], TEMPLATE.read_text()
        )
        self.settings.write_text(text)
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process as the deploy file says."""
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'GREENGAGELB_SETTINGS': str(self.settings),
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'greengagelb.platform'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready_port
            )
        except OSError:
            return False
        writer.write(b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return b' 200 ' in line

    def end(self) -> None:
        """End the process, if it lives."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Caller:
    """One connection of a caller."""

    def __init__(self, world: 'World', instance: Instance) -> None:
        self.world = world
        self.instance = instance
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    @property
    def is_closed(self) -> bool:
        """Return whether the instance has closed or reset the connection."""
        return self.reader.at_eof() or self.reader.exception() is not None

    async def open(self) -> 'Caller':
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(
            self.instance.host, self.instance.port
        )
        return self

    async def ask(
        self,
        path: str,
        body: bytes = b'',
        deadline_ms: int = 2500,
        headers: str = '',
        *,
        in_parts: int = 0,
    ) -> tuple[int, str]:
        """Send a request; return the status and the engine's seal.

        Its first ``in_parts`` bytes are sent a moment before the rest. The
        status is 0 if the connection ends without an answer.
        """
        name = secrets.token_hex(8)
        method = 'POST' if body else 'GET'
        raw = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {name}\r\nRequest-Deadline: {deadline_ms}\r\n'
            f'Authorization: Bearer {KEY}\r\n{headers}'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        self.world.record.note(
            f'caller sends {name} {method} {path} to {self.instance.name}'
        )
        try:
            if in_parts:
                self.writer.write(raw[:in_parts])
                await self.writer.drain()
                await asyncio.sleep(0.05)
            self.writer.write(raw[in_parts:])
            status, seal, is_whole = await self.read_answer()
        except CONNECTION_ENDS:
            status, seal, is_whole = 0, '', False
        self.world.record.note(
            f'caller gets {status} for {name}, seal {seal or "none"}, '
            f'{"whole" if is_whole else "not whole"}'
        )
        return status, seal

    async def read_answer(self) -> tuple[int, str, bool]:
        """Read an answer; return status, seal and whether it was whole."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        status = int(head.split(' ')[1])
        fields = {}
        for line in head.split('\r\n')[1:-2]:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
        seal = fields.get('engine-seal', '')
        if fields.get('transfer-encoding') != 'chunked':
            await self.reader.readexactly(int(fields['content-length']))
            return status, seal, True
        with contextlib.suppress(*CONNECTION_ENDS, ValueError):
            while True:
                length = int(await self.reader.readline(), 16)
                await self.reader.readexactly(length + 2)
                if not length:
                    return status, seal, True
        return status, seal, False

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class World:
    """A small installation: a store, engines, instances and their callers."""

    def __init__(self, record: Record) -> None:
        second, third = random.randrange(1, 250), random.randrange(1, 250)
        self.network = f'127.{second}.{third}'
        self.host = f'{self.network}.1'
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = record
        self.store = Store(self.host)
        self.engines: list[Engine] = []
        self.instances: list[Instance] = []
        self.tasks: list[asyncio.Task] = []
        self.version = 0

    async def start(
        self, services: dict[str, int], config: dict, instances: int = 3
    ) -> None:
        """Start everything; return once all instances are ready."""
        await self.store.start()
        for service, count in services.items():
            for _ in range(count):
                await self.add_engine(service)
        self.configure(config)
        peer_port = free_port(f'{self.network}.100')
        self.instances = [
            Instance(self, number, peer_port) for number in range(instances)
        ]
        for instance in self.instances:
            instance.start()
        until = now() + START_SECONDS
        for instance in self.instances:
            while not await instance.is_ready():
                if now() > until:
                    raise CannotRun(f'{instance.name} is not ready')
                await asyncio.sleep(0.05)
        # Nobody has been in touch before that.
        await asyncio.sleep(CONTACT_SECONDS)

    async def add_engine(self, service: str, port: int = 0) -> Engine:
        """Start an engine; it registers at once."""
        zone = ZONES[len(self.engines) % len(ZONES)]
        engine = Engine(self, service, zone)
        engine.port = port
        await engine.listen()
        self.engines.append(engine)
        self.tasks.append(asyncio.create_task(engine.beat()))
        return engine

    def configure(self, config: dict) -> None:
        """Write a configuration as the operator does, as the next version."""
        self.version += 3
        config['version'] = self.version
        self.store.put('op', 'config', config)
        self.record.note(f'operator writes version {self.version}')

    async def ask_once(
        self, number: int, path: str, **kwargs: object
    ) -> tuple[int, str]:
        """Send one request on a connection of its own."""
        instance = self.instances[number % len(self.instances)]
        caller = await Caller(self, instance).open()
        answer = await caller.ask(path, **kwargs)
        caller.close()
        return answer

    def close(self) -> None:
        """End all processes, and remove what they wrote."""
        for instance in self.instances:
            instance.end()
        if 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(self.folder)


class CannotRun(Exception):
    """The case can't run here."""


def free_port(host: str) -> int:
    """Return a port that is free at a host."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def route(service: str, kind: str, **fields: object) -> dict:
    """Return the route ``/SERVICE-KIND/`` of a configuration."""
    return {
        'name': f'{service}-{kind}',
        'host': HOST,
        'prefix': f'/{service}-{kind}/',
        'service': service,
        'kind': kind,
        'timeout_ms': 2500,
        'latency_goal_ms': 150,
        'priority': 1,
        'max_attempts': 3,
    } | fields


def usual_config() -> dict:
    """Return a configuration with a service of streams and one of calls."""
    engine = {
        'slots': 32,
        'kv_capacity': 88_000,
        'backups': True,
        'moves': True,
        'handle_s': 8.0,
    }
    stream = {
        'timeout_ms': 25_000,
        'latency_goal_ms': 4500,
        'max_attempts': 5,
        'resumable': True,
        'gap_aim_ms': 700,
        'sticky': True,
    }
    return {
        'routes': [
            route('drafts', 'streaming', **stream),
            route('booking', 'unsafe', max_attempts=1),
            route('booking', 'safe'),
        ],
        'services': [
            {
                'name': 'drafts',
                'max_conns': 240,
                'health_path': '/health',
                'engine': engine,
            },
            {'name': 'booking', 'max_conns': 110, 'health_path': '/health'},
        ],
        'limits': {
            'header_bytes': 16_384,
            'max_body_bytes': 4 << 20,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [{'name': 'tenant-1', 'api_keys': [KEY]}],
    }


def play(
    case: Callable[[World, bool], Awaitable[bool]], folder: pathlib.Path
) -> int:
    """Play a case; return 1 if its rule was broken, 0 if not, else 2."""
    record = Record(folder / 'record.txt')
    world = World(record)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> bool:
        try:
            return await case(world, has_trouble)
        finally:
            world.close()
            left = asyncio.all_tasks() - {asyncio.current_task()}
            for each in left:
                each.cancel()
            await asyncio.gather(*left, return_exceptions=True)

    loop = asyncio.new_event_loop()
    # What is cut off as the world ends is of no interest.
    loop.set_exception_handler(lambda *_: None)
    try:
        is_broken = loop.run_until_complete(run())
    except (CannotRun, OSError, AssertionError) as exc:
        record.note(f'cannot run: {exc!r}')
        sys.stderr.write(f'cannot run: {exc!r}\n')
        return 2
    record.note('the rule was broken' if is_broken else 'the rule held')
    return int(is_broken)
