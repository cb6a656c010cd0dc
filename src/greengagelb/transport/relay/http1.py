"""What both sides of relayed HTTP/1.1 have in common.

The wire format is h11's: it tells exactly where a message ends and whether
it was whole, which decides what may be passed on and which connection may be
used again.
"""

import socket

from twisted.internet import interfaces

from greengagelb.state.relay import requests

# Header fields that concern one connection only and are never passed on.
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
# A peer that vanished without a word is noticed after the first figure plus
# the second times the third, in seconds, on any connection.
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3


def select_end_to_end_headers(raw: requests.Headers) -> requests.Headers:
    """Return the header fields that do not concern one connection only.

    Names keep their case. What a ``Connection`` field names goes too.
    """
    connection_headers = set(HOP_BY_HOP)
    for name, value in raw:
        if name.lower() == b'connection':
            connection_headers.update(
                v.strip().lower() for v in value.split(b',')
            )
    return tuple((n, v) for n, v in raw if n.lower() not in connection_headers)


def first_header_value(headers: requests.Headers, name: bytes) -> bytes | None:
    """Return the first value of a field; ``name`` is in lower case."""
    for found, value in headers:
        if found.lower() == name:
            return value
    return None


def configure_socket(transport: interfaces.ITCPTransport) -> None:
    """Have a connection send at once, and notice a peer that vanished."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    sock = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
