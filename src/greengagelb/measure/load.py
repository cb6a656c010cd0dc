"""Sharing, routing and overload, measured on the real decisions.

    python -m greengagelb.measure.load EXPERIMENT --seed N

``routing`` compares policies on one workload with engines that are slow, die
and return. ``isolation`` compares an account's results with and without an
aggressor, ``overload`` the goodput at multiples of capacity. Each prints one
JSON document; all time in it is virtual.
"""

import argparse
from collections.abc import Callable
import dataclasses
import functools
import json
import random
import sys
import time

from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.measure import baselines
from greengagelb.measure import virtual_fleet
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.state import requests

ENGINES = 6
SLOTS = 8
INSTANCES = 3
STEP_SECONDS = 0.02
WARM_UP_SECONDS = 20.0
DRAIN_SECONDS = 40.0
HANG_UP_SECONDS = 0.3
LONG_TOKENS = 200
SHORT_TOKENS = 10
PROMPT_CHARACTERS = 4000
PREFIXES_PER_ACCOUNT = 6
LONG_DEADLINE_SECONDS = 20.0
SHORT_DEADLINE_SECONDS = 2.0
SHORT_SHARE = 0.3

MakePolicy = Callable[[node.Node], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """One account's arrivals, as a Poisson process of ``rate`` a second."""

    account: str
    rate: float
    short_share: float = SHORT_SHARE
    poison: bool = False
    hangs_up: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Something that happens to an engine at a time."""

    at: float
    engine: str
    kind: str


def keep_policy(changed: node.Node) -> None:
    """Leave a node as it is."""


def round_robin(changed: node.Node) -> None:
    """Have a node take the engines in turn."""
    baselines.replace_directory(
        changed, baselines.RoundRobin(changed.directory.rng)
    )


def least_reported(changed: node.Node) -> None:
    """Have a node take the engine with the lowest report."""
    baselines.replace_directory(
        changed, baselines.LeastReported(changed.directory.rng)
    )


def fleet_configuration(
    accounts: list[str], most_wait: float = 0.0
) -> configuration_state.Configuration:
    """Return one pool that serves drafts and quick answers."""
    kind = configuration_state.ServiceKind.GENERATION
    services = (
        configuration_state.Service(
            'draft', kind, 'engines', most_wait=most_wait
        ),
        configuration_state.Service(
            'quick',
            kind,
            'engines',
            priority=configuration_state.Priority.SHORT,
        ),
    )
    upstreams = tuple(
        configuration_state.Upstream(f'e{number}', '127.0.0.1', 1, 'dc')
        for number in range(ENGINES)
    )
    pool = configuration_state.Pool(
        'engines', upstreams, 'm', '1', slots_per_upstream=SLOTS
    )
    return configuration_state.Configuration(
        version=1,
        accounts=tuple(
            configuration_state.ClientAccount(name, '', ('draft', 'quick'))
            for name in accounts
        ),
        services=services,
        pools=(pool,),
    )


def capacity_rate(short_share: float = SHORT_SHARE) -> float:
    """Return the arrivals a second that fill all places, prompts uncached."""
    prompt = (
        PROMPT_CHARACTERS
        / virtual_fleet.CHARACTERS_PER_TOKEN
        * virtual_fleet.SECONDS_PER_PROMPT_TOKEN
    )
    long = prompt + 0.65 * LONG_TOKENS * STEP_SECONDS
    short = prompt / 10 + 0.65 * SHORT_TOKENS * STEP_SECONDS
    mean = short_share * short + (1 - short_share) * long
    return ENGINES * SLOTS / mean


class Workload:
    """Sends the sources' requests to random instances of a fleet."""

    def __init__(
        self, fleet: virtual_fleet.VirtualFleet, seed: int, seconds: float
    ) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.count = 0

    def start(self, sources: list[Source]) -> None:
        """Plan all arrivals."""
        for source in sources:
            at = self.rng.expovariate(source.rate)
            while at < self.seconds:
                submit = functools.partial(
                    self.submit, source, self.rng.getrandbits(32)
                )
                self.fleet.time.call_at(at, submit)
                at += self.rng.expovariate(source.rate)

    def submit(self, source: Source, seed: int) -> None:
        """Send one request; its shape depends on ``seed`` only."""
        rng = random.Random(seed)
        now = self.fleet.time.now
        self.count += 1
        number = self.count
        short = rng.random() < source.short_share
        most = SHORT_TOKENS if short else LONG_TOKENS
        wait = SHORT_DEADLINE_SECONDS if short else LONG_DEADLINE_SECONDS
        request = requests.GenerationRequest(
            number,
            identity.RequestId(source.account, f'r{number}'),
            'quick' if short else 'draft',
            self.prompt(source, short, rng),
            most,
            now + wait,
        )
        length = max(1, round(most * rng.uniform(0.3, 1.0)))
        self.fleet.lengths[request.request] = length
        self.fleet.outcomes[number] = virtual_fleet.Outcome(
            source.account, request.service, now, length, request.deadline
        )
        instance = rng.choice(self.fleet.instances)
        instance.handle(events.GenerationSubmitted(request))
        if source.hangs_up:
            gone = events.CallerGone(number)
            self.fleet.time.call_later(
                HANG_UP_SECONDS, functools.partial(instance.handle, gone)
            )

    def prompt(self, source: Source, short: bool, rng: random.Random) -> str:
        """Return a prompt; long ones share one of the account's prefixes."""
        if source.poison:
            return virtual_fleet.POISON
        if short:
            return 'q' * (PROMPT_CHARACTERS // 10)
        prefix = rng.randrange(PREFIXES_PER_ACCOUNT)
        return f'{source.account} {prefix} '.ljust(PROMPT_CHARACTERS, 'p')


def run(
    seed: int,
    sources: list[Source],
    seconds: float,
    policy: MakePolicy,
    faults: tuple[Fault, ...] = (),
    most_wait: float = 0.0,
) -> virtual_fleet.VirtualFleet:
    """Run a workload under a policy, and return what came of it."""
    accounts = sorted({source.account for source in sources})
    fleet = virtual_fleet.VirtualFleet(
        seed,
        fleet_configuration(accounts, most_wait),
        INSTANCES,
        STEP_SECONDS,
    )
    for instance in fleet.instances:
        policy(instance.node)
    fleet.start()
    for fault in faults:
        fleet.time.call_at(fault.at, functools.partial(strike, fleet, fault))
    Workload(fleet, seed, seconds).start(sources)
    fleet.time.run_until(seconds + DRAIN_SECONDS)
    return fleet


def strike(fleet: virtual_fleet.VirtualFleet, fault: Fault) -> None:
    """Let a fault happen."""
    engine = fleet.engines[fault.engine]
    match fault.kind:
        case 'slow':
            engine.step_seconds = 4 * engine.base_step
        case 'fast':
            engine.step_seconds = engine.base_step
        case 'kill':
            engine.kill()
        case 'return':
            engine.come_back()
        case 'freeze':
            engine.frozen = True
        case 'thaw':
            engine.frozen = False


# -- figures ----------------------------------------------------------------


def quantile(values: list[float], part: float) -> float | None:
    """Return a quantile in seconds, or None of nothing."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))], 3)


def counted(outcomes: list[virtual_fleet.Outcome]) -> list:
    """Return the outcomes of requests that came after the warm-up."""
    return [o for o in outcomes if o.arrived_at >= WARM_UP_SECONDS]


def summary(
    outcomes: list[virtual_fleet.Outcome], seconds: float
) -> dict[str, object]:
    """Return the figures of some requests."""
    seen = counted(outcomes)
    waits = [
        o.first_token_at - o.arrived_at
        for o in seen
        if o.first_token_at is not None
    ]
    failures: dict[str, int] = {}
    for outcome in seen:
        code = outcome.failure or ('' if outcome.ended_at else 'no-answer')
        if code:
            failures[code] = failures.get(code, 0) + 1
    refused = [
        o.ended_at - o.arrived_at
        for o in seen
        if o.failure and o.first_token_at is None and o.ended_at is not None
    ]
    # By the time of their end: what is let in late ends in the drain.
    tokens = sum(
        o.tokens
        for o in outcomes
        if o.good and WARM_UP_SECONDS <= o.ended_at < seconds
    )
    return {
        'requests': len(seen),
        'good': sum(o.good for o in seen),
        'goodput': round(tokens / (seconds - WARM_UP_SECONDS), 1),
        'first_token_p50': quantile(waits, 0.5),
        'first_token_p95': quantile(waits, 0.95),
        'first_token_p99': quantile(waits, 0.99),
        'failures': dict(sorted(failures.items())),
        'refusal_p50': quantile(refused, 0.5),
        'refusal_p99': quantile(refused, 0.99),
    }


def refused_late(outcomes: list[virtual_fleet.Outcome]) -> int:
    """Return how many failed some time after they came."""
    return sum(
        bool(o.failure)
        and o.ended_at - o.arrived_at > virtual_fleet.TICK_SECONDS
        for o in counted(outcomes)
    )


def summary_by_service(
    outcomes: list[virtual_fleet.Outcome], seconds: float
) -> dict[str, object]:
    """Return the figures of each service."""
    return {
        service: summary(
            [o for o in outcomes if o.service == service], seconds
        )
        for service in ('quick', 'draft')
    }


def work(fleet: virtual_fleet.VirtualFleet) -> dict[str, object]:
    """Return what the engines did."""
    engines = fleet.engines.values()
    return {
        'attempts_beyond_first': fleet.attempts - len(fleet.started),
        'prompt_tokens': sum(e.prompt_tokens for e in engines),
        'resumed_prompt_tokens': sum(e.resumed_tokens for e in engines),
        'generated': sum(e.generated for e in engines),
        'busy_seconds': round(sum(e.busy_seconds for e in engines), 1),
    }


# -- experiments ------------------------------------------------------------

ROUTING_FAULTS = (
    Fault(20.0, 'e0', 'slow'),
    Fault(40.0, 'e1', 'kill'),
    Fault(45.0, 'e2', 'kill'),
    Fault(50.0, 'e3', 'freeze'),
    Fault(55.0, 'e3', 'thaw'),
    Fault(60.0, 'e1', 'return'),
    Fault(65.0, 'e2', 'return'),
    Fault(70.0, 'e0', 'fast'),
)


def routing_experiment(seed: int, seconds: float) -> dict[str, object]:
    """Compare ways to choose an engine on one workload."""
    rate = 0.6 * capacity_rate()
    sources = [Source(f'a{number}', rate / 5) for number in range(5)]
    policies: dict[str, MakePolicy] = {
        'round-robin': round_robin,
        'least-reported': least_reported,
        'policy': keep_policy,
    }
    figures: dict[str, object] = {}
    for name, policy in policies.items():
        fleet = run(seed, sources, seconds, policy, ROUTING_FAULTS)
        outcomes = list(fleet.outcomes.values())
        figures[name] = summary_by_service(outcomes, seconds) | {
            'work': work(fleet)
        }
    return figures


def isolation_experiment(seed: int, seconds: float) -> dict[str, object]:
    """Compare a victim's results beside each kind of aggressor."""
    rate = capacity_rate()
    calm = [Source('victim', 0.2 * rate)]
    calm += [Source(f'b{number}', 0.1 * rate) for number in range(2)]
    aggressors = {
        'none': [],
        'flood': [Source('aggressor', 3 * rate, short_share=0.1)],
        'failing': [Source('aggressor', 0.2 * rate, poison=True)],
        'hanging-up': [Source('aggressor', 3 * rate, hangs_up=True)],
    }
    policies: dict[str, MakePolicy] = {
        'naive': baselines.make_naive,
        'policy': keep_policy,
    }
    figures: dict[str, object] = {}
    for name, policy in policies.items():
        results = {}
        for kind, added in aggressors.items():
            fleet = run(seed, calm + added, seconds, policy)
            victims = [
                o for o in fleet.outcomes.values() if o.account == 'victim'
            ]
            results[kind] = summary_by_service(victims, seconds) | {
                'all': summary(victims, seconds)
            }
        base = results['none']['all']
        for result in results.values():
            result['goodput_ratio'] = round(
                result['all']['goodput'] / base['goodput'], 3
            )
        figures[name] = results
    return figures


def overload_experiment(seed: int, seconds: float) -> dict[str, object]:
    """Compare the goodput at multiples of capacity."""
    rate = capacity_rate()
    variants: dict[str, tuple[MakePolicy, float]] = {
        'naive': (baselines.make_naive, 0.0),
        'policy': (keep_policy, 0.0),
        'policy-most-wait-2s': (keep_policy, 2.0),
    }
    figures: dict[str, object] = {}
    for name, (policy, most_wait) in variants.items():
        results = {}
        for factor in (0.8, 1.0, 2.0, 5.0):
            sources = [
                Source(f'a{number}', factor * rate / 5) for number in range(5)
            ]
            fleet = run(seed, sources, seconds, policy, most_wait=most_wait)
            outcomes = list(fleet.outcomes.values())
            results[str(factor)] = summary(outcomes, seconds) | {
                'refused_late': refused_late(outcomes),
                'by_service': summary_by_service(outcomes, seconds),
            }
        peak = max(result['goodput'] for result in results.values())
        for result in results.values():
            result['part_of_peak'] = round(result['goodput'] / peak, 3)
        figures[name] = results
    return figures


TOKEN_EVENTS = 20_000


def token_path_experiment(seed: int, seconds: float) -> dict[str, object]:
    """Return microseconds of processor time for one batch of tokens.

    One stream runs while requests of so many accounts wait. This is the only
    experiment that reads a clock, and its figures are of one machine.
    """
    figures = {}
    for waiting in (0, 100, 1100):
        measured = node.Node('i', random.Random(seed))
        names = [f'a{number}' for number in range(waiting + 1)]
        offered = fleet_configuration(names)
        pool = dataclasses.replace(
            offered.pools[0],
            upstreams=offered.pools[0].upstreams[:1],
            slots_per_upstream=1,
        )
        offered = dataclasses.replace(offered, pools=(pool,))
        measured.handle(events.ConfigurationOffered(offered, 'start'), 0.0)
        for number, name in enumerate(names):
            identifier = identity.RequestId(name, 'r')
            request = requests.GenerationRequest(
                number, identifier, 'draft', 'x', 10 * TOKEN_EVENTS, 1e9
            )
            measured.handle(events.GenerationSubmitted(request), 0.0)
        attempt = measured.stream_supervisor.streams[0].attempt.attempt_id
        begun = time.process_time()
        for position in range(TOKEN_EVENTS):
            event = events.TokensArrived(attempt, position, ('x',))
            measured.handle(event, 1.0)
        used = time.process_time() - begun
        figures[str(waiting)] = round(used / TOKEN_EVENTS * 1e6, 2)
    return {'microseconds_by_waiting_accounts': figures}


EXPERIMENTS = {
    'token-path': token_path_experiment,
    'routing': routing_experiment,
    'isolation': isolation_experiment,
    'overload': overload_experiment,
}


def main(words: list[str]) -> None:
    """Run the experiment that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('experiment', choices=sorted(EXPERIMENTS))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=100.0)
    chosen = parser.parse_args(words)
    figures = EXPERIMENTS[chosen.experiment](chosen.seed, chosen.seconds)
    json.dump(figures, sys.stdout, indent=1)
    sys.stdout.write('\n')


if __name__ == '__main__':
    main(sys.argv[1:])
