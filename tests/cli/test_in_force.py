"""The comparison of what is in force on each instance."""

import json
import pathlib
import textwrap

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from greengagelb import errors
from greengagelb.cli import exit_codes
from greengagelb.cli import in_force as command
from greengagelb.protocol import metrics_page
from greengagelb.state import in_force
from greengagelb.transport import metrics
from greengagelb.transport.relay import relay_metrics
from tests.common import commands as runner

ROOT = pathlib.Path(__file__).parents[2]
Code = exit_codes.ExitCode
GOOD = in_force.InstanceReport(
    'a', 'north', '0.1.0', False, 255, 3.0, 7, 2, 1, 0.5
)


def alter_page(**changed):
    fields = {name: getattr(GOOD, name) for name in GOOD.__slots__}
    return in_force.InstanceReport(**{**fields, **changed})


def render_metrics_page(**changed):
    """Return the metrics page of an instance."""
    figures = relay_metrics.RelayMetrics()
    sample = {
        'identity': metrics.Identity('a', 'north'),
        'stopping': True,
        'settings_digest': 4_000_000_000,
        'settings_seconds': 2.5,
        'engines': 6,
        'store_seconds': 0.25,
        'running': 3,
        'configuration_version': 12,
    }
    figures.sample = lambda: metrics.Sample(**{**sample, **changed})
    return figures.render_relay(connections_opened=1)


def test_a_page_of_metrics_is_read():
    """Guards against a command that can't read this release's metrics."""
    found = metrics_page.parse_page(render_metrics_page())
    assert (found.name, found.data_centre) == ('a', 'north')
    assert found.stopping
    assert found.settings_digest == 4_000_000_000
    assert found.configuration_version == 12
    assert (found.engines, found.running) == (6, 3)
    assert found.store_seconds == 0.25


def test_a_page_without_an_age_of_the_store_is_read():
    """Guards against rejecting instances that read no store."""
    assert (
        metrics_page.parse_page(
            render_metrics_page(store_seconds=None)
        ).store_seconds
        is None
    )


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'\xff\xfe',
        b'<html>hello</html>',
        render_metrics_page(identity=None),
        render_metrics_page().replace(
            b'settings_digest 4000000000', b'settings_digest x'
        ),
        render_metrics_page().replace(b'engines 6', b'engines -1'),
        render_metrics_page().replace(b'engines 6', b'engines nan'),
        render_metrics_page().replace(b'engines 6', b'engines 1e999'),
    ],
)
def test_invalid_metrics_page_is_rejected(raw):
    """Guards against treating other servers as instances."""
    with pytest.raises(errors.ProtocolError):
        metrics_page.parse_page(raw)


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=400))
def test_arbitrary_metrics_page_raises_only_protocol_errors(raw):
    """Guards against one address whose answer ends the whole command."""
    try:
        metrics_page.parse_page(render_metrics_page() + raw)
    except errors.ProtocolError:
        return


def test_differing_instances_come_first_with_the_reason():
    """Guards against missing one outdated instance among three hundred."""
    found = [
        ('1.0.0.1:1', GOOD),
        ('1.0.0.2:1', alter_page(settings_digest=1)),
        ('1.0.0.3:1', GOOD),
        ('1.0.0.4:1', in_force.ReportUnavailable('no answer')),
        ('1.0.0.5:1', alter_page(configuration_version=6, release='0.0.9')),
    ]
    seen = in_force.compare_reports(found)
    assert [one.address for one in seen] == [
        '1.0.0.4:1',
        '1.0.0.2:1',
        '1.0.0.5:1',
        '1.0.0.1:1',
        '1.0.0.3:1',
    ]
    assert seen[0].differences == ('no answer',)
    assert seen[1].differences == ('settings, most have 000000ff',)
    assert seen[2].differences == (
        'configuration, most have 7',
        'release, most have 0.1.0',
    )
    assert not seen[3].differences


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.builds(in_force.ReportUnavailable, st.just('gone')),
            st.builds(
                alter_page,
                settings_digest=st.integers(0, 2),
                configuration_version=st.integers(0, 2),
            ),
        ),
        max_size=12,
    )
)
def test_each_address_has_one_line_and_most_agree_with_most(pages):
    """Guards against missing addresses and a wrong majority."""
    found = [(f'1.0.0.{n}:1', page) for n, page in enumerate(pages)]
    seen = in_force.compare_reports(found)
    assert sorted(one.address for one in seen) == sorted(a for a, _ in found)
    answers = [p for p in pages if isinstance(p, in_force.InstanceReport)]
    for value in {page.digest for page in answers}:
        same = sum(page.digest == value for page in answers)
        differing = sum(
            any(why.startswith('settings') for why in one.differences)
            for one in seen
        )
        assert same <= len(answers) - differing


@pytest.mark.parametrize(
    ('pages', 'code'),
    [
        ([GOOD, GOOD], Code.SUCCESS),
        ([GOOD, alter_page(settings_digest=1)], Code.DIFFERENT),
        ([GOOD, in_force.ReportUnavailable('gone')], Code.UNREACHABLE),
        ([in_force.ReportUnavailable('gone')], Code.NOTHING_FOUND),
    ],
)
def test_scripts_can_tell_what_was_found(pages, code):
    """Guards against a rollout that continues while instances differ."""
    found = [(f'1.0.0.{n}:1', page) for n, page in enumerate(pages)]
    assert command.exit_code_of(in_force.compare_reports(found), None) is code


def test_what_is_waited_for_decides_and_not_the_majority():
    """Guards against a wait that ends when all agree on the old version."""
    seen = in_force.compare_reports([('1.0.0.1:1', GOOD), ('1.0.0.2:1', GOOD)])

    def has(page):
        return page.configuration_version >= 8

    assert command.exit_code_of(seen, has) is Code.DIFFERENT
    assert command.exit_code_of(seen, lambda page: True) is Code.SUCCESS


def test_lines_of_json_hold_what_the_table_does():
    """Guards against scripts that have to parse a table."""
    seen = in_force.compare_reports(
        [
            ('1.0.0.1:1', GOOD),
            ('1.0.0.2:1', in_force.ReportUnavailable('gone')),
        ]
    )
    lines = [
        json.loads(line) for line in command.render_json(seen).splitlines()
    ]
    assert lines[0] == {'address': '1.0.0.2:1', 'differences': ['gone']}
    assert lines[1]['settings_digest'] == 255
    assert '1 of 2 agree' in command.render_table(seen)


def test_no_address_and_bad_addresses_are_mistakes(tmp_path):
    """Guards against reporting agreement when no instance was asked."""
    assert runner.run_here('in-force').code == Code.USAGE
    outcome = runner.run_here('in-force', '--pages=nowhere:1')
    assert outcome.code == Code.USAGE
    assert '--pages=nowhere:1' in outcome.complaint
    missing = runner.run_here('in-force', f'--pages_file={tmp_path}/none')
    assert missing.code == Code.USAGE


def test_the_page_shows_the_table_that_the_command_prints():
    """Guards against documentation that is out of date."""
    page = (ROOT / 'docs' / 'OPERATIONS.md').read_text('utf-8')
    shown = page.partition('<!-- output in-force -->\n')[2]
    shown = textwrap.dedent(shown.partition('   <!-- end in-force')[0])
    digests = {'b972a856': 0xB972A856, '01cecf33': 0x01CECF33}
    found = []
    for line in shown.splitlines()[1:-1]:
        address, name, *_, state, digest, since = line.split()[:7]
        if name == '?':
            why = line.partition('no answer')[1:]
            found.append((address, in_force.ReportUnavailable(''.join(why))))
            continue
        page_there = alter_page(
            name=name,
            stopping=state == 'stopping',
            settings_digest=digests[digest],
            settings_seconds=float(since),
            configuration_version=0,
            engines=0,
            running=0,
            store_seconds=None,
        )
        found.append((address, page_there))
    assert command.render_table(in_force.compare_reports(found)) == shown
