"""Engine crashes during a request, to detect requests that cause them.

Times are monotonic seconds of the local instance. Messages between instances
carry ages instead, as monotonic clocks of two machines can't be compared.
"""

import dataclasses

# Memory bound; a life takes about 100 bytes.
MAX_LIVES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an engine while it ran a request.

    ``life`` is the engine's life (one run of its process) that ended.
    ``began_at`` is when the engine began to run the request as far as an
    instance can observe: when the head of its answer arrived, or when the
    request was sent if answers are short. ``has_begun`` is false if the engine
    is not known to have begun to run it, as no head of a stream has arrived;
    ``began_at`` is the time of the crash then. ``data_centre`` is that of the
    engine, empty if it is not known.
    """

    life: str
    began_at: float
    ended_at: float
    data_centre: str = ''
    has_begun: bool = True

    @property
    def seconds(self) -> float:
        """Return how long the request had run before the crash."""
        return self.ended_at - self.began_at


@dataclasses.dataclass(frozen=True, slots=True)
class PossibleCauses:
    """Fingerprints of what may be the cause if a request crashes an engine.

    The whole request, the client account, which is never blocked, and the
    parts of the prompt that other requests may share.
    """

    request: str
    account: str = ''
    parts: tuple[str, ...] = ()

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return all of them."""
        account = (self.account,) if self.account else ()
        return (self.request, *account, *self.parts)


@dataclasses.dataclass(slots=True)
class CrashHistory:
    """The crashes under one fingerprint, by the engine's life that ended.

    ``survived_at`` is when an engine last completed the request, or survived
    the part; crashes before that are not attributed to it.
    ``changed_at`` is when this instance last learned something new about it,
    ``survival_told_at`` when an instance last said that it was survived.
    ``lives`` has the latest lives that ended under it, in this order, also
    those whose crashes are not kept.
    """

    crashes: dict[str, Crash] = dataclasses.field(default_factory=dict)
    lives: dict[str, None] = dataclasses.field(default_factory=dict)
    survived_at: float = float('-inf')
    changed_at: float = float('-inf')
    survival_told_at: float = float('-inf')

    def note_life(self, life: str) -> None:
        """Note that a life has ended under the fingerprint."""
        self.lives[life] = None
        if len(self.lives) > MAX_LIVES:
            del self.lives[next(iter(self.lives))]


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRequest:
    """Snapshot of the crash history of a suspected request."""

    fingerprint: str
    crashes: tuple[Crash, ...]
    survived_at: float
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash as reported by another instance; times are in seconds."""

    life: str
    seconds: float
    age: float
    data_centre: str = ''
    has_begun: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReportsRequest:
    """Asks the receiver for all its crash reports."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """The crashes under one fingerprint that an instance knows of.

    ``survived_age`` is None if no engine is known to have completed the
    request, or survived the part. ``is_on_trial`` tells that the
    sender has just sent a request that decides whether the part is blocked.
    """

    fingerprint: str
    crashes: tuple[ReportedCrash, ...]
    survived_age: float | None = None
    is_on_trial: bool = False


def build_crash_report(suspect: SuspectRequest, now: float) -> CrashReport:
    """Return the report about a suspected request for other instances."""
    survived_age = None
    if suspect.survived_at > float('-inf'):
        survived_age = now - suspect.survived_at
    reported = tuple(
        ReportedCrash(
            crash.life,
            crash.seconds,
            now - crash.ended_at,
            crash.data_centre,
            crash.has_begun,
        )
        for crash in suspect.crashes
    )
    return CrashReport(suspect.fingerprint, reported, survived_age)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredCrash:
    """A crash as stored; ``ended_at_ms`` is its Unix time."""

    life: str
    seconds: float
    ended_at_ms: int
    data_centre: str = ''
    has_begun: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class StoredCrashes:
    """The crashes under one fingerprint as stored.

    ``lifted_at_ms`` is the Unix time at which an operator has lifted the
    block, or None. Earlier crashes don't count any more then.
    """

    fingerprint: str
    crashes: tuple[StoredCrash, ...]
    lifted_at_ms: int | None = None


def to_stored_crashes(
    report: CrashReport, wall_milliseconds: int
) -> StoredCrashes:
    """Return a report in the form in which it is stored."""
    return StoredCrashes(
        report.fingerprint,
        tuple(
            StoredCrash(
                crash.life,
                crash.seconds,
                wall_milliseconds - round(crash.age * 1000),
                crash.data_centre,
                crash.has_begun,
            )
            for crash in report.crashes
        ),
    )


def to_crash_report(
    stored: StoredCrashes, wall_milliseconds: int
) -> CrashReport:
    """Return stored crashes as a report.

    Ages are at least 0, as the clock of the writer may have been ahead.
    """
    lifted_age = None
    if stored.lifted_at_ms is not None:
        lifted_age = max(0, wall_milliseconds - stored.lifted_at_ms) / 1000
    return CrashReport(
        stored.fingerprint,
        tuple(
            ReportedCrash(
                crash.life,
                crash.seconds,
                max(0, wall_milliseconds - crash.ended_at_ms) / 1000,
                crash.data_centre,
                crash.has_begun,
            )
            for crash in stored.crashes
        ),
        lifted_age,
    )
