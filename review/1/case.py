"""A stream that may not be resumed must not run again after a 500."""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'common'))

import fleet as fleets  # noqa: E402
import wire  # noqa: E402

ENGINES = 18
# `srv_grey` on the site: a share of 0.14 of the engines for 6.5 s. That many
# of 18 engines are two; 0.4 is the share of requests that `kinds` names.
GREY_ENGINES = 2
GREY_SHARE = 0.4
GREY_SECONDS = 6.5
EPISODES = 4
PAUSE_SECONDS = 3.0
STREAMS_PER_SECOND = 8.0
EVENTS = 20
EVENT_SECONDS = 0.03
READING_SECONDS = 0.15

rng = random.Random(50)
grey: set[str] = set()


async def generate(engine, request, channel, headers) -> str:
    """Answer a stream; a grey engine fails a part of them with a 500."""
    await asyncio.sleep(READING_SECONDS)
    seal = {'Engine-Seal': f'{engine.id}.{headers["Request-Id"]}'}
    if engine.id in grey and rng.random() < GREY_SHARE:
        await wire.write_answer(
            channel, 500, {**headers, **seal}, b'{"error":"internal"}'
        )
        return '500'
    wire.write_head(
        channel,
        200,
        {
            **headers,
            **seal,
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        },
    )
    for number in range(1, EVENTS + 1):
        wire.write_chunk(channel, b'id: %d\ndata: word\n\n' % number)
        await channel.writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    wire.write_chunk(channel, b'')
    await channel.writer.drain()
    return 'whole'


async def play(fleet: fleets.Fleet, has_trouble: bool) -> list[str]:
    """Send streams while some engines fail a part of them."""
    routes = [
        fleets.route(
            'draft',
            'drafter',
            'streaming',
            timeout_ms=25_000,
            latency_goal_ms=4_500,
            gap_aim_ms=700,
            max_attempts=5,
            resumable=False,
            sticky=True,
        )
    ]
    services = [
        {
            'name': 'drafter',
            'max_conns': 240,
            'health_path': '/health',
            'engine': {'slots': 32, 'kv_capacity': 88_000},
        }
    ]
    await fleet.start(
        3,
        {'drafter': ENGINES},
        fleets.config(3, routes, services),
        {'drafter': generate},
    )
    await asyncio.sleep(2.0)
    asked = []
    for episode in range(EPISODES):
        if has_trouble:
            chosen = rng.sample(fleet.engines, GREY_ENGINES)
            grey.update(engine.id for engine in chosen)
            fleet.record.add('grey', engines=sorted(grey))
        for number in range(int(GREY_SECONDS * STREAMS_PER_SECOND)):
            part = rng.randbytes(4).hex()
            sending = fleet.send(
                fleet.instances[(episode + number) % 3],
                'POST',
                '/draft/2f',
                25_000,
                {
                    'Model': 'm',
                    'Token-Counts': '1000,120',
                    'Prompt-Prefix': f'5c1e07a2:200,{part}:800',
                },
                b'a prompt',
            )
            asked.append(asyncio.ensure_future(sending))
            await asyncio.sleep(1.0 / STREAMS_PER_SECOND)
        grey.clear()
        fleet.record.add('grey no more')
        await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.gather(*asked)
    runs = collections.Counter(
        line['id'] for line in fleet.record.lines if line['what'] == 'runs'
    )
    return [
        f'TWICE: stream {request} may not be resumed and ran {count} times'
        for request, count in runs.items()
        if count > 1
    ]


if __name__ == '__main__':
    fleets.main(play)
