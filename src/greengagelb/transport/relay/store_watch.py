"""Reads the configuration and the lists of engines and instances.

The configuration changes rarely and must apply within seconds, so reads of it
wait at the store for the next change (long polling). The list of engines
changes with every heartbeat of every engine, so it is polled at intervals; a
read that waits for a change would return at once.
"""

from collections.abc import Callable
import dataclasses
import random
from typing import Protocol

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import store_eras
from greengagelb.coordination.relay import store_sharing
from greengagelb.state import crashes
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints
from greengagelb.state.relay import positions
from greengagelb.state.relay import routes
from greengagelb.state.relay import store_calls
from greengagelb.transport import recorder
from greengagelb.transport.relay import engine_side
from greengagelb.transport.relay import restore_summary
from greengagelb.transport.relay import unusable_entries

# The longest wait at the store for a change of the configuration. A lost
# answer is noticed only after this time and that of an answer, and the
# configuration must be in force three seconds after a disturbance.
CONFIGURATION_WAIT_SECONDS = 1.5
# Reads after a notification of something newer are spread over this time, so
# that not all notified instances read in the same millisecond.
NOTIFIED_READ_SPREAD_SECONDS = 0.05
# The shortest sleep until the next check whether a read is due. Timers fire
# late by an unknown time.
MIN_SLEEP_SECONDS = 0.01
# The pause after a failed call, with a jitter of half in both directions. The
# first failure may be a single lost answer; the longer pause follows further
# ones, as calls that the store refuses cost it as much as others.
FIRST_RETRY_SECONDS = 0.1
RETRY_SECONDS = 0.6
# Changes of the list of engines are read only since a read that is at most
# this old; otherwise the whole list is read. Engines renew their entries every
# 1.2 seconds, and each renewal is a change, so the changes of a longer time
# are larger than the list: twelve times as large after fifteen seconds.
MAX_CHANGES_AGE_SECONDS = 2.0
# The name of the configuration's only entry among the unusable entries.
CONFIGURATION = 'configuration'


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The configuration, if it has changed, and the position of the read."""

    position: positions.StorePosition
    table: routes.RouteTable | None
    mistake: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class EnginesRead:
    """Entries of engines, and the position of the read.

    ``mistakes`` are the entries that can't be used.
    """

    position: positions.StorePosition
    entries: tuple[engines.EngineEntry, ...]
    removed: tuple[str, ...]
    mistakes: tuple[unusable_entries.UnusableEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class MembersRead:
    """The instances, and the entries among them that can't be used.

    ``kept_crashes`` are stored in the same table.
    """

    members: tuple[hints.Member, ...]
    mistakes: tuple[unusable_entries.UnusableEntry, ...] = ()
    kept_crashes: tuple[crashes.StoredCrashes, ...] = ()


class StoreClient(Protocol):
    """The calls to the store that the watch makes.

    All Deferreds may fail with
    :class:`~greengagelb.errors.PlatformUnavailable`,
    :class:`~greengagelb.errors.HistoryGone` or
    :class:`~greengagelb.errors.AnswerTooLong`.
    """

    def use_address(self, address: engines.Address) -> None:
        """Use another address for all further calls."""

    def read_configuration(
        self, position: positions.StorePosition | None, wait_seconds: float
    ) -> defer.Deferred:
        """Return a :class:`ConfigurationRead` of the changes since a position.

        Without a position the whole configuration is read. ``wait_seconds`` is
        how long the store may wait for a change.
        """

    def read_engines(
        self, position: positions.StorePosition | None
    ) -> defer.Deferred:
        """Return an :class:`EnginesRead` of the changes since a position.

        Without a position the whole list is read.
        """

    def register(self, member: hints.Member) -> defer.Deferred:
        """Write this instance's own entry."""

    def unregister(self, member: hints.Member) -> defer.Deferred:
        """Remove this instance's own entry."""

    def read_members(self) -> defer.Deferred:
        """Return a :class:`MembersRead` of all instances."""

    def write_crashes(self, kept: crashes.StoredCrashes) -> defer.Deferred:
        """Write the crashes that a request has caused."""

    def delete_crashes(self, fingerprint: str) -> defer.Deferred:
        """Remove the crashes that a request has caused."""


class StoreWatch:
    """Reads the store until the process stops.

    ``own`` is this instance's entry. ``update_peers`` is called with the other
    instances after each read of their list.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        store_client: StoreClient,
        dispatch: engine_side.Dispatch,
        record: Callable[[actions.Record], None],
        own: hints.Member,
        sharing: store_sharing.StoreSharing,
        update_peers: Callable[[tuple[hints.Member, ...]], None],
    ) -> None:
        self.reactor = reactor
        self.store_client = store_client
        self.dispatch = dispatch
        self.record = record
        self.own = own
        self.sharing = sharing
        self.update_peers = update_peers
        self.is_registered = False
        self.may_be_registered = False
        self.has_read_members = False
        self.is_listed = False
        self.configuration_position: positions.StorePosition | None = None
        self.engines_position: positions.StorePosition | None = None
        self.engines_read_at = float('-inf')
        self.unusable_engines = unusable_entries.UnusableEntries()
        self.unusable_members = unusable_entries.UnusableEntries()
        self.unusable_configuration = unusable_entries.UnusableEntries()
        self.calls = store_calls.StoreCalls()
        self.restore_summary = restore_summary.RestoreSummary()
        self.stopped = False
        self.pending_sleeps: set[defer.Deferred] = set()

    def start(self) -> None:
        """Start to read."""
        sharing = self.sharing
        self.read_repeatedly(
            self.read_configuration_when_due,
            sharing.configuration_freshness.note_read_failed,
        )
        self.read_repeatedly(
            self.read_engines_when_due, sharing.note_engines_read_failed
        )
        self.read_repeatedly(self.read_members_when_due, lambda: None)

    def stop(self) -> defer.Deferred:
        """Stop reading, and remove the own entry if it may exist."""
        self.stopped = True
        if not self.may_be_registered:
            return defer.succeed(None)
        self.calls.count_call(
            store_calls.CallKind.UNREGISTER, store_calls.CallCause.STOP
        )
        return self.store_client.unregister(self.own).addErrback(
            self.record_entry_left_behind
        )

    def record_entry_left_behind(self, why: failure.Failure) -> None:
        """Record that the own entry remains; others find it silent."""
        why.trap(errors.GreengagelbError)
        self.record(actions.Record('entry-left-behind', str(why.value)))

    def unusable_entries_by_list(
        self,
    ) -> dict[str, unusable_entries.UnusableEntries]:
        """Return the unusable entries of each list, by the kind of entry."""
        return {
            'engine': self.unusable_engines,
            'instance': self.unusable_members,
            'configuration': self.unusable_configuration,
        }

    @defer.inlineCallbacks
    def read_members_when_due(self) -> object:
        """Register once, then read the list of instances when it is due.

        Starting instances send a heartbeat to all listed ones, so the list
        need not be read often. If another writer has overwritten the own
        entry, it is written again: starting instances would not know this one.
        """
        if self.has_read_members:
            yield self.sleep_until_due(self.sharing.members_due_at)
        self.sharing.note_members_read(self.reactor.seconds())
        if not self.is_registered:
            self.may_be_registered = True
            yield self.register(store_calls.CallCause.START)
            self.is_registered = True
        known = self.has_read_members
        cause = (
            store_calls.CallCause.CHECK
            if known
            else store_calls.CallCause.START
        )
        self.calls.count_call(store_calls.CallKind.MEMBERS, cause)
        read = yield self.store_client.read_members()
        for entry in self.unusable_members.replace_all(read.mistakes):
            self.record(
                actions.Record(
                    'bad-instance-entry', entry.reason, upstream=entry.name
                )
            )
        self.restore_summary.add_rows('instances read', len(read.members))
        was_listed, self.is_listed = self.is_listed, self.own in read.members
        if not self.is_listed and not self.stopped:
            yield self.register(store_calls.CallCause.CHECK)
            self.restore_summary.add_rows('own entry written')
            if was_listed:
                why = 'not in the list of instances any more'
                self.record(actions.Record('entry-written-again', why))
        self.has_read_members = True
        others = tuple(m for m in read.members if m.name != self.own.name)
        self.update_peers(others)
        self.dispatch(relay_events.MembersListed(others))
        wall = recorder.wall_milliseconds()
        reports = tuple(
            crashes.to_crash_report(k, wall) for k in read.kept_crashes
        )
        self.dispatch(relay_events.CrashesListed(reports))

    def write_crashes(self, report: crashes.CrashReport) -> None:
        """Write the crashes that a request has caused."""
        call, cause = store_calls.CallKind.CRASHES, store_calls.CallCause.FOUND
        self.calls.count_call(call, cause)
        self.restore_summary.add_rows('crashes written')
        kept = crashes.to_stored_crashes(report, recorder.wall_milliseconds())
        self.store_client.write_crashes(kept).addErrback(
            self.record_crashes_not_written
        )

    def delete_crashes(self, fingerprint: str) -> None:
        """Remove the crashes that a request has caused."""
        self.calls.count_call(
            store_calls.CallKind.CRASHES, store_calls.CallCause.OVER
        )
        done = self.store_client.delete_crashes(fingerprint)
        done.addErrback(self.record_crashes_not_written)

    def record_crashes_not_written(self, why: failure.Failure) -> None:
        """Record a failed write; the instance that reads for all retries."""
        why.trap(errors.GreengagelbError)
        self.record(actions.Record('crashes-not-written', str(why.value)))

    def register(self, cause: store_calls.CallCause) -> defer.Deferred:
        """Write the own entry."""
        self.calls.count_call(store_calls.CallKind.REGISTER, cause)
        return self.store_client.register(self.own)

    @defer.inlineCallbacks
    def read_repeatedly(
        self,
        read_once: Callable[[], defer.Deferred],
        note_failure: Callable[[], None],
    ) -> object:
        """Repeat a read until stopped; report each failure and pause after it.

        ``note_failure`` is called without an argument after each failure.
        """
        failures = 0
        while not self.stopped:
            try:
                yield read_once()
                failures = 0
            except errors.GreengagelbError as exc:
                if self.stopped:
                    # The process is ending, which closes its connections.
                    return
                failures += 1
                note_failure()
                self.dispatch(relay_events.StoreLost(f'{exc.code}: {exc}'))
                pause = RETRY_SECONDS if failures > 1 else FIRST_RETRY_SECONDS
                yield self.sleep(pause * random.uniform(0.5, 1.5))

    def sleep(self, seconds: float) -> defer.Deferred:
        """Return a Deferred that fires after some seconds."""
        return task.deferLater(self.reactor, seconds, lambda: None)

    @defer.inlineCallbacks
    def sleep_until_due(self, due_at: Callable[[float], float]) -> object:
        """Return once a time is reached that may change meanwhile.

        ``due_at`` is called again when the time should be reached, and after a
        notification of something newer. Calling it continuously would take
        more processor time than all other work of an idle instance.
        """
        while True:
            now = self.reactor.seconds()
            wait = due_at(now) - now
            if wait <= 0:
                return
            wait = min(wait, store_sharing.NOTIFICATION_WAIT_SECONDS)
            pending_sleep = self.sleep(max(MIN_SLEEP_SECONDS, wait))
            self.pending_sleeps.add(pending_sleep)
            pending_sleep.addErrback(
                lambda why: why.trap(defer.CancelledError)
            )
            yield pending_sleep
            self.pending_sleeps.discard(pending_sleep)

    def schedule_read_check(self) -> None:
        """Check soon whether a read of the store is due."""
        wait = random.uniform(0.0, NOTIFIED_READ_SPREAD_SECONDS)
        self.reactor.callLater(wait, self.end_sleeps)

    def end_sleeps(self) -> None:
        """End all waits for the next read, to check the due times again."""
        for pending_sleep in list(self.pending_sleeps):
            pending_sleep.cancel()

    @defer.inlineCallbacks
    def read_configuration_when_due(self) -> object:
        """Read the configuration when it is due, and dispatch it.

        The instance that reads for all waits at the store for a change.
        """
        yield self.sleep_until_due(self.sharing.configuration_due_at)
        now = self.reactor.seconds()
        reads_for_all = self.sharing.reads_for_all
        call = store_calls.CallKind.CONFIGURATION
        cause = self.sharing.read_cause(self.sharing.configuration_freshness)
        self.calls.count_call(call, cause)
        self.sharing.configuration_freshness.note_read_asked(now)
        wait = CONFIGURATION_WAIT_SECONDS if reads_for_all else 0.0
        position = self.position_to_read_from()
        try:
            read = yield self.store_client.read_configuration(position, wait)
            self.check_era(read.position, position)
        except (errors.HistoryGone, errors.AnswerTooLong):
            self.calls.count_call(call, store_calls.CallCause.HISTORY_GONE)
            read = yield self.store_client.read_configuration(None, wait)
            self.check_era(read.position)
        self.configuration_position = read.position
        self.sharing.configuration_freshness.note_current(now)
        self.record_configuration_mistake(read)
        if read.table is not None:
            self.restore_summary.add_rows('configurations read')
            self.dispatch(
                relay_events.ConfigurationOffered(read.table, 'store')
            )
        self.dispatch(relay_events.ConfigurationChecked())

    def check_era(
        self,
        found: positions.StorePosition,
        requested_since: positions.StorePosition | None = None,
    ) -> None:
        """Check the era of an answer; record a restore of the store.

        Raises :class:`~greengagelb.errors.LateAnswer` for an earlier era, and
        :class:`~greengagelb.errors.HistoryGone` if the changes were requested
        since a version of another era. Such an answer lacks what has changed
        below that version, and nothing else shows it.
        """
        previous_era = self.sharing.eras.era
        verdict = self.sharing.eras.check_answer(
            found.era, self.reactor.seconds()
        )
        match verdict:
            case store_eras.EraVerdict.LATE:
                why = f'era {found.era}, known is {previous_era}'
                raise errors.LateAnswer(why)
            case store_eras.EraVerdict.RESTORED:
                self.record_restore(previous_era, found)
        if requested_since is not None and requested_since.era != found.era:
            raise errors.HistoryGone('store was restored from a copy')

    def record_restore(
        self, previous_era: int, found: positions.StorePosition
    ) -> None:
        """Record that the store was restored from a copy."""
        known = max(
            position.version if position else 0
            for position in (
                self.engines_position,
                self.configuration_position,
            )
        )
        versions_lost = max(0, known - found.version)
        why = (
            f'era {previous_era} to {found.era}, {versions_lost} versions back'
        )
        self.record(actions.Record('store-restored', why))
        self.restore_summary.start_era(found.era)
        self.reactor.callLater(
            restore_summary.SUMMARY_DELAY_SECONDS,
            self.record_restore_summary,
            found.era,
        )
        self.dispatch(relay_events.StoreRestored())

    def record_restore_summary(self, era: int) -> None:
        """Record what was read and written since the store was restored."""
        why = self.restore_summary.take_summary(era)
        if why is not None and not self.stopped:
            self.record(actions.Record('store-read-again', why))

    def position_to_read_from(self) -> positions.StorePosition | None:
        """Return the position since which to read changes; None for all.

        The changes contain every version since, of which only the last one
        matters. After many versions they would occupy a slow link for so long
        that old keys and routes stay in force. Once a newer version is known
        to exist, the current configuration is therefore read as a whole.
        """
        if self.sharing.configuration_freshness.is_stale:
            return None
        return self.configuration_position

    def record_configuration_mistake(self, read: ConfigurationRead) -> None:
        """Record once that a configuration can't be used."""
        if read.table is not None:
            self.unusable_configuration.remove_entries([CONFIGURATION])
        if not read.mistake:
            return
        found = unusable_entries.UnusableEntry(CONFIGURATION, read.mistake)
        for entry in self.unusable_configuration.add_changed((found,)):
            self.record(actions.Record('bad-configuration', entry.reason))

    @defer.inlineCallbacks
    def read_engines_when_due(self) -> object:
        """Read the list of engines, or its changes, when it is due."""
        yield self.sleep_until_due(self.sharing.engines_due_at)
        now = self.reactor.seconds()
        call = store_calls.CallKind.ENGINES
        self.calls.count_call(
            call, self.sharing.read_cause(self.sharing.engine_list_freshness)
        )
        self.sharing.engine_list_freshness.note_read_asked(now)
        self.dispatch(relay_events.EngineListRequested())
        whole = now > self.engines_read_at + MAX_CHANGES_AGE_SECONDS
        position = None if whole else self.engines_position
        try:
            read = yield self.store_client.read_engines(position)
            self.check_era(read.position, position)
        except (errors.HistoryGone, errors.AnswerTooLong):
            # Waiting for the next read would take a second, in which engines
            # that have left would get requests.
            whole = True
            self.calls.count_call(call, store_calls.CallCause.HISTORY_GONE)
            read = yield self.store_client.read_engines(None)
            self.check_era(read.position)
        was_failing = bool(self.sharing.engine_list_freshness.failures)
        self.engines_position = read.position
        self.engines_read_at = now
        self.record_engine_mistakes(read, whole=whole)
        unusable = tuple(entry.name for entry in read.mistakes)
        self.restore_summary.add_rows('engines read', len(read.entries))
        if whole:
            self.dispatch(relay_events.EnginesListed(read.entries, unusable))
        else:
            self.dispatch(
                relay_events.EnginesChanged(
                    read.entries, read.removed, unusable
                )
            )
        if was_failing:
            # Reads of the configuration wait for this.
            self.end_sleeps()

    def record_engine_mistakes(
        self, read: EnginesRead, *, whole: bool
    ) -> None:
        """Record once each engine's entry that can't be used."""
        if whole:
            new_mistakes = self.unusable_engines.replace_all(read.mistakes)
        else:
            self.unusable_engines.remove_entries(read.removed)
            self.unusable_engines.remove_entries(
                entry.engine for entry in read.entries
            )
            new_mistakes = self.unusable_engines.add_changed(read.mistakes)
        for entry in new_mistakes:
            self.record(
                actions.Record(
                    'bad-engine-entry', entry.reason, upstream=entry.name
                )
            )
