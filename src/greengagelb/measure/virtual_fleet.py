"""Instances' decisions before simple engines, in virtual time.

Just enough of an engine to compare policies under load: places, a step time,
a prompt that takes time unless its prefix is cached, reports that lag, and
death, slowness and return on command. Nothing here knows what the decisions
ought to be. No clock is read, so a seed gives the same figures anywhere.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.coordination.sharing import arrivals
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity

TICK_SECONDS = 0.05
NETWORK_SECONDS = 0.001
REPORT_SECONDS = 1.0
REPORT_LAG_SECONDS = 0.4
SECONDS_PER_PROMPT_TOKEN = 0.0005
CHARACTERS_PER_TOKEN = 4
CACHED_PREFIXES = 6
CACHED_SHARE = 0.75
POISON = 'poison'


class VirtualTime:
    """Calls functions in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self.serials = itertools.count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, when: float, function: Callable[[], None]) -> None:
        """Call a function at a time, or now if that has passed."""
        entry = (max(when, self.now), next(self.serials), function)
        heapq.heappush(self.heap, entry)

    def call_later(self, seconds: float, function: Callable[[], None]) -> None:
        """Call a function after some seconds."""
        self.call_at(self.now + seconds, function)

    def run_until(self, end: float) -> None:
        """Run everything that is due before ``end``."""
        while self.heap and self.heap[0][0] <= end:
            self.now, _, function = heapq.heappop(self.heap)
            function()
        self.now = end


@dataclasses.dataclass(slots=True)
class Run:
    """An attempt on an engine; ``prefill`` is in seconds still to go."""

    order: actions.StartAttempt
    instance: 'VirtualInstance'
    position: int
    end: int
    prefill: float
    credit: float = 0.0


class VirtualEngine:
    """An engine that batches, with failures on command."""

    def __init__(
        self,
        time: VirtualTime,
        upstream: configuration_state.Upstream,
        slots: int,
        step_seconds: float,
    ) -> None:
        self.time = time
        self.upstream = upstream
        self.slots = slots
        self.base_step = step_seconds
        self.step_seconds = step_seconds
        self.incarnation = 1
        self.alive = True
        self.frozen = False
        self.runs: dict[identity.AttemptId, Run] = {}
        self.cache: dict[str, None] = {}
        self.prompt_tokens = 0
        self.resumed_tokens = 0
        self.generated = 0
        self.busy_seconds = 0.0

    @property
    def engine_id(self) -> identity.EngineId:
        """Return the engine as it is since its last start."""
        return identity.EngineId(self.upstream.name, str(self.incarnation))

    def start(
        self,
        order: actions.StartAttempt,
        instance: 'VirtualInstance',
        length: int,
    ) -> None:
        """Take an order, or let its connection fail."""
        if not self.alive:
            broken = events.AttemptBroken(order.attempt, 'refused', False)
            instance.later(broken)
            return
        if order.prompt.startswith(POISON):
            refused = events.AttemptRefused(order.attempt, 'bad-prompt', None)
            instance.later(refused)
            return
        tokens = self.prompt_to_compute(order)
        self.prompt_tokens += tokens
        if order.received:
            self.resumed_tokens += tokens
        self.runs[order.attempt] = Run(
            order,
            instance,
            len(order.received),
            length,
            tokens * SECONDS_PER_PROMPT_TOKEN,
        )
        instance.later(events.AttemptAccepted(order.attempt))

    def prompt_to_compute(self, order: actions.StartAttempt) -> int:
        """Return the tokens whose cache this engine lacks, and cache them."""
        tokens = len(order.prompt) // CHARACTERS_PER_TOKEN
        key = order.prompt[: arrivals.PREFIX_CHARACTERS]
        cached = key in self.cache
        self.cache.pop(key, None)
        self.cache[key] = None
        while len(self.cache) > CACHED_PREFIXES:
            del self.cache[next(iter(self.cache))]
        if cached:
            tokens = round(tokens * (1 - CACHED_SHARE))
        return tokens + len(order.received)

    def attach(
        self, order: actions.AttachAttempt, instance: 'VirtualInstance'
    ) -> None:
        """Stream a run from an earlier position, if it is still there."""
        if not self.alive:
            broken = events.AttemptBroken(order.attempt, 'refused', False)
            instance.later(broken)
            return
        run = self.runs.get(order.attempt)
        if run is None:
            unknown = events.AttemptRefused(
                order.attempt, 'unknown-attempt', None
            )
            instance.later(unknown)
            return
        instance.later(events.AttemptAccepted(order.attempt))

    def cancel(
        self, order: actions.CancelAttempt, instance: 'VirtualInstance'
    ) -> None:
        """Stop a run."""
        if not self.alive or self.frozen:
            instance.later(events.CancelFailed(order.attempt))
            return
        self.runs.pop(order.attempt, None)
        instance.later(events.AttemptCancelled(order.attempt))

    def tick(self) -> None:
        """Generate for one tick, the most urgent runs first."""
        if not self.alive or self.frozen:
            return
        waiting = sorted(self.runs.values(), key=lambda r: r.order.priority)
        self.busy_seconds += TICK_SECONDS * min(self.slots, len(waiting))
        for run in waiting[: self.slots]:
            self.advance(run)

    def advance(self, run: Run) -> None:
        """Let one run have its time of this tick."""
        seconds = TICK_SECONDS * self.base_step / self.step_seconds
        used = min(seconds, run.prefill)
        run.prefill -= used
        run.credit += (seconds - used) / self.base_step
        count = min(int(run.credit), run.end - run.position)
        run.credit -= count
        if count:
            tokens = tuple(
                str(number)
                for number in range(run.position, run.position + count)
            )
            arrived = events.TokensArrived(
                run.order.attempt, run.position, tokens
            )
            run.position += count
            self.generated += count
            run.instance.later(arrived)
        if run.position >= run.end:
            del self.runs[run.order.attempt]
            run.instance.later(
                events.AttemptEnded(run.order.attempt, run.position, 'stop')
            )

    def report(self) -> events.UpstreamReported:
        """Return what this engine says of itself."""
        running = min(len(self.runs), self.slots)
        return events.UpstreamReported(
            self.engine_id,
            'm',
            '1',
            '',
            running,
            len(self.runs) - running,
            self.step_seconds,
            False,
        )

    def kill(self) -> None:
        """Die; the connections are reset."""
        self.alive = False
        lost = list(self.runs.values())
        self.runs.clear()
        for run in lost:
            broken = events.AttemptBroken(run.order.attempt, 'reset', True)
            run.instance.later(broken)

    def come_back(self) -> None:
        """Start anew, with nothing cached."""
        self.alive = True
        self.incarnation += 1
        self.cache.clear()


class VirtualInstance:
    """Carries out the actions of one instance's decisions."""

    def __init__(self, fleet: 'VirtualFleet', number: int) -> None:
        self.fleet = fleet
        self.time = fleet.time
        seed = fleet.rng.randrange(1 << 30)
        self.node = node.Node(f'i{number}', random.Random(seed))
        self.timers: dict[str, float] = {}

    def later(self, event: events.Event) -> None:
        """Hand in an event after the network's delay."""
        self.time.call_later(
            NETWORK_SECONDS, functools.partial(self.handle, event)
        )

    def handle(self, event: events.Event) -> None:
        """Have an event decided on."""
        for action in self.node.handle(event, self.time.now):
            self.carry_out(action)

    def carry_out(self, action: actions.Action) -> None:
        """Carry out an action."""
        match action:
            case actions.StartAttempt():
                self.fleet.attempts += 1
                self.fleet.started.add(action.attempt.request)
                length = self.fleet.lengths[action.attempt.request]
                engine = self.fleet.engines[action.upstream.name]
                engine.start(action, self, length)
            case actions.AttachAttempt():
                self.fleet.engines[action.upstream.name].attach(action, self)
            case actions.CancelAttempt():
                self.fleet.engines[action.upstream.name].cancel(action, self)
            case actions.SetTimer(name, deadline):
                self.timers[name] = deadline
                self.time.call_at(
                    deadline, functools.partial(self.fire, name, deadline)
                )
            case actions.ClearTimer(name):
                self.timers.pop(name, None)
            case actions.SendTokens(exchange=exchange):
                self.fleet.outcomes[exchange].take_token(self.time.now)
            case actions.SendEnd(exchange=exchange):
                self.fleet.outcomes[exchange].finish('', self.time.now)
            case actions.SendFailure(exchange, failure):
                outcome = self.fleet.outcomes[exchange]
                outcome.finish(failure.code, self.time.now)

    def fire(self, name: str, deadline: float) -> None:
        """Hand in a timer, unless it was set anew or cleared."""
        if self.timers.get(name) == deadline:
            del self.timers[name]
            self.handle(events.TimerFired(name))


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one request; times are in virtual seconds."""

    account: str
    service: str
    arrived_at: float
    tokens: int
    deadline: float
    first_token_at: float | None = None
    ended_at: float | None = None
    failure: str = ''

    def take_token(self, now: float) -> None:
        """Note the first token."""
        if self.first_token_at is None:
            self.first_token_at = now

    def finish(self, failure: str, now: float) -> None:
        """Note the final answer."""
        self.failure = failure
        self.ended_at = now

    @property
    def good(self) -> bool:
        """Return whether the whole answer came in time."""
        ended = self.ended_at is not None and not self.failure
        return ended and self.ended_at <= self.deadline


class VirtualFleet:
    """Instances and engines of one data centre, and what callers got."""

    def __init__(
        self,
        seed: int,
        configuration: configuration_state.Configuration,
        instances: int,
        step_seconds: float,
    ) -> None:
        self.rng = random.Random(seed)
        self.time = VirtualTime()
        self.configuration = configuration
        self.outcomes: dict[int, Outcome] = {}
        self.lengths: dict[identity.RequestId, int] = {}
        self.attempts = 0
        self.started: set[identity.RequestId] = set()
        self.engines = {
            upstream.name: VirtualEngine(
                self.time, upstream, pool.slots_per_upstream, step_seconds
            )
            for pool in configuration.pools
            for upstream in pool.upstreams
        }
        self.instances = [
            VirtualInstance(self, number) for number in range(instances)
        ]

    def start(self) -> None:
        """Put the configuration in force and begin to tick and report."""
        for instance in self.instances:
            instance.handle(
                events.ConfigurationOffered(self.configuration, 'start')
            )
            instance.handle(events.FleetSizeChanged(len(self.instances)))
        self.tick()
        self.report()

    def tick(self) -> None:
        """Let all engines generate for a tick, again and again."""
        for engine in self.engines.values():
            engine.tick()
        self.time.call_later(TICK_SECONDS, self.tick)

    def report(self) -> None:
        """Send all engines' reports on their way, again and again."""
        for engine in self.engines.values():
            event: events.Event = events.UpstreamUnreachable(
                engine.upstream.name
            )
            if engine.alive and not engine.frozen:
                event = engine.report()
            for instance in self.instances:
                self.time.call_later(
                    REPORT_LAG_SECONDS,
                    functools.partial(instance.handle, event),
                )
        self.time.call_later(REPORT_SECONDS, self.report)
