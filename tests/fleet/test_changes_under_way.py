"""Which engines get work while some of them change their version."""

import random

from greengagelb.coordination import events
from greengagelb.coordination.fleet import routing
from greengagelb.coordination.fleet import upstream_views
from greengagelb.state import configuration
from greengagelb.state import identity
from tests.common import configurations

LONG = configuration.Priority.LONG
CHOICES = 60


def make_directory(former=None, version='1'):
    upstreams = tuple(
        configurations.upstream(f'engine-{n}', 9000 + n) for n in range(6)
    )
    pool = configuration.Pool(
        'drafting', upstreams, 'm', version, former=former
    )
    directory = routing.UpstreamDirectory(random.Random(5))
    directory.apply_configuration(
        configuration.Configuration(1, pools=(pool,))
    )
    for number in range(6):
        report(directory, number, '1', 0.0)
    return directory, pool


def report(directory, number, version, now):
    name = f'engine-{number}'
    engine = identity.EngineId(name, f'start-{number}')
    directory.apply_report(
        events.UpstreamReported(engine, 'm', version, '', 0, 0, 0.01, False),
        now,
    )


def chosen_names(directory, pool, now, prefix=''):
    found = set()
    for _ in range(CHOICES):
        view = directory.choose_upstream(pool, set(), now, LONG, prefix)
        found.add(view.upstream.name if view else None)
    return found


def test_held_engines_get_no_work_by_any_way_of_choosing():
    """An instance holds two engines to order them to another version.

    If they got new work, they would never become idle.
    """
    directory, pool = make_directory()
    held = frozenset({'engine-1', 'engine-4'})
    directory.hold_upstreams(events.UpstreamsHeld('holder', held), 1.0)
    for prefix in ['', 'house rules', 'fault log', 'season']:
        assert not chosen_names(directory, pool, 2.0, prefix) & held
    later = 1.0 + upstream_views.HOLD_EXPIRY_SECONDS
    assert chosen_names(directory, pool, later) >= held


def test_released_engines_are_probed():
    directory, _ = make_directory()
    held = frozenset({'engine-1'})
    directory.hold_upstreams(events.UpstreamsHeld('holder', held), 1.0)
    freed = directory.hold_upstreams(
        events.UpstreamsHeld('holder', frozenset()), 2.0
    )
    assert [upstream.name for upstream in freed] == ['engine-1']


def test_former_version_serves_until_engines_have_the_new_one():
    """A change of version begins, and no engine has the new version yet.

    This instance probed most engines long ago. If it ignored their old
    reports, each request would be refused by one engine after the other.
    """
    former = configuration.ModelVersion('m', '1')
    directory, pool = make_directory(former, '2')
    now = 1000.0
    serving = directory.serving_pool(pool, LONG, now)
    assert serving.version == '1'
    assert chosen_names(directory, serving, now) != {None}
    report(directory, 3, '2', now)
    serving = directory.serving_pool(pool, LONG, now)
    assert serving.version == '2'
    assert chosen_names(directory, serving, now) == {'engine-3'}
