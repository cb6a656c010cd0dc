"""Takes in the list of engines, and tells the others what is new in it."""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import restarts
from greengagelb.coordination.relay import run_copies
from greengagelb.coordination.relay import store_sharing
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints

# A read that took longer than this tells the others nothing about now, in
# seconds. It is what a call to the store may take on a good link; with the
# time that they wait it stays below the bound on work for engines that leave.
MAX_CURRENT_READ_SECONDS = 0.6
# Entries of engines in one datagram; ten take some 900 bytes.
ENTRIES_PER_DATAGRAM = 10

Action = relay_actions.RelayAction


class EngineListHandler:
    """What follows from reads of the list, and from others' word on it.

    ``version`` is that of the configuration in force, 0 without one; the
    others are told of both after each read.
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
        """Take in a whole list; what it does not have is removed."""
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
        """Take in what was read from the store; tell the others."""
        entries = tuple(
            entry
            for entry in entries
            if not self.engines.is_removed_before_restore(entry, now)
        )
        conflicting = self.engines.find_service_conflicts(entries)
        new_entries = tuple(
            entry
            for entry in entries
            if entry.engine not in conflicting and self.engines.is_news(entry)
        )
        newly_unusable = tuple(
            name
            for name in (*unusable, *conflicting)
            if self.engines.is_in_use(name, now)
        )
        done: list[Action] = []
        if self.engines.is_store_lost:
            done.append(actions.Record('store-regained', 'list of engines'))
        done += self.apply_changes(entries, removed, unusable, now)
        was_reader = self.sharing.reads_for_all
        self.sharing.note_engines_read()
        if not self.sharing.reads_for_all:
            return done
        announced = self.take_restore_hints() + split_hints(
            new_entries, removed, newly_unusable
        )
        if (
            self.sharing.engines.latest_read_seconds(now)
            <= MAX_CURRENT_READ_SECONDS
        ):
            announced.append(self.read_notification(was_reader=was_reader))
        else:
            # The others get no notification, so one of them has to read.
            self.sharing.reads_for_all = False
        return [*done, relay_actions.ForwardHints(tuple(announced))]

    def take_restore_hints(self) -> list[hints.Hint]:
        """Return what the others have to know before all else."""
        eras = self.sharing.eras
        if not eras.restore_unannounced:
            return []
        eras.restore_unannounced = False
        return [hints.StoreRestored(eras.era)]

    def handle_store_restored(self, now: float) -> list[Action]:
        """Take in that the store has come back from a copy."""
        self.engines.note_store_restored(now)
        self.sharing.note_store_restored()
        return [relay_actions.RescheduleStoreRead()]

    def announce_store_attempt(self) -> list[Action]:
        """Tell the others who can't read it that this one tries the store."""
        if not self.sharing.engines.failures:
            return []
        return [relay_actions.ForwardHints((hints.StoreTried(),))]

    def read_notification(self, *, was_reader: bool) -> hints.StoreRead:
        """Return what the others are told of what stands in the store.

        A reader waits at the store for the next configuration, and so is sure
        to have the newest, unless its calls for it fail. One that has only
        just become the reader is not.
        """
        is_newest = was_reader and not self.sharing.configuration.failures
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
        """Take in changes; replace the copies on engines that end."""
        conflicting = self.engines.find_service_conflicts(entries)
        consistent = tuple(e for e in entries if e.engine not in conflicting)
        restarted_entries = [
            e for e in consistent if self.engines.is_restart(e)
        ]
        ending_engines = self.engines.apply_changes(consistent, removed, now)
        done = self.restarts.end_former_lives(restarted_entries, now)
        for engine in ending_engines:
            done += self.retire_engine(engine, 'listed', now)
        for engine in self.engines.remove_unusable(unusable, now):
            done += self.retire_engine(engine, 'entry unusable', now)
        for engine in self.engines.remove_unusable(conflicting, now):
            done += self.retire_engine(engine, 'entry of another service', now)
        return done

    def retire_engine(
        self, engine: str, reason: str, now: float
    ) -> list[Action]:
        """Tell that an engine gets no more work; replace the copies there."""
        return [
            actions.Record('engine-leaving', reason, upstream=engine),
            *self.copies.replace_lost_copies(engine, now),
        ]

    def handle_store_lost(self, detail: str) -> list[Action]:
        """Go on with what is known; note when the store went away."""
        if self.engines.is_store_lost:
            return []
        self.engines.note_store_lost()
        return [actions.Record('store-lost', detail)]


def split_hints(
    entries: tuple[engines.EngineEntry, ...],
    removed: tuple[str, ...],
    unusable: tuple[str, ...],
) -> list[hints.Hint]:
    """Return news in parts that fit a datagram each."""
    count = ENTRIES_PER_DATAGRAM
    found: list[hints.Hint] = [
        hints.EnginesTold(entries[at : at + count], ())
        for at in range(0, len(entries), count)
    ]
    found += [
        hints.EnginesTold((), removed[at : at + count])
        for at in range(0, len(removed), count)
    ]
    found += [
        hints.EnginesTold((), (), unusable[at : at + count])
        for at in range(0, len(unusable), count)
    ]
    return found
