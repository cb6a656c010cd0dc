"""Which upstreams this instance asks for reports.

Were each instance to ask every engine each second, that alone would cost
several times what an instance may spend on control. So each engine is watched
by a few instances of the data centre, chosen by rendezvous hash; these pass
its load on in their heartbeats. An instance asks by itself only those engines
that gave it cause: it suspects them, or they were leaving and may be back.
"""

from collections.abc import Mapping

from greengagelb.coordination.fleet import rendezvous
from greengagelb.state import configuration as configuration_state
from greengagelb.state import upstreams as upstream_state

WATCHERS_PER_UPSTREAM = 2
TURNS_PER_REMOTE_PROBE = 30
MAX_UNASSIGNED_PROBES = 32


class ProbeAssignment:
    """The part of the watching that falls to one instance.

    Invariant: ``watched`` are the upstreams that fall to this instance out of
    ``names`` while ``instances`` share the work. It is worked out again only
    when one of these changes: at the design size that takes 40,000 hashes.
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
        """Return the upstreams to ask in this turn, once a second.

        ``instances`` are those of this data centre, this one included.
        Upstreams of other data centres, which get little work from here, are
        asked every few turns only.

        Of those that are not watched here at most ``MOST_PROBES`` are asked:
        when a whole data centre of engines is lost, all of them are suspected
        at once, and asking them all each second would cost the time that the
        callers' streams need.
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
        """Work out what falls to this instance, if anything has changed."""
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
