"""Engines that crashed while they ran a request.

Times are monotonic seconds of the instance that holds them; what instances
tell each other are ages.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An engine's life that ended while it ran a request.

    ``began_at`` is when it began to run it, as far as that can be seen from
    outside: the head of its answer, or the send where answers are short.
    """

    life: str
    began_at: float
    ended_at: float

    @property
    def seconds(self) -> float:
        """Return how long the request had run."""
        return self.ended_at - self.began_at


@dataclasses.dataclass(slots=True)
class CrashHistory:
    """The crashes under one request, by the life that ended.

    ``survived_at`` is when an engine last ran it to its end; crashes before
    that are not its doing. ``changed_at`` is when this was last news here.
    """

    crashes: dict[str, Crash] = dataclasses.field(default_factory=dict)
    survived_at: float = float('-inf')
    changed_at: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRequest:
    """A request and its history at one moment."""

    fingerprint: str
    crashes: tuple[Crash, ...]
    survived_at: float
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash as another instance tells of it, in seconds."""

    life: str
    seconds: float
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReportsRequest:
    """The sender asks for all that the receiver knows."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """What an instance knows of the crashes under one request.

    ``survived_age`` is None where no engine is known to have survived it.
    """

    fingerprint: str
    crashes: tuple[ReportedCrash, ...]
    survived_age: float | None = None


def build_crash_report(suspect: SuspectRequest, now: float) -> CrashReport:
    """Return what is known of a suspect, as others are told."""
    survived_age = None
    if suspect.survived_at > float('-inf'):
        survived_age = now - suspect.survived_at
    reported = tuple(
        ReportedCrash(crash.life, crash.seconds, now - crash.ended_at)
        for crash in suspect.crashes
    )
    return CrashReport(suspect.fingerprint, reported, survived_age)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredCrash:
    """A crash as the store keeps it; ``ended_at_ms`` is its Unix time."""

    life: str
    seconds: float
    ended_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredCrashes:
    """The crashes under one request as the store keeps them."""

    fingerprint: str
    crashes: tuple[StoredCrash, ...]


def to_stored_crashes(
    report: CrashReport, wall_milliseconds: int
) -> StoredCrashes:
    """Return a report as it is kept."""
    return StoredCrashes(
        report.fingerprint,
        tuple(
            StoredCrash(
                crash.life,
                crash.seconds,
                wall_milliseconds - round(crash.age * 1000),
            )
            for crash in report.crashes
        ),
    )


def to_crash_report(
    stored: StoredCrashes, wall_milliseconds: int
) -> CrashReport:
    """Return what is kept as a report.

    The clock of who wrote it may have been ahead.
    """
    return CrashReport(
        stored.fingerprint,
        tuple(
            ReportedCrash(
                crash.life,
                crash.seconds,
                max(0, wall_milliseconds - crash.ended_at_ms) / 1000,
            )
            for crash in stored.crashes
        ),
    )
