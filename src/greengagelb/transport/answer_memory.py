"""Bounds the memory that incomplete answers of engines use together.

Each answer has a bound of its own, for its largest proper size. Many engines
that send bytes without an end would still fill the memory of an instance.
Beyond the bound of all, the answer that holds most is rejected, so that the
small ones of other engines go on.
"""

from typing import Protocol

MAX_HELD_BYTES = 48 << 20
# Answers that hold less are not counted: there are many, and they change
# often.
LEAST_COUNTED_BYTES = 16 << 10


class HeldAnswer(Protocol):
    """An answer that is not complete."""

    def reject_answer(self, detail: str) -> None:
        """Close the connection, and release what is held."""


class AnswerMemory:
    """Counts the bytes that incomplete answers hold.

    Invariants: ``total`` is the sum of ``held``, and at most ``most`` bytes
    after each call.
    """

    def __init__(self, most: int = MAX_HELD_BYTES) -> None:
        self.most = most
        self.held: dict[HeldAnswer, int] = {}
        self.total = 0

    def hold(self, answer: HeldAnswer, length: int) -> None:
        """Count that an answer holds ``length`` bytes now.

        The largest answers are rejected if there is too much.
        """
        self.release(answer)
        if length < LEAST_COUNTED_BYTES:
            return
        self.held[answer] = length
        self.total += length
        while self.total > self.most:
            largest = max(self.held, key=self.held.__getitem__)
            self.release(largest)
            largest.reject_answer('answers hold too many bytes')

    def release(self, answer: HeldAnswer) -> None:
        """Stop counting an answer that is complete or was given up."""
        self.total -= self.held.pop(answer, 0)
