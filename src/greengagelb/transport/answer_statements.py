"""Reads and writes what upstreams state in headers of the native interface."""

from collections.abc import Callable

from twisted.web import http_headers
from twisted.web import iweb
from twisted.web import server

from greengagelb.coordination import events
from greengagelb.protocol import limit_header
from greengagelb.protocol import statement_headers
from greengagelb.state import identity
from greengagelb.state import limits
from greengagelb.state import statements


def read_limit_headers(
    headers: http_headers.Headers,
) -> limits.UpstreamAdvertisement:
    """Return the upstream's incarnation and limit from an answer's headers."""
    limit_values = headers.getRawHeaders(
        limit_header.LIMIT_HEADER.encode(), []
    )
    return limits.UpstreamAdvertisement(
        limit_header.parse_limit(limit_values), read_incarnation(headers)
    )


def read_incarnation(headers: http_headers.Headers) -> str:
    """Return the upstream's incarnation, or an empty string."""
    [incarnation, *_] = headers.getRawHeaders(
        limit_header.INCARNATION_HEADER, ['']
    )
    return incarnation


def report_statement(
    dispatch: Callable[[events.Event], None],
    upstream: str,
    response: iweb.IResponse,
    asked_at: float,
    request: identity.RequestId | None = None,
) -> None:
    """Report what the head of an answer states about its upstream, if any.

    The request was sent at the monotonic time ``asked_at``.
    """
    headers = response.headers
    statement = statement_headers.parse_statement(
        response.code,
        headers.getRawHeaders(statement_headers.LEAVING_HEADER, []),
        headers.getRawHeaders(statement_headers.REST_HEADER, []),
        headers.getRawHeaders(statement_headers.REFUSAL_RATE_HEADER, []),
    )
    if statement == statements.NO_STATEMENT:
        return
    dispatch(
        events.UpstreamStated(
            upstream,
            read_incarnation(headers),
            statement,
            response.code,
            asked_at,
            request,
        )
    )


def set_limit_headers(
    request: server.Request, limit: str, incarnation: str
) -> None:
    """Set the headers that name an upstream and its limit, if any."""
    request.setHeader(limit_header.INCARNATION_HEADER, incarnation)
    if limit:
        request.setHeader(limit_header.LIMIT_HEADER, limit)


def set_statement_headers(
    request: server.Request, *, leaving: bool, rest: str
) -> None:
    """Set the headers that say that an upstream leaves, or wants rest."""
    if leaving:
        request.setHeader(
            statement_headers.LEAVING_HEADER, statement_headers.LEAVING_VALUE
        )
    if rest:
        request.setHeader(statement_headers.REST_HEADER, rest)
