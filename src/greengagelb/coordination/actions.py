"""Typed actions that decisions return; the transport carries them out."""

import dataclasses

from greengagelb.state import claims
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.state import limits
from greengagelb.state import requests


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt at an engine, on a connection used for it alone."""

    attempt: identity.AttemptId
    upstream: configuration_state.Upstream
    model: str
    version: str
    adapter: str
    prompt: str
    received: tuple[str, ...]
    most_tokens: int
    priority: configuration_state.Priority
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class AttachAttempt:
    """Stream a running attempt over a new connection, from ``position``."""

    attempt: identity.AttemptId
    upstream: configuration_state.Upstream
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the attempt's connection and tell its engine to stop it."""

    attempt: identity.AttemptId
    upstream: configuration_state.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class SendTokens:
    """Pass tokens to the caller, with a cursor sealed from ``point``."""

    exchange: int
    position: int
    tokens: tuple[str, ...]
    point: requests.ResumePoint


@dataclasses.dataclass(frozen=True, slots=True)
class SendRestart:
    """Tell the caller that its answer starts again from the beginning.

    ``point`` is before the first token of the new generation. A caller that
    loses its connection at this moment has discarded the old tokens, so its
    old cursor would no longer match what it holds.
    """

    exchange: int
    generation: int
    reason: str
    point: requests.ResumePoint


@dataclasses.dataclass(frozen=True, slots=True)
class SendEnd:
    """Tell the caller that its answer is complete."""

    exchange: int
    generation: int
    position: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailure:
    """Send the caller a final failure."""

    exchange: int
    failure: requests.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class SendAnswer:
    """Send a plain service's answer to the caller."""

    exchange: int
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write a claim row if its version is still ``expected_version``.

    Version 0 stands for a missing row. ``holder`` identifies the claim in the
    one event that reports the result.
    """

    holder: str
    key: str
    expected_version: int
    record: claims.ClaimRecord
    account: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchCall:
    """Send a call to a plain service, on a connection used for it alone.

    ``try_number`` counts from 1; only an idempotent call has several tries
    in flight.
    """

    exchange: int
    upstream: configuration_state.Upstream
    request: requests.CallRequest
    try_number: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonCall:
    """Close all connections of a call whose answer is no longer needed."""

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeUpstream:
    """Request an upstream's report over a new connection."""

    upstream: configuration_state.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send another instance a message about limits.

    An empty ``incarnation`` addresses all instances of the data centre.
    """

    incarnation: str
    message: limits.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Schedule ``TimerFired`` at ``deadline``, in monotonic seconds.

    Replaces a timer of the same name.
    """

    name: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClearTimer:
    """Cancel a timer; no effect if there is none."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Add an event to the time line; the transport adds stamp and process."""

    kind: str
    reason: str
    request: identity.RequestId | None = None
    generation: int = 0
    attempt: str = ''
    upstream: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class FinishStopping:
    """Exit the process, as nothing is in flight any more."""


Action = (
    StartAttempt
    | AttachAttempt
    | CancelAttempt
    | SendTokens
    | SendRestart
    | SendEnd
    | SendFailure
    | SendAnswer
    | WriteClaim
    | DispatchCall
    | AbandonCall
    | ProbeUpstream
    | SendPeerMessage
    | SetTimer
    | ClearTimer
    | Record
    | FinishStopping
)
