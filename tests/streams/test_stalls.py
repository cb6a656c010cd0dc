"""Stall detection is based on progress, and suspended after a pause."""

from hypothesis import given
from hypothesis import strategies as st

from greengagelb.coordination.streams import stalls
from greengagelb.state import pace
from tests.common import generations


def start_streams(count=6):
    world = generations.World()
    world.report()
    callers = [world.submit() for _ in range(count)]
    world.serve(3)
    return world, callers


@given(st.floats(0.2, 60.0), st.booleans())
def test_own_pause_marks_no_engine_dead(seconds, timers_first):
    """The process of an instance is paused and resumes.

    Every stall timer is due while tokens are unread in the sockets. Checked
    by its timers alone, every engine would seem dead and all streams would
    be moved at once.
    """
    world, callers = start_streams()
    world.stand_still(seconds)
    for engine in world.engines.values():
        engine.generate(1)
    if timers_first:
        world.take_turn()
    world.deliver_all()
    world.take_turn()
    assert 'attempt-replaced' not in world.kinds()
    assert all(len(caller.tokens) == 4 for caller in callers)


def test_punctual_timer_lets_sockets_be_read_first():
    """A pause ends just when a stall timer is due, so that is not late."""
    world, callers = start_streams(1)
    deadline = world.stream_of(callers[0]).attempt.stall_deadline
    for engine in world.engines.values():
        engine.generate(1)
    world.now = deadline
    instance = world.instances['i1']
    name = f'stall:{callers[0].exchange}'
    del instance.timers[name]
    world.tell(instance, generations.events.TimerFired(name))
    world.deliver_all()
    world.take_turn()
    assert 'attempt-suspected' not in world.kinds()
    assert len(callers[0].tokens) == 4


def test_delayed_event_loop_still_detects_a_dead_engine():
    """An event loop that is always late must still detect a dead engine."""
    world, callers = start_streams(1)
    engine = world.engine_of(callers[0])
    engine.pause()
    for _ in range(30):
        world.stand_still(0.6)
        world.take_turn()
        world.deliver_all()
    world.serve(1)
    assert len(callers[0].tokens) == 4
    assert world.engine_of(callers[0]) is not engine


def test_stall_timeout_follows_the_pace_of_the_engine():
    """An engine under load delivers a token every 80 ms.

    A fixed timeout that suits a fast engine would suspect it repeatedly.
    """
    world = generations.World()
    caller = world.submit()
    world.deliver_all()
    for _ in range(8):
        world.advance(0.08)
        world.serve(1)
    stream = world.stream_of(caller)
    wait = stream.attempt.stall_deadline - world.now
    policy = stream.service.recovery
    assert policy.least_stall < wait <= policy.most_stall
    world.advance(0.5)
    assert 'attempt-suspected' not in world.kinds()


def test_attempt_queued_at_a_busy_engine_is_not_replaced():
    """An engine accepts more requests than it runs at once.

    A queued request gets no token while the engine serves others. If each
    engine were taken for dead in turn, the request would finally fail.
    """
    world = generations.World(1)
    busy = world.submit()
    world.serve(2)
    queued = world.submit()
    world.deliver_all()
    (run,) = [
        run
        for run in world.engines['e0'].runs.values()
        if run.order.attempt.request == queued.request
    ]
    run.waits = True
    for _ in range(30):
        if not busy.waits:
            busy = world.submit()
        world.serve(1)
        world.pass_time(0.2)
    assert world.now > stalls.FIRST_TOKEN_TIMEOUT_SECONDS * 2
    assert world.stream_of(queued).engine_deaths == 0
    assert 'attempt-replaced' not in world.kinds()


@given(st.lists(st.floats(0.001, 2.0), min_size=1))
def test_observed_pace_stays_within_what_was_observed(gaps):
    observed = pace.Pace()
    for gap in gaps:
        observed.observe_gap(gap)
    assert min(gaps) * 0.999 <= observed.gap <= max(gaps) * 1.001
