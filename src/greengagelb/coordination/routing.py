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

from greengagelb import errors
from greengagelb.coordination import events
from greengagelb.coordination import members
from greengagelb.state import configuration as configuration_state
from greengagelb.state import fleet
from greengagelb.state import identity
from greengagelb.state import upstreams as upstream_state

REPORT_TRUST_SECONDS = 5.0
PROBE_TRUST_SECONDS = 3.0
SUSPICION_SECONDS = 2.0
MOST_SUSPICION_SECONDS = 30.0
FORGIVE_SECONDS = 30.0
RETURN_SECONDS = 2.0
HOLD_SECONDS = 20.0
CHOICES = 2
SAMPLES = 4
TRIES = 16
FULL_SECONDS = 0.1
SLOTS_PER_SHORT_RESERVE = 8
AFFINITY_BOUND = 1.5
MOST_CACHED_PREFIXES = 4096
SHORT = configuration_state.Priority.SHORT
RESUME = configuration_state.Priority.RESUME


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Upstreams that an instance holds, until a monotonic time."""

    upstreams: frozenset[str]
    deadline: float


@dataclasses.dataclass(slots=True)
class FullPool:
    """A pool without room for a class, and what has changed since.

    ``until`` is the monotonic time at which all are looked at again.
    """

    until: float
    changed: set[str] = dataclasses.field(default_factory=set)


class UpstreamDirectory:
    """All upstreams of the configuration in force, and what is known of them.

    Invariant: ``in_flight`` of an upstream is never negative. ``changed``
    tells that an upstream may have room by now that it had not before.
    """

    def __init__(self, rng: random.Random, data_centre: str = '') -> None:
        self.rng = rng
        self.data_centre = data_centre
        self.views: dict[str, upstream_state.UpstreamView] = {}
        self.short_pools: set[str] = set()
        self.leaving: set[identity.EngineId] = set()
        self.holds: dict[str, Hold] = {}
        self.live_instances = 1
        self.order: list[str] = []
        self.members: dict[tuple[str, str], members.PoolMembers] = {}
        self.full: dict[
            tuple[str, str, configuration_state.Priority], FullPool
        ] = {}
        self.changed = False

    # -- what is known ------------------------------------------------------

    def apply(self, configuration: configuration_state.Configuration) -> None:
        """Adopt the upstreams of a configuration, keeping what is known."""
        named = {
            upstream.name: upstream
            for pool in configuration.pools
            for upstream in pool.upstreams
        }
        for name, upstream in named.items():
            view = self.views.setdefault(
                name, upstream_state.UpstreamView(upstream)
            )
            view.upstream = upstream
        for name in list(self.views):
            if name not in named and not self.views[name].in_flight:
                del self.views[name]
        self.leaving = {e for e in self.leaving if e.name in self.views}
        self.order = list(named)
        self.members.clear()
        self.full.clear()
        self.short_pools = shared_pools(configuration)
        self.changed = True

    def resize(self, live_instances: int) -> None:
        """Share the upstreams' places with that many instances."""
        self.live_instances = max(1, live_instances)
        self.full.clear()
        self.changed = True

    def touch(self, name: str) -> None:
        """Note that an upstream may have room that it had not before."""
        for full in self.full.values():
            full.changed.add(name)
        self.changed = True

    def observe(self, report: events.UpstreamReported, now: float) -> None:
        """Take in an upstream's report.

        A report proves that the upstream is there. It does not prove that
        it generates: one whose work has failed stays suspected for its time.
        """
        view = self.views.get(report.engine.name)
        if view is None:
            return
        if report.leaving:
            self.leaving.add(report.engine)
        if view.incarnation != report.engine.incarnation:
            self.meet_incarnation(view, report.engine.incarnation, now)
        view.model = report.model
        view.version = report.version
        view.adapter = report.adapter
        view.role = report.role
        view.reported_running = report.running
        view.reported_queued = report.queued
        view.reported_at = now
        view.probed_at = now
        view.in_flight_at_report = view.in_flight
        view.step_seconds = report.step_seconds
        view.leaving = report.engine in self.leaving
        self.touch(report.engine.name)

    def own_loads(self, now: float) -> tuple[fleet.UpstreamLoad, ...]:
        """Return the loads that upstreams have told this instance itself.

        Loads heard from others are left out: passed on again and again, an
        old load would look like a new one.
        """
        return tuple(
            fleet.UpstreamLoad(
                index,
                view.reported_running,
                view.reported_queued,
                view.step_seconds,
            )
            for index, name in enumerate(self.order)
            if self.is_local(view := self.views[name])
            and view.reported_at == view.probed_at
            and now - view.probed_at < REPORT_TRUST_SECONDS
        )

    def hear_loads(
        self, loads: tuple[fleet.UpstreamLoad, ...], now: float
    ) -> None:
        """Take in loads that another instance passes on."""
        for load in loads:
            if load.index >= len(self.order):
                continue
            view = self.views[self.order[load.index]]
            if now - view.probed_at < REPORT_TRUST_SECONDS:
                continue
            view.reported_running = load.running
            view.reported_queued = load.queued
            view.reported_at = now
            view.in_flight_at_report = view.in_flight
            view.step_seconds = load.step_seconds
            self.touch(self.order[load.index])

    def meet_incarnation(
        self,
        view: upstream_state.UpstreamView,
        incarnation: str,
        now: float,
    ) -> None:
        """Forget what was known of an upstream before it restarted."""
        restarted = bool(view.incarnation)
        view.incarnation = incarnation
        view.cache_known = False
        view.prefixes.clear()
        if restarted:
            view.failures = 0
            view.suspected_until = min(view.suspected_until, now)
            view.returned_at = now

    def is_local(self, view: upstream_state.UpstreamView) -> bool:
        """Return whether an upstream is in this instance's data centre."""
        return view.upstream.data_centre == self.data_centre

    def mark_leaving(self, event: events.UpstreamLeaving, now: float) -> None:
        """Give no new work to that incarnation from now on.

        It is remembered by incarnation: the notice may come before the first
        report of that incarnation, or between late reports of an older one.
        Kept in the view alone it would be lost, and the upstream get work.
        """
        view = self.views.get(event.engine.name)
        if view is None:
            return
        engine = event.engine
        if not engine.incarnation:
            engine = identity.EngineId(engine.name, view.incarnation)
        self.leaving.add(engine)
        # An instance that does not watch the upstream may know none or an
        # old incarnation of it, and would take the notice for another's. It
        # gives no work until its own next question is answered.
        unsure = now - view.probed_at >= PROBE_TRUST_SECONDS
        same = view.incarnation == engine.incarnation
        view.leaving = view.leaving or same or unsure

    def suspect(self, name: str, now: float) -> None:
        """Keep new work away from an upstream that has just failed.

        Each time in a row it is kept away for longer. An upstream that
        answers probes and fails all work would otherwise be given new work
        every few seconds. The many streams that fail at one moment count
        once.
        """
        view = self.views.get(name)
        if view is None or now < view.suspected_until:
            return
        if now - view.suspected_until > FORGIVE_SECONDS:
            view.failures = 0
        wait = min(
            SUSPICION_SECONDS * 2**view.failures, MOST_SUSPICION_SECONDS
        )
        view.failures += 1
        view.suspected_at = now
        view.suspected_until = now + wait
        view.returned_at = view.suspected_until

    def cache_changed(self, event: events.EngineCacheChanged) -> None:
        """Take in what an engine says of its prefix cache.

        Where an event is missing, the prefixes that it dropped would be
        thought cached for ever: all that was known is forgotten then.
        """
        view = self.views.get(event.engine.name)
        if view is None or view.incarnation != event.engine.incarnation:
            return
        if event.sequence <= view.cache_sequence and view.cache_known:
            return
        if event.sequence != view.cache_sequence + 1:
            view.prefixes.clear()
        view.cache_known = True
        view.cache_sequence = event.sequence
        view.prefixes.difference_update(event.dropped)
        view.prefixes.update(event.stored)
        if len(view.prefixes) > MOST_CACHED_PREFIXES:
            view.prefixes.clear()

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

    def hold(
        self, event: events.UpstreamsHeld, now: float
    ) -> list[configuration_state.Upstream]:
        """Give no new work to engines that are about to be ordered.

        Returns those that are held no more: they have probably become
        something else, and should be asked what. A hold lapses by itself,
        as the instance that ordered it may have died.
        """
        before = self.holds.pop(event.source, Hold(frozenset(), now))
        if event.upstreams:
            deadline = now + HOLD_SECONDS
            self.holds[event.source] = Hold(event.upstreams, deadline)
        self.changed = True
        return [
            self.views[name].upstream
            for name in sorted(before.upstreams - event.upstreams)
            if name in self.views
        ]

    def held(self, now: float) -> set[str]:
        """Return the names of all upstreams that are held now."""
        return {
            name
            for hold in self.holds.values()
            if now < hold.deadline
            for name in hold.upstreams
        }

    def serving_pool(
        self,
        pool: configuration_state.Pool,
        version: str,
        priority: configuration_state.Priority,
        now: float,
    ) -> configuration_state.Pool:
        """Return the pool with the model version that new work should have.

        While a change of version is under way, engines that still have the
        former one serve what the others have no room for: a change would
        else take the whole pool out at once. A generation that has a
        ``version`` stays on it.
        """
        if pool.former is None:
            return pool
        former = dataclasses.replace(
            pool,
            model=pool.former.model,
            version=pool.former.version,
            adapter=pool.former.adapter,
            former=None,
        )
        if version:
            return former if version == former.version else pool
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
        held = self.held(now)
        views = [
            view
            for upstream in pool.upstreams
            if upstream.name not in excluded
            and upstream.name not in held
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
        if not view.incarnation or not pool.version:
            return True
        if now - view.probed_at >= PROBE_TRUST_SECONDS:
            return True
        return (view.model, view.version, view.adapter) == (
            pool.model,
            pool.version,
            pool.adapter,
        )

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
        """Return whether one more request of a class fits an upstream.

        What an engine can't run yet it queues, and a stream that waits there
        looks like one that has stalled. So no instance gives an engine more
        between two reports than its part of the places that were free.
        """
        slots = self.slots(view, pool, priority, now)
        if now - view.reported_at >= REPORT_TRUST_SECONDS:
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
        trust = max(0.0, 1.0 - age / REPORT_TRUST_SECONDS)
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

    # -- counting -----------------------------------------------------------

    def started(self, name: str) -> None:
        """Count a request that has been given to an upstream."""
        self.views[name].in_flight += 1

    def finished(self, name: str) -> None:
        """Count a request that an upstream no longer has."""
        view = self.views.get(name)
        if view is None:
            return
        if not view.in_flight:
            raise errors.InvariantViolated(f'{name} has nothing in flight')
        view.in_flight -= 1
        self.touch(name)


def shared_pools(
    configuration: configuration_state.Configuration,
) -> set[str]:
    """Return the pools that serve short calls beside other work."""
    classes: dict[str, set[bool]] = {}
    for service in configuration.services:
        is_short = service.priority is SHORT
        classes.setdefault(service.pool, set()).add(is_short)
    return {pool for pool, found in classes.items() if len(found) > 1}
