"""Relayed requests and the answers to them."""

import dataclasses

from greengagelb.state import limits
from greengagelb.state.relay import engines
from greengagelb.state.relay import routes

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What a generation reads and may make, in tokens.

    ``own_part`` names the last part of the prompt, which no other
    conversation shares; an engine that has it in memory need not read the
    prompt again.
    """

    tokens: int
    most_new_tokens: int
    own_part: str = ''

    @property
    def max_memory_tokens(self) -> int:
        """Return the tokens that a run keeps in memory at its end."""
        return self.tokens + self.most_new_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class CopyName:
    """Names a copy of a run's memory, as the engines know it.

    A copy that an engine sends along as the run grows is named by its
    holder's address and the request's id; one that was ordered by the
    source's address and the handle that the source gave.
    """

    address: engines.Address
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request as a caller sent it.

    ``headers`` are those that are passed on as they are. ``deadline`` is the
    monotonic time at which the caller stops waiting, ``received_at`` that at
    which the request's head was in. ``resumes_after`` is the number of the
    last event that the caller has of a broken stream.
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

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b'?', 1)[0].decode('latin-1')


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an engine's answer.

    ``sealed`` says whether the engine signed the answer; ``not_run`` whether
    it promises that it has not run the request and never will. ``engine`` is
    the engine that answered, where it says so. ``limit`` is what it says of
    the requests a second that it takes.
    """

    status: int
    reason: bytes
    headers: Headers
    sealed: bool
    not_run: bool
    load: engines.EngineLoad | None = None
    engine: str = ''
    limit: limits.AdvertisedLimit = None

    @property
    def is_success(self) -> bool:
        """Return whether the status tells of success."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event of a stream, byte for byte; ``number`` counts them."""

    number: int
    raw: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ruling:
    """What a request's route and account make of it."""

    route: routes.Route
    service: routes.Service
    account: str
    priority: int
    deadline: float
