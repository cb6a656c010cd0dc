"""Decides which instance reads the store, and when the others do.

One instance, the reader, reads often enough that an engine that leaves gets no
new work after two seconds. After each read it sends the changes to all other
instances, the followers, together with digests of its state. A follower that
receives no notification in time reads the store itself and, if that succeeds,
becomes a reader; of two readers the one with the lower incarnation remains.
Instances that are cut off together thus get a reader of their own. An instance
whose digest differs reads the store once. A lost datagram, or a reader that
died or was cut off, costs a few calls, and the two seconds are still kept.

While the store is unavailable every instance would retry, and each refused
call costs as much as any other. An instance that retries after a failure
therefore announces its attempt, and the others that have failed wait for its
result.
"""

import dataclasses
import random

from greengagelb.coordination.relay import store_eras
from greengagelb.state.relay import store_calls

# Time between two reads of the engine list by the reader: half of the two
# seconds after which an engine that leaves must get no new work.
READ_INTERVAL_SECONDS = 1.0
# How long followers wait for a notification. Together with the time of a call
# this is well below those two seconds.
NOTIFICATION_WAIT_SECONDS = 1.4
# The wait is shorter by up to this time, differently on each instance. The
# first one that reads in place of the reader can then notify the others before
# they read, too.
NOTIFICATION_WAIT_SPREAD_SECONDS = 0.2
# The least time between two reads with the same cause. Otherwise each read
# that failed or changed nothing would be followed by the next at once.
MIN_READ_GAP_SECONDS = 0.7
# The gap doubles with each failure after the first, which may have been one
# lost answer, up to this limit. The limits on the age of the known state apply
# only from three seconds or more after the end of an outage.
MAX_READ_GAP_SECONDS = 2.0
# After the announced attempt of another instance, an instance that has failed
# waits for this pause and a random part of the spread, so that one of them
# tries before the rest.
PEER_ATTEMPT_PAUSE_SECONDS = 1.0
PEER_ATTEMPT_SPREAD_SECONDS = 1.0
# How much later than the list of engines the configuration is read: the time
# of a fast answer. The read of the list shows whether the store is available.
CONFIGURATION_DELAY_SECONDS = 0.02
# The delay while a read of the list is unanswered: the longest time of an
# answer.
CONFIGURATION_UNANSWERED_DELAY_SECONDS = 0.7
# The delay after a failed read of the list. The configuration is read all the
# same, in case only the list fails.
CONFIGURATION_OUTAGE_DELAY_SECONDS = 10.0
# How long a starting instance waits for a newer configuration if the store has
# an older one than other instances. Operators write the newest one again to a
# store that was restored from a backup.
OLDER_CONFIGURATION_WAIT_SECONDS = 5.0
# Time between two reads of the list of instances by the reader.
READER_MEMBERS_INTERVAL_SECONDS = 10.0
# Time between two reads by a follower, randomised by half. Followers learn of
# instances that come and go by heartbeats; the list shows whose departure they
# missed.
FOLLOWER_MEMBERS_INTERVAL_SECONDS = 300.0


@dataclasses.dataclass(slots=True)
class Freshness:
    """How current the engine list or the configuration is known here.

    ``fresh_at`` is when it was last known to be current, ``read_asked_at``
    when its latest read began here, and ``stale_at`` when another instance
    last had something newer, if ever. A notification is awaited for
    ``wait_seconds``. ``failures`` counts failed reads in a row; after a
    failure, and the attempt of another instance, the next read is not before
    ``retry_not_before``. ``read_for_missing_notification`` tells whether the
    latest read was made because no notification had come; the other instances
    then lack one, too.
    All times are monotonic, in seconds.
    """

    wait_seconds: float = NOTIFICATION_WAIT_SECONDS
    failures: int = 0
    read_for_missing_notification: bool = False
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
        """Return whether no answer has come since the latest read began."""
        return self.read_asked_at > self.fresh_at

    @property
    def min_read_gap_seconds(self) -> float:
        """Return the least time between the starts of two reads.

        The first failure at the start is retried at once. While something
        newer is known to exist, or nothing is known yet, failures do not
        lengthen the gap, whatever the calls cost.
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
        """Return when a follower has to read."""
        earliest = self.read_asked_at + self.min_read_gap_seconds
        if self.is_stale:
            return earliest
        if self.failures:
            earliest = max(earliest, self.retry_not_before)
        return max(earliest, self.fresh_at + self.wait_seconds)

    @property
    def cause(self) -> store_calls.CallCause:
        """Return why a follower reads now."""
        if self.is_never_read:
            return store_calls.CallCause.START
        if self.failures:
            return store_calls.CallCause.AFTER_FAILURE
        if self.is_stale:
            return store_calls.CallCause.NEWER_KNOWN
        return store_calls.CallCause.NO_NOTIFICATION

    def note_read_asked(self, now: float) -> None:
        """Note that a read begins."""
        self.read_asked_at = now
        self.read_for_missing_notification = not (
            self.is_stale or self.is_never_read
        )

    def latest_read_seconds(self, now: float) -> float:
        """Return the time since the latest read began, in seconds."""
        if self.read_asked_at == float('-inf'):
            return 0.0
        return now - self.read_asked_at

    def note_read_failed(self) -> None:
        """Note that a read failed."""
        self.failures += 1

    def note_current(self, asked_at: float) -> None:
        """Note that the state known here was current at a time.

        For a read this is when it began: its answer lacks anything newer that
        was announced in the meantime.
        """
        self.fresh_at = max(self.fresh_at, asked_at)
        self.failures = 0

    def note_peer_knowledge(self, *, is_same: bool, now: float) -> None:
        """Note whether an instance that has just read has the same state."""
        if is_same:
            self.note_current(now)
        else:
            self.stale_at = now


def spread_fraction(incarnation: str) -> float:
    """Return a number from 0 to 1 that differs between instances."""
    return random.Random(incarnation).random()


class StoreSharing:
    """Decides when this instance reads the store.

    ``reads_for_all`` tells whether this instance is the reader.
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
        self.engine_list_freshness = Freshness(notification_wait_seconds)
        self.configuration_freshness = Freshness(
            notification_wait_seconds + CONFIGURATION_DELAY_SECONDS
        )
        self.members_read_at = float('-inf')
        self.follower_members_due_at = float('-inf')

    def note_engines_read(self) -> None:
        """Note that the list of engines was read.

        An instance that had received no notification in time becomes the
        reader.
        """
        if self.engine_list_freshness.read_for_missing_notification:
            self.reads_for_all = True
        self.engine_list_freshness.note_current(
            self.engine_list_freshness.read_asked_at
        )

    def note_engines_read_failed(self) -> None:
        """Note that the list of engines could not be read."""
        self.engine_list_freshness.note_read_failed()
        self.reads_for_all = False

    def note_peer_read(self, incarnation: str) -> None:
        """Yield to another instance that has read the store.

        No other instance waits for a read of this one that is still in
        progress.
        """
        self.engine_list_freshness.read_for_missing_notification = False
        if incarnation < self.incarnation:
            self.reads_for_all = False

    def note_peer_attempt(self, now: float) -> None:
        """Wait for the attempt of another instance to read the store."""
        pause_seconds = PEER_ATTEMPT_PAUSE_SECONDS + self.rng.uniform(
            0.0, PEER_ATTEMPT_SPREAD_SECONDS
        )
        self.engine_list_freshness.retry_not_before = now + pause_seconds

    def note_peer_version(self, version: int) -> None:
        """Note which configuration another instance has in force."""
        self.newest_version = max(self.newest_version, version)

    def usable_from(self, version: int, now: float) -> float:
        """Return from when on a first configuration may be used."""
        if version >= self.newest_version:
            return now
        if self.older_offered_at is None:
            self.older_offered_at = now
        return self.older_offered_at + OLDER_CONFIGURATION_WAIT_SECONDS

    def note_members_read(self, now: float) -> None:
        """Note that a read of the list of instances begins."""
        self.members_read_at = now
        spread = self.rng.uniform(0.5, 1.5)
        self.follower_members_due_at = (
            now + spread * FOLLOWER_MEMBERS_INTERVAL_SECONDS
        )

    def note_store_restored(self) -> None:
        """Have a reader check at once which instances the list lacks."""
        self.members_read_at = float('-inf')

    def note_own_entry_missing(self) -> None:
        """Have the list of instances read at once, as it lacks this one."""
        self.follower_members_due_at = float('-inf')

    def engines_due_at(self, now: float) -> float:
        """Return when the list of engines is due to be read."""
        if self.reads_for_all:
            return (
                self.engine_list_freshness.read_asked_at
                + READ_INTERVAL_SECONDS
            )
        return self.engine_list_freshness.due_at

    def configuration_due_at(self, now: float) -> float:
        """Return when the configuration is due to be read.

        The reader always has a call at the store that waits for the next
        change.
        """
        if self.reads_for_all:
            return now
        configuration, engines = (
            self.configuration_freshness,
            self.engine_list_freshness,
        )
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
        """Return when the list of instances is due to be read."""
        if self.reads_for_all:
            return self.members_read_at + READER_MEMBERS_INTERVAL_SECONDS
        return self.follower_members_due_at

    def read_cause(self, freshness: Freshness) -> store_calls.CallCause:
        """Return why the list of engines or the configuration is read now."""
        if self.reads_for_all:
            return store_calls.CallCause.READS_FOR_ALL
        return freshness.cause

    def is_engines_read_due(self, now: float) -> bool:
        """Return whether the list of engines is due to be read."""
        return now >= self.engines_due_at(now)

    def is_configuration_read_due(self, now: float) -> bool:
        """Return whether the configuration is due to be read."""
        return now >= self.configuration_due_at(now)
