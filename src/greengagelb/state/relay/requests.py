"""Relayed requests and the answers to them."""

import dataclasses

from greengagelb.state import limits
from greengagelb.state import statements
from greengagelb.state.relay import engines
from greengagelb.state.relay import routes

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a generation's prompt and of its output, in tokens.

    ``own_part`` identifies the last part of the prompt, which no other
    conversation shares; an engine that has it in memory does not need to
    read the prompt again.
    """

    tokens: int
    most_new_tokens: int
    own_part: str = ''

    @property
    def max_memory_tokens(self) -> int:
        """Return the most tokens that a run can hold in memory."""
        return self.tokens + self.most_new_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class CopyName:
    """Name of a copy of a run's memory, as the engines use it.

    A copy that an engine sends continuously as the run grows is named by the
    address of its holder and the request's id; a copy that was ordered, by
    the address of its source and the handle that the source returned.
    """

    address: engines.Address
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request as received from a caller.

    ``headers`` are those that are passed on unchanged. ``deadline`` is the
    monotonic time at which the caller stops waiting, ``received_at`` that at
    which the head of the request was complete. ``resumes_after`` is the
    number of the last event that the caller has of a broken stream.
    ``shared_parts`` identifies the parts of the prompt, in their order, that
    other requests may have as well: all but the last one.
    """

    exchange: int
    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    request_id: str
    key: str | None
    received_at: float
    deadline: float
    resumes_after: int | None = None
    prompt: Prompt | None = None
    shared_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b'?', 1)[0].decode('latin-1')


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an engine's answer.

    ``sealed`` tells whether the engine signed the answer; ``not_run`` whether
    it guarantees that it has not run the request and never will. ``engine``
    is the identity of the engine if the answer contains it. ``limit`` is the
    advertised limit in requests per second, and ``statement`` what the engine
    states about itself besides.
    """

    status: int
    reason: bytes
    headers: Headers
    sealed: bool
    not_run: bool
    load: engines.EngineLoad | None = None
    engine: str = ''
    limit: limits.AdvertisedLimit = None
    statement: statements.Statement = statements.NO_STATEMENT

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event of a stream as raw bytes, with its number."""

    number: int
    raw: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ruling:
    """How a request is handled, decided by its route and account."""

    route: routes.Route
    service: routes.Service
    account: str
    priority: int
    deadline: float
