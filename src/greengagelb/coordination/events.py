"""Typed events that an instance decides on.

Times are monotonic seconds of this process. The protocol layer validates
external input before it becomes an event.
"""

import dataclasses

from greengagelb.state import claims
from greengagelb.state import configuration as configuration_state
from greengagelb.state import crashes
from greengagelb.state import fleet
from greengagelb.state import identity
from greengagelb.state import limits
from greengagelb.state import requests
from greengagelb.state import statements


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationSubmitted:
    """A caller requests a generation."""

    request: requests.GenerationRequest


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationResumed:
    """A caller resumes a stream with its cursor and the tokens received."""

    request: requests.GenerationRequest
    point: requests.ResumePoint
    received: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallSubmitted:
    """A caller requests a call to a plain service."""

    request: requests.CallRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has disconnected and no longer waits for the answer."""

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStated:
    """The head of an answer states something about the upstream.

    ``incarnation`` is empty if the answer does not contain it. The request was
    sent at the monotonic time ``asked_at``; ``request`` is the caller's, None
    if this instance asked by itself. The event precedes all others of the
    answer.
    """

    upstream: str
    incarnation: str
    statement: statements.Statement
    status: int
    asked_at: float
    request: identity.RequestId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAccepted:
    """The engine has started to answer with an event stream."""

    attempt: identity.AttemptId
    said: limits.UpstreamAdvertisement = limits.NO_ADVERTISEMENT


@dataclasses.dataclass(frozen=True, slots=True)
class TokensArrived:
    """Consecutive tokens; the first has position ``position``."""

    attempt: identity.AttemptId
    position: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The engine reports that the generation is complete."""

    attempt: identity.AttemptId
    position: int
    reason: str


# The code with which an engine that is asked for an attempt again says that it
# does not have it.
UNKNOWN_ATTEMPT = 'unknown-attempt'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The engine refused the attempt before it started; nothing ran.

    Where it was asked for an attempt again, only ``UNKNOWN_ATTEMPT`` says that
    the attempt is lost.
    """

    attempt: identity.AttemptId
    code: str
    retry_after: float | None
    said: limits.UpstreamAdvertisement = limits.NO_ADVERTISEMENT


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The engine answered with a failure of its own.

    Unlike a refusal it does not say that nothing ran.
    """

    attempt: identity.AttemptId
    code: str
    said: limits.UpstreamAdvertisement = limits.NO_ADVERTISEMENT


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptBroken:
    """The attempt's connection ended before the generation did.

    ``handed_over`` is false only if no byte of the order was ever written to
    a transport. ``unreachable`` tells that no connection could be opened and
    none was refused, so that the engine may be working all the same.
    """

    attempt: identity.AttemptId
    detail: str
    handed_over: bool
    unreachable: bool = False


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
    """An upstream answered a probe over a new connection."""

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
    """Another instance reports the loads of upstreams that it watches.

    The indices refer to the configuration in force here.
    """

    loads: tuple[fleet.UpstreamLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUnreachable:
    """An upstream did not answer a probe in time.

    ``refused`` is true if no process listened at its address.
    """

    name: str
    refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReportsReceived:
    """Another instance reports requests that crash engines."""

    reports: tuple[crashes.CrashReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCacheChanged:
    """An engine stored and evicted prefixes, identified by their digests.

    Events may arrive late or be lost: ``sequence`` numbers them from 1 within
    each incarnation.
    """

    engine: identity.EngineId
    sequence: int
    stored: tuple[str, ...]
    dropped: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream is reported to be leaving; final for its incarnation."""

    engine: identity.EngineId
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWritten:
    """The table service applied a write of a claim row."""

    holder: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimConflicted:
    """The claim row had another version; ``row`` is its current content.

    It may be the holder's own, if an earlier write took effect and its answer
    was lost.
    """

    holder: str
    row: claims.ClaimRow


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWriteFailed:
    """The table service gave no answer to a write of a claim row.

    ``handed_over`` is false only if no byte of the write was sent; otherwise
    the write may have taken effect or may still do so.
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
    said: limits.UpstreamAdvertisement = limits.NO_ADVERTISEMENT


@dataclasses.dataclass(frozen=True, slots=True)
class CallBroken:
    """One try of a call ended without an answer.

    ``said`` is None if there was no answer, and comes from a refusal
    otherwise.
    """

    exchange: int
    detail: str
    handed_over: bool
    try_number: int = 1
    said: limits.UpstreamAdvertisement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """A source offers a configuration, which may be outdated."""

    configuration: configuration_state.Configuration
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsHeld:
    """An instance that sends orders to engines excludes some from new work.

    ``source`` is its incarnation; ``upstreams`` replaces its previous set.
    """

    source: str
    upstreams: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSizeChanged:
    """The number of instances of this data centre that may be serving.

    This instance is included.
    """

    live_instances: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeersChanged:
    """The other instances that may be serving, with their data centres."""

    peers: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message of another instance about limits."""

    incarnation: str
    message: limits.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The platform requests this instance to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class PauseDetected:
    """The event loop woke ``seconds`` later than planned.

    The process was stopped or got too little processor time. Timers then fire
    before sockets are read, so silence until now proves nothing about any
    upstream.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by a ``SetTimer`` action has fired."""

    name: str


Event = (
    GenerationSubmitted
    | GenerationResumed
    | CallSubmitted
    | CallerGone
    | UpstreamStated
    | AttemptAccepted
    | TokensArrived
    | AttemptEnded
    | AttemptRefused
    | AttemptFailed
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
