"""What ``check-config`` says of the settings of relaying instances."""

import pathlib
import re

import pytest

import greengagelb
from greengagelb.cli import exit_codes
from tests.common import commands as runner
from tests.common import settings_files

Code = exit_codes.ExitCode
TEMPLATE = (
    pathlib.Path(greengagelb.__file__).parent / 'platform' / 'settings.ini'
)
# What a deployment fills the template with.
FIELDS = {
    'node_name': 'north-3',
    'zone': 'north',
    'listen.front': '127.1.0.3:8080',
    'listen.ready': '127.1.0.3:8081',
    'port_range.0': '21000',
    'platform.address': '127.9.0.1:7000',
    'bounds.retry_budget_ratio': '0.8',
    'bounds.budget_window_s': '10',
    'bounds.budget_slack': '150',
    'bounds.addr_reuse_s': '2',
    'heartbeat_ms': '1200',
    'bounds.grace_s': '8',
}


def filled():
    """Return the template with a value in each of its places."""
    text = TEMPLATE.read_text('utf-8')
    return re.sub(r'\{\{([^}]+)\}\}', lambda m: FIELDS[m.group(1)], text)


def check(tmp_path, text):
    """Run the command on a file of that text; return its path as well."""
    path = tmp_path / 'a.ini'
    path.write_text(text, 'utf-8')
    return runner.run_here('check-config', f'--settings={path}'), path


def test_filled_template_is_valid(tmp_path):
    told, _ = check(tmp_path, filled())
    assert told.complaint == ''
    assert told.code == Code.SUCCESS
    assert told.output == (
        'settings of north-3 are valid for python3 -m greengagelb.platform\n'
    )


def test_template_that_nobody_filled_is_refused(tmp_path):
    """The template itself is given as the settings file.

    An instance of that file would have no address to serve at.
    """
    told, path = check(tmp_path, TEMPLATE.read_text('utf-8'))
    assert told.code == Code.BAD_SETTINGS
    assert f'{path}: [instance] caller_address: write' in told.complaint


@pytest.mark.parametrize('field', FIELDS)
def test_field_that_the_platform_has_no_value_for_is_told(tmp_path, field):
    """The platform writes nothing where it has no value."""
    place = '{{' + field + '}}'
    lines = TEMPLATE.read_text('utf-8').splitlines()
    key = next(line for line in lines if place in line).split(' = ')[0]
    text = TEMPLATE.read_text('utf-8').replace(place, '')
    text = re.sub(r'\{\{([^}]+)\}\}', lambda m: FIELDS[m.group(1)], text)
    told, _ = check(tmp_path, text)
    assert told.code == Code.BAD_SETTINGS
    assert f'] {key}: write ' in told.complaint


@pytest.mark.parametrize(
    ('old', 'new', 'part'),
    [
        ('[store]', '[stroe]', 'unknown section [stroe]; write one of'),
        ('[store]', '[platform]', 'unknown section [platform]; write one of'),
        ('name = north-3', 'nmae = x', '[instance] nmae: unknown key; write'),
        ('name = north-3\n', '', '[instance] name: missing; write it'),
        (
            'data_centre = north',
            'data_centre = a b',
            '[instance] data_centre: write a name without spaces',
        ),
        (
            '= 127.1.0.3:8080',
            '= front:8080',
            '[instance] caller_address: write an IP number',
        ),
        (
            '= 127.1.0.3:8081',
            '= 127.1.0.3',
            '[instance] ready_address: write an IP number',
        ),
        (
            '= 127.1.0.3:8081',
            '= 127.1.0.3:8080',
            '[instance] ready_address: write another one',
        ),
        (
            'metrics_port = 9464',
            'metrics_port = 8080',
            '[instance] metrics_port: write another port',
        ),
        (
            'metrics_port = 9464',
            'metrics_port = 8081',
            '[instance] metrics_port: write another port',
        ),
        (
            'peer_port = 21000',
            'peer_port = 65536',
            '[instance] peer_port: write a port number',
        ),
        (
            'peer_port = 21000',
            'peer_port = 21000\ntimeline_events = 0',
            '[instance] timeline_events: write a whole number',
        ),
        (
            '= 127.9.0.1:7000',
            '= 127.9.0.1:0',
            '[store] address: write a port number',
        ),
        ('ratio = 0.8', 'ratio = -1', '[retries] ratio: write a number'),
        ('slack = 150', 'slack = nan', '[retries] slack: write a number'),
        (
            'window_seconds = 10',
            'window_seconds = 0',
            '[retries] window_seconds: write seconds above 0',
        ),
        (
            'reuse_seconds = 2',
            'reuse_seconds = two',
            '[engines] address_reuse_seconds: write a number',
        ),
        (
            'heartbeat_milliseconds = 1200',
            'heartbeat_milliseconds = 1e9',
            '[engines] heartbeat_milliseconds: write a number',
        ),
        (
            'grace_seconds = 8',
            'grace_seconds = 3600',
            '[stop] grace_seconds: write seconds above 0',
        ),
    ],
)
def test_mistake_is_told_with_section_and_key(tmp_path, old, new, part):
    assert old in filled()
    told, path = check(tmp_path, filled().replace(old, new, 1))
    assert told.code == Code.BAD_SETTINGS
    assert told.output == ''
    complaint = told.complaint.removeprefix('greengagelb: settings-invalid: ')
    assert complaint.startswith(f'{path}: {part}')
    assert complaint.count('\n') == 1


def test_only_the_first_of_two_mistakes_is_told(tmp_path):
    text = filled().replace('ratio = 0.8', 'ratio = x')
    told, _ = check(tmp_path, text.replace('grace_seconds = 8', 'grace = 8'))
    assert '[retries] ratio' in told.complaint
    assert 'grace' not in told.complaint


def test_settings_of_the_own_interface_are_told_apart(tmp_path):
    told, _ = check(tmp_path, settings_files.GOOD)
    assert told.code == Code.SUCCESS
    assert told.output == 'settings of a are valid for greengagelb serve\n'
    told, _ = check(
        tmp_path, settings_files.GOOD + '[store]\naddress = 127.0.0.1:1\n'
    )
    assert 'unknown section [store]; write one of' in told.complaint


def test_help_tells_how_the_kind_of_a_file_is_known():
    shown = runner.run_here('check-config', '--help').output
    assert 'greengagelb serve' in shown
    assert 'python3 -m greengagelb.platform' in shown
    assert '[store]' in shown
