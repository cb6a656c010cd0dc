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
SUSPECT_AFTER_QUESTIONS = 4
SUSPECT_AFTER_SECONDS = 0.05
FIRST_PROBE_INTERVAL_SECONDS = 0.05
MAX_PROBE_INTERVAL_SECONDS = 2.0
# If so many of these bring nothing it is passed over until it is heard again,
# or for so many seconds.
SKIP_AFTER_PROBES = 2
SUSPICION_TTL_SECONDS = 20.0
# The most that are looked at because others say so.
MAX_SUSPECTED = 512
# So many instances are tried before this one issues permits itself.
MAX_RANKED = 8
# Which instances there are is looked at again after so many seconds.
RANKING_TTL_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to another instance, or to all where ``receiver`` is empty."""

    receiver: str
    message: limits.Message


@dataclasses.dataclass(slots=True)
class UnansweredQuestions:
    """Questions to an issuer that has said nothing since."""

    first_asked_at: float
    count: int = 0

    @property
    def suspect_at(self) -> float:
        """Return when the issuer counts as silent."""
        too_few = self.count < SUSPECT_AFTER_QUESTIONS
        return (
            float('inf')
            if too_few
            else self.first_asked_at + SUSPECT_AFTER_SECONDS
        )


@dataclasses.dataclass(slots=True)
class SuspectedIssuer:
    """An issuer that is asked for a sign of life at ``ask_at``.

    ``asked_for`` is how often it was; it is passed over once it is ``sure``
    that it gives none. ``known_to_all`` tells that the others need not be
    told: one of them has said so, or all find out by themselves. All this is
    forgotten at ``until``.
    """

    forget_at: float
    probe_at: float
    probe_count: int = 0
    has_failed: bool = False
    known_to_all: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ranking:
    """The instances in the order in which they issue a life's permits."""

    names: tuple[str, ...]
    expires_at: float


class IssuerRanking:
    """The instances that may issue permits, and those that are silent.

    ``members`` returns which others are heard and may issue permits of a life,
    and ``has_part`` whether this instance may.
    """

    def __init__(self, own_incarnation: str) -> None:
        self.own_incarnation = own_incarnation
        self.members: Callable[[str], Collection[str]] = no_members
        self.has_part: Callable[[str], bool] = has_every_part
        self.rankings: dict[str, Ranking] = {}
        self.unanswered: dict[str, UnansweredQuestions] = {}
        self.suspected: dict[str, SuspectedIssuer] = {}

    def issuer_of(self, life: str, now: float) -> str:
        """Return who issues a life's permits, as far as is known here."""
        ranking = self.rankings.get(life)
        if ranking is None or now >= ranking.expires_at:
            candidates = set(self.members(life))
            if self.has_part(life):
                candidates.add(self.own_incarnation)
            names = rendezvous.highest_scoring(life, candidates, MAX_RANKED)
            ranking = Ranking(tuple(names), now + RANKING_TTL_SECONDS)
            self.rankings[life] = ranking
            self.suspect_next_issuer(ranking, now)
        for name in ranking.names:
            if not self.is_skipped(name, now):
                return name
        return self.own_incarnation

    def is_skipped(self, name: str, now: float) -> bool:
        """Return whether an instance gives no sign of life."""
        suspect = self.suspected.get(name)
        return (
            suspect is not None
            and suspect.has_failed
            and now < suspect.forget_at
        )

    def count_question(self, issuer: str, now: float) -> None:
        """Count a question to an issuer."""
        questions = self.unanswered.setdefault(
            issuer, UnansweredQuestions(now)
        )
        questions.count += 1

    def mark_alive(self, sender: str) -> None:
        """Note that an instance says something."""
        self.unanswered.pop(sender, None)
        self.suspected.pop(sender, None)

    def remove_instance(self, incarnation: str) -> None:
        """Do without an instance that has stopped."""
        self.rankings.clear()
        self.mark_alive(incarnation)

    def suspect_unanswered(self, now: float) -> None:
        """Look at the issuers that have answered nothing."""
        for issuer, questions in list(self.unanswered.items()):
            if now >= questions.suspect_at:
                del self.unanswered[issuer]
                self.suspect_issuer(issuer, now)

    def suspect_issuer(
        self, issuer: str, now: float, *, known_to_all: bool = False
    ) -> None:
        """Ask an issuer for a sign of life from now on."""
        if issuer != self.own_incarnation and issuer not in self.suspected:
            forget_at = now + SUSPICION_TTL_SECONDS
            self.suspected[issuer] = SuspectedIssuer(
                forget_at, now, known_to_all=known_to_all
            )

    def suspect_next_issuer(self, ranking: Ranking, now: float) -> None:
        """Look at the first one behind those that are passed over, too.

        It may be silent for the same reason.
        """
        for name in ranking.names:
            if not self.is_skipped(name, now):
                if name != ranking.names[0]:
                    self.suspect_issuer(name, now, known_to_all=True)
                return

    def suspect_reported(self, issuer: str, now: float) -> None:
        """Look at an issuer that another instance has found silent."""
        if len(self.suspected) < MAX_SUSPECTED:
            self.suspect_issuer(issuer, now, known_to_all=True)

    def due_messages(self, now: float) -> list[OutgoingMessage]:
        """Return what is due to be told about silent issuers."""
        messages: list[OutgoingMessage] = []
        for issuer, suspect in list(self.suspected.items()):
            if now >= suspect.forget_at:
                del self.suspected[issuer]
                continue
            if now < suspect.probe_at:
                continue
            if suspect.probe_count == SKIP_AFTER_PROBES:
                suspect.has_failed = True
                for ranking in self.rankings.values():
                    self.suspect_next_issuer(ranking, now)
                if not suspect.known_to_all:
                    messages.append(
                        OutgoingMessage('', limits.IssuerSilent(issuer))
                    )
            interval_seconds = (
                FIRST_PROBE_INTERVAL_SECONDS * 2.0**suspect.probe_count
            )
            suspect.probe_at = now + min(
                MAX_PROBE_INTERVAL_SECONDS, interval_seconds
            )
            suspect.probe_count += 1
            messages.append(OutgoingMessage(issuer, limits.PresenceWanted()))
        return messages

    def next_due_at(self) -> float:
        """Return when the next issuer is to be looked at, or to be asked."""
        times = [entry.suspect_at for entry in self.unanswered.values()]
        times += [entry.probe_at for entry in self.suspected.values()]
        return min(times, default=float('inf'))


def no_members(life: str) -> Collection[str]:
    """Return no other instances."""
    return ()


def has_every_part(life: str) -> bool:
    """Return that this instance has a part of each limit."""
    return True
