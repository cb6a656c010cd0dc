"""Single steps of stream recovery, and regressions of the stateful test."""

import pytest

from greengagelb.coordination import events
from greengagelb.coordination.streams import recovery
from greengagelb.state import configuration
from greengagelb.state import requests
from tests.common import generations


def start_stream(service='draft', tokens=3, engines=3):
    world = generations.World(engines)
    world.report()
    caller = world.submit(service)
    world.serve(tokens)
    assert len(caller.tokens) == tokens
    return world, caller


def finish_stream(world, caller):
    world.serve(generations.MOST_TOKENS + 2)
    (end,) = caller.finals
    return end


def failure_of(caller):
    (found,) = caller.finals
    return found.failure


def test_silent_connection_is_reattached_to_the_same_engine():
    """A middlebox drops a connection's state without closing it.

    After the stall timeout the stream continues from the same engine.
    """
    world, caller = start_stream()
    engine = world.engine_of(caller)
    engine.silence()
    world.pass_time(0.4)
    world.serve(1)
    assert world.engine_of(caller) is engine
    assert finish_stream(world, caller).position == generations.MOST_TOKENS


def test_second_silence_of_one_attempt_costs_no_engine_death():
    """The connection is lost again, much later.

    Counted as an engine death, it would move a generation from a healthy
    engine.
    """
    world, caller = start_stream()
    for _ in range(2):
        assert caller.waits
        world.engine_of(caller).silence()
        world.pass_time(0.4)
        for _ in range(3):
            world.serve(1)
            world.advance(0.2)
            world.serve(1)
            world.advance(0.2)
    assert world.stream_of(caller).engine_deaths == 0


def test_tokens_of_a_resumed_engine_are_dropped():
    """An engine is paused, its attempt is replaced, and it resumes.

    Its tokens differ from those of the attempt that replaced it.
    """
    world, caller = start_stream()
    paused = world.engine_of(caller)
    paused.pause()
    for _ in range(4):
        world.advance(0.5)
        world.deliver_all()
    world.serve(1)
    assert world.engine_of(caller) is not paused
    world.come_back(paused.name)
    paused.generate(3)
    world.deliver_late(world.instances[caller.instance])
    assert finish_stream(world, caller).position == generations.MOST_TOKENS


def test_engine_that_reports_another_version_is_replaced_at_once():
    """An engine loads another version during a generation.

    Its tokens from then on belong to another model's answer.
    """
    world, caller = start_stream()
    engine = world.engine_of(caller)
    engine.version = '2'
    held = list(caller.tokens)
    world.report()
    engine.generate(2)
    world.deliver_all()
    assert caller.tokens[: len(held)] == held
    assert world.engine_of(caller) is not engine
    assert world.stream_of(caller).engine_deaths == 0


def test_lost_batch_is_requested_again():
    """A batch of tokens is lost and the next one arrives.

    Sent to the caller, it would leave a gap in the answer.
    """
    world, caller = start_stream()
    world.engine_of(caller).generate(2)
    world.lose_batches(world.instances['i1'])
    world.serve(1)
    assert finish_stream(world, caller).position == generations.MOST_TOKENS


def test_end_is_not_accepted_while_tokens_are_missing():
    """The last batch is lost, but not the end event after it."""
    world, caller = start_stream()
    world.engine_of(caller).generate(generations.MOST_TOKENS)
    world.lose_batches(world.instances['i1'])
    assert finish_stream(world, caller).position == generations.MOST_TOKENS


def test_lost_end_event_does_not_add_a_token():
    """The engine dies between the last token and the end event."""
    world, caller = start_stream()
    engine = world.engine_of(caller)
    engine.generate(generations.MOST_TOKENS)
    (connection,) = engine.connections
    del connection.queue[-1]
    world.deliver_all()
    assert len(caller.tokens) == generations.MOST_TOKENS
    engine.kill()
    broken = events.AttemptBroken(connection.attempt, 'reset', True)
    for _ in range(2):
        world.tell(world.instances['i1'], broken)
    assert finish_stream(world, caller).reason == 'length'


def test_withdrawn_version_restarts_an_idempotent_request():
    """The pool moves to another version while a stream runs.

    The caller is told to discard its tokens, so that it never gets the end of
    another generation.
    """
    world, caller = start_stream()
    for engine in world.engines.values():
        engine.version = '2'
    world.configure('2')
    world.report()
    assert (caller.generation, caller.tokens) == (2, [])
    assert finish_stream(world, caller).generation == 2


def test_caller_disconnected_after_a_restart_can_resume():
    """The caller disconnects between the restart and the next token.

    It has discarded its tokens by then, so its old cursor would no longer
    match and it could not resume.
    """
    world, caller = start_stream()
    for engine in world.engines.values():
        engine.version = '2'
    world.configure('2')
    world.report()
    world.leave(caller, noticed=True)
    world.ask(caller, 'i2')
    assert finish_stream(world, caller).generation == 2


def test_withdrawn_version_is_detected_from_refusals():
    """The instance gets no reports, and all engines run another version.

    It must not fail a stream that could be restarted at once.
    """
    world, caller = start_stream()
    engine = world.engine_of(caller)
    for other in world.engines.values():
        other.version = '2'
    world.configure('2')
    for view in world.instances['i1'].node.directory.views.values():
        view.probed_at = float('-inf')
    engine.kill()
    engine.come_back()
    world.pass_time(recovery.RECOVERY_TIMEOUT_SECONDS + 0.5)
    assert caller.generation == 2
    assert finish_stream(world, caller).generation == 2


def test_withdrawn_version_ends_what_may_not_be_repeated():
    """A non-idempotent request must not be restarted on another version."""
    world, caller = start_stream('once')
    for engine in world.engines.values():
        engine.version = '2'
    world.configure('2')
    world.report()
    assert failure_of(caller).code == 'version-withdrawn'


def test_request_that_may_not_repeat_is_not_started_twice():
    """The engine dies before the first token of a non-idempotent request."""
    world, caller = start_stream('once', tokens=0)
    world.engine_of(caller).kill()
    world.deliver_all()
    assert failure_of(caller).ran is requests.Ran.UNKNOWN


def test_request_refused_by_every_engine_is_reported_as_not_run():
    """Every engine is full and refuses the request.

    The caller is told within seconds, and correctly, that nothing ran. Until
    then the engines are not retried in a tight loop.
    """
    world = generations.World()
    for engine in world.engines.values():
        engine.full = True
    caller = world.submit()
    for _ in range(40):
        world.deliver_all()
        world.advance(recovery.RECOVERY_RETRY_DELAY_SECONDS)
    assert failure_of(caller).ran is requests.Ran.NO
    assert failure_of(caller).retry_after
    tries = recovery.RECOVERY_TIMEOUT_SECONDS / 0.05 + 2
    assert world.kinds().count('attempt-started') <= 3 * tries


def test_stream_fails_at_once_when_no_engine_can_serve_it():
    """The last usable engine of a pool dies while the others are leaving."""
    world, caller = start_stream()
    engine = world.engine_of(caller)
    views = world.instances['i1'].node.directory.views
    for name, view in views.items():
        view.leaving = True
        assert name in world.engines
    engine.kill()
    world.deliver_all()
    assert failure_of(caller).code == 'no-engine'
    assert failure_of(caller).retry_after


@pytest.mark.parametrize('service', ['draft', 'hasty'])
def test_request_that_kills_engines_is_stopped(service):
    """A prompt crashes each engine that evaluates it.

    Resumed without limit, it would crash the whole pool for all accounts.
    Sent again, it must not start a new series.
    """
    world, caller = start_stream(service)
    for _ in range(50):
        if not caller.waits:
            break
        for engine in world.engines.values():
            if any(not run.ended for run in engine.runs.values()):
                engine.kill()
            engine.come_back()
        world.deliver_all()
        world.advance(0.3)
        world.report()
    assert failure_of(caller).code == 'engine-deaths-exceeded'
    assert failure_of(caller).retry_after is None
    most = configuration.RecoveryPolicy().most_engine_deaths
    ordered = world.kinds().count('attempt-started')
    assert ordered + world.kinds().count('spare-started') <= 2 * (most + 1)
    world.ask(caller, 'i1', caller.request)
    assert not caller.waits


def test_spare_starts_while_the_first_attempt_is_suspected():
    """An engine pauses under a service with spare attempts.

    The spare has started before the first engine is considered dead.
    """
    world, caller = start_stream('hasty')
    world.engine_of(caller).pause()
    while 'attempt-suspected' not in world.kinds():
        world.advance(0.05)
    stream = world.stream_of(caller)
    assert stream.attempt is not None
    assert stream.spare is not None
    world.serve(1)
    assert stream.spare is None
    assert len(caller.tokens) == 4


def test_spare_is_cancelled_when_the_first_attempt_goes_on():
    """The first engine was only slow and delivers the next token first."""
    world, caller = start_stream('hasty')
    slow = world.engine_of(caller)
    slow.silence()
    while 'spare-started' not in world.kinds():
        world.advance(0.05)
    slow.generate(1)
    world.deliver_all()
    assert world.engine_of(caller) is slow
    assert world.stream_of(caller).spare is None
    assert finish_stream(world, caller).position == generations.MOST_TOKENS


def test_recovering_streams_take_precedence_over_new_requests():
    """One of two engines dies while new requests are queued.

    If freed capacity went to new requests first, the interrupted streams
    would stall until they fail.
    """
    world = generations.World(2)
    world.report()
    callers = [world.submit() for _ in range(6)]
    world.serve(2)
    waiting = world.submit()
    lost = next(c for c in callers if c.tokens)
    engine = world.engine_of(lost)
    hit = [c for c in callers if world.engine_of(c) is engine]
    engine.kill()
    world.deliver_all()
    other = next(c for c in callers if c not in hit)
    world.leave(other, noticed=True)
    assert not waiting.tokens
    served = [c for c in hit if world.stream_of(c).attempt]
    assert len(served) == 1
    assert waiting.exchange in world.instances['i1'].node.waiting_requests
