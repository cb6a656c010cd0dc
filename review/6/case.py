"""Streams that an engine runs which has just started again under its id."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import standins  # noqa: E402

CALLERS = 36
ROUNDS = 3
EVENTS = 60
EVENT_SECONDS = 0.03
DOWN_SECONDS = 0.2
# The route allows pauses of 0.7 s.
PAUSE_SECONDS = 0.55
PAUSE_AFTER = 40
SETTLE_SECONDS = 4.0
# So many channels may be closed without an answer.
MOST_LOST = 3


class PausingEngine(standins.Engine):
    """An engine that makes one pause within each stream."""

    async def run(
        self, request: standins.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Write a stream with a pause that its route allows."""
        if self.service != 'drafts':
            await super().run(request, writer)
            return
        await asyncio.sleep(0.1)
        head = (
            'HTTP/1.1 200 X',
            f'Request-Id: {request.id}',
            f'Engine-Seal: {self.identity}.{request.id}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        )
        writer.write('\r\n'.join([*head, '', '']).encode())
        for number in range(1, EVENTS + 1):
            event = f'id: {number}\ndata: {request.id}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            is_pause = number == PAUSE_AFTER
            await asyncio.sleep(PAUSE_SECONDS if is_pause else EVENT_SECONDS)
        writer.write(b'0\r\n\r\n')
        self.world.record.note(f'{self.identity} ends {request.id}')


async def case(world: standins.World, has_trouble: bool) -> bool:
    """Return whether channels were closed without an answer."""
    standins.Engine = PausingEngine
    config = standins.usual_config()
    # No copies of runs, so that nothing but probes tells of an engine.
    config['services'][0]['engine'] |= {'backups': False, 'moves': False}
    config['routes'].append(
        config['routes'][0]
        | {'name': 'once', 'prefix': '/once/', 'resumable': False}
    )
    await world.start({'drafts': 6, 'booking': 2}, config)
    lost = 0
    engine = world.engines[0]
    for _ in range(ROUNDS):
        callers = []
        for number in range(CALLERS):
            instance = world.instances[number % len(world.instances)]
            caller = await standins.Caller(world, instance).open()
            await caller.ask('/booking-safe/a')
            callers.append(caller)
        if has_trouble:
            engine.crash()
            world.record.note(f'{engine.identity} crashes; it runs nothing')
            await asyncio.sleep(DOWN_SECONDS)
            engine.born = int(standins.time.time() * 1000)
            engine.heartbeats = 0
            await engine.listen()
            engine.is_registered = True
            engine.register()
            world.record.note(f'{engine.identity} starts again')
        await asyncio.gather(
            *(caller.ask('/once/a', b'x', 25_000) for caller in callers)
        )
        lost += sum(caller.is_closed for caller in callers)
        await asyncio.sleep(SETTLE_SECONDS)
    world.record.note(
        f'{lost} of {ROUNDS * CALLERS} channels were closed without a whole '
        'answer'
    )
    return lost > MOST_LOST


if __name__ == '__main__':
    sys.exit(standins.play(case, FOLDER))
