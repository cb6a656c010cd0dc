"""Requests that crash engines, through the product's own API.

Each is sent again under a new id, with a key of its own or none, after it has
crashed what ran it.
"""

import collections
import dataclasses

import pytest

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.sharing import broken_runs
from greengagelb.coordination.sharing import crash_guard
from greengagelb.protocol import peer_api
from greengagelb.state import configuration
from greengagelb.state import crashes as crash_state
from greengagelb.state import fleet
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.state import timeline
from tests.common import call_world
from tests.common import generations
from tests.common import members

PROMPT = 'what crashes engines'
# How many engines one request may crash.
MAX_ENGINES = 3
ROUNDS = 8


def crash_busy_engines(world):
    """Crash the engines that run something; return how many."""
    world.deliver_all()
    engines = [
        engine
        for engine in world.engines.values()
        if any(not run.ended for run in engine.runs.values())
    ]
    for engine in engines:
        engine.generate(1)
        world.deliver_all()
        engine.kill()
    world.deliver_all()
    world.report()
    return len(engines)


def ask(world, service, prompt=PROMPT, shared_parts=()):
    """Let a new caller send the request that crashes engines, or another."""
    number = next(world.numbers)
    request = identity.RequestId('teratak', f'r{number}')
    caller = generations.Caller(
        request, service, prompt, shared_parts=shared_parts
    )
    world.callers.append(caller)
    world.ask(caller, 'i1')
    return caller


def test_a_generation_is_recognized_under_another_id():
    """Guards against a prompt that ends engine after engine."""
    world = generations.World(engines=4)
    world.report()
    crashed = 0
    for _ in range(ROUNDS):
        caller = ask(world, 'draft')
        while caller.waits:
            crashed += crash_busy_engines(world)
            world.pass_time(0.25)
            for engine in world.engines.values():
                engine.come_back()
            world.report()
        world.pass_time(2.0)
    assert crashed <= MAX_ENGINES
    failure = caller.finals[-1].failure
    assert failure.code == 'request-crashes-engines'
    assert failure.retry_after


def crash_engines_with_part(world, number, tokens=0, seconds=0.0):
    """Send a new request with the crashing message; return the crashes.

    Engines end after they have written some tokens, or read for a while.
    """
    parts = ('system: be brief', 'user: what crashes engines')
    caller = ask(world, 'draft', f'{number}', parts)
    crashed = 0
    while caller.waits:
        world.deliver_all()
        busy = [
            engine
            for engine in world.engines.values()
            if any(not run.ended for run in engine.runs.values())
        ]
        crashed += len(busy)
        world.pass_time(seconds)
        for engine in busy:
            engine.generate(tokens)
            world.deliver_all()
            engine.kill()
        world.deliver_all()
        world.report()
        world.pass_time(0.25)
        for engine in world.engines.values():
            engine.come_back()
        world.report()
    world.pass_time(2.0)
    return crashed, caller


def serve_with_part(world, number, *parts):
    """Have a sound request answered; return its caller."""
    caller = ask(world, 'draft', f'sound {number}', parts)
    world.deliver_all()
    for engine in world.engines.values():
        engine.generate(generations.MOST_TOKENS)
    world.deliver_all()
    return caller


@pytest.mark.parametrize(
    ('tokens', 'seconds'),
    [(0, 0.0), (0, 0.8), (1, 0.0), (1, 0.8), (3, 0.0)],
    ids=['at once', 'as it reads', 'token', 'late token', 'tokens'],
)
def test_a_message_that_crashes_engines_is_recognized_in_other_prompts(
    tokens, seconds
):
    """Guards against prompts alike in one message that end all engines."""
    world = generations.World(engines=4)
    world.report()
    serve_with_part(world, 0, 'system: be brief')
    crashed = 0
    for number in range(ROUNDS):
        more, caller = crash_engines_with_part(world, number, tokens, seconds)
        crashed += more
    # After three crashes of one request another one shows that it is the part.
    assert 0 < crashed <= MAX_ENGINES + 1
    failure = caller.finals[-1].failure
    assert failure.code == 'request-crashes-engines'
    sound = serve_with_part(world, 1, 'system: be brief')
    assert sound.tokens


def upstream_report(name, life):
    """Return the report of an upstream in one of its lives."""
    return events.UpstreamReported(
        identity.EngineId(name, str(life)), '', '', '', 0, 0, 0.0, False
    )


def report(world, home, name, life):
    """Deliver the report of an upstream's present life to an instance."""
    world.deliver(home, upstream_report(name, life))


def crash_call(world, exchange, lives):
    """Crash the upstream that runs a call, if one does."""
    running = [d for d in world.dispatches if d.exchange is exchange]
    for dispatch in running:
        world.dispatches.remove(dispatch)
        dispatch.ran = True
        broken = events.CallBroken(
            exchange.number, 'lost', True, dispatch.try_number
        )
        world.deliver(dispatch.home, broken)
        lives[dispatch.upstream] += 1
        name = dispatch.upstream
        report(world, dispatch.home, name, lives[name])
    return len(running)


def crashed_by_calls(service, has_key):
    """Return how many upstreams a call crashes, and its last answer."""
    world = call_world.World(instances=1)
    [home] = world.instances
    lives = collections.Counter()
    for number in range(3):
        report(world, home, f'plain-{number}', 0)
    crashed = 0
    for number in range(ROUNDS):
        exchange = world.submit(
            home, service, key=f'k{number}', has_key=has_key
        )
        while not exchange.answers:
            for write in list(world.writes):
                world.answer_write(write)
            crashed += crash_call(world, exchange, lives)
            world.advance(0.1)
        world.advance(10.0)
    return crashed, exchange.answers[-1]


def test_a_call_is_recognized_under_another_id():
    """Guards against an idempotent call that ends an upstream per attempt."""
    crashed, answer = crashed_by_calls(call_world.LOOKUP, has_key=False)
    assert crashed <= MAX_ENGINES
    assert isinstance(answer, actions.SendFailure)
    assert answer.failure.code == 'request-crashes-engines'


def test_a_keyed_call_is_recognized_under_another_key():
    """Guards against a charge that ends an upstream with each new key."""
    crashed, answer = crashed_by_calls(call_world.CHARGE, has_key=True)
    assert crashed <= MAX_ENGINES
    assert answer.failure.code == 'request-crashes-engines'


def test_a_reset_probe_is_repeated():
    """Guards against a crash that is never detected.

    A process that is ending may still accept the connection of the probe and
    reset it.
    """
    world = call_world.World(instances=1)
    [home] = world.instances
    world.submit(home, call_world.LOOKUP, has_key=False)
    [dispatch] = world.dispatches
    name = dispatch.upstream
    report(world, home, name, 0)
    lost = events.CallBroken(dispatch.exchange.number, 'lost', True, 1)
    world.deliver(home, lost)
    assert world.probes == [name]
    world.deliver(home, events.UpstreamUnreachable(name))
    world.advance(0.2)
    assert world.probes == [name, name]
    world.deliver(home, events.UpstreamUnreachable(name, refused=True))
    assert world.kinds['engine-crashed'] == 1


def test_probes_of_an_unreachable_upstream_are_bounded():
    """Guards against endless probes of an upstream that is cut off."""
    world = call_world.World(instances=1)
    [home] = world.instances
    world.submit(home, call_world.LOOKUP, has_key=False)
    [dispatch] = world.dispatches
    lost = events.CallBroken(dispatch.exchange.number, 'lost', True, 1)
    world.deliver(home, lost)
    for _ in range(10):
        world.deliver(home, events.UpstreamUnreachable(dispatch.upstream))
        world.advance(0.2)
    assert len(world.probes) == broken_runs.MAX_PROBES
    assert world.kinds['engine-crashed'] == 0


def test_suspected_crashes_count_together():
    """Guards against a fourth engine while three are still being probed.

    The answers of ending engines may take longer than the next attempts.
    """
    guard = crash_guard.ProductCrashGuard()
    request = requests.CallRequest(
        1, identity.RequestId('teratak', 'r'), 'lookup', 'look', b'', 99.0
    )
    for number in range(3):
        assert not guard.must_not_run(request, 10.0 + number)
        name = f'plain-{number}'
        upstream = configuration.Upstream(name, '127.0.0.1', 1, 'kl-1')
        began = 10.0 + number
        guard.suspect_upstream(request, upstream, 'life', began, began + 0.1)
    assert guard.must_not_run(request, 13.0)
    guard.handle_report(upstream_report('plain-1', 'life'), 13.0)
    assert not guard.must_not_run(request, 13.0)


def test_repeated_broken_connections_to_one_upstream_count_once():
    """Guards against blocking for connections that break in sequence."""
    guard = crash_guard.ProductCrashGuard()
    request = requests.CallRequest(
        1, identity.RequestId('teratak', 'r'), 'lookup', 'look', b'', 99.0
    )
    upstream = configuration.Upstream('plain', '127.0.0.1', 1, 'kl-1')
    for number in range(5):
        began = 10.0 + number
        guard.suspect_upstream(request, upstream, 'life', began, began + 0.1)
    assert not guard.must_not_run(request, 15.0)


def test_other_prompts_are_served_while_one_is_blocked():
    """Guards against an account refused for one of its requests."""
    world = generations.World(engines=4)
    world.report()
    for _ in range(3):
        caller = ask(world, 'draft')
        while caller.waits:
            crash_busy_engines(world)
            world.pass_time(0.25)
            for engine in world.engines.values():
                engine.come_back()
            world.report()
        world.pass_time(2.0)
    other = world.submit('draft')
    world.serve(generations.MOST_TOKENS + 2)
    assert isinstance(other.finals[-1], actions.SendEnd)


def test_a_broken_connection_is_not_a_crash():
    """Guards against prompts blocked for broken connections."""
    world = generations.World(engines=4)
    world.report()
    for _ in range(6):
        caller = ask(world, 'draft')
        world.serve(1)
        world.engine_of(caller).break_connections(
            world.stream_of(caller).attempt.attempt_id
        )
        world.pass_time(0.1)
        world.report()
        world.leave(caller, noticed=True)
        world.pass_time(1.0)
    caller = ask(world, 'draft')
    world.serve(generations.MOST_TOKENS + 2)
    assert isinstance(caller.finals[-1], actions.SendEnd)
    assert 'engine-crashed' not in world.kinds()


def test_a_completed_generation_is_no_suspect():
    """Guards against blocking prompts on engines that others crashed."""
    world = generations.World(engines=4)
    world.report()
    for _ in range(4):
        caller = ask(world, 'draft')
        crash_busy_engines(world)
        world.pass_time(0.25)
        for engine in world.engines.values():
            engine.come_back()
        world.report()
        world.serve(generations.MOST_TOKENS + 2)
        assert isinstance(caller.finals[-1], actions.SendEnd)


SUSPECT = crash_state.SuspectRequest(
    'f',
    tuple(crash_state.Crash(f'e{n} x', 90.0 + n, 90.1 + n) for n in range(3)),
    float('-inf'),
    100.0,
)


def joined_network(count):
    """Return a network of a data centre whose members know each other."""
    network = members.Network()
    everyone = [members.peer(number) for number in range(count)]
    for who in everyone:
        member = network.start(who)
        network.deliver(
            member,
            member.apply_instance_list(members.listed(*everyone), network.now),
        )
    network.run(8)
    return network


def find_suspect(network, number):
    """Let an instance find a suspect."""
    member = network.members[members.peer(number).address]
    own = dataclasses.replace(member.own_state, suspects=(SUSPECT,))
    network.deliver(member, member.update_own_state(own, network.now))


def heard_of(network, who):
    """Return the last report that an instance received, or None."""
    found = [
        report
        for event in network.reports[who.incarnation]
        if isinstance(event, events.CrashReportsReceived)
        for report in event.reports
    ]
    return found[-1] if found else None


def test_other_instances_are_told_of_a_crash_at_once():
    """Guards against instances that count only crashes they see."""
    network = joined_network(3)
    find_suspect(network, 0)
    for number in (1, 2):
        report = heard_of(network, members.peer(number))
        assert [c.life for c in report.crashes] == ['e0 x', 'e1 x', 'e2 x']
        assert report.crashes[-1].age == network.now - 92.1


def test_a_started_instance_is_told_of_earlier_crashes():
    """Guards against a restart that sends a blocked request to engines."""
    network = joined_network(3)
    find_suspect(network, 0)
    network.run(120)
    started = members.peer(1, start=1)
    member = network.start(started, [members.peer(0).address])
    network.deliver(member, member.tick(network.now))
    assert heard_of(network, started) is not None


def test_an_instance_is_told_of_crashes_after_a_partition():
    """Guards against a verdict that some instances miss in a partition."""
    network = joined_network(3)
    pairs = [
        {members.peer(2).address, members.peer(n).address} for n in (0, 1)
    ]
    network.cut.update(map(frozenset, pairs))
    find_suspect(network, 0)
    network.run(50)
    assert heard_of(network, members.peer(2)) is None
    network.cut.clear()
    network.run(members.INTERVAL)
    assert heard_of(network, members.peer(2)) is not None


def test_crash_reports_per_heartbeat_are_bounded():
    """Guards against oversized heartbeats after a crash of many requests."""
    many = [
        dataclasses.replace(SUSPECT, fingerprint=f'f{n}') for n in range(500)
    ]
    told = crash_guard.heartbeat_reports(tuple(many), 101.0, include_all=True)
    assert len(told) == crash_guard.MAX_REPORTS_PER_HEARTBEAT


def test_reports_cross_the_wire_between_instances():
    report = crash_state.build_crash_report(SUSPECT, 101.0)
    sender = members.peer(0)
    sent = fleet.Heartbeat(
        sender, 1, False, timeline.Stamp(1, 0), crash_reports=(report,)
    )
    codec = peer_api.PeerCodec('secret')
    frame = codec.seal_message(peer_api.to_message(sent))
    read = peer_api.to_heartbeat(codec.open_frame(frame))
    assert read.crash_reports == (report,)
