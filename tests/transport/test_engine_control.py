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
