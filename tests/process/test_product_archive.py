"""The archive runs as one process and writes nothing to a disk."""

import os
import pathlib
import shutil
import signal
import subprocess
import tempfile

import pytest

from tests.common import archives
from tests.common import fleet
from tests.common import processes

pytestmark = pytest.mark.slow

MEMORY = pathlib.Path('/dev/shm')


@pytest.fixture
def memory_folder():
    folder = tempfile.mkdtemp(dir=MEMORY if MEMORY.is_dir() else None)
    yield pathlib.Path(folder)
    shutil.rmtree(folder)


def test_archive_runs_as_one_process_and_writes_only_to_memory(
    tmp_path, memory_folder
):
    archive = archives.build_archive(tmp_path)
    home = tmp_path / 'home'
    home.mkdir()
    ports = [fleet.free_port() for _ in range(3)]
    settings = tmp_path / 'a.ini'
    settings.write_text(
        '[instance]\nname = a\ndata_centre = x\n'
        f'host = {fleet.HOST}\ncaller_port = {ports[0]}\n'
        f'operator_port = {ports[1]}\npeer_port = {ports[2]}\n'
        f'[platform]\nhost = {fleet.HOST}\nport = {fleet.free_port()}\n'
        '[secrets]\ncursor_secret = 0123456789abcdef\n'
        f'operator_key_digest = {fleet.digest("x")}\n'
    )
    environment = {
        'HOME': str(home),
        'PATH': os.environ['PATH'],
        'SHIV_ROOT': str(memory_folder),
    }
    served = subprocess.Popen(
        [str(archive), 'serve', f'--settings={settings}'],
        env=environment,
        cwd=home,
        stdout=subprocess.DEVNULL,
    )
    try:
        fleet.wait_until(lambda: fleet.listens(ports[0]))
        assert fleet.ask(ports[0], '/healthz').status == 200
        assert fleet.ask(ports[0], '/readyz').status == 503
        assert processes.children_of(served.pid) == []
        served.send_signal(signal.SIGTERM)
        assert served.wait(20) == 0
    finally:
        served.kill()
        served.wait()
    assert list(home.iterdir()) == []
    assert list(memory_folder.iterdir())
