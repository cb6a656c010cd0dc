"""Attempts to connect to upstreams, without a network."""

from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from greengagelb.transport import http


def test_refused_connection_is_reported_without_waiting():
    """An engine was killed and its port refuses connections.

    Guards against an agent that waits for further addresses: it reports this
    0.3 s late, and each stream of the engine pauses for that time.
    """
    reactor = testing.MemoryReactorClock()
    agent = http.fresh_connection_agent(reactor)
    answer = agent.request(b'GET', b'http://127.0.0.1:1/')
    failures = []
    answer.addErrback(failures.append)
    (_, _, factory, _, _) = reactor.tcpClients[0]
    refused = failure.Failure(error.ConnectionRefusedError())
    factory.clientConnectionFailed(reactor.connectors[0], refused)
    assert failures[0].check(error.ConnectionRefusedError)
    assert not http.was_handed_over(failures[0])
