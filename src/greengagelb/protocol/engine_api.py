"""Messages between an instance and an engine, over HTTP.

======================== ==================================================
``POST /v1/generate``     :class:`GenerateOrder`; answers with an event
                          stream of :class:`TokenBatch` (event ``tokens``)
                          and one :class:`Ended` (event ``ended``)
``POST /v1/attach``       :class:`AttachOrder`; the same stream of a running
                          or just ended attempt, from a position on
``POST /v1/cancel``       :class:`CancelOrder` -> :class:`CancelAnswer`
``GET /v1/report``        :class:`EngineReport`
``POST /v1/target``       :class:`TargetOrder` -> :class:`EngineReport`, or
                          409 :class:`Refusal` ``stale-fencing-number``
======================== ==================================================

An engine refuses with a status of 400 or more and a :class:`Refusal`; a
refusal before the event stream starts means that nothing ran.

An engine in need names in each answer to ``generate`` and ``attach``, refusals
included, how many of them it takes a second from all instances together:
``X-Request-Limit``, a decimal number, and ``X-Incarnation``. The limit holds
until an answer does not name it, or another incarnation answers.
"""

import msgspec


class GenerateOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Start a generation, or continue one after the tokens it already has.

    Positions count from 0; the first new token has position
    ``len(received)``. ``deadline_seconds`` is what is left of the caller's
    deadline: clocks of two machines don't agree, so no absolute time crosses.
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
    """Stop an attempt; repeating it is harmless."""

    account: str
    request: str
    generation: int
    attempt: str


class CancelAnswer(msgspec.Struct, frozen=True):
    """``was_running`` is false where the attempt was unknown or over."""

    was_running: bool


class TokenBatch(msgspec.Struct, frozen=True):
    """Consecutive tokens; the first has position ``position``."""

    generation: int
    attempt: str
    position: int
    tokens: list[str]


class AttemptEnded(msgspec.Struct, frozen=True):
    """The attempt is over: ``position`` tokens in all, prior ones included.

    ``reason`` is ``stop``, ``length`` or ``cancelled``.
    """

    generation: int
    attempt: str
    position: int
    reason: str


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine says of itself; the load may lag behind.

    ``step_seconds`` is its time per token now, ``steps`` and
    ``prompt_tokens`` count its work since it started.
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
    """The model, version, adapter and role that the engine shall have."""

    fencing_number: int
    model: str
    version: str
    adapter: str
    role: str


class Refusal(msgspec.Struct, frozen=True):
    """Why an engine or a plain service did not do what it was asked."""

    code: str
    detail: str
    retry_after: float | None = None
