"""Sockets and timers of many hosts in one process, on one virtual clock.

Bytes that a cut holds up arrive once it has ended, as they would be sent
again.
"""

import collections
import enum
import heapq
import itertools
import random

from twisted.internet import address
from twisted.internet import base
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

LATENCY_SECONDS = 0.0009
EPHEMERAL_PORTS = 40_000


class Cut(enum.Enum):
    """What becomes of the path between two hosts.

    ``SILENT`` lets nothing pass. ``REFUSED`` refuses new connections and
    leaves the open ones alone. ``RESET`` resets the open ones and is silent
    for new ones. ``ONE_WAY`` loses what the second host sends.
    """

    SILENT = 'silent'
    REFUSED = 'refused'
    RESET = 'reset'
    ONE_WAY = 'one-way'


class Handle:
    """Takes socket options."""

    def setsockopt(self, *options):
        """Nothing depends on them here."""


class Socket:
    """One end of a connection."""

    def __init__(self, network, host, port, own_protocol):
        self.network = network
        self.host = host
        self.port = port
        self.protocol = own_protocol
        self.peer = None
        self.unsent = collections.deque()
        self.disconnecting = False
        self.ended = False
        self.producer = None

    def setTcpNoDelay(self, enabled):
        """Nothing depends on it here."""

    def setTcpKeepAlive(self, enabled):
        """Nothing depends on it here."""

    def getHandle(self):
        return Handle()

    def getPeer(self):
        return address.IPv4Address('TCP', self.peer.host, self.peer.port)

    def registerProducer(self, producer, streaming):
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def pauseProducing(self):
        """Nobody here writes more than is read."""

    def resumeProducing(self):
        """Nobody here writes more than is read."""

    def write(self, data):
        if data and not self.ended and not self.disconnecting:
            self.network.transmit(self, bytes(data))

    def loseWriteConnection(self):
        self.network.transmit(self, None)

    def loseConnection(self):
        if not self.disconnecting and not self.ended:
            self.disconnecting = True
            self.network.transmit(self, None)
            self.network.call_later(0.0, self.end, error.ConnectionDone)

    def abortConnection(self):
        if not self.ended:
            self.disconnecting = True
            self.network.transmit(self, error.ConnectionLost)
            self.network.call_later(0.0, self.end, error.ConnectionAborted)

    def end(self, reason):
        if not self.ended:
            self.ended = True
            self.network.sockets.discard(self)
            self.protocol.connectionLost(failure.Failure(reason()))

    def receive(self, item):
        """Take in bytes, the orderly end (None) or a reset."""
        if self.ended:
            return
        if item is None:
            self.end(error.ConnectionDone)
        elif isinstance(item, bytes):
            self.protocol.dataReceived(item)
        else:
            self.end(item)


class Port:
    """A listening port of a host."""

    def __init__(self, ports, key):
        self.ports = ports
        self.key = key

    def stopListening(self):
        self.ports.pop(self.key, None)
        return defer.succeed(None)


class Connector:
    """An attempt to connect."""

    def __init__(self, factory):
        self.factory = factory
        self.socket = None
        self.ended = False

    def fail(self, reason):
        if not self.ended:
            self.ended = True
            self.factory.clientConnectionFailed(
                self, failure.Failure(reason())
            )

    def disconnect(self):
        if self.socket is not None:
            self.socket.loseConnection()
        else:
            self.fail(error.UserError)


class Datagrams:
    """A socket for datagrams."""

    def __init__(self, network, host):
        self.network = network
        self.host = host

    def write(self, raw, target):
        self.network.send_datagram(self.host, raw, target)


class Host:
    """The reactor of the processes of one host."""

    def __init__(self, network, host):
        self.network = network
        self.host = host

    def seconds(self):
        return self.network.now

    def callLater(self, seconds, call, *args, **named):
        return self.network.call_later(seconds, call, *args, **named)

    def listenTCP(self, port, factory, backlog=50, interface=''):
        key = (interface or self.host, port)
        self.network.ports[key] = factory
        return Port(self.network.ports, key)

    def listenUDP(self, port, own_protocol, interface=''):
        own_protocol.transport = Datagrams(self.network, self.host)
        self.network.datagram_ports[interface or self.host, port] = (
            own_protocol
        )

    def connectTCP(self, host, port, factory, timeout=30, **bound):
        return self.network.connect(self.host, host, port, factory, timeout)


class Network:
    """All hosts, and what becomes of the paths between them.

    ``cuts`` has the cut paths by both hosts in order. ``loss`` is the share of
    datagrams that are lost. Hosts in ``silenced`` send nothing any more.
    """

    def __init__(self, seed=1, loss=0.0):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.heap = []
        self.serials = itertools.count()
        self.ephemeral_ports = itertools.count(EPHEMERAL_PORTS)
        self.ports = {}
        self.datagram_ports = {}
        self.sockets = set()
        self.cuts = {}
        self.silenced = set()
        self.datagrams_sent = 0

    # -- time ---------------------------------------------------------------

    def call_later(self, seconds, call, *args, **named):
        """Call a function after some seconds."""
        delayed = base.DelayedCall(
            self.now + seconds,
            call,
            args,
            named,
            lambda cancelled: None,
            self.push,
            lambda: self.now,
        )
        self.push(delayed)
        return delayed

    def push(self, delayed):
        at = delayed.getTime()
        heapq.heappush(self.heap, (at, next(self.serials), delayed))

    def advance(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            at, _, delayed = heapq.heappop(self.heap)
            if delayed.cancelled or delayed.called:
                continue
            if delayed.getTime() > at:
                self.push(delayed)
                continue
            self.now = max(self.now, at)
            delayed.called = 1
            delayed.func(*delayed.args, **delayed.kw)
        self.now = end

    # -- paths --------------------------------------------------------------

    def cut(self, first, second, mode):
        """Cut the path between two hosts."""
        self.cuts[first, second] = mode
        if mode is Cut.RESET:
            for socket in list(self.sockets):
                if (socket.host, socket.peer.host) == (first, second):
                    socket.peer.end(error.ConnectionLost)
                    socket.end(error.ConnectionLost)

    def heal(self, first, second):
        """End the cut of a path; what it held up arrives."""
        self.cuts.pop((first, second), None)
        for socket in list(self.sockets):
            if {socket.host, socket.peer.host} == {first, second}:
                self.call_later(LATENCY_SECONDS, self.deliver, socket)

    def is_blocked(self, source, target):
        """Return whether packets of open connections don't pass."""
        if self.cuts.get((source, target)) in (Cut.SILENT, Cut.RESET):
            return True
        return self.cuts.get((target, source)) in (
            Cut.SILENT,
            Cut.RESET,
            Cut.ONE_WAY,
        )

    def connect(self, source, host, port, factory, timeout):
        """Try to open a connection."""
        connector = Connector(factory)
        if source in self.silenced:
            return connector
        if self.cuts.get((source, host)) is Cut.REFUSED:
            refused = error.ConnectionRefusedError
            self.call_later(LATENCY_SECONDS, connector.fail, refused)
        elif self.is_blocked(source, host) or self.is_blocked(host, source):
            self.call_later(timeout, connector.fail, error.TimeoutError)
        else:
            round_trip = 2 * LATENCY_SECONDS
            self.call_later(
                round_trip, self.accept, connector, source, (host, port)
            )
        return connector

    def accept(self, connector, source, target):
        """Open a connection if something listens."""
        listening = self.ports.get(target)
        if connector.ended or listening is None:
            connector.fail(error.ConnectionRefusedError)
            return
        connector.ended = True
        peer = address.IPv4Address('TCP', source, next(self.ephemeral_ports))
        far = Socket(self, *target, listening.buildProtocol(peer))
        near = Socket(
            self, source, peer.port, connector.factory.buildProtocol(None)
        )
        near.peer, far.peer = far, near
        connector.socket = near
        self.sockets |= {near, far}
        far.ended = far.protocol is None
        if not far.ended:
            far.protocol.makeConnection(far)
        near.protocol.makeConnection(near)
        if far.ended:
            near.end(error.ConnectionLost)

    def transmit(self, socket, item):
        """Send bytes, an orderly end or a reset to the other end."""
        if not socket.ended:
            socket.unsent.append(item)
            self.call_later(LATENCY_SECONDS, self.deliver, socket)

    def deliver(self, socket):
        """Deliver what has been sent, unless the path is cut."""
        peer = socket.peer
        while socket.unsent:
            if self.is_blocked(socket.host, peer.host):
                return
            peer.receive(socket.unsent.popleft())

    def send_datagram(self, source, raw, target):
        """Send a datagram, which may be lost."""
        self.datagrams_sent += 1
        if source in self.silenced:
            return
        if self.rng.random() < self.loss:
            return
        if not self.is_blocked(source, target[0]):
            self.call_later(
                LATENCY_SECONDS, self.deliver_datagram, source, raw, target
            )

    def deliver_datagram(self, source, raw, target):
        receiver = self.datagram_ports.get(target)
        if receiver is not None:
            receiver.datagramReceived(raw, (source, 0))


class Opener(protocol.ClientFactory):
    """Opens a connection for a protocol of a test."""

    noisy = False

    def __init__(self, opened):
        self.opened = opened

    def buildProtocol(self, addr):
        return self.opened
