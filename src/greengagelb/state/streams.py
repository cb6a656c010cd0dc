"""A running generation as the instance that serves it knows it."""

import dataclasses
import hashlib

from greengagelb import errors
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests

EMPTY_CHAIN = bytes(16)


def extend_chain(chain: bytes, tokens: tuple[str, ...]) -> bytes:
    """Return the running digest after ``tokens``; 16 bytes.

    Each token is hashed with its length, so that no two different token
    sequences share a digest by running together.
    """
    for token in tokens:
        raw = token.encode()
        digest = hashlib.blake2b(chain, digest_size=16)
        digest.update(len(raw).to_bytes(4, 'big'))
        digest.update(raw)
        chain = digest.digest()
    return chain


@dataclasses.dataclass(slots=True)
class Stream:
    """One exchange's generation.

    Invariants: ``position`` equals the number of tokens sent to the caller
    and of those kept in ``tokens``; all of them belong to ``generation``.
    """

    request: requests.GenerationRequest
    service: configuration.Service
    pool: configuration.Pool
    generation: int = 1
    tokens: list[str] = dataclasses.field(default_factory=list)
    chain: bytes = EMPTY_CHAIN
    attempt: identity.AttemptId | None = None
    upstream: configuration.Upstream | None = None
    incarnation: str = ''
    engine_deaths: int = 0
    attached_again: bool = False
    excluded: set[str] = dataclasses.field(default_factory=set)

    @property
    def position(self) -> int:
        """Return the position of the next token."""
        return len(self.tokens)

    def accept(self, position: int, tokens: tuple[str, ...]) -> None:
        """Append tokens that must follow on exactly from what is there."""
        if position != self.position:
            raise errors.InvariantViolated(
                f'next token position is {self.position}, got {position}'
            )
        self.tokens.extend(tokens)
        self.chain = extend_chain(self.chain, tokens)

    def start_afresh(self) -> None:
        """Begin a new generation; nothing of the old one is kept."""
        self.generation += 1
        self.tokens.clear()
        self.chain = EMPTY_CHAIN

    def resume_point(self) -> requests.ResumePoint:
        """Return what a caller needs to come back through any instance."""
        if self.attempt is None or self.upstream is None:
            raise errors.InvariantViolated('no attempt to resume')
        return requests.ResumePoint(
            request=self.request.request,
            generation=self.generation,
            attempt=self.attempt.attempt,
            engine=identity.EngineId(self.upstream.name, self.incarnation),
            position=self.position,
            chain=self.chain,
            version=self.pool.serves.label,
            engine_deaths=self.engine_deaths,
        )
