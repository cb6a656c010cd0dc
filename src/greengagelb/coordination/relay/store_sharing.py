"""Who reads the store, and when the others have to look for themselves.

In each data centre one instance reads at the pace that the bounds ask for.
After each read it tells its neighbours what was new, with a digest of all it
knows. Whoever hears nothing in time, or finds that its own digest differs,
reads the store itself: a lost datagram, a dead or a cut off reader cost some
calls, and no promise. Who has read for want of word tells the others in the
reader's place, so that they need not ask the same.
"""

import dataclasses
import random

# How often a reader looks at the list of engines, in seconds: half of the
# time within which an engine that leaves must get no more work.
READ_SECONDS = 1.0
# How long the others wait for its word at most, in seconds. Together with the
# time of a call it is well below that bound.
WORD_SECONDS = 1.4
# By how much they differ in that, in seconds, so that the first one that has
# read the store in its place can tell the others before they ask too.
WORD_SPREAD_SECONDS = 0.2
# The least time between two looks for the same reason, in seconds. Each look
# that has failed or changed nothing would else be followed by the next.
LEAST_SECONDS = 0.7
# It doubles with each failure after the first, which may have been one lost
# answer, up to this, in seconds: calls that the store refuses cost as much as
# others. The bounds on what is known here count from three seconds or more
# after an outage.
MOST_LEAST_SECONDS = 2.0
# An instance nearby that was not heard for so long does not read any more.
NEIGHBOUR_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class Freshness:
    """How up to date one of the two things in the store is known here.

    ``fresh_at`` is when it was last known to be current, ``looked_at`` when
    it was last read here, and ``stale_at`` when another instance last knew of
    something newer, if one ever has. Word of others is waited for
    ``word_seconds``. ``failures`` counts the looks in a row that have failed,
    and ``others_wait`` is whether the last look was for want of word, which
    the others want then too.
    """

    word_seconds: float = WORD_SECONDS
    failures: int = 0
    others_wait: bool = False
    fresh_at: float = float('-inf')
    looked_at: float = float('-inf')
    stale_at: float | None = None

    @property
    def stale(self) -> bool:
        """Return whether something newer is known to exist."""
        return self.stale_at is not None and self.stale_at >= self.fresh_at

    @property
    def least_seconds(self) -> float:
        """Return how soon one may look again.

        While something newer is known to exist, or nothing is known yet, each
        moment counts, whatever the calls cost.
        """
        if self.stale or self.fresh_at == float('-inf'):
            return LEAST_SECONDS
        return min(
            MOST_LEAST_SECONDS,
            LEAST_SECONDS * 2.0 ** max(0, self.failures - 1),
        )

    @property
    def due_at(self) -> float:
        """Return when one who does not read for all has to look."""
        soonest = self.looked_at + self.least_seconds
        if self.stale:
            return soonest
        return max(soonest, self.fresh_at + self.word_seconds)

    def looked(self, now: float) -> None:
        """Note that it is being read."""
        self.looked_at = now
        self.others_wait = not self.stale

    def read_takes(self, now: float) -> float:
        """Return for how long the latest read has been under way."""
        if self.looked_at == float('-inf'):
            return 0.0
        return now - self.looked_at

    def failed(self) -> None:
        """Note that it could not be read."""
        self.failures += 1

    def known(self, asked_at: float) -> None:
        """Note that what is known here was current at a moment.

        For a read that is when it was asked for: something newer that was
        told of in the meantime is not in its answer.
        """
        self.fresh_at = max(self.fresh_at, asked_at)
        self.failures = 0

    def told(self, *, same: bool, now: float) -> None:
        """Take in whether one who has just read it knows the same."""
        if same:
            self.known(now)
        else:
            self.stale_at = now


def place_of(incarnation: str) -> float:
    """Return a number from 0 to 1 that is another one at most instances."""
    return random.Random(incarnation).random()


class StoreSharing:
    """Decides when this instance reads the store."""

    def __init__(self, incarnation: str, data_centre: str) -> None:
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.neighbours: dict[str, float] = {}
        spread = WORD_SPREAD_SECONDS * place_of(incarnation)
        self.engines = Freshness(WORD_SECONDS - spread)
        self.configuration = Freshness(WORD_SECONDS - spread)

    def heard(self, incarnation: str, data_centre: str, now: float) -> None:
        """Note that another instance lives."""
        if data_centre == self.data_centre:
            self.neighbours[incarnation] = now

    def left(self, incarnation: str) -> None:
        """Forget an instance that stops."""
        self.neighbours.pop(incarnation, None)

    def is_reader(self, now: float) -> bool:
        """Return whether this instance reads for its neighbours.

        Two that both believe so cost a few calls and do no harm.
        """
        return not any(
            incarnation < self.incarnation
            for incarnation, at in self.neighbours.items()
            if now < at + NEIGHBOUR_SECONDS
        )

    def engines_due_at(self, now: float) -> float:
        """Return when the list of engines is to be read, as known now."""
        if self.is_reader(now):
            return self.engines.looked_at + READ_SECONDS
        return self.engines.due_at

    def configuration_due_at(self, now: float) -> float:
        """Return when the configuration is to be read, as known now.

        The one who reads for all waits at the store for its next change.
        """
        return now if self.is_reader(now) else self.configuration.due_at

    def engines_due(self, now: float) -> bool:
        """Return whether the list of engines is to be read now."""
        return now >= self.engines_due_at(now)

    def configuration_due(self, now: float) -> bool:
        """Return whether the configuration is to be read now."""
        return now >= self.configuration_due_at(now)
