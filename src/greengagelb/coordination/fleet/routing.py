"""Choice of an upstream for a new attempt.

Load reports lag, so what this instance itself has in flight is counted in
full and the report is trusted less the older it is. Of two upstreams picked
at random the better one is taken: always taking the least loaded would send
every instance to the same upstream until the next report. Requests that share
a prefix go where it is likely to be cached, as long as that is not much
busier than the others.
"""

import dataclasses
import math
import random

from greengagelb.coordination.fleet import members
from greengagelb.coordination.fleet import upstream_views
from greengagelb.state import configuration as configuration_state
from greengagelb.state import upstreams as upstream_state

RETURN_SECONDS = 2.0
CHOICES = 2
SAMPLES = 4
TRIES = 16
FULL_SECONDS = 0.1
SLOTS_PER_SHORT_RESERVE = 8
AFFINITY_BOUND = 1.5
SHORT = configuration_state.Priority.SHORT
RESUME = configuration_state.Priority.RESUME


@dataclasses.dataclass(slots=True)
class FullPool:
    """A pool without room for a class, and what has changed since.

    ``until`` is the monotonic time at which all are looked at again.
    """

    until: float
    changed: set[str] = dataclasses.field(default_factory=set)


class UpstreamDirectory(upstream_views.UpstreamViews):
    """Chooses among all upstreams of the configuration in force."""

    def __init__(
        self,
        rng: random.Random,
        data_centre: str = '',
        incarnation: str = '',
    ) -> None:
        super().__init__(data_centre, incarnation)
        self.rng = rng
        self.members: dict[tuple[str, str], members.PoolMembers] = {}
        self.full: dict[
            tuple[str, str, configuration_state.Priority], FullPool
        ] = {}

    def apply(self, configuration: configuration_state.Configuration) -> None:
        """Adopt the upstreams of a configuration, keeping what is known."""
        super().apply(configuration)
        self.members.clear()
        self.full.clear()

    def resize(self, live_instances: int) -> None:
        """Share the upstreams' places with that many instances."""
        super().resize(live_instances)
        self.full.clear()

    def touch(self, name: str) -> None:
        """Note that an upstream may have room that it had not before."""
        super().touch(name)
        for full in self.full.values():
            full.changed.add(name)

    # -- choice -------------------------------------------------------------

    def choose(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
        priority: configuration_state.Priority = RESUME,
        prefix: str = '',
    ) -> upstream_state.UpstreamView | None:
        """Return a view with room for one more request, or None.

        Upstreams of other data centres get only what finds no room here: a
        partition would break the streams on them.
        """
        picked = self.pick(pool, excluded, now, priority)
        if not picked:
            return None
        if prefix:
            near = self.choose_by_prefix(pool, picked, prefix, now, priority)
            if near is not None and near.upstream.name not in excluded:
                return near
        return min(picked[:CHOICES], key=lambda view: self.score(view, now))

    def pick(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
        priority: configuration_state.Priority,
    ) -> list[upstream_state.UpstreamView]:
        """Return some views with room, looking at few of them.

        Where a pool was found full, only the upstreams that have changed
        since are looked at for a moment: under overload a full look at each
        event would take more of the processor than all else. Room that comes
        with time alone, when a suspicion ends, is found after that moment.
        """
        key = (pool.name, pool.version, priority)
        full = self.full.get(key)
        if full is not None and now < full.until and not excluded:
            changed = [self.views[n] for n in full.changed if n in self.views]
            names = set(self.members_of(pool).names)
            return [
                view
                for view in changed
                if view.upstream.name in names
                and self.is_open(view, pool, priority, now)
            ]
        picked = self.sample(pool, excluded, now, priority)
        if len(picked) < CHOICES:
            picked = self.scan(pool, excluded, now, priority)
        if not picked and not excluded:
            self.full[key] = FullPool(now + FULL_SECONDS)
        return picked

    def sample(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
        priority: configuration_state.Priority,
    ) -> list[upstream_state.UpstreamView]:
        """Return some near views with room out of a few random ones."""
        names = self.members_of(pool).names
        found: list[upstream_state.UpstreamView] = []
        for name in self.rng.sample(names, min(TRIES, len(names))):
            view = self.views.get(name)
            if view is None or name in excluded:
                continue
            if self.is_open(view, pool, priority, now):
                found.append(view)
                if len(found) == SAMPLES:
                    break
        return found

    def scan(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
        priority: configuration_state.Priority,
    ) -> list[upstream_state.UpstreamView]:
        """Return some views with room out of all, the near ones first."""
        views = self.usable_views(pool, excluded, now)
        usable = [
            view for view in views if self.has_room(view, pool, priority, now)
        ]
        if not usable:
            return []
        local = [view for view in usable if self.is_local(view)]
        usable = local or usable
        return self.rng.sample(usable, min(SAMPLES, len(usable)))

    def is_open(
        self,
        view: upstream_state.UpstreamView,
        pool: configuration_state.Pool,
        priority: configuration_state.Priority,
        now: float,
    ) -> bool:
        """Return whether a trusted upstream has room for a class."""
        return (
            now >= view.suspected_until
            and not (self.holds and view.upstream.name in self.held(now))
            and self.may_get_work(view, pool, now)
            and self.has_room(view, pool, priority, now)
        )

    def members_of(
        self, pool: configuration_state.Pool
    ) -> members.PoolMembers:
        """Return a pool's members, prepared once per configuration."""
        key = (pool.name, pool.version)
        known = self.members.get(key)
        if known is None or known.upstreams is not pool.upstreams:
            known = members.members_of(pool, self.data_centre)
            self.members[key] = known
        return known

    def choose_by_prefix(
        self,
        pool: configuration_state.Pool,
        others: list[upstream_state.UpstreamView],
        prefix: str,
        now: float,
        priority: configuration_state.Priority,
    ) -> upstream_state.UpstreamView | None:
        """Return the upstream that is likely to hold a prefix, if not busy.

        Without the bound the upstream of a popular prefix would be swamped
        while the others idle.
        """
        key = members.digest(prefix)
        scores = [self.score(view, now) for view in others]
        most = AFFINITY_BOUND * sum(scores) / len(scores)
        known = self.members_of(pool)
        views = [self.views[name] for name in known.names]
        holding = [view for view in views if key in view.prefixes]
        for view in [*holding, self.views[known.likely(key)]]:
            calm = self.score(view, now) <= most
            if calm and self.is_open(view, pool, priority, now):
                return view
        return None

    def serving_pool(
        self,
        pool: configuration_state.Pool,
        priority: configuration_state.Priority,
        now: float,
    ) -> configuration_state.Pool:
        """Return the pool with the model version that new work should have.

        While a change of version is under way, engines that still have the
        former one serve what the others have no room for: a change would
        else take the whole pool out at once.
        """
        if pool.former is None:
            return pool
        former = with_version(pool, pool.former)
        if self.choose(pool, set(), now, priority) is not None:
            return pool
        if self.choose(former, set(), now, priority) is not None:
            return former
        return pool

    def usable_views(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
    ) -> list[upstream_state.UpstreamView]:
        """Return the views of a pool that may get new work.

        Where all are suspected, those that have reported since are used: it
        may be this instance's own connections that failed.
        """
        views = [
            view
            for upstream in pool.upstreams
            if upstream.name not in excluded
            and (view := self.views.get(upstream.name)) is not None
            and self.may_get_work(view, pool, now)
        ]
        trusted = [view for view in views if now >= view.suspected_until]
        if trusted:
            return trusted
        return [view for view in views if view.reported_at > view.suspected_at]

    def may_get_work(
        self,
        view: upstream_state.UpstreamView,
        pool: configuration_state.Pool,
        now: float,
    ) -> bool:
        """Return whether an upstream may get new work of a pool.

        An upstream that has never reported is usable: a new instance must
        serve before the first reports are in. One that reports another
        version is not, or two versions would end up in one answer. Where the
        report is old the engine itself decides: it refuses a version that it
        does not have, while a pool moved to a new version would else stay
        empty for all who do not watch its engines.
        """
        if view.leaving or view.upstream.draining:
            return False
        if self.holds and view.upstream.name in self.held(now):
            return False
        if not view.incarnation or not pool.version:
            return True
        stale = now - view.probed_at >= upstream_views.PROBE_TRUST_SECONDS
        if stale and not self.tells_in_change(view, pool):
            return True
        return (view.model, view.version, view.adapter) == (
            pool.model,
            pool.version,
            pool.adapter,
        )

    def tells_in_change(
        self,
        view: upstream_state.UpstreamView,
        pool: configuration_state.Pool,
    ) -> bool:
        """Return whether an old report still tells what an engine has.

        While a pool's version changes, each engine is asked again when it is
        no longer held. Trusting no old report then would send all new work
        to the new version, and most engines would refuse it.
        """
        if pool.former is None:
            return False
        former = pool.former
        return (view.model, view.version, view.adapter) in (
            (former.model, former.version, former.adapter),
            (pool.model, pool.version, pool.adapter),
        )

    def limited_alone(
        self, pool: configuration_state.Pool, now: float
    ) -> list[str]:
        """Return a pool's usable upstreams, if all of them have limits."""
        if not self.limits.lives:
            return []
        names = [
            view.upstream.name for view in self.usable_views(pool, set(), now)
        ]
        if any(self.limits.rate(name) is None for name in names):
            return []
        return names

    def may_ever_serve(
        self, pool: configuration_state.Pool, now: float
    ) -> bool:
        """Return whether waiting may bring an upstream with room."""
        views = (self.views.get(found.name) for found in pool.upstreams)
        return any(
            view and self.may_get_work(view, pool, now) for view in views
        )

    def has_room(
        self,
        view: upstream_state.UpstreamView,
        pool: configuration_state.Pool,
        priority: configuration_state.Priority,
        now: float,
    ) -> bool:
        """Return whether an upstream takes one more request of a class."""
        if not self.has_place(view, pool, priority, now):
            return False
        return self.limits.admits(view.upstream.name, now)

    def has_place(
        self,
        view: upstream_state.UpstreamView,
        pool: configuration_state.Pool,
        priority: configuration_state.Priority,
        now: float,
    ) -> bool:
        """Return whether one more request of a class fits an upstream.

        What an engine can't run yet it queues, and a stream that waits there
        looks like one that has stalled. So no instance gives an engine more
        between two reports than its part of the places that were free.
        """
        slots = self.slots(view, pool, priority, now)
        if now - view.reported_at >= upstream_views.REPORT_TRUST_SECONDS:
            share = math.ceil(slots / self.live_instances)
            return view.in_flight < share
        if self.load(view, now) >= slots:
            return False
        others = view.reported_running + view.reported_queued
        free = slots - max(others, view.in_flight_at_report)
        allowed = max(1, math.ceil(free / self.live_instances))
        grown = view.in_flight - view.in_flight_at_report
        return grown < allowed

    def slots(
        self,
        view: upstream_state.UpstreamView,
        pool: configuration_state.Pool,
        priority: configuration_state.Priority,
        now: float,
    ) -> int:
        """Return how many requests an upstream may have for one class.

        Long work leaves some places to short calls, so that these never
        wait for it. An upstream that has just come back has empty caches and
        may fail again, so that it is filled up over some seconds.
        """
        slots = pool.slots_per_upstream
        if pool.name in self.short_pools and priority is not SHORT:
            reserve = math.ceil(slots / SLOTS_PER_SHORT_RESERVE)
            slots = max(1, slots - reserve)
        back = now - view.returned_at
        if back >= RETURN_SECONDS:
            return slots
        return max(1, math.floor(slots * max(0.0, back) / RETURN_SECONDS))

    def load(self, view: upstream_state.UpstreamView, now: float) -> float:
        """Return the load of an upstream in requests, aged by its lag."""
        age = now - view.reported_at
        trust = max(0.0, 1.0 - age / upstream_views.REPORT_TRUST_SECONDS)
        reported = view.reported_running + view.reported_queued
        others = max(0.0, reported - view.in_flight_at_report)
        return view.in_flight + trust * others

    def score(self, view: upstream_state.UpstreamView, now: float) -> float:
        """Return how long an upstream takes, relative to others.

        A slow engine counts as a busy one. An engine whose step is unknown
        counts by its load alone.
        """
        pace = view.step_seconds or self.usual_step()
        return (self.load(view, now) + 1.0) * pace

    def usual_step(self) -> float:
        """Return a step that upstreams have which report one, or 1."""
        for view in self.views.values():
            if view.step_seconds:
                return view.step_seconds
        return 1.0


def with_version(
    pool: configuration_state.Pool, serves: configuration_state.ModelVersion
) -> configuration_state.Pool:
    """Return the pool with another model version to serve."""
    return dataclasses.replace(
        pool,
        model=serves.model,
        version=serves.version,
        adapter=serves.adapter,
    )
