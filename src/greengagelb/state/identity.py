"""Identifiers of requests, attempts and engines.

Identifiers from callers are scoped by their client account, so that another
account can't refer to a request by guessing its id.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestId:
    """A caller's request; ``request`` is unique within ``account`` only."""

    account: str
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """One attempt of an engine at one generation of a request.

    ``generation`` counts from 1 and increases only when an answer restarts
    from its beginning. ``attempt`` consists of the incarnation of the
    instance that started the attempt and a counter, so it is unique across
    instances.
    """

    request: RequestId
    generation: int
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineId:
    """One incarnation of an upstream.

    An engine that restarts keeps its name and gets a new incarnation. State
    known about the old incarnation does not apply to the new one.
    """

    name: str
    incarnation: str
