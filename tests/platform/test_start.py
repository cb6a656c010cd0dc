"""What an instance on the platform needs until it serves.

While it starts nobody is served by it. Callers whose answers were cut off when
all instances ended come back at once, and find no open port: on days that end
so, the streams of the last seconds are lost to the time of a start, of which
imports are nearly all.
"""

import pathlib
import re
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
LOCKED_PACKAGE = re.compile(r'^([a-z0-9-]+)==([^ ]+)', re.MULTILINE)
HASHES = re.compile(r'sha256:[0-9a-f]+')
# What the product's own interface needs and relaying does not.
UNNEEDED_MODULES = (
    'OpenSSL',
    'cryptography',
    'klein',
    'treq',
    'werkzeug',
    'zmq',
)

PROGRAM = """
import sys

for name in {blocked!r}:
    sys.modules[name] = None
from greengagelb.platform import process
from twisted.internet import reactor
from greengagelb.transport import recorder
from greengagelb.transport.relay import instance

print('\\n'.join(name for name in sys.modules))
"""


def read_lock(name):
    """Return the locked packages, each with its version and hashes."""
    text = (ROOT / 'requirements' / f'{name}.lock').read_text('utf-8')
    starts = list(LOCKED_PACKAGE.finditer(text))
    ends = [found.start() for found in starts[1:]] + [len(text)]
    return {
        found[1]: (found[2], HASHES.findall(text[found.start() : end]))
        for found, end in zip(starts, ends, strict=True)
    }


def imported_modules():
    """Return the modules of an instance that is about to serve."""
    done = subprocess.run(
        [sys.executable, '-c', PROGRAM.format(blocked=UNNEEDED_MODULES)],
        capture_output=True,
        text=True,
        check=True,
    )
    return set(done.stdout.split())


def test_instance_starts_with_what_is_locked_for_it():
    """A package that is missing shows at the first start, on all machines."""
    assert not set(UNNEEDED_MODULES) & {
        name.lower() for name in read_lock('relay')
    }
    assert 'greengagelb.transport.relay.instance' in imported_modules()


def test_locked_versions_are_those_of_the_tests():
    """Tests with other versions would say nothing of what runs."""
    tested = read_lock('dev')
    for name, locked in read_lock('relay').items():
        assert tested[name] == locked


def test_decisions_of_the_other_interface_are_not_imported():
    """Each module takes its part of the time until callers are served."""
    names = imported_modules()
    assert 'greengagelb.coordination.node' not in names
    assert 'greengagelb.coordination.fleet.routing' not in names


def test_build_leaves_whole_and_compiled_modules(tmp_path):
    """The program is built anew beside instances that are starting.

    One that found a module missing would end, and so would each that the
    platform starts in its place. Where it may not write, an instance without
    compiled modules compiles all of them at each start.
    """
    for folder in ('deploy', 'requirements', 'src/greengagelb'):
        shutil.copytree(
            ROOT / folder,
            tmp_path / folder,
            ignore=shutil.ignore_patterns('__pycache__'),
        )
    deps = tmp_path / 'target' / 'deps' / 'greengagelb'
    deps.mkdir(parents=True)
    (deps / 'former.py').write_text('')
    shutil.copy(
        tmp_path / 'requirements' / 'relay.lock',
        tmp_path / 'target' / 'installed.lock',
    )
    subprocess.run(['bash', 'deploy/build.sh'], cwd=tmp_path, check=True)
    assert not (deps / 'former.py').exists()
    sources = set((tmp_path / 'src' / 'greengagelb').rglob('*.py'))
    assert len(list(deps.rglob('*.py'))) == len(sources)
    assert len(list(deps.rglob('*.pyc'))) == len(sources)
    assert {p.name for p in (tmp_path / 'target').iterdir()} == {
        'deps',
        'installed.lock',
    }
