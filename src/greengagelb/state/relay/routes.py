"""The configuration of relayed traffic: routes, services, accounts, limits.

A table is built once per configuration version and is immutable, so its users
never see a mixture of two versions.
"""

import dataclasses
import enum
import hashlib


class RepeatPolicy(enum.Enum):
    """Whether and how requests of a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """The share of a route's requests that a service gets."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Destination and limits of the requests of one host and path prefix.

    ``time_limit`` is the maximum time that a caller waits and ``goal`` the
    time within which an answer should begin; ``gap_goal`` is the longest
    pause within a stream that callers do not notice. All are in seconds.
    ``priority`` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    shares: tuple[ServiceShare, ...]
    time_limit: float
    goal: float
    priority: int
    most_attempts: int
    public: bool = False
    resumable: bool = False
    gap_goal: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run again on another engine."""
        if self.repeat is RepeatPolicy.STREAM:
            return self.resumable
        return self.repeat is RepeatPolicy.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ModelEngines:
    """Capacity and capabilities of the model engines of a service.

    ``memory_tokens`` is the capacity of one engine's KV memory. ``copies``
    tells whether an engine sends the memory of a run to another engine as
    the run grows, ``moves`` whether it does so on an order; such a copy is
    kept for ``copy_seconds``.
    """

    slots: int
    memory_tokens: int
    copies: bool = False
    moves: bool = False
    copy_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable engines.

    An engine answers a status check at ``health_path`` with its identity.
    """

    name: str
    most_connections: int
    engines: ModelEngines | None = None
    health_path: str = '/'


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for callers' requests, in bytes and in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account; its ``priority``, if set, overrides the route's."""

    name: str
    priority: int | None = None


def hash_api_key(key: str) -> bytes:
    """Return the digest under which an API key is stored."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).digest()


class RouteTable:
    """One version of the configuration.

    API keys are stored as digests, so that the timing of a lookup does not
    reveal how much of a guessed key is correct.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        limits: CallerLimits,
        accounts: dict[bytes, Account] | None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.accounts = accounts
        self.routes_by_host: dict[str, list[Route]] = {}
        longest_first = sorted(routes, key=lambda r: -len(r.prefix))
        for route in longest_first:
            self.routes_by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the account to which an API key belongs."""
        if self.accounts is None:
            return None
        return self.accounts.get(hash_api_key(key))
