"""``check-config`` on the settings of relaying instances."""

import pathlib
import re
import textwrap

import pytest

import greengagelb
from greengagelb.cli import exit_codes
from tests.common import commands as runner
from tests.common import settings_files

ROOT = pathlib.Path(__file__).parents[2]
Code = exit_codes.ExitCode
TEMPLATE = (
    pathlib.Path(greengagelb.__file__).parent / 'platform' / 'settings.ini'
)
# Values that a deployment fills into the template.
PLACEHOLDER_VALUES = {
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


def fill_template():
    """Return the template with all placeholders filled in."""
    text = TEMPLATE.read_text('utf-8')
    return re.sub(
        r'\{\{([^}]+)\}\}', lambda m: PLACEHOLDER_VALUES[m.group(1)], text
    )


def check_settings(tmp_path, text):
    """Run the command on a file with a text; return the path as well."""
    path = tmp_path / 'a.ini'
    path.write_text(text, 'utf-8')
    return runner.run_here('check-config', f'--settings={path}'), path


def test_filled_template_is_valid(tmp_path):
    outcome, _ = check_settings(tmp_path, fill_template())
    assert outcome.complaint == ''
    assert outcome.code == Code.SUCCESS
    assert outcome.output == (
        'settings of north-3 are valid for python3 -m greengagelb.platform\n'
    )


def test_unfilled_template_is_rejected(tmp_path):
    """Guards against accepting the template itself as a settings file.

    An instance with that file would have no address to listen on.
    """
    outcome, path = check_settings(tmp_path, TEMPLATE.read_text('utf-8'))
    assert outcome.code == Code.BAD_SETTINGS
    assert f'{path}: [instance] caller_address: write' in outcome.complaint


@pytest.mark.parametrize('field', PLACEHOLDER_VALUES)
def test_field_that_the_platform_has_no_value_for_is_told(tmp_path, field):
    """The platform leaves a placeholder empty if it has no value for it."""
    place = '{{' + field + '}}'
    lines = TEMPLATE.read_text('utf-8').splitlines()
    key = next(line for line in lines if place in line).split(' = ')[0]
    text = TEMPLATE.read_text('utf-8').replace(place, '')
    text = re.sub(
        r'\{\{([^}]+)\}\}', lambda m: PLACEHOLDER_VALUES[m.group(1)], text
    )
    outcome, _ = check_settings(tmp_path, text)
    assert outcome.code == Code.BAD_SETTINGS
    assert f'] {key}: write ' in outcome.complaint


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
            'peer_port = 21000',
            'peer_port = 8080',
            '[instance] peer_port: write another port',
        ),
        (
            'peer_port = 21000',
            'peer_port = 9464',
            '[instance] peer_port: write another port',
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
    assert old in fill_template()
    outcome, path = check_settings(
        tmp_path, fill_template().replace(old, new, 1)
    )
    assert outcome.code == Code.BAD_SETTINGS
    assert outcome.output == ''
    complaint = outcome.complaint.removeprefix(
        'greengagelb: settings-invalid: '
    )
    assert complaint.startswith(f'{path}: {part}')
    assert complaint.count('\n') == 1


def test_only_the_first_of_two_mistakes_is_told(tmp_path):
    text = fill_template().replace('ratio = 0.8', 'ratio = x')
    outcome, _ = check_settings(
        tmp_path, text.replace('grace_seconds = 8', 'grace = 8')
    )
    assert '[retries] ratio' in outcome.complaint
    assert 'grace' not in outcome.complaint


def test_settings_of_the_own_interface_are_told_apart(tmp_path):
    outcome, _ = check_settings(tmp_path, settings_files.GOOD)
    assert outcome.code == Code.SUCCESS
    assert outcome.output == 'settings of a are valid for greengagelb serve\n'
    outcome, _ = check_settings(
        tmp_path, settings_files.GOOD + '[store]\naddress = 127.0.0.1:1\n'
    )
    assert 'unknown section [store]; write one of' in outcome.complaint


def test_help_tells_how_the_kind_of_a_file_is_known():
    shown = runner.run_here('check-config', '--help').output
    assert 'greengagelb serve' in shown
    assert 'python3 -m greengagelb.platform' in shown
    assert '[store]' in shown


def compare_settings(tmp_path, old, new):
    """Run the command on two texts."""
    before, after = tmp_path / 'old.ini', tmp_path / 'new.ini'
    before.write_text(old, 'utf-8')
    after.write_text(new, 'utf-8')
    return runner.run_here(
        'check-config', f'--settings={after}', f'--against={before}'
    )


def test_a_change_that_a_running_process_takes_is_told_with_its_effect(
    tmp_path,
):
    """Guards against changes whose effect on a process is unclear."""
    new = fill_template().replace('grace_seconds = 8', 'grace_seconds = 9')
    outcome = compare_settings(tmp_path, fill_template(), new)
    assert outcome.code == Code.SUCCESS
    [_, head, row] = outcome.output.splitlines()
    assert head.split()[:4] == ['section', 'key', 'old', 'new']
    assert row.split()[:4] == ['stop', 'grace_seconds', '8.0', '9.0']
    assert 'on a reload' in row


def test_a_change_that_needs_a_new_start_has_a_code_of_its_own(tmp_path):
    """Guards against scripts that reload where a restart is needed."""
    new = fill_template().replace('data_centre = north', 'data_centre = south')
    outcome = compare_settings(tmp_path, fill_template(), new)
    assert outcome.code == Code.NEEDS_START
    assert 'at the next start' in outcome.output


def test_equal_settings_written_in_another_way_are_no_change(tmp_path):
    """Guards against a comparison of texts in place of values."""
    new = fill_template().replace('grace_seconds = 8', 'grace_seconds = 8.00')
    outcome = compare_settings(
        tmp_path, fill_template(), new + '\n# a comment\n'
    )
    assert outcome.code == Code.SUCCESS
    assert 'nothing differs' in outcome.output


def test_secrets_are_not_shown(tmp_path):
    """Guards against secrets in the output of a script."""
    secret = 'fedcba9876543210'
    new = settings_files.GOOD.replace('0123456789abcdef', secret)
    outcome = compare_settings(tmp_path, settings_files.GOOD, new)
    assert outcome.code == Code.NEEDS_START
    assert 'cursor_secret' in outcome.output
    assert secret not in outcome.output
    assert '0123456789abcdef' not in outcome.output


def test_a_mistake_in_the_old_file_is_told_by_its_name(tmp_path):
    """Guards against an error message that names the wrong file."""
    outcome = compare_settings(
        tmp_path, fill_template().replace('= 8', '= no'), fill_template()
    )
    assert outcome.code == Code.BAD_SETTINGS
    assert 'old.ini' in outcome.complaint


def test_settings_of_two_programs_are_not_compared(tmp_path):
    """Guards against a meaningless list of differences."""
    outcome = compare_settings(tmp_path, settings_files.GOOD, fill_template())
    assert outcome.code == Code.USAGE
    assert 'another kind' in outcome.complaint


def test_the_page_shows_what_the_command_prints(tmp_path):
    """Guards against documentation that is out of date."""
    named = fill_template().replace('name = north-3', 'name = relay-0')
    new = named.replace('grace_seconds = 8', 'grace_seconds = 9')
    new = new.replace('data_centre = north', 'data_centre = south')
    outcome = compare_settings(tmp_path, named, new)
    page = (ROOT / 'docs' / 'settings-platform.md').read_text('utf-8')
    shown = page.partition('<!-- output against -->\n')[2]
    shown = shown.partition('<!-- end against -->')[0]
    assert textwrap.dedent(shown) == outcome.output
