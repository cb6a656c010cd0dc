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
PROMPT_READ_SECONDS = 0.6
# Entries of engines in one datagram; ten take some 900 bytes.
NEWS_IN_A_DATAGRAM = 10

Action = relay_actions.RelayAction


class EngineList:
    """What follows from reads of the list, and from others' word on it.

    ``version`` is that of the configuration in force, 0 without one; the
    others are told of both after each read.
    """

    def __init__(
        self,
        known: directory.EngineDirectory,
        sharing: store_sharing.StoreSharing,
        copies: run_copies.RunCopies,
        restarted: restarts.Restarts,
    ) -> None:
        self.engines = known
        self.sharing = sharing
        self.copies = copies
        self.restarts = restarted
        self.version = 0

    def read_whole(
        self,
        entries: tuple[engines.EngineEntry, ...],
        unusable: tuple[str, ...],
        now: float,
    ) -> list[Action]:
        """Take in a whole list; what it does not have is removed."""
        missing = self.engines.missing_from(entries)
        removed = tuple(name for name in missing if name not in unusable)
        return self.read(entries, removed, unusable, now)

    def read(
        self,
        entries: tuple[engines.EngineEntry, ...],
        removed: tuple[str, ...],
        unusable: tuple[str, ...],
        now: float,
    ) -> list[Action]:
        """Take in what was read from the store; tell the others."""
        entries = tuple(
            entry for entry in entries if not self.engines.is_ghost(entry, now)
        )
        contrary = self.engines.contradicted_by(entries)
        news = tuple(
            entry
            for entry in entries
            if entry.engine not in contrary and self.engines.is_news(entry)
        )
        spoilt = tuple(
            name
            for name in (*unusable, *contrary)
            if self.engines.is_used(name, now)
        )
        done: list[Action] = []
        if self.engines.lost:
            done.append(actions.Record('store-regained', 'list of engines'))
        done += self.changed(entries, removed, unusable, now)
        was_reader = self.sharing.reads_for_all
        self.sharing.engines_read()
        if not self.sharing.reads_for_all:
            return done
        told = self.eras_told() + parts_of(news, removed, spoilt)
        if self.sharing.engines.read_takes(now) <= PROMPT_READ_SECONDS:
            told.append(self.notification(was_reader=was_reader))
        else:
            # The others get no notification, so one of them has to read.
            self.sharing.reads_for_all = False
        return [*done, relay_actions.ForwardHints(tuple(told))]

    def eras_told(self) -> list[hints.Hint]:
        """Return what the others have to know before all else."""
        eras = self.sharing.eras
        if not eras.untold:
            return []
        eras.untold = False
        return [hints.StoreRestored(eras.era)]

    def restored(self, now: float) -> list[Action]:
        """Take in that the store has come back from a copy."""
        self.engines.store_restored(now)
        self.sharing.restored()
        return [relay_actions.RescheduleStoreRead()]

    def asked(self) -> list[Action]:
        """Tell the others who can't read it that this one tries the store."""
        if not self.sharing.engines.failures:
            return []
        return [relay_actions.ForwardHints((hints.StoreTried(),))]

    def notification(self, *, was_reader: bool) -> hints.StoreRead:
        """Return what the others are told of what stands in the store.

        A reader waits at the store for the next configuration, and so is sure
        to have the newest, unless its calls for it fail. One that has only
        just become the reader is not.
        """
        sure = was_reader and not self.sharing.configuration.failures
        return hints.StoreRead(
            self.engines.digest(),
            self.version if sure else None,
        )

    def changed(
        self,
        entries: tuple[engines.EngineEntry, ...],
        removed: tuple[str, ...],
        unusable: tuple[str, ...],
        now: float,
    ) -> list[Action]:
        """Take in changes; replace the copies on engines that end."""
        contrary = self.engines.contradicted_by(entries)
        agreed = tuple(e for e in entries if e.engine not in contrary)
        again = [e for e in agreed if self.engines.restarts(e)]
        ending = self.engines.changed(agreed, removed, now)
        done = self.restarts.ended(again, now)
        for engine in ending:
            done += self.engine_ends(engine, 'listed', now)
        for engine in self.engines.spoilt(unusable, now):
            done += self.engine_ends(engine, 'entry unusable', now)
        for engine in self.engines.spoilt(contrary, now):
            done += self.engine_ends(engine, 'entry of another service', now)
        return done

    def engine_ends(self, engine: str, why: str, now: float) -> list[Action]:
        """Tell that an engine gets no more work; replace the copies there."""
        return [
            actions.Record('engine-leaving', why, upstream=engine),
            *self.copies.replace_lost_copies(engine, now),
        ]

    def store_lost(self, detail: str) -> list[Action]:
        """Go on with what is known; note when the store went away."""
        if self.engines.lost:
            return []
        self.engines.store_lost()
        return [actions.Record('store-lost', detail)]


def parts_of(
    entries: tuple[engines.EngineEntry, ...],
    removed: tuple[str, ...],
    unusable: tuple[str, ...],
) -> list[hints.Hint]:
    """Return news in parts that fit a datagram each."""
    size = NEWS_IN_A_DATAGRAM
    found: list[hints.Hint] = [
        hints.EnginesTold(entries[at : at + size], ())
        for at in range(0, len(entries), size)
    ]
    found += [
        hints.EnginesTold((), removed[at : at + size])
        for at in range(0, len(removed), size)
    ]
    found += [
        hints.EnginesTold((), (), unusable[at : at + size])
        for at in range(0, len(unusable), size)
    ]
    return found
