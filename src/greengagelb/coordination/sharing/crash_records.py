"""Which requests crash the engines that run them.

A crash ends all that its engine was doing, so each of those requests is a
suspect. What tells the one that did it from the others:

* it has just begun: the others are somewhere in the middle;
* it does it again, on an engine that it was sent to after the last crash. A
  data centre that goes dark ends many engines at one time;
* no engine has run it to its end since;
* no other request explains its crashes better.

Instances tell each other what they know, in any order and more than once:
what is known is the union of it, so all come to the same verdict.
"""

from collections.abc import Iterable
import zlib

from greengagelb.state import crashes

# So many engines that crashed just after they had begun to run a request, or
# so many at any later time, and it is run no more.
EARLY_CRASHES_TO_BLOCK = 3
CRASHES_TO_BLOCK = 6
# A request has just begun for so many seconds.
EARLY_CRASH_SECONDS = 0.5
# A run that seems to have begun so long before the crash before it, in
# seconds, followed it: times that others tell of are not exact.
TIME_TOLERANCE_SECONDS = 0.001
# For how long a crash counts, in seconds.
CRASH_TTL_SECONDS = 600.0
# Bounds on memory, by about 150 bytes a crash.
MAX_CRASHES_PER_REQUEST = 8
MAX_FINGERPRINTS = 1024
# Others are kept up to date on at most so many requests, those with the most
# crashes: with one crash, each that was on its engine is a suspect.
MAX_SHARED_REQUESTS = 64
MIN_SHARED_CRASHES = 2


class CrashRecords:
    """All suspects known here.

    ``changes`` counts what was news here.

    Invariants: no history has a crash from before ``survived_at`` or more
    than ``MOST_REMEMBERED``; there are at most ``MOST_FINGERPRINTS``.
    """

    def __init__(self) -> None:
        self.histories: dict[str, crashes.CrashHistory] = {}
        self.change_count = 0

    # -- what becomes known -------------------------------------------------

    def add_crash(
        self, fingerprint: str, crash: crashes.Crash, now: float
    ) -> bool:
        """Take in a crash; return whether it is news.

        The time of a crash that others tell of comes out later by as long as
        the news took, so of several times the earliest counts.
        """
        self.forget_expired(now)
        if crash.ended_at <= now - CRASH_TTL_SECONDS:
            return False
        history = self.histories.get(fingerprint, crashes.CrashHistory())
        known_crash = history.crashes.get(crash.life)
        if known_crash is not None:
            if history.survived_at < crash.ended_at < known_crash.ended_at:
                history.crashes[crash.life] = crash
                self.change_count += 1
            return False
        if crash.ended_at <= history.survived_at:
            return False
        history.crashes[crash.life] = crash
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
        """Take in that an engine ran a request to its end.

        Returns whether that changes what is known. Requests without a crash
        are by far the most, and nothing is kept of them.
        """
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
        """Take in what another instance knows of a request.

        Returns whether the request must not run from now on.
        """
        blocked_before = self.is_blocked(report.fingerprint, now)
        if report.survived_age is not None:
            survived_at = now - max(0.0, report.survived_age)
            self.record_survival(report.fingerprint, survived_at, now)
        for reported in report.crashes:
            ended_at = now - max(0.0, reported.age)
            began_at = ended_at - max(0.0, reported.seconds)
            crash = crashes.Crash(reported.life, began_at, ended_at)
            self.add_crash(report.fingerprint, crash, now)
        return not blocked_before and self.is_blocked(report.fingerprint, now)

    # -- bounds on memory ---------------------------------------------------

    def forget_expired(self, now: float) -> None:
        """Drop crashes, and then suspects, of long ago."""
        oldest_kept_at = now - CRASH_TTL_SECONDS
        for fingerprint, history in list(self.histories.items()):
            for crash in list(history.crashes.values()):
                if crash.ended_at <= oldest_kept_at:
                    del history.crashes[crash.life]
            if not history.crashes and history.changed_at <= oldest_kept_at:
                del self.histories[fingerprint]

    def evict_least_crashed(self) -> None:
        """Drop the one with the fewest crashes, the oldest of these first.

        An account that has many different requests crash engines can't have
        a request forgotten that was worse.
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

    # -- the verdict --------------------------------------------------------

    def blocked_until(self, fingerprint: str, now: float) -> float | None:
        """Return until when a request must not run, or None if it may."""
        history = self.histories.get(fingerprint)
        if history is None or len(history.crashes) < EARLY_CRASHES_TO_BLOCK:
            return None
        until = block_expiry(history.crashes.values(), now)
        if until is None:
            return None
        unexplained = [
            crash
            for crash in history.crashes.values()
            if not self.is_explained_by_other(fingerprint, crash, now)
        ]
        return block_expiry(unexplained, now)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not run now."""
        return self.blocked_until(fingerprint, now) is not None

    def blocked_fingerprints(self, now: float) -> list[str]:
        """Return the requests that must not run, the worst first."""
        return [
            fingerprint
            for fingerprint in self.worst_fingerprints()
            if self.is_blocked(fingerprint, now)
        ]

    def would_be_blocked(
        self,
        fingerprint: str,
        suspected: dict[str, crashes.Crash],
        now: float,
    ) -> bool:
        """Return whether a request must not run if it did these crashes too.

        ``suspected`` holds them by life.
        """
        history = self.histories.get(fingerprint)
        known_crashes = history.crashes if history else {}
        return (
            block_expiry((suspected | known_crashes).values(), now) is not None
        )

    def is_explained_by_other(
        self, fingerprint: str, crash: crashes.Crash, now: float
    ) -> bool:
        """Return whether another request is the likelier cause of a crash.

        That is one which has crashed as many engines, and had run on this one
        for a shorter time.
        """
        for other_fingerprint, history in self.histories.items():
            other_crash = history.crashes.get(crash.life)
            if other_fingerprint == fingerprint or other_crash is None:
                continue
            if other_crash.seconds >= crash.seconds:
                continue
            if block_expiry(history.crashes.values(), now) is not None:
                return True
        return False

    # -- what others are told -----------------------------------------------

    def worst_fingerprints(self) -> list[str]:
        """Return the requests that others are kept up to date on.

        Those that were cleared are among them, or the others would go on to
        refuse them.
        """
        selected = [
            fingerprint
            for fingerprint, history in self.histories.items()
            if len(history.crashes) >= MIN_SHARED_CRASHES
        ]
        selected.sort(
            key=lambda fingerprint: -len(self.histories[fingerprint].crashes)
        )
        return selected[:MAX_SHARED_REQUESTS]

    def cleared_fingerprints(self) -> list[str]:
        """Return requests that were suspects until an engine survived them."""
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
        """Return a number that differs where the worst requests differ."""
        lines = sorted(
            ' '.join(
                (fingerprint, *sorted(self.histories[fingerprint].crashes))
            )
            for fingerprint in self.worst_fingerprints()
        )
        return zlib.crc32('\n'.join(lines).encode()) if lines else 0

    def get_suspect(self, fingerprint: str) -> crashes.Suspect:
        """Return what is known of a request, as it is now."""
        history = self.histories[fingerprint]
        return crashes.Suspect(
            fingerprint,
            tuple(sorted(history.crashes.values(), key=end_time)),
            history.survived_at,
            history.changed_at,
        )

    def build_report(
        self, fingerprint: str, now: float
    ) -> crashes.CrashReport:
        """Return what is known of a request, as others are told."""
        return crashes.report_on(self.get_suspect(fingerprint), now)


def end_time(crash: crashes.Crash) -> float:
    """Return when a crash was, to sort by."""
    return crash.ended_at


def block_expiry(
    known_crashes: Iterable[crashes.Crash], now: float
) -> float | None:
    """Return until when crashes are enough for a block, or None."""
    recent = [c for c in known_crashes if c.ended_at > now - CRASH_TTL_SECONDS]
    early = [c for c in recent if c.seconds <= EARLY_CRASH_SECONDS]
    expiries = [
        chain[-required].ended_at + CRASH_TTL_SECONDS
        for chain, required in (
            (longest_chain(early), EARLY_CRASHES_TO_BLOCK),
            (longest_chain(recent), CRASHES_TO_BLOCK),
        )
        if len(chain) >= required
    ]
    return max(expiries, default=None)


def longest_chain(
    known_crashes: Iterable[crashes.Crash],
) -> list[crashes.Crash]:
    """Return the most crashes of which each run began after the one before.

    Engines that a request was on at the same time may have ended for one
    cause that lies elsewhere.
    """
    chain: list[crashes.Crash] = []
    for crash in sorted(known_crashes, key=end_time):
        began_at = crash.began_at + TIME_TOLERANCE_SECONDS
        if not chain or began_at >= chain[-1].ended_at:
            chain.append(crash)
    return chain
