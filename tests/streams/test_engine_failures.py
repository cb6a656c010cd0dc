"""Failures that engines of the product's own interface answer themselves.

A node and its HTTP client, over connections in memory.
"""

import random

import pytest

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.protocol import codec
from greengagelb.protocol import engine_api
from greengagelb.protocol import sse
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.transport import engine_client
from tests.common import generations
from tests.common import wires

REFUSAL = codec.encode(engine_api.Refusal('overloaded', 'e0'))
# Answers from which it can't be known whether the engine ran the attempt.
UNCLEAR_ANSWERS = [
    pytest.param('500 Internal Server Error', b'', id='empty'),
    pytest.param('500 Internal Server Error', b'<html>', id='a page'),
    pytest.param(
        '500 Internal Server Error', b'{"error": "x"}', id='an error'
    ),
    pytest.param('503 Service Unavailable', b'busy', id='a status alone'),
    pytest.param('504 Gateway Timeout', b'{}', id='past its time limit'),
    pytest.param('503 Service Unavailable', REFUSAL[:-3], id='part of one'),
    pytest.param('204 No Content', b'', id='no content'),
]


class Instance:
    """A configured node whose actions reach engines over wires."""

    def __init__(self):
        self.network = wires.Network()
        self.node = node.Node('i1', random.Random(1))
        self.client = engine_client.EngineClient(
            self.network.reactor, self.handle
        )
        self.answers = []
        self.timers = {}
        offered = generations.configuration_of(1, generations.pool_of('1', 3))
        self.handle(events.ConfigurationOffered(offered, 'test'))

    def handle(self, event):
        now = self.network.reactor.seconds()
        for action in self.node.handle(event, now):
            match action:
                case actions.StartAttempt():
                    self.client.start_attempt(action)
                case actions.AttachAttempt():
                    self.client.attach_attempt(action)
                case actions.SetTimer(name, deadline):
                    self.timers[name] = deadline
                case actions.ClearTimer(name):
                    self.timers.pop(name, None)
                case actions.SendFailure() | actions.SendTokens():
                    self.answers.append(action)

    def advance(self, seconds):
        """Let time pass, in steps; timers fire that are due."""
        until = self.network.reactor.seconds() + seconds
        while self.network.reactor.seconds() < until:
            self.network.reactor.advance(0.05)
            now = self.network.reactor.seconds()
            for name in [n for n, at in self.timers.items() if at <= now]:
                del self.timers[name]
                self.handle(events.TimerFired(name))

    def submit(self, service):
        request = requests.GenerationRequest(
            1, identity.RequestId('teratak', 'r1'), service, 'p', 3, 60.0
        )
        self.handle(events.GenerationSubmitted(request))

    def fail_with(self, status, body):
        """Accept the newest connection, and answer with a failure."""
        wire = self.network.accept()
        wire.answer(body, status=status)
        return wire


@pytest.mark.parametrize(('status', 'body'), UNCLEAR_ANSWERS)
def test_run_that_failed_is_not_repeated(status, body):
    """Guards against a second run after an engine's own failure."""
    instance = Instance()
    instance.submit('once')
    instance.fail_with(status, body)
    assert instance.network.connections == 1
    [answer] = instance.answers
    assert answer.failure.ran is requests.Ran.UNKNOWN
    assert answer.failure.code == 'outcome-unknown'


@pytest.mark.parametrize(('status', 'body'), UNCLEAR_ANSWERS)
def test_failed_run_of_an_idempotent_service_goes_elsewhere(status, body):
    """Guards against a failure of one engine that reaches the caller."""
    instance = Instance()
    instance.submit('draft')
    instance.fail_with(status, body)
    assert instance.network.connections == 2
    assert not instance.answers


def test_refused_attempt_goes_elsewhere():
    """Guards against giving up a request that no engine has run."""
    instance = Instance()
    instance.submit('once')
    instance.fail_with('503 Service Unavailable', REFUSAL)
    assert instance.network.connections == 2
    assert not instance.answers


def test_refusal_that_breaks_off_may_have_run():
    """Guards against a second run after half a refusal."""
    instance = Instance()
    instance.submit('once')
    wire = instance.network.accept()
    wire.answer(REFUSAL, status='503 Service Unavailable', length=1000)
    wire.break_off()
    attach = instance.network.accept()
    assert attach.sent.startswith(b'POST /v1/attach')


def test_attempt_that_fails_to_attach_is_not_repeated():
    """Guards against a second run after the first attempt was asked for."""
    instance = Instance()
    instance.submit('once')
    wire = instance.network.accept()
    wire.break_off()
    instance.fail_with('500 Internal Server Error', b'')
    assert instance.network.connections == 2
    [answer] = instance.answers
    assert answer.failure.ran is requests.Ran.UNKNOWN


def test_begun_stream_goes_on_after_a_failure_of_its_engine():
    """Guards against ending a stream whose attach an engine fails."""
    instance = Instance()
    instance.submit('once')
    attempt = instance.node.stream_supervisor.streams[1].attempt.attempt_id
    wire = instance.network.accept()
    batch = engine_api.TokenBatch(1, attempt.attempt, 0, ['a'])
    event = sse.encode_event(codec.encode(batch), 'tokens')
    wire.answer(event, length=1000)
    wire.break_off()
    instance.fail_with('500 Internal Server Error', b'')
    assert instance.network.connections == 3
    following = instance.network.accept()
    assert b'"received":["a"]' in following.sent


def test_pool_whose_engines_all_fail_is_not_asked_without_end():
    """Guards against a request that runs on engines until its deadline."""
    instance = Instance()
    instance.submit('draft')
    answered = 0
    while answered < instance.network.connections and not instance.answers:
        answered += 1
        instance.fail_with('500 Internal Server Error', b'')
        instance.network.reactor.advance(0.05)
    assert answered <= 1 + configuration.RecoveryPolicy().most_engine_deaths


def test_engine_that_turns_an_attach_away_keeps_its_attempt():
    """Guards against giving up an attempt that its engine goes on with.

    Its connection breaks, and the engine is too busy for another one.
    """
    instance = Instance()
    instance.submit('once')
    instance.network.accept().break_off()
    instance.fail_with('503 Service Unavailable', REFUSAL)
    assert not instance.answers
    instance.advance(4.0)
    assert instance.network.connections == 3
    assert instance.network.accept().sent.startswith(b'POST /v1/attach')
