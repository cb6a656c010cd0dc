"""Rows of the platform's store that operators and engines write."""

import base64
from typing import Annotated
from typing import Literal
from typing import TypeVar

import msgspec

from greengagelb import errors
from greengagelb.platform import validation
from greengagelb.protocol import codec
from greengagelb.state import crashes
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints
from greengagelb.state.relay import positions
from greengagelb.state.relay import routes

T = TypeVar('T')

# Ranges that can be used in calculations and sent to other instances. Values
# outside them would raise with the first request that uses them.
Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Count = Annotated[int, msgspec.Meta(ge=1, le=2**31 - 1)]
PriorityNumber = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
Weight = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
# At most eleven days: longer timers can't be waited for.
Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
Timeout = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
# The maximum length of a key of the store. Ten entries with longer names would
# not fit into the datagram that sends them to neighbouring instances.
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
DataCentreName = Annotated[str, msgspec.Meta(max_length=200)]

REPEAT_BY_KIND = {
    'safe': routes.RepeatPolicy.IDEMPOTENT,
    'unsafe': routes.RepeatPolicy.AT_MOST_ONCE,
    'streaming': routes.RepeatPolicy.STREAM,
}
DRAINING = 'draining'
# The largest integer that every JSON parser reads exactly. In milliseconds it
# is far beyond any date, and it fits our own datagrams.
MAX_MILLISECONDS = 2**53
StartMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]


class Row(msgspec.Struct):
    """A row of any table; ``tombstone`` marks one that was removed.

    ``mistake`` says why a row that was received is malformed; the key of such
    a row may be empty.
    """

    key: str
    value: str = ''
    ver: Counter = 0
    tombstone: bool = False
    mistake: str = ''


class Rows(msgspec.Struct):
    """A snapshot of rows; ``ver`` is the store's newest version.

    ``era`` comes from a header field of the answer.
    """

    rows: list[Row]
    ver: int
    has_more: bool = False
    era: int = positions.NO_ERA

    @property
    def position(self) -> positions.StorePosition:
        """Return the position from which to read later changes."""
        return positions.StorePosition(self.era, self.ver)


class RowName(msgspec.Struct):
    """The full name of a row."""

    table: str
    part: str
    key: str


class NewRow(msgspec.Struct):
    """A row to write; ``value`` is base64."""

    table: str
    part: str
    key: str
    value: str


class Transaction(msgspec.Struct):
    """A transaction: rows with an expected version, to write, to remove."""

    expected_rev: list[RowName]
    set_keys: list[NewRow]
    remove: list[RowName]


class WireSplit(msgspec.Struct):
    """A service's share of a route."""

    service: str
    weight: Weight


class WireRoute(msgspec.Struct):
    """A route; times in milliseconds."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Timeout
    latency_goal_ms: Milliseconds = 1000.0
    priority: PriorityNumber = 5
    service: str = ''
    split: list[WireSplit] = []
    max_attempts: Count = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: Milliseconds = 0.0


class WireEngines(msgspec.Struct):
    """The properties of the model engines of a service."""

    slots: Count = 1
    kv_capacity: Amount = 0
    backups: bool = False
    moves: bool = False
    handle_s: Seconds = 0.0


class WireService(msgspec.Struct):
    """A service; ``engine`` is present for model engines only."""

    name: str
    max_conns: Count = 100
    health_path: str = '/'
    engine: WireEngines | None = None


class WireLimits(msgspec.Struct):
    """Limits on the requests of callers."""

    header_bytes: Count = 16_384
    max_body_bytes: Amount = 4 << 20
    header_timeout_ms: Timeout = 3_000.0
    idle_timeout_ms: Timeout = 15_000.0


class WireAccount(msgspec.Struct):
    """A client account and its keys."""

    name: str
    api_keys: list[str] = []
    priority: PriorityNumber | None = None


class WireConfig(msgspec.Struct):
    """The whole configuration."""

    version: Counter
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireAccount] | None = None


class WireEngine(msgspec.Struct):
    """An engine's entry; its key is the engine's identity.

    Entries of other writers may contain anything. Fields without a default
    are required because they are used here and a missing value can't be
    guessed. For the other fields only the type is checked.
    """

    service: Name
    address: str
    zone: DataCentreName
    slots: Count
    state: Literal['ready', 'draining']
    seq: Counter
    version: str = ''
    cold_left_ms: float = 0.0
    born: StartMilliseconds = engines.UNKNOWN_START


def encode_value(value: object) -> str:
    """Return an object encoded as the value of a row."""
    return base64.b64encode(codec.encode(value)).decode()


def decode_value(row: Row, kind: type[T]) -> T:
    """Return the decoded value of a row.

    Raises :class:`~greengagelb.errors.ProtocolError`.
    """
    if row.mistake:
        raise errors.ProtocolError(row.mistake)
    try:
        raw = base64.b64decode(row.value, validate=True)
    except ValueError as exc:
        raise errors.ProtocolError('value of row is not base64') from exc
    return codec.decode(raw, kind)


def read_route_table(row: Row) -> routes.RouteTable:
    """Return the configuration in a row.

    Raises :class:`~greengagelb.errors.ProtocolError`.
    """
    config = decode_value(row, WireConfig)
    services = {service.name for service in config.services}
    found = tuple(read_route(route) for route in config.routes)
    for route in found:
        for share in route.shares:
            if share.service not in services:
                raise errors.ProtocolError(
                    f'route {route.name}: unknown service {share.service}'
                )
    return routes.RouteTable(
        config.version,
        found,
        tuple(read_service(service) for service in config.services),
        read_limits(config.limits),
        read_accounts(config.tenants),
    )


def read_route(route: WireRoute) -> routes.Route:
    """Return a route."""
    repeat = REPEAT_BY_KIND.get(route.kind)
    if repeat is None:
        raise errors.ProtocolError(
            f'route {route.name}: unknown kind {route.kind}'
        )
    if not route.prefix.startswith('/'):
        raise errors.ProtocolError(
            f'route {route.name}: prefix does not begin with a slash'
        )
    shares = tuple(
        routes.ServiceShare(part.service, part.weight)
        for part in route.split
        if part.weight > 0
    )
    if route.split and not shares:
        raise errors.ProtocolError(f'route {route.name}: all weights are 0')
    return routes.Route(
        route.name,
        route.host.lower(),
        route.prefix,
        repeat,
        shares or (routes.ServiceShare(route.service, 1.0),),
        route.timeout_ms / 1000.0,
        route.latency_goal_ms / 1000.0,
        route.priority,
        route.max_attempts,
        route.public,
        route.resumable,
        route.gap_aim_ms / 1000.0,
    )


def read_service(service: WireService) -> routes.Service:
    """Return a service."""
    model = service.engine
    return routes.Service(
        service.name,
        service.max_conns,
        model and read_model_engines(model),
        validation.check_path(service.health_path, 'health path'),
    )


def read_model_engines(model: WireEngines) -> routes.ModelEngines:
    """Return the properties of the model engines of a service."""
    return routes.ModelEngines(
        model.slots,
        model.kv_capacity,
        model.backups,
        model.moves,
        model.handle_s,
    )


def read_limits(limits: WireLimits) -> routes.CallerLimits:
    """Return the limits on callers."""
    return routes.CallerLimits(
        limits.header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / 1000.0,
        limits.idle_timeout_ms / 1000.0,
    )


def read_accounts(
    tenants: list[WireAccount] | None,
) -> dict[bytes, routes.Account] | None:
    """Return the accounts by the digests of their API keys."""
    if tenants is None:
        return None
    return {
        routes.hash_api_key(key): read_account(account)
        for account in tenants
        for key in account.api_keys
    }


def read_account(account: WireAccount) -> routes.Account:
    """Return an account; its name is sent to engines in a header."""
    name = validation.check_header_text(account.name, 'name of an account')
    return routes.Account(name, account.priority)


def read_engine(row: Row) -> engines.EngineEntry:
    """Return an engine's entry.

    Raises :class:`~greengagelb.errors.ProtocolError` if no request could be
    sent to the engine.
    """
    engine = decode_value(row, WireEngine)
    return engines.EngineEntry(
        validation.check_engine_identity(row.key),
        engine.service,
        validation.parse_address(engine.address),
        engine.zone,
        engine.slots,
        engine.state == DRAINING,
        engine.seq,
        engine.born,
    )


def read_member(row: Row) -> hints.Member:
    """Return the entry of one of our instances."""
    member = decode_value(row, hints.Member)
    if member.name != row.key:
        raise errors.ProtocolError('entry names another instance')
    if not member.incarnation:
        raise errors.ProtocolError('entry without an incarnation')
    validation.parse_host(member.host)
    return member


def read_crashes(row: Row, prefix: str) -> crashes.StoredCrashes:
    """Return the crashes that are stored for a request."""
    kept = decode_value(row, crashes.StoredCrashes)
    if prefix + kept.fingerprint != row.key:
        raise errors.ProtocolError('entry names another request')
    return kept
