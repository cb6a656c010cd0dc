"""Callers, instances' decisions and sampled engines, joined at the seam.

Everything that crosses the seam is checked on the way: what a caller holds
must at every moment be a prefix of one run's tokens, in one version.
"""

import dataclasses
import itertools
import random

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.state import streams as stream_state
from tests.common import sampled_engines

MOST_TOKENS = 12
DEADLINE_SECONDS = 600.0
SETTLING_ROUNDS = 400


@dataclasses.dataclass(eq=False)
class Caller:
    """What one caller holds, over all its connections."""

    request: identity.RequestId
    service: str
    prompt: str
    tokens: list[str] = dataclasses.field(default_factory=list)
    generation: int = 1
    point: requests.ResumePoint | None = None
    exchange: int = 0
    instance: str = ''
    finals: list[actions.Action] = dataclasses.field(default_factory=list)
    restarts: int = 0
    shared_parts: tuple[str, ...] = ()

    @property
    def waits(self) -> bool:
        """Return whether a connection of this caller is open."""
        return bool(self.instance)


class Instance:
    """The decisions of one instance, its timers and its connections."""

    def __init__(self, name: str, seed: int) -> None:
        self.name = name
        self.node = node.Node(name, random.Random(seed))
        self.timers: dict[str, float] = {}
        self.connections: list[sampled_engines.Connection] = []
        self.abandoned: list[sampled_engines.Connection] = []
        self.answers: list[events.Event] = []


def pool_of(version: str, engines: int) -> configuration.Pool:
    """Return the pool of all engines at a version."""
    upstreams = tuple(
        configuration.Upstream(f'e{number}', '127.0.0.1', 1, 'kl-1')
        for number in range(engines)
    )
    return configuration.Pool(
        'drafting', upstreams, 'm', version, slots_per_upstream=3
    )


def configuration_of(
    number: int, pool: configuration.Pool, resume_budget: int = 10_000
) -> configuration.Configuration:
    """Return a configuration with services of each policy."""
    kind = configuration.ServiceKind.GENERATION
    spare = configuration.RecoveryPolicy(spare_attempt=True)
    services = (
        configuration.Service('draft', kind, 'drafting'),
        configuration.Service('hasty', kind, 'drafting', recovery=spare),
        configuration.Service('once', kind, 'drafting', idempotent=False),
    )
    names = tuple(service.name for service in services)
    account = configuration.ClientAccount(
        'teratak', '', names, most_running=6, resume_budget=resume_budget
    )
    return configuration.Configuration(
        version=number, accounts=(account,), services=services, pools=(pool,)
    )


class World:
    """All of it; raises AssertionError where a promise is broken."""

    def __init__(self, engines: int = 3, resume_budget: int = 10_000) -> None:
        self.now = 0.0
        self.engines = {
            f'e{number}': sampled_engines.SampledEngine(f'e{number}')
            for number in range(engines)
        }
        self.resume_budget = resume_budget
        self.configuration = configuration_of(
            1, pool_of('1', engines), resume_budget
        )
        self.runs: list[sampled_engines.Run] = []
        self.instances: dict[str, Instance] = {}
        self.callers: list[Caller] = []
        self.numbers = itertools.count(1)
        self.told: list[events.TokensArrived] = []
        self.records: list[actions.Record] = []
        for _ in range(2):
            self.add_instance()

    def add_instance(self) -> Instance:
        """Start an instance that knows the configuration."""
        number = next(self.numbers)
        instance = Instance(f'i{number}', number)
        self.instances[instance.name] = instance
        offered = events.ConfigurationOffered(self.configuration, 'test')
        self.tell(instance, offered)
        return instance

    # -- seam ---------------------------------------------------------------

    def tell(self, instance: Instance, event: events.Event) -> None:
        """Have an instance decide, and carry out what it decided."""
        if isinstance(event, events.TokensArrived):
            self.told.append(event)
        for action in instance.node.handle(event, self.now):
            self.carry_out(instance, action)

    def carry_out(self, instance: Instance, action: actions.Action) -> None:
        """Carry out an action."""
        match action:
            case actions.StartAttempt():
                self.check_order(action)
                self.open(instance, action)
            case actions.AttachAttempt():
                self.close_connections(instance, action.attempt)
                self.open(instance, action)
            case actions.CancelAttempt(attempt, upstream):
                self.close_connections(instance, attempt)
                engine = self.engines[upstream.name]
                instance.answers.append(engine.cancel(attempt))
            case actions.ProbeUpstream(upstream):
                engine = self.engines[upstream.name]
                instance.answers.append(engine.report())
            case actions.SetTimer(name, deadline):
                instance.timers[name] = deadline
            case actions.ClearTimer(name):
                instance.timers.pop(name, None)
            case actions.Record():
                self.records.append(action)
            case _:
                self.answer(instance, action)

    def answer(self, instance: Instance, action: actions.Action) -> None:
        """Hand an answer to the caller of its exchange."""
        for caller in self.callers:
            if (caller.exchange, caller.instance) == (
                action.exchange,
                instance.name,
            ):
                self.take(caller, action)

    def take(self, caller: Caller, action: actions.Action) -> None:
        """Have a caller take an answer, and check that it fits."""
        match action:
            case actions.SendTokens():
                assert action.position == len(caller.tokens)
                assert action.point.generation == caller.generation
                caller.tokens.extend(action.tokens)
                caller.point = action.point
                assert action.point.position == len(caller.tokens)
                self.lineage(caller.tokens, caller.generation, caller.request)
            case actions.SendRestart():
                assert action.generation == caller.generation + 1
                assert caller.service != 'once'
                caller.generation = action.generation
                caller.tokens.clear()
                caller.point = action.point
                caller.restarts += 1
            case actions.SendEnd():
                self.check_end(caller, action)
                self.finish(caller, action)
            case actions.SendFailure():
                if action.failure.ran is requests.Ran.NO:
                    self.check_not_run(caller.request)
                self.finish(caller, action)

    def finish(self, caller: Caller, action: actions.Action) -> None:
        """Note the final answer of an exchange; it has only one."""
        caller.finals.append(action)
        caller.instance = ''

    # -- checks -------------------------------------------------------------

    def lineage(
        self,
        tokens: list[str],
        generation: int,
        request: identity.RequestId,
    ) -> sampled_engines.Run:
        """Return a run of this request that the tokens are a prefix of."""
        for run in self.runs:
            attempt = run.order.attempt
            mine = (attempt.request, attempt.generation)
            prefix = run.tokens[: len(tokens)]
            if mine == (request, generation) and prefix == list(tokens):
                return run
        raise AssertionError(f'tokens of no single generation: {tokens}')

    def check_order(self, order: actions.StartAttempt) -> None:
        """Check that a continuation keeps to its generation and version."""
        assert len(order.received) < order.most_tokens
        attempt = order.attempt
        for run in self.runs:
            other = run.order.attempt
            if other.request != attempt.request:
                continue
            if other.generation == attempt.generation:
                assert run.version == order.version
            asked = [c for c in self.callers if c.request == other.request]
            if asked and asked[0].service == 'once':
                assert order.received, 'ran twice'
        if order.received:
            self.lineage(
                list(order.received), attempt.generation, attempt.request
            )

    def check_not_run(self, request: identity.RequestId) -> None:
        """Check that what is called not run never ran anywhere."""
        ran = [run.order.attempt.request for run in self.runs]
        assert request not in ran

    def check_nothing_runs_on(self) -> None:
        """Check that no engine generates for an instance that is done."""
        for engine in self.engines.values():
            for attempt, run in engine.runs.items():
                starter = attempt.attempt.partition('.')[0]
                assert run.ended or starter not in self.instances

    def check_end(self, caller: Caller, end: actions.SendEnd) -> None:
        """Check that an answer that is called complete is complete."""
        assert end.generation == caller.generation
        assert end.position == len(caller.tokens) == MOST_TOKENS
        self.lineage(caller.tokens, caller.generation, caller.request)

    # -- what tests ask -----------------------------------------------------

    def engine_of(self, caller: Caller) -> sampled_engines.SampledEngine:
        """Return the engine that runs a caller's current attempt."""
        stream = self.stream_of(caller)
        return self.engines[stream.attempt.upstream.name]

    def stream_of(self, caller: Caller) -> stream_state.Stream:
        """Return a caller's stream as its instance knows it."""
        instance = self.instances[caller.instance]
        return instance.node.stream_supervisor.streams[caller.exchange]

    def serve(self, tokens: int) -> None:
        """Have every engine generate some tokens, and deliver them."""
        self.deliver_all()
        for _ in range(tokens):
            for engine in self.engines.values():
                engine.generate(1)
            self.deliver_all()
            self.advance(0.01)

    def kinds(self) -> list[str]:
        """Return the kinds of the time line's events so far."""
        return [record.kind for record in self.records]

    # -- connections --------------------------------------------------------

    def open(
        self,
        instance: Instance,
        order: actions.StartAttempt | actions.AttachAttempt,
    ) -> None:
        """Give an order to its engine."""
        engine = self.engines[order.upstream.name]
        connection = engine.open(instance.name, order)
        instance.connections.append(connection)
        self.note_runs()

    def note_runs(self) -> None:
        """Keep every run that ever was, for the checks."""
        for engine in self.engines.values():
            for run in engine.runs.values():
                if not any(run is known for known in self.runs):
                    self.runs.append(run)

    def close_connections(
        self, instance: Instance, attempt: identity.AttemptId
    ) -> None:
        """Abandon an instance's connections of an attempt."""
        instance.abandoned += [
            connection
            for connection in instance.connections
            if connection.attempt == attempt
        ]
        instance.connections = [
            connection
            for connection in instance.connections
            if connection.attempt != attempt
        ]

    # -- what happens -------------------------------------------------------

    def submit(self, service: str = 'draft', instance: str = '') -> Caller:
        """Have a new caller ask for a generation."""
        number = next(self.numbers)
        request = identity.RequestId('teratak', f'r{number}')
        caller = Caller(request, service, f'prompt {number}')
        self.callers.append(caller)
        self.ask(caller, instance or next(iter(self.instances)))
        return caller

    def ask(
        self,
        caller: Caller,
        instance: str,
        request_id: identity.RequestId | None = None,
    ) -> None:
        """Have a caller ask, with its cursor if it has one.

        Without one it begins anew, as another request unless one is named.
        """
        caller.exchange = next(self.numbers)
        caller.instance = instance
        request = requests.GenerationRequest(
            caller.exchange,
            caller.request,
            caller.service,
            caller.prompt,
            MOST_TOKENS,
            self.now + DEADLINE_SECONDS,
            shared_parts=caller.shared_parts,
        )
        event: events.Event = events.GenerationSubmitted(request)
        if caller.point is not None:
            event = events.GenerationResumed(
                request, caller.point, tuple(caller.tokens)
            )
        else:
            caller.tokens.clear()
            caller.generation = 1
            fresh = identity.RequestId('teratak', f'r{caller.exchange}')
            caller.request = request_id or fresh
            event = events.GenerationSubmitted(
                dataclasses.replace(request, request=caller.request)
            )
        self.tell(self.instances[instance], event)

    def leave(self, caller: Caller, noticed: bool) -> None:
        """Break a caller's connection; its instance may not notice."""
        instance, caller.instance = caller.instance, ''
        if noticed and instance in self.instances:
            gone = events.CallerGone(caller.exchange)
            self.tell(self.instances[instance], gone)

    def replace_instance(self, name: str) -> None:
        """Kill an instance and start another one."""
        del self.instances[name]
        for caller in self.callers:
            if caller.instance == name:
                caller.instance = ''
        self.add_instance()

    def deliver(
        self, instance: Instance, connection: sampled_engines.Connection
    ) -> None:
        """Deliver the next event of a connection."""
        if connection.queue:
            self.tell(instance, connection.queue.pop(0))

    def lose_batches(self, instance: Instance) -> None:
        """Lose the tokens on their way, but nothing after them."""
        for connection in instance.connections:
            connection.queue[:] = [
                event
                for event in connection.queue
                if not isinstance(event, events.TokensArrived)
            ]

    def deliver_late(self, instance: Instance) -> None:
        """Deliver what abandoned connections bring after all."""
        for connection in instance.abandoned:
            waiting, connection.queue = connection.queue, []
            for event in waiting:
                if not isinstance(event, events.AttemptBroken):
                    self.tell(instance, event)

    def deliver_all(self) -> None:
        """Deliver whatever waits, repeatedly."""
        for instance in list(self.instances.values()):
            for _ in range(50):
                waiting = [c for c in instance.connections if c.queue]
                for connection in waiting:
                    if connection in instance.connections:
                        self.deliver(instance, connection)
                answers, instance.answers = instance.answers, []
                for event in answers:
                    self.tell(instance, event)
                if not waiting and not answers:
                    break

    def advance(self, seconds: float) -> None:
        """Let time pass; timers fire in their order, each at its time."""
        until = self.now + seconds
        while True:
            due = [
                (deadline, name, instance)
                for instance in self.instances.values()
                for name, deadline in instance.timers.items()
                if deadline <= until
            ]
            if not due:
                break
            deadline, name, instance = min(due, key=lambda found: found[:2])
            self.now = max(self.now, deadline)
            del instance.timers[name]
            self.tell(instance, events.TimerFired(name))
        self.now = until

    def take_turn(self) -> None:
        """Fire what is due now, as one turn of an event loop does."""
        for instance in list(self.instances.values()):
            for name, deadline in list(instance.timers.items()):
                if deadline <= self.now:
                    del instance.timers[name]
                    self.tell(instance, events.TimerFired(name))

    def pass_time(self, seconds: float) -> None:
        """Let time pass while sockets are read as usual."""
        until = self.now + seconds
        while self.now < until:
            self.deliver_all()
            self.advance(0.01)

    def stand_still(self, seconds: float) -> None:
        """Pause all instances; their timers are all late afterwards."""
        self.now += seconds

    def come_back(self, name: str) -> None:
        """Have an engine start again, or go on."""
        self.engines[name].come_back()
        self.note_runs()

    def report(self) -> None:
        """Have every instance hear of every engine."""
        for instance in self.instances.values():
            for engine in self.engines.values():
                self.tell(instance, engine.report())

    def configure(self, version: str) -> None:
        """Move the pool to another version."""
        self.configuration = configuration_of(
            self.configuration.version + 1,
            pool_of(version, len(self.engines)),
            self.resume_budget,
        )
        offered = events.ConfigurationOffered(self.configuration, 'test')
        for instance in self.instances.values():
            self.tell(instance, offered)

    def settle(self) -> None:
        """Heal everything, and check that all ends and nothing leaks."""
        for engine in self.engines.values():
            engine.full = False
            engine.failing = False
            engine.version = self.configuration.pools[0].version
            self.come_back(engine.name)
        for _ in range(SETTLING_ROUNDS):
            self.report()
            for engine in self.engines.values():
                engine.generate(1)
            self.deliver_all()
            self.advance(0.1)
            nodes = [found.node for found in self.instances.values()]
            if not any(
                found.running or found.waiting_requests for found in nodes
            ):
                break
        self.advance(20.0)
        self.deliver_all()
        self.check_nothing_runs_on()
        self.advance(DEADLINE_SECONDS)
        for instance in self.instances.values():
            check_nothing_is_left(instance)
        for caller in self.callers:
            assert not caller.waits, 'an exchange got no final answer'


def check_nothing_is_left(instance: Instance) -> None:
    """Check that no place and no bookkeeping outlives its stream."""
    found = instance.node
    assert not found.running
    assert not found.waiting_requests
    assert not found.stream_supervisor.streams
    assert not found.stream_supervisor.attempt_table.exchange_by_attempt
    assert not +found.admission.running_per_account
    assert not +found.admission.queued_per_account
    assert not found.cancellation_supervisor.pending
    for view in found.directory.views.values():
        assert view.in_flight == 0
    assert not [name for name in instance.timers if 'cancel' not in name]
