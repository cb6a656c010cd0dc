"""Requests as the decisions see them, and the final answers to them."""

import dataclasses
import enum

from greengagelb.state import configuration
from greengagelb.state import identity


class Ran(enum.Enum):
    """What is known of a request that did not succeed.

    ``NO`` is said only with proof: no byte of the request was ever handed to
    a transport, or the upstream refused it before starting.
    """

    NO = 'not-run'
    UNKNOWN = 'outcome-unknown'
    YES = 'ran'


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A streamed generation.

    ``exchange`` names the caller's connection within this process. Two
    connections that ask for the same request are two exchanges, and an
    answer goes to its exchange only. ``deadline`` is a monotonic time.
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
    """Whether the caller says that it never sent this key before."""
    priority: configuration.Priority = configuration.Priority.SHORT
    """The class that the caller asks for; never above its service's."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """A call to a plain service; ``body`` is passed through unread."""

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
    """Where a caller's stream broke off, as its sealed cursor says.

    ``position`` counts the tokens that the caller holds; ``chain`` is the
    running digest over them, so that tokens of another generation can't be
    passed off as these. ``engine`` and ``attempt`` tell where the generation
    ran, ``model``, ``version`` and ``adapter`` what made its tokens, and
    ``request_digest`` what was asked for.
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
    """The final answer to a request that the system has given up on.

    ``retry_after`` in seconds is None where coming back does not help.
    """

    code: str
    ran: Ran
    detail: str
    retry_after: float | None = None
