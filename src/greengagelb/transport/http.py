"""HTTP plumbing shared by the clients and servers of an instance."""

from collections.abc import Callable
import dataclasses
from http import cookiejar
from typing import Any

import treq
from treq import cookies as treq_cookies
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

from greengagelb import errors
from greengagelb.protocol import caller_api
from greengagelb.protocol import codec
from greengagelb.protocol import problems
from greengagelb.state import requests

CONNECT_SECONDS = 0.5
MAX_BODY_BYTES = 4 << 20
TOO_MANY_REQUESTS = 429


@interface.implementer(iweb.IAgentEndpointFactory)
@dataclasses.dataclass(frozen=True, slots=True)
class IPAddressEndpointFactory:
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
    factory = IPAddressEndpointFactory(reactor, connect_seconds)
    return client.Agent.usingEndpointFactory(reactor, factory, pool)


class DirectClient(treq.client.HTTPClient):
    """A client that follows no redirect.

    Followed, a request would go out a second time, to an address that no
    operator has configured.
    """

    def request(
        self, method: str, url: str, **arguments: Any
    ) -> 'defer.Deferred[iweb.IResponse]':
        """Send one request, to this URL and no other."""
        arguments.setdefault('allow_redirects', False)
        return super().request(method, url, **arguments)


def direct_client(agent: client.Agent) -> DirectClient:
    """Return a client without redirects, that keeps and sends no cookies.

    A treq client shows the cookies that it was sent with each later request.
    Shared by all requests, it would hand what a service set in its answer to
    one client account on to the calls of another.
    """
    no_domains = cookiejar.DefaultCookiePolicy(allowed_domains=())
    jar = treq_cookies.IndexableCookieJar(policy=no_domains)
    return DirectClient(agent, cookiejar=jar)


def was_handed_over(why: failure.Failure) -> bool:
    """Return whether bytes of the request may have left this process.

    Only failures to connect prove that none did.
    """
    return why.check(error.ConnectError, error.DNSLookupError) is None


def was_connection_refused(why: failure.Failure) -> bool:
    """Return whether nobody listened at the address."""
    return why.check(error.ConnectionRefusedError) is not None


class BodyCollector(protocol.Protocol):
    """Hands on a response body as it comes in, and can abort it."""

    def __init__(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[failure.Failure], None],
    ) -> None:
        self.on_data = on_data
        self.on_end = on_end
        self.is_aborted = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, unless nobody wants them any more."""
        if not self.is_aborted:
            self.on_data(data)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tell that the body is over; ``ResponseDone`` if it is whole."""
        if not self.is_aborted:
            self.on_end(reason)

    def abort(self) -> None:
        """Close the connection and report nothing more.

        What twisted.web gives a body's protocol as its transport is a proxy
        that has ``loseConnection`` only. Asking it to abort did nothing, and
        the connection stayed open for as long as the peer liked. Nothing is
        left to be written here, so losing it closes it at once.
        """
        self.is_aborted = True
        if self.transport is not None:
            self.transport.loseConnection()


def set_json_headers(request: server.Request, status: int) -> None:
    """Prepare a JSON answer."""
    request.setResponseCode(status)
    request.setHeader(b'content-type', b'application/json')


def json_answer(
    request: server.Request, message: object, status: int = http.OK
) -> bytes:
    """Return a message as the body of an answer."""
    set_json_headers(request, status)
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
    body = codec.encode(problem)
    request.setHeader(b'content-length', str(len(body)).encode())
    return body


def refusal_answer(request: server.Request, code: str, detail: str) -> bytes:
    """Return the answer to a request that was refused and did not run."""
    refusal = requests.Failure(code, requests.Ran.NO, detail)
    return problem_answer(request, problems.to_problem(refusal))


class BoundedBody:
    """Reads a response body of at most ``most_bytes``.

    ``whole`` fires with the body; cancelling it closes the connection. A body
    that is longer, or that ends before its announced length, fails it.
    """

    def __init__(self, response: iweb.IResponse, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.chunks: list[bytes] = []
        self.length = 0
        self.collector = BodyCollector(self.receive_chunk, self.handle_end)
        self.complete_body: defer.Deferred[bytes] = defer.Deferred(
            lambda _: self.collector.abort()
        )
        response.deliverBody(self.collector)

    def receive_chunk(self, data: bytes) -> None:
        """Keep bytes, or give up where there are too many."""
        self.chunks.append(data)
        self.length += len(data)
        if self.length > self.max_bytes:
            self.collector.abort()
            self.complete_body.errback(
                errors.TransportError(f'body above {self.max_bytes} bytes')
            )

    def handle_end(self, why: failure.Failure) -> None:
        """Hand the body on, if it is whole."""
        if why.check(client.ResponseDone):
            self.complete_body.callback(b''.join(self.chunks))
        else:
            self.complete_body.errback(why)


def read_whole_body(
    response: iweb.IResponse, max_bytes: int = MAX_BODY_BYTES
) -> 'defer.Deferred[bytes]':
    """Return the body of a response, bounded; cancelling closes it."""
    return BoundedBody(response, max_bytes).complete_body


def discard_body(response: iweb.IResponse) -> None:
    """Close the connection of a response that nobody reads.

    An undelivered body keeps its connection open, and paused, for good.
    """
    collector = BodyCollector(lambda _: None, lambda _: None)
    response.deliverBody(collector)
    collector.abort()
