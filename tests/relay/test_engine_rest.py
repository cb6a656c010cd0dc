"""Engines that turn requests away and ask an instance for rest."""

import dataclasses
import itertools

import pytest

from greengagelb.coordination import actions as common_actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.protocol import relay_hints
from greengagelb.state import statements
from greengagelb.state.relay import hints
from tests.common import relay_world

KINDS = relay_world.ASK
REST_SECONDS = 3.0


@pytest.mark.parametrize('kind', KINDS)
def test_engine_that_asks_for_rest_gets_no_request_until_its_end(kind):
    """Guards against an overloaded engine that looks idle, as it refuses."""
    world = relay_world.RelayWorld()
    ask = KINDS[kind]
    resting = world.last_send(ask(world))
    world.ask_for_rest(resting, REST_SECONDS)
    for _ in range(5):
        assert resting.engine.engine not in world.engines_used(ask, 10)
        world.advance(0.59)
    world.advance(0.1)
    assert resting.engine.engine in world.engines_used(ask)


def rest_all(world, service, seconds=REST_SECONDS):
    """Have all engines of a service ask for rest, in answers to checks."""
    for state in list(world.relay.engines.by_service[service].values()):
        statement = statements.Statement(rest_seconds=seconds)
        world.handle(relay_events.EngineStated(state.entry, statement, 503))


def test_later_of_several_deadlines_counts():
    """Guards against a shorter rest that ends a longer one."""
    world = relay_world.RelayWorld()
    first = world.last_send(world.call())
    world.state(first, 503, rest_seconds=5.0)
    world.ask_for_rest(first, 1.0)
    world.advance(4.9)
    assert first.engine.engine not in world.engines_used(KINDS['call'], 10)
    world.advance(0.2)
    assert first.engine.engine in world.engines_used(KINDS['call'])


def test_resting_engine_has_not_failed():
    """Guards against an outlier, a suspicion or lost copies made of rest."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.ask_little())
    world.begin(send)
    world.events(send, 1)
    statement = statements.Statement(rest_seconds=REST_SECONDS)
    done = world.handle(
        relay_events.EngineStated(send.copy_to, statement, 503)
    )
    state = world.relay.engines.states[send.copy_to.engine]
    assert state.failures == 0
    assert state.is_trusted(world.now)
    assert [type(action) for action in done] == [
        common_actions.Record,
        relay_actions.TellPeers,
    ]
    risks = world.relay.engines.failure_risk_by_data_centre(
        relay_world.STREAMS, world.now
    )
    assert not risks


def test_copies_are_ordered_from_a_resting_engine_after_its_rest():
    """Guards against copy orders that reach an engine within its rest."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.ask_little())
    world.begin(send)
    world.state(send, 503, rest_seconds=REST_SECONDS)
    world.events(send, 1)
    lost = hints.EngineFailed(send.copy_to.engine)
    world.handle(relay_events.PeerTold('5-own', lost))
    assert not world.of_kind(relay_actions.CopyRun)
    for number in range(2, 16):
        world.advance(0.25)
        world.events(send, number)
    [order] = world.of_kind(relay_actions.CopyRun)
    assert order.source == send.engine


def test_stream_does_not_go_on_from_a_copy_at_a_resting_engine():
    """Guards against resumed streams that reach an engine in its rest."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.ask_little())
    world.begin(send)
    world.events(send, 1)
    statement = statements.Statement(rest_seconds=REST_SECONDS)
    world.handle(relay_events.EngineStated(send.copy_to, statement, 503))
    world.lose(send)
    resumed = world.last_send(send.exchange)
    assert resumed.engine.engine not in (
        send.engine.engine,
        send.copy_to.engine,
    )


def test_hedge_does_not_reach_a_resting_engine():
    """Guards against second tries that reach an engine in its rest."""
    world = relay_world.RelayWorld()
    exchange = world.query()
    [first] = world.sends(exchange)
    for state in world.relay.engines.by_service[relay_world.CALLS].values():
        if state.entry != first.engine:
            statement = statements.Statement(rest_seconds=REST_SECONDS)
            world.handle(
                relay_events.EngineStated(state.entry, statement, 503)
            )
    world.advance(0.5)
    assert world.sends(exchange) == [first]


def test_call_that_has_no_time_to_wait_is_refused_at_once():
    """Guards against requests held until their time is over."""
    world = relay_world.RelayWorld()
    rest_all(world, relay_world.CALLS)
    exchange = world.call()
    [refusal] = world.refusals(exchange)
    assert (refusal.status, refusal.code) == (503, 'engines-resting')
    assert refusal.retry_after >= REST_SECONDS
    told = world.of_kind(common_actions.Record)
    [line] = [a for a in told if a.kind == 'engines-left-out']
    assert line.request.request == f'r{exchange}'
    assert '3 of 3: call-north rests for 3.000 s by an answer to a check' in (
        line.reason
    )


def test_callers_that_are_refused_do_not_return_together():
    """Guards against the end of a rest that brings all of them back."""
    world = relay_world.RelayWorld()
    rest_all(world, relay_world.CALLS)
    waits = sorted(
        world.refusals(world.call())[0].retry_after for _ in range(100)
    )
    assert waits[-1] - waits[0] > 1.5
    gaps = [b - a for a, b in itertools.pairwise(waits)]
    assert max(gaps) < 0.3


def test_request_waits_for_the_end_of_a_rest_that_comes_in_time():
    """Guards against refusals of what could be served in its time."""
    world = relay_world.RelayWorld()
    rest_all(world, relay_world.STREAMS, 1.0)
    exchange = world.ask_little()
    assert not world.sends(exchange)
    assert not world.refusals(exchange)
    world.advance(0.99)
    assert not world.sends(exchange)
    world.advance(0.02)
    assert world.sends(exchange)
    assert not world.refusals(exchange)


def test_waiting_request_goes_to_an_engine_that_is_listed_meanwhile():
    """Guards against a wait for a rest while a new engine is idle."""
    world = relay_world.RelayWorld()
    rest_all(world, relay_world.STREAMS, 2.0)
    exchange = world.ask_little()
    added = relay_world.engine('model-new', relay_world.STREAMS, 'north')
    world.change_engines(added)
    world.advance(0.2)
    assert world.last_send(exchange).engine == added


def test_end_of_a_rest_sends_one_request_after_the_other():
    """Guards against an engine that is met by all that waited for it."""
    entries = (relay_world.engine('model', relay_world.STREAMS, 'north'),)
    world = relay_world.RelayWorld(entries)
    rest_all(world, relay_world.STREAMS, 1.0)
    waiting = [world.ask_little() for _ in range(40)]
    world.advance(1.01)
    assert 1 <= len(world.sends()) <= 2
    world.advance(0.125)
    assert 15 <= len(world.sends()) <= 18
    world.advance(0.5)
    assert {send.exchange for send in world.sends()} == set(waiting)


def test_accounts_take_turns_after_a_rest():
    """Guards against an account whose requests all go before another's."""
    world = relay_world.RelayWorld(
        (relay_world.engine('model', relay_world.STREAMS, 'north'),),
        relay_world.table_of_two_accounts(),
    )
    rest_all(world, relay_world.STREAMS, 1.0)
    for _ in range(10):
        world.ask_little()
    late = world.ask(key=relay_world.OTHER_KEY, prompt=None)
    world.advance(1.05)
    assert late in {send.exchange for send in world.sends()}


def test_stream_that_has_begun_goes_first_and_waits_for_longer():
    """Guards against a stream that is cut as all engines rest for a while."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.ask_little())
    world.begin(send)
    world.events(send, 1)
    rest_all(world, relay_world.STREAMS, 3.0)
    world.lose(send)
    assert not world.of_kind(relay_actions.AbortStream)
    world.advance(2.0)
    new = [world.ask_little() for _ in range(5)]
    world.advance(1.001)
    sent = [s.exchange for s in world.sends()[1:]]
    assert sent[0] == send.exchange
    assert set(sent) <= {send.exchange, *new}


def test_caller_that_leaves_stops_waiting():
    """Guards against work for callers that have gone."""
    world = relay_world.RelayWorld()
    rest_all(world, relay_world.STREAMS, 1.0)
    exchange = world.ask_little()
    world.leave(exchange)
    world.advance(2.0)
    assert not world.sends(exchange)
    assert not world.relay.engine_wait_outcomes.waits.waiting


def test_new_life_of_an_engine_has_asked_for_no_rest():
    """Guards against a rest that a restarted engine inherits."""
    entries = [
        dataclasses.replace(e, started_at_ms=1_000)
        for e in relay_world.fleet()
    ]
    world = relay_world.RelayWorld(entries)
    send = world.last_send(world.call())
    world.ask_for_rest(send, 3_600.0)
    world.advance(5.0)
    world.change_engines(dataclasses.replace(send.engine, started_at_ms=2_000))
    assert send.engine.engine in world.engines_used(KINDS['call'])


def test_very_long_rest_holds_for_the_life_of_its_engine():
    """Guards against a bound on rests that the engine did not set."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.call())
    world.ask_for_rest(send, 31_536_000.0)
    for _ in range(20):
        world.advance(300.0)
        world.change_engines(*relay_world.fleet(heartbeat=2))
        used = world.engines_used(KINDS['call'], 5)
        assert send.engine.engine not in used


def test_unusable_statements_are_recorded_at_a_bounded_rate():
    """Guards against a log line for each answer of a faulty engine."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.call())
    for _ in range(100):
        world.state(send, 503, unusable=("'soon'",))
        world.advance(0.25)
    told = [
        action
        for action in world.of_kind(common_actions.Record)
        if action.kind == 'engine-statement-refused'
    ]
    assert len(told) == 3
    assert "statement-unusable: 'soon'" in told[0].reason


def test_rest_is_recorded_once_while_answers_repeat_it():
    """Guards against a log line for each answer during a rest."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.call())
    for _ in range(20):
        world.state(send, 503, rest_seconds=3.0)
        world.advance(0.01)
    told = [
        action
        for action in world.of_kind(common_actions.Record)
        if action.kind == 'engine-rest'
    ]
    assert len(told) == 1
    assert told[0].upstream == send.engine.engine
    assert f'the answer to r{send.exchange}' in told[0].reason


def test_others_prefer_other_engines_while_one_rests_for_an_instance():
    """Guards against each instance being turned away once in each rest."""
    world, other = relay_world.RelayWorld(), relay_world.RelayWorld(seed=2)
    send = world.last_send(world.call())
    done = world.state(send, 503, rest_seconds=REST_SECONDS)
    [told] = [a.hint for a in done if isinstance(a, relay_actions.TellPeers)]
    raw = relay_hints.encode_hint('5-own', told)
    assert relay_hints.decode_datagram(raw) == ('5-own', told)
    other.handle(relay_events.PeerTold('5-own', told))
    assert send.engine.engine not in other.engines_used(KINDS['call'])
    other.advance(REST_SECONDS)
    assert send.engine.engine in other.engines_used(KINDS['call'])


def test_rest_for_another_instance_is_no_bound():
    """Guards against requests refused for what was asked of others."""
    world = relay_world.RelayWorld()
    for state in world.relay.engines.by_service[relay_world.CALLS].values():
        told = hints.EngineResting(state.entry.engine, REST_SECONDS)
        world.handle(relay_events.PeerTold('6-other', told))
    assert world.sends(world.call())


def test_instance_that_was_told_of_a_rest_tells_nobody_itself():
    """Guards against datagrams that grow with the square of the fleet."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.call())
    told = hints.EngineResting(send.engine.engine, REST_SECONDS)
    world.handle(relay_events.PeerTold('6-other', told))
    done = world.state(send, 503, rest_seconds=REST_SECONDS - 0.1)
    assert not [a for a in done if isinstance(a, relay_actions.TellPeers)]


def test_call_without_attempts_left_is_told_when_all_rests_end():
    """Guards against callers sent back at once to engines that all rest."""
    world = relay_world.RelayWorld()
    send = world.last_send(world.call())
    for state in world.relay.engines.by_service[relay_world.CALLS].values():
        told = hints.EngineResting(state.entry.engine, REST_SECONDS)
        world.handle(relay_events.PeerTold('6-other', told))
    world.ask_for_rest(send, REST_SECONDS)
    [refusal] = world.refusals(send.exchange)
    assert refusal.code == 'engines-resting'
    assert refusal.retry_after >= REST_SECONDS


def test_stream_that_all_engines_refused_goes_on_after_their_rest():
    """Guards against engines that count as refusing after their rest."""
    entries = [
        relay_world.engine(f'model-{number}', relay_world.STREAMS, 'north')
        for number in range(2)
    ]
    world = relay_world.RelayWorld(entries)
    world.relay.budget.set_fleet_size(1)
    exchange = world.ask_little()
    for _ in range(2):
        world.ask_for_rest(world.last_send(exchange), 1.0)
    assert len(world.sends(exchange)) == 2
    assert not world.refusals(exchange)
    world.advance(1.1)
    assert len(world.sends(exchange)) == 3


@pytest.mark.parametrize('kind', ['query', 'stream'])
def test_request_that_all_engines_refused_is_told_when_they_take_it(kind):
    """Guards against callers sent back before the first rest is over."""
    entries = [
        relay_world.engine(f'{service}-{number}', service, 'north')
        for service in (relay_world.CALLS, relay_world.STREAMS)
        for number in range(2)
    ]
    world = relay_world.RelayWorld(entries)
    exchange = KINDS[kind](world)
    for _ in range(2):
        world.ask_for_rest(world.last_send(exchange), 8.0)
    [refusal] = world.refusals(exchange)
    assert refusal.code == 'engines-resting'
    assert refusal.retry_after >= 8.0
