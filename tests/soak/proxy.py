"""A loopback proxy that harms the connections through it.

Bytes that a fault has swallowed never come later: on a real link the
connection would stay silent, since what lay between has forgotten it.
"""

import collections
import contextlib
import enum
import socket

from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from zope import interface

from tests.common import endless_answers


class Mode(enum.Enum):
    """What happens to bytes."""

    PASS = 'pass'
    LOSE_ANSWERS = 'lose-answers'
    DARK = 'dark'
    ENDLESS = 'endless'


# What the far side of an endless link writes first, and then again and again.
ENDLESS_ANSWERS = (
    endless_answers.HEADS['header lines'],
    (b'', endless_answers.INFORMATIONAL),
    (endless_answers.STATUS + b'\r\n', endless_answers.FILLER),
    (endless_answers.STATUS + b'\r\ndata: ', endless_answers.FILLER),
)
ENDLESS_PIECE_BYTES = 65_536


@interface.implementer(interfaces.IPullProducer)
class EndlessAnswer:
    """Writes bytes to a connection until it is closed."""

    def __init__(self, transport: interfaces.ITCPTransport, kind: int) -> None:
        self.transport = transport
        first, more = ENDLESS_ANSWERS[kind % len(ENDLESS_ANSWERS)]
        self.piece = more * (ENDLESS_PIECE_BYTES // len(more))
        transport.registerProducer(self, False)
        transport.write(first)

    def resumeProducing(self) -> None:
        """Write the next piece."""
        self.transport.write(self.piece)

    def stopProducing(self) -> None:
        """The connection is closed."""


class Half(protocol.Protocol):
    """One end of a connection through the proxy."""

    def __init__(self, link: 'Proxy', upward: bool, source: str = '') -> None:
        self.link = link
        self.upward = upward
        self.source = source
        self.other: Half | None = None
        self.waiting: list[bytes] = []
        self.delayed: collections.deque[bytes] = collections.deque()
        self.dead = False
        self.ended = False

    def connectionMade(self) -> None:
        """Connect the far side, or send what waited for it."""
        self.transport.setTcpNoDelay(True)
        self.link.halves.add(self)
        if not self.upward:
            port = self.transport.getHost().port
            self.link.sources[port] = self.other.source
        if self.upward and self.link.mode is Mode.ENDLESS:
            EndlessAnswer(self.transport, self.link.endless_kind)
            self.dead = True
            return
        if self.upward:
            self.link.connect_far(self)
            return
        for data in self.other.waiting:
            self.transport.write(data)
        self.other.waiting.clear()

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes on, late or never as the mode says."""
        if self.link.swallows(self.upward):
            self.die()
        if self.dead:
            return
        if self.link.delay or self.delayed:
            self.delayed.append(data)
            self.link.reactor.callLater(self.link.delay, self.forward_next)
        else:
            self.forward(data)

    def forward_next(self) -> None:
        """Write what has been delayed longest: no connection swaps bytes.

        After a change of the delay the timer of later bytes may come first;
        each timer lets one piece through, whichever that is.
        """
        self.forward(self.delayed.popleft())
        if self.ended and not self.delayed:
            self.close_other()

    def close_other(self) -> None:
        """Close the other end in good order, unless the link hides it."""
        other, self.other = self.other, None
        if not self.dead:
            other.transport.loseConnection()

    def forward(self, data: bytes) -> None:
        """Write to the other end, if it is there and well."""
        if self.dead or self.link.swallows(self.upward):
            self.die()
        elif self.other is None or self.other.transport is None:
            self.waiting.append(data)
        else:
            self.other.transport.write(data)

    def die(self) -> None:
        """Let nothing through any more, without closing anything."""
        for half in (self, self.other):
            if half is not None:
                half.dead = True

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:
        """Close the other end too, unless the link hides it."""
        self.link.halves.discard(self)
        other = self.other
        if other is None or other.transport is None:
            self.other = None
            return
        is_dark = self.dead or self.link.mode is Mode.DARK
        if self.link.hides_ends and is_dark:
            self.die()
            self.other = other.other = None
            return
        other.other = None
        if reason.check(error.ConnectionDone) and not self.upward:
            self.end_in_order()
            return
        self.other = None
        if self.upward or not self.dead:
            other.transport.abortConnection()

    def end_in_order(self) -> None:
        """Close the other end once all that was delayed is through."""
        self.ended = True
        if not self.delayed:
            self.link.reactor.callLater(self.link.delay, self.close_other)


class Near(protocol.Factory):
    """Accepts connections to the proxy."""

    def __init__(self, link: 'Proxy') -> None:
        self.link = link

    def buildProtocol(self, addr: object) -> Half:
        """Return the near end of a new connection."""
        return Half(self.link, upward=True, source=addr.host)


class Far(protocol.ClientFactory):
    """Opens the far side of one connection."""

    noisy = False

    def __init__(self, near: Half) -> None:
        self.near = near

    def buildProtocol(self, addr: object) -> Half:
        """Return the far end."""
        far = Half(self.near.link, upward=False)
        far.other, self.near.other = self.near, far
        return far

    def clientConnectionFailed(self, connector: object, reason: object):
        """Reset the near end: nobody listens behind it."""
        if self.near.transport is not None:
            self.near.transport.abortConnection()


class Proxy:
    """One link; ``delay`` is in seconds each way.

    ``sources`` has the host that a connection came from, by the port from
    which its far side was opened. A link that ``hides_ends`` tells neither
    end of a dark connection that the other one has closed it, and its far
    sides leave from ``far_source``.
    """

    def __init__(
        self, reactor: interfaces.IReactorTCP, host: str, port: int = 0
    ) -> None:
        self.reactor = reactor
        self.host = host
        self.port = port
        self.far: tuple[str, int] | None = None
        self.mode = Mode.PASS
        self.endless_kind = 0
        self.delay = 0.0
        self.halves: set[Half] = set()
        self.sources: dict[int, str] = {}
        self.hides_ends = False
        self.far_source = ''
        self.listening: interfaces.IListeningPort | None = None
        self.listen()

    def listen(self) -> None:
        """Accept connections, always at the same port."""
        self.listening = self.reactor.listenTCP(
            self.port, Near(self), interface=self.host
        )
        self.port = self.listening.getHost().port

    def refuse(self, *, orderly: bool = False) -> None:
        """Accept none any more, and reset or close those that are open."""
        if self.listening is not None:
            self.listening.stopListening()
            self.listening = None
        if not orderly:
            self.reset()
            return
        for half in list(self.halves):
            half.transport.loseConnection()

    def reset(self) -> None:
        """Reset all connections."""
        for half in list(self.halves):
            half.transport.abortConnection()

    def silence(self) -> None:
        """Let the open connections go silent; new ones work."""
        for half in list(self.halves):
            half.die()

    def cut_source(self, host: str, *, reset: bool) -> None:
        """Silence or reset the open connections from one host."""
        for half in [h for h in self.halves if h.source == host]:
            if reset:
                half.transport.abortConnection()
            else:
                half.die()

    def swallows(self, upward: bool) -> bool:
        """Return whether bytes of a direction are lost now."""
        if self.mode is Mode.DARK:
            return True
        return self.mode is Mode.LOSE_ANSWERS and not upward

    def connect_far(self, near: Half) -> None:
        """Open the far side of a connection."""
        host, port = self.far
        source = (self.far_source, 0) if self.far_source else None
        self.reactor.connectTCP(host, port, Far(near), bindAddress=source)


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    [port] = free_ports(host, 1, kind)
    return port


def free_ports(
    host: str, count: int, kind: int = socket.SOCK_STREAM
) -> list[int]:
    """Return different ports that are free now."""
    with contextlib.ExitStack() as stack:
        probes = [
            stack.enter_context(socket.socket(socket.AF_INET, kind))
            for _ in range(count)
        ]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


class BlackHole:
    """An address at which connections hang: its accept queue stays full."""

    def __init__(self, host: str) -> None:
        self.listening = socket.create_server((host, 0), backlog=0)
        self.address = self.listening.getsockname()
        self.fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def close(self) -> None:
        """Close the sockets."""
        for each in (*self.fillers, self.listening):
            each.close()
