"""Claims: rows that ensure a non-idempotent request runs at most once."""

import dataclasses
import enum


class ClaimStage(enum.Enum):
    """Progress of the claimed request as recorded in the row.

    ``CLAIMED`` does not tell whether the request ran, as its holder may have
    died at any point since. ``RELEASED`` is written only by a holder that
    has not dispatched the request and never will.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    RELEASED = 'released'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The value of a claim row; ``holder`` is unique per attempt to claim.

    ``content`` is a digest of the request's content: the same key with other
    content is not a retry. ``body_kept`` is false if the answer was too large
    or a stream. From ``expires_at``, in seconds since the epoch, the platform
    may delete the row. Instances never delete rows, and never treat an
    expired row as absent.
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
    """A claim row as read; ``version`` increases by one with each write."""

    version: int
    record: ClaimRecord


class ClaimPhase(enum.Enum):
    """Phase of a claim at the instance that makes it.

    While ``CLAIMING`` the caller waits and the owner of the row is not known
    yet. ``HELD`` means that this holder owns the row and the request is being
    served. While ``SETTLING`` the caller has its answer, but the outcome is
    not yet recorded in the row.
    """

    CLAIMING = 'claiming'
    HELD = 'held'
    SETTLING = 'settling'
