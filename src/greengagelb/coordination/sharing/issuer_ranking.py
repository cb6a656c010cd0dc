"""Which instance issues the permits of an engine's life, as seen from here.

By rendezvous hashing of those that are heard, so that all who hear the same
agree without a message. One that does not answer is passed over until it is
heard again, and asked for a sign of life meanwhile. The others are told if it
gives none, as most of them ask it seldom.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from greengagelb.coordination.fleet import rendezvous
from greengagelb.state import limits

# An issuer that has answered none of so many questions for so many seconds is
# asked for a sign of life: at once, again after the third figure, twice as
# late each time, and at most after the fourth one.
SILENT_QUESTIONS = 4
SILENT_SECONDS = 0.05
ASK_PRESENCE_SECONDS = 0.05
MOST_ASK_PRESENCE_SECONDS = 2.0
# If so many of these bring nothing it is passed over until it is heard again,
# or for so many seconds.
SURE_AFTER_QUESTIONS = 2
PASS_OVER_SECONDS = 20.0
# The most that are looked at because others say so.
MOST_SILENT = 512
# So many instances are tried before this one issues permits itself.
MOST_RANKED = 8
# Which instances there are is looked at again after so many seconds.
RANKED_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to another instance, or to all where ``receiver`` is empty."""

    receiver: str
    message: limits.Message


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


@dataclasses.dataclass(slots=True)
class Silent:
    """An issuer that is asked for a sign of life at ``ask_at``.

    ``asked_for`` is how often it was; it is passed over once it is ``sure``
    that it gives none. ``known_to_all`` tells that the others need not be
    told: one of them has said so, or all find out by themselves. All this is
    forgotten at ``until``.
    """

    until: float
    ask_at: float
    asked_for: int = 0
    sure: bool = False
    known_to_all: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ranking:
    """The instances in the order in which they issue a life's permits."""

    names: tuple[str, ...]
    until: float


class IssuerRanking:
    """The instances that may issue permits, and those that are silent.

    ``members`` returns which others are heard and may issue permits of a life,
    and ``has_part`` whether this instance may.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.members: Callable[[str], Collection[str]] = nobody
        self.has_part: Callable[[str], bool] = always
        self.rankings: dict[str, Ranking] = {}
        self.unanswered: dict[str, Unanswered] = {}
        self.silent: dict[str, Silent] = {}

    def issuer_of(self, life: str, now: float) -> str:
        """Return who issues a life's permits, as far as is known here."""
        ranking = self.rankings.get(life)
        if ranking is None or now >= ranking.until:
            found = set(self.members(life))
            if self.has_part(life):
                found.add(self.own)
            names = rendezvous.highest_scoring(life, found, MOST_RANKED)
            ranking = Ranking(tuple(names), now + RANKED_SECONDS)
            self.rankings[life] = ranking
            self.look_at_next(ranking, now)
        for name in ranking.names:
            if not self.is_passed_over(name, now):
                return name
        return self.own

    def is_passed_over(self, name: str, now: float) -> bool:
        """Return whether an instance gives no sign of life."""
        found = self.silent.get(name)
        return found is not None and found.sure and now < found.until

    def asked(self, issuer: str, now: float) -> None:
        """Count a question to an issuer."""
        found = self.unanswered.setdefault(issuer, Unanswered(now))
        found.count += 1

    def heard(self, sender: str) -> None:
        """Note that an instance says something."""
        self.unanswered.pop(sender, None)
        self.silent.pop(sender, None)

    def left(self, incarnation: str) -> None:
        """Do without an instance that has stopped."""
        self.rankings.clear()
        self.heard(incarnation)

    def due(self, now: float) -> None:
        """Look at the issuers that have answered nothing."""
        for issuer, found in list(self.unanswered.items()):
            if now >= found.silent_at:
                del self.unanswered[issuer]
                self.look_at(issuer, now)

    def look_at(
        self, issuer: str, now: float, *, known_to_all: bool = False
    ) -> None:
        """Ask an issuer for a sign of life from now on."""
        if issuer != self.own and issuer not in self.silent:
            until = now + PASS_OVER_SECONDS
            self.silent[issuer] = Silent(until, now, known_to_all=known_to_all)

    def look_at_next(self, ranking: Ranking, now: float) -> None:
        """Look at the first one behind those that are passed over, too.

        It may be silent for the same reason.
        """
        for name in ranking.names:
            if not self.is_passed_over(name, now):
                if name != ranking.names[0]:
                    self.look_at(name, now, known_to_all=True)
                return

    def silent_elsewhere(self, issuer: str, now: float) -> None:
        """Look at an issuer that another instance has found silent."""
        if len(self.silent) < MOST_SILENT:
            self.look_at(issuer, now, known_to_all=True)

    def questions(self, now: float) -> list[Outgoing]:
        """Return what is due to be told about silent issuers."""
        due: list[Outgoing] = []
        for issuer, found in list(self.silent.items()):
            if now >= found.until:
                del self.silent[issuer]
                continue
            if now < found.ask_at:
                continue
            if found.asked_for == SURE_AFTER_QUESTIONS:
                found.sure = True
                for ranking in self.rankings.values():
                    self.look_at_next(ranking, now)
                if not found.known_to_all:
                    due.append(Outgoing('', limits.IssuerSilent(issuer)))
            wait = ASK_PRESENCE_SECONDS * 2.0**found.asked_for
            found.ask_at = now + min(MOST_ASK_PRESENCE_SECONDS, wait)
            found.asked_for += 1
            due.append(Outgoing(issuer, limits.PresenceWanted()))
        return due

    def next_at(self) -> float:
        """Return when the next issuer is to be looked at, or to be asked."""
        times = [found.silent_at for found in self.unanswered.values()]
        times += [found.ask_at for found in self.silent.values()]
        return min(times, default=float('inf'))


def nobody(life: str) -> Collection[str]:
    """Return no other instances."""
    return ()


def always(life: str) -> bool:
    """Return that this instance has a part of each limit."""
    return True
