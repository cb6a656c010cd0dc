"""Tells an answer of a store that came back from a copy from a late answer.

Both state another era than the one that is known. A higher one is news. A
lower one, or none, is an answer from before, on a connection that stood still;
believed, it would bring back what is gone. But if nothing else comes for some
time, it is the store that speaks.
"""

import enum

from greengagelb.state.relay import positions

# After so many seconds of nothing but answers of an earlier era that era is
# believed. The longest answer in use takes ten seconds.
DOUBT_SECONDS = 12.0


class Verdict(enum.Enum):
    """What an answer's era makes of it."""

    CURRENT = 'current'
    RESTORED = 'restored'
    LATE = 'late'


class StoreEras:
    """The era of the store as this instance knows it.

    ``doubted_at`` is when the first of the late answers came that nothing
    current has followed. ``untold`` is whether the others may not know yet
    that the store has come back from a copy.
    """

    def __init__(self) -> None:
        self.era = positions.NO_ERA
        self.untold = False
        self.doubted_at: float | None = None

    def read(self, era: int, now: float) -> Verdict:
        """Take in the era of an answer."""
        if era == self.era:
            self.doubted_at = None
            return Verdict.CURRENT
        if era > self.era:
            return self.begin(era)
        if self.doubted_at is None:
            self.doubted_at = now
        if now >= self.doubted_at + DOUBT_SECONDS:
            return self.begin(era)
        return Verdict.LATE

    def begin(self, era: int) -> Verdict:
        """Go by another era; the first one that is known restores nothing."""
        is_first = self.era == positions.NO_ERA
        self.era = era
        self.doubted_at = None
        if is_first:
            return Verdict.CURRENT
        self.untold = True
        return Verdict.RESTORED

    def heard(self, era: int) -> bool:
        """Take in another instance's era; return whether it is news."""
        if era <= self.era:
            return False
        return self.begin(era) is Verdict.RESTORED
