"""What can happen to relayed requests, as typed events.

Timers, stops and pauses are those of :mod:`greengagelb.coordination.events`.
"""

import dataclasses
import enum

from greengagelb.coordination import events
from greengagelb.state import crashes
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request is in, body and all."""

    request: requests.CallerRequest


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStarted:
    """An engine has begun to answer a stream request with success."""

    exchange: int
    send: int
    head: requests.AnswerHead


@dataclasses.dataclass(frozen=True, slots=True)
class StreamProgressed:
    """Whole events of a stream, in the order in which they came."""

    exchange: int
    send: int
    events: tuple[requests.StreamEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamComplete:
    """The engine's answer ended as a whole message, at an event's end."""

    exchange: int
    send: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerComplete:
    """A whole answer that is no stream."""

    exchange: int
    send: int
    head: requests.AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailed:
    """A send ended without a whole answer.

    ``handed_over`` is false only where no byte of the request was given to a
    connection: only then is it certain that the engine has not run it.
    """

    exchange: int
    send: int
    handed_over: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChecked:
    """This instance has read the store; it has what is in force there."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesOffered:
    """Some source has a configuration, perhaps an old one."""

    table: routes.RouteTable
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesListed:
    """The whole list of engines, as of one moment.

    ``unusable`` names those whose entries can't be used.
    """

    entries: tuple[engines.EngineEntry, ...]
    unusable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesChanged:
    """Entries that changed since the last look, and those removed.

    ``unusable`` names those whose entries can't be used any more.
    """

    entries: tuple[engines.EngineEntry, ...]
    removed: tuple[str, ...]
    unusable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """This instance is to stop; ``deadline`` is when all must have ended.

    ``asked_at`` is when the platform asked for it, if that was noticed late.
    """

    deadline: float
    asked_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServingEnded:
    """Nobody is served here any more, or the time for a stop is up."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionsClosed:
    """All that was written is out, and nobody can connect any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost:
    """The store gave no answer; what it said before may be out of date."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store has come back from a copy; what was written since is gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineListRequested:
    """The store is asked for the list of engines."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProbed:
    """An engine answered a probe, or did not within its time.

    ``started_at_ms`` is when the engine that answered says it was started.
    """

    exchange: int
    send: int
    alive: bool
    started_at_ms: int = engines.UNKNOWN_START


@dataclasses.dataclass(frozen=True, slots=True)
class RunCopied:
    """A run's memory was copied; without ``handle`` it could not be."""

    exchange: int
    send: int
    target: str
    handle: str


@dataclasses.dataclass(frozen=True, slots=True)
class SuccessorSeen:
    """Who answers at the address of a lost engine; empty if nobody does.

    Where it is the same identity, ``started_at_ms`` is when it says that it
    was started. ``has_model_memory`` is whether it was asked for the memory
    of a model engine, and has it, and is not about to leave.
    """

    old: str
    new: str
    started_at_ms: int = engines.UNKNOWN_START
    has_model_memory: bool = False


class EngineFate(enum.Enum):
    """What has become of an engine whose connections broke.

    ``ENDED`` is one where nobody listens or a later life answers, and
    ``UNKNOWN`` one that gives no answer at all.
    """

    ALIVE = 'alive'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineChecked:
    """An engine was asked whether it has ended."""

    entry: engines.EngineEntry
    fate: EngineFate


@dataclasses.dataclass(frozen=True, slots=True)
class CrashesListed:
    """What the store keeps of requests that crash engines."""

    reports: tuple[crashes.CrashReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersListed:
    """The other instances, as the list of instances has them."""

    members: tuple[hints.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHeard:
    """Another instance says that it is there, and what it knows."""

    incarnation: str
    data_centre: str
    known: hints.Digests = hints.NOTHING_KNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLeft:
    """Another instance stops, or was started anew."""

    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerTold:
    """Another instance gives a hint."""

    incarnation: str
    hint: hints.Hint


RelayEvent = (
    RequestArrived
    | AnswerStarted
    | StreamProgressed
    | StreamComplete
    | AnswerComplete
    | SendFailed
    | ConfigurationChecked
    | RoutesOffered
    | EnginesListed
    | EnginesChanged
    | StoreLost
    | StoreRestored
    | EngineListRequested
    | StopRequested
    | ServingEnded
    | ConnectionsClosed
    | EngineProbed
    | EngineChecked
    | CrashesListed
    | RunCopied
    | SuccessorSeen
    | MembersListed
    | PeerHeard
    | PeerLeft
    | PeerTold
    | events.CallerGone
    | events.TimerFired
    | events.PauseDetected
)
