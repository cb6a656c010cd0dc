"""Settings of a process, read once from an INI file and validated whole.

A mistake is refused before any socket opens, with file, section, key and what
to write instead: an instance that starts with a guessed setting fails later,
when nobody looks.
"""

from collections.abc import Callable
import configparser
import dataclasses
import hashlib
import ipaddress
import pathlib
from typing import Any
from typing import TypeVar

from greengagelb import errors
from greengagelb.state import fleet

LEAST_SECRET_CHARACTERS = 16
MOST_NAME_CHARACTERS = 64
MOST_COUNT = 100_000
NO_SECTION = ''

T = TypeVar('T')
Parser = Callable[[str], Any]
# The data class of each section, and how its keys are read.
Sections = dict[str, tuple[type, dict[str, Parser]]]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Section ``[instance]``: who and where this process is."""

    name: str
    data_centre: str
    host: str
    caller_port: int
    operator_port: int
    peer_port: int
    timeline_events: int = 20_000

    def __post_init__(self) -> None:
        ports = (self.caller_port, self.operator_port, self.peer_port)
        if len(set(ports)) != len(ports):
            raise ValueError(
                'caller_port, operator_port, peer_port: write three '
                'different ports'
            )


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Section ``[platform]``: where the platform's service is."""

    host: str
    port: int
    timeout_seconds: float = 2.0
    poll_seconds: float = 2.0
    reads_per_second: int = 100
    writes_per_second: int = 40


@dataclasses.dataclass(frozen=True, slots=True)
class SecretSettings:
    """Section ``[secrets]``: the same on all instances of the fleet."""

    cursor_secret: str
    operator_key_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Section ``[peers]``: instances that are there without the platform.

    While the platform is away its list can't be had. An instance that starts
    then takes the configuration from these ``addresses``.
    """

    addresses: tuple[fleet.PeerAddress, ...] = ()
    heartbeat_seconds: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an instance."""

    instance: InstanceSettings
    platform: PlatformSettings
    secrets: SecretSettings
    peers: PeerSettings = PeerSettings()

    def __post_init__(self) -> None:
        place = self.instance
        own = (place.caller_port, place.operator_port, place.peer_port)
        same_host = place.host == self.platform.host
        if same_host and self.platform.port in own:
            raise ValueError(
                '[platform] port: write the port of the platform, not one of '
                'this instance'
            )


def parse_name(text: str) -> str:
    """Return a name of printable characters without white space."""
    blank = any(character.isspace() for character in text)
    if not text or blank or not text.isprintable():
        raise ValueError('write a name without spaces')
    if len(text) > MOST_NAME_CHARACTERS:
        raise ValueError(f'write at most {MOST_NAME_CHARACTERS} characters')
    return text


def parse_ip_number(text: str) -> str:
    """Return an IP number."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise ValueError('write an IP number such as 127.0.0.1') from None


def parse_own_ip_number(text: str) -> str:
    """Return an IP number under which other instances reach this one."""
    host = parse_ip_number(text)
    if ipaddress.ip_address(host).is_unspecified:
        raise ValueError(
            'write the IP number that others reach this instance by'
        )
    return host


def parse_port(text: str) -> int:
    """Return a port number."""
    if not is_whole_number(text) or not 0 < int(text) < 65536:
        raise ValueError('write a port number from 1 to 65535')
    return int(text)


def parse_seconds(text: str) -> float:
    """Return a time in seconds above zero."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < 3600:
        raise ValueError('write seconds above 0 and below 3600, such as 2.0')
    return seconds


def parse_addresses(text: str) -> tuple[fleet.PeerAddress, ...]:
    """Return peer addresses from ``ip:port, ip:port``."""
    found = []
    for part in text.split(','):
        host, _, port = part.strip().rpartition(':')
        host = parse_ip_number(host.strip('[]'))
        found.append(fleet.PeerAddress(host, parse_port(port)))
    return tuple(found)


def is_whole_number(text: str) -> bool:
    """Return whether a text is a few decimal digits and nothing else."""
    return text.isascii() and text.isdecimal() and len(text) < 10


def parse_count(text: str) -> int:
    """Return a whole number above zero."""
    if not is_whole_number(text) or not 0 < int(text) <= MOST_COUNT:
        raise ValueError(f'write a whole number from 1 to {MOST_COUNT}')
    return int(text)


def parse_secret(text: str) -> str:
    """Return a secret that is long enough."""
    if len(text) < LEAST_SECRET_CHARACTERS:
        raise ValueError(f'write {LEAST_SECRET_CHARACTERS} characters or more')
    return text


def parse_digest(text: str) -> str:
    """Return a SHA-256 digest in hexadecimal digits."""
    if len(text) != 64 or not set(text) <= set('0123456789abcdef'):
        raise ValueError('write the SHA-256 of the key as 64 hex digits')
    if text == hashlib.sha256(b'').hexdigest():
        # A request without any key would carry the right one.
        raise ValueError('write the SHA-256 of a key that is not empty')
    return text


SECTIONS: Sections = {
    'instance': (
        InstanceSettings,
        {
            'name': parse_name,
            'data_centre': parse_name,
            'host': parse_own_ip_number,
            'caller_port': parse_port,
            'operator_port': parse_port,
            'peer_port': parse_port,
            'timeline_events': parse_count,
        },
    ),
    'platform': (
        PlatformSettings,
        {
            'host': parse_ip_number,
            'port': parse_port,
            'timeout_seconds': parse_seconds,
            'poll_seconds': parse_seconds,
            'reads_per_second': parse_count,
            'writes_per_second': parse_count,
        },
    ),
    'peers': (
        PeerSettings,
        {'addresses': parse_addresses, 'heartbeat_seconds': parse_seconds},
    ),
    'secrets': (
        SecretSettings,
        {'cursor_secret': parse_secret, 'operator_key_digest': parse_digest},
    ),
}


def read_settings(path: pathlib.Path) -> Settings:
    """Return the settings in an INI file.

    Raises :class:`~greengagelb.errors.SettingsError`, which names the first
    mistake.
    """
    parser = parse_file(path)
    check_sections(path, parser, SECTIONS)
    return build_settings(path, parser, SECTIONS, Settings)


def check_sections(
    path: pathlib.Path,
    parser: configparser.ConfigParser,
    sections: Sections,
) -> None:
    """Refuse a section that means nothing: its writer expected an effect."""
    for section in parser.sections():
        if section not in sections:
            known = ', '.join(sections)
            raise errors.SettingsError(
                f'{path}: unknown section [{section}]; write one of {known}'
            )


def build_settings(
    path: pathlib.Path,
    parser: configparser.ConfigParser,
    sections: Sections,
    kind: type[T],
) -> T:
    """Return the settings object that the sections make up."""
    parts = {
        name: read_section(path, parser, name, sections) for name in sections
    }
    try:
        return kind(**parts)
    except ValueError as exc:
        raise errors.SettingsError(f'{path}: {exc}') from exc


def parse_file(path: pathlib.Path) -> configparser.ConfigParser:
    """Return the sections of an INI file.

    Keys are taken as they are written, and a section of defaults is an
    unknown one: each setting stands once, where it belongs.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section=NO_SECTION
    )
    parser.optionxform = str
    try:
        # Some editors begin a file with a byte order mark, which "utf-8-sig"
        # skips; read as text it would hide the first section.
        with path.open(encoding='utf-8-sig') as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise errors.SettingsError(f'{path}: {mistake_in_file(exc)}') from exc
    return parser


def mistake_in_file(error: Exception) -> str:
    """Return what is wrong with a file, and what to write instead."""
    match error:
        case configparser.DuplicateSectionError(section=section, lineno=line):
            return f'line {line}: [{section}] stands twice; write it once'
        case configparser.DuplicateOptionError(
            section=section, option=key, lineno=line
        ):
            return f'line {line}: [{section}] {key}: stands twice; write one'
        case configparser.MissingSectionHeaderError(lineno=line):
            return f'line {line}: write a section such as [instance] first'
        case configparser.ParsingError(errors=[(line, _), *_]):
            return f'line {line}: write "key = value"'
        case UnicodeDecodeError():
            return 'not UTF-8; write the file in UTF-8'
        case OSError(strerror=reason):
            return f'{reason}; write the path of a readable file'
    return str(error)


def read_section(
    path: pathlib.Path,
    parser: configparser.ConfigParser,
    section: str,
    sections: Sections,
) -> Any:
    """Return the data class of one section."""
    kind, parsers = sections[section]
    given = dict(parser[section]) if parser.has_section(section) else {}
    values = {}
    for key, text in given.items():
        if key not in parsers:
            known = ', '.join(parsers)
            raise errors.SettingsError(
                f'{path}: [{section}] {key}: unknown key; write one of {known}'
            )
        try:
            values[key] = parsers[key](text)
        except ValueError as exc:
            raise errors.SettingsError(
                f'{path}: [{section}] {key}: {exc}'
            ) from exc
    for field in dataclasses.fields(kind):
        required = field.default is dataclasses.MISSING
        if required and field.name not in values:
            raise errors.SettingsError(
                f'{path}: [{section}] {field.name}: missing; write it'
            )
    try:
        return kind(**values)
    except ValueError as exc:
        raise errors.SettingsError(f'{path}: [{section}] {exc}') from exc
