"""Whether what others write into the store can be used at all.

Each check is for one use: an address to connect to, a text that goes into a
header of HTTP/1.1, a path to ask for. What fails one would raise only later,
while a request is being sent, and would take that request with it.
"""

import ipaddress
import re

from greengagelb import errors
from greengagelb.state.relay import engines

MAX_PORT = 65_535
# Digits only, in ASCII: other digits are no number to everybody.
PORT_PATTERN = re.compile('[0-9]{1,5}')
# A header has no control characters, and no spaces at its ends.
HEADER_TEXT_PATTERN = re.compile(
    r'[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?'
)
# A path in a request is visible ASCII.
PATH_PATTERN = re.compile('/[!-~]*')


def parse_host(text: str) -> str:
    """Return an IP number that one machine can be reached at.

    Raises :class:`~greengagelb.errors.ProtocolError`. Names are none: they
    would be looked up before each connection.
    """
    try:
        number = ipaddress.ip_address(text)
    except ValueError as exc:
        raise errors.ProtocolError('host is no IP number') from exc
    if number.is_unspecified or number.is_multicast:
        raise errors.ProtocolError('host names no machine')
    return text


def parse_address(text: str) -> engines.Address:
    """Return the address in ``IP:PORT``."""
    host, _, port = text.rpartition(':')
    if not PORT_PATTERN.fullmatch(port):
        raise errors.ProtocolError('port is no number')
    if not 0 < int(port) <= MAX_PORT:
        raise errors.ProtocolError('port is out of range')
    return engines.Address(parse_host(host), int(port))


def check_header_text(text: str, name: str) -> str:
    """Return a text that can stand in a header."""
    if not HEADER_TEXT_PATTERN.fullmatch(text):
        raise errors.ProtocolError(f'{name} can not stand in a header')
    return text


def check_engine_identity(text: str) -> str:
    """Return what an engine is named by in requests and answers."""
    if not text.isascii():
        raise errors.ProtocolError('identity is not ASCII')
    return check_header_text(text, 'identity')


def check_path(text: str, name: str) -> str:
    """Return a path that can be asked for."""
    if not PATH_PATTERN.fullmatch(text):
        raise errors.ProtocolError(f'{name} is no path')
    return text
