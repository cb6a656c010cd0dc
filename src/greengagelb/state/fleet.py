"""What an instance knows about the other instances."""

import dataclasses
import enum

from greengagelb.state import crashes
from greengagelb.state import identity
from greengagelb.state import timeline


class Standing(enum.Enum):
    """Whether another instance is considered available.

    A ``LISTED`` instance is on the platform's list, but no message from it
    has arrived; it may be dead, partitioned, or not reached yet.
    """

    LIVE = 'live'
    LISTED = 'listed'
    LEAVING = 'leaving'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class PeerAddress:
    """IP address and port at which an instance receives peer messages."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class PeerId:
    """One incarnation of an instance, with its data centre and address."""

    name: str
    incarnation: str
    data_centre: str
    address: PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreSummary:
    """How far the configuration is applied in a data centre.

    ``version`` is the highest version applied there, on ``in_force_on`` of
    its ``instances``; ``missing`` names the first few that lack it.
    """

    data_centre: str
    version: int
    in_force_on: int
    instances: int
    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The load of an upstream as reported to the instance that probes it.

    ``index`` is its position among all upstreams of the configuration, pool
    by pool; names would make the heartbeat several times as long.
    """

    index: int
    running: int
    queued: int
    step_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that an instance sends to others periodically and on changes.

    The indexes in ``loads`` refer to the configuration of ``version``.
    """

    sender: PeerId
    version: int
    leaving: bool
    stamp: timeline.Stamp
    leaving_upstreams: tuple[identity.EngineId, ...] = ()
    summaries: tuple[DataCentreSummary, ...] = ()
    held: frozenset[str] = frozenset()
    loads: tuple[UpstreamLoad, ...] = ()
    crash_reports: tuple[crashes.CrashReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry for an instance in the platform's list."""

    peer: PeerId
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OwnState:
    """The state of this instance that its heartbeats announce."""

    version: int = 0
    leaving: bool = False
    leaving_upstreams: frozenset[identity.EngineId] = frozenset()
    held: frozenset[str] = frozenset()
    suspects: tuple[crashes.SuspectRequest, ...] = ()


@dataclasses.dataclass(slots=True)
class PeerView:
    """Another instance as known here; times are monotonic seconds.

    ``heard_at`` is None if no heartbeat of it has arrived. ``listed`` tells
    whether it is currently on the platform's list.
    """

    peer: PeerId
    known_at: float
    heard_at: float | None = None
    version: int = 0
    leaving: bool = False
    listed: bool = False
    holds: bool = False
