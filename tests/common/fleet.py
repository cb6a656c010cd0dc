"""Real processes of a small fleet on loopback, ended with the test."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

from greengagelb.cli import launcher

HOST = '127.0.0.1'
OPERATOR_KEY = 'operator-key-of-the-tests'
ACCOUNT_KEY = 'key-of-teratak'
OTHER_KEY = 'key-of-karri'
STARTING_SECONDS = 20.0


def free_port() -> int:
    """Return a port that nobody listens on."""
    return launcher.free_port()


def digest(key: str) -> str:
    """Return the digest under which a key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclasses.dataclass
class Answer:
    """Status, headers and body of an HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def ask(
    port: int,
    path: str,
    message: Any = None,
    *,
    method: str | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 15.0,
) -> Answer:
    """Send a request and return its answer, whatever its status."""
    raw = None if message is None else json.dumps(message).encode()
    request = urllib.request.Request(
        f'http://{HOST}:{port}{path}',
        data=raw,
        headers=headers or {},
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as found:
            return Answer(found.status, dict(found.headers), found.read())
    except urllib.error.HTTPError as exc:
        return Answer(exc.code, dict(exc.headers), exc.read())


def bearer(key: str) -> dict[str, str]:
    """Return the header that carries a key."""
    return {'Authorization': f'Bearer {key}'}


def wait_until(check: Any, seconds: float = STARTING_SECONDS) -> None:
    """Return once ``check`` holds; fail after some time."""
    give_up = time.monotonic() + seconds
    while time.monotonic() < give_up:
        with contextlib.suppress(OSError):
            if check():
                return
        time.sleep(0.02)
    raise AssertionError('the condition did not come about in time')


@dataclasses.dataclass
class Process:
    """A process of the fleet."""

    popen: subprocess.Popen
    port: int
    operator_port: int = 0
    peer_port: int = 0
    log: pathlib.Path | None = None

    def listens(self) -> bool:
        """Return whether the process listens; fail if it has ended."""
        if self.popen.poll() is not None:
            found = self.log.read_text() if self.log else ''
            raise AssertionError(f'{self.popen.args} ended: {found}')
        ports = [self.port, self.operator_port or self.port]
        return all(listens(port) for port in ports)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self.popen.send_signal(number)


class Fleet(contextlib.ExitStack):
    """Starts processes, and kills those that are left when it closes."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__()
        self.folder = folder
        self.poll_seconds = 0.2
        self.platform = self.stand_in('platform', 'platform')
        self.engines: dict[str, Process] = {}
        self.services: dict[str, Process] = {}
        self.instances: dict[str, Process] = {}

    def run(self, name: str, words: list[str], port: int) -> Process:
        """Start the program with these arguments."""
        log = self.folder / f'{name}.log'
        output = self.enter_context(log.open('wb'))
        popen = subprocess.Popen(
            [sys.executable, '-m', 'greengagelb', *words],
            stdout=output,
            stderr=subprocess.STDOUT,
            env=dict(os.environ),
        )
        self.callback(self.end, popen)
        return Process(popen, port, log=log)

    def end(self, popen: subprocess.Popen) -> None:
        """Kill a process that still runs, stopped ones too."""
        if popen.poll() is None:
            popen.kill()
        popen.wait()

    def wait_for_all(self) -> None:
        """Wait until every process listens."""
        for process in [
            self.platform,
            *self.engines.values(),
            *self.services.values(),
            *self.instances.values(),
        ]:
            wait_until(lambda p=process: p.listens())

    def stand_in(self, kind: str, name: str, *flags: str) -> Process:
        """Start a stand-in."""
        port = free_port()
        words = ['stand-in', kind, f'--port={port}', f'--name={name}', *flags]
        return self.run(name, words, port)

    def engine(self, name: str, *flags: str) -> Process:
        """Start an engine stand-in."""
        self.engines[name] = self.stand_in('engine', name, *flags)
        return self.engines[name]

    def service(self, name: str) -> Process:
        """Start a plain-service stand-in."""
        self.services[name] = self.stand_in('service', name)
        return self.services[name]

    def instance(
        self,
        name: str,
        data_centre: str = 'kl-1',
        peers: Sequence[Process] = (),
        platform_port: int = 0,
    ) -> Process:
        """Start an instance, with settings that name these peers."""
        caller, operator, peer = free_port(), free_port(), free_port()
        path = self.folder / f'{name}.ini'
        addresses = ', '.join(f'{HOST}:{one.peer_port}' for one in peers)
        named = f'addresses = {addresses}\n' if peers else ''
        platform = platform_port or self.platform.port
        path.write_text(
            f'[instance]\nname = {name}\ndata_centre = {data_centre}\n'
            f'host = {HOST}\ncaller_port = {caller}\n'
            f'operator_port = {operator}\npeer_port = {peer}\n'
            f'[platform]\nhost = {HOST}\nport = {platform}\n'
            f'poll_seconds = {self.poll_seconds}\ntimeout_seconds = 1.0\n'
            '[secrets]\ncursor_secret = the-secret-of-the-test-fleet\n'
            f'operator_key_digest = {digest(OPERATOR_KEY)}\n'
            f'[peers]\nheartbeat_seconds = 0.5\n{named}'
        )
        process = self.run(name, ['serve', f'--settings={path}'], caller)
        process.operator_port = operator
        process.peer_port = peer
        self.instances[name] = process
        return process

    def upstreams(self, processes: dict[str, Process]) -> list[dict]:
        """Return processes as upstreams of a configuration."""
        return [
            {
                'name': name,
                'host': HOST,
                'port': process.port,
                'data_centre': 'kl-1',
            }
            for name, process in processes.items()
        ]

    def configuration(self) -> dict[str, Any]:
        """Return a configuration with all upstreams that were started."""
        services = ['draft', 'lookup', 'charge']
        return {
            'accounts': [
                {
                    'name': 'teratak',
                    'key_digest': digest(ACCOUNT_KEY),
                    'services': services,
                },
                {
                    'name': 'karri',
                    'key_digest': digest(OTHER_KEY),
                    'services': services,
                },
            ],
            'services': [
                {'name': 'draft', 'kind': 'generation', 'pool': 'drafting'},
                {
                    'name': 'lookup',
                    'kind': 'call',
                    'pool': 'plain',
                    'priority': 0,
                },
                {
                    'name': 'charge',
                    'kind': 'call',
                    'pool': 'plain',
                    'idempotent': False,
                    'priority': 0,
                },
            ],
            'pools': [
                {
                    'name': 'drafting',
                    'model': 'm',
                    'version': '1',
                    'upstreams': self.upstreams(self.engines),
                },
                {'name': 'plain', 'upstreams': self.upstreams(self.services)},
            ],
        }

    def configure(self, configuration: dict[str, Any]) -> None:
        """Plan and confirm a configuration, and wait until it is in force."""
        self.wait_for_all()
        first = next(iter(self.instances.values()))
        intent = {
            'type': 'replace-configuration',
            'configuration': configuration,
        }
        headers = bearer(OPERATOR_KEY)
        plan = ask(
            first.operator_port, '/v1/plans', intent, headers=headers
        ).json()
        path = f'/v1/plans/{plan["plan_id"]}/confirm'
        confirmed = ask(
            first.operator_port, path, method='POST', headers=headers
        )
        assert confirmed.status == 200, confirmed.body
        for process in self.instances.values():
            wait_until(lambda p=process: ask(p.port, '/readyz').status == 200)


def listens(port: int) -> bool:
    """Return whether somebody listens on a port."""
    with socket.create_connection((HOST, port), timeout=1.0):
        return True


@contextlib.contextmanager
def small_fleet(
    folder: pathlib.Path, engines: int = 2, instances: int = 2
) -> Iterator[Fleet]:
    """Run engines, one plain service and configured instances."""
    with Fleet(folder) as fleet:
        for number in range(engines):
            fleet.engine(f'engine-{number}')
        fleet.service('plain-0')
        for number in range(instances):
            fleet.instance(f'router-{number}')
        fleet.configure(fleet.configuration())
        yield fleet
