"""Starts and stops the processes of the demonstration.

Only ``greengagelb demo`` starts processes. In a deployment, operators start
them on many machines.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import hashlib
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import textwrap
import time
import zipfile

from greengagelb import errors
from greengagelb.state import configuration as configuration_state

HOST = '127.0.0.1'
DATA_CENTRE = 'demo-1'
STOP_TIMEOUT_SECONDS = 20.0
PORT_RANGE = range(12_000, 32_000)
RESERVED_SOCKETS: list[socket.socket] = []


class LaunchedProcess:
    """A child process."""

    def __init__(
        self,
        name: str,
        popen: subprocess.Popen,
        ports: list[int],
        log_path: pathlib.Path,
    ) -> None:
        self.name = name
        self.popen = popen
        self.ports = ports
        self.log_path = log_path

    @property
    def port(self) -> int:
        """Return the port that callers or instances use."""
        return self.ports[0]

    @property
    def operator_port(self) -> int:
        """Return the port of an instance's operator interface."""
        return self.ports[1]

    @property
    def peer_port(self) -> int:
        """Return the port of an instance for other instances."""
        return self.ports[2]

    @property
    def served_ports(self) -> list[int]:
        """Return the ports that serve HTTP.

        An instance opens them one after the other, so its first port answers
        slightly before its second.
        """
        return self.ports[:2]

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process, to simulate a crash."""
        self.popen.kill()
        self.popen.wait()

    def stop(self) -> int:
        """Send SIGTERM and return the exit code.

        Raises :class:`~greengagelb.errors.DemoFailed` if the process does not
        exit in time.
        """
        self.popen.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired as exc:
            raise errors.DemoFailed(f'{self.name} does not stop') from exc


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLocation:
    """The data centre, peers and platform of an instance.

    ``platform_port`` 0 means the port of the launcher's own platform.
    """

    data_centre: str = DATA_CENTRE
    peers: tuple[LaunchedProcess, ...] = ()
    platform_port: int = 0


class Launcher(contextlib.ExitStack):
    """A small fleet on loopback; ends processes that still run on exit."""

    poll_seconds = 0.2
    heartbeat_seconds = 0.5

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        super().__init__()
        self.folder = folder or pathlib.Path(
            self.enter_context(tempfile.TemporaryDirectory())
        )
        self.operator_key = secrets.token_urlsafe(16)
        self.account_key = secrets.token_urlsafe(16)
        self.cursor_secret = secrets.token_urlsafe(24)
        self.platform = self.start_stand_in('platform', 'platform')
        self.engines: dict[str, LaunchedProcess] = {}
        self.services: dict[str, LaunchedProcess] = {}
        self.instances: dict[str, LaunchedProcess] = {}

    def processes(self) -> list[LaunchedProcess]:
        """Return all processes, instances first."""
        return [
            *self.instances.values(),
            *self.engines.values(),
            *self.services.values(),
            self.platform,
        ]

    def start_process(
        self, name: str, words: list[str], ports: list[int]
    ) -> LaunchedProcess:
        """Start the program with arguments; its output goes to a log file."""
        log_path = self.folder / f'{name}.log'
        popen = subprocess.Popen(
            [*program_arguments(), *words],
            stdin=subprocess.DEVNULL,
            stdout=self.enter_context(log_path.open('wb')),
            stderr=subprocess.STDOUT,
        )
        self.callback(self.terminate_process, popen)
        return LaunchedProcess(name, popen, ports, log_path)

    def terminate_process(self, popen: subprocess.Popen) -> None:
        """Terminate a process that still runs; kill it after 1 s."""
        if popen.poll() is None:
            popen.terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                popen.wait(1.0)
        if popen.poll() is None:
            popen.kill()
        popen.wait()

    def start_stand_in(
        self, kind: str, name: str, *flags: str
    ) -> LaunchedProcess:
        """Start a stand-in."""
        port = reserve_port()
        words = ['stand-in', kind, f'--port={port}', f'--name={name}', *flags]
        return self.start_process(name, words, [port])

    def start_engine(self, name: str, *flags: str) -> LaunchedProcess:
        """Start an engine stand-in."""
        self.engines[name] = self.start_stand_in('engine', name, *flags)
        return self.engines[name]

    def start_service(self, name: str) -> LaunchedProcess:
        """Start a plain-service stand-in."""
        self.services[name] = self.start_stand_in('service', name)
        return self.services[name]

    def start_instance(
        self, name: str, location: InstanceLocation = InstanceLocation()
    ) -> LaunchedProcess:
        """Start an instance."""
        ports = [reserve_port() for _ in range(3)]
        path = self.folder / f'{name}.ini'
        path.write_text(self.render_settings(name, ports, location))
        words = ['serve', f'--settings={path}']
        self.instances[name] = self.start_process(name, words, ports)
        return self.instances[name]

    def render_settings(
        self, name: str, ports: list[int], location: InstanceLocation
    ) -> str:
        """Return the settings file of an instance."""
        peers = ', '.join(f'{HOST}:{one.peer_port}' for one in location.peers)
        addresses = f'addresses = {peers}' if peers else ''
        return textwrap.dedent(
            f"""\
            [instance]
            name = {name}
            data_centre = {location.data_centre}
            host = {HOST}
            caller_port = {ports[0]}
            operator_port = {ports[1]}
            peer_port = {ports[2]}

            [platform]
            host = {HOST}
            port = {location.platform_port or self.platform.port}
            poll_seconds = {self.poll_seconds}
            timeout_seconds = 1.0

            [secrets]
            cursor_secret = {self.cursor_secret}
            operator_key_digest = {digest(self.operator_key)}

            [peers]
            heartbeat_seconds = {self.heartbeat_seconds}
            {addresses}
            """
        )

    def configuration(self) -> configuration_state.Configuration:
        """Return a configuration with one account and all upstreams."""
        return configuration_state.Configuration(
            accounts=(
                configuration_state.ClientAccount(
                    'teratak', digest(self.account_key), ('draft', 'charge')
                ),
            ),
            services=(
                configuration_state.Service(
                    'draft',
                    configuration_state.ServiceKind.GENERATION,
                    'drafting',
                ),
                configuration_state.Service(
                    'charge',
                    configuration_state.ServiceKind.CALL,
                    'charging',
                    idempotent=False,
                    priority=configuration_state.Priority.SHORT,
                ),
            ),
            pools=(
                configuration_state.Pool(
                    'drafting', upstreams(self.engines), 'm', '1'
                ),
                configuration_state.Pool('charging', upstreams(self.services)),
            ),
        )

    def log_tails(self) -> str:
        """Return the last lines of each log, for the report of a failure."""
        parts = []
        for path in sorted(self.folder.glob('*.log')):
            lines = path.read_text('utf-8', 'replace').splitlines()[-5:]
            parts += [f'--- {path.stem}', *lines]
        return '\n'.join(parts) + '\n'


def program_arguments() -> list[str]:
    """Return the arguments that start this program.

    Inside the single-file archive, ``-m`` finds no module of that name.
    """
    if zipfile.is_zipfile(sys.argv[0]):
        return [sys.executable, sys.argv[0]]
    return [sys.executable, '-m', 'greengagelb']


def upstreams(
    processes: dict[str, LaunchedProcess],
) -> tuple[configuration_state.Upstream, ...]:
    """Return processes as upstreams of a pool."""
    return tuple(
        configuration_state.Upstream(name, HOST, process.port, DATA_CENTRE)
        for name, process in processes.items()
    )


def reserve_port() -> int:
    """Return an unused port, reserved for this process's children.

    The operating system may assign ports from 32768 up to outgoing connections
    at any time, so the port is chosen below that. It stays bound here, because
    otherwise this launcher or another one could choose it again before the
    process that it is meant for listens, which would then fail with "address
    already in use". Address reuse is enabled after binding, so that a process
    which also enables it, as Twisted and zmq do, can listen on the port, while
    a launcher that tries to reserve it again can't bind it.
    """
    while True:
        port = secrets.choice(PORT_RANGE)
        reservation = socket.socket()
        try:
            reservation.bind((HOST, port))
        except OSError:
            reservation.close()
            continue
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        RESERVED_SOCKETS.append(reservation)
        return port


def digest(key: str) -> str:
    """Return the digest that is stored in place of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def is_listening(port: int) -> bool:
    """Return whether a process listens on a port."""
    try:
        with socket.create_connection((HOST, port), timeout=1.0):
            return True
    except OSError:
        return False


def wait_until_listening(
    processes: list[LaunchedProcess],
    check_interrupted: Callable[[], None],
    timeout_seconds: float = 30.0,
) -> None:
    """Return once all processes listen.

    Calls ``check_interrupted`` while waiting, which may raise. Raises
    :class:`~greengagelb.errors.DemoFailed` if a process ends or the timeout
    passes.
    """
    deadline = time.monotonic() + timeout_seconds
    for process in processes:
        while not all(is_listening(port) for port in process.served_ports):
            check_interrupted()
            if process.popen.poll() is not None:
                raise errors.DemoFailed(f'{process.name} exited unexpectedly')
            if time.monotonic() > deadline:
                raise errors.DemoFailed(
                    f'{process.name} does not listen in time'
                )
            time.sleep(0.02)
