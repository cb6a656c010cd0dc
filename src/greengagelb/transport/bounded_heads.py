"""Bounds and checks the head of an answer that an HTTP client reads.

The client of ``twisted.web`` keeps each header line, and ignores any number of
informational answers. A server that sends them without end would fill the
memory, or keep this process busy until the time limit. It also reads any whole
number as a status, with a sign or of any length.
"""

import re

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.protocols import policies
from twisted.python import failure
from zope import interface

from greengagelb import errors

# All heads of one answer together, those of informational answers included.
MAX_HEAD_BYTES = 65_536
END_OF_HEAD = re.compile(rb'\r?\n\r?\n')
INFORMATIONAL = re.compile(rb'\s*HTTP/\d\.\d 1\d\d\b')
FINAL_STATUS_LINE = re.compile(rb'HTTP/\d\.\d [2-5]\d\d[ \r\n]')


class BoundedHeadProtocol(policies.ProtocolWrapper):
    """Resets a connection whose answer has no proper head.

    ``head`` has what was received of the head, until it ends, and ``mistake``
    is why it is rejected, or empty.
    """

    def __init__(
        self,
        factory: policies.WrappingFactory,
        wrapped: interfaces.IProtocol,
    ) -> None:
        super().__init__(factory, wrapped)
        self.head: bytearray | None = bytearray()
        self.earlier_bytes = 0
        self.mistake = ''

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on unless the head is too long or no head."""
        if self.head is not None:
            self.read_head(data)
        if self.mistake:
            self.reject_head()
            return
        super().dataReceived(data)

    def read_head(self, data: bytes) -> None:
        """Add bytes to the head; note its end, or why it is rejected."""
        searched = max(0, len(self.head) - 3)
        self.head += data
        while end := END_OF_HEAD.search(self.head, searched):
            if not INFORMATIONAL.match(self.head):
                if not FINAL_STATUS_LINE.match(self.head):
                    self.mistake = 'answer without a valid status'
                self.head = None
                return
            self.earlier_bytes += end.end()
            del self.head[: end.end()]
            searched = 0
        if self.earlier_bytes + len(self.head) > MAX_HEAD_BYTES:
            self.mistake = 'answer without the end of its head'

    def reject_head(self) -> None:
        """End the request with an error, and reset the connection."""
        reason = errors.ProtocolError(self.mistake)
        self.head = None
        self.mistake = ''
        self.wrappedProtocol.connectionLost(failure.Failure(reason))
        self.wrappedProtocol = IgnoredConnection()
        self.transport.abortConnection()


class IgnoredConnection(protocol.Protocol):
    """Stands for the client of a connection that was given up."""


class BoundedHeadFactory(policies.WrappingFactory):
    """Makes the connections of a client whose answers are bounded."""

    protocol = BoundedHeadProtocol
    noisy = False


@interface.implementer(interfaces.IStreamClientEndpoint)
class BoundedHeadEndpoint:
    """Connects with a bound on the head of the answer."""

    def __init__(self, endpoint: interfaces.IStreamClientEndpoint) -> None:
        self.endpoint = endpoint

    def connect(
        self,
        protocolFactory: interfaces.IProtocolFactory,  # noqa: N803
    ) -> 'defer.Deferred[interfaces.IProtocol]':
        """Return the client's protocol, once its connection is open."""
        connected = self.endpoint.connect(BoundedHeadFactory(protocolFactory))
        return connected.addCallback(lambda wrapper: wrapper.wrappedProtocol)
