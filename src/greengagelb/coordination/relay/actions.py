"""What decisions about relayed requests want done.

Timers and time line entries are those of
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
    """Send a request to an engine, on a connection that it has alone.

    ``deadline`` is monotonic. ``resume_after`` is the number of the last
    event that the caller has. ``copy_from`` names a copy of the run's memory
    that the engine holds, and ``copy_to`` the engine to which the run's
    memory is to be copied as it grows. ``fresh`` asks for a new connection:
    an idle one may be dead without anybody having been told.
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


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonSend:
    """Close the connection of a send; its engine then stops the work."""

    exchange: int
    send: int


@dataclasses.dataclass(frozen=True, slots=True)
class PassAnswer:
    """Give the caller an engine's whole answer, unchanged."""

    exchange: int
    head: requests.AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BeginStream:
    """Begin a streamed answer with the head of the engine's."""

    exchange: int
    head: requests.AnswerHead


@dataclasses.dataclass(frozen=True, slots=True)
class PassEvents:
    """Pass on whole events of a stream, unchanged."""

    exchange: int
    events: tuple[requests.StreamEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndStream:
    """End a streamed answer as complete."""

    exchange: int


@dataclasses.dataclass(frozen=True, slots=True)
class AbortStream:
    """Reset the caller's connection: its answer can't be completed.

    ``code`` tells why, on the time line.
    """

    exchange: int
    code: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller a final answer of our own, at once.

    ``status`` 408, 421, 429 and 503 promise that the request has not run and
    never will. ``retry_after`` is in seconds.
    """

    exchange: int
    status: int
    code: str
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeEngine:
    """Ask an engine for a sign of life, on a connection of its own.

    Answered by exactly one ``EngineProbed`` within the time of a probe.
    """

    exchange: int
    send: int
    engine: engines.EngineEntry


@dataclasses.dataclass(frozen=True, slots=True)
class CheckEngine:
    """Ask an engine whether it has ended, on a new connection.

    Answered by exactly one ``EngineChecked`` within the time of a probe.
    """

    entry: engines.EngineEntry


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRun:
    """Have an engine copy a run's memory to another one.

    Answered by exactly one ``RunCopied``.
    """

    exchange: int
    send: int
    request_id: str
    source: engines.EngineEntry
    target: engines.EngineEntry


@dataclasses.dataclass(frozen=True, slots=True)
class AskSuccessor:
    """Ask who answers at the address of an engine that was lost.

    If it ``may_be_another_service`` it is asked too whether it has the memory
    of a model engine.
    """

    entry: engines.EngineEntry
    path: str
    may_be_another_service: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TellPeers:
    """Give a hint to all other instances."""

    hint: hints.Hint


@dataclasses.dataclass(frozen=True, slots=True)
class TellPeer:
    """Give a hint to one other instance."""

    incarnation: str
    hint: hints.Hint


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCrashReport:
    """Have the store keep what is known of a request."""

    report: crashes.CrashReport


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteCrashReport:
    """Have the store keep nothing of a request any more."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardHints:
    """Give hints to all others; those far away get them from one near them.

    For what is many datagrams at once, and missed by its receivers if it is
    lost: sent to each of hundreds it would fill the link of its sender. Hints
    of one action arrive in their order.
    """

    hints: tuple[hints.Hint, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RescheduleStoreRead:
    """Look whether the store is to be read sooner than was known."""


class DurationKind(enum.Enum):
    """Times that are worth a histogram."""

    FIRST_EVENT = 'first-event'
    RESUME = 'resume'
    CALL = 'call'


@dataclasses.dataclass(frozen=True, slots=True)
class ObserveDuration:
    """Put a time into its histogram, in seconds."""

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
    | AskSuccessor
    | TellPeers
    | TellPeer
    | StoreCrashReport
    | DeleteCrashReport
    | ForwardHints
    | RescheduleStoreRead
    | ObserveDuration
    | actions.SetTimer
    | actions.ClearTimer
    | actions.Record
    | actions.FinishStopping
)
