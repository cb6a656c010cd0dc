"""What an engine states about itself in the head of an answer.

Both kinds of instance use these types; their header names differ.
"""

import collections
from collections.abc import Mapping
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """The statements in one answer.

    ``leaving`` tells that the engine is about to end. ``rest_seconds`` is how
    long it wants no requests from the instance that it answered, 0.0 if it
    asks for no rest. ``refusal_rate`` is how many requests it can turn away in
    a second before it fails, None if it says nothing of it. ``unusable`` has
    the values that could not be parsed.
    """

    leaving: bool = False
    rest_seconds: float = 0.0
    refusal_rate: float | None = None
    unusable: tuple[str, ...] = ()


NO_STATEMENT = Statement()


class SourceKind(enum.Enum):
    """How an instance can learn that an engine leaves."""

    LIST = 'list'
    ANSWER = 'answer'
    INSTANCE = 'instance'


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where this instance learned of a statement.

    ``text`` is for the timeline; ``learned_at`` is a monotonic time.
    """

    kind: SourceKind
    text: str
    learned_at: float

    def describe(self, now: float) -> str:
        """Return the source and its age for the timeline."""
        return f'{self.text}, {now - self.learned_at:.3f} s ago'


@dataclasses.dataclass(frozen=True, slots=True)
class StatementStatistics:
    """Statistics of what engines have stated, as known to one instance.

    ``leaving`` counts the engines that leave by how that became known,
    ``resting`` those that have asked for rest. ``held`` is the number of
    requests that wait for an engine, ``held_count`` how many ever had to.
    """

    leaving: Mapping[SourceKind, int] = dataclasses.field(
        default_factory=collections.Counter
    )
    resting: int = 0
    held: int = 0
    held_count: int = 0
