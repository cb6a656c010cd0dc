"""Help texts, and the messages for mistakes on the command line."""

import pytest

from greengagelb.cli import commands
from greengagelb.cli import exit_codes
from greengagelb.cli import help_texts
from tests.common import commands as runner

Code = exit_codes.ExitCode


def test_overview_names_every_command_and_every_exit_code():
    shown = runner.run_here('--help')
    assert shown.code == Code.SUCCESS
    for command in commands.COMMANDS:
        assert command.summary in shown.output
    for code in Code:
        assert (
            f'{code.value}  {help_texts.EXIT_CODE_MEANINGS[code]}'
            in shown.output
        )


@pytest.mark.parametrize('command', commands.COMMANDS, ids=lambda c: c.name)
def test_help_on_a_command_explains_each_of_its_flags(command):
    shown = runner.run_here(command.name, '--help')
    assert shown.code == Code.SUCCESS
    assert f'greengagelb {command.name}' in shown.output
    for name in command.flags:
        assert f'--{name}' in shown.output


@pytest.mark.parametrize(
    ('words', 'part'),
    [
        ([], 'write a command'),
        (['serv'], 'unknown command serv'),
        (['serve'], 'write --settings=FILE'),
        (['serve', '--no_such_flag=1'], 'no_such_flag'),
        (['serve', '--settings=x', '--port=1'], 'serve has no flag --port'),
        (['status', 'all'], 'all is one word too many'),
        (['status'], 'write --operator=IP:PORT'),
        (['status', '--operator=localhost:1'], 'write an IP number'),
        (['status', '--operator=127.0.0.1:0'], 'write a port number'),
        (['status', '--operator=127.0.0.1'], 'write an IP number'),
        (['confirm', '--operator=127.0.0.1:1'], 'confirm PLAN_ID'),
        (['plan', '--operator=127.0.0.1:1'], 'write one of --drain'),
        (['plan', '--drain=a', '--intent=b'], 'write one of --drain'),
        (['plan', '--intent=/nowhere'], '/nowhere'),
        (['timeline', '--most_events=0'], 'most_events'),
        (['stand-in', 'database'], 'write engine, service or platform'),
    ],
)
def test_mistake_is_told_with_a_code_on_standard_error(words, part):
    outcome = runner.run_here(*words)
    assert outcome.code == Code.USAGE
    assert outcome.output == ''
    assert outcome.complaint.startswith('greengagelb: bad-command: ')
    assert part in outcome.complaint


def test_operator_key_comes_from_file_or_environment_only(
    tmp_path, monkeypatch
):
    monkeypatch.delenv('GREENGAGELB_OPERATOR_KEY', raising=False)
    words = ['status', '--operator=127.0.0.1:1']
    assert '--operator_key_file=FILE' in runner.run_here(*words).complaint
    empty = tmp_path / 'key'
    empty.write_text('\n')
    outcome = runner.run_here(*words, f'--operator_key_file={empty}')
    assert f'{empty} is empty' in outcome.complaint
    assert 'no_such' not in runner.run_here('status', '--help').output
    assert runner.run_here(*words, '--operator_key=x').code == Code.USAGE


def test_settings_mistake_has_an_exit_code_of_its_own(tmp_path):
    path = tmp_path / 'a.ini'
    path.write_text('[instance]\nport = 1\n')
    outcome = runner.run_here('check-config', f'--settings={path}')
    assert outcome.code == Code.BAD_SETTINGS
    assert f'settings-invalid: {path}: [instance] port' in outcome.complaint
