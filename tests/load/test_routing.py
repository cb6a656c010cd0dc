"""Choice of an upstream with late reports and after failures."""

import random

from greengagelb.coordination import events
from greengagelb.coordination.fleet import pool_candidates
from greengagelb.coordination.fleet import routing
from greengagelb.state import configuration
from greengagelb.state import identity
from tests.common import loaded_node

SHORT = configuration.Priority.SHORT


def make_directory(engines=2, slots=8):
    directory = routing.UpstreamDirectory(random.Random(3))
    configured = loaded_node.configured([], engines, slots)
    directory.apply_configuration(configured)
    return directory, configured.find_pool('drafting')


def report(
    directory, name, now, running=0, step=0.004, incarnation='1', leaving=False
):
    engine = identity.EngineId(name, incarnation)
    directory.apply_report(
        events.UpstreamReported(
            engine, 'm', '1', '', running, 0, step, leaving
        ),
        now,
    )


def chosen_names(directory, pool, now, count=40, **options):
    found = set()
    for _ in range(count):
        view = directory.choose_upstream(pool, set(), now, **options)
        found.add(view.upstream.name if view else None)
    return found


def test_slow_engine_gets_less_than_an_equally_loaded_one():
    directory, pool = make_directory()
    report(directory, 'e0', 1.0, running=2, step=0.004)
    report(directory, 'e1', 1.0, running=2, step=0.02)
    assert chosen_names(directory, pool, 1.0) == {'e0'}


def test_stale_report_of_no_load_fills_only_this_instances_part():
    """Reports stop while several instances share the engines.

    Each instance would otherwise take the engines for idle and fill them.
    """
    directory, pool = make_directory(engines=1)
    directory.set_live_instances(4)
    report(directory, 'e0', 1.0)
    for _ in range(2):
        directory.add_in_flight(
            directory.choose_upstream(pool, set(), 20.0, SHORT).upstream.name
        )
    assert directory.choose_upstream(pool, set(), 20.0, SHORT) is None


def test_engine_that_answers_probes_but_fails_work_is_kept_away_longer():
    """An engine answers probes while all its generations stall.

    If a report ended the suspicion, the engine would get new streams every
    second, and each of them would stall.
    """
    directory, pool = make_directory()
    directory.mark_suspected('e0', 1.0)
    report(directory, 'e0', 1.5)
    report(directory, 'e1', 1.5)
    assert chosen_names(directory, pool, 1.6) == {'e1'}
    directory.mark_suspected('e0', 4.0)
    assert chosen_names(directory, pool, 7.9) == {'e1'}
    assert 'e0' in chosen_names(directory, pool, 20.0)


def test_many_streams_failing_at_once_count_as_one_failure():
    directory, _ = make_directory()
    for number in range(50):
        directory.mark_suspected('e0', 1.0 + number / 100)
    assert directory.views['e0'].failures == 1


def test_returning_engine_is_filled_up_slowly():
    """An engine restarts with empty caches and no load.

    As the least loaded one it would get all new work at once, which would be
    lost if it failed again.
    """
    directory, pool = make_directory(engines=1)
    report(directory, 'e0', 1.0)
    report(directory, 'e0', 10.0, incarnation='2')
    directory.add_in_flight('e0')
    assert directory.choose_upstream(pool, set(), 10.2, SHORT) is None
    report(directory, 'e0', 16.0, running=1, incarnation='2')
    assert directory.choose_upstream(pool, set(), 16.0, SHORT) is not None


def test_all_engines_suspected_leaves_those_that_answer_probes():
    """This instance's own network fails for a moment.

    All engines are suspected. If all work were refused, there would be an
    outage although the engines work.
    """
    directory, pool = make_directory()
    for name in ('e0', 'e1'):
        directory.mark_suspected(name, 1.0)
    assert chosen_names(directory, pool, 1.1) == {None}
    report(directory, 'e1', 1.2)
    assert chosen_names(directory, pool, 1.3) == {'e1'}


def test_same_prefix_goes_to_the_same_engine_until_that_is_busy():
    directory, pool = make_directory(engines=4)
    for number in range(4):
        report(directory, f'e{number}', 1.0)
    (near,) = chosen_names(directory, pool, 1.0, prefix='a/rules')
    for _ in range(4):
        directory.add_in_flight(near)
    assert near not in chosen_names(directory, pool, 1.0, prefix='a/rules')


def test_gap_in_cache_events_makes_the_cache_unknown():
    """An engine's event that it evicted a prefix is lost.

    The prefix would otherwise count as cached there forever.
    """
    directory, pool = make_directory(engines=4)
    for number in range(4):
        report(directory, f'e{number}', 1.0)
    key = pool_candidates.prefix_digest('a/rules')
    (likely,) = chosen_names(directory, pool, 1.0, prefix='a/rules')
    other = next(f'e{n}' for n in range(4) if f'e{n}' != likely)
    engine = identity.EngineId(other, '1')
    directory.apply_cache_event(
        events.EngineCacheChanged(engine, 1, (key,), ())
    )
    assert chosen_names(directory, pool, 1.0, prefix='a/rules') == {other}
    directory.apply_cache_event(events.EngineCacheChanged(engine, 3, (), ()))
    assert chosen_names(directory, pool, 1.0, prefix='a/rules') == {likely}


def test_held_engine_gets_no_work_however_it_is_chosen():
    """An engine is held before it is ordered to load another model.

    The order would interrupt a request that it got meanwhile. Both the choice
    by prefix and the choice from a sample must respect the hold; both have
    ignored it before.
    """
    directory, pool = make_directory(engines=4)
    for number in range(4):
        report(directory, f'e{number}', 1.0)
    (likely,) = chosen_names(directory, pool, 1.0, prefix='a/rules')
    directory.hold_upstreams(
        events.UpstreamsHeld('other', frozenset({likely})), 1.0
    )
    assert likely not in chosen_names(directory, pool, 1.1, prefix='a/rules')
    assert likely not in chosen_names(directory, pool, 1.1)
    assert likely in chosen_names(directory, pool, 60.0)


def test_full_pool_is_not_scanned_again_until_an_upstream_changes():
    """All slots are taken while requests wait and many events arrive.

    Scanning a data centre's engines at each event would use up the processor
    time needed to relay tokens.
    """
    directory, pool = make_directory(engines=20, slots=1)
    for number in range(20):
        directory.add_in_flight(f'e{number}')
    assert directory.choose_upstream(pool, set(), 1.0) is None
    directory.usable_views = None
    assert directory.choose_upstream(pool, set(), 1.01) is None
    directory.remove_in_flight('e7')
    assert directory.choose_upstream(pool, set(), 1.02).upstream.name == 'e7'


def test_room_that_comes_with_time_alone_is_found():
    """The only trusted engine is full when another's suspicion ends.

    No event tells that the suspicion has ended.
    """
    directory, pool = make_directory(slots=1)
    directory.add_in_flight('e0')
    directory.mark_suspected('e1', 1.0)
    assert directory.choose_upstream(pool, set(), 2.95) is None
    assert directory.choose_upstream(pool, set(), 3.1).upstream.name == 'e1'
