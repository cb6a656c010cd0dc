"""The build script, which the platform may run concurrently."""

import pathlib
import shutil
import subprocess
import sys

import pytest

pytestmark = pytest.mark.slow

ROOT = pathlib.Path(__file__).parents[2]
CONCURRENT_BUILDS = 6


@pytest.fixture
def checkout(tmp_path):
    """Return a checkout with a small package and no missing dependencies."""
    for name in ('deploy/build.sh', 'requirements/relay.lock'):
        (tmp_path / name).parent.mkdir()
        shutil.copy(ROOT / name, tmp_path / name)
    package = tmp_path / 'src' / 'greengagelb'
    package.mkdir(parents=True)
    for number in range(40):
        (package / f'part{number}.py').write_text(f'NUMBER = {number}\n')
    (package / '__init__.py').write_text('from greengagelb import part39\n')
    (tmp_path / 'target' / 'deps').mkdir(parents=True)
    shutil.copy(
        ROOT / 'requirements' / 'relay.lock',
        tmp_path / 'target' / 'installed.lock',
    )
    return tmp_path


def start_build(checkout):
    return subprocess.Popen(['bash', 'deploy/build.sh'], cwd=checkout)


def can_import_package(checkout):
    """Return whether an instance that starts now could import the package."""
    done = subprocess.run(
        [sys.executable, '-c', 'import greengagelb'],
        cwd=checkout / 'target' / 'deps',
        check=False,
        capture_output=True,
    )
    return done.returncode == 0


def test_builds_at_the_same_time_leave_a_whole_package(checkout):
    """Guards against concurrent builds that move each other's directories."""
    builds = [start_build(checkout) for _ in range(CONCURRENT_BUILDS)]
    assert [one.wait() for one in builds] == [0] * CONCURRENT_BUILDS
    assert can_import_package(checkout)


def test_a_build_without_a_change_leaves_what_runs_alone(checkout):
    """Guards against an instance that starts while the package is missing."""
    assert start_build(checkout).wait() == 0
    package = checkout / 'target' / 'deps' / 'greengagelb'
    before = package.stat().st_ino
    assert start_build(checkout).wait() == 0
    assert package.stat().st_ino == before


def test_a_build_takes_in_a_change(checkout):
    """Guards against a build that is skipped although the source changed."""
    assert start_build(checkout).wait() == 0
    source = checkout / 'src' / 'greengagelb' / 'part39.py'
    source.write_text('NUMBER = 40\n')
    assert start_build(checkout).wait() == 0
    built = checkout / 'target' / 'deps' / 'greengagelb' / 'part39.py'
    assert built.read_text() == 'NUMBER = 40\n'
    (checkout / 'src' / 'greengagelb' / 'part0.py').unlink()
    assert start_build(checkout).wait() == 0
    assert not (built.parent / 'part0.py').exists()
