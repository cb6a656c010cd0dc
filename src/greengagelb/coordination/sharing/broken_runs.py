"""Runs whose connection broke, which may mean that an engine has crashed.

Connections break for many reasons. Only if the engine has ended since does it
count against the requests that it ran, so each engine is probed first.
"""

import dataclasses

from greengagelb.coordination.sharing import crash_records
from greengagelb.state import crashes

# How long it may take to find out whether an engine has ended.
BROKEN_RUN_TTL_SECONDS = 10.0
MAX_BROKEN_RUNS_PER_ENGINE = 256
# Probes are repeated, as the network may lose one or the engine may just be
# ending.
MAX_PROBES = 3
# Delay after an unanswered probe: a process that is ending may reset several
# connections in a row.
PROBE_RETRY_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenRun:
    """A broken run; see :class:`greengagelb.state.crashes.Crash`.

    ``fingerprints`` are those under which the crash counts if its engine has
    ended, ``request_id`` that of the caller.
    """

    fingerprints: tuple[str, ...]
    life: str
    began_at: float
    broken_at: float
    request_id: str = ''
    data_centre: str = ''
    has_begun: bool = True


class BrokenRuns:
    """Runs that broke off, by engine.

    ``suspected`` has the crashes that they count as if their engines ended, by
    fingerprint and life. What several runs of a life have in common is judged
    by the one that began last.

    Invariant: ``suspected`` has exactly the lives of the runs in
    ``by_engine``, under their fingerprints.
    """

    def __init__(self) -> None:
        self.by_engine: dict[str, list[BrokenRun]] = {}
        self.suspected: dict[str, dict[str, crashes.Crash]] = {}

    def add(self, engine: str, broken_run: BrokenRun) -> bool:
        """Add a run; return whether its engine is to be probed."""
        runs = self.by_engine.get(engine, [])
        oldest_kept_at = broken_run.broken_at - BROKEN_RUN_TTL_SECONDS
        if runs and runs[0].broken_at <= oldest_kept_at:
            self.remove_engine(engine)
            runs = [run for run in runs if run.broken_at > oldest_kept_at]
            for run in runs:
                self.suspect(run)
        self.by_engine[engine] = runs
        if len(runs) < MAX_BROKEN_RUNS_PER_ENGINE:
            runs.append(broken_run)
            self.suspect(broken_run)
        return len(runs) == 1

    def suspect(self, broken_run: BrokenRun) -> None:
        """Count a run as a suspected crash."""
        crash = crash_from_broken_run(broken_run)
        for fingerprint in broken_run.fingerprints:
            by_life = self.suspected.setdefault(fingerprint, {})
            known = by_life.get(crash.life)
            if known is None or known.began_at <= crash.began_at:
                by_life[crash.life] = crash

    def remove_engine(self, engine: str) -> list[BrokenRun]:
        """Remove and return the runs of an engine."""
        runs = self.by_engine.pop(engine, [])
        for run in runs:
            for fingerprint in run.fingerprints:
                by_life = self.suspected.get(fingerprint, {})
                by_life.pop(run.life, None)
                if not by_life:
                    self.suspected.pop(fingerprint, None)
        return runs

    def pop_broken_runs(self, engine: str, now: float) -> list[BrokenRun]:
        """Remove and return the recent runs of an engine."""
        return [
            run
            for run in self.remove_engine(engine)
            if run.broken_at > now - BROKEN_RUN_TTL_SECONDS
        ]

    def has_recent(self, engine: str, now: float) -> bool:
        """Return whether an engine has runs that may still count."""
        oldest_kept_at = now - BROKEN_RUN_TTL_SECONDS
        return any(
            run.broken_at > oldest_kept_at
            for run in self.by_engine.get(engine, ())
        )

    def suspected_crashes(self, fingerprint: str) -> dict[str, crashes.Crash]:
        """Return the suspected crashes under a fingerprint, by life."""
        return self.suspected.get(fingerprint, {})

    def forget_expired(self, now: float) -> None:
        """Drop engines that were never found to have ended or to be alive."""
        for engine, runs in list(self.by_engine.items()):
            if runs[-1].broken_at <= now - BROKEN_RUN_TTL_SECONDS:
                self.remove_engine(engine)


def begin_time(broken_run: BrokenRun) -> float:
    """Return when a run began, as a sort key."""
    return broken_run.began_at


def crash_from_broken_run(broken_run: BrokenRun) -> crashes.Crash:
    """Return the crash that a broken run counts as if its engine ended."""
    return crashes.Crash(
        broken_run.life,
        broken_run.began_at,
        broken_run.broken_at,
        broken_run.data_centre,
        broken_run.has_begun,
    )


def count_crashes(
    runs: list[BrokenRun], records: crash_records.CrashRecords, now: float
) -> list[str]:
    """Record an engine's crash for each of the runs that it had.

    What several of them have in common is judged by the one that began last.
    Returns the fingerprints for which the crash was unknown.
    """
    last_runs = {
        fingerprint: broken_run
        for broken_run in sorted(runs, key=begin_time)
        for fingerprint in broken_run.fingerprints
    }
    return [
        fingerprint
        for fingerprint, broken_run in last_runs.items()
        if records.add_crash(
            fingerprint, crash_from_broken_run(broken_run), now
        )
    ]
