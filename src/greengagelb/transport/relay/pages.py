"""HTTP pages for the readiness check and the metrics."""

from collections.abc import Callable
import dataclasses

import h11
from twisted.internet import protocol

STATUS_OK = 200
STATUS_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """An answer, which does not depend on the request."""

    status: int
    body: bytes = b''


def readiness_page(ready: bool) -> Page:
    """Return the answer to the load balancer's readiness check."""
    return Page(STATUS_OK if ready else STATUS_UNAVAILABLE)


class PageConnection(protocol.Protocol):
    """One connection; any path gets the same page."""

    def __init__(self, page: Callable[[], Page]) -> None:
        self.page = page
        self.http = h11.Connection(h11.SERVER)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer each complete request."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.EndOfMessage):
                    self.write_answer()
                if isinstance(event, h11.ConnectionClosed):
                    return
        except h11.ProtocolError:
            self.transport.abortConnection()

    def write_answer(self) -> None:
        """Write the current page."""
        page = self.page()
        length = str(len(page.body)).encode()
        head = h11.Response(
            status_code=page.status,
            headers=[
                (b'Content-Type', b'text/plain; version=0.0.4'),
                (b'Content-Length', length),
            ],
        )
        out = self.http.send(head)
        if page.body:
            out += self.http.send(h11.Data(data=page.body))
        self.transport.write(out + self.http.send(h11.EndOfMessage()))
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.transport.loseConnection()


class PageFactory(protocol.ServerFactory):
    """Serves one page."""

    noisy = False

    def __init__(self, page: Callable[[], Page]) -> None:
        self.page = page

    def buildProtocol(  # noqa: N802
        self, addr: object
    ) -> PageConnection:
        """Return the protocol of a new connection."""
        return PageConnection(self.page)
