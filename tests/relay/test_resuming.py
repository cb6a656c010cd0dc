"""Streams that resume on another engine after the loss of theirs."""

import dataclasses

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes
from tests.common import relay_world

NOT_RESUMABLE = dataclasses.replace(relay_world.STREAM_ROUTE, resumable=False)


def test_stream_goes_on_from_the_copy_at_the_next_event():
    """An engine is reset in the middle of a stream.

    Reading its prompt again would take a second, in which the caller gets no
    text.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    first = world.last_send(exchange)
    world.begin(first)
    world.events(first, 1, 2)
    world.lose(first)
    second = world.last_send(exchange)
    assert second.engine == first.copy_to
    assert second.copy_from == requests.CopyName(
        first.copy_to.address, first.request.request_id
    )
    assert second.resume_after == 2
    world.begin(second)
    world.events(second, 3)
    world.complete(second)
    assert world.passed_events(exchange) == [1, 2, 3]
    assert world.of_kind(relay_actions.EndStream, exchange)


def test_no_copy_is_asked_for_before_the_first_event():
    """A run has no copy before it generates tokens.

    Each attempt to resume from a missing copy is wasted, and after a few the
    caller would get an error although engines are free.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    world.lose(world.last_send(exchange))
    assert world.last_send(exchange).copy_from is None
    world.lose(
        world.last_send(exchange), 'ConnectionRefusedError', handed_over=False
    )
    assert world.last_send(exchange).copy_from is None


def test_refused_connections_do_not_use_up_attempts():
    """All engines of a data centre refuse connections.

    Each refusal takes a millisecond. If a request were given up after a few of
    them, its caller would get no answer although other engines are available.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=8))
    exchange = world.ask()
    while world.last_send(exchange).engine.data_centre == 'north':
        world.lose(
            world.last_send(exchange),
            'ConnectionRefusedError',
            handed_over=False,
        )
    assert not world.refusals(exchange)
    assert len(world.sends(exchange)) <= 8


def test_replaced_engine_gets_no_more_requests():
    """An engine restarts under a new identity.

    Its old entry stays listed for seconds. Sending to it repeatedly would use
    up the attempts of requests on an engine that no longer exists.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    first = world.last_send(exchange)
    world.refuse(first, status=421)
    world.advance(4.0)
    for _ in range(20):
        later = world.ask()
        assert world.last_send(later).engine != first.engine


def test_refused_connection_counts_until_the_engine_registers_again():
    """An engine crashes, and its entry expires only seconds later.

    The old entry must not cause requests or copies to be sent to it.
    """
    entries = relay_world.fleet()
    world = relay_world.RelayWorld(entries)
    exchange = world.ask()
    dead = world.last_send(exchange).engine
    world.lose(
        world.last_send(exchange), 'ConnectionRefusedError', handed_over=False
    )
    world.advance(3.0)
    for _ in range(20):
        send = world.last_send(world.ask())
        assert dead not in (send.engine, send.copy_to)
    world.change_engines(
        relay_world.engine(
            dead.engine, dead.service, dead.data_centre, dead.heartbeat + 2
        )
    )
    used = [world.last_send(world.ask()) for _ in range(20)]
    assert any(dead.engine == send.engine.engine for send in used)


def test_resumed_request_goes_to_the_engine_that_read_its_prompt():
    """An instance fails, and its callers retry through another one.

    That one knows their runs only from hints. Any other engine would read the
    prompt again, which takes a second without text for the caller.
    """
    world = relay_world.RelayWorld()
    hint = hints.RunPlaced(7, 'model-west-1', 8_780, 8_000, '', 'my-part')
    world.handle(relay_events.PeerTold('other', hint))
    world.handle(relay_events.PeerTold('other', hints.RunEnded(7)))
    world.advance(2.0)
    prompt = requests.Prompt(8_000, 780, 'my-part')
    exchange = world.ask(prompt=prompt, resumes_after=40)
    assert world.last_send(exchange).engine.engine == 'model-west-1'
    assert world.last_send(exchange).resume_after == 40


def test_popular_prompt_is_spread_over_engines():
    """Many callers send the same prompt at once.

    If all of them were sent to the engine that has the prompt in memory, they
    would wait for one another while other engines are idle.
    """
    world = relay_world.RelayWorld()
    prompt = requests.Prompt(8_000, 780, 'popular')
    used = {
        world.last_send(world.ask(prompt=prompt)).engine.engine
        for _ in range(40)
    }
    assert len(used) > 1


def test_replaced_engines_cost_no_attempt():
    """A data centre's engines restart, but their old entries stay listed.

    A request that tries several of the old entries must not run out of
    attempts, as none of those engines exists any more. Each ends only after
    it was asked for its identity.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=6))
    world.relay.budget.set_fleet_size(1)
    exchange = world.ask()
    for _ in range(6):
        world.refuse(world.last_send(exchange), status=421)
        world.answer_identity_questions()
    assert not world.refusals(exchange)
    assert len(world.sends(exchange)) == 7


def test_replaced_engine_is_announced_to_other_instances():
    """Otherwise each instance would find out with a request of its own.

    Those requests count as retries in the shared retry budget.
    """
    world = relay_world.RelayWorld()
    first = world.last_send(world.ask())
    world.refuse(first, status=421)
    told = [a.hint for a in world.of_kind(relay_actions.TellPeers)]
    assert hints.EngineReplaced(first.engine.engine) in told
    other = relay_world.RelayWorld()
    other.handle(
        relay_events.PeerTold('one', hints.EngineReplaced(first.engine.engine))
    )
    for _ in range(20):
        assert other.last_send(other.ask()).engine != first.engine


def test_stopping_instance_refuses_a_stream_that_it_can_not_finish():
    """Callers arrive at a stopping instance until the balancer reacts.

    A long answer that starts now would be cut in the middle. If it is refused
    at once, another instance can still serve it in time.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    send = world.last_send(exchange)
    world.begin(send)
    world.advance(1.0)
    for number in range(1, 21):
        world.events(send, number)
        world.advance(0.25)
    world.complete(send)
    world.handle(relay_events.StopRequested(world.now + 7.5))
    early = world.ask()
    assert world.sends(early)
    world.advance(3.0)
    late = world.ask()
    assert not world.sends(late)
    [refusal] = world.refusals(late)
    assert refusal.status == 503
    assert refusal.retry_after is not None
    assert world.sends(world.call())


def test_silent_stream_is_not_reported_as_not_run():
    """The only engine falls silent before its first event.

    It may still be reading the prompt. If the caller were told that nothing
    ran, it could pay for the same work twice without knowing.
    """
    entry = relay_world.engine('only', relay_world.STREAMS, 'north')
    world = relay_world.RelayWorld([entry])
    exchange = world.ask()
    send = world.last_send(exchange)
    world.change_engines(removed=['only'])
    world.handle(relay_events.EngineProbed(exchange, send.send, alive=False))
    [refusal] = world.refusals(exchange)
    assert refusal.status == 502


def start_silent_stream_without_copy():
    """Return a stream that is silent for too long, and its simulation.

    The service of its engine keeps no copies.
    """
    plain = dataclasses.replace(relay_world.MODEL, copies=False)
    services = (
        routes.Service(relay_world.STREAMS, 240, plain),
        *relay_world.SERVICES[1:],
    )
    table = relay_world.route_table()
    table.services = {service.name: service for service in services}
    world = relay_world.RelayWorld(table=table)
    exchange = world.ask()
    first = world.last_send(exchange)
    world.begin(first)
    world.events(first, 1, 2)
    world.advance(0.4)
    return world, exchange, first


def test_silent_stream_without_a_copy_stays_on_a_live_engine():
    """An engine that reads other prompts is silent for half a second.

    Without a copy, another engine would have to read the prompt again, which
    takes longer than the silence and slows that engine down. So the silent
    engine is probed first.
    """
    world, exchange, first = start_silent_stream_without_copy()
    assert len(world.sends(exchange)) == 1
    [probe] = world.of_kind(relay_actions.ProbeEngine, exchange)
    assert probe.engine == first.engine
    world.handle(relay_events.EngineProbed(exchange, first.send, True))
    world.events(first, 3)
    world.advance(0.2)
    assert len(world.sends(exchange)) == 1
    assert world.passed_events(exchange) == [1, 2, 3]


def test_silent_stream_without_a_copy_leaves_a_dead_engine():
    world, exchange, first = start_silent_stream_without_copy()
    world.advance(0.3)
    world.handle(relay_events.EngineProbed(exchange, first.send, False))
    assert len(world.sends(exchange)) == 2
    assert world.last_send(exchange).resume_after == 2


def test_stream_that_stays_silent_leaves_a_live_engine():
    """The connection has failed silently, but the engine is healthy."""
    world, exchange, first = start_silent_stream_without_copy()
    world.handle(relay_events.EngineProbed(exchange, first.send, True))
    world.advance(2.0)
    assert len(world.sends(exchange)) >= 2


def test_stream_ended_without_events_is_not_reported_as_not_run():
    """An engine ends its answer before the first event, others are lost.

    The engine received the request and may have worked on it, so the caller
    must not be told that it has not run.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    world.complete(world.last_send(exchange))
    while not world.refusals(exchange):
        world.lose(world.last_send(exchange), handed_over=False)
    assert [r.status for r in world.refusals(exchange)] == [502]


def test_stream_resumed_after_its_last_event_ends_as_complete():
    """Guards against a failure instead of the end of a complete stream.

    Only the end was lost. The engine has nothing more to write, and its empty
    answer was taken for a failure of each engine in turn.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask(resumes_after=130)
    send = world.last_send(exchange)
    world.begin(send)
    world.complete(send)
    assert world.sends(exchange) == [send]
    assert world.of_kind(relay_actions.BeginStream, exchange)
    assert world.of_kind(relay_actions.EndStream, exchange)


def test_stream_that_may_not_run_again_gets_an_engines_own_failure():
    """Guards against a second run of a stream that may not be repeated.

    An engine that answers 500 itself may have run it. The earlier requests
    are worth the retries that a second run would spend.
    """
    world = relay_world.RelayWorld(
        table=relay_world.route_table(found=(NOT_RESUMABLE,))
    )
    exchange = [world.ask() for _ in range(10)][-1]
    world.refuse(world.last_send(exchange), status=500)
    failing = world.last_send(exchange)
    world.answer(failing, b'failed', status=500)
    assert world.last_send(exchange) == failing
    assert len(world.sends(exchange)) == 2
    [passed] = world.answered(exchange)
    assert (passed.head.status, passed.body) == (500, b'failed')
    assert exchange not in world.relay.exchanges


def test_begun_stream_that_may_not_run_again_ends_at_a_plain_answer():
    """Guards against a second run of a stream that may not be repeated.

    Its events have reached the caller before the engine answers otherwise.
    """
    world = relay_world.RelayWorld(
        table=relay_world.route_table(found=(NOT_RESUMABLE,))
    )
    exchange = [world.ask() for _ in range(10)][-1]
    failing = world.last_send(exchange)
    world.begin(failing)
    world.events(failing, 1)
    world.answer(failing, b'', status=404, sealed=False)
    assert world.sends(exchange) == [failing]
    [ended] = world.of_kind(relay_actions.AbortStream, exchange)
    assert ended.code == 'outcome-unknown'


def test_stream_that_has_begun_gets_no_second_answer():
    """Guards against a caller that waits for the end of a broken stream.

    The engine that resumes it answers with a status of its own, below 500.
    A second head can't be written, and the connection stayed open for good.
    """
    world = relay_world.RelayWorld()
    exchange = [world.ask() for _ in range(10)][-1]
    send = world.last_send(exchange)
    world.begin(send)
    world.events(send, 1, 2)
    world.lose(send)
    while world.last_send(exchange) != send:
        send = world.last_send(exchange)
        world.answer(send, b'no', status=404)
    assert not world.answered(exchange)
    assert world.of_kind(relay_actions.AbortStream, exchange)


@pytest.mark.parametrize('status', [408, 429, 503])
@pytest.mark.parametrize('kind', ['call', 'stream'])
def test_failure_of_an_engine_does_not_promise_that_nothing_ran(kind, status):
    """Guards against a second run, by a caller who relies on the status.

    Only an engine that says so has not run the request.
    """
    once = (NOT_RESUMABLE, relay_world.CALL_ROUTE)
    world = relay_world.RelayWorld(table=relay_world.route_table(found=once))
    exchange = relay_world.ASK[kind](world)
    world.answer(world.last_send(exchange), b'busy', status=status)
    assert len(world.sends(exchange)) == 1
    assert not world.answered(exchange)
    [refusal] = world.refusals(exchange)
    assert (refusal.status, refusal.code) == (502, 'outcome-unknown')


@pytest.mark.parametrize('route', [relay_world.STREAM_ROUTE, NOT_RESUMABLE])
def test_unsigned_success_of_a_stream_is_not_passed_on(route):
    """Guards against an answer that no engine has signed."""
    world = relay_world.RelayWorld(
        table=relay_world.route_table(found=(route,))
    )
    exchange = [world.ask() for _ in range(10)][-1]
    send = world.last_send(exchange)
    world.answer(send, b'not events', sealed=False)
    assert not world.answered(exchange)
    assert len(world.sends(exchange)) == 1 + route.resumable
