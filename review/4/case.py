"""The address of a lost engine is used again while an instance is frozen."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import standins  # noqa: E402

ROUNDS = 12
ROUND_SECONDS = 8.0
FREEZE_SECONDS = 0.6
# From the start of the freeze until the engine falls silent.
LOST_AFTER_SECONDS = 0.1
REUSED_AFTER_SECONDS = standins.ADDRESS_REUSE_SECONDS + 0.05
# An entry is removed after three heartbeats of silence.
LAPSE_SECONDS = 3 * standins.HEARTBEAT_SECONDS
SECONDS_BETWEEN_STREAMS = 0.06
EVENTS = b'90'
PATH = '/drafts-streaming/a'


async def ask_for_streams(world: standins.World) -> None:
    """Have callers ask for streams all the time."""
    asked = set()
    number = 0
    # The tasks are kept, as the event loop itself does not keep them.
    while True:
        number += 1
        asking = world.ask_once(number, PATH, body=EVENTS, deadline_ms=25_000)
        asked.add(asyncio.create_task(asking))
        await asyncio.sleep(SECONDS_BETWEEN_STREAMS)


async def lose_engine(
    world: standins.World, instance: standins.Instance, has_trouble: bool
) -> None:
    """Have an engine fall silent, and another service get its address."""
    record = world.record
    lost = random.choice(
        [e for e in world.engines if e.service == 'drafts' and not e.is_dark]
    )
    if has_trouble:
        record.note(f'{instance.name} is stopped')
        instance.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(LOST_AFTER_SECONDS)
    record.note(f'{lost.identity} falls silent')
    lost.is_dark = True
    lost.is_registered = False
    silent_at = standins.now()
    await asyncio.sleep(FREEZE_SECONDS - LOST_AFTER_SECONDS)
    instance.process.send_signal(signal.SIGCONT)
    record.note(f'{instance.name} goes on')
    await asyncio.sleep(silent_at + REUSED_AFTER_SECONDS - standins.now())
    lost.server.close()
    other = await world.add_engine('booking', lost.port)
    record.note(f'{other.identity} (booking) starts at {other.address}')
    await asyncio.sleep(silent_at + LAPSE_SECONDS - standins.now())
    world.store.remove('servers', lost.identity)
    await world.add_engine('drafts')


async def case(world: standins.World, has_trouble: bool) -> bool:
    """Return whether an engine of bookings ran a stream."""
    config = standins.usual_config()
    config['services'][0]['engine']['moves'] = False
    await world.start({'drafts': 7, 'booking': 3}, config)
    world.tasks.append(asyncio.create_task(ask_for_streams(world)))
    for number in range(ROUNDS):
        until = standins.now() + ROUND_SECONDS
        instance = world.instances[number % len(world.instances)]
        await lose_engine(world, instance, has_trouble)
        await asyncio.sleep(until - standins.now())
    wrong = [
        request
        for engine in world.engines
        if engine.service == 'booking'
        for _, request in engine.arrivals
        if request.target == PATH
    ]
    world.record.note(f'{len(wrong)} streams were run by engines of booking')
    return bool(wrong)


if __name__ == '__main__':
    sys.exit(standins.play(case, FOLDER))
