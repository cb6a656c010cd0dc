"""What instances tell each other while they serve.

Hints are sent once and may be lost. Nothing that callers are promised rests
on them: they only let instances choose engines by what the others have just
put there, which the engines' own reports tell too late.

A word against an engine names the start of the life that it speaks of, since
it may come when the engine has started again.
"""

import dataclasses

from greengagelb.state import crashes
from greengagelb.state import limits
from greengagelb.state.relay import engines


@dataclasses.dataclass(frozen=True, slots=True)
class RunPlaced:
    """A run was given to an engine; ``number`` names it at its instance.

    ``part`` names the part of its prompt that no other conversation shares.
    ``attempt`` is 1 for the first send of its request, more for each repeat,
    and 0 for one in place of a send that never left.
    """

    number: int
    engine: str
    memory_tokens: int
    unread_tokens: int
    copy_to: str
    part: str = ''
    attempt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """A run is over."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFailed:
    """An engine seems to have died, as seen from the sender."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class EngineErrored:
    """An engine has answered a call with an error of its own."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSilent:
    """A stream has fallen silent on an engine; it may be the connection."""

    engine: str
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReplaced:
    """Another engine answers at the address of this one.

    ``successor`` names it where it is sure to be of the same service.
    """

    engine: str
    successor: str = ''
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRestarted:
    """An engine has started again under its identity, at a Unix time."""

    engine: str
    started_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineListChanged:
    """What was new in the list of engines; heartbeats are not.

    ``unusable`` names the engines whose entries can't be used any more.
    """

    entries: tuple[engines.EngineEntry, ...]
    removed: tuple[str, ...]
    unusable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """The sender has just read the store.

    ``digest`` is that of the list of engines as it stands there, and
    ``version`` that of the configuration, None where that was not read.
    """

    digest: int
    version: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store has come back from a copy, and begun an era."""

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreProbed:
    """The sender tries again whether the store is back."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesNotListed:
    """Instances that the list of instances lacks, by their incarnations."""

    incarnations: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """The sender has just read the configuration in the store.

    It says nothing of the list of engines, which it may have read long ago.
    """

    version: int


Hint = (
    RunPlaced
    | RunEnded
    | EngineFailed
    | EngineErrored
    | StreamSilent
    | EngineReplaced
    | EngineRestarted
    | EngineListChanged
    | StoreRead
    | StoreProbed
    | StoreRestored
    | InstancesNotListed
    | ConfigurationApplied
    | crashes.CrashReport
    | crashes.CrashReportsRequest
    | limits.Message
)


@dataclasses.dataclass(frozen=True, slots=True)
class Digests:
    """Numbers that differ where an instance knows other things.

    Of requests that crash engines, and of limits that engines name.
    """

    crashes: int = 0
    limits: int = 0


EMPTY_DIGESTS = Digests()


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance of the fleet; ``incarnation`` is new at each start."""

    name: str
    incarnation: str
    host: str
    data_centre: str
