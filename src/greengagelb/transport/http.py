"""HTTP utilities shared by the clients and servers of an instance."""

from collections.abc import Callable
import dataclasses
from http import cookiejar
import math
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
from greengagelb.transport import answer_memory
from greengagelb.transport import bounded_heads

CONNECT_SECONDS = 0.5
MAX_BODY_BYTES = 4 << 20
TOO_MANY_REQUESTS = 429


@interface.implementer(iweb.IAgentEndpointFactory)
@dataclasses.dataclass(frozen=True, slots=True)
class IPAddressEndpointFactory:
    """Connects to IP addresses directly.

    The agent's default endpoint resolves names and races several addresses. It
    notices a refused connection only when the next address would be due, 0.3 s
    later, which delays the detection of a dead engine. All addresses here are
    IP addresses, so there is nothing to resolve or to race.
    """

    reactor: interfaces.IReactorTCP
    connect_seconds: float

    def endpointForURI(  # noqa: N802
        self, uri: client.URI
    ) -> bounded_heads.BoundedHeadEndpoint:
        """Return the endpoint of a URI whose host is an IP address."""
        host = uri.host.decode('ascii')
        kind = (
            endpoints.TCP6ClientEndpoint
            if ':' in host
            else endpoints.TCP4ClientEndpoint
        )
        return bounded_heads.BoundedHeadEndpoint(
            kind(self.reactor, host, uri.port, self.connect_seconds)
        )


def fresh_connection_agent(
    reactor: interfaces.IReactorTime, connect_seconds: float = CONNECT_SECONDS
) -> client.Agent:
    """Return an agent that opens one connection per request.

    On a reused connection, the late answer to an abandoned request could be
    read as the answer to the next one. The pool's automatic retries are
    disabled too, as they would repeat a request unnoticed.
    """
    pool = client.HTTPConnectionPool(reactor, persistent=False)
    pool.retryAutomatically = False
    factory = IPAddressEndpointFactory(reactor, connect_seconds)
    return client.Agent.usingEndpointFactory(reactor, factory, pool)


class DirectClient(treq.client.HTTPClient):
    """A client that does not follow redirects.

    Following one would send the request a second time, to an address that no
    operator has configured.
    """

    def request(
        self, method: str, url: str, **arguments: Any
    ) -> 'defer.Deferred[iweb.IResponse]':
        """Send one request to exactly this URL."""
        arguments.setdefault('allow_redirects', False)
        return super().request(method, url, **arguments)


def direct_client(agent: client.Agent) -> DirectClient:
    """Return a client that follows no redirects and ignores cookies.

    A treq client sends the cookies that it has received with each later
    request. Shared by all requests, it would send a cookie that a service set
    for one client account with the calls of another.
    """
    no_domains = cookiejar.DefaultCookiePolicy(allowed_domains=())
    jar = treq_cookies.IndexableCookieJar(policy=no_domains)
    return DirectClient(agent, cookiejar=jar)


def was_handed_over(why: failure.Failure) -> bool:
    """Return whether bytes of the request may have left this process.

    Only a failure to connect proves that none did.
    """
    return why.check(error.ConnectError, error.DNSLookupError) is None


def was_connection_refused(why: failure.Failure) -> bool:
    """Return whether no process was listening at the address."""
    return why.check(error.ConnectionRefusedError) is not None


def was_unreachable(why: failure.Failure) -> bool:
    """Return whether no connection could be opened, but none was refused."""
    return not (was_handed_over(why) or was_connection_refused(why))


class BodyCollector(protocol.Protocol):
    """Passes on a response body as it arrives, and can abort it.

    ``on_data`` is called with each chunk, ``on_end`` with the reason for the
    end.
    """

    def __init__(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[failure.Failure], None],
    ) -> None:
        self.on_data = on_data
        self.on_end = on_end
        self.is_aborted = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, unless the body was aborted."""
        if not self.is_aborted:
            self.on_data(data)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Report the end of the body; ``ResponseDone`` if it is complete."""
        if not self.is_aborted:
            self.on_end(reason)

    def abort(self) -> None:
        """Close the connection and report nothing more.

        The transport that twisted.web gives to the protocol of a body is a
        proxy that only has ``loseConnection``. Calling its ``abortConnection``
        had no effect, and the connection stayed open for as long as the peer
        kept it. Nothing is left to be written here, so ``loseConnection``
        closes it at once.
        """
        self.is_aborted = True
        if self.transport is not None:
            self.transport.loseConnection()


def set_json_headers(request: server.Request, status: int) -> None:
    """Set the status and the content type of a JSON answer."""
    request.setResponseCode(status)
    request.setHeader(b'content-type', b'application/json')


def json_answer(
    request: server.Request, message: object, status: int = http.OK
) -> bytes:
    """Set the headers of a JSON answer and return its body."""
    set_json_headers(request, status)
    return codec.encode(message)


def problem_answer(
    request: server.Request, problem: caller_api.Problem
) -> bytes:
    """Set the headers of a problem document and return its body."""
    request.setResponseCode(problem.status)
    request.setHeader(b'content-type', b'application/problem+json')
    if problem.retry_after is not None:
        seconds = max(1, math.ceil(problem.retry_after))
        request.setHeader(b'retry-after', str(seconds).encode())
    body = codec.encode(problem)
    request.setHeader(b'content-length', str(len(body)).encode())
    return body


def refusal_answer(request: server.Request, code: str, detail: str) -> bytes:
    """Return the answer to a request that was refused and did not run."""
    refusal = requests.Failure(code, requests.Ran.NO, detail)
    return problem_answer(request, problems.to_problem(refusal))


class BoundedBody:
    """Reads a response body of at most ``max_bytes``.

    ``complete_body`` fires with the body; cancelling it closes the connection.
    It fails if the body is longer, or ends before its announced length, or if
    it is rejected by the ``memory`` of all answers.
    """

    def __init__(
        self,
        response: iweb.IResponse,
        max_bytes: int,
        memory: answer_memory.AnswerMemory,
    ) -> None:
        self.max_bytes = max_bytes
        self.memory = memory
        self.chunks: list[bytes] = []
        self.length = 0
        self.collector = BodyCollector(self.receive_chunk, self.handle_end)
        self.complete_body: defer.Deferred[bytes] = defer.Deferred(
            lambda _: self.close()
        )
        response.deliverBody(self.collector)

    def receive_chunk(self, data: bytes) -> None:
        """Collect bytes, or abort if the body is too long."""
        self.chunks.append(data)
        self.length += len(data)
        if self.length > self.max_bytes:
            self.reject_answer(f'body exceeds {self.max_bytes} bytes')
            return
        self.memory.hold(self, self.length)

    def reject_answer(self, detail: str) -> None:
        """Close the connection, and fail."""
        self.close()
        self.complete_body.errback(errors.TransportError(detail))

    def close(self) -> None:
        """Close the connection, and release what was received."""
        self.collector.abort()
        self.memory.release(self)
        self.chunks.clear()

    def handle_end(self, why: failure.Failure) -> None:
        """Return the body, if it is complete."""
        self.memory.release(self)
        if why.check(client.ResponseDone):
            self.complete_body.callback(b''.join(self.chunks))
        else:
            self.complete_body.errback(why)


def read_whole_body(
    response: iweb.IResponse,
    max_bytes: int = MAX_BODY_BYTES,
    memory: answer_memory.AnswerMemory | None = None,
) -> 'defer.Deferred[bytes]':
    """Return the body of a response, up to a limit; cancelling closes it.

    ``memory`` bounds it together with others.
    """
    memory = memory or answer_memory.AnswerMemory()
    return BoundedBody(response, max_bytes, memory).complete_body


def discard_body(response: iweb.IResponse) -> None:
    """Close the connection of a response whose body is not needed.

    A response whose body is not delivered keeps its connection open and
    paused.
    """
    collector = BodyCollector(lambda _: None, lambda _: None)
    response.deliverBody(collector)
    collector.abort()
