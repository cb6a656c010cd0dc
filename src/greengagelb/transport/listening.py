"""HTTP servers that answer all who have connected before they close."""

from collections.abc import Callable
import ctypes
import select
import socket
import struct

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task
from twisted.internet import tcp
from twisted.protocols import policies

from greengagelb.transport import recorder

DRAIN_TIMEOUT_SECONDS = 5.0
# How long a stopping instance waits for the first request of a connection.
FIRST_REQUEST_SECONDS = 1.0
# Between the last handshake that begins and the closing of the port. The
# handshakes that have begun must end within it.
HANDSHAKE_SECONDS = 0.02
# More than the kernel holds for a port.
MAX_PENDING_CONNECTIONS = 1_024
# Linux: asm-generic/socket.h. The socket module doesn't name it.
SO_ATTACH_FILTER = 26
# Classic BPF, see Linux: networking/filter.rst. It drops segments with the
# flag SYN; the offset is that of the flags in the header of TCP.
DROP_SYN_FILTER = b''.join(
    struct.pack('HBBI', *instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # load the byte at offset 13
        (0x45, 0, 1, 0x02),  # skip the next instruction unless SYN is set
        (0x06, 0, 0, 0),  # drop the segment
        (0x06, 0, 0, 0xFFFFFFFF),  # keep the segment
    )
)


def refuse_handshakes(port: interfaces.IListeningPort) -> None:
    """Let no further connection to a port begin; those that have may end.

    Who tries to connect meanwhile sends its SYN again a second later and is
    refused then, as the port is closed.
    """
    if not isinstance(port, tcp.Port):
        return
    code = ctypes.create_string_buffer(DROP_SYN_FILTER)
    count = len(DROP_SYN_FILTER) // struct.calcsize('HBBI')
    program = struct.pack('HL', count, ctypes.addressof(code))
    try:
        port.socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as exc:
        # Who connects between the last accept and the closing is reset.
        recorder.log.warning('port-not-filtered', why=str(exc))


def accept_pending_connections(port: interfaces.IListeningPort) -> None:
    """Accept the connections that the kernel has completed.

    The closing of the port would reset them.
    """
    if not isinstance(port, tcp.Port):
        return
    poll = select.poll()
    poll.register(port.socket, select.POLLIN)
    for _ in range(MAX_PENDING_CONNECTIONS):
        if not poll.poll(0):
            return
        port.doRead()


def read_pending_bytes(transport: interfaces.ITCPTransport) -> None:
    """Read what a connection has received.

    To close it with unread bytes would reset it, and their sender would get
    no answer.
    """
    if isinstance(transport, tcp.Connection) and transport.connected:
        transport.doRead()


@defer.inlineCallbacks
def close_ports(
    reactor: interfaces.IReactorTime,
    ports: list[interfaces.IListeningPort],
    drains: list[Callable[[], defer.Deferred]],
) -> object:
    """Close ports, then drain their connections; fire once all is done.

    A request on a connection that is reset by the closing of its port gets no
    answer, and its sender could not know whether it has run.
    """
    for port in ports:
        refuse_handshakes(port)
    yield task.deferLater(reactor, HANDSHAKE_SECONDS)
    for port in ports:
        accept_pending_connections(port)
    closed = [defer.maybeDeferred(port.stopListening) for port in ports]
    yield defer.DeferredList(closed, consumeErrors=True)
    drained = [drain() for drain in drains]
    yield defer.DeferredList(drained, consumeErrors=True)


class TrackedConnection(policies.ProtocolWrapper):
    """A connection that knows whether it has ever received anything."""

    def __init__(
        self, factory: 'DrainingFactory', wrapped: protocol.Protocol
    ) -> None:
        super().__init__(factory, wrapped)
        self.has_received = False
        self.first_request_until = (
            factory.wrappedFactory.reactor.seconds() + FIRST_REQUEST_SECONDS
        )
        self.closing: interfaces.IDelayedCall | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on received bytes."""
        self.has_received = True
        super().dataReceived(data)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Cancel the timer of a connection that is closed."""
        if self.closing is not None and self.closing.active():
            self.closing.cancel()
        super().connectionLost(reason)

    def close(self) -> None:
        """Close the connection once it is known to carry no request.

        One that has not received anything is given time for its first
        request, which is refused.
        """
        read_pending_bytes(self.transport)
        reactor = self.factory.wrappedFactory.reactor
        wait = self.first_request_until - reactor.seconds()
        if self.has_received or wait <= 0.0:
            self.close_unless_open()
        else:
            self.closing = reactor.callLater(wait, self.close_unless_open)

    def close_unless_open(self) -> None:
        """Close the connection unless a request on it waits for its answer."""
        if not self.factory.has_open_request(self):
            self.loseConnection()


class DrainingFactory(policies.WrappingFactory):
    """Tracks the open connections of the factory that it wraps.

    Stopping the reactor drops the data in write buffers: a caller would lose
    the last tokens of an answer that the decisions count as sent. ``drain``
    therefore closes each connection only after its buffer is empty, and fires
    when all are closed. It also waits for answers that are not written yet: an
    operator's request may be waiting for the store, and on a closed connection
    the operator would not learn whether a plan is in force.
    """

    protocol = TrackedConnection
    drained: defer.Deferred | None = None

    def unregisterProtocol(  # noqa: N802
        self, p: policies.ProtocolWrapper
    ) -> None:
        """Forget a connection that is closed."""
        super().unregisterProtocol(p)
        self.check_drained()

    def has_open_request(self, connection: TrackedConnection) -> bool:
        """Return whether a request on a connection waits for its answer."""
        return any(
            request.channel.transport is connection
            for request in self.wrappedFactory.open_requests.requests
        )

    def refuse_new_requests(self) -> None:
        """Refuse all incomplete requests, and all that arrive later."""
        self.wrappedFactory.open_requests.refuse_new_requests()

    def drain(self, reactor: interfaces.IReactorTime) -> defer.Deferred:
        """Answer the open requests, then close, within a timeout."""
        drained = self.drained = defer.Deferred()
        self.refuse_new_requests()
        open_requests = self.wrappedFactory.open_requests
        open_requests.wait_until_answered().addCallback(
            lambda _: self.close_connections()
        )
        return drained.addTimeout(
            DRAIN_TIMEOUT_SECONDS, reactor, onTimeoutCancel=lambda *_: None
        )

    def close_connections(self) -> None:
        """Close each connection once its buffer is flushed."""
        for connection in list(self.protocols):
            connection.close()
        self.check_drained()

    def check_drained(self) -> None:
        """Fire the Deferred of ``drain`` if no connection is open."""
        if self.drained is not None and not self.protocols:
            drained, self.drained = self.drained, None
            drained.callback(None)
