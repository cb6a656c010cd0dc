"""Reads and writes the request limits in headers of the native interface."""

from twisted.web import http_headers
from twisted.web import server

from greengagelb.protocol import limit_header
from greengagelb.state import limits


def read_limit_headers(
    headers: http_headers.Headers,
) -> limits.UpstreamAdvertisement:
    """Return the upstream's incarnation and limit from an answer's headers."""
    limit_values = headers.getRawHeaders(
        limit_header.LIMIT_HEADER.encode(), []
    )
    header = limit_header.INCARNATION_HEADER
    [incarnation, *_] = headers.getRawHeaders(header, [''])
    return limits.UpstreamAdvertisement(
        limit_header.parse_limit(limit_values), incarnation
    )


def set_limit_headers(
    request: server.Request, limit: str, incarnation: str
) -> None:
    """Set the headers that name an upstream and its limit, if any."""
    request.setHeader(limit_header.INCARNATION_HEADER, incarnation)
    if limit:
        request.setHeader(limit_header.LIMIT_HEADER, limit)
