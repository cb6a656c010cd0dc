"""A silent attempt is kept until another one has given the next token."""

import pytest

from tests.common import generations

SERVICES = ('draft', 'hasty', 'once')


def start_streams(services, tokens=3, **world_options):
    world = generations.World(**world_options)
    world.report()
    callers = [world.submit(service) for service in services]
    world.serve(tokens)
    assert all(len(caller.tokens) == tokens for caller in callers)
    return world, callers


def pause_all(world, seconds):
    for engine in world.engines.values():
        engine.pause()
    world.pass_time(seconds)
    for name in world.engines:
        world.come_back(name)


def check_all_end_whole(world, callers):
    world.serve(generations.MOST_TOKENS + 2)
    for caller in callers:
        (end,) = caller.finals
        assert end.position == generations.MOST_TOKENS
        assert not caller.restarts


@pytest.mark.parametrize('seconds', [2.0, 3.5, 12.0])
@pytest.mark.parametrize('pauses', [1, 5])
def test_streams_outlive_a_pause_of_all_engines(seconds, pauses):
    """All engines stand still several times and go on by themselves.

    Streams would be failed once no engine, replay or engine death is left.
    """
    world, callers = start_streams(SERVICES * 2)
    for _ in range(pauses):
        pause_all(world, seconds)
        world.serve(1)
    check_all_end_whole(world, callers)


def test_silent_attempt_is_kept_without_a_replay_for_another():
    """An engine pauses while its account's resume budget is spent."""
    world, callers = start_streams(['draft'], resume_budget=0)
    world.engine_of(callers[0]).pause()
    world.pass_time(5.0)
    for name in world.engines:
        world.come_back(name)
    check_all_end_whole(world, callers)


def test_silent_attempt_is_kept_if_it_may_not_run_again():
    """An engine pauses before the first token of what must not repeat."""
    world, callers = start_streams(['once'], tokens=0)
    world.engine_of(callers[0]).pause()
    world.pass_time(5.0)
    for name in world.engines:
        world.come_back(name)
    check_all_end_whole(world, callers)


def test_silent_attempt_is_kept_if_other_engines_refuse():
    """An engine pauses while all others are full."""
    world, callers = start_streams(['draft'])
    silent = world.engine_of(callers[0])
    silent.pause()
    for engine in world.engines.values():
        engine.full = True
    world.pass_time(5.0)
    assert world.kinds().count('attempt-started') == 1
    world.come_back(silent.name)
    check_all_end_whole(world, callers)


def test_first_attempt_to_give_a_token_ends_the_other():
    """An engine pauses for long: the stream goes on at another one."""
    world, callers = start_streams(['draft'])
    silent = world.engine_of(callers[0])
    silent.pause()
    stream = world.stream_of(callers[0])
    started_by = world.now + 1.5
    while stream.spare is None and world.now < started_by:
        world.pass_time(0.01)
    assert world.engine_of(callers[0]) is silent
    assert stream.spare is not None
    world.serve(1)
    assert world.engine_of(callers[0]) is not silent
    assert stream.spare is None
    assert len(callers[0].tokens) == 4
    world.come_back(silent.name)
    check_all_end_whole(world, callers)
    world.settle()


def test_silence_is_no_engine_death():
    """One engine after the other pauses under the same stream.

    After as many pauses as deaths are allowed, the stream would be failed,
    and its request refused from then on.
    """
    world, callers = start_streams(['draft'])
    for _ in range(7):
        silent = world.engine_of(callers[0])
        silent.pause()
        world.pass_time(1.5)
        world.serve(1)
        world.come_back(silent.name)
    check_all_end_whole(world, callers)


def test_unreachable_engine_is_asked_for_its_attempt_again():
    """The way to all engines is cut: connections to them time out.

    It comes back, and the engine has worked on meanwhile.
    """
    world, callers = start_streams(['draft', 'once'])
    for engine in world.engines.values():
        engine.cut_off()
    world.pass_time(2.0)
    for engine in world.engines.values():
        engine.generate(2)
    world.pass_time(2.0)
    for engine in world.engines.values():
        engine.reach_again()
    world.pass_time(1.0)
    check_all_end_whole(world, callers)


def test_attempt_of_a_resting_engine_is_asked_for_after_its_rest():
    """A connection breaks while its engine wants no requests.

    The attempt may run on, and no other engine has room.
    """
    world, callers = start_streams(['draft'])
    resting = world.engine_of(callers[0])
    for engine in world.engines.values():
        engine.full = True
    views = world.instances['i1'].node.directory.views
    views[resting.name].rest_until = world.now + 3.0
    for attempt in resting.runs:
        resting.break_connections(attempt)
    world.pass_time(2.9)
    assert 'attempt-suspected' not in world.kinds()
    world.pass_time(1.0)
    check_all_end_whole(world, callers)


def test_silent_attempt_is_asked_for_again_and_again():
    """A middlebox loses the new connection to an attempt, too.

    The engine has worked on, and no other may start what must not repeat.
    """
    world, callers = start_streams(['once'], tokens=0)
    for _ in range(2):
        world.engine_of(callers[0]).silence()
        world.pass_time(2.5)
    world.engine_of(callers[0]).generate(2)
    world.pass_time(3.5)
    world.serve(1)
    assert len(callers[0].tokens) == 3
    check_all_end_whole(world, callers)


def test_restart_of_a_silent_engine_ends_the_wait():
    """An engine crashes unnoticed: its connections stay silent.

    Its next report shows that the attempt is lost.
    """
    world, callers = start_streams(['draft'], engines=1)
    engine = world.engine_of(callers[0])
    engine.pause()
    world.pass_time(3.0)
    for connection in engine.connections:
        connection.silent = True
    engine.unread.clear()
    engine.kill()
    world.come_back(engine.name)
    assert callers[0].waits
    world.report()
    check_all_end_whole(world, callers)


def test_wait_for_silent_engines_ends_at_the_deadline():
    """No engine ever goes on; the caller gets a final answer in its time."""
    world, callers = start_streams(['draft'])
    for engine in world.engines.values():
        engine.pause()
    world.pass_time(20.0)
    assert callers[0].waits
    assert world.kinds().count('spare-started') <= 4
    world.advance(generations.DEADLINE_SECONDS)
    (failed,) = callers[0].finals
    assert failed.failure.code == 'deadline-passed'
    assert not world.instances['i1'].node.stream_supervisor.streams
