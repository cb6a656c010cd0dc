"""Claims: the rows that let a non-idempotent request run at most once."""

import dataclasses
import enum


class ClaimStage(enum.Enum):
    """How far the claimed request has come, as far as the row tells.

    ``CLAIMED`` says nothing about whether it ran: its holder may have died
    at any point since. ``RELEASED`` is written only by a holder that knows
    that it never dispatched the request.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    RELEASED = 'released'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The value of a claim row; ``holder`` is unique per attempt to claim."""

    holder: str
    stage: ClaimStage
    status: int = 0
    body: bytes = b''
