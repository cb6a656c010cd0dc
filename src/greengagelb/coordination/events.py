"""What can happen to an instance, as typed events.

Times are monotonic seconds of this process. Where bytes came from outside,
the protocol layer has validated them before they become an event.
"""

import dataclasses

from greengagelb.state import claims
from greengagelb.state import configuration as configuration_state
from greengagelb.state import crashes
from greengagelb.state import fleet
from greengagelb.state import identity
from greengagelb.state import limits
from greengagelb.state import requests


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationSubmitted:
    """A caller asks for a generation."""

    request: requests.GenerationRequest


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationResumed:
    """A caller comes back with a cursor and the tokens that it holds."""

    request: requests.GenerationRequest
    point: requests.ResumePoint
    received: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallSubmitted:
    """A caller asks for a call to a plain service."""

    request: requests.CallRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller's connection is gone; nobody waits for the answer."""

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAccepted:
    """The engine has begun to answer with an event stream."""

    attempt: identity.AttemptId
    said: limits.Said = limits.NOTHING_SAID


@dataclasses.dataclass(frozen=True, slots=True)
class TokensArrived:
    """Consecutive tokens; the first has position ``position``."""

    attempt: identity.AttemptId
    position: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The engine says that the generation is complete."""

    attempt: identity.AttemptId
    position: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The engine said no before it started; nothing ran."""

    attempt: identity.AttemptId
    code: str
    retry_after: float | None
    said: limits.Said = limits.NOTHING_SAID


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptBroken:
    """The attempt's connection ended before the generation did.

    ``handed_over`` is false only where no byte of the order was ever given
    to a transport.
    """

    attempt: identity.AttemptId
    detail: str
    handed_over: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """The engine confirms that the attempt no longer runs there."""

    attempt: identity.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class CancelFailed:
    """The engine did not confirm a cancellation."""

    attempt: identity.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReported:
    """An upstream answered a probe on a fresh connection."""

    engine: identity.EngineId
    model: str
    version: str
    adapter: str
    running: int
    queued: int
    step_seconds: float
    leaving: bool
    role: str = 'generate'


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoadsReceived:
    """Another instance passes on the loads of upstreams that it watches.

    The indices are those of the configuration in force here.
    """

    loads: tuple[fleet.UpstreamLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUnreachable:
    """An upstream did not answer a probe in time.

    ``refused`` tells that nobody listened at its address.
    """

    name: str
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReportsReceived:
    """Another instance tells of requests that crash engines."""

    reports: tuple[crashes.CrashReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCacheChanged:
    """An engine stored and dropped prefixes, named by their digests.

    Events come late and some are lost: ``sequence`` counts them from 1 for
    each incarnation.
    """

    engine: identity.EngineId
    sequence: int
    stored: tuple[str, ...]
    dropped: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """Some source says that an upstream is leaving; final per incarnation."""

    engine: identity.EngineId
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWritten:
    """The table service carried a write of a claim row out."""

    holder: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimConflicted:
    """The claim row had another version; ``row`` is what stands there.

    It may be the holder's own: an earlier write took effect and its answer
    was lost.
    """

    holder: str
    row: claims.ClaimRow


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWriteFailed:
    """The table service gave no answer to a write of a claim row.

    ``handed_over`` is false only where no byte of the write ever left;
    otherwise the write may have taken effect, or may yet.
    """

    holder: str
    handed_over: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswered:
    """A plain service's answer, matched by the echoed request id."""

    exchange: int
    status: int
    body: bytes
    try_number: int = 1
    said: limits.Said = limits.NOTHING_SAID


@dataclasses.dataclass(frozen=True, slots=True)
class CallBroken:
    """One try of a call ended without an answer.

    ``said`` is None where nothing was heard, and else from a refusal.
    """

    exchange: int
    detail: str
    handed_over: bool
    try_number: int = 1
    said: limits.Said | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """Some source has a configuration, perhaps an old one."""

    configuration: configuration_state.Configuration
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsHeld:
    """An instance that orders engines says which get no new work meanwhile.

    ``source`` is its incarnation; the names replace those it gave before.
    """

    source: str
    upstreams: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSizeChanged:
    """How many instances of this data centre may be serving, this one too."""

    live_instances: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeersChanged:
    """Which other instances may be serving, and their data centres."""

    peers: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Another instance says something about limits."""

    incarnation: str
    message: limits.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The platform asks this instance to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class PauseDetected:
    """The event loop woke ``seconds`` later than planned.

    The process was stopped or starved. Timers fire before sockets are read
    then, so silence until now proves nothing about any upstream.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set by a ``SetTimer`` action is due."""

    name: str


Event = (
    GenerationSubmitted
    | GenerationResumed
    | CallSubmitted
    | CallerGone
    | AttemptAccepted
    | TokensArrived
    | AttemptEnded
    | AttemptRefused
    | AttemptBroken
    | AttemptCancelled
    | CancelFailed
    | UpstreamReported
    | PeerLoadsReceived
    | CrashReportsReceived
    | EngineCacheChanged
    | UpstreamUnreachable
    | UpstreamLeaving
    | ClaimWritten
    | ClaimConflicted
    | ClaimWriteFailed
    | CallAnswered
    | CallBroken
    | ConfigurationOffered
    | UpstreamsHeld
    | FleetSizeChanged
    | PeersChanged
    | PeerMessageReceived
    | StopRequested
    | PauseDetected
    | TimerFired
)
