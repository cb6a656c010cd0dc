"""Broken connections that may mean that an engine has crashed.

Connections break for many reasons. Only an engine that has ended since counts
against the requests that it ran, so each is asked first.
"""

import dataclasses

from greengagelb.coordination.sharing import crashes as crash_records
from greengagelb.state import crashes

# How long an engine may take to show what has become of it, in seconds.
WAIT_SECONDS = 10.0
# The most that wait for one engine.
MOST_WAITING = 256
# An engine that does not answer is asked so often. It may be the network that
# has lost the question, or the engine is just ending.
MOST_QUESTIONS = 3
# After a question without an answer the next one waits for so many seconds: a
# process that is ending may reset several in a row.
ASK_AGAIN_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A run that broke off; see :class:`greengagelb.state.crashes.Crash`."""

    fingerprint: str
    life: str
    began_at: float
    broke_at: float


class Suspicions:
    """Runs that broke off, by the engine that had them."""

    def __init__(self) -> None:
        self.waiting: dict[str, list[Suspicion]] = {}

    def add(self, engine: str, suspicion: Suspicion) -> bool:
        """Keep a run; return whether its engine is to be asked."""
        found = self.waiting.setdefault(engine, [])
        found[:] = [
            s for s in found if s.broke_at > suspicion.broke_at - WAIT_SECONDS
        ]
        if len(found) < MOST_WAITING:
            found.append(suspicion)
        return len(found) == 1

    def ended(self, engine: str, now: float) -> list[Suspicion]:
        """Return the runs that an engine's end explains, and forget them."""
        found = self.waiting.pop(engine, [])
        return [s for s in found if s.broke_at > now - WAIT_SECONDS]

    def lives(self, engine: str) -> None:
        """Forget the runs of an engine that is still there."""
        self.waiting.pop(engine, None)

    def crashes_of(self, fingerprint: str) -> dict[str, crashes.Crash]:
        """Return the crashes that a request is suspected of, by life."""
        return {
            suspicion.life: crash_of(suspicion)
            for waiting in self.waiting.values()
            for suspicion in waiting
            if suspicion.fingerprint == fingerprint
        }

    def forget_old(self, now: float) -> None:
        """Forget engines that never showed what became of them."""
        for engine, found in list(self.waiting.items()):
            if found[-1].broke_at <= now - WAIT_SECONDS:
                del self.waiting[engine]


def crash_of(suspicion: Suspicion) -> crashes.Crash:
    """Return what a suspicion means if its engine has ended."""
    return crashes.Crash(
        suspicion.life, suspicion.began_at, suspicion.broke_at
    )


def count(
    found: list[Suspicion], records: crash_records.CrashRecords, now: float
) -> list[str]:
    """Count an engine's crash against the runs that it had.

    Returns the fingerprints of those that it counts against.
    """
    return [
        suspicion.fingerprint
        for suspicion in found
        if records.crashed(suspicion.fingerprint, crash_of(suspicion), now)
    ]
