"""The operators' commands and the demonstration, run as a user runs them."""

import json
import signal
import socket

import pytest

from greengagelb.cli import exit_codes
from tests.common import callers
from tests.common import commands
from tests.common import fleet
from tests.common import processes

pytestmark = pytest.mark.slow

Code = exit_codes.ExitCode


def operators_of(running):
    ports = [p.operator_port for p in running.instances.values()]
    return '--operator=' + ','.join(f'{fleet.HOST}:{port}' for port in ports)


def run(*words):
    return commands.run_process(*words, key=fleet.OPERATOR_KEY)


def test_drain_is_planned_shown_confirmed_and_seen_in_force(tmp_path):
    with fleet.small_fleet(tmp_path) as running:
        flag = operators_of(running)
        planned = run('plan', flag, '--drain=engine-0')
        assert planned.code == Code.SUCCESS, planned.complaint
        assert 'nothing has changed yet' in planned.output
        plan_id = planned.output.split()[1]
        other = run('plan', flag, '--drain=engine-1').output.split()[1]
        assert plan_id in run('show-plan', plan_id, flag).output
        confirmed = run('confirm', plan_id, flag)
        assert 'configuration version 2' in confirmed.output
        late = run('confirm', other, flag)
        assert late.code == Code.CONFLICT
        assert 'version-conflict' in late.complaint
        fleet.wait_until(
            lambda: 'in force on 2 of 2' in run('status', flag).output
        )
        assert run('show-plan', 'nothing', flag).code == Code.REFUSED
        wrong = commands.run_process('status', flag, key='wrong')
        assert wrong.code == Code.REFUSED
        assert 'unauthenticated' in wrong.output


def test_timeline_reports_which_process_is_missing(tmp_path):
    """One instance is down when an operator reads the time line.

    It shows the events of the other one, and reports that some are missing.
    """
    with fleet.small_fleet(tmp_path) as running:
        flag = operators_of(running)
        first, second = running.instances.values()
        caller = callers.StreamCaller('hello', 20)
        caller.read_all(first.port)
        second.send_signal(signal.SIGKILL)
        second.popen.wait()
        shown = run('timeline', flag, '--account=teratak')
        assert shown.code == Code.UNREACHABLE
        assert 'attempt-started' in shown.output
        assert 'configuration-applied' not in shown.output
        assert f'{second.operator_port} gave no events' in shown.output


@pytest.mark.parametrize('taken_port', ['caller', 'operator', 'peer'])
def test_serve_reports_a_port_in_use(tmp_path, taken_port):
    """Another process already listens on one of an instance's ports.

    The instance reports this and exits, rather than running unreachable.
    """
    with socket.socket() as taken:
        taken.bind((fleet.HOST, 0))
        taken.listen()
        ports = {n: fleet.free_port() for n in ('caller', 'operator', 'peer')}
        ports[taken_port] = taken.getsockname()[1]
        lines = ''.join(f'{n}_port = {port}\n' for n, port in ports.items())
        path = tmp_path / 'a.ini'
        path.write_text(
            '[instance]\nname = a\ndata_centre = x\n'
            f'host = {fleet.HOST}\n{lines}'
            f'[platform]\nhost = {fleet.HOST}\nport = 1\n'
            '[secrets]\ncursor_secret = 0123456789abcdef\n'
            f'operator_key_digest = {fleet.digest("x")}\n'
        )
        told = run('serve', f'--settings={path}')
    assert told.code == Code.FAILURE
    assert 'cannot-listen' in told.complaint


def test_intent_from_a_file_is_planned(tmp_path):
    path = tmp_path / 'intent.json'
    path.write_text(json.dumps({'type': 'drain-upstream', 'upstream': 'e'}))
    unreachable = run(
        'plan', f'--intent={path}', f'--operator=127.0.0.1:{fleet.free_port()}'
    )
    assert unreachable.code == Code.UNREACHABLE
    assert 'instance-unreachable' in unreachable.complaint


def test_demonstration_passes_all_its_checks():
    shown = commands.run_process('demo', '--demo_tokens=40', timeout=120)
    assert shown.code == Code.SUCCESS, shown.output + shown.complaint
    assert '(SIGKILL)' in shown.output
    assert 'the stream goes on after token' in shown.output
    assert 'checked: all 40 tokens came' in shown.output
    assert 'checked: the charge ran once' in shown.output
    assert 'attempt-replaced' in shown.output
    assert shown.output.endswith('== done: everything held\n')


def test_interrupted_demonstration_leaves_no_process_behind():
    """The demonstration is interrupted while it starts its processes."""
    demo = commands.start_process('demo')
    try:
        fleet.wait_until(lambda: len(processes.children_of(demo.pid)) == 7)
        started = processes.children_of(demo.pid)
        demo.send_signal(signal.SIGTERM)
        _, complaint = demo.communicate(timeout=60)
    finally:
        demo.kill()
        demo.communicate()
    assert demo.returncode == Code.FAILURE
    assert complaint == 'greengagelb: interrupted: stopped by a signal\n'
    assert not [pid for pid in started if processes.lives(pid)]
