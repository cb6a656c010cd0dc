"""Engines as the list of engines tells of them."""

import dataclasses

# The start of an engine that does not say when it started.
UNKNOWN_START = 0


def is_earlier(start: int, other: int) -> bool:
    """Return whether one start is known to lie before another."""
    return UNKNOWN_START < start < other


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEntry:
    """One life of an engine, as it registered itself.

    ``engine`` is the engine's identity. One that crashed comes back under
    another identity or under the same one; it remembers nothing of before
    either way. ``started_at_ms`` is the Unix time of its start in
    milliseconds, by its own clock, and tells two lives under one identity
    apart: the greater one is the later life. It is ``UNKNOWN_START`` where
    the engine does not say it. ``heartbeat`` counts the entry's renewals,
    and begins anew with each life.
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
        """Return whether this is an earlier life than one that began then.

        Of a life whose start is not known nobody can tell.
        """
        return is_earlier(self.started_at_ms, started_at_ms)

    @property
    def life(self) -> str:
        """Return a name that no other life of any engine has."""
        if self.started_at_ms == UNKNOWN_START:
            return self.engine
        return f'{self.engine} {self.started_at_ms}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine says of its load in an answer."""

    running: int
    waiting: int
    slots: int
