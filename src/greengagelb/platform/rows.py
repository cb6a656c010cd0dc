"""Rows of the platform's store that operators and engines write."""

import base64
import binascii
from typing import Annotated
from typing import TypeVar

import msgspec

from greengagelb import errors
from greengagelb.protocol import codec
from greengagelb.state.relay import engines
from greengagelb.state.relay import routes

T = TypeVar('T')

REPEATS = {
    'safe': routes.Repeat.IDEMPOTENT,
    'unsafe': routes.Repeat.AT_MOST_ONCE,
    'streaming': routes.Repeat.STREAM,
}
DRAINING = 'draining'
# The greatest whole number that every reader of JSON takes in exactly. As
# milliseconds it is far beyond any date, and it fits our own datagrams.
MOST_MILLISECONDS = 2**53
StartMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=MOST_MILLISECONDS)]


class Row(msgspec.Struct):
    """A row of any table; ``tombstone`` marks one that was removed."""

    key: str
    value: str = ''
    ver: int = 0
    tombstone: bool = False


class Rows(msgspec.Struct):
    """Rows as of one moment; ``ver`` is the store's newest version."""

    rows: list[Row]
    ver: int
    has_more: bool = False


class RowName(msgspec.Struct):
    """Names a row."""

    table: str
    part: str
    key: str


class NewRow(msgspec.Struct):
    """A row to be written; ``value`` is base64."""

    table: str
    part: str
    key: str
    value: str


class Change(msgspec.Struct):
    """A transaction: rows that must have a version, to write, to remove."""

    expected_rev: list[RowName]
    set_keys: list[NewRow]
    remove: list[RowName]


class WireSplit(msgspec.Struct):
    """A service's part of a route."""

    service: str
    weight: float


class WireRoute(msgspec.Struct):
    """A route; times in milliseconds."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    latency_goal_ms: float = 1000.0
    priority: int = 5
    service: str = ''
    split: list[WireSplit] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


class WireEngines(msgspec.Struct):
    """What the model engines of a service have."""

    slots: int = 1
    kv_capacity: int = 0
    backups: bool = False
    moves: bool = False
    handle_s: float = 0.0


class WireService(msgspec.Struct):
    """A service; ``engine`` is there for model engines only."""

    name: str
    max_conns: int = 100
    health_path: str = '/'
    engine: WireEngines | None = None


class WireLimits(msgspec.Struct):
    """What callers may send."""

    header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class WireTenant(msgspec.Struct):
    """A client account and its keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class WireConfig(msgspec.Struct):
    """The whole configuration."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None


class WireEngine(msgspec.Struct):
    """An engine's entry; its key is the engine's identity."""

    service: str
    address: str
    zone: str = ''
    slots: int = 1
    state: str = ''
    seq: int = 0
    born: StartMilliseconds = engines.UNKNOWN_START


def encode_value(value: object) -> str:
    """Return what a row is to hold."""
    return base64.b64encode(codec.encode(value)).decode()


def decode_value(row: Row, kind: type[T]) -> T:
    """Return what a row holds."""
    try:
        raw = base64.b64decode(row.value, validate=True)
    except binascii.Error as exc:
        raise errors.ProtocolError('row is not base64') from exc
    return codec.decode(raw, kind)


def read_table(row: Row) -> routes.RouteTable:
    """Return the configuration in a row."""
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
    repeat = REPEATS.get(route.kind)
    if repeat is None:
        raise errors.ProtocolError(
            f'route {route.name}: unknown kind {route.kind}'
        )
    shares = tuple(
        routes.ServiceShare(part.service, part.weight)
        for part in route.split
        if part.weight > 0
    )
    if route.split and not shares:
        raise errors.ProtocolError(f'route {route.name}: no part has a weight')
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
        service.health_path,
    )


def read_model_engines(model: WireEngines) -> routes.ModelEngines:
    """Return what the model engines of a service have."""
    return routes.ModelEngines(
        model.slots,
        model.kv_capacity,
        model.backups,
        model.moves,
        model.handle_s,
    )


def read_limits(limits: WireLimits) -> routes.Limits:
    """Return the limits on callers."""
    return routes.Limits(
        limits.header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / 1000.0,
        limits.idle_timeout_ms / 1000.0,
    )


def read_accounts(
    tenants: list[WireTenant] | None,
) -> dict[bytes, routes.Account] | None:
    """Return the accounts by the digests of their keys."""
    if tenants is None:
        return None
    return {
        routes.digest_of_key(key): routes.Account(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }


def read_engine(row: Row) -> engines.EngineEntry:
    """Return an engine's entry."""
    engine = decode_value(row, WireEngine)
    host, _, port = engine.address.rpartition(':')
    if not port.isdigit():
        raise errors.ProtocolError(f'engine {row.key}: bad address')
    return engines.EngineEntry(
        row.key,
        engine.service,
        engines.Address(host, int(port)),
        engine.zone,
        engine.slots,
        engine.state == DRAINING,
        engine.seq,
        engine.born,
    )
