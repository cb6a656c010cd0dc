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
READ_INTERVAL_SECONDS = 1.0
# How long the others wait for a notification at most, in seconds. Together
# with the time of a call it is well below that bound.
NOTIFICATION_WAIT_SECONDS = 1.4
# By how much they differ in that, in seconds, so that the first one that has
# read the store in its place can tell the others before they ask too.
NOTIFICATION_WAIT_SPREAD_SECONDS = 0.2
# The least time between two looks for the same reason, in seconds. Each look
# that has failed or changed nothing would else be followed by the next.
MIN_READ_GAP_SECONDS = 0.7
# It doubles with each failure after the first, which may have been one lost
# answer, up to this, in seconds. The bounds on what is known here count from
# three seconds or more after an outage.
MAX_READ_GAP_SECONDS = 2.0
# Who could not read the store leaves it alone for the first figure after
# another one has tried, and for up to the second one more, drawn each time, so
# that one of them tries before the rest.
PEER_ATTEMPT_PAUSE_SECONDS = 1.0
PEER_ATTEMPT_SPREAD_SECONDS = 1.0
# The list of engines shows whether the store is there, so the configuration
# is asked for later by the first figure, which is what a good answer takes.
# While there is none it waits for the second, what the longest answer takes,
# and once the list could not be read for the third, in case only the list
# fails. In seconds.
CONFIGURATION_DELAY_SECONDS = 0.02
CONFIGURATION_UNANSWERED_DELAY_SECONDS = 0.7
CONFIGURATION_OUTAGE_DELAY_SECONDS = 10.0
# How long an instance that starts does without a configuration if the store
# shows it an older one than others have in force, in seconds. A store that has
# come back from a copy gets the newest again from its operators.
OLDER_CONFIGURATION_WAIT_SECONDS = 5.0
# How often a reader looks at the list of instances, in seconds.
READER_MEMBERS_INTERVAL_SECONDS = 10.0
# How often the others do, in seconds, spread by half. Heartbeats tell them
# who comes and goes; the list shows whose end went unheard.
FOLLOWER_MEMBERS_INTERVAL_SECONDS = 300.0


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

    wait_seconds: float = NOTIFICATION_WAIT_SECONDS
    failures: int = 0
    notification_overdue: bool = False
    fresh_at: float = float('-inf')
    read_asked_at: float = float('-inf')
    retry_not_before: float = float('-inf')
    stale_at: float | None = None

    @property
    def is_never_read(self) -> bool:
        """Return whether nothing is known yet."""
        return self.fresh_at == float('-inf')

    @property
    def is_stale(self) -> bool:
        """Return whether something newer is known to exist."""
        return self.stale_at is not None and self.stale_at >= self.fresh_at

    @property
    def is_unanswered(self) -> bool:
        """Return whether it was looked at, and no answer has come since."""
        return self.read_asked_at > self.fresh_at

    @property
    def min_read_gap_seconds(self) -> float:
        """Return how soon one may look again.

        While something newer is known to exist, or nothing is known yet, each
        moment counts, whatever the calls cost.
        """
        if self.is_never_read and self.failures == 1:
            return 0.0
        if self.is_stale or self.is_never_read:
            return MIN_READ_GAP_SECONDS
        return min(
            MAX_READ_GAP_SECONDS,
            MIN_READ_GAP_SECONDS * 2.0 ** max(0, self.failures - 1),
        )

    @property
    def due_at(self) -> float:
        """Return when one who does not read for all has to look."""
        earliest = self.read_asked_at + self.min_read_gap_seconds
        if self.is_stale:
            return earliest
        if self.failures:
            earliest = max(earliest, self.retry_not_before)
        return max(earliest, self.fresh_at + self.wait_seconds)

    @property
    def cause(self) -> store_calls.Cause:
        """Return why one who does not read for all looks now."""
        if self.is_never_read:
            return store_calls.Cause.START
        if self.failures:
            return store_calls.Cause.AFTER_FAILURE
        if self.is_stale:
            return store_calls.Cause.NEWER_KNOWN
        return store_calls.Cause.NO_NOTIFICATION

    def note_read_asked(self, now: float) -> None:
        """Note that it is being read."""
        self.read_asked_at = now
        self.notification_overdue = not (self.is_stale or self.is_never_read)

    def latest_read_seconds(self, now: float) -> float:
        """Return for how long the latest read has been under way."""
        if self.read_asked_at == float('-inf'):
            return 0.0
        return now - self.read_asked_at

    def note_read_failed(self) -> None:
        """Note that it could not be read."""
        self.failures += 1

    def note_current(self, asked_at: float) -> None:
        """Note that what is known here was current at a moment.

        For a read that is when it was asked for: something newer that was
        told of in the meantime is not in its answer.
        """
        self.fresh_at = max(self.fresh_at, asked_at)
        self.failures = 0

    def note_peer_knowledge(self, *, is_same: bool, now: float) -> None:
        """Take in whether one who has just read it knows the same."""
        if is_same:
            self.note_current(now)
        else:
            self.stale_at = now


def spread_fraction(incarnation: str) -> float:
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
        notification_wait_seconds = (
            NOTIFICATION_WAIT_SECONDS
            - NOTIFICATION_WAIT_SPREAD_SECONDS * spread_fraction(incarnation)
        )
        self.engines = Freshness(notification_wait_seconds)
        self.configuration = Freshness(
            notification_wait_seconds + CONFIGURATION_DELAY_SECONDS
        )
        self.members_read_at = float('-inf')
        self.follower_members_due_at = float('-inf')

    # -- who reads ----------------------------------------------------------

    def note_engines_read(self) -> None:
        """Note that the list of engines was read as it stands there.

        Who had heard of nobody that reads it goes on to do so.
        """
        if self.engines.notification_overdue:
            self.reads_for_all = True
        self.engines.note_current(self.engines.read_asked_at)

    def note_engines_read_failed(self) -> None:
        """Note that the list of engines could not be read."""
        self.engines.note_read_failed()
        self.reads_for_all = False

    def note_peer_read(self, incarnation: str) -> None:
        """Leave it to another instance, which has read, to read for all.

        Nobody waits for a look of this one any more that is under way.
        """
        self.engines.notification_overdue = False
        if incarnation < self.incarnation:
            self.reads_for_all = False

    def note_peer_attempt(self, now: float) -> None:
        """Note that another instance tries whether the store is back."""
        pause_seconds = PEER_ATTEMPT_PAUSE_SECONDS + self.rng.uniform(
            0.0, PEER_ATTEMPT_SPREAD_SECONDS
        )
        self.engines.retry_not_before = now + pause_seconds

    # -- the configuration --------------------------------------------------

    def note_peer_version(self, version: int) -> None:
        """Note which configuration another instance has in force."""
        self.newest_version = max(self.newest_version, version)

    def usable_from(self, version: int, now: float) -> float:
        """Return from when on a first configuration is to be used."""
        if version >= self.newest_version:
            return now
        if self.older_offered_at is None:
            self.older_offered_at = now
        return self.older_offered_at + OLDER_CONFIGURATION_WAIT_SECONDS

    # -- the list of instances ----------------------------------------------

    def note_members_read(self, now: float) -> None:
        """Note that the list of instances is being read."""
        self.members_read_at = now
        spread = self.rng.uniform(0.5, 1.5)
        self.follower_members_due_at = (
            now + spread * FOLLOWER_MEMBERS_INTERVAL_SECONDS
        )

    def note_store_restored(self) -> None:
        """Have a reader look at once who is missing in the list."""
        self.members_read_at = float('-inf')

    def note_own_entry_missing(self) -> None:
        """Have the list read at once: this instance is missing in it."""
        self.follower_members_due_at = float('-inf')

    # -- when to read -------------------------------------------------------

    def engines_due_at(self, now: float) -> float:
        """Return when the list of engines is to be read, as known now."""
        if self.reads_for_all:
            return self.engines.read_asked_at + READ_INTERVAL_SECONDS
        return self.engines.due_at

    def configuration_due_at(self, now: float) -> float:
        """Return when the configuration is to be read, as known now.

        The one who reads for all waits at the store for its next change.
        """
        if self.reads_for_all:
            return now
        configuration, engines = self.configuration, self.engines
        if configuration.is_stale or not engines.is_unanswered:
            return configuration.due_at
        if engines.failures:
            last_read_at = max(engines.fresh_at, configuration.read_asked_at)
            earliest = last_read_at + CONFIGURATION_OUTAGE_DELAY_SECONDS
        elif configuration.is_never_read:
            earliest = now
        else:
            earliest = (
                engines.read_asked_at + CONFIGURATION_UNANSWERED_DELAY_SECONDS
            )
        return max(configuration.due_at, earliest)

    def members_due_at(self, now: float) -> float:
        """Return when the list of instances is to be read, as known now."""
        if self.reads_for_all:
            return self.members_read_at + READER_MEMBERS_INTERVAL_SECONDS
        return self.follower_members_due_at

    def read_cause(self, freshness: Freshness) -> store_calls.Cause:
        """Return why one of the two is looked at now."""
        if self.reads_for_all:
            return store_calls.Cause.READS_FOR_ALL
        return freshness.cause

    def is_engines_read_due(self, now: float) -> bool:
        """Return whether the list of engines is to be read now."""
        return now >= self.engines_due_at(now)

    def is_configuration_read_due(self, now: float) -> bool:
        """Return whether the configuration is to be read now."""
        return now >= self.configuration_due_at(now)
