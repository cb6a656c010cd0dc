"""How an instance asks another one for a connection to an engine.

It is an HTTP ``CONNECT`` request. After a 200 the connection carries the bytes
of the engine's connection both ways; any other status is final.
"""

import dataclasses

import h11

from greengagelb import errors
from greengagelb.coordination.relay.forwarding import events
from greengagelb.state.relay import engines
from greengagelb.transport.relay import http1

ENGINE_HEADER = b'Engine'
START_HEADER = b'Engine-Start'
REQUEST_HEADER = b'Request'
# How long the connection is held without a renewal, in milliseconds. An answer
# without it grants no lease: bytes pass as they are.
LEASE_HEADER = b'Lease-Ms'
# In a refusal: the instance has lately reached other engines directly.
VERIFIED_HEADER = b'Engines-Reached'
MAX_HEAD_BYTES = 4096
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUSES = {
    events.ForwardingOutcome.NOT_ADMITTED: 409,
    events.ForwardingOutcome.ENGINE_REFUSED: 502,
    events.ForwardingOutcome.UNWILLING: 503,
    events.ForwardingOutcome.ENGINE_SILENT: 504,
}
OUTCOMES = {status: outcome for outcome, status in STATUSES.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionOrder:
    """A connection that is to be opened.

    ``request`` is the id of the caller's request, or empty. ``lease_ms`` is
    how long it is held without a renewal, or 0 for as long as both ends live.
    """

    engine: str
    started_at_ms: int
    address: engines.Address
    request: str
    lease_ms: int = 0


def write_order(
    entry: engines.EngineEntry, request: str, lease_ms: int = 0
) -> h11.Request:
    """Return the request for a connection to an engine."""
    target = str(entry.address).encode()
    return h11.Request(
        method=b'CONNECT',
        target=target,
        headers=[
            (b'Host', target),
            (ENGINE_HEADER, entry.engine.encode()),
            (START_HEADER, str(entry.started_at_ms).encode()),
            (REQUEST_HEADER, request.encode()),
            *lease_headers(lease_ms),
        ],
    )


def lease_headers(lease_ms: int) -> list[tuple[bytes, bytes]]:
    """Return the header that asks for a lease, or grants it."""
    return [(LEASE_HEADER, str(lease_ms).encode())] if lease_ms else []


def read_lease_ms(head: h11.Request | h11.Response) -> int:
    """Return the lease that is asked for or granted, or 0.

    Raises :class:`~greengagelb.errors.ProtocolError`.
    """
    fields = tuple(head.headers.raw_items())
    stated = http1.first_header_value(fields, LEASE_HEADER.lower())
    lease_ms = http1.parse_digits(stated) if stated is not None else 0
    if lease_ms is None:
        raise errors.ProtocolError('bad lease')
    return lease_ms


def read_order(head: h11.Request) -> ConnectionOrder:
    """Return the order in a request.

    Raises :class:`~greengagelb.errors.ProtocolError`.
    """
    fields = tuple(head.headers.raw_items())
    engine = http1.first_header_value(fields, ENGINE_HEADER.lower())
    stated = http1.first_header_value(fields, START_HEADER.lower())
    request = http1.first_header_value(fields, REQUEST_HEADER.lower())
    host, _, digits = head.target.rpartition(b':')
    if head.method != b'CONNECT' or not engine or not host:
        raise errors.ProtocolError('not an order for a connection')
    start = http1.parse_digits(stated or b'')
    port = http1.parse_digits(digits)
    if start is None or port is None:
        raise errors.ProtocolError('bad start or port')
    return ConnectionOrder(
        engine.decode('utf-8', 'replace'),
        start,
        engines.Address(host.decode('ascii', 'replace'), port),
        (request or b'').decode('utf-8', 'replace'),
        read_lease_ms(head),
    )
