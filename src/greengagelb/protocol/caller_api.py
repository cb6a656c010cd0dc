"""Messages between callers and an instance, over HTTP.

``POST /v1/chat/completions`` follows the streaming conventions that clients
of chat models already use: ``data:`` events with ``choices[0].delta.content``
and a last ``data: [DONE]``. The model's name is the service's name. Each event
also has an ``id``, a signed cursor. A caller whose stream was interrupted
sends the same request again, through any instance, with ``Last-Event-ID`` set
to the last id and ``received`` set to the tokens that it has.

``POST /v1/services/{service}/{operation}`` passes a body to a plain service.

Headers: ``Authorization: Bearer KEY``, ``Idempotency-Key``,
``X-Deadline-Seconds``. With ``X-First-Send: 1`` the caller states that it has
never sent this key before; only then can the refusal of a non-idempotent
request guarantee "not run" while the platform's service is unavailable.
"""

from typing import Annotated

import msgspec

MAX_TOKENS = 131_072


class Message(msgspec.Struct, frozen=True):
    """One message of the conversation that forms the prompt."""

    role: str
    content: str


class ChatCompletion(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller's request for a streamed generation."""

    model: str
    messages: Annotated[list[Message], msgspec.Meta(min_length=1)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] = 256
    stream: bool = True
    received: list[str] = []


class Delta(msgspec.Struct, frozen=True):
    """The text that an event appends."""

    content: str


class Choice(msgspec.Struct, frozen=True):
    """The only choice of an event; the last one has a ``finish_reason``."""

    index: int
    delta: Delta
    finish_reason: str | None = None


class ChatChunk(msgspec.Struct, frozen=True):
    """One event of the stream.

    ``position`` is that of the first of ``tokens``; ``generation`` increases
    only after an explicit ``restart`` event, on which the caller has to
    discard the tokens that it has.
    """

    id: str
    model: str
    choices: list[Choice]
    generation: int
    position: int
    tokens: list[str]
    object: str = 'chat.completion.chunk'


class GenerationRestarted(msgspec.Struct, frozen=True):
    """The answer restarts; all tokens before this event are invalid."""

    generation: int
    reason: str


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """A problem document (RFC 9457), extended by the request's outcome."""

    title: str
    status: int
    code: str
    ran: str
    detail: str
    type: str = 'about:blank'
    retry_after: float | None = None
