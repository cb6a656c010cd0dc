"""Engines that restart with the same identity."""

import dataclasses

import pytest
from twisted.internet import task

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.protocol import relay_hints
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes
from greengagelb.transport.relay import engine_side
from greengagelb.transport.relay import http_client
from tests.common import relay_wires
from tests.common import relay_world

FIRST_START = 1_796_000_000_000
SECOND_START = FIRST_START + 60_000
# After this time of unchanged lists a send certainly went to the listed life.
LISTED_SECONDS = 5.0
SLOW_CALLS = dataclasses.replace(
    relay_world.CALL_ROUTE, time_limit=30.0, most_attempts=2
)
ONCE_ONLY_STREAMS = dataclasses.replace(
    relay_world.STREAM_ROUTE, resumable=False
)
SLOW_QUERIES = dataclasses.replace(
    relay_world.QUERY_ROUTE, time_limit=30.0, goal=20.0
)


def started(entry, at=FIRST_START, **fields):
    """Return an entry of the life that began at a time in milliseconds."""
    return dataclasses.replace(entry, started_at_ms=at, **fields)


def next_life(entry, heartbeat=1, **fields):
    """Return the first entry of an engine's second life."""
    return started(entry, SECOND_START, heartbeat=heartbeat, **fields)


def fleet(heartbeat=40):
    return tuple(started(e) for e in relay_world.fleet(heartbeat=heartbeat))


def world_of_lives(**fields):
    return relay_world.RelayWorld(fleet(), **fields)


def streaming(world):
    """Start a stream that delivers its first event; return its send."""
    send = world.last_send(world.ask())
    world.begin(send)
    world.events(send, 1)
    return send


def stream_while_listed(world, send, seconds=LISTED_SECONDS):
    """Let a stream run while the list keeps showing the same lives."""
    numbers = iter(range(2, 1_000))
    until = world.now + seconds
    while world.now < until:
        world.advance(0.25)
        world.events(send, next(numbers))
        world.change_engines()


def state_of(world, entry):
    return world.relay.engines.states[entry.engine]


def peer_tells(world, hint):
    return world.handle(relay_events.PeerTold('other', hint))


def test_stream_resumes_from_its_copy_when_its_engine_has_a_new_life():
    """The list shows that the engine of a stream has restarted.

    Its link had failed before, so that no connection was reset. Until the
    restart is noticed the caller receives no events.
    """
    world = world_of_lives()
    send = streaming(world)
    stream_while_listed(world, send)
    world.change_engines(next_life(send.engine))
    second = world.last_send(send.exchange)
    assert second.send != send.send
    assert second.engine == send.copy_to
    assert second.copy_from == requests.CopyName(
        send.copy_to.address, f'r{send.exchange}'
    )
    assert second.resume_after == world.passed_events(send.exchange)[-1]
    assert relay_actions.AbandonSend(send.exchange, send.send) in world.actions


def test_copy_at_an_engine_that_started_again_is_replaced_and_not_used():
    """The engine that holds the copy of a run restarts.

    A run sent there to resume from the copy would be refused, and its caller
    would wait while the prompt is read again.
    """
    world = world_of_lives()
    send = streaming(world)
    world.change_engines(next_life(send.copy_to))
    [copy] = world.of_kind(relay_actions.CopyRun)
    assert copy.target.engine != send.copy_to.engine
    world.handle(
        relay_events.RunCopied(
            send.exchange, send.send, copy.target.engine, 'h7'
        )
    )
    world.lose(send)
    assert world.last_send(send.exchange).engine == copy.target


def test_stream_is_restarted_if_engine_and_copy_both_restarted():
    """A data centre loses power and is back before the next read of the list.

    The prompt must be read again at once, not only after a refusal.
    """
    world = world_of_lives()
    send = streaming(world)
    stream_while_listed(world, send)
    world.change_engines(next_life(send.copy_to), next_life(send.engine))
    second = world.last_send(send.exchange)
    assert second.send != send.send
    assert second.copy_from is None
    assert not world.of_kind(relay_actions.CopyRun)


def test_lost_run_is_not_sent_to_a_copy_of_an_earlier_life():
    """The engine with the copy restarts, and no other can take a copy."""
    table = relay_world.route_table()
    model = dataclasses.replace(relay_world.MODEL, moves=False)
    table.services = {
        **table.services,
        relay_world.STREAMS: routes.Service(relay_world.STREAMS, 240, model),
    }
    world = world_of_lives(table=table)
    send = streaming(world)
    world.change_engines(next_life(send.copy_to))
    world.lose(send)
    assert world.last_send(send.exchange).copy_from is None


def test_new_life_has_read_no_prompt():
    """A prompt comes again that the engine had read in its previous life.

    Sent there as already read, it would wait behind all prompts that are read.
    """
    world = world_of_lives()
    send = streaming(world)
    part = f'part{send.exchange}'
    assert world.relay.loads.prompts.likely_holder(part, world.now)
    world.change_engines(next_life(send.engine))
    assert not world.relay.loads.prompts.likely_holder(part, world.now)


def test_new_life_has_no_runs_of_other_instances():
    """The ends of runs of other instances were not announced (yet).

    If they stayed counted, an idle engine would look full and get no work.
    """
    world = world_of_lives()
    entry, copied_to = fleet()[0], fleet()[2]
    peer_tells(
        world,
        hints.RunPlaced(1, entry.engine, 80_000, 80_000, copied_to.engine),
    )
    peer_tells(
        world, hints.RunPlaced(2, copied_to.engine, 70_000, 0, entry.engine)
    )
    world.change_engines(next_life(entry))
    work = world.relay.loads.work_on(entry.engine)
    assert (work.runs, work.memory_tokens, work.copied_tokens) == (0, 0, 0)
    assert work.reading_until <= world.now
    other = world.relay.loads.work_on(copied_to.engine)
    assert (other.runs, other.copied_tokens) == (1, 0)


def slow_call_world():
    table = relay_world.route_table(
        found=(relay_world.STREAM_ROUTE, SLOW_CALLS, SLOW_QUERIES)
    )
    return world_of_lives(table=table)


def advance_while_listed(world):
    for _ in range(5):
        world.advance(1.0)
        world.change_engines()


def test_call_of_an_ended_life_is_answered_at_once_and_not_repeated():
    """An engine is listed with a new life while it runs a long call.

    No answer can arrive any more. The call may have run, so it is not
    repeated, and its caller must not wait for the deadline to learn that.
    """
    world = slow_call_world()
    exchange = world.ask(b'/booking/1', 30.0, prompt=None)
    send = world.last_send(exchange)
    advance_while_listed(world)
    world.change_engines(next_life(send.engine))
    [refusal] = world.refusals(exchange)
    assert (refusal.status, refusal.code) == (502, 'outcome-unknown')
    assert len(world.sends(exchange)) == 1


def test_idempotent_call_of_an_ended_life_is_sent_again():
    world = slow_call_world()
    exchange = world.ask(b'/queries/1', 30.0, prompt=None)
    send = world.last_send(exchange)
    advance_while_listed(world)
    world.change_engines(next_life(send.engine))
    assert len(world.sends(exchange)) == 2


def test_send_that_may_have_reached_the_new_life_is_not_ended():
    """An idle engine crashes and restarts within a second.

    A request is sent while the list still shows the former life, and the new
    life accepts it. Ending it when the new life is listed would answer a
    running call as failed, and have a prompt read twice.
    """
    world = world_of_lives()
    advance_while_listed(world)
    call = world.call()
    asked = world.last_send(call)
    stream = world.ask()
    run = world.last_send(stream)
    world.advance(0.3)
    world.change_engines(next_life(asked.engine), next_life(run.engine))
    assert not world.refusals()
    assert [world.sends(call), world.sends(stream)] == [[asked], [run]]
    world.answer(asked)
    world.begin(run)
    world.events(run, 1)
    assert world.of_kind(relay_actions.PassAnswer, call)
    assert world.passed_events(stream) == [1]


def test_list_changes_in_parts_end_nothing_that_may_run_on_the_new_life():
    """A list arrives in several datagrams after a long outage of the store.

    The first part confirms the list, while a later one has the restart of an
    engine that accepted a call seconds ago.
    """
    world = slow_call_world()
    world.handle(relay_events.StoreLost('away'))
    world.advance(6.0)
    exchange = world.ask(b'/booking/1', 30.0, prompt=None)
    send = world.last_send(exchange)
    world.advance(5.0)
    peer_tells(world, hints.EngineListChanged((fleet(41)[0],), ()))
    peer_tells(world, hints.EngineListChanged((next_life(send.engine),), ()))
    assert not world.refusals(exchange)
    world.answer(send)
    assert world.of_kind(relay_actions.PassAnswer, exchange)


def test_probe_answered_by_a_new_life_does_not_confirm_the_run():
    """A stream waits for its first event from an engine that has restarted.

    The engine answers each probe, and the caller would wait until the
    deadline.
    """
    world = world_of_lives()
    exchange = world.ask()
    send = world.last_send(exchange)
    world.advance(2.5)
    assert world.of_kind(relay_actions.ProbeEngine, exchange)
    world.handle(
        relay_events.EngineProbed(exchange, send.send, True, SECOND_START)
    )
    assert world.last_send(exchange).send != send.send
    assert state_of(world, send.engine).entry.started_at_ms == SECOND_START


def world_without_copies(route=relay_world.STREAM_ROUTE):
    model = dataclasses.replace(relay_world.MODEL, copies=False, moves=False)
    table = relay_world.route_table(found=(route,))
    table.services = {
        relay_world.STREAMS: routes.Service(relay_world.STREAMS, 240, model)
    }
    return world_of_lives(table=table)


def stream_at_a_new_life(world):
    """Start a stream at an engine that has restarted, as the list shows later.

    Its events stop after that; the engine is probed.
    """
    advance_while_listed(world)
    send = streaming(world)
    world.advance(0.3)
    world.change_engines(next_life(send.engine))
    world.events(send, 2)
    world.advance(0.1)
    world.events(send, 3)
    world.advance(0.5)
    assert world.of_kind(relay_actions.ProbeEngine, send.exchange)
    return send


def probed(world, send, started_at_ms=SECOND_START, **fields):
    return world.handle(
        relay_events.EngineProbed(
            send.exchange, send.send, True, started_at_ms, **fields
        )
    )


@pytest.mark.parametrize(
    'route', [relay_world.STREAM_ROUTE, ONCE_ONLY_STREAMS]
)
def test_run_of_a_new_life_is_not_ended_at_its_first_pause(route):
    """Guards against streams that are cut while their engine goes on.

    They were sent to a restarted engine before the list showed its new life.
    """
    world = world_without_copies(route)
    send = stream_at_a_new_life(world)
    probed(world, send)
    world.advance(0.2)
    abandoned = relay_actions.AbandonSend(send.exchange, send.send)
    assert abandoned not in world.actions
    world.events(send, 4)
    assert world.passed_events(send.exchange) == [1, 2, 3, 4]


def test_once_only_run_is_not_ended_as_a_probe_tells_of_a_new_life():
    """Guards against a stream that is cut before its first event.

    The engine reads the prompt, and nothing tells which life got the stream.
    """
    world = world_without_copies(ONCE_ONLY_STREAMS)
    send = world.last_send(world.ask())
    world.advance(2.5)
    assert world.of_kind(relay_actions.ProbeEngine, send.exchange)
    probed(world, send)
    assert not world.refusals(send.exchange)
    world.begin(send)
    world.events(send, 1)
    assert world.passed_events(send.exchange) == [1]


def test_once_only_run_of_an_ended_life_is_ended_by_a_probe():
    """Guards against a wait for a stream that has certainly been lost."""
    world = world_without_copies(ONCE_ONLY_STREAMS)
    send = world.last_send(world.ask())
    advance_while_listed(world)
    probed(world, send)
    [refusal] = world.refusals(send.exchange)
    assert refusal.code == 'outcome-unknown'


def test_run_that_a_new_life_lists_belongs_to_it():
    """Guards against a whole answer that is taken for a broken one.

    It ends with its connection, and the engine that is checked then is of a
    later life than the list showed when the stream was sent.
    """
    world = world_without_copies(ONCE_ONLY_STREAMS)
    send = stream_at_a_new_life(world)
    probed(world, send, run_events=3)
    world.handle(relay_events.StreamComplete(send.exchange, send.send, True))
    [check] = world.of_kind(relay_actions.CheckEngine)
    assert check.entry.started_at_ms == SECOND_START


@pytest.mark.parametrize('at', [0, FIRST_START, FIRST_START - 1])
def test_probe_answered_by_the_same_life_confirms_the_run(at):
    world = world_of_lives()
    exchange = world.ask()
    send = world.last_send(exchange)
    world.advance(2.5)
    world.handle(relay_events.EngineProbed(exchange, send.send, True, at))
    assert len(world.sends(exchange)) == 1
    assert state_of(world, send.engine).entry.started_at_ms == FIRST_START


def test_new_life_is_not_suspected_for_failures_of_the_previous_one():
    """Connections to an engine fail before the list shows its new life.

    Its heartbeat counter starts again. Compared with the counter of the
    previous life, the engine would seem dead for minutes and get no work.
    """
    world = world_of_lives()
    send = streaming(world)
    world.lose(send)
    state = state_of(world, send.engine)
    assert not state.is_trusted(world.now)
    peer_tells(world, hints.EngineReplaced(send.engine.engine))
    world.change_engines(next_life(send.engine))
    state = state_of(world, send.engine)
    assert state.is_trusted(world.now)
    assert state.is_reachable(world.now)
    assert state.load is None


def test_leaving_mark_ends_with_its_life():
    """An engine leaves, ends, and restarts with the same identity.

    If the mark were kept, it would never get work again.
    """
    world = world_of_lives()
    entry = fleet()[0]
    world.change_engines(started(entry, leaving=True))
    assert not state_of(world, entry).is_usable(world.now)
    world.change_engines(next_life(entry))
    assert state_of(world, entry).is_usable(world.now)
    world.change_engines(started(entry, heartbeat=41, leaving=True))
    assert state_of(world, entry).is_usable(world.now)


def test_new_life_after_its_entry_had_lapsed_is_used():
    world = world_of_lives()
    entry = fleet()[0]
    world.change_engines(removed=[entry.engine])
    world.advance(3.0)
    assert not state_of(world, entry).is_usable(world.now)
    world.change_engines(next_life(entry))
    assert state_of(world, entry).is_trusted(world.now)


def test_new_life_may_serve_another_service_elsewhere():
    """All fields of its entry apply, none of the former entry."""
    world = world_of_lives()
    entry = fleet()[0]
    moved = next_life(entry, service=relay_world.CALLS)
    world.change_engines(moved)
    assert state_of(world, entry).entry == moved
    streams = world.relay.engines.by_service[relay_world.STREAMS]
    assert entry.engine not in streams
    calls = world.relay.engines.by_service[relay_world.CALLS]
    assert calls[entry.engine] is state_of(world, entry)


def test_lost_call_goes_to_the_new_life_where_there_is_no_other_engine():
    """The only engine of a service crashes and restarts.

    If it were excluded as already tried, waiting calls would fail while it
    idles.
    """
    entries = [e for e in fleet() if e.service != relay_world.CALLS]
    only = started(relay_world.engine('only', relay_world.CALLS, 'north'))
    table = relay_world.route_table(
        found=(relay_world.STREAM_ROUTE, SLOW_CALLS, SLOW_QUERIES)
    )
    world = relay_world.RelayWorld([*entries, only], table=table)
    exchange = world.ask(b'/queries/1', 30.0, prompt=None)
    advance_while_listed(world)
    world.change_engines(next_life(only))
    assert len(world.sends(exchange)) == 2


def test_older_entry_changes_nothing():
    """An instance that lags behind sends an entry of the previous life.

    Applied, it would end the runs of the new life.
    """
    world = world_of_lives()
    entry = fleet()[0]
    world.change_engines(next_life(entry))
    digest = world.relay.engines.digest()
    world.change_engines(started(entry, heartbeat=90, leaving=True))
    state = state_of(world, entry)
    assert state.entry == next_life(entry)
    assert state.is_trusted(world.now)
    assert world.relay.engines.digest() == digest


def test_entry_without_a_start_is_taken_as_before():
    """Older engines and older instances state no start."""
    world = world_of_lives()
    send = streaming(world)
    stream_while_listed(world, send)
    plain = relay_world.fleet(heartbeat=50)
    world.change_engines(*plain)
    state = state_of(world, send.engine)
    assert state.entry.heartbeat == 50
    assert state.entry.started_at_ms == FIRST_START
    assert len(world.sends(send.exchange)) == 1


def test_start_that_is_learned_later_is_no_new_life():
    """An engine was found at its address before the list showed its start."""
    world = relay_world.RelayWorld()
    send = streaming(world)
    world.change_engines(*fleet())
    assert state_of(world, send.engine).entry.started_at_ms == FIRST_START
    assert len(world.sends(send.exchange)) == 1


def test_peers_are_told_of_a_new_life_and_digests_differ():
    world = world_of_lives()
    world.read_for_all()
    entry = fleet()[0]
    before = world.relay.engines.digest()
    done = world.change_engines(next_life(entry))
    [told] = [
        a.hints for a in done if isinstance(a, relay_actions.BroadcastHints)
    ]
    assert hints.EngineListChanged((next_life(entry),), ()) in told
    assert world.relay.engines.digest() != before


@pytest.mark.parametrize(
    'hint',
    [
        hints.EngineListChanged((next_life(fleet()[0]),), ()),
        hints.EngineFailed('e', FIRST_START),
        hints.StreamSilent('e', FIRST_START),
        hints.EngineReplaced('e', 'f', FIRST_START),
        hints.EngineRestarted('e', SECOND_START),
    ],
)
def test_hints_carry_the_start_of_their_life(hint):
    raw = relay_hints.encode_hint('own', hint)
    assert relay_hints.decode_datagram(raw) == ('own', hint)


@pytest.mark.parametrize(
    'kind',
    [hints.EngineFailed, hints.StreamSilent, hints.EngineReplaced],
    ids=repr,
)
def test_late_failure_hint_on_the_previous_life_is_ignored(kind):
    """Other instances notice the loss of their connections a little later.

    Their hints would keep work from the new life, and have copies replaced
    that were just made there.
    """
    world = world_of_lives()
    entry = fleet()[0]
    world.change_engines(next_life(entry))
    for _ in range(2):
        if kind is hints.EngineReplaced:
            peer_tells(world, kind(entry.engine, '', FIRST_START))
        else:
            peer_tells(world, kind(entry.engine, FIRST_START))
    state = state_of(world, entry)
    assert state.is_trusted(world.now)
    assert state.doubted_until < world.now


def test_new_life_is_found_at_its_address_while_the_store_is_away():
    """An engine crashes and restarts while the list cannot be read.

    The engine at its address states the same identity; only its start shows
    that it has restarted.
    """
    world = world_of_lives()
    send = streaming(world)
    world.lose(send)
    world.handle(relay_events.StoreLost('away'))
    world.advance(1.3)
    asked = [a.entry for a in world.of_kind(relay_actions.ProbeAddress)]
    assert send.engine in asked
    engine = send.engine.engine
    world.handle(relay_events.AddressProbed(engine, engine, SECOND_START))
    assert state_of(world, send.engine).is_trusted(world.now)
    told = [a.hint for a in world.of_kind(relay_actions.TellPeers)]
    assert hints.EngineRestarted(engine, SECOND_START) in told


def test_engine_that_only_lost_a_connection_is_no_new_life():
    world = world_of_lives()
    send = streaming(world)
    world.lose(send)
    engine = send.engine.engine
    world.handle(relay_events.AddressProbed(engine, engine, FIRST_START))
    assert not state_of(world, send.engine).is_trusted(world.now)
    told = [a.hint for a in world.of_kind(relay_actions.TellPeers)]
    assert hints.EngineRestarted(engine, FIRST_START) not in told


def test_address_of_a_life_that_is_known_to_be_over_is_not_asked():
    """Each question has a cost, and the list has shown the restart."""
    world = world_of_lives()
    send = streaming(world)
    world.lose(send)
    world.change_engines(next_life(send.engine))
    world.advance(3.0)
    assert not world.of_kind(relay_actions.ProbeAddress)


def test_restart_hint_of_a_peer_ends_the_previous_life():
    """One instance finds the new life; all use it and trust no old copy."""
    world = world_of_lives()
    send = streaming(world)
    peer_tells(world, hints.EngineRestarted(send.copy_to.engine, SECOND_START))
    state = state_of(world, send.copy_to)
    assert state.entry.started_at_ms == SECOND_START
    [copy] = world.of_kind(relay_actions.CopyRun)
    assert copy.target.engine != send.copy_to.engine


class Pool:
    """Records the keys for which connections were requested."""

    def __init__(self):
        self.reactor = task.Clock()
        self.keys = []

    def request(self, key, address, request, receiver, **options):
        self.keys.append(key)
        return http_client.PendingRequest(request, receiver)


def test_connection_to_the_previous_life_is_not_reused():
    """An engine with a failed link crashes; its connections stay open here.

    A request on such a connection reaches no engine, and a call that must not
    be repeated would be lost.
    """
    pool = Pool()
    side = engine_side.EngineSide(
        pool,
        relay_wires.Dialect(),
        lambda _: None,
        lambda _: True,
        relay_wires.direct_opener(pool),
    )
    world = world_of_lives()
    send = world.last_send(world.ask())
    side.send_request(send)
    side.send_request(dataclasses.replace(send, engine=next_life(send.engine)))
    plain = relay_world.engine('plain', relay_world.STREAMS, 'north')
    side.send_request(dataclasses.replace(send, engine=plain))
    first, second, third = pool.keys
    assert first != second
    assert third == 'plain'


LIMIT_PER_SECOND = 0.5
# After this time without requests a permit for a trial request is there.
SAVING_SECONDS = 15.0
NEXT_LIFE = {
    'under the same identity': lambda entry: next_life(entry),
    'under another identity at its address': lambda entry: next_life(
        entry, engine='i-next'
    ),
}


def limited_world(limit=LIMIT_PER_SECOND):
    """Return a world with one engine for calls that names a limit."""
    entry = next(e for e in fleet() if e.service == relay_world.CALLS)
    world = relay_world.RelayWorld([entry])
    world.relay.keeper.set_instance_count(1, 1.0, world.now)
    send = world.last_send(world.call())
    world.answer(send, limit=limit)
    until = world.now + SAVING_SECONDS
    while world.now < until:
        world.advance(0.25)
        world.change_engines()
    return world, entry


def calls_written(world, seconds, pause=0.1):
    """Ask for calls for some seconds; return the sends that were made."""
    before = len(world.sends())
    for _ in range(round(seconds / pause)):
        world.call()
        world.advance(pause)
    return world.sends()[before:]


@pytest.mark.parametrize('way', NEXT_LIFE)
def test_limit_holds_for_the_next_life_until_it_answers(way):
    """Guards against a burst at an engine that has just started again."""
    world, entry = limited_world()
    world.change_engines(NEXT_LIFE[way](entry))
    sends = calls_written(world, 4.0)
    assert 1 <= len(sends) <= 1 + 4.0 * LIMIT_PER_SECOND
    assert all(s.engine.started_at_ms == SECOND_START for s in sends)


@pytest.mark.parametrize('limit', [LIMIT_PER_SECOND, 0.0])
def test_first_answer_of_the_next_life_ends_the_former_limit(limit):
    """Guards against an engine that is kept to a limit it no longer names."""
    world, entry = limited_world(limit)
    world.change_engines(next_life(entry))
    [send] = calls_written(world, 0.1)
    world.answer(send)
    assert len(calls_written(world, 1.0)) == 10


def test_next_life_of_another_service_has_no_limit():
    """Guards against a limit that follows an address to another service."""
    world, entry = limited_world()
    streams = next(e for e in fleet() if e.service == relay_world.STREAMS)
    other = next_life(streams, engine='i-next', address=entry.address)
    world.change_engines(other)
    assert not world.relay.keeper.is_limited(other.life)


def test_an_engine_whose_successor_answers_a_probe_gets_no_more_requests():
    """Guards against requests to engines that ended, each turned away."""
    world = relay_world.RelayWorld()
    exchange = world.ask()
    send = world.last_send(exchange)
    world.begin(send)
    world.events(send, 1)
    world.now += 1.0
    probed = relay_events.EngineProbed(
        exchange, send.send, False, is_replaced=True
    )
    world.handle(probed)
    told = [action.hint for action in world.of_kind(relay_actions.TellPeers)]
    assert any(isinstance(hint, hints.EngineReplaced) for hint in told)
    ended = send.engine.engine
    later = [world.last_send(world.ask()).engine.engine for _ in range(20)]
    assert ended not in later
