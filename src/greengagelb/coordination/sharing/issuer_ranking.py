"""Which instance issues the permits of an engine's life, as seen from here.

By rendezvous hashing of those that are heard, so that all who hear the same
agree without a message. One that does not answer is passed over for a while.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from greengagelb.coordination.fleet import rendezvous

# An issuer that has answered none of so many questions for so many seconds is
# passed over until it is heard again, or for the third figure.
SILENT_QUESTIONS = 4
SILENT_SECONDS = 0.05
PASS_OVER_SECONDS = 20.0
# So many instances are tried before this one issues permits itself.
MOST_RANKED = 8
# Which instances there are is looked at again after so many seconds.
RANKED_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class Unanswered:
    """Questions to an issuer that has said nothing since."""

    since: float
    count: int = 0

    @property
    def silent_at(self) -> float:
        """Return when the issuer counts as silent."""
        few = self.count < SILENT_QUESTIONS
        return float('inf') if few else self.since + SILENT_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Ranking:
    """The instances in the order in which they issue a life's permits."""

    names: tuple[str, ...]
    until: float


class IssuerRanking:
    """The instances that may issue permits, and those that are silent.

    ``passed_over`` has until when a silent one is not asked.

    ``members`` returns which others are heard and may issue permits of a life,
    and ``has_part`` whether this instance may.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.members: Callable[[str], Collection[str]] = nobody
        self.has_part: Callable[[str], bool] = always
        self.rankings: dict[str, Ranking] = {}
        self.unanswered: dict[str, Unanswered] = {}
        self.passed_over: dict[str, float] = {}

    def issuer_of(self, life: str, now: float) -> str:
        """Return who issues a life's permits, as far as is known here."""
        ranking = self.rankings.get(life)
        if ranking is None or now >= ranking.until:
            found = set(self.members(life))
            if self.has_part(life):
                found.add(self.own)
            names = rendezvous.highest(life, found, MOST_RANKED)
            ranking = Ranking(tuple(names), now + RANKED_SECONDS)
            self.rankings[life] = ranking
        for name in ranking.names:
            if now >= self.passed_over.get(name, float('-inf')):
                return name
        return self.own

    def asked(self, issuer: str, now: float) -> None:
        """Count a question to an issuer."""
        found = self.unanswered.setdefault(issuer, Unanswered(now))
        found.count += 1

    def heard(self, sender: str) -> None:
        """Note that an instance says something."""
        self.unanswered.pop(sender, None)
        self.passed_over.pop(sender, None)

    def left(self, incarnation: str) -> None:
        """Do without an instance that has stopped."""
        self.rankings.clear()
        self.heard(incarnation)

    def due(self, now: float) -> None:
        """Pass over the issuers that are silent by now."""
        for issuer, found in list(self.unanswered.items()):
            if now >= found.silent_at:
                del self.unanswered[issuer]
                self.passed_over[issuer] = now + PASS_OVER_SECONDS

    def next_at(self) -> float:
        """Return when the next issuer counts as silent."""
        times = (found.silent_at for found in self.unanswered.values())
        return min(times, default=float('inf'))


def nobody(life: str) -> Collection[str]:
    """Return no other instances."""
    return ()


def always(life: str) -> bool:
    """Return that this instance has a part of each limit."""
    return True
