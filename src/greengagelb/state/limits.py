"""Rate limits that engines advertise, in requests per second.

A limit belongs to one life of an engine (one run of its process) and applies
to all instances together. For each such life one instance issues permits;
others lease it their shares of the limit.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class UnusableLimit:
    """A limit in an answer that could not be parsed."""

    text: str


# The limit in an answer: requests per second, a value that could not be
# parsed, or None if the engine has no limit.
AdvertisedLimit = float | UnusableLimit | None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAdvertisement:
    """Limit and incarnation of an upstream from the headers of its answer.

    ``incarnation`` is empty if the answer does not contain it.
    """

    limit: AdvertisedLimit = None
    incarnation: str = ''


NO_ADVERTISEMENT = UpstreamAdvertisement()


@dataclasses.dataclass(frozen=True, slots=True)
class LimitUpdate:
    """The limit of an engine's life; ``rate`` is None once it is removed.

    ``version`` counts the values that the limit has had. It orders updates
    from different instances, as clocks differ and datagrams may be reordered.
    """

    life: str
    rate: float | None
    version: int


@dataclasses.dataclass(slots=True)
class KnownLimit:
    """A limit as known to this instance.

    ``known_at`` is when this value became known, ``confirmed_at`` when an
    answer to this instance last contained it; both are monotonic seconds.
    """

    rate: float | None
    version: int
    known_at: float
    confirmed_at: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class LimitStatistics:
    """Statistics of the limits known to one instance.

    ``in_force`` is the number of limits, and ``rate`` their sum in requests
    per second. ``held`` is the number of requests that wait for a permit;
    ``granted`` and ``denied`` count this instance's permit requests since its
    start.
    """

    in_force: int = 0
    rate: float = 0.0
    held: int = 0
    granted: int = 0
    denied: int = 0


class Verdict(enum.Enum):
    """Answer of an issuer to a request for a permit."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    DENIED = 'denied'


@dataclasses.dataclass(frozen=True, slots=True)
class LimitUpdatesRequest:
    """Asks for the receiver's limits, as they differ from the sender's."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRequest:
    """The sender issues permits for a life and asks for the others' shares.

    ``stamp`` is the sender's monotonic time, which the answer repeats.
    """

    life: str
    stamp: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Leases the sender's share of a limit to the receiver for some time.

    The lease begins at ``stamp``, by the receiver's clock. ``share`` is a
    fraction of the whole limit; nobody used it for ``unused`` seconds before.
    """

    life: str
    share: float
    unused: float
    stamp: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReturned:
    """The sender no longer issues permits for a life."""

    life: str


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequestMessage:
    """Asks for a permit to send one request to an engine with a limit.

    ``number`` identifies the request at the sender; ``wait`` is how many
    seconds it can wait. ``urgent`` requests take precedence. ``rate`` and
    ``version`` are the limit as known to the sender.
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
    """The answer to a request for a permit.

    ``wait`` is the time in seconds until a permit is expected; ``share`` is
    the fraction of the limit that the sender has leased.
    """

    life: str
    number: int
    verdict: Verdict
    wait: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReturned:
    """The sender did not use a permit that was granted to it."""

    life: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnpermittedSends:
    """The sender has sent ``count`` requests to a life without a permit."""

    life: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessQuery:
    """Asks the receiver to confirm that it is alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessReply:
    """Confirms that the sender is alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class IssuerSilent:
    """An instance that issues permits does not respond to the sender."""

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
