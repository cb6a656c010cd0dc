"""Batching of an engine's tokens keeps them complete and in order."""

from twisted.internet import task

from greengagelb.coordination import events
from greengagelb.protocol import codec
from greengagelb.protocol import engine_api
from greengagelb.protocol import sse
from greengagelb.state import identity
from greengagelb.transport import engine_client

ATTEMPT = identity.AttemptId(identity.RequestId('teratak', 'r'), 1, 'i.1')


class GatheredStream:
    """An engine stream with input from the test, and its events."""

    def __init__(self):
        self.clock = task.Clock()
        self.events = []
        client = engine_client.EngineClient(self.clock, self.events.append)
        self.stream = engine_client.EngineStream(
            ATTEMPT,
            lambda _: None,
            self.events.append,
            client.delay_relay,
            client.forget_stream,
            client.memory,
        )

    def receive(self, position, *tokens):
        batch = engine_api.TokenBatch(1, 'i.1', position, list(tokens))
        self.stream.receive_bytes(
            sse.encode_event(codec.encode(batch), 'tokens')
        )

    def receive_end(self, position):
        ended = engine_api.AttemptEnded(1, 'i.1', position, 'stop')
        self.stream.receive_bytes(
            sse.encode_event(codec.encode(ended), 'ended')
        )

    def tokens(self):
        return [
            (event.position, event.tokens)
            for event in self.events
            if isinstance(event, events.TokensArrived)
        ]


def test_first_token_is_passed_on_at_once():
    gathered = GatheredStream()
    gathered.receive(0, 'a')
    assert gathered.tokens() == [(0, ('a',))]


def test_tokens_within_one_interval_are_passed_on_together():
    gathered = GatheredStream()
    for position, token in enumerate('abc'):
        gathered.receive(position, token)
    gathered.clock.pump([engine_client.RELAY_INTERVAL_SECONDS, 0.0])
    assert gathered.tokens() == [(0, ('a',)), (1, ('b', 'c'))]


def test_gathered_tokens_are_passed_on_before_the_end():
    """The last tokens and the end of an answer arrive in one read.

    Guards against an end that overtakes them, which looks like missing tokens.
    """
    gathered = GatheredStream()
    gathered.receive(0, 'a')
    gathered.receive(1, 'b')
    gathered.receive_end(2)
    assert gathered.tokens() == [(0, ('a',)), (1, ('b',))]
    assert gathered.events[-1] == events.AttemptEnded(ATTEMPT, 2, 'stop')


def test_gap_between_batches_stays_visible():
    """An engine skips a position.

    Guards against batching tokens across the gap: the caller would miss one.
    Separate batches show the gap, and the stream recovers.
    """
    gathered = GatheredStream()
    gathered.receive(0, 'a')
    gathered.receive(1, 'b')
    gathered.receive(3, 'd')
    gathered.clock.pump([engine_client.RELAY_INTERVAL_SECONDS, 0.0])
    assert gathered.tokens() == [(0, ('a',)), (1, ('b',)), (3, ('d',))]


def test_abandoned_connection_reports_nothing_more():
    """A connection is replaced while some of its tokens are still batched."""
    gathered = GatheredStream()
    gathered.receive(0, 'a')
    gathered.receive(1, 'b')
    gathered.stream.close()
    gathered.clock.pump([engine_client.RELAY_INTERVAL_SECONDS, 0.0])
    assert gathered.tokens() == [(0, ('a',))]
