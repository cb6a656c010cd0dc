"""Leases on connections that an instance opens for another one.

The engine of a run must stop soon after the instance that asked for it wants
it no longer, although the path between the two instances may be lost. The
connection to the engine is therefore held on a lease, which the instance that
asked renews. Bytes pass in frames: the length of the payload in four bytes,
then the payload. A frame without a payload renews the lease, and is answered
by another one, which shows the instance that asked that the path works.
"""

from collections.abc import Iterator
import struct

from twisted.internet import interfaces

# While a stream has two runs neither is renewed, so a lease outlasts their
# overlap of 0.25 s, and ends within the 0.4 s for which two engines may work
# on one stream.
LEASE_SECONDS = 0.36
RENEWAL_SECONDS = 0.1
FRAME_HEAD = struct.Struct('!I')
RENEWAL = FRAME_HEAD.pack(0)
# In place of a length: the lease has expired, and the connection ends.
EXPIRED_LENGTH = (1 << 32) - 1
EXPIRY = FRAME_HEAD.pack(EXPIRED_LENGTH)


def write_frame(payload: bytes) -> bytes:
    """Return a payload, which must not be empty, in a frame."""
    return FRAME_HEAD.pack(len(payload)) + payload


class FrameReader:
    """Takes frames apart; payloads are passed on as they arrive.

    ``unread_bytes`` is what is still due of the current payload, and
    ``is_expired`` is true after the frame that ends the lease.
    """

    def __init__(self) -> None:
        self.head = b''
        self.unread_bytes = 0
        self.is_expired = False

    def add_bytes(self, data: bytes) -> Iterator[bytes]:
        """Yield parts of payloads, and an empty one for each renewal."""
        while data and not self.is_expired:
            if self.unread_bytes:
                part = data[: self.unread_bytes]
                self.unread_bytes -= len(part)
                data = data[len(part) :]
                yield part
                continue
            missing = FRAME_HEAD.size - len(self.head)
            self.head += data[:missing]
            data = data[missing:]
            if len(self.head) == FRAME_HEAD.size:
                [length] = FRAME_HEAD.unpack(self.head)
                self.head = b''
                self.is_expired = length == EXPIRED_LENGTH
                self.unread_bytes = 0 if self.is_expired else length
                if not length:
                    yield b''


class FramingTransport:
    """A transport that writes in frames."""

    def __init__(self, transport: interfaces.ITCPTransport) -> None:
        self.transport = transport

    def write(self, data: bytes) -> None:
        """Write bytes in a frame."""
        if data:
            self.transport.write(write_frame(data))

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection."""
        self.transport.abortConnection()

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Set whether small segments are sent at once."""
        self.transport.setTcpNoDelay(enabled)

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Set whether an idle connection is probed."""
        self.transport.setTcpKeepAlive(enabled)

    def getHandle(self) -> object:  # noqa: N802
        """Return the socket."""
        return self.transport.getHandle()
