"""Builds the one-file archive from what is installed here, offline."""

from importlib import metadata
import pathlib
import re
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
LOCKED = re.compile(r'^([A-Za-z0-9_.-]+)==', re.MULTILINE)

UNWANTED = {'..', 'test', 'tests'}


def build_archive(folder: pathlib.Path) -> pathlib.Path:
    """Return the archive, with the same packages as ``make binary``."""
    site = folder / 'site'
    lock = (ROOT / 'requirements' / 'run.lock').read_text()
    for name in LOCKED.findall(lock):
        copy_package(name, site)
    run(
        'pip',
        'install',
        '--quiet',
        '--no-deps',
        '--no-build-isolation',
        f'--target={site}',
        str(source_copy(folder)),
    )
    archive = folder / 'greengagelb'
    run(
        'shiv.cli',
        '--root=/run/greengagelb',
        '--console-script=greengagelb',
        f'--python={sys.executable}',
        f'--site-packages={site}',
        f'--output-file={archive}',
    )
    return archive


def copy_package(name: str, site: pathlib.Path) -> None:
    """Copy the installed files of a package, without commands and tests."""
    for file in metadata.files(name) or []:
        if UNWANTED & set(file.parts) or file.suffix == '.pyc':
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(file.locate(), target)


def source_copy(folder: pathlib.Path) -> pathlib.Path:
    """Return a copy of the sources; a build writes into its folder."""
    copy = folder / 'source'
    copy.mkdir()
    shutil.copy(ROOT / 'pyproject.toml', copy)
    shutil.copytree(
        ROOT / 'src' / 'greengagelb',
        copy / 'src' / 'greengagelb',
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    return copy


def run(module: str, *words: str) -> None:
    """Run a Python module as a command."""
    subprocess.run([sys.executable, '-m', module, *words], check=True)
