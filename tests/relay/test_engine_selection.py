"""Where runs and their copies are put."""

import collections

from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from tests.common import relay_world


def test_run_and_copy_are_placed_in_different_data_centres():
    """A data centre's engines die together, and links are cut.

    With a run and its copy both inside or both outside of its instance's data
    centre, one such event would take the two of them.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=4))
    for _ in range(12):
        send = world.last_send(world.ask())
        places = {send.engine.data_centre, send.copy_to.data_centre}
        assert 'north' in places
        assert len(places) == 2


def test_prompts_are_spread_over_idle_engines():
    """Engines nearby read a prompt each while those far off idle.

    A stream that queues nearby gets its first token a second later, and all
    streams there stand still while two prompts are read.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=3))
    for _ in range(10):
        world.ask()
        world.advance(0.05)
    used = [send.engine.engine for send in world.sends()]
    assert len(set(used)) == 9


def test_few_requests_time_out_on_a_cut_link():
    """The link to other data centres is cut.

    Connections there time out after a quarter of a second each. A stream that
    tries one engine after the other behind the cut stands still for seconds.
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
    """Copies of other engines' runs fill an engine's memory.

    A run that is sent there waits until they are gone, for many seconds,
    although its neighbour has room.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=2))
    for number in range(10):
        hint = hints.Placed(number, 'elsewhere', 8_780, 0, 'model-north-0')
        world.handle(relay_events.PeerTold('other', hint))
    for _ in range(6):
        send = world.last_send(world.ask())
        assert send.engine.engine != 'model-north-0'


def test_copy_is_not_placed_in_a_failing_data_centre():
    """A data centre's engines crash together.

    Their entries stay in the list for seconds. A copy that is sent to one that
    nobody has tried since is lost before it begins, and so is the stream at
    the next failure.
    """
    world = relay_world.RelayWorld(relay_world.fleet(per_place=4))
    for engine in ('model-north-0', 'model-north-1'):
        world.handle(relay_events.PeerTold('other', hints.Failed(engine)))
    for _ in range(8):
        send = world.last_send(world.ask())
        assert send.engine.data_centre != 'north'
        assert send.copy_to.data_centre != 'north'


def create_large_fleet(number, hinted):
    """Return worlds of instances that all know of the same runs."""
    worlds = [
        relay_world.RelayWorld(relay_world.fleet(per_place=15), seed=seed)
        for seed in range(number)
    ]
    for world in worlds:
        for run, (engine, copy_to) in enumerate(hinted):
            hint = hints.Placed(run, engine, 8_780, 0, copy_to)
            world.handle(relay_events.PeerTold('other', hint))
    return worlds


def max_on_one_engine(engines):
    """Return how many of some choices fell on the same engine."""
    return max(collections.Counter(engines).values())


def test_streams_lost_together_are_spread_over_engines():
    """A data centre's engines die, and a stream of each of thirty instances.

    All choose another engine within the same millisecond, before any can hear
    of the others. The few engines with the least work would get all of the
    prompts, one after the other, and their callers wait six seconds instead of
    one. Streams of this size take turns of a second each at an engine.
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
            hint = hints.Failed(f'model-north-{number}')
            world.handle(relay_events.PeerTold('other', hint))
        world.lose(first)
        chosen.append(world.last_send(exchange).engine.engine)
    assert max_on_one_engine(chosen) <= 7


def test_copies_lost_together_are_spread_over_engines():
    """The engine dies that holds copies for thirty instances.

    Each orders another copy at the same moment. Put on the emptiest engine by
    all of them, most would find no room there, and their streams would be read
    again at the next loss.
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
