"""Decides which parts of prompts crash engines.

A crash counts against the whole request and against each part of its prompt
that other requests share, as any of them may be its cause. Of the parts that
have crashed enough engines for a block, the cause is found by exclusion:

* a part that an engine has survived since is cleared;
* a part that was sound before counts only crashes that nothing else explains:
  another part, one other request, or the account of another caller. Further
  requests with it decide before it is blocked;
* a part that was never sound is blocked if there is a crash that no other
  such part explains. Otherwise the next request with it decides, one at a
  time.
"""

from collections.abc import Iterator
import dataclasses

from greengagelb.coordination.sharing import crash_records
from greengagelb.coordination.sharing import fingerprints
from greengagelb.state import crashes

# How many more early crashes than others block a part that was sound before.
FURTHER_CRASHES_OF_SOUND_PARTS = 2

CrashesByLife = dict[str, crashes.Crash]


@dataclasses.dataclass(frozen=True, slots=True)
class NotBlamed:
    """Nothing speaks against sending a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Blocked:
    """A request must not be sent until a monotonic time.

    ``fingerprint`` is that of the request or of the part that is blocked.
    """

    fingerprint: str
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The crashes of some parts may as well be due to other parts."""

    parts: tuple[str, ...]


Verdict = NotBlamed | Blocked | Undecided
NOT_BLAMED = NotBlamed()


class CrashBlame:
    """Verdicts from known crashes, and from suspected ones if there are any.

    ``suspected`` has the suspected crashes of each fingerprint by life.
    """

    def __init__(
        self,
        records: crash_records.CrashRecords,
        suspected: dict[str, CrashesByLife] | None = None,
    ) -> None:
        self.records = records
        self.suspected = suspected or {}

    def judge(self, causes: crashes.PossibleCauses, now: float) -> Verdict:
        """Return the verdict on a request."""
        until = self.request_blocked_until(causes.request, now)
        if until is not None:
            return Blocked(causes.request, until)
        undecided = []
        for part in causes.parts:
            match self.judge_part(part, causes, now):
                case Blocked() as verdict:
                    return verdict
                case Undecided():
                    undecided.append(part)
        return Undecided(tuple(undecided)) if undecided else NOT_BLAMED

    def request_blocked_until(
        self, fingerprint: str, now: float
    ) -> float | None:
        """Return until when a whole request is blocked, or None."""
        if fingerprint in self.suspected:
            found = self.crashes_of(fingerprint).values()
            return self.records.block_expiry(fingerprint, found, now)
        return self.records.blocked_until(fingerprint, now)

    def judge_part(
        self, part: str, causes: crashes.PossibleCauses, now: float
    ) -> Verdict:
        """Return the verdict on a part of a request."""
        found = self.crashes_of(part)
        until = self.records.block_expiry(part, found.values(), now)
        if until is None:
            return NOT_BLAMED
        explained = self.explained_lives(part, causes, now)
        unexplained = [c for c in found.values() if c.life not in explained]
        if self.records.sound_parts.was_sound(part, now):
            return self.judge_sound_part(part, unexplained, now)
        return Blocked(part, until) if unexplained else Undecided((part,))

    def judge_sound_part(
        self, part: str, unexplained: list[crashes.Crash], now: float
    ) -> Verdict:
        """Return the verdict on a part that was sound before.

        Engines may end by chance one after the other under a part that most
        requests have, so that further requests decide, one at a time.
        """
        if self.records.block_expiry(part, unexplained, now) is None:
            return NOT_BLAMED
        until = self.records.block_expiry(
            part, unexplained, now, FURTHER_CRASHES_OF_SOUND_PARTS
        )
        return Undecided((part,)) if until is None else Blocked(part, until)

    def explained_lives(
        self, part: str, causes: crashes.PossibleCauses, now: float
    ) -> set[str]:
        """Return the lives of engines whose end others than a part explain.

        What a request has itself excuses none of its parts. Several other
        parts may crash engines, but several requests or accounts without a
        common part are a less likely cause than the part that they share.
        """
        own = set(causes.fingerprints)
        was_sound = self.records.sound_parts.was_sound(part, now)
        by_parts: set[str] = set()
        by_single: list[set[str]] = []
        for other, lives in self.other_suspects(part, own, now):
            if not fingerprints.is_part(other):
                by_single.append(lives)
            elif was_sound or not self.records.sound_parts.was_sound(
                other, now
            ):
                by_parts |= lives
        best = max(
            by_single,
            key=lambda lives: (len(lives - by_parts), sorted(lives)),
            default=set(),
        )
        return by_parts | best

    def other_suspects(
        self, part: str, own: set[str], now: float
    ) -> Iterator[tuple[str, set[str]]]:
        """Yield what else has crashes enough, and the lives in common."""
        lives = self.crashes_of(part).keys()
        names = self.records.histories.keys() | self.suspected.keys()
        for other in names - own:
            found = self.crashes_of(other)
            if len(found) < crash_records.EARLY_CRASHES_TO_BLOCK:
                continue
            common = lives & found.keys()
            if not common:
                continue
            if (
                self.records.block_expiry(other, found.values(), now)
                is not None
            ):
                yield other, common

    def crashes_of(self, fingerprint: str) -> CrashesByLife:
        """Return the known and the suspected crashes by life."""
        history = self.records.histories.get(fingerprint)
        known = history.crashes if history else {}
        suspected = self.suspected.get(fingerprint)
        return suspected | known if suspected else known
