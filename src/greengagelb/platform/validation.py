"""Validates values that other programs write into the store.

Each function covers one use: an address to connect to, the text of an
HTTP/1.1 header field, a path to request. An invalid value that is not
rejected here would raise later while a request is being sent, and make that
request fail.
"""

import ipaddress
import re

from greengagelb import errors
from greengagelb.state.relay import engines

MAX_PORT = 65_535
# ASCII digits only: not every program reads other digits as a number.
PORT_PATTERN = re.compile('[0-9]{1,5}')
# No control characters, and no spaces at either end.
HEADER_TEXT_PATTERN = re.compile(
    r'[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?'
)
# Visible ASCII characters only.
PATH_PATTERN = re.compile('/[!-~]*')


def parse_host(text: str) -> str:
    """Return the text if it is the IP address of a single machine.

    Host names are rejected: they would be looked up before each connection.

    Raises :class:`~greengagelb.errors.ProtocolError`.
    """
    try:
        number = ipaddress.ip_address(text)
    except ValueError as exc:
        raise errors.ProtocolError('host is not an IP address') from exc
    if number.is_unspecified or number.is_multicast:
        raise errors.ProtocolError(
            'host is an unspecified or multicast address'
        )
    return text


def parse_address(text: str) -> engines.Address:
    """Parse an address in the form ``IP:PORT``."""
    host, _, port = text.rpartition(':')
    if not PORT_PATTERN.fullmatch(port):
        raise errors.ProtocolError('port is not a number')
    if not 0 < int(port) <= MAX_PORT:
        raise errors.ProtocolError('port is out of range')
    return engines.Address(parse_host(host), int(port))


def check_header_text(text: str, name: str) -> str:
    """Return the text if it is valid as the value of a header field."""
    if not HEADER_TEXT_PATTERN.fullmatch(text):
        raise errors.ProtocolError(f'{name} is not a valid header value')
    return text


def check_engine_identity(text: str) -> str:
    """Return the text if it is valid as the identity of an engine."""
    if not text.isascii():
        raise errors.ProtocolError('identity is not ASCII')
    return check_header_text(text, 'identity')


def check_path(text: str, name: str) -> str:
    """Return the text if it is a valid request path."""
    if not PATH_PATTERN.fullmatch(text):
        raise errors.ProtocolError(f'{name} is not a valid path')
    return text
