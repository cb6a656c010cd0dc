"""Selects the instance that issues the permits of an engine's life.

The issuer is chosen by rendezvous hashing over the instances that are heard,
so that all instances with the same view agree without a message. An issuer
that does not answer is suspected and probed; if the probes fail it is skipped
until it is heard again. A failed issuer is reported to all other instances,
because most of them contact it rarely.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from greengagelb.coordination.fleet import rendezvous
from greengagelb.state import limits

# An issuer is suspected if it has answered none of SUSPECT_AFTER_REQUESTS
# permit requests for SUSPECT_AFTER_SECONDS. It is probed at once and then
# after an interval that doubles up to MAX_PROBE_INTERVAL_SECONDS.
SUSPECT_AFTER_REQUESTS = 4
SUSPECT_AFTER_SECONDS = 0.05
FIRST_PROBE_INTERVAL_SECONDS = 0.05
MAX_PROBE_INTERVAL_SECONDS = 2.0
# After this many unanswered probes an issuer is skipped until it is heard
# again, for at most SUSPICION_TTL_SECONDS.
SKIP_AFTER_PROBES = 2
SUSPICION_TTL_SECONDS = 20.0
# Reports of other instances add suspected issuers up to this number in all.
MAX_SUSPECTED = 512
# Length of a ranking. If all of its instances are skipped, this instance
# issues the permits itself.
MAX_RANKED = 8
# How long a ranking is used before the members are read again.
RANKING_TTL_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to another instance, or to all if ``receiver`` is empty."""

    receiver: str
    message: limits.Message


@dataclasses.dataclass(slots=True)
class UnansweredRequests:
    """Permit requests to an issuer since which it has sent nothing."""

    first_request_at: float
    count: int = 0

    @property
    def suspect_at(self) -> float:
        """Return when the issuer becomes suspected."""
        too_few = self.count < SUSPECT_AFTER_REQUESTS
        return (
            float('inf')
            if too_few
            else self.first_request_at + SUSPECT_AFTER_SECONDS
        )


@dataclasses.dataclass(slots=True)
class SuspectedIssuer:
    """An issuer that is probed next at ``probe_at``.

    ``probe_count`` probes were sent; once it ``has_failed`` to answer them it
    is skipped. ``known_to_all`` is set if it need not be reported: another
    instance has reported it, or all find out by themselves. The suspicion is
    dropped at ``forget_at``.
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
    """The instances that may issue permits, and the suspected ones.

    ``members`` returns the other instances that are heard and may issue
    permits of a life, and ``has_part`` whether this instance may.
    """

    def __init__(self, own_incarnation: str) -> None:
        self.own_incarnation = own_incarnation
        self.members: Callable[[str], Collection[str]] = no_members
        self.has_part: Callable[[str], bool] = has_every_part
        self.rankings: dict[str, Ranking] = {}
        self.unanswered: dict[str, UnansweredRequests] = {}
        self.suspected: dict[str, SuspectedIssuer] = {}

    def issuer_of(self, life: str, now: float) -> str:
        """Return the issuer of a life's permits, as seen by this instance."""
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
        """Return whether an instance has failed to answer its probes."""
        suspect = self.suspected.get(name)
        return (
            suspect is not None
            and suspect.has_failed
            and now < suspect.forget_at
        )

    def count_permit_request(self, issuer: str, now: float) -> None:
        """Count a permit request to an issuer."""
        unanswered_requests = self.unanswered.setdefault(
            issuer, UnansweredRequests(now)
        )
        unanswered_requests.count += 1

    def mark_alive(self, sender: str) -> None:
        """Clear the suspicion of an instance that sent something."""
        self.unanswered.pop(sender, None)
        self.suspected.pop(sender, None)

    def remove_instance(self, incarnation: str) -> None:
        """Remove an instance that has stopped."""
        self.rankings.clear()
        self.mark_alive(incarnation)

    def suspect_unanswered(self, now: float) -> None:
        """Suspect the issuers that have left permit requests unanswered."""
        for issuer, unanswered_requests in list(self.unanswered.items()):
            if now >= unanswered_requests.suspect_at:
                del self.unanswered[issuer]
                self.suspect_issuer(issuer, now)

    def suspect_issuer(
        self, issuer: str, now: float, *, known_to_all: bool = False
    ) -> None:
        """Start to probe an issuer."""
        if issuer != self.own_incarnation and issuer not in self.suspected:
            forget_at = now + SUSPICION_TTL_SECONDS
            self.suspected[issuer] = SuspectedIssuer(
                forget_at, now, known_to_all=known_to_all
            )

    def suspect_next_issuer(self, ranking: Ranking, now: float) -> None:
        """Also suspect the first issuer after those that are skipped.

        It may be unreachable for the same reason.
        """
        for name in ranking.names:
            if not self.is_skipped(name, now):
                if name != ranking.names[0]:
                    self.suspect_issuer(name, now, known_to_all=True)
                return

    def suspect_reported(self, issuer: str, now: float) -> None:
        """Suspect an issuer that another instance reports as silent."""
        if len(self.suspected) < MAX_SUSPECTED:
            self.suspect_issuer(issuer, now, known_to_all=True)

    def due_messages(self, now: float) -> list[OutgoingMessage]:
        """Return the probes and reports that are due."""
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
            messages.append(OutgoingMessage(issuer, limits.LivenessQuery()))
        return messages

    def next_due_at(self) -> float:
        """Return when the next issuer is to be suspected or probed."""
        times = [entry.suspect_at for entry in self.unanswered.values()]
        times += [entry.probe_at for entry in self.suspected.values()]
        return min(times, default=float('inf'))


def no_members(life: str) -> Collection[str]:
    """Return no other instances."""
    return ()


def has_every_part(life: str) -> bool:
    """Return that this instance has a part of each limit."""
    return True
