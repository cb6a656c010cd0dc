"""Resume latency and extra resource use, by kind of failure and by policy.

    .venv/bin/python -m measure.recovery --seed 1 --rounds 3

Each round starts a fleet on loopback, streams answers, lets one engine fail
in the middle and prints, as JSON, the time from the failure until each
affected stream went on and the engine work beyond that of a failure-free
run. The same prompts and seeds serve all policies. A baseline that restarts
each broken answer from scratch is measured beside them.
"""

import argparse
import dataclasses
import http.client
import json
import pathlib
import random
import signal
import statistics
import threading
import time
from typing import Any

from greengagelb.cli import launcher
from greengagelb.protocol import codec
from measure import deployment
from tests.common import callers
from tests.common import fleet

SECRET = b'the-secret-of-the-test-fleet'
TOKENS = 600
FREEZE_SECONDS = 4.0
FAILING_AFTER_SECONDS = 0.6
POLICIES = {
    'latency-first': {
        'stall_factor': 10.0,
        'least_stall': 0.06,
        'most_stall': 0.5,
        'spare_attempt': True,
    },
    'default': {},
    'resources-first': {
        'stall_factor': 100.0,
        'least_stall': 1.0,
        'most_stall': 3.0,
    },
    'fixed-timeout': {'stall_factor': 1.0, 'least_stall': 2.0},
}
FAILURES = ('none', 'kill', 'freeze', 'silence')


@dataclasses.dataclass
class TimedEvent:
    """An event's arrival (monotonic seconds) and its raw lines."""

    arrived_at: float
    event_id: str
    data: str


class TimedCaller(threading.Thread):
    """Reads one streamed answer and notes when each event came."""

    def __init__(self, port: int, caller: callers.StreamCaller) -> None:
        super().__init__(daemon=True)
        self.port = port
        self.caller = caller
        self.raw: list[TimedEvent] = []

    def run(self) -> None:
        """Read until the stream ends; parsing waits until afterwards."""
        connection = http.client.HTTPConnection(
            fleet.HOST, self.port, timeout=30
        )
        headers = fleet.bearer(self.caller.key)
        connection.request(
            'POST',
            '/v1/chat/completions',
            json.dumps(self.caller.body()),
            headers,
        )
        answer = connection.getresponse()
        event_id = ''
        while line := answer.readline():
            if line.startswith(b'id: '):
                event_id = line[4:-1].decode()
            if line.startswith(b'data: '):
                now = time.monotonic()
                self.raw.append(TimedEvent(now, event_id, line[6:-1].decode()))
        connection.close()

    def replay(self) -> None:
        """Check the answer as a caller would have read it."""
        for timed in self.raw:
            data = timed.data
            parsed = data if data == '[DONE]' else json.loads(data)
            kind = 'error' if 'code' in parsed else ''
            self.caller.take(callers.StreamEvent(kind, timed.event_id, parsed))

    def resumed_after(self, failed_at: float) -> float | None:
        """Return the seconds until the stream went on with a new attempt.

        Where the same attempt went on over a new connection, the longest gap
        that follows the failure counts.
        """
        seal = codec.CursorSeal(SECRET)
        attempt = ''
        for timed in self.raw:
            if not timed.event_id:
                continue
            now = seal.open_point(timed.event_id).attempt
            if attempt and now != attempt and timed.arrived_at > failed_at:
                return timed.arrived_at - failed_at
            attempt = now
        return None

    def longest_gap_after(self, failed_at: float) -> float:
        """Return the longest time without a token since the failure."""
        times = [failed_at]
        times += [t.arrived_at for t in self.raw if t.arrived_at > failed_at]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        return max(gaps, default=0.0)


@dataclasses.dataclass
class Round:
    """The figures of one round."""

    policy: str
    failure: str
    latencies: list[float]
    streams: int
    right_answers: int
    steps: int
    prompt_tokens: int
    instance_seconds: float
    instance_bytes: int


def processor_seconds(process: launcher.LaunchedProcess) -> float:
    """Return the processor time that a process has used."""
    path = pathlib.Path(f'/proc/{process.popen.pid}/stat')
    fields = path.read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def resident_bytes(process: launcher.LaunchedProcess) -> int:
    """Return the memory that a process holds."""
    path = pathlib.Path(f'/proc/{process.popen.pid}/statm')
    return int(path.read_text().split()[1]) * 4096


def report_of(process: launcher.LaunchedProcess) -> Any:
    """Return an engine's report."""
    return fleet.ask(process.port, '/v1/report').json()


def fail(running: fleet.Fleet, name: str, failure: str) -> float:
    """Let an engine fail and return when."""
    process = running.engines[name]
    match failure:
        case 'kill':
            process.send_signal(signal.SIGKILL)
        case 'freeze':
            process.send_signal(signal.SIGSTOP)
        case 'silence':
            fleet.ask(process.port, '/standin/faults', {'silent': True})
    return time.monotonic()


def run_round(
    policy: str, failure: str, seed: int, size: deployment.Deployment
) -> Round:
    """Run one fleet through one failure."""
    rng = random.Random(seed)
    with deployment.running_fleet(size, POLICIES[policy]) as running:
        return observe(
            running, sample_prompts(rng, size), policy, failure, rng
        )


def sample_prompts(
    rng: random.Random, size: deployment.Deployment
) -> list[str]:
    """Return one prompt for each stream."""
    return [f'{rng.random()} ' * 20 for _ in range(size.streams)]


def observe(
    running: fleet.Fleet,
    prompts: list[str],
    policy: str,
    failure: str,
    rng: random.Random,
) -> Round:
    """Stream all answers, fail one engine and collect the figures."""
    ports = [process.port for process in running.instances.values()]
    before = sum(map(processor_seconds, running.instances.values()))
    threads = [
        TimedCaller(
            ports[number % len(ports)], callers.StreamCaller(prompt, TOKENS)
        )
        for number, prompt in enumerate(prompts)
    ]
    for thread in threads:
        thread.start()
    failed_at, reports = fail_one_engine(running, threads, failure, rng)
    for thread in threads:
        thread.replay()
    return Round(
        policy,
        failure,
        latencies_of(threads, failure, failed_at),
        len(threads),
        sum(t.caller.tokens == t.caller.right_answer() for t in threads),
        sum(report['steps'] for report in reports),
        sum(report['prompt_tokens'] for report in reports),
        sum(map(processor_seconds, running.instances.values())) - before,
        max(map(resident_bytes, running.instances.values())),
    )


def fail_one_engine(
    running: fleet.Fleet,
    threads: list[threading.Thread],
    failure: str,
    rng: random.Random,
) -> tuple[float, list[Any]]:
    """Let one engine fail, wait for all streams, return when and reports."""
    time.sleep(FAILING_AFTER_SECONDS)
    victim = rng.choice(sorted(running.engines))
    lost = report_of(running.engines[victim])
    failed_at = fail(running, victim, failure)
    if failure == 'freeze':
        time.sleep(FREEZE_SECONDS)
        running.engines[victim].send_signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    time.sleep(1.0)
    alive = [p for p in running.engines.values() if p.popen.poll() is None]
    reports = [report_of(process) for process in alive]
    if failure == 'kill':
        reports.append(lost)
    return failed_at, reports


def latencies_of(
    threads: list[TimedCaller], failure: str, failed_at: float
) -> list[float]:
    """Return the resume latencies of the streams that were hit."""
    if failure == 'silence':
        gaps = [thread.longest_gap_after(failed_at) for thread in threads]
        return [gap for gap in gaps if gap > 0.1]
    found = (thread.resumed_after(failed_at) for thread in threads)
    return [seconds for seconds in found if seconds is not None]


class ScratchCaller(threading.Thread):
    """The baseline: asks engines itself, and anew after each break."""

    def __init__(
        self, ports: list[int], prompt: str, first: int, timeout: float
    ) -> None:
        super().__init__(daemon=True)
        self.ports = ports
        self.prompt = prompt
        self.next = first
        self.timeout = timeout
        self.arrivals: list[tuple[float, int]] = []

    def run(self) -> None:
        """Try engines in turn until one gives the whole answer."""
        for attempt in range(10):
            port = self.ports[self.next % len(self.ports)]
            self.next += 1
            try:
                if self.read(port, attempt):
                    return
            except OSError:
                continue

    def read(self, port: int, attempt: int) -> bool:
        """Read one attempt; true if it was whole."""
        order = {
            'account': 'a',
            'request': self.prompt,
            'generation': attempt,
            'attempt': str(attempt),
            'model': 'm',
            'version': '1',
            'adapter': '',
            'prompt': self.prompt,
            'received': [],
            'most_tokens': TOKENS,
            'priority': 2,
            'deadline_seconds': 60.0,
        }
        connection = http.client.HTTPConnection(
            fleet.HOST, port, timeout=self.timeout
        )
        connection.request('POST', '/v1/generate', json.dumps(order))
        answer = connection.getresponse()
        while line := answer.readline():
            if line.startswith(b'event: ended'):
                return True
            if line.startswith(b'data: '):
                batch = json.loads(line[6:])
                position = batch['position'] + len(batch['tokens'])
                self.arrivals.append((time.monotonic(), position))
        return False

    @property
    def is_whole(self) -> bool:
        """Return whether the last attempt brought all tokens."""
        return bool(self.arrivals) and self.arrivals[-1][1] == TOKENS

    def caught_up_after(self, failed_at: float) -> float | None:
        """Return the seconds until a token came that was new to the caller."""
        before = [p for at, p in self.arrivals if at <= failed_at]
        reached = max(before, default=0)
        fell_back = False
        for at, position in self.arrivals:
            if at <= failed_at:
                continue
            fell_back = fell_back or position < reached
            if fell_back and position > reached:
                return at - failed_at
            reached = max(reached, position) if not fell_back else reached
        return None


def run_scratch_baseline(
    failure: str, seed: int, size: deployment.Deployment
) -> Round:
    """Run the baseline that restarts each broken answer from scratch."""
    rng = random.Random(seed)
    with deployment.running_fleet(size, {}) as running:
        ports = [process.port for process in running.engines.values()]
        threads = [
            ScratchCaller(ports, prompt, number, timeout=2.0)
            for number, prompt in enumerate(sample_prompts(rng, size))
        ]
        for thread in threads:
            thread.start()
        failed_at, reports = fail_one_engine(running, threads, failure, rng)
        found = (thread.caught_up_after(failed_at) for thread in threads)
        return Round(
            'restart-from-scratch',
            failure,
            [seconds for seconds in found if seconds is not None],
            len(threads),
            sum(thread.is_whole for thread in threads),
            sum(report['steps'] for report in reports),
            sum(report['prompt_tokens'] for report in reports),
            0.0,
            0,
        )


def summary(rounds: list[Round], base: Round) -> dict[str, Any]:
    """Return the figures of all rounds of one policy and failure."""
    latencies = sorted(s for one in rounds for s in one.latencies)
    count = len(rounds)
    steps = sum(one.steps for one in rounds) / count
    prompt = sum(one.prompt_tokens for one in rounds) / count
    return {
        'policy': rounds[0].policy,
        'failure': rounds[0].failure,
        'streams_hit': len(latencies),
        'right_answers': f'{sum(o.right_answers for o in rounds)}'
        f'/{sum(one.streams for one in rounds)}',
        'latency_p50': percentile(latencies, 0.5),
        'latency_p95': percentile(latencies, 0.95),
        'latency_max': latencies[-1] if latencies else None,
        'extra_steps': round(steps / base.steps - 1, 4),
        'extra_prompt_tokens': round(prompt / base.prompt_tokens - 1, 4),
        'instance_seconds': round(
            statistics.mean(one.instance_seconds for one in rounds), 2
        ),
        'instance_megabytes': max(o.instance_bytes for o in rounds) // 10**6,
    }


def percentile(values: list[float], share: float) -> float | None:
    """Return a percentile of sorted values, in milliseconds of precision."""
    if not values:
        return None
    index = min(len(values) - 1, int(share * len(values)))
    return round(values[index], 4)


def main() -> None:
    """Run all policies against all failures and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=2)
    parser.add_argument(
        '--deployment', type=pathlib.Path, help='a file of deployments/'
    )
    parser.add_argument(
        '--policies',
        default=','.join(POLICIES),
        help='names, or "own" for that of the deployment',
    )
    parser.add_argument('--failures', default=','.join(FAILURES[1:]))
    arguments = parser.parse_args()
    size = deployment.SMALL
    if arguments.deployment:
        size = deployment.read_deployment(arguments.deployment)
    policies = arguments.policies.split(',')
    if arguments.policies == 'own':
        policies = [size.policy]
    base = run_round(policies[0], 'none', arguments.seed, size)
    print(json.dumps(summary([base], base)), flush=True)
    seeds = range(arguments.seed, arguments.seed + arguments.rounds)
    for failure in arguments.failures.split(','):
        for policy in policies:
            rounds = [run_round(policy, failure, n, size) for n in seeds]
            print(json.dumps(summary(rounds, base)), flush=True)
        rounds = [run_scratch_baseline(failure, n, size) for n in seeds]
        print(json.dumps(summary(rounds, base)), flush=True)


if __name__ == '__main__':
    main()
