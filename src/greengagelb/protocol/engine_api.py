"""Messages between an instance and an engine, over HTTP.

======================== ==================================================
``POST /v1/generate``     :class:`GenerateOrder`; answers with an event
                          stream of :class:`TokenBatch` (event ``tokens``)
                          and one :class:`AttemptEnded` (event ``ended``)
``POST /v1/attach``       :class:`AttachOrder`; the same stream of a running
                          or just ended attempt, from a position on
``POST /v1/cancel``       :class:`CancelOrder` -> :class:`CancelAnswer`
``GET /v1/report``        :class:`EngineReport`
``POST /v1/target``       :class:`TargetOrder` -> :class:`EngineReport`, or
                          409 :class:`Refusal` ``stale-fencing-number``
======================== ==================================================

An engine refuses with a status of 400 or more and a :class:`Refusal`; a
refusal before the event stream starts means that nothing ran. After any other
answer without an event stream the attempt may have run. An engine that is
asked to attach to an attempt that it does not have refuses with
``unknown-attempt``; any other refusal there turns only the connection away.

An overloaded engine advertises in each answer to ``generate`` and ``attach``,
including refusals, how many of these requests per second it accepts from all
instances together: ``X-Request-Limit``, a decimal number, and
``X-Incarnation``. The limit applies until an answer does not contain it, or
another incarnation answers.

In any answer an engine may state that it is about to end (``X-Leaving: 1``).
One that turns a request away with 503 may state that it wants no others from
this instance for some seconds (``Retry-After``, a decimal number).
"""

import msgspec


class GenerateOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Start a generation, or continue one after its existing tokens.

    Positions count from 0; the first new token has position
    ``len(received)``. ``deadline_seconds`` is the time left until the
    caller's deadline; it is relative as clocks of two machines may differ.
    """

    account: str
    request: str
    generation: int
    attempt: str
    model: str
    version: str
    adapter: str
    prompt: str
    received: list[str]
    most_tokens: int
    priority: int
    deadline_seconds: float


class AttachOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Stream an attempt that this engine already has, from ``position`` on."""

    account: str
    request: str
    generation: int
    attempt: str
    position: int


class CancelOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Stop an attempt; the operation is idempotent."""

    account: str
    request: str
    generation: int
    attempt: str


class CancelAnswer(msgspec.Struct, frozen=True):
    """``was_running`` is false if the attempt was unknown or had ended."""

    was_running: bool


class TokenBatch(msgspec.Struct, frozen=True):
    """Consecutive tokens; the first has position ``position``."""

    generation: int
    attempt: str
    position: int
    tokens: list[str]


class AttemptEnded(msgspec.Struct, frozen=True):
    """The attempt has ended with ``position`` tokens, prior ones included.

    ``reason`` is ``stop``, ``length`` or ``cancelled``.
    """

    generation: int
    attempt: str
    position: int
    reason: str


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report about itself; the load may be out of date.

    ``step_seconds`` is its current time per token; ``steps`` and
    ``prompt_tokens`` count its work since its start.
    """

    name: str
    incarnation: str
    model: str
    version: str
    adapter: str
    running: int
    queued: int
    step_seconds: float
    steps: int
    prompt_tokens: int
    leaving: bool
    role: str = 'generate'
    fencing_number: int = 0


class TargetOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The model, version, adapter and role that the engine is to have."""

    fencing_number: int
    model: str
    version: str
    adapter: str
    role: str


class Refusal(msgspec.Struct, frozen=True):
    """Why an engine or a plain service refused a request."""

    code: str
    detail: str
    retry_after: float | None = None
