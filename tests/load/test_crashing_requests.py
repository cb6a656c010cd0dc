"""A relayed request that crashes each engine that runs it is sent repeatedly.

Each crash ends everything that the engine was doing. The caller sends the same
request again under a new id, and the load balancer gives it to any instance.
"""

import itertools
import random

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import fleet
from greengagelb.coordination.relay import loads
from greengagelb.coordination.sharing import broken_runs
from greengagelb.state.relay import hints
from tests.common import crashing_fleet
from tests.common import relay_world

# The operators' bound on how often engines get the request after the instances
# need to know of the third crash.
MAX_RETRIES = 3


@pytest.mark.parametrize('size', [3, 30])
@pytest.mark.parametrize('kind', ['stream', 'query', 'call'])
def test_a_request_that_crashed_three_engines_is_blocked(size, kind):
    """Guards against one request that ends engine after engine."""
    played = crashing_fleet.CrashingFleet(size)
    played.ask_again_and_again(kind, seconds=30.0, every=1.5)
    assert len(played.crashes) >= 3
    assert played.retries_after_the_third_crash() <= MAX_RETRIES


@pytest.mark.parametrize('loss', [0.1, 0.5])
def test_all_instances_learn_of_a_crash_despite_lost_datagrams(loss):
    """Guards against instances that never learn what the others know."""
    played = crashing_fleet.CrashingFleet(30, loss=loss)
    played.ask_again_and_again('stream', seconds=20.0, every=0.7)
    assert len(played.crashes) >= 3
    played.run(crashing_fleet.CONTACT_SECONDS)
    assert all(played.refuses(instance) for instance in played.instances)
    assert played.retries_after_the_third_crash() <= MAX_RETRIES


def test_a_data_centre_learns_of_blocks_after_a_network_partition():
    """Guards against a verdict that some instances miss in a partition."""
    played = crashing_fleet.CrashingFleet(12)
    played.cut.add('west')
    outside = [i for i in played.instances if i.own.data_centre != 'west']
    while len(played.crashes) < 3:
        played.ask(
            'stream', crashing_fleet.CRASHING, played.rng.choice(outside)
        )
        played.run(5.0)
    played.run(60.0)
    played.cut.clear()
    played.run(crashing_fleet.CONTACT_SECONDS)
    assert all(played.refuses(instance) for instance in played.instances)


def test_a_started_instance_learns_of_blocks():
    """Guards against a restart that sends a blocked request to engines."""
    played = crashing_fleet.CrashingFleet(6)
    played.ask_again_and_again('stream', seconds=10.0, every=1.5)
    played.store.clear()
    played.restart(2)
    played.run(crashing_fleet.CONTACT_SECONDS)
    assert played.refuses(played.instances[2])


def test_blocks_survive_a_restart_of_all_instances():
    """Guards against a power loss after which engines are crashed again."""
    played = crashing_fleet.CrashingFleet(6)
    played.ask_again_and_again('stream', seconds=10.0, every=1.5)
    for instance in played.instances:
        instance.alive = False
    played.run(5.0)
    for number in range(6):
        played.restart(number)
    played.run(1.0)
    assert all(played.refuses(instance) for instance in played.instances)


def test_requests_next_to_a_crashing_one_are_served():
    """Guards against harmless requests blocked with the crashing one.

    They run on the same engines, several of which end under each of them.
    """
    played = crashing_fleet.CrashingFleet(6, per_place=3)
    served = []
    for number in range(120):
        kind = ('stream', 'query', 'call')[number % 3]
        body = b'innocent %d' % number
        played.after(
            number * 0.2, lambda *a: served.append(played.ask(*a)), kind, body
        )
    played.ask_again_and_again('stream', seconds=12.0, every=1.0)
    played.ask_again_and_again('query', seconds=12.0, every=1.0)
    played.run(30.0)
    assert len(played.crashes) >= 3
    codes = [getattr(i.answers[n], 'code', '') for i, n in served]
    assert answers.CRASHES_ENGINES not in codes


def test_a_power_loss_of_a_data_centre_blocks_no_request():
    """Guards against a popular lookup blocked for a power loss.

    It was running on all engines there, and is repeated while they are down.
    """
    played = crashing_fleet.CrashingFleet(6, per_place=3)
    for _ in range(4):
        for instance in played.instances:
            played.ask('query', b'popular', instance)
            played.ask('stream', b'popular', instance)
        played.run(0.015)
        for engine in list(played.engines.values()):
            if engine.entry.data_centre == 'north':
                played.crash(engine)
        played.run(6.0)
    popular = [played.ask('query', b'popular', i) for i in played.instances]
    played.run(1.0)
    for instance, exchange in popular:
        assert isinstance(instance.answers[exchange], relay_actions.PassAnswer)


def lone_world():
    """Return an instance that may use all of the shared retry budget."""
    world = relay_world.RelayWorld()
    world.relay.budget.set_fleet_size(1)
    return world


def test_a_broken_connection_is_not_a_crash():
    """Guards against connection resets that block a request."""
    world = lone_world()
    for _ in range(6):
        exchange = world.ask(body=b'x')
        send = world.last_send(exchange)
        world.begin(send)
        world.lose(send)
        check = world.of_kind(relay_actions.CheckEngine)[-1]
        world.handle(
            relay_events.EngineChecked(
                check.entry, relay_events.EngineFate.ALIVE
            )
        )
        world.leave(exchange)
        world.advance(5.0)
    assert world.sends(world.ask(body=b'x'))
    assert not world.refusals()
    assert not world.relay.crash_watch.records.histories


def test_a_request_not_yet_begun_on_a_crashed_engine_is_no_suspect():
    """Guards against prompts that are blocked while they are read.

    The engines end under another request, which had begun there.
    """
    world = lone_world()
    waiting = world.ask(body=b'waiting')
    for _ in range(3):
        begun = world.ask(body=b'begun')
        crash_under(world, world.last_send(begun))
        world.lose(world.last_send(waiting))
        world.leave(begun)
    assert world.refusals(world.ask(body=b'begun'))
    assert len(world.relay.crash_watch.records.histories) == 1


def crash_under(world, send):
    """Crash the engine of a send just after it has begun."""
    world.now += 0.1
    world.begin(send)
    world.now += 0.03
    world.lose(send)
    check = world.of_kind(relay_actions.CheckEngine)[-1]
    world.handle(
        relay_events.EngineChecked(check.entry, relay_events.EngineFate.ENDED)
    )


def test_a_blocked_request_is_refused_at_once_with_retry_after():
    """Guards against callers that wait or retry in vain."""
    world = lone_world()
    exchange = world.ask(body=b'x')
    for _ in range(3):
        crash_under(world, world.last_send(exchange))
    [failed] = world.refusals(exchange)
    assert (failed.status, failed.code) == (502, answers.CRASHES_ENGINES)
    again = world.ask(body=b'x')
    [refused] = world.refusals(again)
    assert (refused.status, refused.code) == (503, answers.CRASHES_ENGINES)
    assert 590.0 < refused.retry_after <= 600.0
    assert not world.sends(again)
    world.advance(refused.retry_after + 1.0)
    assert world.sends(world.ask(body=b'x'))


def test_other_sends_of_a_blocked_request_are_abandoned():
    """Guards against crashes of engines that still read its prompt."""
    world = lone_world()
    reading = world.ask(body=b'x')
    other = world.ask(body=b'y')
    exchange = world.ask(body=b'x')
    for _ in range(3):
        crash_under(world, world.last_send(exchange))
    [failed] = world.refusals(reading)
    assert (failed.status, failed.code) == (502, answers.CRASHES_ENGINES)
    assert world.of_kind(relay_actions.AbandonSend, reading)
    assert not world.refusals(other)


def test_a_possible_third_crash_is_checked_before_a_fourth_send():
    """Guards against a fourth crash while the third engine is checked."""
    world = lone_world()
    exchange = world.ask(body=b'x')
    for _ in range(2):
        crash_under(world, world.last_send(exchange))
    third = world.last_send(exchange)
    world.now += 0.1
    world.begin(third)
    world.lose(third)
    assert world.last_send(exchange) is third
    check = world.of_kind(relay_actions.CheckEngine)[-1]
    world.handle(
        relay_events.EngineChecked(check.entry, relay_events.EngineFate.ALIVE)
    )
    assert world.last_send(exchange) is not third


def test_a_completed_run_clears_a_suspect():
    """Guards against requests that stay suspects for crashes of others."""
    world = lone_world()
    exchange = world.ask(body=b'x')
    for _ in range(2):
        crash_under(world, world.last_send(exchange))
    last = world.last_send(exchange)
    world.begin(last)
    world.events(last, 1)
    world.complete(last)
    again = world.ask(body=b'x')
    for _ in range(2):
        crash_under(world, world.last_send(again))
    assert not world.refusals()


@pytest.mark.parametrize(
    'answer', [{'status': 500}, {'sealed': False}], ids=['failure', 'unsigned']
)
def test_a_failed_run_does_not_clear_a_suspect(answer):
    """Guards against crashes forgotten for an engine that wrote no answer.

    An engine that fails before it begins to write has survived nothing.
    """
    world = lone_world()
    world.lose(world.last_send(world.query(body=b'x')))
    [check] = world.of_kind(relay_actions.CheckEngine)
    world.handle(
        relay_events.EngineChecked(check.entry, relay_events.EngineFate.ENDED)
    )
    world.answer(world.last_send(world.query(body=b'x')), **answer)
    [history] = world.relay.crash_watch.records.histories.values()
    assert history.crashes


def test_an_unanswered_engine_check_is_repeated():
    """Guards against crashes that are not counted as a check was lost.

    A process that is ending may reset several checks in a row, so there is a
    pause between them.
    """
    world = lone_world()
    send = world.last_send(world.ask(body=b'x'))
    world.begin(send)
    world.lose(send)
    for asked in range(1, 4):
        checks = world.of_kind(relay_actions.CheckEngine)
        assert len(checks) == asked
        world.handle(
            relay_events.EngineChecked(
                checks[-1].entry, relay_events.EngineFate.UNKNOWN
            )
        )
        assert len(world.of_kind(relay_actions.CheckEngine)) == asked
        world.advance(0.1)
    assert len(world.of_kind(relay_actions.CheckEngine)) == 3
    relay_world.leave_checks_unanswered(
        world, broken_runs.BROKEN_RUN_TTL_SECONDS + 2.0
    )
    asked = len(world.of_kind(relay_actions.CheckEngine))
    assert asked <= 3 + broken_runs.BROKEN_RUN_TTL_SECONDS
    assert not world.relay.crash_watch.checks


def test_an_engine_that_gives_no_answer_counts_once_it_has_a_successor():
    """Guards against crashes forgotten as nobody answers for the engine."""
    world = lone_world()
    send = world.last_send(world.ask(body=b'x'))
    world.begin(send)
    world.lose(send)
    relay_world.leave_checks_unanswered(world, 2.0)
    assert not world.relay.crash_watch.records.histories
    replaced = hints.EngineReplaced(send.engine.engine, 'next')
    world.handle(relay_events.PeerTold('peer', replaced))
    relay_world.leave_checks_unanswered(world, 1.1)
    assert len(world.relay.crash_watch.records.histories) == 1
    assert not world.relay.crash_watch.checks


def test_heartbeats_of_instances_started_together_spread_out():
    """Guards against repairs that wait for a burst of all heartbeats.

    Two hundred instances send a heartbeat every five seconds each. If all did
    so at the same moment, an instance that missed a datagram would wait that
    long.
    """
    rng = random.Random(1)
    found = fleet.FleetView(loads.RunLoads(), 'own')
    found.present_incarnations = {f'other{n}' for n in range(199)}
    ends = [0.0] * 200
    for _ in range(4):
        ends = sorted(found.next_heartbeat_at(end, rng) for end in ends)
    gaps = [after - before for before, after in itertools.pairwise(ends)]
    assert ends[-1] - ends[0] > found.heartbeat_seconds
    assert max(gaps) < 1.0


def test_two_hundred_instances_learn_of_the_third_crash_in_time():
    """Guards against a fleet in which reports take longer than allowed."""
    large = crashing_fleet.CrashingFleet(200, per_place=10, loss=0.05)
    large.ask_again_and_again('query', seconds=4.0, every=1.0)
    assert len(large.crashes) == 3
    large.run(crashing_fleet.CONTACT_SECONDS)
    assert all(large.refuses(one, 'query') for one in large.instances)
