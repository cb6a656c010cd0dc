"""Actions that result from decisions about relayed requests.

Timers and timeline events are those of
:mod:`greengagelb.coordination.actions`.
"""

import dataclasses
import enum

from greengagelb.coordination import actions
from greengagelb.state import crashes
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a request to an engine, on a connection of its own.

    ``deadline`` is a monotonic time. ``resume_after`` is the number of the
    last event that the caller has. ``copy_from`` names a copy of the run's
    memory that the engine holds, and ``copy_to`` is the engine to which the
    run's memory is copied as it grows. ``fresh`` requires a new connection: an
    idle one may be broken without either end having noticed. Retries require
    one too, as what failed the first attempt may have broken others.
    ``is_resumable`` tells that another engine may go on with its stream.
    """

    exchange: int
    send: int
    engine: engines.EngineEntry
    request: requests.CallerRequest
    account: str
    priority: int
    deadline: float
    stream: bool
    resume_after: int | None = None
    copy_from: requests.CopyName | None = None
    copy_to: engines.EngineEntry | None = None
    fresh: bool = False
    is_resumable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonSend:
    """Close the connection of a send, which makes its engine stop."""

    exchange: int
    send: int


@dataclasses.dataclass(frozen=True, slots=True)
class PassAnswer:
    """Pass an engine's complete answer to the caller, unchanged."""

    exchange: int
    head: requests.AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BeginStream:
    """Start a streamed answer with the head of the engine's answer."""

    exchange: int
    head: requests.AnswerHead


@dataclasses.dataclass(frozen=True, slots=True)
class PassEvents:
    """Pass complete events of a stream to the caller, unchanged."""

    exchange: int
    events: tuple[requests.StreamEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndStream:
    """End a streamed answer as complete."""

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True)
class AbortStream:
    """Reset the caller's connection, as its answer can't be completed.

    ``code`` is the reason, for the timeline.
    """

    exchange: int
    code: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Send the caller a final answer made by this instance, at once.

    ``status`` 408, 421, 429 and 503 promise that the request has not run and
    never will; after 502 and 504 it may have run. ``retry_after`` is in
    seconds.
    """

    exchange: int
    status: int
    code: str
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeEngine:
    """Probe an engine with an overdue event, on a separate connection.

    Results in exactly one ``EngineProbed`` within the time of a probe.
    ``request_id`` names the run that the engine is asked about.
    """

    exchange: int
    send: int
    engine: engines.EngineEntry
    request_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CheckEngine:
    """Check on a new connection whether an engine has ended.

    Results in exactly one ``EngineChecked`` within the time of a probe.
    """

    entry: engines.EngineEntry


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRun:
    """Have an engine copy a run's memory to another one.

    Results in exactly one ``RunCopied``.
    """

    exchange: int
    send: int
    request_id: str
    source: engines.EngineEntry
    target: engines.EngineEntry


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAddress:
    """Ask which engine answers at the address of a lost one.

    Results in one ``AddressProbed``. If the engine ``may_be_another_service``,
    it is also asked whether it has the memory of a model engine.
    """

    entry: engines.EngineEntry
    path: str
    may_be_another_service: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AskStart:
    """Ask an engine on a new connection for the start of its life.

    Results in one ``AddressProbed`` of the same engine, with an unknown start
    if there is no answer.
    """

    entry: engines.EngineEntry


@dataclasses.dataclass(frozen=True, slots=True)
class TellPeers:
    """Send a hint to all other instances.

    One that ``may_wait`` is sent later, with other hints.
    """

    hint: hints.Hint
    may_wait: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TellPeer:
    """Send a hint to one other instance."""

    incarnation: str
    hint: hints.Hint


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCrashReport:
    """Write the crash report of a request to the store."""

    report: crashes.CrashReport


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteCrashReport:
    """Delete the crash report of a request from the store."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class BroadcastHints:
    """Send hints to all other instances, to remote ones through forwarders.

    Some instances of each remote data centre forward them there. Used for
    hints that take many datagrams at once and must not be lost: sent directly
    to hundreds of instances, they would fill the sender's link. The hints of
    one action arrive in order.
    """

    hints: tuple[hints.Hint, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RescheduleStoreRead:
    """Check again when the store is to be read next."""


class DurationKind(enum.Enum):
    """The durations that have a histogram."""

    FIRST_EVENT = 'first-event'
    RESUME = 'resume'
    CALL = 'call'


@dataclasses.dataclass(frozen=True, slots=True)
class ObserveDuration:
    """Add a duration in seconds to its histogram."""

    kind: DurationKind
    seconds: float


RelayAction = (
    Send
    | AbandonSend
    | PassAnswer
    | BeginStream
    | PassEvents
    | EndStream
    | AbortStream
    | Refuse
    | ProbeEngine
    | CheckEngine
    | CopyRun
    | ProbeAddress
    | AskStart
    | TellPeers
    | TellPeer
    | StoreCrashReport
    | DeleteCrashReport
    | BroadcastHints
    | RescheduleStoreRead
    | ObserveDuration
    | actions.SetTimer
    | actions.ClearTimer
    | actions.Record
    | actions.FinishStopping
)
