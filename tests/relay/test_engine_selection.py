"""Selection of engines for streams and for copies of their memory."""

import collections

from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from tests.common import relay_world


def test_run_and_copy_are_placed_in_different_data_centres():
    """All engines of a data centre fail at once, or its links are cut.

    If a run and its copy were both inside or both outside the instance's data
    centre, one such failure would lose both.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=4))
    for _ in range(12):
        send = world.last_send(world.ask())
        places = {send.engine.data_centre, send.copy_to.data_centre}
        assert 'north' in places
        assert len(places) == 2


def test_prompts_are_spread_over_idle_engines():
    """Each local engine reads a prompt while remote engines are idle.

    A stream that queues at a local engine gets its first token a second later,
    and all streams there stall while two prompts are read.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=3))
    for _ in range(10):
        world.ask()
        world.advance(0.05)
    used = [send.engine.engine for send in world.sends()]
    assert len(set(used)) == 9


def test_few_requests_time_out_on_a_cut_link():
    """The link to other data centres is cut.

    Each connection attempt there times out after a quarter of a second. A
    stream that tries several engines behind the cut stalls for seconds.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=6))
    for number in range(24):
        exchange = world.ask()
        if number >= 20:
            break
    timeouts = 0
    while (send := world.last_send(exchange)).engine.data_centre != 'north':
        timeouts += 1
        world.advance(0.25)
        world.lose(send, 'connect: TimeoutError', handed_over=False)
    assert timeouts <= 4


def test_engine_full_of_copies_gets_no_run_while_others_have_room():
    """An engine's memory is full of copies of other engines' runs.

    A run that is sent there waits for many seconds until they are gone, though
    other engines have free memory.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=2))
    for number in range(10):
        hint = hints.RunPlaced(number, 'elsewhere', 8_780, 0, 'model-north-0')
        world.handle(relay_events.PeerTold('other', hint))
    for _ in range(6):
        send = world.last_send(world.ask())
        assert send.engine.engine != 'model-north-0'


def test_copy_is_not_placed_in_a_failing_data_centre():
    """All engines of a data centre crash, but stay listed for seconds.

    A copy placed on one that has not been tried since is lost at once, and the
    stream then has no copy at the next failure.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=4))
    for engine in ('model-north-0', 'model-north-1'):
        world.handle(
            relay_events.PeerTold('other', hints.EngineFailed(engine))
        )
    for _ in range(8):
        send = world.last_send(world.ask())
        assert send.engine.data_centre != 'north'
        assert send.copy_to.data_centre != 'north'


def create_large_fleet(number, hinted):
    """Return simulated instances that all know of the same runs."""
    worlds = [
        relay_world.RelayWorld(relay_world.fleet(per_place=15), seed=seed)
        for seed in range(number)
    ]
    for world in worlds:
        for run, (engine, copy_to) in enumerate(hinted):
            hint = hints.RunPlaced(run, engine, 8_780, 0, copy_to)
            world.handle(relay_events.PeerTold('other', hint))
    return worlds


def max_on_one_engine(engines):
    """Return the number of choices of the most chosen engine."""
    return max(collections.Counter(engines).values())


def test_streams_lost_together_are_spread_over_engines():
    """Thirty instances each lose a stream when a data centre fails.

    They choose other engines within a millisecond, before any hears of the
    others' choices. If all prompts went to the few least loaded engines, which
    read one in a second, callers would wait six seconds instead of one.
    """
    busy = [
        (f'model-{place}-{number}', '')
        for place in ('south', 'west')
        for number in range(2, 15)
        for _ in range(2)
    ]
    chosen = []
    for world in create_large_fleet(30, busy):
        exchange = world.ask()
        first = world.last_send(exchange)
        for number in range(15):
            hint = hints.EngineFailed(f'model-north-{number}')
            world.handle(relay_events.PeerTold('other', hint))
        world.lose(first)
        chosen.append(world.last_send(exchange).engine.engine)
    assert max_on_one_engine(chosen) <= 7


def test_copies_lost_together_are_spread_over_engines():
    """Thirty instances lose the engine that holds their copies.

    All order another copy at the same time. On the same, emptiest engine most
    copies would not fit, and the prompts of those streams would be read again
    after the next loss.
    """
    names = [
        f'model-{place}-{number}'
        for place in relay_world.PLACES
        for number in range(14)
    ]
    held = [(name, name) for name in names]
    chosen = []
    for world in create_large_fleet(30, held):
        send = world.last_send(world.ask())
        chosen.append(send.copy_to.engine)
    assert max_on_one_engine(chosen) <= 12
