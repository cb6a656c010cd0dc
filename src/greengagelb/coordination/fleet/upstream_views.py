"""The state of upstreams as known to this instance.

It comes from the upstreams' reports, from other instances, from orders that
hold an engine and from the outcome of this instance's requests. Any of it may
be out of date, so each check states the greatest age that it accepts.
"""

import dataclasses

from greengagelb import errors
from greengagelb.coordination import events
from greengagelb.coordination.fleet import upstream_limits
from greengagelb.state import configuration as configuration_state
from greengagelb.state import fleet
from greengagelb.state import identity
from greengagelb.state import upstreams as upstream_state

REPORT_TRUST_SECONDS = 5.0
PROBE_TRUST_SECONDS = 3.0
SUSPICION_SECONDS = 2.0
MAX_SUSPICION_SECONDS = 30.0
FAILURE_RESET_SECONDS = 30.0
HOLD_EXPIRY_SECONDS = 20.0
MAX_CACHED_PREFIXES = 4096
SHORT = configuration_state.Priority.SHORT


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Upstreams that an instance keeps free of new work.

    ``expires_at`` is a monotonic time.
    """

    upstreams: frozenset[str]
    expires_at: float


class UpstreamViews:
    """The upstreams of the configuration in force and their known state.

    ``room_changed`` is set when an upstream may have gained room. ``holds``
    are kept by the incarnation of the instance that requested them. No
    upstream rests after ``last_rest_end``, a monotonic time.
    Invariant: ``in_flight`` of an upstream is never negative.
    """

    def __init__(self, data_centre: str, incarnation: str = '') -> None:
        self.data_centre = data_centre
        self.limits = upstream_limits.UpstreamLimits(incarnation, data_centre)
        self.views: dict[str, upstream_state.UpstreamView] = {}
        self.mixed_pools: set[str] = set()
        self.leaving_engines: set[identity.EngineId] = set()
        self.holds: dict[str, Hold] = {}
        self.live_instances = 1
        self.upstream_names: list[str] = []
        self.room_changed = False
        self.last_rest_end = float('-inf')

    def apply_configuration(
        self, configuration: configuration_state.Configuration
    ) -> None:
        """Apply the upstreams of a configuration and keep known state."""
        upstreams = {
            upstream.name: upstream
            for pool in configuration.pools
            for upstream in pool.upstreams
        }
        for name, upstream in upstreams.items():
            view = self.views.setdefault(
                name, upstream_state.UpstreamView(upstream)
            )
            view.upstream = upstream
        for name in list(self.views):
            if name not in upstreams and not self.views[name].in_flight:
                del self.views[name]
        self.leaving_engines = {
            e for e in self.leaving_engines if e.name in self.views
        }
        self.upstream_names = list(upstreams)
        self.limits.upstream_data_centres = {
            name: upstream.data_centre for name, upstream in upstreams.items()
        }
        self.mixed_pools = pools_with_mixed_priorities(configuration)
        self.room_changed = True

    def set_live_instances(self, live_instances: int) -> None:
        """Set how many instances share the slots of the upstreams."""
        self.live_instances = max(1, live_instances)
        self.room_changed = True

    def mark_possible_room(self, name: str) -> None:
        """Record that an upstream may have gained room."""
        self.room_changed = True

    def apply_report(
        self, report: events.UpstreamReported, now: float
    ) -> None:
        """Apply an upstream's own report.

        A report shows that the upstream is reachable, not that it can
        generate. An upstream that is suspected after failed work therefore
        remains suspected until its suspicion ends.
        """
        view = self.views.get(report.engine.name)
        if view is None:
            return
        if report.leaving:
            self.leaving_engines.add(report.engine)
        if view.incarnation != report.engine.incarnation:
            self.reset_for_incarnation(view, report.engine.incarnation, now)
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
        view.leaving = report.engine in self.leaving_engines
        self.mark_possible_room(report.engine.name)

    def wants_no_requests(self, name: str, now: float) -> bool:
        """Return whether an upstream leaves or has asked for rest."""
        view = self.views.get(name)
        return view is not None and (
            view.leaving or self.is_resting(name, now)
        )

    def is_resting(self, name: str, now: float) -> bool:
        """Return whether an upstream has asked for no requests until later."""
        view = self.views.get(name)
        return view is not None and now < view.rest_until

    def own_loads(self, now: float) -> tuple[fleet.UpstreamLoad, ...]:
        """Return the recent loads that this instance has probed itself.

        Loads received from other instances are left out. If they were
        forwarded repeatedly, an old load would look like a new one.
        """
        return tuple(
            fleet.UpstreamLoad(
                index,
                view.reported_running,
                view.reported_queued,
                view.step_seconds,
            )
            for index, name in enumerate(self.upstream_names)
            if self.is_local(view := self.views[name])
            and view.reported_at == view.probed_at
            and now - view.probed_at < REPORT_TRUST_SECONDS
        )

    def apply_peer_loads(
        self, loads: tuple[fleet.UpstreamLoad, ...], now: float
    ) -> None:
        """Apply loads that another instance has probed."""
        for load in loads:
            if load.index >= len(self.upstream_names):
                continue
            view = self.views[self.upstream_names[load.index]]
            if now - view.probed_at < REPORT_TRUST_SECONDS:
                continue
            view.reported_running = load.running
            view.reported_queued = load.queued
            view.reported_at = now
            view.in_flight_at_report = view.in_flight
            view.step_seconds = load.step_seconds
            self.mark_possible_room(self.upstream_names[load.index])

    def reset_for_incarnation(
        self,
        view: upstream_state.UpstreamView,
        incarnation: str,
        now: float,
    ) -> None:
        """Record a new incarnation and reset the state of the former one."""
        restarted = bool(view.incarnation)
        view.incarnation = incarnation
        view.incarnation_known_at = now
        if view.rest_incarnation not in ('', incarnation):
            view.rest_until = float('-inf')
            view.returned_at = min(view.returned_at, now)
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
        """Stop giving new work to an incarnation that is leaving.

        The incarnation is recorded, as the notice may arrive before its first
        report or between late reports of an older incarnation. If only the
        view were marked, such a report would clear the mark and the upstream
        would get work again.
        """
        view = self.views.get(event.engine.name)
        if view is None:
            return
        engine = event.engine
        if not engine.incarnation:
            engine = identity.EngineId(engine.name, view.incarnation)
        self.leaving_engines.add(engine)
        # An instance that does not probe the upstream may know no incarnation
        # or an old one, and can't match the notice to it. It gives no work
        # until its next probe is answered.
        report_is_old = now - view.probed_at >= PROBE_TRUST_SECONDS
        same_incarnation = view.incarnation == engine.incarnation
        view.leaving = view.leaving or same_incarnation or report_is_old

    def mark_suspected(self, name: str, now: float) -> None:
        """Suspect an upstream after a failure and give it no new work.

        The suspicion lasts longer with each consecutive failure. Otherwise an
        upstream that answers probes but fails all work would get new work
        every few seconds. Failures during a suspicion are ignored, so that
        many streams that fail at once count as one failure.
        """
        view = self.views.get(name)
        if view is None or now < view.suspected_until:
            return
        if now - view.suspected_until > FAILURE_RESET_SECONDS:
            view.failures = 0
        suspicion_seconds = min(
            SUSPICION_SECONDS * 2**view.failures, MAX_SUSPICION_SECONDS
        )
        view.failures += 1
        view.suspected_at = now
        view.suspected_until = now + suspicion_seconds
        view.returned_at = view.suspected_until

    def apply_cache_event(self, event: events.EngineCacheChanged) -> None:
        """Apply an engine's event about its prefix cache.

        If an event was missed, the known prefixes are cleared, because a
        prefix that the engine has evicted would otherwise count as cached
        forever.
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
        if len(view.prefixes) > MAX_CACHED_PREFIXES:
            view.prefixes.clear()

    def hold_upstreams(
        self, event: events.UpstreamsHeld, now: float
    ) -> list[configuration_state.Upstream]:
        """Give no new work to engines that another instance holds for orders.

        Returns the upstreams whose hold has ended; they should be probed, as
        their version or role has probably changed. A hold expires after
        ``HOLD_EXPIRY_SECONDS``, as the instance that requested it may have
        died.
        """
        previous = self.holds.pop(event.source, Hold(frozenset(), now))
        if event.upstreams:
            expires_at = now + HOLD_EXPIRY_SECONDS
            self.holds[event.source] = Hold(event.upstreams, expires_at)
        self.room_changed = True
        return [
            self.views[name].upstream
            for name in sorted(previous.upstreams - event.upstreams)
            if name in self.views
        ]

    def held_upstreams(self, now: float) -> set[str]:
        """Return the names of all upstreams with an unexpired hold."""
        return {
            name
            for hold in self.holds.values()
            if now < hold.expires_at
            for name in hold.upstreams
        }

    def add_in_flight(self, name: str) -> None:
        """Count a request that is sent to an upstream."""
        self.views[name].in_flight += 1

    def remove_in_flight(self, name: str) -> None:
        """Count a request that has ended at an upstream."""
        view = self.views.get(name)
        if view is None:
            return
        if not view.in_flight:
            raise errors.InvariantViolated(
                f'upstream {name} has no request in flight'
            )
        view.in_flight -= 1
        self.mark_possible_room(name)


def pools_with_mixed_priorities(
    configuration: configuration_state.Configuration,
) -> set[str]:
    """Return the pools that serve both short calls and other work."""
    classes: dict[str, set[bool]] = {}
    for service in configuration.services:
        is_short = service.priority is SHORT
        classes.setdefault(service.pool, set()).add(is_short)
    return {pool for pool, found in classes.items() if len(found) > 1}
