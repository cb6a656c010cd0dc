"""Dependencies and start time of an instance on the platform.

After all instances have ended, callers whose answers were cut off reconnect at
once and find no open port until an instance has started. The streams of the
last seconds are then lost to the start time, which is nearly all imports.
"""

import pathlib
import re
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
LOCKED_PACKAGE = re.compile(r'^([a-z0-9-]+)==([^ ]+)', re.MULTILINE)
HASHES = re.compile(r'sha256:[0-9a-f]+')
# Modules that the product's own interface needs and relaying does not.
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
    """Return the locked packages with their versions and hashes."""
    text = (ROOT / 'requirements' / f'{name}.lock').read_text('utf-8')
    starts = list(LOCKED_PACKAGE.finditer(text))
    ends = [found.start() for found in starts[1:]] + [len(text)]
    return {
        found[1]: (found[2], HASHES.findall(text[found.start() : end]))
        for found, end in zip(starts, ends, strict=True)
    }


def imported_modules():
    """Return the modules that an instance has imported before it serves."""
    done = subprocess.run(
        [sys.executable, '-c', PROGRAM.format(blocked=UNNEEDED_MODULES)],
        capture_output=True,
        text=True,
        check=True,
    )
    return set(done.stdout.split())


def test_instance_starts_with_what_is_locked_for_it():
    """Guards against a missing package, which fails the start everywhere."""
    assert not set(UNNEEDED_MODULES) & {
        name.lower() for name in read_lock('relay')
    }
    assert 'greengagelb.transport.relay.instance' in imported_modules()


def test_locked_versions_are_those_of_the_tests():
    """Guards against tests with other versions than those deployed."""
    tested = read_lock('dev')
    for name, locked in read_lock('relay').items():
        assert tested[name] == locked


def test_decisions_of_the_other_interface_are_not_imported():
    """Guards against unneeded imports that make the start slower."""
    names = imported_modules()
    assert 'greengagelb.coordination.node' not in names
    assert 'greengagelb.coordination.fleet.routing' not in names


def test_build_leaves_whole_and_compiled_modules(tmp_path):
    """Guards against builds that leave missing or uncompiled modules.

    Instances may start during a build. One that finds a module missing exits,
    and so does each replacement. An instance that can't write compiled modules
    compiles all of them at each start.
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
