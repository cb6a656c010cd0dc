"""Takes in what the other instances tell, and who of them is there."""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import budget
from greengagelb.coordination.relay import crashing
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import engine_list
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import fleet
from greengagelb.coordination.relay import limited
from greengagelb.coordination.relay import restarts
from greengagelb.coordination.relay import run_copies
from greengagelb.coordination.relay import store_sharing
from greengagelb.state import crashes
from greengagelb.state import limits
from greengagelb.state.relay import hints

# The most incarnations in one datagram, which they have to fit; the next look
# at the list finds the others.
MOST_NOT_LISTED = 50

Action = relay_actions.RelayAction


class PeerWords:
    """What follows from the words of other instances, and from silence."""

    def __init__(
        self,
        engines_known: directory.EngineDirectory,
        listed: engine_list.EngineList,
        others: fleet.FleetView,
        sharing: store_sharing.StoreSharing,
        retries: budget.SharedRetryBudget,
        copies: run_copies.RunCopies,
        restarted: restarts.Restarts,
        crashing_requests: crashing.CrashingRequests,
        limited_sends: limited.LimitedSends,
    ) -> None:
        self.engines = engines_known
        self.listed = listed
        self.fleet = others
        self.sharing = sharing
        self.budget = retries
        self.copies = copies
        self.restarts = restarted
        self.crashing = crashing_requests
        self.limited = limited_sends
        self.keeper = limited_sends.keeper

    def hear(self, event: relay_events.RelayEvent, now: float) -> list[Action]:
        """Take in what is known of the other instances."""
        done: list[Action] = []
        match event:
            case relay_events.PeerTold(incarnation, hint):
                return self.told(incarnation, hint, now)
            case relay_events.MembersListed(members):
                self.fleet.take_list(members)
                done += self.tell_unlisted()
            case relay_events.PeerHeard(incarnation, data_centre, known):
                if incarnation not in self.fleet.heard_at:
                    told = f'{incarnation} in {data_centre}'
                    done.append(actions.Record('peer-heard', told))
                self.fleet.greeted(incarnation, now)
                done += forgotten(self.fleet.tidy(now))
                done += self.crashing.heard(incarnation, known.crashes, now)
                self.keeper.ranking.mark_alive(incarnation)
                self.keeper.request_news_if_different(
                    incarnation, known.limits, now
                )
            case relay_events.PeerLeft(incarnation):
                done += forgotten(self.fleet.left(incarnation, now))
                self.keeper.remove_instance(incarnation, now)
        self.budget.resize(self.fleet.size, 1 + len(self.fleet.heard_at))
        if (
            self.fleet.listed
            and self.fleet.size != self.keeper.parts.instance_count
        ):
            seconds = self.fleet.heartbeat_seconds
            self.keeper.parts.rank = self.fleet.rank
            self.keeper.resize(self.fleet.size, seconds, now)
        return done

    def told(
        self, incarnation: str, hint: hints.Hint, now: float
    ) -> list[Action]:
        """Take in a hint of another instance."""
        match hint:
            case hints.Placed():
                self.placed_elsewhere(incarnation, hint, now)
            case hints.Ended():
                self.fleet.ended(incarnation, hint)
            case hints.Failed(engine, start):
                self.engines.doubted(engine, now, start)
            case hints.Erred(engine, start):
                self.engines.erred(engine, now, start)
            case hints.Replaced(engine, successor, start):
                if successor:
                    self.engines.succeed(engine, successor, now, start)
                else:
                    self.engines.was_replaced(engine, start)
            case hints.Restarted(engine, start):
                return self.restarts.heard(engine, start, now)
            case hints.EnginesTold(entries, removed, unusable):
                return self.listed.changed(entries, removed, unusable, now)
            case hints.StoreRead():
                return self.store_read(incarnation, hint, now)
            case hints.StoreRestored(era):
                if self.sharing.eras.heard(era):
                    return self.listed.restored(now)
            case hints.StoreTried():
                self.sharing.tried_elsewhere(now)
            case crashes.CrashReport():
                return self.crashing.told(hint, now)
            case crashes.Wanted():
                return self.crashing.wanted(incarnation, now)
            case hints.NotListed(incarnations):
                return self.not_listed(incarnations)
            case hints.ConfigurationApplied(version):
                self.version_told(version, now)
                return self.look_if_stale()
            case _ if isinstance(hint, limits.Message):
                return self.limited.hear(incarnation, hint, now)
        return self.copies_lost_with(hint, now)

    def tell_unlisted(self) -> list[Action]:
        """Tell the instances that are heard, but missing in the list.

        Those that start later would never hear of them.
        """
        missing = tuple(self.fleet.heard_at.keys() - self.fleet.present)
        if not missing or not self.sharing.reads_for_all:
            return []
        hint = hints.NotListed(missing[:MOST_NOT_LISTED])
        return [relay_actions.ForwardHints((hint,))]

    def not_listed(self, incarnations: tuple[str, ...]) -> list[Action]:
        """Look at the list if it lacks this instance."""
        if self.fleet.own not in incarnations:
            return []
        self.sharing.not_listed()
        return [relay_actions.RescheduleStoreRead()]

    def store_read(
        self, incarnation: str, hint: hints.StoreRead, now: float
    ) -> list[Action]:
        """Take in what another instance has just read from the store."""
        self.sharing.read_elsewhere(incarnation)
        same = hint.digest == self.engines.digest()
        if same:
            self.engines.confirmed(now)
        self.sharing.engines.told(same=same, now=now)
        if hint.version is not None:
            self.version_told(hint.version, now)
        return self.look_if_stale()

    def placed_elsewhere(
        self, incarnation: str, hint: hints.Placed, now: float
    ) -> None:
        """Count a run of another instance, and the send that began it."""
        state = self.engines.states.get(hint.engine)
        is_new = self.fleet.placed(incarnation, hint, now)
        if is_new and hint.attempt and state is not None:
            service = state.entry.service
            self.budget.told(service, now, repeat=hint.attempt > 1)

    def look_if_stale(self) -> list[Action]:
        """Read the store if something newer is known to be there."""
        sharing = self.sharing
        if sharing.engines.stale or sharing.configuration.stale:
            return [relay_actions.RescheduleStoreRead()]
        return []

    def version_told(self, version: int, now: float) -> None:
        """Take in which configuration another instance has.

        The word of one that lags behind does not put off the read of a newer
        version that somebody else has told of.
        """
        self.sharing.version_told(version)
        known = self.listed.version
        waiting = self.sharing.configuration
        if version > known or not waiting.stale:
            waiting.told(same=version <= known, now=now)

    def copies_lost_with(self, hint: hints.Hint, now: float) -> list[Action]:
        """Replace the copies on an engine that a hint says has died."""
        match hint:
            case hints.Failed(engine, started_at_ms=start) | hints.Replaced(
                engine, started_at_ms=start
            ):
                return self.copies.replace_lost_copies(engine, now, start)
            case hints.Silent(engine, start):
                if self.engines.silent(engine, now, start):
                    return self.copies.replace_lost_copies(engine, now, start)
        return []


def forgotten(incarnations: list[str]) -> list[Action]:
    """Return the time line events of instances that are not heard any more."""
    return [actions.Record('peer-forgotten', name) for name in incarnations]
