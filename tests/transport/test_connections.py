"""Attempts to connect to upstreams, without a network."""

import pytest
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
    assert not http.was_unreachable(failures[0])


@pytest.mark.parametrize('why', [error.TimeoutError, error.NoRouteError])
def test_connection_that_did_not_open_proves_nothing(why):
    """The way to an engine is cut while it works on an attempt.

    Taken for an engine that refuses, its attempt would be given up.
    """
    failed = failure.Failure(why())
    assert http.was_unreachable(failed)
    assert not http.was_handed_over(failed)
    assert not http.was_unreachable(failure.Failure(error.ConnectionLost()))
