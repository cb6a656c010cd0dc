"""Engines as the list of engines tells of them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEntry:
    """One start of an engine, as it registered itself.

    ``engine`` names this start alone: a restarted engine has another, and
    so has an engine of another service that was given the same address
    later. ``heartbeat`` counts the entry's renewals.
    """

    engine: str
    service: str
    address: Address
    data_centre: str
    slots: int
    leaving: bool
    heartbeat: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine says of its load in an answer."""

    running: int
    waiting: int
    slots: int
