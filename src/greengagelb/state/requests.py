"""Requests as the decision code sees them, and their final answers."""

import dataclasses
import enum

from greengagelb.state import configuration
from greengagelb.state import identity


class Ran(enum.Enum):
    """Whether a request that did not succeed has run.

    ``NO`` requires proof: no byte of the request was ever handed to a
    transport, or the upstream refused it before it started.
    """

    NO = 'not-run'
    UNKNOWN = 'outcome-unknown'
    YES = 'ran'


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A streamed generation.

    ``shared_parts`` are the parts of the prompt that other requests may have
    as well: all of its messages but the last.

    ``exchange`` identifies the caller's connection within this process. Two
    connections with the same request are two exchanges, and an answer goes
    to its own exchange only. ``deadline`` is a monotonic time.
    """

    exchange: int
    request: identity.RequestId
    service: str
    prompt: str
    most_tokens: int
    deadline: float
    has_idempotency_key: bool = False
    """Whether the caller, rather than this process, chose the request id."""
    first_send: bool = False
    """Whether the caller states that it never sent this key before."""
    priority: configuration.Priority = configuration.Priority.SHORT
    """The requested priority; limited to that of the service."""
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """A call to a plain service; ``body`` is passed through unchanged."""

    exchange: int
    request: identity.RequestId
    service: str
    operation: str
    body: bytes
    deadline: float
    has_idempotency_key: bool = False
    first_send: bool = False
    priority: configuration.Priority = configuration.Priority.SHORT


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where a caller's stream was interrupted, as stated by its cursor.

    ``position`` is the number of tokens that the caller has; ``chain`` is the
    running digest over them, so that tokens of another generation are not
    accepted in their place. ``engine`` and ``attempt`` identify where the
    generation ran; ``model``, ``version`` and ``adapter`` what generated its
    tokens; ``request_digest`` the request's content.
    """

    request: identity.RequestId
    generation: int
    attempt: str
    engine: identity.EngineId
    position: int
    chain: bytes
    model: str
    version: str
    adapter: str
    request_digest: bytes
    engine_deaths: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The final answer to a request that is not attempted any more.

    ``retry_after`` is in seconds, or None if a retry would not help.
    """

    code: str
    ran: Ran
    detail: str
    retry_after: float | None = None
