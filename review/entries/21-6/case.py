"""A stop must end in its time also if the process stood still at first."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / 'common'))

import fleet as fleets  # noqa: E402
import wire  # noqa: E402

INSTANCES = 3
ENGINES = 6
# As on the sheet of the site teratak-lb.
CONTACT_S = 3.0
# `roll_term` of the site: one machine after the other, a second apart; here
# two of three. `node_freeze` of the site: one machine for 3.5 s.
ROLL_GAP_SECONDS = 1.0
FREEZE_SECONDS = 3.5
EPISODES = 4
EPISODE_SECONDS = 20.0
CALLS_PER_SECOND = 45.0
CALL_WORK_SECONDS = 0.2
CALL_LIMIT_MS = 1_500
ROUTE_LIMIT_MS = 800
RESTART_SECONDS = 0.5
PING_SECONDS = 1.0
MISSES = 2

rng = random.Random(50)


async def answer(engine, request, channel, headers) -> str:
    """Answer a call whole, after its work."""
    await asyncio.sleep(CALL_WORK_SECONDS)
    seal = {'Engine-Seal': f'{engine.id}.{headers["Request-Id"]}'}
    await wire.write_answer(channel, 200, {**headers, **seal}, b'done')
    return 'whole'


class Balancer:
    """Chooses the node of a new channel, as the platform does in a zone."""

    def __init__(self, instances: list[fleets.Instance]) -> None:
        self.instances = instances
        self.misses = dict.fromkeys([i.name for i in instances], 0)

    async def ping(self, instance: fleets.Instance) -> None:
        """Ask one node again and again whether it is ready."""
        while True:
            began = time.monotonic()
            is_ready = await instance.is_ready()
            name = instance.name
            self.misses[name] = 0 if is_ready else self.misses[name] + 1
            passed = time.monotonic() - began
            await asyncio.sleep(max(0.0, PING_SECONDS - passed))

    def choose(self) -> fleets.Instance:
        """Return a node in rotation, or any if fewer than half are."""
        found = [i for i in self.instances if self.misses[i.name] < MISSES]
        if len(found) < len(self.instances) / 2:
            found = self.instances
        return rng.choice(found)


async def stop(fleet: fleets.Fleet, instance: fleets.Instance) -> float:
    """Send SIGTERM; SIGKILL after the grace; start again. Return when."""
    instance.signal(signal.SIGTERM)
    line = fleet.record.add('SIGTERM', to=instance.name)
    process = instance.process

    async def end() -> None:
        until = time.monotonic() + fleets.GRACE_S
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        if process.poll() is None:
            process.send_signal(signal.SIGKILL)
            fleet.record.add('SIGKILL', to=instance.name)
            process.wait()
        else:
            fleet.record.add('process ended', of=instance.name)
        await asyncio.sleep(RESTART_SECONDS)
        instance.start(fleet.store_address, fleet.peer_port)

    fleet.tasks.append(asyncio.ensure_future(end()))
    return line['at_s']


async def play(fleet: fleets.Fleet, has_trouble: bool) -> list[str]:
    """Stop two of three nodes a second apart; the first stands still."""
    routes = [
        fleets.route(
            'call',
            'booking',
            'unsafe',
            timeout_ms=ROUTE_LIMIT_MS,
            latency_goal_ms=500,
            max_attempts=1,
        )
    ]
    services = [
        {'name': 'booking', 'max_conns': 110, 'health_path': '/health'}
    ]
    await fleet.start(
        INSTANCES,
        {'booking': ENGINES},
        fleets.config(3, routes, services),
        {'booking': answer},
    )
    balancer = Balancer(fleet.instances)
    for instance in fleet.instances:
        pinging = asyncio.ensure_future(balancer.ping(instance))
        fleet.tasks.append(pinging)
    asked = []
    until = time.monotonic() + EPISODES * EPISODE_SECONDS + 2.0

    async def send_calls() -> None:
        while time.monotonic() < until:
            sending = fleet.send(
                balancer.choose(), 'POST', '/call/2f', CALL_LIMIT_MS, {}, b'x'
            )
            asked.append(asyncio.ensure_future(sending))
            await asyncio.sleep(rng.expovariate(CALLS_PER_SECOND))

    calling = asyncio.ensure_future(send_calls())
    await asyncio.sleep(2.0)
    stops = []
    for number in range(EPISODES):
        began = time.monotonic()
        first = fleet.instances[number % INSTANCES]
        second = fleet.instances[(number + 1) % INSTANCES]
        if has_trouble:
            first.signal(signal.SIGSTOP)
            fleet.record.add('freeze', of=first.name)
        stops.append((first.name, await stop(fleet, first)))
        await asyncio.sleep(ROLL_GAP_SECONDS)
        stops.append((second.name, await stop(fleet, second)))
        await asyncio.sleep(FREEZE_SECONDS - ROLL_GAP_SECONDS)
        if has_trouble:
            first.signal(signal.SIGCONT)
            fleet.record.add('freeze over', of=first.name)
        passed = time.monotonic() - began
        await asyncio.sleep(max(0.0, EPISODE_SECONDS - passed))
    await calling
    await asyncio.gather(*asked)
    return judge(fleet.record.lines, stops)


def judge(lines: list[dict], stops: list[tuple[str, float]]) -> list[str]:
    """Return the calls that stops cut, as the rule counts them.

    A call counts if no freeze was under way from CONTACT_S before it was sent
    to its end, and if it was not sent in the first 3 s of the stop.
    """
    sent = {line['id']: line for line in lines if line['what'] == 'sent'}
    ran = {line['id'] for line in lines if line['what'] == 'runs'}
    thaws = {
        (line['of'], line['at_s'])
        for line in lines
        if line['what'] == 'freeze over'
    }
    broken = []
    for line in lines:
        if line['what'] != 'no answer' or line['id'] not in ran:
            continue
        request = sent[line['id']]
        at, ended = request['at_s'], line['at_s']
        if ended - at >= ROUTE_LIMIT_MS / 1000.0:
            continue
        if any(
            abs(at - t) < CONTACT_S for n, t in thaws if n == request['to']
        ):
            continue
        for name, signal_at in stops:
            if name != request['to'] or at - signal_at <= 3.0:
                continue
            if ended <= signal_at + fleets.GRACE_S + 1.0:
                broken.append(
                    f'LOST: call {line["id"]}, sent {at - signal_at:.2f} s '
                    f'after the SIGTERM of {name} and run, got no answer: '
                    f'channel closed at {ended - signal_at:.2f} s'
                )
    return broken


if __name__ == '__main__':
    fleets.main(play)
