"""A running generation, as tracked by the instance that serves it."""

import dataclasses
import hashlib

from greengagelb import errors
from greengagelb.state import attempts
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests

DIGEST_BYTES = 16
EMPTY_CHAIN = bytes(DIGEST_BYTES)


def extend_chain(chain: bytes, tokens: tuple[str, ...]) -> bytes:
    """Return the running digest after ``tokens``; 16 bytes.

    Each token is hashed with its length, so that token sequences with the
    same concatenation get different digests.
    """
    for token in tokens:
        token_bytes = token.encode()
        digest = hashlib.blake2b(chain, digest_size=DIGEST_BYTES)
        digest.update(len(token_bytes).to_bytes(4, 'big'))
        digest.update(token_bytes)
        chain = digest.digest()
    return chain


def hash_request(request: requests.GenerationRequest) -> bytes:
    """Return a digest of a generation request's content; 16 bytes.

    Without this check a caller that resumes with another prompt would get the
    beginning of one answer and the end of another.
    """
    hashed_fields = (request.service, request.prompt, str(request.most_tokens))
    return extend_chain(EMPTY_CHAIN, hashed_fields)


@dataclasses.dataclass(slots=True)
class Stream:
    """One exchange's generation.

    ``pool`` does not follow configuration changes: its model, version and
    adapter are those of every token in ``tokens``. ``spare`` runs beside a
    suspected attempt; the one that delivers the next token first is kept.
    One of the two is ended at ``overlap_until`` if none has; ``overlap_read``
    is as ``confirming`` of an attempt. ``vain_spares`` counts spares that were
    ended unanswered since the last token; the next one starts no earlier than
    ``next_spare_at``.
    ``silences`` counts attempts that were silent and did not go on so far; no
    second attempt starts once they and the deaths exceed the allowed deaths.
    ``recover_by`` is the monotonic time by which output has to continue,
    else the final answer is sent. ``may_have_run`` is true once an engine may
    have worked on this request.

    Invariant: ``position`` equals the number of tokens sent to the caller
    and of those kept in ``tokens``; all of them belong to ``generation``.
    """

    request: requests.GenerationRequest
    service: configuration.Service
    pool: configuration.Pool
    request_digest: bytes
    generation: int = 1
    tokens: list[str] = dataclasses.field(default_factory=list)
    chain: bytes = EMPTY_CHAIN
    attempt: attempts.Attempt | None = None
    spare: attempts.Attempt | None = None
    engine_deaths: int = 0
    silences: int = 0
    overlap_until: float = float('inf')
    overlap_read: bool = False
    vain_spares: int = 0
    next_spare_at: float = float('-inf')
    excluded: set[str] = dataclasses.field(default_factory=set)
    recover_by: float | None = None
    may_have_run: bool = False

    @property
    def position(self) -> int:
        """Return the position of the next token."""
        return len(self.tokens)

    @property
    def upstream(self) -> configuration.Upstream | None:
        """Return the upstream of the current attempt, if there is one."""
        return self.attempt.upstream if self.attempt else None

    @property
    def is_complete(self) -> bool:
        """Return whether all requested tokens are there."""
        return self.position >= self.request.most_tokens

    @property
    def would_run_twice(self) -> bool:
        """Return whether a new attempt could run a request twice in error.

        That applies to services that are not idempotent. A continuation after
        the first token belongs to the same generation; before the first token
        a continuation can't be distinguished from a second run.
        """
        before_first_token = not self.position and self.may_have_run
        return before_first_token and not self.service.idempotent

    @property
    def execution_status(self) -> requests.Ran:
        """Return whether the request has run, if the stream ended now."""
        if self.position:
            return requests.Ran.YES
        if self.may_have_run or self.active_attempts():
            return requests.Ran.UNKNOWN
        return requests.Ran.NO

    def append_tokens(self, position: int, tokens: tuple[str, ...]) -> None:
        """Append tokens that must start at the current position."""
        if position != self.position:
            raise errors.InvariantViolated(
                f'next token position is {self.position}, got {position}'
            )
        self.tokens.extend(tokens)
        self.chain = extend_chain(self.chain, tokens)
        self.vain_spares = 0
        self.next_spare_at = float('-inf')

    def restart_generation(self, pool: configuration.Pool) -> None:
        """Begin a new generation and discard the tokens of the old one."""
        if not self.service.idempotent:
            raise errors.InvariantViolated(
                'restart of a request that is not idempotent'
            )
        self.generation += 1
        self.pool = pool
        self.tokens.clear()
        self.chain = EMPTY_CHAIN

    def active_attempts(self) -> list[attempts.Attempt]:
        """Return the current attempt and the spare, as far as they exist."""
        candidates = (self.attempt, self.spare)
        return [attempt for attempt in candidates if attempt is not None]

    def find_attempt(
        self, attempt_id: identity.AttemptId
    ) -> attempts.Attempt | None:
        """Return the current or spare attempt with this id, or None."""
        if self.attempt and self.attempt.attempt_id == attempt_id:
            return self.attempt
        if self.spare and self.spare.attempt_id == attempt_id:
            return self.spare
        return None

    def build_resume_point(self) -> requests.ResumePoint:
        """Return what a caller needs to resume through any instance."""
        attempt = self.attempt
        if attempt is None:
            raise errors.InvariantViolated('no attempt to resume')
        return requests.ResumePoint(
            request=self.request.request,
            generation=self.generation,
            attempt=attempt.attempt_id.attempt,
            engine=identity.EngineId(
                attempt.upstream.name, attempt.incarnation
            ),
            position=self.position,
            chain=self.chain,
            model=self.pool.model,
            version=self.pool.version,
            adapter=self.pool.adapter,
            request_digest=self.request_digest,
            engine_deaths=self.engine_deaths,
        )
