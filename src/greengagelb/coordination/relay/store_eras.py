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
EARLIER_ERA_DOUBT_SECONDS = 12.0


class EraVerdict(enum.Enum):
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
        self.restore_unannounced = False
        self.earlier_era_since: float | None = None

    def check_answer(self, era: int, now: float) -> EraVerdict:
        """Take in the era of an answer."""
        if era == self.era:
            self.earlier_era_since = None
            return EraVerdict.CURRENT
        if era > self.era:
            return self.adopt(era)
        if self.earlier_era_since is None:
            self.earlier_era_since = now
        if now >= self.earlier_era_since + EARLIER_ERA_DOUBT_SECONDS:
            return self.adopt(era)
        return EraVerdict.LATE

    def adopt(self, era: int) -> EraVerdict:
        """Go by another era; the first one that is known restores nothing."""
        is_first = self.era == positions.NO_ERA
        self.era = era
        self.earlier_era_since = None
        if is_first:
            return EraVerdict.CURRENT
        self.restore_unannounced = True
        return EraVerdict.RESTORED

    def adopt_from_peer(self, era: int) -> bool:
        """Take in another instance's era; return whether it is news."""
        if era <= self.era:
            return False
        return self.adopt(era) is EraVerdict.RESTORED
