"""Names of requests and attempts.

Everything that belongs to a caller is scoped by its client account, so that
an id guessed by another account names nothing.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestId:
    """A caller's request; ``request`` is unique within ``account`` only."""

    account: str
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """One try of one engine at one generation of a request.

    ``generation`` counts from 1 and grows only when an answer starts afresh.
    ``attempt`` holds the incarnation of the instance that started the attempt
    and a counter, so that no two instances ever make the same one.
    """

    request: RequestId
    generation: int
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineId:
    """An upstream as it is since its last start.

    An engine that restarts keeps its name and takes a new incarnation; what
    was known of the old incarnation says nothing about the new one.
    """

    name: str
    incarnation: str
