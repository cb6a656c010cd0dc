"""The configuration of relayed traffic: routes, services, accounts, limits.

A table is built once per configuration version and never changes. Whatever
holds one sees one version as a whole, never half of the next.
"""

import dataclasses
import enum
import hashlib


class RepeatPolicy(enum.Enum):
    """What may be done again with requests of a route."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """The part of a route's requests that a service gets."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and what they may cost.

    ``time_limit`` is the longest time a caller is kept waiting and ``goal``
    the time within which an answer should begin; ``gap_goal`` is the longest
    pause within a stream that callers do not notice. All in seconds.
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
    """What the model engines of a service have and can do.

    ``memory_tokens`` is what one engine's KV memory holds. ``copies`` says
    whether an engine sends the memory of a run to another one as it grows,
    ``moves`` whether it does so when told, which then stays there for
    ``copy_seconds``.
    """

    slots: int
    memory_tokens: int
    copies: bool = False
    moves: bool = False
    copy_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of engines that do the same.

    An engine answers a status check at ``health_path`` with its identity.
    """

    name: str
    most_connections: int
    engines: ModelEngines | None = None
    health_path: str = '/'


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take, in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account; its ``priority``, if any, replaces the route's."""

    name: str
    priority: int | None = None


def hash_api_key(key: str) -> bytes:
    """Return what is kept of an API key."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).digest()


class RouteTable:
    """One version of the configuration.

    API keys are kept as digests: a look-up by digest tells nothing through
    its timing of how much of a guessed key was right.
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
        """Return the route with the longest prefix that begins a path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the account that holds a key."""
        if self.accounts is None:
            return None
        return self.accounts.get(hash_api_key(key))
