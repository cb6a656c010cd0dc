"""What an engine states about itself in the head of an answer.

Both kinds of instance use these types; their header names differ.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """The statements in one answer.

    ``leaving`` tells that the engine is about to end. ``rest_seconds`` is how
    long it wants no requests from the instance that it answered, 0.0 if it
    asks for no rest. ``unusable`` has the values that could not be parsed.
    """

    leaving: bool = False
    rest_seconds: float = 0.0
    unusable: tuple[str, ...] = ()


NO_STATEMENT = Statement()


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where this instance learned of a statement.

    ``text`` is for the timeline; ``learned_at`` is a monotonic time.
    """

    text: str
    learned_at: float

    def describe(self, now: float) -> str:
        """Return the source and its age for the timeline."""
        return f'{self.text}, {now - self.learned_at:.3f} s ago'
