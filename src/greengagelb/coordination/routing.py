"""Choice of an upstream for a new attempt.

Load reports lag, so what this instance itself has in flight is counted in
full and the report is trusted less the older it is. Of two upstreams picked
at random the less loaded one is taken: always taking the least loaded would
send every instance to the same upstream until the next report.
"""

import random

from greengagelb.coordination import events
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.state import upstreams as upstream_state

REPORT_TRUST_SECONDS = 5.0
SUSPICION_SECONDS = 2.0
CHOICES = 2


class UpstreamDirectory:
    """All upstreams of the configuration in force, and what is known of them.

    Invariant: ``in_flight`` of an upstream is never negative.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.views: dict[str, upstream_state.UpstreamView] = {}
        self.leaving: set[identity.EngineId] = set()

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

    def observe(self, report: events.UpstreamReported, now: float) -> None:
        """Take in an upstream's report."""
        view = self.views.get(report.engine.name)
        if view is None:
            return
        if report.leaving:
            self.leaving.add(report.engine)
        view.incarnation = report.engine.incarnation
        view.model = report.model
        view.version = report.version
        view.adapter = report.adapter
        view.reported_running = report.running
        view.reported_queued = report.queued
        view.reported_at = now
        view.step_seconds = report.step_seconds
        view.leaving = report.engine in self.leaving
        view.suspected_until = float('-inf')

    def mark_leaving(self, event: events.UpstreamLeaving) -> None:
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
        view.leaving = view.leaving or view.incarnation == engine.incarnation

    def suspect(self, name: str, now: float) -> None:
        """Keep new work away from an upstream that has just failed."""
        view = self.views.get(name)
        if view is not None:
            view.suspected_until = now + SUSPICION_SECONDS

    def choose(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
    ) -> upstream_state.UpstreamView | None:
        """Return a view with room for one more request, or None."""
        usable = [
            view
            for view in self.usable_views(pool, excluded, now)
            if view.in_flight < pool.slots_per_upstream
        ]
        if not usable:
            return None
        picked = self.rng.sample(usable, min(CHOICES, len(usable)))
        return min(picked, key=lambda view: self.load(view, now))

    def usable_views(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
    ) -> list[upstream_state.UpstreamView]:
        """Return the views of a pool that may get new work."""
        views = []
        for upstream in pool.upstreams:
            view = self.views.get(upstream.name)
            if view is None or view.upstream.name in excluded:
                continue
            if self.may_get_work(view, pool, now):
                views.append(view)
        return views

    def may_get_work(
        self,
        view: upstream_state.UpstreamView,
        pool: configuration_state.Pool,
        now: float,
    ) -> bool:
        """Return whether an upstream may get new work of a pool.

        An upstream that has never reported is usable: a new instance must
        serve before the first reports are in. One that reports another
        version is not, or two versions would end up in one answer.
        """
        if view.leaving or view.upstream.draining:
            return False
        if now < view.suspected_until:
            return False
        if not view.incarnation or not pool.version:
            return True
        return (view.model, view.version, view.adapter) == (
            pool.model,
            pool.version,
            pool.adapter,
        )

    def load(self, view: upstream_state.UpstreamView, now: float) -> float:
        """Return the load of an upstream in requests, aged by its lag."""
        age = now - view.reported_at
        trust = max(0.0, 1.0 - age / REPORT_TRUST_SECONDS)
        reported = view.reported_running + view.reported_queued
        others = max(0.0, reported - view.in_flight)
        return view.in_flight + trust * others

    def started(self, name: str) -> None:
        """Count a request that has been given to an upstream."""
        self.views[name].in_flight += 1

    def finished(self, name: str) -> None:
        """Count a request that an upstream no longer has."""
        view = self.views.get(name)
        if view is not None and view.in_flight:
            view.in_flight -= 1
