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

from greengagelb.coordination.fleet import pool_candidates
from greengagelb.coordination.fleet import upstream_views
from greengagelb.state import configuration as configuration_state
from greengagelb.state import upstreams as upstream_state

RAMP_UP_SECONDS = 2.0
COMPARED_CANDIDATES = 2
MAX_CANDIDATES = 4
MAX_SAMPLED_UPSTREAMS = 16
FULL_POOL_RECHECK_SECONDS = 0.1
SLOTS_PER_RESERVED_SLOT = 8
AFFINITY_LOAD_FACTOR = 1.5
SHORT = configuration_state.Priority.SHORT
RESUME = configuration_state.Priority.RESUME


@dataclasses.dataclass(slots=True)
class FullPool:
    """A pool without room for a class, and what has changed since.

    ``until`` is the monotonic time at which all are looked at again.
    """

    recheck_at: float
    changed_upstreams: set[str] = dataclasses.field(default_factory=set)


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
        self.candidates_by_pool: dict[
            tuple[str, str], pool_candidates.PoolCandidates
        ] = {}
        self.full_pools: dict[
            tuple[str, str, configuration_state.Priority], FullPool
        ] = {}

    def apply_configuration(
        self, configuration: configuration_state.Configuration
    ) -> None:
        """Adopt the upstreams of a configuration, keeping what is known."""
        super().apply_configuration(configuration)
        self.candidates_by_pool.clear()
        self.full_pools.clear()

    def set_live_instances(self, live_instances: int) -> None:
        """Share the upstreams' places with that many instances."""
        super().set_live_instances(live_instances)
        self.full_pools.clear()

    def mark_possible_room(self, name: str) -> None:
        """Note that an upstream may have room that it had not before."""
        super().mark_possible_room(name)
        for full_pool in self.full_pools.values():
            full_pool.changed_upstreams.add(name)

    # -- choice -------------------------------------------------------------

    def choose_upstream(
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
        candidates = self.find_candidates(pool, excluded, now, priority)
        if not candidates:
            return None
        if prefix:
            preferred = self.choose_by_prefix(
                pool, candidates, prefix, now, priority
            )
            if (
                preferred is not None
                and preferred.upstream.name not in excluded
            ):
                return preferred
        return min(
            candidates[:COMPARED_CANDIDATES],
            key=lambda view: self.relative_delay(view, now),
        )

    def find_candidates(
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
        full_pool = self.full_pools.get(key)
        if (
            full_pool is not None
            and now < full_pool.recheck_at
            and not excluded
        ):
            changed = [
                self.views[n]
                for n in full_pool.changed_upstreams
                if n in self.views
            ]
            names = set(self.candidates_of(pool).names)
            return [
                view
                for view in changed
                if view.upstream.name in names
                and self.can_accept(view, pool, priority, now)
            ]
        candidates = self.sample_candidates(pool, excluded, now, priority)
        if len(candidates) < COMPARED_CANDIDATES:
            candidates = self.scan_candidates(pool, excluded, now, priority)
        if not candidates and not excluded:
            self.full_pools[key] = FullPool(now + FULL_POOL_RECHECK_SECONDS)
        return candidates

    def sample_candidates(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
        priority: configuration_state.Priority,
    ) -> list[upstream_state.UpstreamView]:
        """Return some near views with room out of a few random ones."""
        names = self.candidates_of(pool).names
        found: list[upstream_state.UpstreamView] = []
        for name in self.rng.sample(
            names, min(MAX_SAMPLED_UPSTREAMS, len(names))
        ):
            view = self.views.get(name)
            if view is None or name in excluded:
                continue
            if self.can_accept(view, pool, priority, now):
                found.append(view)
                if len(found) == MAX_CANDIDATES:
                    break
        return found

    def scan_candidates(
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
        return self.rng.sample(usable, min(MAX_CANDIDATES, len(usable)))

    def can_accept(
        self,
        view: upstream_state.UpstreamView,
        pool: configuration_state.Pool,
        priority: configuration_state.Priority,
        now: float,
    ) -> bool:
        """Return whether a trusted upstream has room for a class."""
        return (
            now >= view.suspected_until
            and not (
                self.holds and view.upstream.name in self.held_upstreams(now)
            )
            and self.may_get_work(view, pool, now)
            and self.has_room(view, pool, priority, now)
        )

    def candidates_of(
        self, pool: configuration_state.Pool
    ) -> pool_candidates.PoolCandidates:
        """Return a pool's members, prepared once per configuration."""
        key = (pool.name, pool.version)
        prepared = self.candidates_by_pool.get(key)
        if prepared is None or prepared.upstreams is not pool.upstreams:
            prepared = pool_candidates.local_candidates(pool, self.data_centre)
            self.candidates_by_pool[key] = prepared
        return prepared

    def choose_by_prefix(
        self,
        pool: configuration_state.Pool,
        candidates: list[upstream_state.UpstreamView],
        prefix: str,
        now: float,
        priority: configuration_state.Priority,
    ) -> upstream_state.UpstreamView | None:
        """Return the upstream that is likely to hold a prefix, if not busy.

        Without the bound the upstream of a popular prefix would be swamped
        while the others idle.
        """
        key = pool_candidates.prefix_digest(prefix)
        delays = [self.relative_delay(view, now) for view in candidates]
        max_delay = AFFINITY_LOAD_FACTOR * sum(delays) / len(delays)
        prepared = self.candidates_of(pool)
        views = [self.views[name] for name in prepared.names]
        holders = [view for view in views if key in view.prefixes]
        for view in [*holders, self.views[prepared.preferred_upstream(key)]]:
            is_within_limit = self.relative_delay(view, now) <= max_delay
            if is_within_limit and self.can_accept(view, pool, priority, now):
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
        if self.choose_upstream(pool, set(), now, priority) is not None:
            return pool
        if self.choose_upstream(former, set(), now, priority) is not None:
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
        if self.holds and view.upstream.name in self.held_upstreams(now):
            return False
        if not view.incarnation or not pool.version:
            return True
        stale = now - view.probed_at >= upstream_views.PROBE_TRUST_SECONDS
        if stale and not self.is_old_report_usable(view, pool):
            return True
        return (view.model, view.version, view.adapter) == (
            pool.model,
            pool.version,
            pool.adapter,
        )

    def is_old_report_usable(
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

    def upstreams_if_all_limited(
        self, pool: configuration_state.Pool, now: float
    ) -> list[str]:
        """Return a pool's usable upstreams, if all of them have limits."""
        if not self.limits.limited_lives:
            return []
        names = [
            view.upstream.name for view in self.usable_views(pool, set(), now)
        ]
        if any(self.limits.rate(name) is None for name in names):
            return []
        return names

    def can_ever_serve(
        self, pool: configuration_state.Pool, now: float
    ) -> bool:
        """Return whether waiting may bring an upstream with room."""
        views = (self.views.get(upstream.name) for upstream in pool.upstreams)
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
        if not self.has_free_slot(view, pool, priority, now):
            return False
        return self.limits.has_or_requests_permit(view.upstream.name, now)

    def has_free_slot(
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
        slots = self.available_slots(view, pool, priority, now)
        if now - view.reported_at >= upstream_views.REPORT_TRUST_SECONDS:
            share = math.ceil(slots / self.live_instances)
            return view.in_flight < share
        if self.estimated_load(view, now) >= slots:
            return False
        other_load = view.reported_running + view.reported_queued
        free = slots - max(other_load, view.in_flight_at_report)
        allowed = max(1, math.ceil(free / self.live_instances))
        sent_since_report = view.in_flight - view.in_flight_at_report
        return sent_since_report < allowed

    def available_slots(
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
        if pool.name in self.mixed_pools and priority is not SHORT:
            reserve = math.ceil(slots / SLOTS_PER_RESERVED_SLOT)
            slots = max(1, slots - reserve)
        seconds_since_return = now - view.returned_at
        if seconds_since_return >= RAMP_UP_SECONDS:
            return slots
        return max(
            1,
            math.floor(
                slots * max(0.0, seconds_since_return) / RAMP_UP_SECONDS
            ),
        )

    def estimated_load(
        self, view: upstream_state.UpstreamView, now: float
    ) -> float:
        """Return the load of an upstream in requests, aged by its lag."""
        age = now - view.reported_at
        trust = max(0.0, 1.0 - age / upstream_views.REPORT_TRUST_SECONDS)
        reported = view.reported_running + view.reported_queued
        other_load = max(0.0, reported - view.in_flight_at_report)
        return view.in_flight + trust * other_load

    def relative_delay(
        self, view: upstream_state.UpstreamView, now: float
    ) -> float:
        """Return how long an upstream takes, relative to others.

        A slow engine counts as a busy one. An engine whose step is unknown
        counts by its load alone.
        """
        step_seconds = view.step_seconds or self.typical_step_seconds()
        return (self.estimated_load(view, now) + 1.0) * step_seconds

    def typical_step_seconds(self) -> float:
        """Return a step that upstreams have which report one, or 1."""
        for view in self.views.values():
            if view.step_seconds:
                return view.step_seconds
        return 1.0


def with_version(
    pool: configuration_state.Pool,
    model_version: configuration_state.ModelVersion,
) -> configuration_state.Pool:
    """Return the pool with another model version to serve."""
    return dataclasses.replace(
        pool,
        model=model_version.model,
        version=model_version.version,
        adapter=model_version.adapter,
    )
