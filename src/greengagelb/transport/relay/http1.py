"""Header fields and socket options common to client and server side.

h11 parses and writes the messages. It tells exactly where a message ends and
whether it is complete, which decides what may be passed on and which
connection may be reused.
"""

import socket

import h11
from twisted.internet import interfaces

from greengagelb.state.relay import requests

# Header fields that apply to a single connection and are never passed on.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# Numbers in header fields with more digits are not used.
MAX_DIGITS = 18
# On any connection, a peer that disappears without notice is detected after
# KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS * KEEPALIVE_PROBES.
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3


def select_end_to_end_headers(raw: requests.Headers) -> requests.Headers:
    """Return the header fields without the hop-by-hop ones.

    Fields that ``Connection`` lists are removed as well. Names keep their
    case.
    """
    connection_headers = set(HOP_BY_HOP)
    for name, value in raw:
        if name.lower() == b'connection':
            connection_headers.update(
                v.strip().lower() for v in value.split(b',')
            )
    return tuple((n, v) for n, v in raw if n.lower() not in connection_headers)


def first_header_value(headers: requests.Headers, name: bytes) -> bytes | None:
    """Return the first value of a field; ``name`` must be in lower case."""
    for found, value in headers:
        if found.lower() == name:
            return value
    return None


def announces_close(response: h11.Response) -> bool:
    """Return whether the head of an answer says that its connection closes.

    A connection of HTTP/1.0 always does. In later versions a server that
    closes has to say so (RFC 9112, 9.6).
    """
    if response.http_version < b'1.1':
        return True
    options = [
        option.strip().lower()
        for name, value in response.headers
        if name == b'connection'
        for option in value.split(b',')
    ]
    return b'close' in options


def configure_socket(transport: interfaces.ITCPTransport) -> None:
    """Disable Nagle's algorithm and enable TCP keep-alive probes."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    sock = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def parse_digits(text: bytes) -> int | None:
    """Return a number of up to ``MAX_DIGITS`` digits, or None.

    The interpreter raises an error for numbers of thousands of digits.
    """
    digits = text.strip()
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
