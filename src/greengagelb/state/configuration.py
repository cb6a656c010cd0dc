"""The configuration that operators confirm and every instance applies.

It is one document with one version. Instances replace it whole and never
accept a lower version, whatever the source.
"""

import dataclasses
import enum


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    GENERATION = 'generation'
    CALL = 'call'


class Priority(enum.IntEnum):
    """Scheduling class; a lower value is served first."""

    SHORT = 0
    RESUME = 1
    LONG = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryPolicy:
    """How resume latency is traded against extra resource use.

    ``stall_factor`` times the engine's own observed gap between tokens is the
    silence after which an attempt is suspected, never less than
    ``least_stall`` nor more than ``most_stall`` seconds. With
    ``spare_attempt`` a second engine starts as soon as the first is
    suspected; without it the first is probed before.
    """

    stall_factor: float = 20.0
    least_stall: float = 0.25
    most_stall: float = 2.0
    spare_attempt: bool = False
    most_engine_deaths: int = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An engine or a plain service's process, reached by IP number and port.

    ``checks_fencing`` tells whether it refuses orders with an old fencing
    number. A draining upstream finishes what it has and gets nothing new.
    """

    name: str
    host: str
    port: int
    data_centre: str
    checks_fencing: bool = True
    draining: bool = False
    role: str = 'generate'


@dataclasses.dataclass(frozen=True, slots=True)
class ModelVersion:
    """What an engine has loaded."""

    model: str
    version: str
    adapter: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that serve the same model version, or one plain service.

    ``former`` is what the engines had before a change that may still be
    under way: those that have it still get new work of that version.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    model: str = ''
    version: str = ''
    adapter: str = ''
    slots_per_upstream: int = 8
    former: ModelVersion | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What client accounts call by name.

    ``most_wait`` bounds the seconds that a request may wait for a place on an
    upstream; 0 lets it wait until its deadline.
    """

    name: str
    kind: ServiceKind
    pool: str
    idempotent: bool = True
    priority: Priority = Priority.LONG
    recovery: RecoveryPolicy = RecoveryPolicy()
    most_wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account; its key is kept only as a SHA-256 hex digest.

    ``weight`` sets its share where accounts compete, ``most_running`` bounds
    its running requests per data centre, ``most_queued`` its waiting ones per
    instance. ``resume_budget`` bounds the callers' returns to broken streams
    per minute and instance. ``tokens_per_second`` bounds what may be started
    per data centre, prompt and most generated tokens together; 0 means that
    there is no such bound.
    """

    name: str
    key_digest: str
    services: tuple[str, ...]
    weight: int = 1
    most_running: int = 64
    most_queued: int = 64
    resume_budget: int = 120
    tokens_per_second: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All that operators decide, under one version.

    ``confirmed_by`` is the id of the plan that put the version in force; two
    plans may lead to equal documents, and only one of them has won.
    """

    version: int = 0
    confirmed_by: str = ''
    accounts: tuple[ClientAccount, ...] = ()
    services: tuple[Service, ...] = ()
    pools: tuple[Pool, ...] = ()

    def find_account(self, name: str) -> ClientAccount | None:
        """Return the client account of that name, if there is one."""
        return next((a for a in self.accounts if a.name == name), None)

    def find_service(self, name: str) -> Service | None:
        """Return the service of that name, if there is one."""
        return next((s for s in self.services if s.name == name), None)

    def find_pool(self, name: str) -> Pool | None:
        """Return the pool of that name, if there is one."""
        return next((p for p in self.pools if p.name == name), None)
