"""Hints that instances send each other while they serve requests.

Hints are sent once and may be lost. No guarantee to callers depends on them:
they let instances take into account which runs others have just placed on an
engine, which the engine's own reports show too late.

A hint against an engine contains the start of the life that it refers to, as
it may arrive after the engine has restarted.
"""

import dataclasses

from greengagelb.state import crashes
from greengagelb.state import limits
from greengagelb.state.relay import engines


@dataclasses.dataclass(frozen=True, slots=True)
class RunPlaced:
    """A run was placed on an engine; ``number`` identifies it at the sender.

    ``part`` identifies the part of its prompt that no other conversation
    shares.
    """

    number: int
    engine: str
    memory_tokens: int
    unread_tokens: int
    copy_to: str
    part: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """A run has ended."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFailed:
    """The sender suspects that an engine has died."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class EngineErrored:
    """An engine answered a call with an error of its own."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSilent:
    """A stream from an engine has stalled; the cause may be the connection."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReplaced:
    """Another engine answers at the address of this one.

    ``successor`` is that engine if it certainly belongs to the same service.
    """

    engine: str
    successor: str = ''
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRestarted:
    """An engine has restarted under its identity; the start is Unix time."""

    engine: str
    started_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLeaving:
    """An engine has told the sender that it leaves."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class EngineResting:
    """An engine has asked the sender for no requests for some seconds.

    It has not asked the receiver, but is likely to.
    """

    engine: str
    seconds: float
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class EngineListChanged:
    """Changes in the list of engines, other than of heartbeats.

    ``unusable`` names the engines whose entries have become invalid.
    """

    entries: tuple[engines.EngineEntry, ...]
    removed: tuple[str, ...]
    unusable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """The sender has just read the store.

    ``digest`` is the digest of the list of engines in the store; ``version``
    is that of the configuration, or None if it was not read.
    """

    digest: int
    version: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store was restored from a copy and has begun a new era."""

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreProbed:
    """The sender is checking whether the store is available again."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesNotListed:
    """Incarnations of instances that are missing in the list of instances."""

    incarnations: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """The sender has applied a version of the configuration.

    Unlike :class:`StoreRead` this says nothing about the list of engines,
    which the sender may have read long ago.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRefused:
    """An engine that fails if it refuses too many has refused a request.

    ``refusal_rate`` is how many it can turn away in a second.
    """

    engine: str
    refusal_rate: float
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class ServicesUnreachable:
    """The services whose engines the sender can't reach directly.

    Empty once it reaches all services again.
    """

    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesReached:
    """The sender has just reached an engine directly for another instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequested:
    """The sender asks for up to so many ``retries`` for a service.

    ``number`` identifies the question at the sender.
    """

    number: int
    service: str
    retries: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoanGranted:
    """The sender lends so many ``retries``, in answer to a question."""

    number: int
    retries: float


Hint = (
    RunPlaced
    | RunEnded
    | EngineFailed
    | EngineErrored
    | StreamSilent
    | EngineReplaced
    | EngineRestarted
    | EngineLeaving
    | EngineResting
    | EngineRefused
    | EngineListChanged
    | StoreRead
    | StoreProbed
    | StoreRestored
    | InstancesNotListed
    | ConfigurationApplied
    | ServicesUnreachable
    | EnginesReached
    | LoanRequested
    | LoanGranted
    | crashes.CrashReport
    | crashes.CrashReportsRequest
    | limits.Message
)


@dataclasses.dataclass(frozen=True, slots=True)
class Digests:
    """Digests by which two instances detect that their knowledge differs.

    They cover requests that crash engines, and limits of engines.
    """

    crashes: int = 0
    limits: int = 0


EMPTY_DIGESTS = Digests()


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance of the fleet; ``incarnation`` changes with each start."""

    name: str
    incarnation: str
    host: str
    data_centre: str
