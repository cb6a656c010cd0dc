"""Who reads the store, and when the others have to look for themselves.

One instance reads at the pace that the bounds ask for. After each read it
tells all others what was new, with digests of what it knows. Whoever hears
nothing in time looks itself, and who succeeds in that reads for all from then
on; of two the one with the lower incarnation goes on. So those who are cut off
together get a reader of their own, and who finds that a digest differs reads
the store once: a lost datagram, a dead or a cut off reader cost some calls,
and no promise.

While the store is away all of them would look again and again, and each call
that it refuses costs as much as others. So who has failed says when it
tries again, and the others who have failed wait for what it finds.
"""

import dataclasses
import random

from greengagelb.coordination.relay import store_eras
from greengagelb.state.relay import store_calls

# How often a reader looks at the list of engines, in seconds: half of the
# time within which an engine that leaves must get no more work.
READ_SECONDS = 1.0
# How long the others wait for a notification at most, in seconds. Together
# with the time of a call it is well below that bound.
WAIT_SECONDS = 1.4
# By how much they differ in that, in seconds, so that the first one that has
# read the store in its place can tell the others before they ask too.
WAIT_SPREAD_SECONDS = 0.2
# The least time between two looks for the same reason, in seconds. Each look
# that has failed or changed nothing would else be followed by the next.
LEAST_SECONDS = 0.7
# It doubles with each failure after the first, which may have been one lost
# answer, up to this, in seconds. The bounds on what is known here count from
# three seconds or more after an outage.
MOST_LEAST_SECONDS = 2.0
# Who could not read the store leaves it alone for the first figure after
# another one has tried, and for up to the second one more, drawn each time, so
# that one of them tries before the rest.
TRIED_SECONDS = 1.0
TRIED_SPREAD_SECONDS = 1.0
# The list of engines shows whether the store is there, so the configuration
# is asked for later by the first figure, which is what a good answer takes.
# While there is none it waits for the second, what the longest answer takes,
# and once the list could not be read for the third, in case only the list
# fails. In seconds.
CONFIGURATION_AFTER_SECONDS = 0.02
CONFIGURATION_DURING_SECONDS = 0.7
CONFIGURATION_IN_OUTAGE_SECONDS = 10.0
# How long an instance that starts does without a configuration if the store
# shows it an older one than others have in force, in seconds. A store that has
# come back from a copy gets the newest again from its operators.
OLDER_CONFIGURATION_SECONDS = 5.0
# How often a reader looks at the list of instances, in seconds.
MEMBERS_SECONDS = 10.0
# How often the others do, in seconds, spread by half. Heartbeats tell them
# who comes and goes; the list shows whose end went unheard.
MEMBERS_SELDOM_SECONDS = 300.0


@dataclasses.dataclass(slots=True)
class Freshness:
    """How up to date one of the two things in the store is known here.

    ``fresh_at`` is when it was last known to be current, ``looked_at`` when
    it was last read here, and ``stale_at`` when another instance last knew of
    something newer, if one ever has. Others are waited for ``wait_seconds``.
    ``failures`` counts the looks in a row that have failed; after one, and
    another instance's, the next is not before ``held_until``.
    ``others_wait`` is whether the last look was for want of a notification,
    which the others want then too.
    """

    wait_seconds: float = WAIT_SECONDS
    failures: int = 0
    others_wait: bool = False
    fresh_at: float = float('-inf')
    looked_at: float = float('-inf')
    held_until: float = float('-inf')
    stale_at: float | None = None

    @property
    def never_read(self) -> bool:
        """Return whether nothing is known yet."""
        return self.fresh_at == float('-inf')

    @property
    def stale(self) -> bool:
        """Return whether something newer is known to exist."""
        return self.stale_at is not None and self.stale_at >= self.fresh_at

    @property
    def unanswered(self) -> bool:
        """Return whether it was looked at, and no answer has come since."""
        return self.looked_at > self.fresh_at

    @property
    def least_seconds(self) -> float:
        """Return how soon one may look again.

        While something newer is known to exist, or nothing is known yet, each
        moment counts, whatever the calls cost.
        """
        if self.never_read and self.failures == 1:
            return 0.0
        if self.stale or self.never_read:
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
        if self.failures:
            soonest = max(soonest, self.held_until)
        return max(soonest, self.fresh_at + self.wait_seconds)

    @property
    def cause(self) -> store_calls.Cause:
        """Return why one who does not read for all looks now."""
        if self.never_read:
            return store_calls.Cause.START
        if self.failures:
            return store_calls.Cause.AFTER_FAILURE
        if self.stale:
            return store_calls.Cause.NEWER_KNOWN
        return store_calls.Cause.NO_NOTIFICATION

    def looked(self, now: float) -> None:
        """Note that it is being read."""
        self.looked_at = now
        self.others_wait = not (self.stale or self.never_read)

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


def spread_of(incarnation: str) -> float:
    """Return a number from 0 to 1 that is another one at most instances."""
    return random.Random(incarnation).random()


class StoreSharing:
    """Decides when this instance reads the store.

    ``reads_for_all`` is whether the others rely on it.
    """

    def __init__(self, incarnation: str, rng: random.Random) -> None:
        self.incarnation = incarnation
        self.rng = rng
        self.reads_for_all = False
        self.eras = store_eras.StoreEras()
        self.newest_version = 0
        self.older_offered_at: float | None = None
        wait = WAIT_SECONDS - WAIT_SPREAD_SECONDS * spread_of(incarnation)
        self.engines = Freshness(wait)
        self.configuration = Freshness(wait + CONFIGURATION_AFTER_SECONDS)
        self.members_looked_at = float('-inf')
        self.members_seldom_at = float('-inf')

    # -- who reads ----------------------------------------------------------

    def engines_read(self) -> None:
        """Note that the list of engines was read as it stands there.

        Who had heard of nobody that reads it goes on to do so.
        """
        if self.engines.others_wait:
            self.reads_for_all = True
        self.engines.known(self.engines.looked_at)

    def engines_failed(self) -> None:
        """Note that the list of engines could not be read."""
        self.engines.failed()
        self.reads_for_all = False

    def read_elsewhere(self, incarnation: str) -> None:
        """Leave it to another instance, which has read, to read for all.

        Nobody waits for a look of this one any more that is under way.
        """
        self.engines.others_wait = False
        if incarnation < self.incarnation:
            self.reads_for_all = False

    def tried_elsewhere(self, now: float) -> None:
        """Note that another instance tries whether the store is back."""
        wait = TRIED_SECONDS + self.rng.uniform(0.0, TRIED_SPREAD_SECONDS)
        self.engines.held_until = now + wait

    # -- the configuration --------------------------------------------------

    def version_told(self, version: int) -> None:
        """Note which configuration another instance has in force."""
        self.newest_version = max(self.newest_version, version)

    def usable_from(self, version: int, now: float) -> float:
        """Return from when on a first configuration is to be used."""
        if version >= self.newest_version:
            return now
        if self.older_offered_at is None:
            self.older_offered_at = now
        return self.older_offered_at + OLDER_CONFIGURATION_SECONDS

    # -- the list of instances ----------------------------------------------

    def members_looked(self, now: float) -> None:
        """Note that the list of instances is being read."""
        self.members_looked_at = now
        spread = self.rng.uniform(0.5, 1.5)
        self.members_seldom_at = now + spread * MEMBERS_SELDOM_SECONDS

    def restored(self) -> None:
        """Have a reader look at once who is missing in the list."""
        self.members_looked_at = float('-inf')

    def not_listed(self) -> None:
        """Have the list read at once: this instance is missing in it."""
        self.members_seldom_at = float('-inf')

    # -- when to read -------------------------------------------------------

    def engines_due_at(self, now: float) -> float:
        """Return when the list of engines is to be read, as known now."""
        if self.reads_for_all:
            return self.engines.looked_at + READ_SECONDS
        return self.engines.due_at

    def configuration_due_at(self, now: float) -> float:
        """Return when the configuration is to be read, as known now.

        The one who reads for all waits at the store for its next change.
        """
        if self.reads_for_all:
            return now
        configuration, engines = self.configuration, self.engines
        if configuration.stale or not engines.unanswered:
            return configuration.due_at
        if engines.failures:
            last = max(engines.fresh_at, configuration.looked_at)
            soonest = last + CONFIGURATION_IN_OUTAGE_SECONDS
        elif configuration.never_read:
            soonest = now
        else:
            soonest = engines.looked_at + CONFIGURATION_DURING_SECONDS
        return max(configuration.due_at, soonest)

    def members_due_at(self, now: float) -> float:
        """Return when the list of instances is to be read, as known now."""
        if self.reads_for_all:
            return self.members_looked_at + MEMBERS_SECONDS
        return self.members_seldom_at

    def cause_of(self, look: Freshness) -> store_calls.Cause:
        """Return why one of the two is looked at now."""
        if self.reads_for_all:
            return store_calls.Cause.READS_FOR_ALL
        return look.cause

    def engines_due(self, now: float) -> bool:
        """Return whether the list of engines is to be read now."""
        return now >= self.engines_due_at(now)

    def configuration_due(self, now: float) -> bool:
        """Return whether the configuration is to be read now."""
        return now >= self.configuration_due_at(now)
