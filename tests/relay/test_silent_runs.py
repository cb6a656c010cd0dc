"""Streams whose engines are silent for a while, and then go on."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import bounds
from greengagelb.state.relay import hints
from tests.common import relay_world

PROBE_SECONDS = 0.3
STEP_SECONDS = 0.05
LAST_EVENT = 106
NOT_RESUMABLE = dataclasses.replace(relay_world.STREAM_ROUTE, resumable=False)


class SilentEngines:
    """A relay whose engines write nothing while their runs go on."""

    def __init__(
        self,
        route=relay_world.STREAM_ROUTE,
        *,
        alive=False,
        run_events=None,
        via='',
    ):
        table = relay_world.route_table(found=(route,))
        self.world = relay_world.RelayWorld(table=table)
        self.alive = alive
        self.run_events = run_events
        self.via = via
        self.answered_probes = 0

    def start_stream(self, events=LAST_EVENT):
        """Return a stream that has got its first events, and its send."""
        exchange = self.world.ask()
        send = self.world.last_send(exchange)
        self.world.begin(send)
        self.world.events(send, *range(1, events + 1))
        return exchange, send

    def wait(self, seconds):
        """Let time pass, and answer each probe as the engines would."""
        until = self.world.now + seconds
        while self.world.now < until:
            self.world.advance(STEP_SECONDS)
            self.answer_probes()

    def answer_probes(self):
        probes = self.world.of_kind(relay_actions.ProbeEngine)
        for probe in probes[self.answered_probes :]:
            self.answered_probes += 1
            self.world.handle(
                relay_events.EngineProbed(
                    probe.exchange,
                    probe.send,
                    self.alive,
                    run_events=self.run_events,
                    via=self.via,
                )
            )

    def open_runs(self, exchange):
        """Return the sends that are in progress, the oldest first."""
        known = self.world.relay.exchanges.get(exchange)
        numbers = known.sends if known is not None else ()
        return [
            send for send in self.world.sends(exchange) if send.send in numbers
        ]

    def finish(self, exchange, send):
        """Have a run write one more event and end."""
        position = max(send.resume_after or 0, LAST_EVENT)
        self.world.begin(send)
        self.world.events(send, position + 1)
        self.world.complete(send)

    def assert_whole(self, exchange):
        numbers = self.world.passed_events(exchange)
        assert numbers == list(range(1, LAST_EVENT + 2))
        assert self.world.of_kind(relay_actions.EndStream, exchange)
        assert not self.world.of_kind(relay_actions.AbortStream, exchange)


@pytest.mark.parametrize('alive', [False, True])
@pytest.mark.parametrize('pause', [1.0, 2.0, 3.5, 12.0])
def test_stream_outlives_a_pause_of_all_engines(pause, alive):
    """Guards against a cut stream whose engines only made a pause.

    Each silent run was given up before another one had written anything,
    until no attempt was left.
    """
    silent = SilentEngines(alive=alive)
    exchange, _ = silent.start_stream()
    silent.wait(pause)
    assert silent.open_runs(exchange)
    silent.finish(exchange, silent.open_runs(exchange)[0])
    silent.assert_whole(exchange)


@pytest.mark.parametrize('alive', [False, True])
def test_silent_run_is_kept_without_a_retry_for_another(alive):
    """Guards against a cut stream as refusals have used up the retries."""
    silent = SilentEngines(alive=alive)
    exchange, send = silent.start_stream()
    silent.world.relay.budget.bounds = bounds.RetryBounds(0.0, 10.0, 0.0)
    silent.wait(3.5)
    assert silent.open_runs(exchange) == [send]
    silent.finish(exchange, send)
    silent.assert_whole(exchange)


def test_silent_run_is_kept_if_it_may_not_run_again():
    """Guards against a cut stream that may not go on at another engine."""
    silent = SilentEngines(NOT_RESUMABLE)
    exchange, send = silent.start_stream()
    silent.wait(3.5)
    assert silent.world.sends(exchange) == [send]
    silent.finish(exchange, send)
    silent.assert_whole(exchange)


def test_silent_run_is_kept_if_another_engine_refuses():
    """Guards against a cut stream as full engines refuse its next run."""
    silent = SilentEngines()
    exchange, send = silent.start_stream()
    for _ in range(40):
        silent.wait(0.25)
        for other in silent.open_runs(exchange):
            if other is not send:
                silent.world.refuse(other)
    assert silent.open_runs(exchange) == [send]
    silent.finish(exchange, send)
    silent.assert_whole(exchange)


def test_silent_run_is_kept_if_all_others_break_off():
    """Guards against a cut stream as other engines fail meanwhile."""
    silent = SilentEngines()
    exchange, send = silent.start_stream()
    for _ in range(40):
        silent.wait(0.25)
        for other in silent.open_runs(exchange):
            if other is not send:
                silent.world.lose(other)
    assert silent.open_runs(exchange) == [send]
    silent.finish(exchange, send)
    silent.assert_whole(exchange)


def test_first_run_to_write_ends_the_other():
    """Guards against two runs of a stream that both go on."""
    for winner in (0, 1):
        silent = SilentEngines()
        exchange, _ = silent.start_stream()
        silent.wait(0.5)
        runs = silent.open_runs(exchange)
        assert len(runs) == 2
        silent.world.begin(runs[winner])
        silent.world.events(runs[winner], LAST_EVENT + 1)
        assert silent.open_runs(exchange) == [runs[winner]]
        silent.world.complete(runs[winner])
        silent.assert_whole(exchange)


def test_runs_at_engines_in_reach_do_not_overlap_for_long():
    """Guards against two engines at work on one stream for 0.4 s."""
    silent = SilentEngines(alive=True)
    exchange, _ = silent.start_stream()
    second_since = None
    for _ in range(400):
        silent.wait(STEP_SECONDS)
        runs = silent.open_runs(exchange)
        assert runs
        if len(runs) < 2:
            second_since = None
            continue
        second_since = second_since or silent.world.now
        assert silent.world.now - second_since < 0.4


def test_run_that_was_silent_is_watched_as_before():
    """Guards against a loss that is noticed late after an earlier silence."""
    silent = SilentEngines()
    silent.world.relay.budget.bounds = bounds.RetryBounds(0.0, 10.0, 0.0)
    exchange, send = silent.start_stream()
    silent.wait(5.0)
    silent.world.relay.budget.bounds = relay_world.RETRIES
    silent.world.events(send, LAST_EVENT + 1)
    silent.wait(0.5)
    assert len(silent.world.sends(exchange)) == 2


def test_engine_that_comes_back_without_its_run_ends_no_other():
    """Guards against a prompt read in vain as a lost engine is back.

    Its link has healed, but the connection of the run stays dead.
    """
    silent = SilentEngines()
    exchange = silent.world.ask()
    [former] = silent.open_runs(exchange)
    while len(silent.open_runs(exchange)) < 2:
        silent.wait(STEP_SECONDS)
    silent.alive = True
    silent.wait(1.0)
    [going_on] = silent.open_runs(exchange)
    assert going_on != former


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.data())
def test_events_of_both_runs_make_one_stream(data):
    """Guards against missing or doubled events where two runs overlap.

    Engines write, pause, break off or refuse at any moment.
    """
    silent = SilentEngines(alive=data.draw(st.booleans()))
    exchange, _ = silent.start_stream(2)
    written = {}
    for _ in range(data.draw(st.integers(1, 40))):
        runs = silent.open_runs(exchange)
        if not silent.world.relay.exchanges:
            break
        act = data.draw(st.sampled_from('wwweebr'))
        send = data.draw(st.sampled_from(runs)) if runs else None
        if act == 'w' or send is None:
            silent.wait(data.draw(st.sampled_from((0.1, 0.4, 1.0))))
        elif act == 'e':
            position = written.get(send.send, send.resume_after or 2)
            written[send.send] = position + 1
            silent.world.begin(send)
            silent.world.events(send, position + 1)
        elif act == 'b':
            silent.world.lose(send)
        elif send.send not in written and len(runs) > 1:
            silent.world.refuse(send)
    numbers = silent.world.passed_events(exchange)
    assert numbers == list(range(1, len(numbers) + 1))
    cut = silent.world.of_kind(relay_actions.AbortStream, exchange)
    assert not cut or not silent.open_runs(exchange)


def hear_others(silent, seconds):
    """Let time pass while other engines of the service are heard."""
    until = silent.world.now + seconds
    while silent.world.now < until:
        silent.world.relay.engines.note_heard('model-west-1', silent.world.now)
        silent.wait(STEP_SECONDS)


def test_run_that_its_engine_holds_is_not_ended():
    """Guards against a cut stream whose engine has preempted its run.

    The engine reports the run and no event beyond those that have arrived.
    The runs started elsewhere break off.
    """
    silent = SilentEngines(alive=True, run_events=LAST_EVENT)
    exchange, send = silent.start_stream()
    silent.world.relay.exchanges[exchange].sends[send.send].copy_to = None
    for _ in range(16):
        hear_others(silent, 0.5)
        assert send in silent.open_runs(exchange)
        for other in silent.open_runs(exchange):
            if other is not send:
                silent.world.lose(other)
    silent.finish(exchange, send)
    silent.assert_whole(exchange)


@pytest.mark.parametrize('run_events', [None, LAST_EVENT + 1])
def test_run_whose_connection_is_dead_goes_on_elsewhere(run_events):
    """Guards against waiting for events that have been lost.

    The engine is in reach and has written them, or does not list the run.
    """
    silent = SilentEngines(alive=True, run_events=run_events)
    exchange, send = silent.start_stream()
    silent.world.relay.exchanges[exchange].sends[send.send].copy_to = None
    hear_others(silent, 3.0)
    [going_on] = silent.open_runs(exchange)
    assert going_on != send


def test_held_run_is_preferred_to_one_that_reads_the_prompt():
    """Guards against ending a run that its engine still holds.

    The probe that shows it comes after the other run was started.
    """
    silent = SilentEngines(alive=True)
    exchange, send = silent.start_stream()
    silent.world.relay.exchanges[exchange].sends[send.send].copy_to = None
    while len(silent.open_runs(exchange)) < 2:
        hear_others(silent, STEP_SECONDS)
    silent.run_events = LAST_EVENT
    hear_others(silent, 0.4)
    assert silent.open_runs(exchange) == [send]


@pytest.mark.parametrize('has_copy', [False, True])
def test_held_run_is_kept_once_its_engine_is_back_in_reach(has_copy):
    """Guards against a cut stream whose engine was out of reach for a while.

    It still holds the run; the engine of the other run has written nothing
    and fails it.
    """
    silent = SilentEngines(run_events=LAST_EVENT)
    exchange, send = silent.start_stream()
    former = silent.world.relay.exchanges[exchange].sends[send.send]
    if not has_copy:
        former.copy_to = None
    while len(silent.open_runs(exchange)) < 2 or not former.is_unreachable:
        silent.wait(STEP_SECONDS)
    silent.alive = True
    silent.wait(1.0)
    assert silent.open_runs(exchange) == [send]


def test_run_whose_own_path_is_lost_is_not_kept_for_answers_by_another():
    """Guards against streams held for a dead path until their deadline.

    All direct paths are lost, so no engine is heard; probes are answered
    through another instance.
    """
    silent = SilentEngines(alive=True, via='other')
    world = silent.world
    runs = [silent.start_stream(3) for _ in range(2)]
    for exchange, send in runs:
        world.relay.exchanges[exchange].sends[send.send].copy_to = None
    silent.wait(1.0)
    assert [len(world.sends(exchange)) > 1 for exchange, _ in runs] == [
        True,
        True,
    ]


def test_engine_that_answers_by_another_way_is_not_reported_as_failed():
    """Guards against a lost path that others take for a failed engine."""
    silent = SilentEngines(alive=True, via='other')
    world = silent.world
    exchange, send = silent.start_stream(3)
    world.relay.exchanges[exchange].sends[send.send].copy_to = None
    silent.wait(1.5)
    told = [
        type(action.hint) for action in world.of_kind(relay_actions.TellPeers)
    ]
    assert hints.StreamSilent in told
    assert hints.EngineFailed not in told


def test_first_run_is_kept_if_no_engine_was_asked_in_time():
    """Guards against a run that is ended with nothing known of either engine.

    This process stands still from the start of the second run on.
    """
    silent = SilentEngines(alive=True)
    world = silent.world
    exchange, send = silent.start_stream()
    world.relay.exchanges[exchange].sends[send.send].copy_to = None
    while len(silent.open_runs(exchange)) < 2:
        silent.wait(0.01)
    first = world.relay.exchanges[exchange].sends[send.send]
    first.asked_at = first.probe_answered_at = float('-inf')
    world.now += 0.3
    world.advance(0.0)
    assert silent.open_runs(exchange) == [send]
