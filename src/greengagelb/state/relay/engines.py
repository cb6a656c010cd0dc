"""Engines as they appear in the list of engines."""

import dataclasses

# The start of an engine that does not report when it started.
UNKNOWN_START = 0


def is_earlier(start: int, other: int) -> bool:
    """Return whether one start is known to be before another."""
    return UNKNOWN_START < start < other


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEntry:
    """One life of an engine (one run of its process), as it registered.

    ``engine`` is the engine's identity. After a crash it returns under the
    same or another identity and has lost its state in both cases.
    ``started_at_ms`` is the Unix time of its start in milliseconds, by its
    own clock, and orders the lives under one identity: the greater one is
    the later life. It is ``UNKNOWN_START`` if the engine does not report it.
    ``heartbeat`` counts the renewals of the entry, and restarts with each
    life.
    """

    engine: str
    service: str
    address: Address
    data_centre: str
    slots: int
    leaving: bool
    heartbeat: int
    started_at_ms: int = UNKNOWN_START

    def is_earlier_than(self, started_at_ms: int) -> bool:
        """Return whether this life is earlier than one started at that time.

        False if either start is unknown.
        """
        return is_earlier(self.started_at_ms, started_at_ms)

    @property
    def life(self) -> str:
        """Return a name that is unique among all lives of all engines."""
        if self.started_at_ms == UNKNOWN_START:
            return self.engine
        return f'{self.engine} {self.started_at_ms}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """The load of an engine as reported in an answer."""

    running: int
    waiting: int
    slots: int
