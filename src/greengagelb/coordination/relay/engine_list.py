"""Takes in the list of engines, and tells the neighbours what is new in it."""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import copying
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import restarts
from greengagelb.coordination.relay import store_sharing
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints

# Entries of engines in one datagram; ten take some 900 bytes.
NEWS_IN_A_DATAGRAM = 10

Action = relay_actions.RelayAction


class EngineList:
    """What follows from reads of the list, and from others' word on it.

    ``version`` is that of the configuration in force, 0 without one; the
    neighbours are told of both after each read.
    """

    def __init__(
        self,
        known: directory.EngineDirectory,
        sharing: store_sharing.StoreSharing,
        copies: copying.RunCopies,
        restarted: restarts.Restarts,
    ) -> None:
        self.engines = known
        self.sharing = sharing
        self.copies = copies
        self.restarts = restarted
        self.version = 0

    def read_whole(
        self, entries: tuple[engines.EngineEntry, ...], now: float
    ) -> list[Action]:
        """Take in a whole list; what it does not have is removed."""
        return self.read(entries, self.engines.missing_from(entries), now)

    def read(
        self,
        entries: tuple[engines.EngineEntry, ...],
        removed: tuple[str, ...],
        now: float,
    ) -> list[Action]:
        """Take in what was read from the store; tell the neighbours."""
        news = tuple(e for e in entries if self.engines.is_news(e))
        done: list[Action] = []
        if self.engines.lost:
            done.append(actions.Record('store-regained', 'list of engines'))
        done += self.changed(entries, removed, now)
        self.sharing.engines.known(self.sharing.engines.looked_at)
        if not self.sharing.is_reader(now):
            return done
        word = hints.StoreRead(self.engines.digest(), self.version)
        told = [*parts_of(news, removed), word]
        return done + [relay_actions.TellNeighbours(hint) for hint in told]

    def changed(
        self,
        entries: tuple[engines.EngineEntry, ...],
        removed: tuple[str, ...],
        now: float,
    ) -> list[Action]:
        """Take in changes; replace the copies on engines that end."""
        again = [e for e in entries if self.engines.restarts(e)]
        ending = self.engines.changed(entries, removed, now)
        done = self.restarts.ended(again, now)
        for engine in ending:
            done.append(
                actions.Record('engine-leaving', 'listed', upstream=engine)
            )
            done += self.copies.lost_at(engine, now)
        return done

    def store_lost(self, detail: str) -> list[Action]:
        """Go on with what is known; note when the store went away."""
        if self.engines.lost:
            return []
        self.engines.store_lost()
        return [actions.Record('store-lost', detail)]


def parts_of(
    entries: tuple[engines.EngineEntry, ...], removed: tuple[str, ...]
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
    return found
