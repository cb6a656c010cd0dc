"""Where runs and their copies are put."""

from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from tests.common import relay_world


def test_run_and_copy_stand_on_both_sides_of_the_data_centre():
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


def test_prompts_do_not_wait_for_one_another_while_engines_idle():
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


def test_cut_link_is_found_out_by_few_requests():
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


def test_copy_is_not_put_where_engines_have_just_died():
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
