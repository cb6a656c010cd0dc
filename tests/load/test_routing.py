"""Choice of an upstream from reports that lag, and after failures."""

import random

from greengagelb.coordination import events
from greengagelb.coordination.fleet import members
from greengagelb.coordination.fleet import routing
from greengagelb.state import configuration
from greengagelb.state import identity
from tests.common import loaded_node

SHORT = configuration.Priority.SHORT


def directory(engines=2, slots=8):
    made = routing.UpstreamDirectory(random.Random(3))
    configured = loaded_node.configured([], engines, slots)
    made.apply(configured)
    return made, configured.find_pool('drafting')


def report(
    made, name, now, running=0, step=0.004, incarnation='1', leaving=False
):
    engine = identity.EngineId(name, incarnation)
    made.observe(
        events.UpstreamReported(
            engine, 'm', '1', '', running, 0, step, leaving
        ),
        now,
    )


def names(made, pool, now, count=40, **options):
    found = set()
    for _ in range(count):
        view = made.choose(pool, set(), now, **options)
        found.add(view.upstream.name if view else None)
    return found


def test_slow_engine_gets_less_than_an_equally_loaded_one():
    made, pool = directory()
    report(made, 'e0', 1.0, running=2, step=0.004)
    report(made, 'e1', 1.0, running=2, step=0.02)
    assert names(made, pool, 1.0) == {'e0'}


def test_stale_report_of_no_load_fills_only_this_instances_part():
    """The reports stop coming while many instances share the engines.

    Each instance would think the engines empty and fill them alone.
    """
    made, pool = directory(engines=1)
    made.resize(4)
    report(made, 'e0', 1.0)
    for _ in range(2):
        made.started(made.choose(pool, set(), 20.0, SHORT).upstream.name)
    assert made.choose(pool, set(), 20.0, SHORT) is None


def test_engine_that_answers_probes_but_fails_work_is_kept_away_longer():
    """An engine answers probes while all its generations stall.

    Were its report enough, it would get new streams every second, and each
    of them would stall.
    """
    made, pool = directory()
    made.suspect('e0', 1.0)
    report(made, 'e0', 1.5)
    report(made, 'e1', 1.5)
    assert names(made, pool, 1.6) == {'e1'}
    made.suspect('e0', 4.0)
    assert names(made, pool, 7.9) == {'e1'}
    assert 'e0' in names(made, pool, 20.0)


def test_many_streams_failing_at_once_count_as_one_failure():
    made, _ = directory()
    for number in range(50):
        made.suspect('e0', 1.0 + number / 100)
    assert made.views['e0'].failures == 1


def test_returning_engine_is_filled_up_slowly():
    """An engine restarts with empty caches and no load.

    As the least loaded it would get all new work at one moment, and all of
    that work would be lost if it fails again.
    """
    made, pool = directory(engines=1)
    report(made, 'e0', 1.0)
    report(made, 'e0', 10.0, incarnation='2')
    made.started('e0')
    assert made.choose(pool, set(), 10.2, SHORT) is None
    report(made, 'e0', 16.0, running=1, incarnation='2')
    assert made.choose(pool, set(), 16.0, SHORT) is not None


def test_all_engines_suspected_leaves_those_that_answer_probes():
    """This instance's own network fails for a moment.

    Every engine seems to have failed. Refusing all work after that would
    be an outage that the engines have no part in.
    """
    made, pool = directory()
    for name in ('e0', 'e1'):
        made.suspect(name, 1.0)
    assert names(made, pool, 1.1) == {None}
    report(made, 'e1', 1.2)
    assert names(made, pool, 1.3) == {'e1'}


def test_same_prefix_goes_to_the_same_engine_until_that_is_busy():
    made, pool = directory(engines=4)
    for number in range(4):
        report(made, f'e{number}', 1.0)
    (near,) = names(made, pool, 1.0, prefix='a/rules')
    for _ in range(4):
        made.started(near)
    assert near not in names(made, pool, 1.0, prefix='a/rules')


def test_gap_in_cache_events_makes_the_cache_unknown():
    """An engine's message that it dropped a prefix is lost.

    The prefix would be thought cached there for ever.
    """
    made, pool = directory(engines=4)
    for number in range(4):
        report(made, f'e{number}', 1.0)
    key = members.digest('a/rules')
    (likely,) = names(made, pool, 1.0, prefix='a/rules')
    other = next(f'e{n}' for n in range(4) if f'e{n}' != likely)
    engine = identity.EngineId(other, '1')
    made.cache_changed(events.EngineCacheChanged(engine, 1, (key,), ()))
    assert names(made, pool, 1.0, prefix='a/rules') == {other}
    made.cache_changed(events.EngineCacheChanged(engine, 3, (), ()))
    assert names(made, pool, 1.0, prefix='a/rules') == {likely}


def test_held_engine_gets_no_work_however_it_is_chosen():
    """An engine is about to be told to load another model.

    A request that came in at that moment would be cut by the order. The
    choice by prefix and the choice among a few looked past the hold once,
    where they had been merged beside it.
    """
    made, pool = directory(engines=4)
    for number in range(4):
        report(made, f'e{number}', 1.0)
    (likely,) = names(made, pool, 1.0, prefix='a/rules')
    made.hold(events.UpstreamsHeld('other', frozenset({likely})), 1.0)
    assert likely not in names(made, pool, 1.1, prefix='a/rules')
    assert likely not in names(made, pool, 1.1)
    assert likely in names(made, pool, 60.0)


def test_full_pool_is_not_looked_through_again_until_something_changes():
    """All places are taken while requests wait and events pour in.

    Looking through a data centre's engines on each event would use up the
    processor that relays tokens.
    """
    made, pool = directory(engines=20, slots=1)
    for number in range(20):
        made.started(f'e{number}')
    assert made.choose(pool, set(), 1.0) is None
    made.usable_views = None
    assert made.choose(pool, set(), 1.01) is None
    made.finished('e7')
    assert made.choose(pool, set(), 1.02).upstream.name == 'e7'


def test_room_that_comes_with_time_alone_is_found():
    """The only trusted engine is full when another's suspicion ends."""
    made, pool = directory(slots=1)
    made.started('e0')
    made.suspect('e1', 1.0)
    assert made.choose(pool, set(), 2.95) is None
    assert made.choose(pool, set(), 3.1).upstream.name == 'e1'
