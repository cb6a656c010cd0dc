"""Writes a streamed answer to one caller, through a bounded buffer.

Twisted's transport buffers everything that is written until the caller reads
it. A caller that opens many streams and reads none would fill the instance's
memory, and when the process ends, the streams of all other accounts break off.
Instead, the stream of such a caller is aborted once a bounded number of bytes
is waiting for it. The caller can resume with its cursor.
"""

from collections.abc import Callable
import socket

from twisted.internet import interfaces
from twisted.web import server
from zope.interface import implementer

MAX_UNSENT_BYTES = 128 << 10
KERNEL_BUFFER_BYTES = 128 << 10


def bound_kernel_buffer(listener: interfaces.IListeningPort) -> None:
    """Limit the send buffer of each connection accepted on a port.

    By default the kernel lets the buffer of a caller that does not read grow
    to several megabytes. Accepted sockets inherit the option from their
    listener.
    """
    handle = getattr(listener, 'socket', None)
    if handle is not None:
        handle.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES
        )


@implementer(interfaces.IPushProducer)
class CallerStream:
    """One caller's stream; calls ``on_overflow`` once if its buffer overflows.

    Invariant: ``unsent_bytes`` is the size of ``unsent``, and at most
    ``MAX_UNSENT_BYTES``. The transport and the kernel buffer some more, each
    within its own limit.
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
        """Write bytes, or buffer them while the caller does not read."""
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
        """Drop the stream of a caller that does not read."""
        self.stopProducing()
        self.on_overflow()

    def finish(self) -> bytes:
        """Stop buffering, and return the bytes that are not written yet."""
        rest = b''.join(self.unsent)
        self.stopProducing()
        self.request.unregisterProducer()
        return rest

    def flush(self) -> None:
        """Write buffered bytes for as long as the caller reads."""
        while self.unsent and not self.is_paused:
            raw = self.unsent.pop(0)
            self.unsent_bytes -= len(raw)
            self.request.write(raw)

    def pauseProducing(self) -> None:  # noqa: N802
        """Buffer all writes from now on."""
        self.is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the buffered bytes, and stop buffering."""
        self.is_paused = False
        self.flush()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the buffered bytes: the connection is gone."""
        self.is_closed = True
        self.unsent.clear()
        self.unsent_bytes = 0
