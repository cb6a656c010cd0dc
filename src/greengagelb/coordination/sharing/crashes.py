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
MOST_CRASHES = 3
MOST_LATE_CRASHES = 6
# A request has just begun for so many seconds.
JUST_BEGUN_SECONDS = 0.5
# A run that seems to have begun so long before the crash before it, in
# seconds, followed it: times that others tell of are not exact.
INEXACT_SECONDS = 0.001
# For how long a crash counts, in seconds.
REMEMBERED_SECONDS = 600.0
# Bounds on memory, by about 150 bytes a crash.
MOST_REMEMBERED = 8
MOST_FINGERPRINTS = 1024
# Others are kept up to date on at most so many requests, those with the most
# crashes: with one crash, each that was on its engine is a suspect.
MOST_TOLD = 64
LEAST_TOLD_CRASHES = 2


class CrashRecords:
    """All suspects known here.

    ``changes`` counts what was news here.

    Invariants: no history has a crash from before ``survived_at`` or more
    than ``MOST_REMEMBERED``; there are at most ``MOST_FINGERPRINTS``.
    """

    def __init__(self) -> None:
        self.histories: dict[str, crashes.CrashHistory] = {}
        self.changes = 0

    # -- what becomes known -------------------------------------------------

    def crashed(
        self, fingerprint: str, crash: crashes.Crash, now: float
    ) -> bool:
        """Take in a crash; return whether it is news.

        The time of a crash that others tell of comes out later by as long as
        the news took, so of several times the earliest counts.
        """
        self.forget_old(now)
        if crash.ended_at <= now - REMEMBERED_SECONDS:
            return False
        history = self.histories.get(fingerprint, crashes.CrashHistory())
        known = history.crashes.get(crash.life)
        if known is not None:
            if history.survived_at < crash.ended_at < known.ended_at:
                history.crashes[crash.life] = crash
                self.changes += 1
            return False
        if crash.ended_at <= history.survived_at:
            return False
        history.crashes[crash.life] = crash
        if len(history.crashes) > MOST_REMEMBERED:
            oldest = min(history.crashes.values(), key=by_end)
            del history.crashes[oldest.life]
            if oldest is crash:
                return False
        history.changed_at = now
        self.changes += 1
        self.histories[fingerprint] = history
        self.make_room()
        return True

    def survived(self, fingerprint: str, at: float, now: float) -> bool:
        """Take in that an engine ran a request to its end.

        Returns whether that changes what is known. Requests without a crash
        are by far the most, and nothing is kept of them.
        """
        history = self.histories.get(fingerprint)
        if history is None or at <= history.survived_at:
            return False
        history.survived_at = at
        cleared = [c for c in history.crashes.values() if c.ended_at <= at]
        for crash in cleared:
            del history.crashes[crash.life]
        if cleared:
            history.changed_at = now
            self.changes += 1
        return bool(cleared)

    def told(self, report: crashes.CrashReport, now: float) -> bool:
        """Take in what another instance knows of a request.

        Returns whether the request must not run from now on.
        """
        blocked_before = self.blocks(report.fingerprint, now)
        if report.survived_age is not None:
            at = now - max(0.0, report.survived_age)
            self.survived(report.fingerprint, at, now)
        for told in report.crashes:
            ended_at = now - max(0.0, told.age)
            began_at = ended_at - max(0.0, told.seconds)
            crash = crashes.Crash(told.life, began_at, ended_at)
            self.crashed(report.fingerprint, crash, now)
        return not blocked_before and self.blocks(report.fingerprint, now)

    # -- bounds on memory ---------------------------------------------------

    def forget_old(self, now: float) -> None:
        """Drop crashes, and then suspects, of long ago."""
        oldest = now - REMEMBERED_SECONDS
        for fingerprint, history in list(self.histories.items()):
            for crash in list(history.crashes.values()):
                if crash.ended_at <= oldest:
                    del history.crashes[crash.life]
            if not history.crashes and history.changed_at <= oldest:
                del self.histories[fingerprint]

    def make_room(self) -> None:
        """Drop the one with the fewest crashes, the oldest of these first.

        An account that has many different requests crash engines can't have
        a request forgotten that was worse.
        """
        if len(self.histories) <= MOST_FINGERPRINTS:
            return
        least = min(
            self.histories,
            key=lambda name: (
                len(self.histories[name].crashes),
                self.histories[name].changed_at,
            ),
        )
        del self.histories[least]

    # -- the verdict --------------------------------------------------------

    def blocked_until(self, fingerprint: str, now: float) -> float | None:
        """Return until when a request must not run, or None if it may."""
        history = self.histories.get(fingerprint)
        if history is None or len(history.crashes) < MOST_CRASHES:
            return None
        until = block_of(history.crashes.values(), now)
        if until is None:
            return None
        own = [
            crash
            for crash in history.crashes.values()
            if not self.explained(fingerprint, crash, now)
        ]
        return block_of(own, now)

    def blocks(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not run now."""
        return self.blocked_until(fingerprint, now) is not None

    def blocked(self, now: float) -> list[str]:
        """Return the requests that must not run, the worst first."""
        return [name for name in self.worst() if self.blocks(name, now)]

    def would_block(
        self,
        fingerprint: str,
        suspected: dict[str, crashes.Crash],
        now: float,
    ) -> bool:
        """Return whether a request must not run if it did these crashes too.

        ``suspected`` holds them by life.
        """
        history = self.histories.get(fingerprint)
        known = history.crashes if history else {}
        return block_of((suspected | known).values(), now) is not None

    def explained(
        self, fingerprint: str, crash: crashes.Crash, now: float
    ) -> bool:
        """Return whether another request is the likelier cause of a crash.

        That is one which has crashed as many engines, and had run on this one
        for a shorter time.
        """
        for name, history in self.histories.items():
            other = history.crashes.get(crash.life)
            if name == fingerprint or other is None:
                continue
            if other.seconds >= crash.seconds:
                continue
            if block_of(history.crashes.values(), now) is not None:
                return True
        return False

    # -- what others are told -----------------------------------------------

    def worst(self) -> list[str]:
        """Return the requests that others are kept up to date on.

        Those that were cleared are among them, or the others would go on to
        refuse them.
        """
        found = [
            name
            for name, history in self.histories.items()
            if len(history.crashes) >= LEAST_TOLD_CRASHES
        ]
        found.sort(key=lambda name: -len(self.histories[name].crashes))
        return found[:MOST_TOLD]

    def cleared(self) -> list[str]:
        """Return requests that were suspects until an engine survived them."""
        found = [
            name
            for name, history in self.histories.items()
            if not history.crashes
        ]
        found.sort(key=lambda name: -self.histories[name].changed_at)
        return found[:MOST_TOLD]

    def digest(self) -> int:
        """Return a number that differs where the worst requests differ."""
        lines = sorted(
            ' '.join((name, *sorted(self.histories[name].crashes)))
            for name in self.worst()
        )
        return zlib.crc32('\n'.join(lines).encode()) if lines else 0

    def suspect(self, fingerprint: str) -> crashes.Suspect:
        """Return what is known of a request, as it is now."""
        history = self.histories[fingerprint]
        return crashes.Suspect(
            fingerprint,
            tuple(sorted(history.crashes.values(), key=by_end)),
            history.survived_at,
            history.changed_at,
        )

    def report(self, fingerprint: str, now: float) -> crashes.CrashReport:
        """Return what is known of a request, as others are told."""
        return crashes.report_on(self.suspect(fingerprint), now)


def by_end(crash: crashes.Crash) -> float:
    """Return when a crash was, to sort by."""
    return crash.ended_at


def block_of(found: Iterable[crashes.Crash], now: float) -> float | None:
    """Return until when crashes are enough for a block, or None."""
    recent = [c for c in found if c.ended_at > now - REMEMBERED_SECONDS]
    just_begun = [c for c in recent if c.seconds <= JUST_BEGUN_SECONDS]
    ends = [
        chain[-most].ended_at + REMEMBERED_SECONDS
        for chain, most in (
            (longest_chain(just_begun), MOST_CRASHES),
            (longest_chain(recent), MOST_LATE_CRASHES),
        )
        if len(chain) >= most
    ]
    return max(ends, default=None)


def longest_chain(found: Iterable[crashes.Crash]) -> list[crashes.Crash]:
    """Return the most crashes of which each run began after the one before.

    Engines that a request was on at the same time may have ended for one
    cause that lies elsewhere.
    """
    chain: list[crashes.Crash] = []
    for crash in sorted(found, key=by_end):
        began_at = crash.began_at + INEXACT_SECONDS
        if not chain or began_at >= chain[-1].ended_at:
            chain.append(crash)
    return chain
