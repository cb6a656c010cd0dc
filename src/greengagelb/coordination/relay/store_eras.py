"""Tells what an answer of the store with another era means.

Either the store was restored from a backup, or the answer is late. A higher
era is a restore. A lower one, or none, belongs to an old answer of a
connection that was stalled; applying it would bring back removed entries. But
if only such answers arrive for some time, the store itself has gone back to
that era.
"""

import enum

from greengagelb.state.relay import positions

# An earlier era is adopted once only answers of earlier eras have arrived for
# this time. The longest answer in use takes ten seconds.
EARLIER_ERA_DOUBT_SECONDS = 12.0


class EraVerdict(enum.Enum):
    """What the era of an answer says about the answer."""

    CURRENT = 'current'
    RESTORED = 'restored'
    LATE = 'late'


class StoreEras:
    """The era of the store as known to this instance.

    ``earlier_era_since`` is the time of the first answer of an earlier era
    since the last current one. ``restore_unannounced`` tells that the other
    instances were not told of the latest restore yet.
    """

    def __init__(self) -> None:
        self.era = positions.NO_ERA
        self.restore_unannounced = False
        self.earlier_era_since: float | None = None

    def check_answer(self, era: int, now: float) -> EraVerdict:
        """Classify an answer by its era, and adopt the era of a restore."""
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
        """Adopt another era; the first known era is no restore."""
        is_first = self.era == positions.NO_ERA
        self.era = era
        self.earlier_era_since = None
        if is_first:
            return EraVerdict.CURRENT
        self.restore_unannounced = True
        return EraVerdict.RESTORED

    def adopt_from_peer(self, era: int) -> bool:
        """Adopt another instance's era; return whether it is a restore."""
        if era <= self.era:
            return False
        return self.adopt(era) is EraVerdict.RESTORED
