"""What an instance knows of the other instances."""

import dataclasses
import enum

from greengagelb.state import crashes
from greengagelb.state import identity
from greengagelb.state import timeline


class Standing(enum.Enum):
    """What another instance can be counted on for.

    ``LISTED`` is one that the platform's list shows and that has not been
    heard of here; it may be dead, cut off, or not reached yet.
    """

    LIVE = 'live'
    LISTED = 'listed'
    LEAVING = 'leaving'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class PeerAddress:
    """Where an instance's peer port is: IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class PeerId:
    """An instance as it is since its last start, and where it is."""

    name: str
    incarnation: str
    data_centre: str
    address: PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreSummary:
    """What one data centre says of its instances.

    ``version`` is the highest that is applied there, ``in_force_on`` of
    ``instances`` have it; ``missing`` names the first few that have not.
    """

    data_centre: str
    version: int
    in_force_on: int
    instances: int
    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The load of an upstream as its watcher was told; step in seconds.

    ``index`` is its place among all upstreams of the configuration, pool by
    pool: a name would make the heartbeat several times as long.
    """

    index: int
    running: int
    queued: int
    step_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an instance tells others, now and again and when it changes.

    ``loads`` count upstreams by the configuration of ``version``.
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
    """An instance as the platform's list shows it."""

    peer: PeerId
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OwnState:
    """What this instance has to tell."""

    version: int = 0
    leaving: bool = False
    leaving_upstreams: frozenset[identity.EngineId] = frozenset()
    held: frozenset[str] = frozenset()
    suspects: tuple[crashes.SuspectRequest, ...] = ()


@dataclasses.dataclass(slots=True)
class PeerView:
    """Another instance as heard of here; times are monotonic seconds.

    ``heard_at`` is None for one that is only listed, ``listed`` says whether
    the platform's list shows it now.
    """

    peer: PeerId
    known_at: float
    heard_at: float | None = None
    version: int = 0
    leaving: bool = False
    listed: bool = False
    holds: bool = False
