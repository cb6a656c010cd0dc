"""Claims: the rows that let a non-idempotent request run at most once."""

import dataclasses
import enum


class ClaimStage(enum.Enum):
    """How far the claimed request has come, as far as the row tells.

    ``CLAIMED`` says nothing about whether it ran: its holder may have died
    at any point since. ``RELEASED`` is written only by a holder that knows
    that it never dispatched the request and never will.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    RELEASED = 'released'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The value of a claim row; ``holder`` is unique per attempt to claim.

    ``content`` is a digest of what was asked for: a key that comes back with
    something else names no retry. ``body_kept`` is false where the answer was
    too large, or a stream. ``expires_at`` is in seconds since the epoch; from
    then on the platform may delete the row. Instances never do, and never
    take an expired row for an absent one.
    """

    holder: str
    stage: ClaimStage
    content: str = ''
    status: int = 0
    body: bytes = b''
    body_kept: bool = True
    expires_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """A claim row as it was found; ``version`` grows by one per write."""

    version: int
    record: ClaimRecord


class ClaimPhase(enum.Enum):
    """What a holder is about.

    While ``CLAIMING`` the caller waits and the row's owner is not known yet.
    ``HELD`` means that the row is this holder's and the request is served.
    While ``SETTLING`` the caller has its answer and the row has yet to say
    how the request ended.
    """

    CLAIMING = 'claiming'
    HELD = 'held'
    SETTLING = 'settling'
