"""Limits that engines name: the requests a second that they take in all.

A limit belongs to one life of an engine and holds for all instances together.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class UnusableLimit:
    """What an answer has in place of a limit that can be read."""

    text: str


# What an answer says of its engine's limit: requests a second, that it has
# none, or something else.
AdvertisedLimit = float | UnusableLimit | None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAdvertisement:
    """What an answer says of its upstream, by the product's own interface.

    ``incarnation`` is empty where it does not say it.
    """

    limit: AdvertisedLimit = None
    incarnation: str = ''


NO_ADVERTISEMENT = UpstreamAdvertisement()


@dataclasses.dataclass(frozen=True, slots=True)
class LimitUpdate:
    """The limit of a life of an engine; ``rate`` is None once it is lifted.

    ``version`` counts the values that it has had. It orders what instances
    tell each other, as their clocks differ and datagrams overtake each other.
    """

    life: str
    rate: float | None
    version: int


@dataclasses.dataclass(slots=True)
class KnownLimit:
    """A limit as known here.

    ``known_at`` is when this value came to be known, ``confirmed_at`` when an
    answer last said so to this instance; both are monotonic.
    """

    rate: float | None
    version: int
    known_at: float
    confirmed_at: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class LimitStatistics:
    """What one instance knows and does of limits.

    ``in_force`` counts the limits, and ``rate`` is their sum in requests a
    second. ``held`` requests wait for a permit now; ``granted`` and ``denied``
    count the permits asked for here since the start.
    """

    in_force: int = 0
    rate: float = 0.0
    held: int = 0
    granted: int = 0
    denied: int = 0


class Verdict(enum.Enum):
    """What an issuer answers to an instance that wants a permit."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    DENIED = 'denied'


@dataclasses.dataclass(frozen=True, slots=True)
class LimitUpdatesRequest:
    """The sender knows other limits than the receiver, and asks for them."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRequest:
    """The sender issues permits for a life, and asks for the parts of others.

    ``stamp`` is its own monotonic time, which the answer repeats.
    """

    life: str
    stamp: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The sender's part of a limit is the receiver's for a time.

    The lease began at ``stamp``, by the receiver's clock. ``share`` is the
    part of the whole limit; it was nobody's for ``unused`` seconds before.
    """

    life: str
    share: float
    unused: float
    stamp: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReturned:
    """The sender issues no permits for a life any more."""

    life: str


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequestMessage:
    """The sender wants to send one request to a life with a limit.

    ``number`` names the request at the sender, ``wait`` is for how many
    seconds it can wait. ``urgent`` requests go first. ``rate`` and
    ``version`` are the limit as the sender knows it.
    """

    life: str
    number: int
    account: str
    urgent: bool
    wait: float
    rate: float
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitAnswer:
    """What comes of a request for a permit.

    ``wait`` is the time in seconds until one is expected; ``share`` the part
    of the limit that the sender has leased.
    """

    life: str
    number: int
    verdict: Verdict
    wait: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReturned:
    """A permit that was granted to the sender was not used."""

    life: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnpermittedSends:
    """The sender has sent something to a life without a permit."""

    life: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessQuery:
    """The sender asks the receiver for a sign of life."""


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessReply:
    """The sender's sign of life."""


@dataclasses.dataclass(frozen=True, slots=True)
class IssuerSilent:
    """The sender gets no sign of life of an instance that issues permits."""

    issuer: str


Message = (
    LimitUpdate
    | LimitUpdatesRequest
    | LeaseRequest
    | LeaseGrant
    | LeaseReturned
    | PermitRequestMessage
    | PermitAnswer
    | PermitReturned
    | UnpermittedSends
    | LivenessQuery
    | LivenessReply
    | IssuerSilent
)
