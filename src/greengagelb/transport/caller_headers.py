"""Parses and validates the headers of callers' requests."""

import dataclasses
import string

from twisted.web import server

from greengagelb import errors
from greengagelb.state import configuration

DEFAULT_DEADLINE_SECONDS = 600.0
MAX_DEADLINE_SECONDS = 3600.0
MAX_KEY_CHARACTERS = 255
MAX_OPERATION_CHARACTERS = 64
PRIORITIES = {
    b'': configuration.Priority.SHORT,
    b'short': configuration.Priority.SHORT,
    b'long': configuration.Priority.LONG,
}
BEARER_PREFIX = b'Bearer '
PRINTABLE_BYTES = frozenset(range(0x21, 0x7F))
OPERATION_CHARACTERS = frozenset(string.ascii_letters + string.digits + '-_')


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The parsed headers of a request; an absent one is an empty string.

    ``deadline_seconds`` counts from the arrival of the request.
    """

    idempotency_key: str
    cursor: str
    deadline_seconds: float
    first_send: bool
    priority: configuration.Priority


def read_headers(request: server.Request) -> CallerHeaders:
    """Return the parsed headers of a request.

    Raises :class:`~greengagelb.errors.BadValue`, or
    :class:`~greengagelb.errors.BadCursor`.
    """
    return CallerHeaders(
        idempotency_key_of(request),
        cursor_of(request),
        deadline_seconds_of(request),
        read_single_header(request, 'X-First-Send') == b'1',
        priority_of(request),
    )


def read_single_header(request: server.Request, name: str) -> bytes:
    """Return a header's value, or empty bytes if it is absent.

    Repeated headers are rejected: a proxy and this process could each use a
    different one of the values.
    """
    values = request.requestHeaders.getRawHeaders(name.encode(), [])
    if len(values) > 1:
        raise errors.BadValue(f'{name}: must not be repeated')
    return values[0] if values else b''


def api_key_of(request: server.Request) -> bytes:
    """Return the API key of a request, or empty bytes if there is none."""
    value = read_single_header(request, 'Authorization')
    if not value.startswith(BEARER_PREFIX):
        return b''
    return value.removeprefix(BEARER_PREFIX)


def idempotency_key_of(request: server.Request) -> str:
    """Return the caller's idempotency key, or an empty string."""
    raw = read_single_header(request, 'Idempotency-Key')
    if len(raw) > MAX_KEY_CHARACTERS or not PRINTABLE_BYTES.issuperset(raw):
        raise errors.BadValue(
            f'Idempotency-Key: must be at most {MAX_KEY_CHARACTERS} printable '
            'ASCII characters without spaces'
        )
    return raw.decode('ascii')


def cursor_of(request: server.Request) -> str:
    """Return the id of the last event that the caller has received."""
    raw = read_single_header(request, 'Last-Event-ID')
    if not raw.isascii():
        raise errors.BadCursor('cursor was not sealed here')
    return raw.decode('ascii')


def deadline_seconds_of(request: server.Request) -> float:
    """Return for how many seconds the caller waits for its answer."""
    raw = read_single_header(request, 'X-Deadline-Seconds')
    if not raw:
        return DEFAULT_DEADLINE_SECONDS
    try:
        seconds = float(raw)
    except ValueError:
        seconds = 0.0
    # Rejects "nan" too, as every comparison with it is false.
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        raise errors.BadValue(
            'X-Deadline-Seconds: must be a number above 0, up to '
            f'{MAX_DEADLINE_SECONDS:.0f}'
        )
    return seconds


def priority_of(request: server.Request) -> configuration.Priority:
    """Return the requested priority class.

    Without the header it is the highest class, so that the service's own
    priority applies.
    """
    raw = read_single_header(request, 'X-Priority')
    if raw not in PRIORITIES:
        raise errors.BadValue('X-Priority: must be short or long')
    return PRIORITIES[raw]


def check_operation(operation: str) -> None:
    """Raise if an operation's name would alter the URL that contains it.

    An operation such as ``..%2Fadmin`` or ``book%3Fforce=1`` would otherwise
    reach paths of a plain service that no client account may call.
    """
    is_allowed = OPERATION_CHARACTERS.issuperset(operation)
    if not is_allowed or not 0 < len(operation) <= MAX_OPERATION_CHARACTERS:
        raise errors.BadValue(
            f'operation: must be 1 to {MAX_OPERATION_CHARACTERS} letters, '
            'digits, "-" or "_"'
        )
