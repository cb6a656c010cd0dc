"""The configuration that operators confirm and every instance applies.

It is a single document with one version. Instances replace it as a whole and
never accept a lower version, whatever the source.
"""

import dataclasses
import enum


class ServiceKind(enum.Enum):
    """Kind of work that a service does."""

    GENERATION = 'generation'
    CALL = 'call'


class Priority(enum.IntEnum):
    """Scheduling class; a lower value is served first."""

    SHORT = 0
    RESUME = 1
    LONG = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryPolicy:
    """Trade-off between resume latency and additional resource use.

    An attempt is suspected after ``stall_factor`` times the observed gap
    between tokens of its engine, but no less than ``least_stall`` and no more
    than ``most_stall`` seconds. With ``spare_attempt`` a second engine starts
    as soon as the first is suspected; otherwise the first is probed before.
    """

    stall_factor: float = 20.0
    least_stall: float = 0.25
    most_stall: float = 2.0
    spare_attempt: bool = False
    most_engine_deaths: int = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An engine or a process of a plain service, at an IP address and port.

    ``checks_fencing`` tells whether it refuses orders with a stale fencing
    number. A draining upstream finishes its requests and gets no new ones.
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
    """Model, version and adapter that an engine has loaded."""

    model: str
    version: str
    adapter: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that serve the same model version, or one plain service.

    ``former`` is the model version before a change that may still be in
    progress: engines that still have it get new work for that version.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    model: str = ''
    version: str = ''
    adapter: str = ''
    slots_per_upstream: int = 8
    former: ModelVersion | None = None

    @property
    def serves(self) -> ModelVersion:
        """Return the model version that its engines are to have loaded."""
        return ModelVersion(self.model, self.version, self.adapter)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that client accounts call by name.

    ``most_wait`` limits the seconds that a request may wait for a slot on an
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

    ``weight`` sets its share when accounts compete. ``most_running`` limits
    its running requests per data centre, ``most_queued`` its queued requests
    per instance. ``resume_budget`` limits how often its callers may resume
    broken streams, per minute and instance. ``tokens_per_second`` limits the
    work started per data centre, counted as prompt tokens plus the maximum of
    generated tokens; 0 means no limit.
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
    """All operator settings, under one version.

    ``confirmed_by`` is the id of the plan that put the version in force. It
    tells concurrent plans apart that lead to equal documents, of which only
    one was confirmed.
    """

    version: int = 0
    confirmed_by: str = ''
    accounts: tuple[ClientAccount, ...] = ()
    services: tuple[Service, ...] = ()
    pools: tuple[Pool, ...] = ()

    def find_account(self, name: str) -> ClientAccount | None:
        """Return the client account with this name, or None."""
        return next((a for a in self.accounts if a.name == name), None)

    def find_service(self, name: str) -> Service | None:
        """Return the service with this name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def find_pool(self, name: str) -> Pool | None:
        """Return the pool with this name, or None."""
        return next((p for p in self.pools if p.name == name), None)
