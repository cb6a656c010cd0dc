"""Selects the upstreams that this instance probes for reports.

If each instance probed every engine each second, the probes alone would cost
several times the budget of an instance for control work. Each engine is
therefore probed by a few instances of the data centre, selected by rendezvous
hashing, which share its load in their heartbeats. An instance also probes
engines that are not assigned to it while it suspects them or while they are
leaving, as they may have recovered.
"""

from collections.abc import Mapping

from greengagelb.coordination.fleet import rendezvous
from greengagelb.state import configuration as configuration_state
from greengagelb.state import upstreams as upstream_state

WATCHERS_PER_UPSTREAM = 2
TURNS_PER_REMOTE_PROBE = 30
MAX_UNASSIGNED_PROBES = 32


class ProbeAssignment:
    """The upstreams that one instance has to probe.

    Invariant: ``assigned`` are those of ``upstream_names`` that are assigned
    to this instance when ``instances`` share the work. They are recomputed
    only when one of these sets changes, which takes 40,000 hashes at the
    design size.
    """

    def __init__(self, incarnation: str, data_centre: str) -> None:
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.upstream_names: frozenset[str] = frozenset()
        self.instances: frozenset[str] = frozenset()
        self.assigned: frozenset[str] = frozenset()
        self.turn = 0

    def upstreams_to_probe(
        self,
        views: Mapping[str, upstream_state.UpstreamView],
        instances: set[str],
        now: float,
    ) -> list[configuration_state.Upstream]:
        """Return the upstreams to probe in this turn; called once a second.

        ``instances`` are the incarnations of this data centre, including this
        one. Assigned upstreams of other data centres get little work from
        here and are probed only once in ``TURNS_PER_REMOTE_PROBE`` turns.

        At most ``MAX_UNASSIGNED_PROBES`` unassigned upstreams are probed per
        turn. When all engines of a data centre are lost, they are suspected
        at the same time, and probing all of them each second would take
        processor time from the streams of callers.
        """
        self.update_assignment(frozenset(views), frozenset(instances))
        probes_remote = self.turn % TURNS_PER_REMOTE_PROBE == 0
        self.turn += 1
        assigned = []
        unassigned = []
        for name, view in views.items():
            if name in self.assigned:
                if (
                    probes_remote
                    or view.upstream.data_centre == self.data_centre
                ):
                    assigned.append(view.upstream)
            elif view.leaving or now < view.suspected_until:
                unassigned.append(view.upstream)
        return [*assigned, *unassigned[:MAX_UNASSIGNED_PROBES]]

    def update_assignment(
        self, upstream_names: frozenset[str], instances: frozenset[str]
    ) -> None:
        """Recompute the assigned upstreams if one of the sets has changed."""
        if (upstream_names, instances) == (
            self.upstream_names,
            self.instances,
        ):
            return
        self.upstream_names = upstream_names
        self.instances = instances
        self.assigned = frozenset(
            name
            for name in upstream_names
            if self.incarnation
            in rendezvous.highest_scoring(
                name, instances, WATCHERS_PER_UPSTREAM
            )
        )
