"""A planned stop must not cut a stream whose engine makes a pause."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'common'))

import fleet as fleets  # noqa: E402
import wire  # noqa: E402

INSTANCES = 3
ENGINES = 3
# As on the sheet of the site teratak-lb.
KV_TOKENS = 88_000
TOKENS_READ_PER_SECOND = 8_000
# The spread of prompts on the sheet, and its largest ones.
PROMPT_TOKENS = 8_000
PROMPT_SPREAD = 0.3
MOST_PROMPT_TOKENS = 14_400
TOKENS_PER_EVENT = 6
LIMIT_MS = 25_000
EVENTS = 130
EVENT_SECONDS = 0.037
# Memory of one engine suffices for nine such streams.
STREAMS_PER_SECOND = 7.0
URGENT_SHARE = 0.5
PRIORITIES = {'draft': 5, 'urgent': 0}
ROUNDS = 4
ROUND_SECONDS = 17.0
# The stop comes after so many seconds of a round.
STOP_AFTER_SECONDS = 6.0
SENDING_SECONDS = 11.0
LAST_SIXTH_FROM = fleets.GRACE_S * 5 / 6
STEP_SECONDS = 0.01

rng = random.Random(50)


class Run:
    """One stream on an engine."""

    def __init__(self, request_id: str, tokens: int, priority: int) -> None:
        self.id = request_id
        self.tokens = tokens
        self.priority = priority
        self.is_in_memory = False


class Memory:
    """The memory of one engine; the newest run yields when it runs out."""

    def __init__(self, engine: fleets.Engine) -> None:
        self.engine = engine
        self.admitted: list[Run] = []
        self.waiting: list[Run] = []

    @property
    def used(self) -> int:
        """Return the tokens in memory."""
        return sum(run.tokens for run in self.admitted)

    async def read(self, run: Run, *, first: bool) -> None:
        """Wait in turn until there is room, then read the prompt.

        More urgent requests come first, and preempt others.
        """
        place = [r.priority for r in self.waiting if first or r is not run]
        ahead = sum(p < run.priority + first for p in place)
        self.waiting.insert(ahead, run)
        try:
            while self.waiting[0] is not run or not self.has_room(run):
                await asyncio.sleep(STEP_SECONDS)
        finally:
            self.waiting.remove(run)
        self.admitted.append(run)
        run.is_in_memory = True
        await asyncio.sleep(run.tokens / TOKENS_READ_PER_SECOND)

    def has_room(self, run: Run) -> bool:
        """Return whether a run fits, if need be in place of others."""
        while self.used + run.tokens > KV_TOKENS:
            worst = max(r.priority for r in self.admitted)
            if worst <= run.priority:
                return False
            self.preempt(worst)
        return True

    def preempt(self, priority: int) -> None:
        """Take the newest run of a priority out of memory."""
        newest = [r for r in self.admitted if r.priority == priority][-1]
        self.admitted.remove(newest)
        newest.is_in_memory = False
        self.engine.fleet.record.add(
            'preempted', id=newest.id, engine=self.engine.id
        )

    def grow(self, run: Run) -> None:
        """Count the tokens of one event; preempt if they do not fit."""
        run.tokens += TOKENS_PER_EVENT
        while self.used > KV_TOKENS:
            self.preempt(max(r.priority for r in self.admitted))

    def forget(self, run: Run) -> None:
        """Free the memory of a run that is over."""
        if run in self.admitted:
            self.admitted.remove(run)


memories: dict[str, Memory] = {}


async def generate(engine, request, channel, headers) -> str:
    """Read the prompt, then write events; a preempted run makes a pause."""
    memory = memories.setdefault(engine.id, Memory(engine))
    tokens = int(request.headers['token-counts'].partition(',')[0])
    priority = int(request.headers.get('request-priority', '5'))
    run = Run(headers['Request-Id'], tokens, priority)
    try:
        await memory.read(run, first=True)
        wire.write_head(
            channel,
            200,
            {
                **headers,
                'Engine-Seal': f'{engine.id}.{run.id}',
                'Content-Type': 'text/event-stream',
                'Transfer-Encoding': 'chunked',
            },
        )
        for number in range(1, EVENTS + 1):
            while not run.is_in_memory:
                await memory.read(run, first=False)
                engine.fleet.record.add(
                    'goes on', id=run.id, engine=engine.id, event=number
                )
            wire.write_chunk(channel, b'id: %d\ndata: word\n\n' % number)
            await channel.writer.drain()
            memory.grow(run)
            await asyncio.sleep(EVENT_SECONDS)
        wire.write_chunk(channel, b'')
        await channel.writer.drain()
        return 'whole'
    finally:
        memory.forget(run)


def draw_prompt_tokens() -> int:
    """Return the size of a prompt."""
    drawn = rng.gauss(PROMPT_TOKENS, PROMPT_SPREAD * PROMPT_TOKENS)
    return int(min(MOST_PROMPT_TOKENS, max(1_000, drawn)))


async def play(fleet: fleets.Fleet, has_trouble: bool) -> list[str]:
    """Send streams, and stop one instance after the other."""
    common = {
        'timeout_ms': LIMIT_MS,
        'latency_goal_ms': 4_500,
        'gap_aim_ms': 700,
        'max_attempts': 5,
        'resumable': False,
        'sticky': True,
    }
    routes = [
        fleets.route(name, 'drafter', 'streaming', **common, priority=priority)
        for name, priority in PRIORITIES.items()
    ]
    model = {
        'slots': 32,
        'kv_capacity': KV_TOKENS,
        'backups': True,
        'moves': True,
        'handle_s': 4.0,
    }
    services = [
        {
            'name': 'drafter',
            'max_conns': 240,
            'health_path': '/health',
            'engine': model,
        }
    ]
    await fleet.start(
        INSTANCES,
        {'drafter': ENGINES},
        fleets.config(3, routes, services),
        {'drafter': generate},
    )
    await asyncio.sleep(2.0)
    stops = []
    asked = []
    for number in range(ROUNDS):
        began = asyncio.get_running_loop().time()
        stopped = fleet.instances[number % INSTANCES]
        is_stopped = False
        out = set()
        while True:
            passed = asyncio.get_running_loop().time() - began
            if passed > SENDING_SECONDS:
                break
            if passed > STOP_AFTER_SECONDS and not is_stopped:
                is_stopped = True
                if has_trouble:
                    stopped.signal(signal.SIGTERM)
                    line = fleet.record.add('SIGTERM', to=stopped.name)
                    stops.append((stopped.name, line['at_s']))
                    out.add(stopped.name)
            ready = [i for i in fleet.instances if i.name not in out]
            part = rng.randbytes(4).hex()
            tokens = draw_prompt_tokens()
            is_urgent = rng.random() < URGENT_SHARE
            sending = fleet.send(
                rng.choice(ready),
                'POST',
                '/urgent/2f' if is_urgent else '/draft/2f',
                LIMIT_MS,
                {
                    'Model': 'm',
                    'Token-Counts': f'{tokens},{TOKENS_PER_EVENT * EVENTS}',
                    'Prompt-Prefix': f'5c1e07a2:200,{part}:{tokens - 200}',
                },
                b'a prompt',
            )
            asked.append(asyncio.ensure_future(sending))
            await asyncio.sleep(rng.expovariate(STREAMS_PER_SECOND))
        await asyncio.sleep(
            max(0.0, began + ROUND_SECONDS - asyncio.get_running_loop().time())
        )
        if has_trouble:
            stopped.process.wait()
            stopped.start(fleet.store_address, fleet.peer_port)
            while not await stopped.is_ready():
                await asyncio.sleep(0.1)
    await asyncio.gather(*asked)
    return judge(fleet.record.lines, stops)


def judge(lines: list[dict], stops: list[tuple[str, float]]) -> list[str]:
    """Return the streams that planned stops cut, as the rule counts them."""
    sent = {line['id']: line for line in lines if line['what'] == 'sent'}
    ran = {line['id'] for line in lines if line['what'] == 'runs'}
    broken = []
    for line in lines:
        if line['what'] not in ('answered', 'no answer'):
            continue
        request = sent[line['id']]
        is_whole = line['what'] == 'answered' and line['whole']
        if is_whole or line['id'] not in ran:
            continue
        if line['at_s'] - request['at_s'] >= LIMIT_MS / 1000.0:
            continue
        for name, at in stops:
            since = line['at_s'] - at
            if name == request['to'] and 0 <= since < LAST_SIXTH_FROM:
                broken.append(
                    f'LOST: stream {line["id"]}, cut {since:.2f} s after '
                    f'the SIGTERM of {name}, with '
                    f'{line.get("events", 0)} of {EVENTS} events'
                )
    return broken


if __name__ == '__main__':
    fleets.main(play)
