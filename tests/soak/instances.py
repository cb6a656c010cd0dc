"""Instances of the product as processes, each behind a proxy to the store."""

import os
import pathlib
import signal
import subprocess
import sys

from twisted.internet import interfaces

from tests.soak import proxy

ROOT = pathlib.Path(__file__).parents[2]
GRACE_SECONDS = 4.0
DRAIN_SECONDS = 2.0
HEARTBEAT_MILLISECONDS = 1_200
RETRY_RATIO = 0.8
RETRY_WINDOW_SECONDS = 10.0
# The fields of ``SETTINGS`` for tests in which nothing depends on retries.
USUAL_RETRIES = {
    'ratio': RETRY_RATIO,
    'window': RETRY_WINDOW_SECONDS,
    'slack': 150.0,
}
SETTINGS = """[instance]
name = {name}
data_centre = {place}
caller_address = {host}:{callers}
ready_address = {host}:{ready}
peer_port = {peers}
metrics_port = {metrics}

[store]
address = {host}:{store}

[retries]
ratio = {ratio}
window_seconds = {window}
slack = {slack}

[engines]
address_reuse_seconds = 2
heartbeat_milliseconds = {heartbeat}

[stop]
grace_seconds = {grace}
"""


class Instance:
    """One instance: at most one process at a time.

    ``stop_asked_at`` is when its process was asked to stop, or None.
    ``paused`` tells that it is suspended, and ``cuts`` is how often it was cut
    off from the engines; ``cut_mode`` tells how it is now.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        folder: pathlib.Path,
        name: str,
        place: str,
        host: str,
        peer_port: int,
        store: tuple[str, int],
        retry_slack: float,
    ) -> None:
        self.reactor = reactor
        self.folder = folder
        self.name = name
        self.host = host
        self.store_link = proxy.Proxy(reactor, host)
        self.store_link.far = store
        self.port, self.ready_port, metrics = proxy.free_ports(host, 3)
        self.settings = folder / f'{name}.ini'
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                place=place,
                host=host,
                callers=self.port,
                ready=self.ready_port,
                peers=peer_port,
                metrics=metrics,
                store=self.store_link.port,
                heartbeat=HEARTBEAT_MILLISECONDS,
                grace=GRACE_SECONDS,
                ratio=RETRY_RATIO,
                window=RETRY_WINDOW_SECONDS,
                slack=retry_slack,
            )
        )
        self.cut_file = folder / f'{name}.cut'
        self.process: subprocess.Popen | None = None
        self.stop_asked_at: float | None = None
        self.paused = False
        self.cuts = 0
        self.cut_mode = ''
        self.ready = False
        self.peak_megabytes = 0.0
        self.unexpected_ends: list[str] = []

    @property
    def lives(self) -> bool:
        """Return whether there is a process."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process; what it writes goes to a file."""
        self.stop_asked_at = None
        self.paused = False
        environment = dict(os.environ)
        environment['GREENGAGELB_SETTINGS'] = str(self.settings)
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'tests.soak.cut_process',
                    self.host,
                    str(self.cut_file),
                ],
                env=environment,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it lives."""
        if self.lives:
            self.process.send_signal(number)

    @property
    def handles_signals(self) -> bool:
        """Return whether the process has come as far as its own code.

        Before that the interpreter itself is starting, and no program can
        keep a signal from ending it.
        """
        if not self.lives:
            return False
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        masks = dict(line.split(':', 1) for line in status.splitlines())
        handled = int(masks['SigCgt'], 16) | int(masks['SigIgn'], 16)
        return bool(handled & 1 << (signal.SIGTERM - 1))

    def look_at_memory(self) -> None:
        """Note the most memory that the process has had."""
        if self.handles_signals:
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            fields = dict(
                line.split(':', 1) for line in status.read_text().splitlines()
            )
            peak = int(fields['VmHWM'].split()[0]) / 1024.0
            self.peak_megabytes = max(self.peak_megabytes, peak)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
            self.process = None

    def stop(self) -> None:
        """Ask the process to stop."""
        if self.handles_signals:
            self.stop_asked_at = self.reactor.seconds()
            self.signal(signal.SIGTERM)

    def look_whether_ended(self) -> None:
        """Note a process that ended by itself, or badly."""
        if self.process is None or self.process.poll() is None:
            return
        code = self.process.returncode
        if self.stop_asked_at is None or code != 0:
            self.unexpected_ends.append(f'{self.name}: exit status {code}')
        self.process = None
