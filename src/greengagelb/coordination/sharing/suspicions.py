"""Broken connections that may mean that an engine has crashed.

Connections break for many reasons. Only if the engine has ended since does it
count against the requests that it ran, so each engine is probed first.
"""

import dataclasses

from greengagelb.coordination.sharing import crash_records
from greengagelb.state import crashes

# How long it may take to find out whether an engine has ended.
SUSPICION_TTL_SECONDS = 10.0
MAX_SUSPICIONS_PER_ENGINE = 256
# Probes are repeated, as the network may lose one or the engine may just be
# ending.
MAX_PROBES = 3
# Delay after an unanswered probe: a process that is ending may reset several
# connections in a row.
PROBE_RETRY_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A run that broke off; see :class:`greengagelb.state.crashes.Crash`."""

    fingerprint: str
    life: str
    began_at: float
    broken_at: float


class Suspicions:
    """Runs that broke off, by engine."""

    def __init__(self) -> None:
        self.by_engine: dict[str, list[Suspicion]] = {}

    def add(self, engine: str, suspicion: Suspicion) -> bool:
        """Add a run; return whether its engine is to be probed."""
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
        """Remove and return the recent runs of an engine."""
        runs = self.by_engine.pop(engine, [])
        return [
            run for run in runs if run.broken_at > now - SUSPICION_TTL_SECONDS
        ]

    def clear_engine(self, engine: str) -> None:
        """Drop the runs of an engine that is still alive."""
        self.by_engine.pop(engine, None)

    def suspected_crashes(self, fingerprint: str) -> dict[str, crashes.Crash]:
        """Return the suspected crashes of a request, by life."""
        return {
            suspicion.life: crash_from_suspicion(suspicion)
            for runs in self.by_engine.values()
            for suspicion in runs
            if suspicion.fingerprint == fingerprint
        }

    def forget_expired(self, now: float) -> None:
        """Drop engines whose fate was never found out."""
        for engine, runs in list(self.by_engine.items()):
            if runs[-1].broken_at <= now - SUSPICION_TTL_SECONDS:
                del self.by_engine[engine]


def crash_from_suspicion(suspicion: Suspicion) -> crashes.Crash:
    """Return the crash that a suspicion becomes if its engine ended."""
    return crashes.Crash(
        suspicion.life, suspicion.began_at, suspicion.broken_at
    )


def count_crashes(
    runs: list[Suspicion], records: crash_records.CrashRecords, now: float
) -> list[str]:
    """Record an engine's crash for each of the runs that it had.

    Returns the fingerprints for which it was unknown.
    """
    return [
        suspicion.fingerprint
        for suspicion in runs
        if records.add_crash(
            suspicion.fingerprint, crash_from_suspicion(suspicion), now
        )
    ]
