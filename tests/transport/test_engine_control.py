"""Short requests to engines, over connections in memory."""

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.protocol import codec
from greengagelb.protocol import engine_api
from greengagelb.protocol import sse
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.transport import engine_client
from greengagelb.transport import http
from tests.common import wires

UPSTREAM = configuration.Upstream('e0', wires.ADDRESS, wires.PORT, 'kl-1')
ATTEMPT = identity.AttemptId(identity.RequestId('teratak', 'r'), 1, 'i.1')


def create_client(network):
    found = []
    client = engine_client.EngineClient(network.reactor, found.append)
    return client, found


def test_redirect_of_a_probe_is_not_followed():
    """A proxy in front of an engine answers with a redirect.

    Guards against taking the report of another engine for this one's.
    """
    network = wires.Network()
    client, found = create_client(network)
    client.probe_upstream(actions.ProbeUpstream(UPSTREAM))
    wire = network.accept()
    wire.answer(b'', 'Location: http://10.0.0.2:1/', status='302 Found')
    assert network.connections == 1
    assert found == [events.UpstreamUnreachable('e0')]


def test_refused_cancellation_closes_its_connection():
    """An engine refuses cancellations repeatedly.

    Guards against unread answers that keep their connections open: after some
    thousands of them the instance can open no more.
    """
    network = wires.Network()
    client, found = create_client(network)
    client.cancel_attempt(actions.CancelAttempt(ATTEMPT, UPSTREAM))
    wire = network.accept()
    wire.answer(b'no', status='500 Internal Server Error', length=1000)
    assert found == [events.CancelFailed(ATTEMPT)]
    assert wire.closed


def test_endless_report_is_cut_at_the_bound():
    """A faulty engine sends a report that never ends.

    Guards against a report that fills the memory of the instance.
    """
    network = wires.Network()
    client, found = create_client(network)
    client.probe_upstream(actions.ProbeUpstream(UPSTREAM))
    wire = network.accept()
    wire.answer(bytes(http.MAX_BODY_BYTES + 1), length=1 << 40)
    assert found == [events.UpstreamUnreachable('e0')]
    assert wire.closed


def test_stream_that_has_ended_is_forgotten():
    """An instance serves many streams over weeks.

    Guards against a memory leak: if each ended stream were kept, the instance
    would run out of memory and break the streams that it serves.
    """
    network = wires.Network()
    client, found = create_client(network)
    client.start_attempt(
        actions.StartAttempt(
            ATTEMPT,
            UPSTREAM,
            'm',
            '1',
            '',
            'p',
            (),
            1,
            configuration.Priority.LONG,
            60.0,
        )
    )
    ended = engine_api.AttemptEnded(1, 'i.1', 0, 'length')
    network.accept().answer(sse.encode_event(codec.encode(ended), 'ended'))
    assert found[-1] == events.AttemptEnded(ATTEMPT, 0, 'length')
    assert client.open_streams == {}


def test_cancellation_is_repeated_without_an_answer_to_the_first():
    """The connection of a cancellation is lost: nobody answers on it.

    The engine would work on a stream that goes on elsewhere until the wait
    for the answer is over.
    """
    network = wires.Network()
    client, found = create_client(network)
    client.cancel_attempt(actions.CancelAttempt(ATTEMPT, UPSTREAM))
    network.reactor.advance(0.1)
    assert network.connections == 2
    wire = network.accept()
    assert b'/v1/cancel' in wire.sent
    wire.answer(codec.encode(engine_api.CancelAnswer(True)))
    assert found == [events.AttemptCancelled(ATTEMPT)]
    network.reactor.advance(5.0)
    assert found == [events.AttemptCancelled(ATTEMPT)]
    assert network.connections == 2


def test_answered_cancellation_is_not_repeated():
    """An engine confirms a cancellation, and would get it once more."""
    network = wires.Network()
    client, found = create_client(network)
    client.cancel_attempt(actions.CancelAttempt(ATTEMPT, UPSTREAM))
    network.accept().answer(codec.encode(engine_api.CancelAnswer(True)))
    network.reactor.advance(5.0)
    assert network.connections == 1
    assert found == [events.AttemptCancelled(ATTEMPT)]


def test_unanswered_cancellation_is_reported_as_failed_once():
    """No connection of a cancellation is answered.

    Each further report would start a series of retries of its own.
    """
    network = wires.Network()
    client, found = create_client(network)
    client.cancel_attempt(actions.CancelAttempt(ATTEMPT, UPSTREAM))
    for _ in range(50):
        network.reactor.advance(0.1)
    assert found == [events.CancelFailed(ATTEMPT)]
    assert network.connections == 3


def test_refusal_of_a_repeated_cancellation_waits_for_the_others():
    """A cancellation is refused while another one of it is on its way.

    Its confirmation would come after the report of the failure.
    """
    network = wires.Network()
    client, found = create_client(network)
    client.cancel_attempt(actions.CancelAttempt(ATTEMPT, UPSTREAM))
    first = network.accept()
    network.reactor.advance(0.1)
    network.accept().answer(b'no', status='500 Internal Server Error')
    assert found == []
    first.answer(codec.encode(engine_api.CancelAnswer(True)))
    assert found == [events.AttemptCancelled(ATTEMPT)]
