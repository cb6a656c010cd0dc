"""Layers import only lower layers and their own set of libraries."""

import ast
import pathlib
import sys

import pytest

import greengagelb

ROOT = pathlib.Path(greengagelb.__file__).parent
LAYERS = ('state', 'coordination', 'protocol', 'transport')
ABOVE_ALL_LAYERS = {'cli', 'measure', 'platform', 'standins'}
LIBRARIES = {
    'state': set(),
    'coordination': {'automat'},
    'protocol': {'msgspec'},
    'transport': {
        'aioprometheus',
        'h11',
        'klein',
        'msgspec',
        'structlog',
        'treq',
        'twisted',
        'werkzeug',
        'zmq',
        'zope',
    },
}
# Decision code that reads a clock, the environment or global random state
# can't be replayed from its events.
FORBIDDEN_IN_DECISIONS = {
    'asyncio',
    'os',
    'secrets',
    'socket',
    'subprocess',
    'threading',
    'time',
    'uuid',
}


def imported_modules(path):
    for found in ast.walk(ast.parse(path.read_text())):
        if isinstance(found, ast.Import):
            yield from (alias.name for alias in found.names)
        if isinstance(found, ast.ImportFrom):
            yield from (
                f'{found.module}.{alias.name}' for alias in found.names
            )


MODULES = [
    pytest.param(number, path, id=str(path.relative_to(ROOT)))
    for number, layer in enumerate(LAYERS)
    for path in sorted((ROOT / layer).glob('**/*.py'))
]


@pytest.mark.parametrize(('number', 'path'), MODULES)
def test_layer_imports_only_lower_layers(number, path):
    above = set(LAYERS[number + 1 :]) | ABOVE_ALL_LAYERS
    for name in imported_modules(path):
        package, _, rest = name.partition('.')
        if package == 'greengagelb':
            assert rest.partition('.')[0] not in above, name


@pytest.mark.parametrize(('number', 'path'), MODULES)
def test_layer_uses_only_its_libraries(number, path):

    layer = LAYERS[number]
    for name in imported_modules(path):
        package = name.partition('.')[0]
        if package in sys.stdlib_module_names or package == 'greengagelb':
            continue
        assert package in LIBRARIES[layer], name


@pytest.mark.parametrize(('number', 'path'), MODULES)
def test_decisions_read_no_clock_and_do_no_io(number, path):
    if LAYERS[number] in ('state', 'coordination'):
        packages = {n.partition('.')[0] for n in imported_modules(path)}
        assert not packages & FORBIDDEN_IN_DECISIONS
