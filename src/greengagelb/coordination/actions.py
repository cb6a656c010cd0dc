"""What a decision wants done, as typed actions carried out with ``match``."""

import dataclasses

from greengagelb.state import claims
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.state import limits
from greengagelb.state import requests


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt:
    """Have an engine generate, on a fresh or idle connection of its own."""

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
    """Stream an attempt that already runs, over a new connection."""

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
    """Tell the caller that its answer starts afresh.

    ``point`` stands before the first token of the new generation: a caller
    that loses its connection right here has discarded the old tokens, and
    its old cursor would no longer fit what it holds.
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
    """Give the caller its final answer at once."""

    exchange: int
    failure: requests.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class SendAnswer:
    """Pass a plain service's answer to the caller."""

    exchange: int
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write a claim row if it still has ``expected_version``.

    Version 0 stands for a row that is not there. ``holder`` names the claim
    in the event that answers this, of which there is exactly one.
    """

    holder: str
    key: str
    expected_version: int
    record: claims.ClaimRecord
    account: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchCall:
    """Hand a call to a plain service, on a connection used for it alone.

    ``try_number`` counts from 1; only an idempotent call has several tries
    under way at a time.
    """

    exchange: int
    upstream: configuration_state.Upstream
    request: requests.CallRequest
    try_number: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonCall:
    """Close all connections of a call that nobody waits for any more."""

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeUpstream:
    """Ask an upstream for its report over a fresh connection."""

    upstream: configuration_state.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Tell another instance something about limits.

    All instances of the data centre where ``incarnation`` is empty.
    """

    incarnation: str
    message: limits.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Fire ``TimerFired`` at a monotonic time; replaces one of that name."""

    name: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClearTimer:
    """Forget a timer; harmless where there is none."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Put an event on the time line; the transport adds stamp and process."""

    kind: str
    reason: str
    request: identity.RequestId | None = None
    generation: int = 0
    attempt: str = ''
    upstream: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class FinishStopping:
    """Nothing is in flight any more: the process may exit."""


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
