"""HTTP plumbing shared by the clients and servers of an instance."""

from collections.abc import Callable
import dataclasses

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import iweb
from twisted.web import server
from zope import interface

from greengagelb.protocol import caller_api
from greengagelb.protocol import codec
from greengagelb.protocol import problems
from greengagelb.state import requests

CONNECT_SECONDS = 0.5
MOST_BODY_BYTES = 4 << 20


@interface.implementer(iweb.IAgentEndpointFactory)
@dataclasses.dataclass(frozen=True, slots=True)
class IPNumberEndpointFactory:
    """Connects to IP numbers directly.

    The agent's own choice resolves names and races several addresses. It
    looks at a refused connection only when the next address would be due,
    0.3 s later: a dead engine was noticed that much too late. All addresses
    here are IP numbers, so there is nothing to resolve or to race.
    """

    reactor: interfaces.IReactorTCP
    connect_seconds: float

    def endpointForURI(  # noqa: N802
        self, uri: client.URI
    ) -> endpoints.TCP4ClientEndpoint:
        """Return the endpoint of a URI whose host is an IP number."""
        host = uri.host.decode('ascii')
        kind = (
            endpoints.TCP6ClientEndpoint
            if ':' in host
            else endpoints.TCP4ClientEndpoint
        )
        return kind(self.reactor, host, uri.port, self.connect_seconds)


def fresh_connection_agent(
    reactor: interfaces.IReactorTime, connect_seconds: float = CONNECT_SECONDS
) -> client.Agent:
    """Return an agent that opens one connection per request.

    A kept connection may be one on which an earlier request was abandoned,
    and the late answer to that one would be read as the answer to this. The
    pool's own retries are off too: it would repeat a request by itself.
    """
    pool = client.HTTPConnectionPool(reactor, persistent=False)
    pool.retryAutomatically = False
    factory = IPNumberEndpointFactory(reactor, connect_seconds)
    return client.Agent.usingEndpointFactory(reactor, factory, pool)


def was_handed_over(why: failure.Failure) -> bool:
    """Return whether bytes of the request may have left this process.

    Only failures to connect prove that none did.
    """
    return why.check(error.ConnectError, error.DNSLookupError) is None


class BodyCollector(protocol.Protocol):
    """Hands on a response body as it comes in, and can abort it."""

    def __init__(
        self,
        receive: Callable[[bytes], None],
        lost: Callable[[failure.Failure], None],
    ) -> None:
        self.receive = receive
        self.lost = lost
        self.aborted = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, unless nobody wants them any more."""
        if not self.aborted:
            self.receive(data)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tell that the body is over; ``ResponseDone`` if it is whole."""
        if not self.aborted:
            self.lost(reason)

    def abort(self) -> None:
        """Close the connection and report nothing more."""
        self.aborted = True
        abort = getattr(self.transport, 'abortConnection', None)
        if abort is not None:
            abort()


def set_json(request: server.Request, status: int) -> None:
    """Prepare a JSON answer."""
    request.setResponseCode(status)
    request.setHeader(b'content-type', b'application/json')


def json_answer(
    request: server.Request, message: object, status: int = http.OK
) -> bytes:
    """Return a message as the body of an answer."""
    set_json(request, status)
    return codec.encode(message)


def problem_answer(
    request: server.Request, problem: caller_api.Problem
) -> bytes:
    """Return a problem document as the body of an answer."""
    request.setResponseCode(problem.status)
    request.setHeader(b'content-type', b'application/problem+json')
    if problem.retry_after is not None:
        seconds = max(1, round(problem.retry_after))
        request.setHeader(b'retry-after', str(seconds).encode())
    return codec.encode(problem)


def refuse(request: server.Request, code: str, detail: str) -> bytes:
    """Return the answer to a request that was refused and did not run."""
    failure_state = requests.Failure(code, requests.Ran.NO, detail)
    return problem_answer(request, problems.problem_of(failure_state))


def read_whole_body(
    response: iweb.IResponse,
) -> 'defer.Deferred[bytes]':
    """Return the body of a response of modest size."""
    return client.readBody(response)
