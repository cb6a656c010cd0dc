"""Names of the platform are used only in its adapter."""

import pathlib

import pytest

import greengagelb
from greengagelb.platform import wire

ROOT = pathlib.Path(greengagelb.__file__).parent
# Names that are specific to this platform.
PLATFORM_NAMES = [
    value.decode().lower()
    for name, value in vars(wire).items()
    if name.isupper() and isinstance(value, bytes) and b'-' in value
] + ['rows-get', 'rows-feed', 'rows-tx', 'kv_capacity', 'max_conns', 'op/']
# Header fields that the product's own interface or HTTP services use too.
STANDARD_HEADERS = {'last-event-id', 'request-id'}
FILES = [
    pytest.param(path, id=str(path.relative_to(ROOT)))
    for path in sorted(ROOT.glob('**/*.py'))
    if path.relative_to(ROOT).parts[0] != 'platform'
]


@pytest.mark.parametrize('path', FILES)
def test_no_other_module_knows_a_name_of_the_platform(path):
    text = path.read_text().lower()
    assert not [
        n for n in PLATFORM_NAMES if n not in STANDARD_HEADERS and n in text
    ]
