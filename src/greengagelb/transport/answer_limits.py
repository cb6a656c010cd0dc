"""What answers by the product's own interface say of limits."""

from twisted.web import http_headers
from twisted.web import server

from greengagelb.protocol import limit_header
from greengagelb.state import limits


def read_limit_headers(
    headers: http_headers.Headers,
) -> limits.UpstreamAdvertisement:
    """Return what an answer says of its upstream."""
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
    """Have an answer name an upstream, and its limit if it has one."""
    request.setHeader(limit_header.INCARNATION_HEADER, incarnation)
    if limit:
        request.setHeader(limit_header.LIMIT_HEADER, limit)
