"""The soak's own link must not do what no network does."""

import pytest
from twisted.internet import address
from twisted.internet import error
from twisted.internet import task
from twisted.internet import testing
from twisted.python import failure

from tests.soak import proxy


class Port:
    """A listening port."""

    def getHost(self):
        return address.IPv4Address('TCP', '127.0.0.1', 7)


class Reactor(task.Clock):
    """Time that the test moves, and ports that nobody connects to."""

    def listenTCP(self, port, factory, interface=''):
        return Port()

    def connectTCP(self, host, port, factory, bindAddress=None):  # noqa: N803
        """Nothing depends on it here."""


class Wire(testing.StringTransport):
    """A transport that takes the options of a socket."""

    def setTcpNoDelay(self, enabled):
        """Nothing depends on it here."""


def joined_halves(reactor):
    """Return a link, and both ends of a connection through it."""
    link = proxy.Proxy(reactor, '127.0.0.1')
    link.far = ('127.0.0.1', 8)
    near, far = proxy.Half(link, upward=True), proxy.Half(link, upward=False)
    near.other, far.other = far, near
    near.makeConnection(Wire())
    far.makeConnection(Wire())
    return link, near, far


def test_bytes_stay_in_order_when_a_slow_link_becomes_fast_again():
    """A link has been slow, and is not any more while bytes are on it.

    Passed on at once, the end of a stream would arrive before its last events,
    and look like the whole of it. No connection does that: the soak would
    blame the instance for what its own link has done.
    """
    reactor = Reactor()
    link, near, far = joined_halves(reactor)
    link.delay = 0.1
    far.dataReceived(b'last event, ')
    reactor.advance(0.05)
    link.delay = 0.0
    far.dataReceived(b'end')
    reactor.advance(0.2)
    assert near.transport.value() == b'last event, end'


@pytest.mark.parametrize('delay_at_end', [0.1, 0.0])
def test_end_of_a_connection_comes_after_delayed_bytes(delay_at_end):
    """An engine ends its answer with the connection, and the link is slow.

    Closed before its last bytes are through, or without them, the connection
    would make a part of the answer look like all of it.
    """
    reactor = Reactor()
    link, near, far = joined_halves(reactor)
    link.delay = 0.1
    far.dataReceived(b'last event')
    link.delay = delay_at_end
    far.connectionLost(failure.Failure(error.ConnectionDone()))
    reactor.advance(0.05)
    assert not near.transport.disconnecting
    reactor.advance(0.1)
    assert near.transport.value() == b'last event'
    assert near.transport.disconnecting


def test_ports_of_an_instance_differ():
    """Guards against a run that fails as an instance's settings are bad."""
    for _ in range(200):
        assert len(set(proxy.free_ports('127.0.0.1', 40))) == 40
