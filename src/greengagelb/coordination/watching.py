"""Which upstreams this instance asks for reports.

Were each instance to ask every engine each second, that alone would cost
several times what an instance may spend on control. So each engine is watched
by a few instances of the data centre, chosen by rendezvous hash; these pass
its load on in their heartbeats. An instance asks by itself only those engines
that gave it cause: it suspects them, or they were leaving and may be back.
"""

from collections.abc import Iterable

from greengagelb.coordination import rendezvous
from greengagelb.state import configuration as configuration_state
from greengagelb.state import upstreams as upstream_state

WATCHERS = 2
TURNS_BETWEEN_REMOTE = 10
MOST_PROBES = 32


def upstreams_to_probe(
    views: Iterable[upstream_state.UpstreamView],
    me: str,
    instances: set[str],
    data_centre: str,
    turn: int,
    now: float,
) -> list[configuration_state.Upstream]:
    """Return the upstreams to ask now; ``me`` is one of ``instances``.

    ``instances`` are those of this data centre. Upstreams of other data
    centres, which get little work from here, are asked every few turns only.

    At most ``MOST_PROBES``: when a whole data centre of engines is lost, all
    of them are suspected at once, and asking them all each second would cost
    the time that the callers' streams need.
    """
    watched = []
    doubtful = []
    for view in views:
        name = view.upstream.name
        local = view.upstream.data_centre == data_centre
        if me in rendezvous.highest(name, instances, WATCHERS):
            if local or turn % TURNS_BETWEEN_REMOTE == 0:
                watched.append(view.upstream)
        elif view.leaving or now < view.suspected_until:
            doubtful.append(view.upstream)
    return [*watched, *doubtful[:MOST_PROBES]]
