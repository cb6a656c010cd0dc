"""Two engines work on one stream for a short time only."""

import pytest

from tests.common import generations

MAX_OVERLAP_SECONDS = 0.4


def start_stream(service, engines=3):
    world = generations.World(engines)
    world.report()
    caller = world.submit(service)
    world.serve(3)
    return world, caller, world.engine_of(caller)


def longest_overlap(world, caller, seconds):
    """Let time pass; return the longest time with the same two attempts."""
    longest = 0.0
    since = {}
    until = world.now + seconds
    while world.now < until and caller.waits:
        world.pass_time(0.01)
        stream = world.stream_of(caller)
        pair = frozenset(a.attempt_id for a in stream.active_attempts())
        since = {pair: since.get(pair, world.now)}
        if len(pair) == 2:
            longest = max(longest, world.now - since[pair])
    return longest


def pass_time_until_spare(world, caller):
    for _ in range(300):
        if world.stream_of(caller).spare is not None:
            return world.stream_of(caller).spare
        world.pass_time(0.01)
    raise AssertionError('no spare was started')


def work_on_nothing(world, engine):
    """The engine answers all questions and gives no token."""


def lose_open_connections(world, engine):
    engine.silence()


def pause_one(world, engine):
    engine.pause()


def pause_all(world, engine):
    for each in world.engines.values():
        each.pause()


def cut_off(world, engine):
    engine.cut_off()


HARMS = [
    work_on_nothing,
    lose_open_connections,
    pause_one,
    pause_all,
    cut_off,
]


@pytest.mark.parametrize('harm', HARMS)
@pytest.mark.parametrize('service', ['draft', 'hasty'])
def test_two_attempts_are_open_for_a_bounded_time(service, harm):
    """An engine is silent, and the other one takes long to read the prompt.

    Both would work on the stream until one of them gives a token.
    """
    world, caller, engine = start_stream(service)
    harm(world, engine)
    assert longest_overlap(world, caller, 20.0) <= MAX_OVERLAP_SECONDS
    assert 'spare-started' in world.kinds()
    world.settle()


@pytest.mark.parametrize('service', ['draft', 'hasty'])
def test_attempt_whose_engine_answers_goes_on(service):
    """An engine pauses while the other one reads the prompt.

    The stream would be left to the engine that may have failed.
    """
    world, caller, engine = start_stream(service)
    engine.pause()
    spare = pass_time_until_spare(world, caller)
    world.pass_time(MAX_OVERLAP_SECONDS)
    assert world.stream_of(caller).attempt is spare
    assert world.stream_of(caller).spare is None
    world.come_back(engine.name)
    world.settle()


def test_first_attempt_goes_on_if_no_engine_answers():
    """All engines make the same pause.

    An attempt that has come further would be ended for one that has not even
    begun.
    """
    world, caller, engine = start_stream('draft')
    pause_all(world, engine)
    first = world.stream_of(caller).attempt
    pass_time_until_spare(world, caller)
    world.pass_time(MAX_OVERLAP_SECONDS)
    assert world.stream_of(caller).attempt is first
    assert world.stream_of(caller).spare is None
    for name in world.engines:
        world.come_back(name)
    world.settle()


def test_first_attempt_goes_on_if_its_engine_still_has_it():
    """Only the connection to the first engine was lost.

    The work of reading the prompt at the other one would be done for nothing.
    """
    world, caller, engine = start_stream('hasty')
    supervisor = world.instances['i1'].node.stream_supervisor
    supervisor.stall_detector.pace_by_upstream[engine.name].gap = 0.05
    world.serve(1)
    engine.silence()
    first = world.stream_of(caller).attempt
    spare = pass_time_until_spare(world, caller)
    world.pass_time(MAX_OVERLAP_SECONDS)
    assert world.stream_of(caller).attempt is first
    assert world.stream_of(caller).spare is not spare
    world.settle()


def test_lost_stream_is_continued_however_long_others_pause():
    """The first engine is lost for good while all others pause for long.

    The stream would wait for it alone, once all other attempts are used up.
    """
    world, caller, engine = start_stream('draft')
    pause_all(world, engine)
    world.pass_time(40.0)
    for name in world.engines:
        if name != engine.name:
            world.come_back(name)
    world.pass_time(20.0)
    world.serve(1)
    assert len(caller.tokens) > 3


def test_spare_is_not_ended_before_its_tokens_are_read():
    """This process pauses; its timers are handled before its sockets.

    A spare that has written would be ended for an attempt that is silent.
    """
    world, caller, engine = start_stream('draft')
    engine.pause()
    spare = pass_time_until_spare(world, caller)
    world.engines[spare.upstream.name].generate(1)
    world.stand_still(1.0)
    world.take_turn()
    assert world.stream_of(caller).spare is spare
    world.deliver_all()
    assert world.stream_of(caller).attempt is spare


def test_engine_that_is_reached_again_stops_at_once():
    """The path to an engine is lost while its stream goes on elsewhere.

    It comes back between two retries of the cancellation, and both engines
    work on the stream until the next one.
    """
    world, caller, engine = start_stream('draft')
    [run] = engine.runs.values()
    engine.cut_off()
    world.pass_time(6.0)
    assert world.engine_of(caller) is not engine
    engine.reach_again()
    world.pass_time(MAX_OVERLAP_SECONDS)
    assert run.ended == 'cancelled'
