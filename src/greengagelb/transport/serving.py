"""An HTTP server that limits the size and the duration of each request.

twisted.web puts a long body into a temporary file, and accepts any length from
a sender of any speed. Instances have no disks, and a few senders could fill
the memory or hold connections forever; callers of other accounts would see the
instance fail. So a body is kept in memory up to a limit, and a request has to
arrive completely within a time limit.
"""

from collections.abc import Callable
import functools
import io
import math
import urllib.parse

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import http as web_http
from twisted.web import resource
from twisted.web import server

from greengagelb import errors
from greengagelb.protocol import codec
from greengagelb.protocol import problems
from greengagelb.state import requests
from greengagelb.transport import body_budget

MAX_BODY_BYTES = 4 << 20
RECEIVE_TIMEOUT_SECONDS = 10.0
IDLE_TIMEOUT_SECONDS = 60.0
LINGER_SECONDS = 2.0
TOO_SLOW_CODE = 'request-too-slow'
TOO_SLOW_RETRY_SECONDS = 1.0
BODIES_FULL_RETRY_SECONDS = 1.0
STOPPING_CODE = 'stopping'
# On a new connection, the retry reaches another instance.
STOPPING_RETRY_SECONDS = 1.0
UNKNOWN_PATH_FAILURE = ('not-found', requests.Ran.NO, 'see docs/api.md')


class OpenRequests:
    """The requests of a site that have begun to arrive and are not answered.

    The end of the process waits for them. They include operators' requests,
    which the decisions do not track. A refused request stays open until its
    sender has had time to read the refusal.

    While ``closes_connections`` returns true, each answer is the last one of
    its connection: a sender that is told so sends no further request, which
    the closing of the connection could leave without an answer.
    """

    def __init__(
        self, closes_connections: Callable[[], bool] = lambda: False
    ) -> None:
        self.closes_connections = closes_connections
        self.is_stopping = False
        self.requests: set[BoundedRequest] = set()
        self.waiters: list[defer.Deferred] = []

    def add_request(self, request: 'BoundedRequest') -> None:
        """Add a request that has begun to arrive."""
        self.requests.add(request)

    def remove_request(self, request: 'BoundedRequest') -> None:
        """Remove a request that is answered, or whose sender is gone."""
        self.requests.discard(request)
        if not self.requests:
            waiters, self.waiters = self.waiters, []
            for answered in waiters:
                answered.callback(None)

    def refuse_new_requests(self) -> None:
        """Refuse all incomplete requests, and all that arrive later.

        If accepted, they would delay the end of the process, and then be cut
        off by it.
        """
        self.is_stopping = True
        for request in list(self.requests):
            if not request.is_complete:
                request.refuse_stopping()

    def wait_until_answered(self) -> defer.Deferred:
        """Return a Deferred that fires once no request is open."""
        if not self.requests:
            return defer.succeed(None)
        answered = defer.Deferred()
        self.waiters.append(answered)
        return answered


class BoundedRequest(server.Request):
    """A request that is refused as soon as it exceeds a limit.

    The refusal is written before the rest of the body has arrived. The rest is
    read and dropped for ``LINGER_SECONDS``: if the connection were closed at
    once, the operating system would reset it, and the sender would lose the
    refusal.
    """

    def __init__(
        self,
        budget: body_budget.BodyBudget | None,
        open_requests: OpenRequests,
        *args: object,
        **kwargs: object,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.budget = budget
        self.open_requests = open_requests
        self.open_requests.add_request(self)
        self.is_complete = False
        self.account = ''
        self.received_bytes = 0
        self.is_refused = False
        self.connection_timer: interfaces.IDelayedCall | None = (
            self.channel.callLater(
                RECEIVE_TIMEOUT_SECONDS, self.refuse_too_slow
            )
        )

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare for a body; its length is None if it is sent in chunks."""
        self.content = io.BytesIO()
        if length != 0 and self.budget is not None:
            self.identify_account(self.budget)
        if length is not None and length > MAX_BODY_BYTES:
            self.refuse_too_large()
        if self.is_refused:
            # A sender that waits for "100 Continue" must not send the body.
            self.requestHeaders.removeHeader(b'expect')

    def identify_account(self, budget: body_budget.BodyBudget) -> None:
        """Find the account of the body, before any of it is kept."""
        try:
            self.account = budget.account_of(self)
        except errors.ProtocolError as exc:
            self.write_refusal(refusal_of(exc))

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body, unless the request is refused."""
        if self.is_refused:
            return
        if self.received_bytes + len(data) > MAX_BODY_BYTES:
            self.refuse_too_large()
            return
        if self.budget is not None:
            try:
                self.budget.reserve_bytes(self.account, len(data))
            except errors.ProtocolError as exc:
                self.write_refusal(refusal_of(exc))
                return
        self.received_bytes += len(data)
        super().handleContentChunk(data)

    def release_body(self) -> None:
        """Drop the body and return its bytes to the account's budget."""
        self.content = None
        if self.budget is not None and self.received_bytes:
            self.budget.release_bytes(self.account, self.received_bytes)
        self.received_bytes = 0

    def finish(self) -> None:
        """End the answer, and with it the connection during a stop."""
        is_connected = self.channel is not None
        if is_connected and self.open_requests.closes_connections():
            self.channel.persistent = False
        super().finish()
        self.release_body()
        self.open_requests.remove_request(self)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handle a request that has arrived completely."""
        self.is_complete = True
        self.cancel_timer()
        if self.open_requests.is_stopping:
            self.refuse_stopping()
        if not self.is_refused and not is_utf8_path(path):
            # Routing would raise outside of the installed error handlers.
            self.write_refusal(requests.Failure(*UNKNOWN_PATH_FAILURE))
        if self.is_refused:
            self.cancel_timer()
            self.channel.loseConnection()
            return
        if self.open_requests.closes_connections():
            self.setHeader(b'Connection', b'close')
        super().requestReceived(command, path, version)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Forget a request whose sender is gone."""
        self.cancel_timer()
        self.release_body()
        super().connectionLost(reason)
        self.open_requests.remove_request(self)

    def refuse_too_large(self) -> None:
        """Refuse a request whose body is too long."""
        self.write_refusal(
            requests.Failure(
                errors.BodyTooLarge.code,
                requests.Ran.NO,
                f'the body must be at most {MAX_BODY_BYTES} bytes',
            )
        )

    def refuse_too_slow(self) -> None:
        """Refuse a request that did not arrive within its time limit."""
        self.connection_timer = None
        self.write_refusal(
            requests.Failure(
                TOO_SLOW_CODE,
                requests.Ran.NO,
                'the request did not arrive within '
                f'{RECEIVE_TIMEOUT_SECONDS:.0f} s',
                TOO_SLOW_RETRY_SECONDS,
            )
        )

    def refuse_stopping(self) -> None:
        """Refuse a request because the instance is stopping."""
        self.write_refusal(
            requests.Failure(
                STOPPING_CODE,
                requests.Ran.NO,
                'this instance is stopping',
                STOPPING_RETRY_SECONDS,
            )
        )

    def write_refusal(self, failure: requests.Failure) -> None:
        """Write the refusal, and close the connection after a delay."""
        if self.is_refused:
            return
        self.is_refused = True
        self.cancel_timer()
        self.release_body()
        problem = problems.to_problem(failure)
        body = codec.encode(problem)
        phrase = web_http.RESPONSES.get(problem.status, b'')
        lines = [
            b'HTTP/1.1 %d %b' % (problem.status, phrase),
            b'Content-Type: application/problem+json',
            b'Content-Length: %d' % len(body),
            b'Connection: close',
        ]
        if failure.retry_after is not None:
            seconds = max(1, math.ceil(failure.retry_after))
            lines.append(b'Retry-After: %d' % seconds)
        self.channel.transport.write(b'\r\n'.join(lines) + b'\r\n\r\n' + body)
        self.connection_timer = self.channel.callLater(
            LINGER_SECONDS, self.channel.loseConnection
        )

    def cancel_timer(self) -> None:
        """Cancel the timer of this request."""
        if (
            self.connection_timer is not None
            and self.connection_timer.active()
        ):
            self.connection_timer.cancel()
        self.connection_timer = None


def is_utf8_path(path: bytes) -> bool:
    """Return whether a path is UTF-8 after percent-decoding."""
    try:
        urllib.parse.unquote_to_bytes(path).decode()
    except UnicodeDecodeError:
        return False
    return True


def refusal_of(error: errors.ProtocolError) -> requests.Failure:
    """Return the refusal for an error."""
    wait = None
    if isinstance(error, errors.AccountBodiesFull):
        wait = BODIES_FULL_RETRY_SECONDS
    return requests.Failure(error.code, requests.Ran.NO, str(error), wait)


class BoundedSite(server.Site):
    """A site that tracks its unanswered requests."""

    open_requests: OpenRequests


def bounded_site(
    root: resource.IResource,
    reactor: interfaces.IReactorTime,
    budget: body_budget.BodyBudget | None = None,
    closes_connections: Callable[[], bool] = lambda: False,
) -> BoundedSite:
    """Return a site that limits its requests.

    Without a ``budget``, the total size of all bodies is not limited.
    """
    open_requests = OpenRequests(closes_connections)
    site = BoundedSite(
        root,
        requestFactory=functools.partial(
            BoundedRequest, budget, open_requests
        ),
        parsePOSTFormSubmission=False,
        timeout=IDLE_TIMEOUT_SECONDS,
        reactor=reactor,
    )
    site.open_requests = open_requests
    return site
