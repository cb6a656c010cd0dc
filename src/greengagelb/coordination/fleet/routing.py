"""Chooses an upstream for a new attempt.

Load reports lag. Requests that this instance has in flight are therefore
counted in full, while a report is weighted less the older it is. The better
of two random upstreams is chosen, because with the least loaded one all
instances would send to the same upstream until the next report. Requests with
the same prefix are routed to an upstream that probably has it in its cache,
unless that upstream is much busier than the others.
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
    """A pool that was found to have no room for requests of a priority.

    Until the monotonic time ``recheck_at`` only ``changed_upstreams``, those
    that may have gained room since, are considered.
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
        """Apply the upstreams of a configuration and keep known state."""
        super().apply_configuration(configuration)
        self.candidates_by_pool.clear()
        self.full_pools.clear()

    def set_live_instances(self, live_instances: int) -> None:
        """Set how many instances share the slots of the upstreams."""
        super().set_live_instances(live_instances)
        self.full_pools.clear()

    def mark_possible_room(self, name: str) -> None:
        """Record that an upstream may have gained room."""
        super().mark_possible_room(name)
        for full_pool in self.full_pools.values():
            full_pool.changed_upstreams.add(name)

    def choose_upstream(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
        priority: configuration_state.Priority = RESUME,
        prefix: str = '',
    ) -> upstream_state.UpstreamView | None:
        """Return an upstream with room for one more request, or None.

        Upstreams of other data centres are used only when the local ones
        have no room, because a network partition would break their streams.
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
        """Return some upstreams with room, checking as few as possible.

        For ``FULL_POOL_RECHECK_SECONDS`` after a pool was found full, only
        upstreams that have changed since are checked. Under overload, a full
        scan at each event would take more processor time than all other work.
        Room that arises without an event, such as when a suspicion ends, is
        found after that time.
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
        """Return upstreams with room from a random sample of candidates."""
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
        """Return upstreams with room after a full scan, local ones if any."""
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
        """Return whether an upstream is not suspected and has room."""
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
        """Return the candidates of a pool, computed once per configuration."""
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
        """Return an upstream that probably has a prefix cached, or None.

        It is used only while its expected delay is at most
        ``AFFINITY_LOAD_FACTOR`` times the mean of ``candidates``. Without
        this bound the upstream of a popular prefix would be overloaded while
        others are idle.
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
        """Return the pool with the model version to use for new work.

        During a change of version, engines that still run the former version
        get the requests for which the others have no room. Otherwise a change
        would take the whole pool out of service at once.
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
        """Return the upstreams of a pool that may get new work.

        If all are suspected, those that have reported since they were
        suspected are returned, as the fault may lie in the connections of
        this instance.
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

        An upstream that has never reported is usable, because a new instance
        must serve before it has the first reports. One that reports another
        version is not, because an answer must not mix two versions. An old
        report is ignored and the engine itself decides, as it refuses a
        version that it does not have. Otherwise a pool that was changed to a
        new version would have no usable engine for instances that do not
        probe its engines.
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
        """Return whether an old report still shows the version of an engine.

        During a change of a pool's version, each engine is probed again when
        its hold ends. If old reports were ignored then, all new work would
        request the new version, and most engines would refuse it.
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
        """Return the names of a pool's usable upstreams if all have limits.

        The list is empty if one of them has no limit.
        """
        if not self.limits.limited_lives:
            return []
        names = [
            view.upstream.name for view in self.usable_views(pool, set(), now)
        ]
        if any(self.limits.rate(name) is None for name in names):
            return []
        return names

    def rest_wait_seconds(
        self, pool: configuration_state.Pool, now: float
    ) -> float:
        """Return the seconds until an upstream of a pool has ended its rest.

        The result is 0 unless all that may get work have asked for rest. It
        is needed for each request, so pools are scanned only during a rest.
        """
        if now >= self.last_rest_end:
            return 0.0
        ends = [
            view.rest_until for view in self.usable_views(pool, set(), now)
        ]
        return max(0.0, min(ends) - now) if ends else 0.0

    def can_ever_serve(
        self, pool: configuration_state.Pool, now: float
    ) -> bool:
        """Return whether an upstream of the pool may have room later."""
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
        """Return whether a slot is free and the request limit permits it.

        An upstream that has asked for rest has no room until its end. If only
        a permit is missing, one is requested.
        """
        if now < view.rest_until:
            return False
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
        """Return whether an upstream has a free slot for a priority.

        An engine queues requests that it can't run yet, and a stream in that
        queue can't be told from a stalled one. Between two reports an instance
        therefore sends an engine at most its share of the slots that were
        free.
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
        """Return how many requests of a priority an upstream may run.

        One in ``SLOTS_PER_RESERVED_SLOT`` slots is reserved for short calls,
        so that they don't wait for long work. An upstream that has just
        returned has empty caches and may fail again, so its slots become
        available gradually over ``RAMP_UP_SECONDS``.
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
        """Return the load of an upstream in requests.

        The reported load of other instances is weighted by the age of the
        report.
        """
        age = now - view.reported_at
        trust = max(0.0, 1.0 - age / upstream_views.REPORT_TRUST_SECONDS)
        reported = view.reported_running + view.reported_queued
        other_load = max(0.0, reported - view.in_flight_at_report)
        return view.in_flight + trust * other_load

    def relative_delay(
        self, view: upstream_state.UpstreamView, now: float
    ) -> float:
        """Return the expected delay at an upstream, to compare with others.

        It is the load times the step time, so that a slow engine ranks like a
        busy one. An engine of unknown step time is ranked by its load alone.
        """
        step_seconds = view.step_seconds or self.typical_step_seconds()
        return (self.estimated_load(view, now) + 1.0) * step_seconds

    def typical_step_seconds(self) -> float:
        """Return the step time of any upstream that reports one, or 1."""
        for view in self.views.values():
            if view.step_seconds:
                return view.step_seconds
        return 1.0


def with_version(
    pool: configuration_state.Pool,
    model_version: configuration_state.ModelVersion,
) -> configuration_state.Pool:
    """Return a copy of the pool that serves another model version."""
    return dataclasses.replace(
        pool,
        model=model_version.model,
        version=model_version.version,
        adapter=model_version.adapter,
    )
