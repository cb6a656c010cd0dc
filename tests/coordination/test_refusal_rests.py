"""Engines that fail if they turn away too many requests in a second."""

import random

import pytest

from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.sharing import refusal_rests
from greengagelb.protocol import relay_hints
from greengagelb.protocol import statement_headers
from greengagelb.state import statements
from greengagelb.state.relay import hints
from tests.common import relay_world

RATE = 2.0


def rest(rate, parts):
    """Return how long an engine is left alone on average."""
    rng = random.Random(1)
    drawn = [
        refusal_rests.draw_rest_seconds(rate, parts, rng) for _ in range(200)
    ]
    return sum(drawn) / len(drawn)


@pytest.mark.parametrize('instances', [3, 8, 30])
def test_instances_that_share_nothing_keep_to_their_part(instances):
    """Guards against a bound that each instance keeps for itself."""
    rate = float(instances)
    refusals_per_second = instances / rest(rate, instances)
    assert refusals_per_second <= rate / 2


@pytest.mark.parametrize('rate', [0.0, 0.001, 1e9])
def test_rest_is_bounded(rate):
    """Guards against an engine that is left alone for ever, or not at all."""
    seconds = rest(rate, 200)
    assert seconds >= refusal_rests.MIN_REST_SECONDS
    assert seconds <= refusal_rests.MAX_REST_SECONDS


def test_answer_that_is_no_refusal_requires_no_rest():
    """Guards against engines that rest although they have room."""
    statement = statements.Statement(refusal_rate=RATE)
    assert not refusal_rests.requires_rest(statement, 200)
    assert refusal_rests.requires_rest(statement, 503)


def test_others_space_out_their_requests_as_well():
    """Guards against instances that each find out by a refusal."""
    world = relay_world.RelayWorld()
    hint = hints.EngineRefused('call-north', RATE)
    raw = relay_hints.encode_hint('other', hint)
    world.handle(relay_events.PeerTold(*relay_hints.decode_datagram(raw)))
    state = world.relay.engines.states['call-north']
    assert state.is_resting(world.now)
    assert state.rest_until <= world.now + refusal_rests.MAX_REST_SECONDS


@pytest.mark.parametrize(
    ('values', 'rate', 'unusable'),
    [
        ([b'4'], 4.0, ()),
        ([b' 4 '], 4.0, ()),
        ([b'4', b'2'], 2.0, ("'4'", "'2'")),
        ([b'-1'], None, ("'-1'",)),
        ([b'many'], None, ("'many'",)),
        ([b''], None, ("''",)),
        ([], None, ()),
    ],
)
def test_values_of_the_header(values, rate, unusable):
    """Guards against values that end the handling of an answer."""
    statement = statement_headers.parse_statement(200, [], [], values)
    assert statement.refusal_rate == rate
    assert statement.unusable == unusable


@pytest.mark.parametrize('kind', relay_world.ASK)
def test_engine_that_turned_a_request_away_gets_no_other_at_once(kind):
    """Guards against refusals that end an engine which has no room."""
    world = relay_world.RelayWorld()
    ask = relay_world.ASK[kind]
    refused = world.last_send(ask(world))
    world.state(refused, 503, refusal_rate=RATE)
    assert refused.engine.engine not in world.engines_used(ask, 10)
    world.advance(refusal_rests.MAX_REST_SECONDS)
    assert refused.engine.engine in world.engines_used(ask, 30)


def test_rate_in_an_answer_that_is_no_refusal_changes_nothing():
    world = relay_world.RelayWorld()
    served = world.last_send(world.call())
    world.state(served, 200, refusal_rate=RATE)
    state = world.relay.engines.states[served.engine.engine]
    assert not state.is_resting(world.now)
