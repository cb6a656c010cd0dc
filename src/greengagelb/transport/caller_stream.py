"""Writes a streamed answer to one caller, within a bounded buffer.

Twisted's transport keeps whatever is written until the caller reads it. A
caller that opens many streams and reads none would fill the instance's
memory, and its end would cut every other account's streams. Here the stream
of such a caller is cut instead, once a bounded number of bytes waits for it.
It may come back with its cursor.
"""

from collections.abc import Callable
import socket

from twisted.internet import interfaces
from twisted.web import server
from zope.interface import implementer

MAX_UNSENT_BYTES = 128 << 10
KERNEL_BUFFER_BYTES = 128 << 10


def bound_kernel_buffer(listener: interfaces.IListeningPort) -> None:
    """Bound what the kernel keeps for each connection accepted here.

    Left to itself it lets the buffer of a caller that does not read grow to
    several megabytes. Accepted sockets take the option from their listener.
    """
    handle = getattr(listener, 'socket', None)
    if handle is not None:
        handle.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES
        )


@implementer(interfaces.IPushProducer)
class CallerStream:
    """One caller's stream; ``overrun`` is called once if it reads too little.

    Invariant: ``unsent_bytes`` is the size of ``unsent``, and not above
    ``MOST_UNSENT_BYTES``. The transport and the kernel hold some more, each
    with its own bound.
    """

    def __init__(
        self, request: server.Request, on_overflow: Callable[[], None]
    ) -> None:
        self.request = request
        self.on_overflow = on_overflow
        self.unsent: list[bytes] = []
        self.unsent_bytes = 0
        self.is_paused = False
        self.is_closed = False
        request.registerProducer(self, True)

    def write(self, raw: bytes) -> None:
        """Write bytes, or keep them while the caller does not read."""
        if self.is_closed:
            return
        if not self.is_paused:
            self.request.write(raw)
            return
        if self.unsent_bytes + len(raw) > MAX_UNSENT_BYTES:
            self.abandon_caller()
            return
        self.unsent.append(raw)
        self.unsent_bytes += len(raw)

    def abandon_caller(self) -> None:
        """Give up on a caller that does not read."""
        self.stopProducing()
        self.on_overflow()

    def finish(self) -> bytes:
        """Return what is still to be written, and end the buffering."""
        rest = b''.join(self.unsent)
        self.stopProducing()
        self.request.unregisterProducer()
        return rest

    def flush(self) -> None:
        """Write what was kept, for as long as the caller reads."""
        while self.unsent and not self.is_paused:
            raw = self.unsent.pop(0)
            self.unsent_bytes -= len(raw)
            self.request.write(raw)

    # -- called by the transport ---------------------------------------------

    def pauseProducing(self) -> None:  # noqa: N802
        """Keep what comes from now on."""
        self.is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on writing."""
        self.is_paused = False
        self.flush()

    def stopProducing(self) -> None:  # noqa: N802
        """Forget what was kept: nobody will read it."""
        self.is_closed = True
        self.unsent.clear()
        self.unsent_bytes = 0
