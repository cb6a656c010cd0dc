"""Decides which requests crash the engines that run them.

A crash ends everything that the engine was running, so each of those requests
is a suspect. The one that caused the crash differs from the others:

* it has just begun, while the others are at any point of their run;
* it crashes another engine that it was sent to after the last crash. A
  data centre that loses power ends many engines at one time;
* no engine has run it to its end since;
* no other request explains its crashes better.

Instances exchange reports in any order and repeatedly. Merging them is a
union, so all instances come to the same verdict.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import zlib

from greengagelb.coordination.sharing import engine_ends
from greengagelb.coordination.sharing import fingerprints
from greengagelb.coordination.sharing import sound_parts
from greengagelb.state import crashes

# A request is blocked after EARLY_CRASHES_TO_BLOCK crashes early in its run,
# or after CRASHES_TO_BLOCK crashes at any time of its run. Early crashes are
# the stronger evidence: the other requests on an engine that crashes are at
# any point of their run.
EARLY_CRASHES_TO_BLOCK = 3
CRASHES_TO_BLOCK = 6
# How many more early crashes block a single request if an engine had not begun
# to answer it: all that an engine reads for are suspects then.
FURTHER_CRASHES_OF_UNSEEN_RUNS = 1
# One more early crash is needed for each of these numbers of other engines
# that ended alone shortly before.
OTHERS_FOR_ONE_MORE_CRASH = (2, 5)
# A crash is early if the request had run for at most this long.
EARLY_CRASH_SECONDS = 0.5
# A run that began up to this long before the end of the previous one still
# counts as following it, because reported times are not exact.
TIME_TOLERANCE_SECONDS = 0.001
# How long a run without a head had at least been on its engine.
UNKNOWN_RUN_SECONDS = 0.05
# How long a crash counts.
CRASH_TTL_SECONDS = 600.0
EXPIRY_INTERVAL_SECONDS = 1.0
# Memory bounds; a crash takes about 150 bytes.
MAX_CRASHES_PER_REQUEST = 8
MAX_FINGERPRINTS = 1024
# Number of requests, those with the most crashes, on which other instances are
# kept current. Requests with a single crash are left out, because one crash
# makes every request on the engine a suspect.
MAX_SHARED_REQUESTS = 64
MIN_SHARED_CRASHES = 2


class CrashRecords:
    """The crash histories of all suspects that are known here.

    Suspects are requests, parts of prompts, and client accounts, by their
    fingerprints. ``change_count`` counts the changes.

    Invariants: no history has a crash from before its ``survived_at`` or more
    than ``MAX_CRASHES_PER_REQUEST``; there are at most ``MAX_FINGERPRINTS``.
    """

    def __init__(self) -> None:
        self.histories: dict[str, crashes.CrashHistory] = {}
        self.sound_parts = sound_parts.SoundParts()
        self.ends = engine_ends.EngineEnds()
        self.change_count = 0
        self.next_expiry_at = float('-inf')

    def add_crash(
        self, fingerprint: str, crash: crashes.Crash, now: float
    ) -> bool:
        """Add a crash; return whether it was unknown.

        The time of a reported crash is too late by the delay of the report, so
        the earliest of several reported times is kept.
        """
        self.forget_expired(now)
        if crash.ended_at <= now - CRASH_TTL_SECONDS:
            return False
        self.ends.note(crash)
        history = self.histories.get(fingerprint)
        if history is None:
            history = crashes.CrashHistory(
                survived_at=self.sound_parts.last_sound_at(fingerprint)
            )
        known_crash = history.crashes.get(crash.life)
        if known_crash is not None:
            if history.survived_at < crash.ended_at < known_crash.ended_at:
                history.crashes[crash.life] = crash
                self.change_count += 1
            return False
        if crash.ended_at <= history.survived_at:
            return False
        history.crashes[crash.life] = crash
        history.note_life(crash.life)
        if len(history.crashes) > MAX_CRASHES_PER_REQUEST:
            oldest = min(history.crashes.values(), key=end_time)
            del history.crashes[oldest.life]
            if oldest is crash:
                return False
        history.changed_at = now
        self.change_count += 1
        self.histories[fingerprint] = history
        self.evict_least_crashed()
        return True

    def record_survival(
        self, fingerprint: str, survived_at: float, now: float
    ) -> bool:
        """Record that an engine survived a request, or a part of a prompt.

        It ran the request to its end, or lived on with the part. Returns
        whether that cleared crashes. Nothing is stored for requests without a
        crash, which are by far the most.
        """
        if fingerprints.is_part(fingerprint):
            self.sound_parts.note(fingerprint, survived_at)
        history = self.histories.get(fingerprint)
        if history is None or survived_at <= history.survived_at:
            return False
        history.survived_at = survived_at
        cleared_crashes = [
            c for c in history.crashes.values() if c.ended_at <= survived_at
        ]
        for crash in cleared_crashes:
            del history.crashes[crash.life]
        if cleared_crashes:
            history.changed_at = now
            self.change_count += 1
        return bool(cleared_crashes)

    def merge_report(self, report: crashes.CrashReport, now: float) -> bool:
        """Merge the report of another instance.

        Returns whether the request has become blocked.
        """
        blocked_before = self.is_blocked(report.fingerprint, now)
        if report.survived_age is not None:
            survived_at = now - max(0.0, report.survived_age)
            self.record_survival(report.fingerprint, survived_at, now)
            self.note_survival_told(report.fingerprint, now)
        for reported in report.crashes:
            ended_at = now - max(0.0, reported.age)
            began_at = ended_at - max(0.0, reported.seconds)
            crash = crashes.Crash(
                reported.life,
                began_at,
                ended_at,
                reported.data_centre,
                reported.has_begun,
            )
            self.add_crash(report.fingerprint, crash, now)
        return not blocked_before and self.is_blocked(report.fingerprint, now)

    def note_survival_told(self, fingerprint: str, now: float) -> None:
        """Note that an instance has told the others of a survival."""
        history = self.histories.get(fingerprint)
        if history is not None:
            history.survival_told_at = now

    def lacks_survival(self, fingerprint: str) -> bool:
        """Return whether the others may not know that a part was sound.

        That is if it was sound here, and nobody has said so since its last
        crash.
        """
        history = self.histories.get(fingerprint)
        if history is None or not history.crashes:
            return False
        if history.survived_at == float('-inf'):
            return False
        last_crash_at = max(map(end_time, history.crashes.values()))
        return history.survival_told_at <= last_crash_at

    def forget_expired(self, now: float) -> None:
        """Drop expired crashes, and requests without crashes.

        Does nothing if that was done a moment ago: a lost data centre has
        hundreds of crashes reported at once.
        """
        if now < self.next_expiry_at:
            return
        self.next_expiry_at = now + EXPIRY_INTERVAL_SECONDS
        oldest_kept_at = now - CRASH_TTL_SECONDS
        self.ends.forget_before(
            oldest_kept_at - engine_ends.RATE_WINDOW_SECONDS
        )
        for fingerprint, history in list(self.histories.items()):
            for crash in list(history.crashes.values()):
                if crash.ended_at <= oldest_kept_at:
                    del history.crashes[crash.life]
            if not history.crashes and history.changed_at <= oldest_kept_at:
                del self.histories[fingerprint]

    def evict_least_crashed(self) -> None:
        """Evict the suspect with the fewest crashes, the oldest one of these.

        An account that crashes engines with many different requests must not
        evict a request that has crashed more of them.
        """
        if len(self.histories) <= MAX_FINGERPRINTS:
            return
        evicted = min(
            self.histories,
            key=lambda fingerprint: (
                len(self.histories[fingerprint].crashes),
                self.histories[fingerprint].changed_at,
            ),
        )
        del self.histories[evicted]

    def blocked_until(self, fingerprint: str, now: float) -> float | None:
        """Return the time until which a request is blocked, or None.

        Parts of prompts are judged together with what else a request has; see
        :mod:`greengagelb.coordination.sharing.crash_blame`.
        """
        if fingerprints.is_account(fingerprint):
            return None
        history = self.histories.get(fingerprint)
        if history is None or len(history.crashes) < EARLY_CRASHES_TO_BLOCK:
            return None
        until = self.block_expiry(fingerprint, history.crashes.values(), now)
        if until is None or fingerprints.is_part(fingerprint):
            return until
        unexplained = [
            crash
            for crash in history.crashes.values()
            if not self.is_explained_by_other(fingerprint, crash, now)
        ]
        return self.block_expiry(fingerprint, unexplained, now)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is blocked now."""
        return self.blocked_until(fingerprint, now) is not None

    def blocked_fingerprints(self, now: float) -> list[str]:
        """Return the blocked requests, those with most crashes first."""
        return [
            fingerprint
            for fingerprint in self.worst_fingerprints()
            if self.is_blocked(fingerprint, now)
        ]

    def is_explained_by_other(
        self, fingerprint: str, crash: crashes.Crash, now: float
    ) -> bool:
        """Return whether another request is the likelier cause of a crash.

        That is one with enough crashes for a block that had run for a shorter
        time on this engine.
        """
        for other_fingerprint, history in self.histories.items():
            other_crash = history.crashes.get(crash.life)
            if other_fingerprint == fingerprint or other_crash is None:
                continue
            if fingerprints.is_account(other_fingerprint):
                continue
            if other_crash.seconds >= crash.seconds:
                continue
            if (
                self.block_expiry(
                    other_fingerprint, history.crashes.values(), now
                )
                is not None
            ):
                return True
        return False

    def worst_fingerprints(self) -> list[str]:
        """Return the requests that others are kept current on, worst first."""
        selected = [
            fingerprint
            for fingerprint, history in self.histories.items()
            if len(history.crashes) >= MIN_SHARED_CRASHES
        ]
        selected.sort(
            key=lambda fingerprint: (
                -len(self.histories[fingerprint].crashes),
                fingerprint,
            )
        )
        return selected[:MAX_SHARED_REQUESTS]

    def cleared_fingerprints(self) -> list[str]:
        """Return the requests whose crashes were cleared, latest first.

        Other instances are told of them as well, or they would go on to refuse
        them.
        """
        selected = [
            fingerprint
            for fingerprint, history in self.histories.items()
            if not history.crashes
        ]
        selected.sort(
            key=lambda fingerprint: -self.histories[fingerprint].changed_at
        )
        return selected[:MAX_SHARED_REQUESTS]

    def digest(self) -> int:
        """Return a checksum of the crashes of the worst requests."""
        lines = sorted(
            ' '.join(
                (fingerprint, *sorted(self.histories[fingerprint].crashes))
            )
            for fingerprint in self.worst_fingerprints()
        )
        return zlib.crc32('\n'.join(lines).encode()) if lines else 0

    def block_expiry(
        self,
        fingerprint: str,
        known_crashes: Iterable[crashes.Crash],
        now: float,
        further_early_crashes: int = 0,
    ) -> float | None:
        """Return when the block by some crashes ends; None without a block.

        Engines that ended with their data centre are no evidence. The more
        engines end alone, the more crashes are needed, and
        ``further_early_crashes`` besides.
        """
        recent = [
            c for c in known_crashes if c.ended_at > now - CRASH_TTL_SECONDS
        ]
        if len(recent) < EARLY_CRASHES_TO_BLOCK:
            return None
        lives = self.ended_lives(fingerprint, recent)
        further = further_early_crashes
        was_seen = all(crash.has_begun for crash in recent)
        if not was_seen and not fingerprints.is_part(fingerprint):
            further += FURTHER_CRASHES_OF_UNSEEN_RUNS
        own = [
            crash
            for crash in recent
            if not self.ends.is_of_loss(
                crash.data_centre, crash.ended_at, lives
            )
        ]
        early = [c for c in own if c.seconds <= EARLY_CRASH_SECONDS]
        expiries = [
            chain[-required].ended_at + CRASH_TTL_SECONDS
            for chain, required in (
                *self.early_chains(early, lives, further),
                (longest_chain(own), CRASHES_TO_BLOCK),
            )
            if len(chain) >= required
        ]
        return max(expiries, default=None)

    def ended_lives(
        self, fingerprint: str, known_crashes: list[crashes.Crash]
    ) -> set[str]:
        """Return the lives that ended under a fingerprint, as far as kept."""
        lives = {crash.life for crash in known_crashes}
        history = self.histories.get(fingerprint)
        return lives if history is None else lives.union(history.lives)

    def early_chains(
        self,
        early: list[crashes.Crash],
        lives: set[str],
        further_early_crashes: int,
    ) -> Iterator[tuple[list[crashes.Crash], int]]:
        """Yield the early crashes until each one, and how many would block.

        Each is judged by what had ended until then, so that a block isn't
        lifted by the crashes that follow.
        """
        chain = longest_chain(early, engine_ends.TOGETHER_SECONDS)
        for length in range(EARLY_CRASHES_TO_BLOCK, len(chain) + 1):
            others = self.ends.count_others(chain[length - 1].ended_at, lives)
            required = EARLY_CRASHES_TO_BLOCK + sum(
                others >= count for count in OTHERS_FOR_ONE_MORE_CRASH
            )
            yield chain[:length], required + further_early_crashes

    def get_suspect(self, fingerprint: str) -> crashes.SuspectRequest:
        """Return an immutable snapshot of the history of a request."""
        history = self.histories[fingerprint]
        return crashes.SuspectRequest(
            fingerprint,
            tuple(sorted(history.crashes.values(), key=end_time)),
            history.survived_at,
            history.changed_at,
        )

    def build_report(
        self, fingerprint: str, now: float
    ) -> crashes.CrashReport:
        """Return the report on a request for other instances."""
        return crashes.build_crash_report(self.get_suspect(fingerprint), now)


def end_time(crash: crashes.Crash) -> float:
    """Return when a crash happened, as a sort key."""
    return crash.ended_at


def longest_chain(
    known_crashes: Iterable[crashes.Crash],
    together_seconds: float = float('inf'),
) -> list[crashes.Crash]:
    """Return the longest sequence of crashes with runs one after another.

    Engines that ran a request at the same time may have ended for one external
    cause, so overlapping runs count once, unless their engines ended more than
    ``together_seconds`` apart.
    """
    chain: list[crashes.Crash] = []
    for crash in sorted(known_crashes, key=end_time):
        began_at = crash.began_at + TIME_TOLERANCE_SECONDS
        if not crash.has_begun:
            began_at -= UNKNOWN_RUN_SECONDS
        if (
            not chain
            or began_at >= chain[-1].ended_at
            or crash.ended_at > chain[-1].ended_at + together_seconds
        ):
            chain.append(crash)
    return chain
