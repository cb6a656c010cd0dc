"""Events that the relay handles.

Timers, pauses and callers that disconnect are events of
:mod:`greengagelb.coordination.events`.
"""

import dataclasses
import enum

from greengagelb.coordination import events
from greengagelb.coordination.relay.forwarding import (
    events as forwarding_events,
)
from greengagelb.state import crashes
from greengagelb.state import identity
from greengagelb.state import statements
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request was received completely."""

    request: requests.CallerRequest


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStated:
    """The head of an answer states something about the engine that sent it.

    ``entry`` is the engine that was asked. ``speaker`` is the identity in the
    answer, or empty: another engine may have got the address. ``status`` is
    the status of the answer and ``request`` the caller's request, None if this
    instance asked by itself. The event precedes all others of the answer.
    """

    entry: engines.EngineEntry
    statement: statements.Statement
    status: int
    speaker: str = ''
    request: identity.RequestId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStarted:
    """An engine has started a successful answer to a stream request."""

    exchange: int
    send: int
    head: requests.AnswerHead


@dataclasses.dataclass(frozen=True, slots=True)
class StreamProgressed:
    """Complete events of a stream arrived, in this order."""

    exchange: int
    send: int
    events: tuple[requests.StreamEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamComplete:
    """An engine's answer ended as a complete message after an event.

    ``ended_by_close`` tells that nothing but the close of its connection ended
    it, as the end of the engine's process would have done.
    """

    exchange: int
    send: int
    ended_by_close: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerComplete:
    """A complete answer that is not a stream arrived.

    ``ended_by_close`` is as that of :class:`StreamComplete`.
    """

    exchange: int
    send: int
    head: requests.AnswerHead
    body: bytes
    ended_by_close: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailed:
    """A send ended without a complete answer.

    ``handed_over`` is false only if no byte of the request was written to a
    connection: only then is it certain that the engine has not run it.
    ``is_path_lost`` tells that the path to the instance between was lost,
    which shows nothing about the engine.
    """

    exchange: int
    send: int
    handed_over: bool
    detail: str
    is_path_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChecked:
    """This instance has confirmed its configuration with the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """A source offers a configuration, which may be an old one."""

    table: routes.RouteTable
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesListed:
    """A complete list of engines was read.

    ``unusable`` names the engines whose entries can't be used.
    """

    entries: tuple[engines.EngineEntry, ...]
    unusable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesChanged:
    """Entries were changed or removed since the list was last read.

    ``unusable`` names the engines whose entries can't be used any more.
    """

    entries: tuple[engines.EngineEntry, ...]
    removed: tuple[str, ...]
    unusable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The platform has requested a stop of this instance.

    All requests must have ended by ``deadline``. ``asked_at`` is when the stop
    was requested, if that was noticed late. Both are monotonic times.
    """

    deadline: float
    asked_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServingEnded:
    """No caller is served any more, or the time for the stop is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionsClosed:
    """All output has been written and no caller can connect any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost:
    """The store did not answer, so data read before may be outdated."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store was restored from a backup; later writes are lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineListRequested:
    """The list of engines was requested from the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProbed:
    """An engine answered a probe, or did not answer in time.

    ``started_at_ms`` is the start time that the answering engine reported,
    ``run_events`` how many events it has made for the run, or None if it did
    not list the run. ``is_replaced`` tells that another engine has answered.
    ``asked_at`` is the monotonic time of the probe. ``via`` is the instance
    through which the answer came, and ``run_via`` that through which the run
    goes; each is empty for a direct connection.
    """

    exchange: int
    send: int
    alive: bool
    started_at_ms: int = engines.UNKNOWN_START
    run_events: int | None = None
    is_replaced: bool = False
    asked_at: float = float('-inf')
    via: str = ''
    run_via: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RunCopied:
    """A copy order ended; ``handle`` is empty if no copy was made."""

    exchange: int
    send: int
    target: str
    handle: str


@dataclasses.dataclass(frozen=True, slots=True)
class AddressProbed:
    """A probe of a lost engine's address has ended.

    ``new`` is the identity of the engine that answered, or empty if none did.
    ``is_replaced`` tells that it is another one, which may not say which.
    If it is still the same, ``started_at_ms`` is the start time it reported.
    ``has_model_memory`` is whether it was asked for the memory of a model
    engine, has it, and is not about to leave.
    """

    old: str
    new: str
    started_at_ms: int = engines.UNKNOWN_START
    has_model_memory: bool = False
    is_replaced: bool = False


class EngineFate(enum.Enum):
    """The state of an engine whose connections broke.

    ``ENDED`` means that nothing listens at its address or that it has
    restarted, and ``UNKNOWN`` that nothing answered.
    """

    ALIVE = 'alive'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineChecked:
    """The check whether an engine has ended is complete."""

    entry: engines.EngineEntry
    fate: EngineFate


@dataclasses.dataclass(frozen=True, slots=True)
class CrashesListed:
    """The crash reports in the store were read."""

    reports: tuple[crashes.CrashReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersListed:
    """The other instances were read from the list of instances."""

    members: tuple[hints.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHeard:
    """A heartbeat of another instance arrived, with its digests."""

    incarnation: str
    data_centre: str
    known: hints.Digests = hints.EMPTY_DIGESTS


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLeft:
    """Another instance is stopping or has restarted."""

    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerTold:
    """A hint from another instance arrived."""

    incarnation: str
    hint: hints.Hint


RelayEvent = (
    RequestArrived
    | EngineStated
    | AnswerStarted
    | StreamProgressed
    | StreamComplete
    | AnswerComplete
    | SendFailed
    | ConfigurationChecked
    | ConfigurationOffered
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
    | AddressProbed
    | MembersListed
    | PeerHeard
    | PeerLeft
    | PeerTold
    | forwarding_events.ForwardingEvent
    | events.CallerGone
    | events.TimerFired
    | events.PauseDetected
)
