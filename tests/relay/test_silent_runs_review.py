"""Silent runs of streams that are given up before there is a better one."""

import pytest

from greengagelb.coordination import events as common_events
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import bounds
from greengagelb.state.relay import hints
from tests.common import relay_world
from tests.relay import test_silent_runs


def heard(world, engine):
    """Have an engine of the service show that it works."""
    world.relay.engines.note_heard(engine, world.now)


def test_run_in_reach_is_not_ended_for_one_that_has_written_nothing():
    """Guards against a cut stream whose replacement fails to read its prompt.

    The engine answers probes and goes on later; the run on the other engine
    breaks off, and there is no retry for a third one.
    """
    silent = test_silent_runs.SilentEngines(alive=True)
    world = silent.world
    world.relay.budget.bounds = bounds.RetryBounds(0.0, 10.0, 0.0)
    exchange, send = silent.start_stream()
    world.relay.exchanges[exchange].sends[send.send].copy_to = None
    others = [
        name
        for name in world.relay.engines.by_service[relay_world.STREAMS]
        if name != send.engine.engine
    ]
    # One retry is left.
    world.relay.budget.bounds = bounds.RetryBounds(0.0, 10.0, 250.0)
    world.relay.budget.instances = 100
    for _ in range(60):
        heard(world, others[-1])
        silent.wait(0.05)
        if len(world.sends(exchange)) == 2:
            break
    assert len(world.sends(exchange)) == 2
    for _ in range(8):
        heard(world, others[-1])
        silent.wait(0.05)
    assert send in silent.open_runs(exchange)


@pytest.mark.parametrize('alive', [False, True])
def test_pauses_leave_an_attempt_for_a_real_loss(alive):
    """Guards against a cut stream as short pauses have used up its attempts.

    Each pause ended by itself and the first run went on.
    """
    silent = test_silent_runs.SilentEngines(alive=alive)
    world = silent.world
    exchange, send = silent.start_stream()
    position = test_silent_runs.LAST_EVENT
    for _ in range(6):
        silent.wait(0.5)
        position += 1
        world.events(send, position)
    assert silent.open_runs(exchange) == [send]
    world.lose(send)
    assert not world.of_kind(relay_actions.AbortStream, exchange)


def test_refusals_to_replacements_leave_an_attempt_for_a_real_loss():
    """Guards against a cut stream as full engines refused its replacements.

    It went on after its pause; then its engine failed, while others were
    free again.
    """
    silent = test_silent_runs.SilentEngines()
    world = silent.world
    exchange, send = silent.start_stream()
    for _ in range(40):
        silent.wait(0.25)
        for other in silent.open_runs(exchange):
            if other is not send:
                world.refuse(other)
    world.events(send, test_silent_runs.LAST_EVENT + 1)
    silent.wait(0.1)
    world.lose(send)
    assert not world.of_kind(relay_actions.AbortStream, exchange)


def test_silent_runs_leave_retries_for_real_losses():
    """Guards against cut streams as pauses have used up the retries.

    Half of the streams are only silent; the engine of another one fails.
    """
    silent = test_silent_runs.SilentEngines()
    world = silent.world
    runs = [silent.start_stream(3) for _ in range(8)]
    # Own part: 4 retries in 10 s.
    world.relay.budget.bounds = bounds.RetryBounds(0.0, 10.0, 500.0)
    world.relay.budget.instances = 100
    silent.wait(0.5)
    for _, send in runs:
        world.events(send, 4)
    exchange, send = runs[-1]
    world.lose(send)
    assert not world.of_kind(relay_actions.AbortStream, exchange)


def test_refusal_after_a_suspicion_counts_as_not_run():
    """Guards against a failure for a request that certainly never ran.

    Its engine was silent for a while and then refused it.
    """
    silent = test_silent_runs.SilentEngines(test_silent_runs.NOT_RESUMABLE)
    world = silent.world
    exchange = world.ask()
    for _ in range(12):
        silent.wait(3.0)
        for send in silent.open_runs(exchange):
            world.refuse(send)
        if world.refusals(exchange):
            break
    assert [r.status for r in world.refusals(exchange)] == [503]


def test_run_not_begun_is_kept_if_its_engine_is_not_listed():
    """Guards against a lost request whose engine only made a pause.

    The entry of a paused engine lapses, and its probes go unanswered.
    """
    silent = test_silent_runs.SilentEngines(test_silent_runs.NOT_RESUMABLE)
    world = silent.world
    exchange = world.ask()
    send = world.last_send(exchange)
    world.change_engines(removed=(send.engine.engine,))
    silent.wait(8.0)
    assert silent.open_runs(exchange) == [send]


def test_other_engine_is_tried_although_replacements_had_no_connection():
    """Guards against a cut stream while an engine is free.

    Its replacements found no connection during the silence; that is over.
    """
    silent = test_silent_runs.SilentEngines()
    world = silent.world
    exchange, send = silent.start_stream()
    for _ in range(80):
        silent.wait(0.25)
        for other in silent.open_runs(exchange):
            if other is not send:
                world.lose(other, handed_over=False)
    assert silent.open_runs(exchange) == [send]
    world.events(send, test_silent_runs.LAST_EVENT + 1)
    silent.wait(0.1)
    world.lose(send)
    assert not world.of_kind(relay_actions.AbortStream, exchange)
    assert silent.open_runs(exchange)


def test_short_own_pause_does_not_prolong_an_overlap():
    """Guards against two engines at work on one stream for 0.4 s.

    This process stands still for a moment as both runs are open.
    """
    silent = test_silent_runs.SilentEngines(alive=True)
    world = silent.world
    exchange, _ = silent.start_stream()
    while len(silent.open_runs(exchange)) < 2:
        silent.wait(0.01)
    second_since = world.now
    world.now += 0.26
    world.handle(common_events.PauseDetected(0.26))
    while len(silent.open_runs(exchange)) == 2:
        silent.wait(0.01)
    assert world.now - second_since < 0.4


def test_silent_run_is_not_sent_elsewhere_while_a_crash_is_checked():
    """Guards against a request that ends a third engine before its verdict.

    Two engines broke its runs off and are being checked. A run that breaks
    off is held until then; one that is silent must not start another either.
    """
    silent = test_silent_runs.SilentEngines()
    world = silent.world
    world.relay.budget.set_fleet_size(1, 1)
    same = relay_world.requests.Prompt(8_000, 780, 'same')
    exchanges = [
        world.ask(prompt=same, request_id=f'same{n}') for n in range(4)
    ]
    sends = [world.last_send(exchange) for exchange in exchanges]
    for send in sends[:3]:
        world.begin(send)
        world.lose(send)
    held = {
        number
        for check in world.relay.crash_watch.checks.values()
        for number, _ in check.requests_awaiting_check
    }
    assert held
    silent.wait(8.0)
    last = exchanges[3]
    assert len(world.sends(last)) == 1


@pytest.mark.parametrize('has_copy', [False, True])
def test_engine_back_in_reach_does_not_overlap_for_long(has_copy):
    """Guards against two engines at work on one stream for 0.4 s.

    An engine out of reach is back just after a probe went unanswered.
    """
    silent = test_silent_runs.SilentEngines()
    world = silent.world
    exchange, send = silent.start_stream()
    if not has_copy:
        world.relay.exchanges[exchange].sends[send.send].copy_to = None
    first = world.relay.exchanges[exchange].sends[send.send]
    while len(silent.open_runs(exchange)) < 2 or not first.is_unreachable:
        silent.wait(0.01)
    probes = silent.answered_probes
    while silent.answered_probes == probes:
        silent.wait(0.01)
    silent.alive = True
    back_at = world.now
    while len(silent.open_runs(exchange)) == 2:
        silent.wait(0.01)
        assert world.now - back_at < 0.4


def test_paused_engine_that_is_back_outlives_a_silent_copy():
    """Guards against a cut stream after a pause of two engines.

    The first one is back and answers probes; the run from the copy has not
    written anything and fails later.
    """
    silent = test_silent_runs.SilentEngines()
    exchange, send = silent.start_stream()
    silent.wait(0.5)
    assert len(silent.open_runs(exchange)) == 2
    silent.alive = True
    silent.wait(1.5)
    assert send in silent.open_runs(exchange)


def test_copy_on_a_silent_engine_is_kept_until_there_is_another():
    """Guards against a prompt that is read again after a pause.

    Streams on an engine are silent, and the copies of other runs on it are
    given up before the new ones are made.
    """
    silent = test_silent_runs.SilentEngines()
    world = silent.world
    exchange, send = silent.start_stream()
    run = world.relay.exchanges[exchange].sends[send.send]
    holder = run.copy_to
    assert holder is not None
    for name in ('one', 'two', 'three'):
        world.handle(
            relay_events.PeerTold(name, hints.StreamSilent(holder.engine, 0))
        )
    world.lose(send)
    assert world.last_send(exchange).copy_from is not None


@pytest.mark.parametrize('end', ['lose', 'refuse'])
def test_stream_outlives_a_pause_of_its_engine_alone(end):
    """Guards against a cut stream whose engine only made a pause.

    The engine answers probes, others write; the runs started elsewhere are
    refused or break off half a second after their start.
    """
    silent = test_silent_runs.SilentEngines(alive=True)
    world = silent.world
    world.relay.budget.set_fleet_size(1, 1)
    exchange, send = silent.start_stream()
    world.relay.exchanges[exchange].sends[send.send].copy_to = None
    for _ in range(16):
        for _ in range(10):
            heard(world, 'model-west-1')
            silent.wait(0.05)
        for other in silent.open_runs(exchange):
            if other is not send:
                getattr(world, end)(other)
    assert not world.of_kind(relay_actions.AbortStream, exchange)
