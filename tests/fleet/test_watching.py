"""Each engine is watched by few instances, and its load reaches the others."""

from greengagelb.coordination import watching
from greengagelb.protocol import peer_api
from greengagelb.state import configuration
from greengagelb.state import fleet
from greengagelb.state import timeline
from greengagelb.state import upstreams

ENGINES = 126
INSTANCES = {f'incarnation-{number}' for number in range(66)}
CONTROL_BYTES_A_SECOND = 5_000
HEARTBEAT_SECONDS = 4.0


def views(count=ENGINES):
    return [
        upstreams.UpstreamView(
            configuration.Upstream(f'engine-{number}', '10.0.0.1', 1, 'kl-1')
        )
        for number in range(count)
    ]


def probes_by_instance(found, instances=INSTANCES, now=0.0):
    return {
        me: watching.upstreams_to_probe(found, me, instances, now)
        for me in instances
    }


def test_each_engine_is_watched_by_two_instances():
    found = probes_by_instance(views())
    names = [u.name for probed in found.values() for u in probed]
    assert len(names) == ENGINES * watching.WATCHERS
    assert len(set(names)) == ENGINES


def test_instance_alone_watches_every_engine():
    """A data centre is cut off and one instance is left in it."""
    found = probes_by_instance(views(), {'incarnation-1'})
    assert len(found['incarnation-1']) == ENGINES


def test_engine_under_suspicion_is_asked_by_who_suspects_it():
    """An engine failed a stream here while its watchers still reach it."""
    doubtful = views(1)
    others = {'incarnation-2', 'incarnation-3', 'incarnation-4'}
    unwatched = {
        me
        for me in others
        if not watching.upstreams_to_probe(doubtful, me, others, 0.0)
    }
    doubtful[0].suspected_until = 2.0
    for me in unwatched:
        assert watching.upstreams_to_probe(doubtful, me, others, 1.0)
        assert not watching.upstreams_to_probe(doubtful, me, others, 3.0)


def test_loss_of_all_engines_does_not_make_an_instance_probe_them_all():
    """A data centre loses power to its engines, not to its instances."""
    lost = views(500)
    for view in lost:
        view.suspected_until = 2.0
    for me, probed in probes_by_instance(lost, now=1.0).items():
        own = len(watching.upstreams_to_probe(lost, me, INSTANCES, 3.0))
        assert len(probed) <= own + watching.MOST_PROBES


def test_heartbeat_with_loads_keeps_to_the_budget_of_the_design_size():
    per_instance = ENGINES * watching.WATCHERS // len(INSTANCES) + 1
    heartbeat = fleet.Heartbeat(
        fleet.PeerId(
            'instance-17',
            'abcdef012345',
            'kl-1',
            fleet.PeerAddress('10.20.30.40', 7000),
        ),
        123_456,
        False,
        timeline.Stamp(1_796_244_439_632, 3),
        loads=tuple(
            fleet.UpstreamLoad(600 + number, 64, 12, 0.0042)
            for number in range(per_instance)
        ),
    )
    codec = peer_api.PeerCodec('secret')
    frame = codec.seal(peer_api.message_of(heartbeat))
    sent = len(frame) * (len(INSTANCES) - 1) / HEARTBEAT_SECONDS
    assert sent < CONTROL_BYTES_A_SECOND
    assert peer_api.heartbeat_of(codec.open(frame)) == heartbeat
