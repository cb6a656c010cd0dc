"""Broken connections that may mean that an engine has crashed.

Connections break for many reasons. Only an engine that has ended since counts
against the requests that it ran, so each is asked first.
"""

import dataclasses

from greengagelb.coordination.sharing import crash_records
from greengagelb.state import crashes

# How long an engine may take to show what has become of it, in seconds.
SUSPICION_TTL_SECONDS = 10.0
# The most that wait for one engine.
MAX_SUSPICIONS_PER_ENGINE = 256
# An engine that does not answer is asked so often. It may be the network that
# has lost the question, or the engine is just ending.
MAX_PROBES = 3
# After a question without an answer the next one waits for so many seconds: a
# process that is ending may reset several in a row.
PROBE_RETRY_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A run that broke off; see :class:`greengagelb.state.crashes.Crash`."""

    fingerprint: str
    life: str
    began_at: float
    broken_at: float


class Suspicions:
    """Runs that broke off, by the engine that had them."""

    def __init__(self) -> None:
        self.by_engine: dict[str, list[Suspicion]] = {}

    def add(self, engine: str, suspicion: Suspicion) -> bool:
        """Keep a run; return whether its engine is to be asked."""
        runs = self.by_engine.setdefault(engine, [])
        runs[:] = [
            run
            for run in runs
            if run.broken_at > suspicion.broken_at - SUSPICION_TTL_SECONDS
        ]
        if len(runs) < MAX_SUSPICIONS_PER_ENGINE:
            runs.append(suspicion)
        return len(runs) == 1

    def pop_suspicions(self, engine: str, now: float) -> list[Suspicion]:
        """Return the runs that an engine's end explains, and forget them."""
        runs = self.by_engine.pop(engine, [])
        return [
            run for run in runs if run.broken_at > now - SUSPICION_TTL_SECONDS
        ]

    def clear_engine(self, engine: str) -> None:
        """Forget the runs of an engine that is still there."""
        self.by_engine.pop(engine, None)

    def suspected_crashes(self, fingerprint: str) -> dict[str, crashes.Crash]:
        """Return the crashes that a request is suspected of, by life."""
        return {
            suspicion.life: crash_from_suspicion(suspicion)
            for runs in self.by_engine.values()
            for suspicion in runs
            if suspicion.fingerprint == fingerprint
        }

    def forget_expired(self, now: float) -> None:
        """Forget engines that never showed what became of them."""
        for engine, runs in list(self.by_engine.items()):
            if runs[-1].broken_at <= now - SUSPICION_TTL_SECONDS:
                del self.by_engine[engine]


def crash_from_suspicion(suspicion: Suspicion) -> crashes.Crash:
    """Return what a suspicion means if its engine has ended."""
    return crashes.Crash(
        suspicion.life, suspicion.began_at, suspicion.broken_at
    )


def count_crashes(
    runs: list[Suspicion], records: crash_records.CrashRecords, now: float
) -> list[str]:
    """Count an engine's crash against the runs that it had.

    Returns the fingerprints of those that it counts against.
    """
    return [
        suspicion.fingerprint
        for suspicion in runs
        if records.add_crash(
            suspicion.fingerprint, crash_from_suspicion(suspicion), now
        )
    ]
