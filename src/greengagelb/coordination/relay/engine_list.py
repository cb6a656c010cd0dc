"""Applies reads of the list of engines, and announces what is new in it."""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import restarts
from greengagelb.coordination.relay import run_copies
from greengagelb.coordination.relay import store_sharing
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints

# A read that took longer says nothing about the current state. The limit is
# what a call to the store may take on a good link; together with the time that
# followers wait for a notification it stays below the two seconds after which
# an engine that leaves must get no new work.
MAX_CURRENT_READ_SECONDS = 0.6
# Ten entries take about 900 bytes.
ENTRIES_PER_DATAGRAM = 10

Action = relay_actions.RelayAction


class EngineListHandler:
    """Handles reads of the list, and changes announced by other instances.

    ``configuration_version`` is the version in force, 0 without one. Each read
    is followed by a notification with this version and a digest of the list.
    """

    def __init__(
        self,
        known: directory.EngineDirectory,
        sharing: store_sharing.StoreSharing,
        copies: run_copies.RunCopies,
        restarted: restarts.RestartHandler,
    ) -> None:
        self.engines = known
        self.sharing = sharing
        self.copies = copies
        self.restarts = restarted
        self.configuration_version = 0

    def apply_whole_list(
        self,
        entries: tuple[engines.EngineEntry, ...],
        unusable: tuple[str, ...],
        now: float,
    ) -> list[Action]:
        """Apply a complete list; engines that it lacks are removed."""
        missing = self.engines.find_missing_engines(entries)
        removed = tuple(name for name in missing if name not in unusable)
        return self.apply_read(entries, removed, unusable, now)

    def apply_read(
        self,
        entries: tuple[engines.EngineEntry, ...],
        removed: tuple[str, ...],
        unusable: tuple[str, ...],
        now: float,
    ) -> list[Action]:
        """Apply what was read from the store; announce it to the others."""
        entries = tuple(
            entry
            for entry in entries
            if not self.engines.is_removed_before_restore(entry, now)
        )
        conflicting = self.engines.find_service_conflicts(entries)
        new_entries = tuple(
            entry
            for entry in entries
            if entry.engine not in conflicting
            and self.engines.has_changed(entry)
        )
        newly_unusable = tuple(
            name
            for name in (*unusable, *conflicting)
            if self.engines.is_in_use(name, now)
        )
        resulting: list[Action] = []
        if self.engines.is_store_lost:
            resulting.append(
                actions.Record('store-regained', 'list of engines read again')
            )
        resulting += self.apply_changes(entries, removed, unusable, now)
        was_reader = self.sharing.reads_for_all
        self.sharing.note_engines_read()
        if not self.sharing.reads_for_all:
            return resulting
        announced = self.take_restore_hints() + split_hints(
            new_entries, removed, newly_unusable
        )
        if (
            self.sharing.engine_list_freshness.latest_read_seconds(now)
            <= MAX_CURRENT_READ_SECONDS
        ):
            announced.append(self.read_notification(was_reader=was_reader))
        else:
            # The others get no notification, so one of them has to read.
            self.sharing.reads_for_all = False
        return [*resulting, relay_actions.BroadcastHints(tuple(announced))]

    def take_restore_hints(self) -> list[hints.Hint]:
        """Return the hint of a restore that was not announced yet."""
        eras = self.sharing.eras
        if not eras.restore_unannounced:
            return []
        eras.restore_unannounced = False
        return [hints.StoreRestored(eras.era)]

    def handle_store_restored(self, now: float) -> list[Action]:
        """Handle that the store was restored from a backup."""
        self.engines.note_store_restored(now)
        self.sharing.note_store_restored()
        return [relay_actions.RescheduleStoreRead()]

    def announce_store_attempt(self) -> list[Action]:
        """Tell the others, after a failure, that this instance tries again."""
        if not self.sharing.engine_list_freshness.failures:
            return []
        return [relay_actions.BroadcastHints((hints.StoreProbed(),))]

    def read_notification(self, *, was_reader: bool) -> hints.StoreRead:
        """Return the notification of a read of the store.

        A reader waits at the store for the next configuration, so that it
        certainly has the newest one, unless its calls for it fail. An instance
        that has only just become the reader does not know that.
        """
        is_newest = (
            was_reader and not self.sharing.configuration_freshness.failures
        )
        return hints.StoreRead(
            self.engines.digest(),
            self.configuration_version if is_newest else None,
        )

    def apply_changes(
        self,
        entries: tuple[engines.EngineEntry, ...],
        removed: tuple[str, ...],
        unusable: tuple[str, ...],
        now: float,
    ) -> list[Action]:
        """Apply changes of the list; replace the copies on removed engines."""
        conflicting = self.engines.find_service_conflicts(entries)
        consistent = tuple(e for e in entries if e.engine not in conflicting)
        restarted_entries = [
            e for e in consistent if self.engines.is_restart(e)
        ]
        corrected_entries = [
            e for e in consistent if self.engines.corrects_service(e)
        ]
        ending_engines = self.engines.apply_changes(consistent, removed, now)
        resulting = self.restarts.end_former_lives(restarted_entries, now)
        for entry in corrected_entries:
            resulting += self.restarts.end_misrouted_sends(entry, now)
        for engine in ending_engines:
            resulting += self.retire_engine(
                engine, 'leaving or removed in the list', now
            )
        for engine in self.engines.remove_unusable(unusable, now):
            resulting += self.retire_engine(engine, 'entry unusable', now)
        for engine in self.engines.remove_unusable(conflicting, now):
            resulting += self.retire_engine(
                engine, 'entry of another service', now
            )
        return resulting

    def retire_engine(
        self, engine: str, reason: str, now: float
    ) -> list[Action]:
        """Record that an engine gets no more work; replace its copies."""
        return [
            actions.Record('engine-leaving', reason, upstream=engine),
            *self.copies.replace_lost_copies(engine, now),
        ]

    def handle_store_lost(self, detail: str) -> list[Action]:
        """Keep the known list; record the beginning of an outage."""
        if self.engines.is_store_lost:
            return []
        self.engines.note_store_lost()
        return [actions.Record('store-lost', detail)]


def split_hints(
    entries: tuple[engines.EngineEntry, ...],
    removed: tuple[str, ...],
    unusable: tuple[str, ...],
) -> list[hints.Hint]:
    """Return changes as hints that fit into one datagram each."""
    count = ENTRIES_PER_DATAGRAM
    found: list[hints.Hint] = [
        hints.EngineListChanged(entries[at : at + count], ())
        for at in range(0, len(entries), count)
    ]
    found += [
        hints.EngineListChanged((), removed[at : at + count])
        for at in range(0, len(removed), count)
    ]
    found += [
        hints.EngineListChanged((), (), unusable[at : at + count])
        for at in range(0, len(unusable), count)
    ]
    return found
