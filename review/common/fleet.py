"""A small deployment on loopback: store, engines, instances, clients."""

import asyncio
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import store as store_module
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
# As on the sheet of the site teratak-lb.
HEARTBEAT_MS = 1_200
GRACE_S = 8
ZONES = ('kl-hall-a', 'kl-hall-b', 'kl-hall-c')
HOST_NAME = 'ficu95.example'
KEY = 'xd9dnn2ctnfzs989anu6'
TENANT = 'huka270'
START_SECONDS = 20.0
SETTINGS = """[instance]
name = {name}
data_centre = {zone}
caller_address = {host}:{front}
ready_address = {host}:{ready}
peer_port = {peers}
metrics_port = {metrics}

[store]
address = {store}

[retries]
ratio = 0.8
window_seconds = 10
slack = 150

[engines]
address_reuse_seconds = 2
heartbeat_milliseconds = {heartbeat}

[stop]
grace_seconds = {grace}
"""


class Skipped(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run; one JSON object a line."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open('w')
        self.began = time.monotonic()
        self.lines: list[dict] = []

    def add(self, what: str, **fields: object) -> dict:
        """Note something now."""
        at = round(time.monotonic() - self.began, 4)
        line = {'at_s': at, 'what': what, **fields}
        self.lines.append(line)
        self.file.write(json.dumps(line) + '\n')
        self.file.flush()
        return line


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Instance:
    """One instance of the product, started as the deploy file says."""

    def __init__(
        self, folder: pathlib.Path, name: str, host: str, zone: str
    ) -> None:
        self.folder = folder
        self.name = name
        self.host = host
        self.zone = zone
        self.front = free_port(host)
        self.ready = free_port(host)
        self.metrics = free_port(host)
        self.settings = folder / f'{name}.ini'
        self.process: subprocess.Popen | None = None

    def start(self, store: str, peers: int) -> None:
        """Start the process; its log goes to a file."""
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                host=self.host,
                front=self.front,
                ready=self.ready,
                metrics=self.metrics,
                peers=peers,
                store=store,
                heartbeat=HEARTBEAT_MS,
                grace=GRACE_S,
            )
        )
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['GREENGAGELB_SETTINGS'] = str(self.settings)
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'greengagelb.platform'],
                env=environment,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send the process a signal, if it lives."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        headers = {'Host': self.host}
        try:
            asked = wire.ask(
                self.host, self.ready, 'GET', '/api/readiness', headers
            )
            answer = await asyncio.wait_for(asked, 1.0)
        except OSError:
            return False
        return answer is not None and answer.status == 200


class Engine:
    """One engine: behaves as the pages say, with faults that a case sets.

    ``answer`` is called with a request that begins to run.
    """

    def __init__(
        self, fleet: 'Fleet', service: str, zone: str, host: str, slots: int
    ) -> None:
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.host = host
        self.slots = slots
        self.id = f'i-{secrets.token_hex(5)}'
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.seq = 0
        self.running = 0
        self.server: asyncio.Server | None = None
        self.address = ''
        self.is_listed = True
        self.answer = None

    async def start(self) -> None:
        """Listen, and register."""
        self.server = await wire.listen(self.host, 0, self.handle)
        self.address = f'{self.host}:{wire.port_of(self.server)}'
        self.register()

    def register(self) -> None:
        """Write or renew the entry in the store."""
        if not self.is_listed:
            return
        self.seq += 1
        self.fleet.store.put(
            'servers',
            self.id,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'cold_left_ms': 0,
                'seq': self.seq,
                'born': self.born,
            },
        )

    async def handle(
        self, request: wire.Message, channel: wire.Channel
    ) -> None:
        """Answer one request."""
        fields = request.headers
        request_id = fields.get('request-id', '')
        common = {'Engine-Load': f'{self.running},0,{self.slots}'}
        if request_id:
            common['Request-Id'] = request_id
        if fields.get('expect-instance', self.id) != self.id:
            headers = {**common, 'Not-Executed': '1', 'Instance-Id': self.id}
            await wire.write_answer(channel, 421, headers)
            return
        if request.path == '/health':
            status = 200 if self.state == 'ready' else 503
            headers = {**common, 'Instance-Id': self.id}
            await wire.write_answer(channel, status, headers)
            return
        if request.path == '/api/report':
            await wire.write_answer(channel, 200, {}, self.report())
            return
        if not request_id:
            await wire.write_answer(channel, 400, {'Not-Executed': '1'})
            return
        if self.running >= self.slots or 'kv-from' in fields:
            headers = {**common, 'Not-Executed': '1'}
            await wire.write_answer(channel, 503, headers)
            return
        self.running += 1
        self.fleet.record.add(
            'runs',
            engine=self.id,
            id=request_id,
            path=request.path,
            after=fields.get('last-event-id', ''),
        )
        how = 'channel closed'
        try:
            how = await self.answer(self, request, channel, common)
        finally:
            self.running -= 1
            self.fleet.record.add(
                'run ends', engine=self.id, id=request_id, how=how
            )

    def report(self) -> bytes:
        """Return what the engine says of itself."""
        return json.dumps(
            {
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'seq': 0,
                'waiting': 0,
                'running': self.running,
                'kv_used': 9_000 * self.running,
                'kv_total': 88_000,
                'handles': 0,
                'state': self.state,
                'born': self.born,
            }
        ).encode()


class Fleet:
    """All of it; clean up with :meth:`close`."""

    def __init__(self, record_path: pathlib.Path) -> None:
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = store_module.Store()
        self.net = f'127.{60 + os.getpid() % 180}'
        self.engines: list[Engine] = []
        self.instances: list[Instance] = []
        self.servers: list[asyncio.Server] = []
        self.tasks: list[asyncio.Task] = []
        self.store_address = ''
        self.peer_port = 0

    async def start(
        self,
        instances: int,
        engines: dict[str, int],
        config: dict,
        answers: dict[str, object],
        slots: int = 32,
    ) -> None:
        """Start all, and wait until every instance is ready."""
        if not (ROOT / 'target' / 'deps' / 'greengagelb').is_dir():
            raise Skipped('target/deps is not built: run deploy/build.sh')
        host = f'{self.net}.0.1'
        server = await wire.listen(host, 0, self.store.handle)
        self.servers.append(server)
        self.store_address = f'{host}:{wire.port_of(server)}'
        self.store.put('op', 'config', config)
        for service, count in engines.items():
            for number in range(count):
                place = len(self.engines)
                engine = Engine(
                    self,
                    service,
                    ZONES[number % len(ZONES)],
                    f'{self.net}.1.{1 + place}',
                    slots,
                )
                engine.answer = answers[service]
                await engine.start()
                self.engines.append(engine)
        self.tasks.append(asyncio.ensure_future(self.renew()))
        self.peer_port = free_port(f'{self.net}.2.1', socket.SOCK_DGRAM)
        for number in range(instances):
            zone = ZONES[number % len(ZONES)]
            name = f'front-{zone}-{number}'
            host = f'{self.net}.2.{1 + number}'
            instance = Instance(self.folder, name, host, zone)
            instance.start(self.store_address, self.peer_port)
            self.instances.append(instance)
        until = time.monotonic() + START_SECONDS
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > until:
                    raise Skipped(f'{instance.name} does not get ready')
                await asyncio.sleep(0.1)
        self.record.add('all instances ready')

    async def renew(self) -> None:
        """Have the engines renew their entries."""
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000.0)
            for engine in self.engines:
                engine.register()

    async def send(
        self,
        instance: Instance,
        method: str,
        target: str,
        limit_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> dict:
        """Send one client attempt on a new channel; return its line."""
        request_id = secrets.token_hex(8)
        fields = {
            'Host': HOST_NAME,
            'Request-Id': request_id,
            'Request-Deadline': str(limit_ms),
            'Authorization': f'Bearer {KEY}',
            **(headers or {}),
        }
        sent = self.record.add(
            'sent', id=request_id, to=instance.name, target=target
        )
        parts = []
        answer, why = None, 'channel closed without an answer'
        try:
            asked = wire.ask(
                instance.host,
                instance.front,
                method,
                target,
                fields,
                body,
                parts.append,
            )
            answer = await asyncio.wait_for(asked, limit_ms / 1000.0 + 1.0)
        except TimeoutError:
            why = 'no answer in time'
        except OSError as exc:
            why = f'no channel: {exc}'
        if answer is None:
            return self.record.add(
                'no answer', id=request_id, why=why, sent_at_s=sent['at_s']
            )
        return self.record.add(
            'answered',
            id=request_id,
            status=answer.status,
            sealed='engine-seal' in answer.headers,
            whole=answer.is_whole,
            events=answer.body.count(b'\n\n'),
            sent_at_s=sent['at_s'],
        )

    async def close(self) -> None:
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
            if instance.process is not None:
                instance.process.wait()
        for server in self.servers:
            server.close()
        for engine in self.engines:
            if engine.server is not None:
                engine.server.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, service: str, kind: str, **fields: object) -> dict:
    """Return a route of the config."""
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': f'/{name}/',
        'service': service,
        'kind': kind,
        'priority': 1,
    } | fields


def config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a whole config, as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3_000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY]}],
    }


def main(play: object) -> None:
    """Play a case; exit with 1 if the rule was broken, 2 if it can't run.

    ``play`` gets the fleet and whether there is trouble, and returns what
    broke the rule.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> list[str]:
        fleet = Fleet(folder / 'record.txt')
        try:
            found = await play(fleet, has_trouble)
            for line in found:
                fleet.record.add('rule broken', how=line)
            fleet.record.add('end', broken=len(found), trouble=has_trouble)
            return found
        finally:
            await fleet.close()

    try:
        broken = asyncio.run(run())
    except (Skipped, OSError) as exc:
        print(f'could not run: {exc}')
        sys.exit(2)
    for line in broken:
        print(line)
    print(f'{len(broken)} times broken' if broken else 'rule held')
    sys.exit(1 if broken else 0)
