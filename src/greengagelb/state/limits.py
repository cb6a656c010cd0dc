"""Limits that engines name: the requests a second that they take in all.

A limit belongs to one life of an engine and holds for all instances together.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Unusable:
    """What an answer has in place of a limit that can be read."""

    text: str


# What an answer says of its engine's limit: requests a second, that it has
# none, or something else.
Named = float | Unusable | None


@dataclasses.dataclass(frozen=True, slots=True)
class Said:
    """What an answer says of its upstream, by the product's own interface.

    ``incarnation`` is empty where it does not say it.
    """

    limit: Named = None
    incarnation: str = ''


NOTHING_SAID = Said()


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNews:
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
