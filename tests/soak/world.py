"""One run of the soak: a small fleet, its faults, and what it leaves."""

import dataclasses
import itertools
import json
import pathlib
import random
import signal
import socket

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import client
from twisted.web import server

from tests.soak import callers
from tests.soak import engines
from tests.soak import faults
from tests.soak import instances
from tests.soak import proxy
from tests.soak import store

PLACES = ('north', 'south', 'west')
MODEL_ENGINES = 6
# So many that a request may meet several of one data centre in turn.
MODEL_ENGINES_OF_LOST_PLACES = 36
CALL_ENGINES = 3
HEARTBEAT_SECONDS = instances.HEARTBEAT_MILLISECONDS / 1000.0
# An entry lapses after so many heartbeats without renewal.
LAPSE_HEARTBEATS = 3.0
CALLERS = 12
ROUTE_ATTEMPTS = {
    callers.Kind.STREAM: 5,
    callers.Kind.CALL: 1,
    callers.Kind.QUERY: 2,
    callers.Kind.LETTER: 5,
}
ROUTE_LIMITS = {
    callers.Kind.STREAM: 10.0,
    callers.Kind.CALL: 0.9,
    callers.Kind.QUERY: 0.9,
    callers.Kind.LETTER: 10.0,
}
# A configuration is in force so long after it was written.
CONFIG_APPLY_SECONDS = 2.5
# Retries in a window that all instances may send beyond their ratio. With
# pauses they are as few, beside the soak's traffic, as operators set them.
RETRY_SLACK = 150.0
RETRY_SLACK_WITH_PAUSES = 20.0
# So many of them wait for engines that pause.
CALLERS_WITH_PAUSES = 24
# Streams in runs with pauses last for about as long as the longest pause.
MOST_EVENTS_WITH_PAUSES = 130
# Streams that last longer than the window in which retries are counted: more
# of them are under way at a time than begin in a window.
LONG_STREAM_SECONDS = 40.0
LONG_STREAM_EVENTS = 130
SLOW_EVENT_SECONDS = 0.18
CALLERS_OF_LONG_STREAMS = 64
SECONDS_BETWEEN_CALLERS = 0.35
# One caller of so many asks queries, which show when all is served again.
CALLERS_FOR_ONE_OF_QUERIES = 16
# What becomes of the messages between instances in runs with such streams:
# the share that is lost, and by how many seconds the others are late.
LOST_MESSAGES = (0.0, 0.5, 1.0)
LATE_MESSAGES = (0.0, 0.3, 1.0)
READY_POLL_SECONDS = 0.25
START_SECONDS = 20.0
# Calm at the end, before the fleet has to serve as before. A pause of all
# instances, the lapse of entries and their return fit into it.
RECOVERY_SECONDS = 7.0
PROBE_SECONDS = 3.0
# Limits that engines name, in requests a second, and for how long at least.
LIMITS = (0.25, 0.5, 1.0)
LIMIT_SECONDS = 8.0
# For how long at least an engine wants rest, and for how long one that leaves
# still serves after the time in which it must get nothing new.
REST_SECONDS = 3.0
STATED_LEAVING_SECONDS = 2.0
# An engine that starts again is back so soon. It pauses then for longer than
# streams are left silent, and no longer than their route allows.
RETURN_SECONDS = 0.2
RETURNED_PAUSE_SECONDS = 0.55
# How often, and how many times, an idle engine is looked for.
IDLE_POLL_SECONDS = 0.02
IDLE_TRIES = 50
# The end of an answer has left an engine so long after the run.
SENT_SECONDS = 0.1
# How long an engine has an address that was another service's.
OTHER_SERVICE_SECONDS = 2.0
# Time between two requests with a part that crashes engines.
CRASHING_EVERY_SECONDS = 0.6
# The share of answers whose engine loses the rest of their head.
TORN_SHARE = 0.05
# The share of answers with neither a length nor chunks.
UNFRAMED_SHARE = 0.1
PAUSE_SIGNALS = (signal.SIGSTOP, signal.SIGCONT)


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """Something that the judge has to know of, from ``at`` to ``until``."""

    what: faults.What
    target: str
    at: float
    until: float


class World:
    """The fleet of one run; clean it up with :meth:`close`."""

    def __init__(
        self,
        reactor: interfaces.IReactorCore,
        folder: pathlib.Path,
        seed: int,
        fleet: int = 3,
    ) -> None:
        self.reactor = reactor
        self.rng = random.Random(seed)
        self.moments: list[Moment] = []
        self.probes_from = float('inf')
        self.has_pauses = seed >= faults.FIRST_SEED_WITH_PAUSES
        self.has_letters = seed >= faults.FIRST_SEED_WITH_FAILED_RUNS
        self.has_long_streams = faults.has_long_streams(seed)
        self.has_late_checks = seed >= faults.FIRST_SEED_WITH_LATE_CHECKS
        # None is lost beside late checks: that takes a small fleet.
        self.has_lost_places = not self.has_late_checks and (
            seed >= faults.FIRST_SEED_WITH_LOST_PLACES
        )
        self.message_loss = self.message_delay = 0.0
        if self.has_long_streams or self.has_lost_places:
            messages = random.Random(f'messages of {seed}')
            self.message_loss = messages.choice(LOST_MESSAGES)
            self.message_delay = messages.choice(LATE_MESSAGES)
        self.route_limits = dict(ROUTE_LIMITS)
        self.retry_slack = RETRY_SLACK
        self.has_reused_addresses = seed in faults.SEEDS_WITH_REUSED_ADDRESSES
        # The engine of a silent run with a copy is not probed.
        self.has_copies = not (self.has_reused_addresses and seed % 2)
        if self.has_pauses and not self.has_reused_addresses:
            self.retry_slack = RETRY_SLACK_WITH_PAUSES
        # Runs side by side keep to loopback networks of their own.
        network = f'127.{20 + seed % 200}.{self.rng.randrange(1, 250)}'
        self.store_host = f'{network}.1'
        self.store = store.Store(reactor)
        self.store_port = reactor.listenTCP(
            0, server.Site(self.store), interface=self.store_host
        )
        self.engines = engines.Engines(reactor)
        # Lost checks cut answers without a length; with odd seeds there are
        # none, so that what paths do is seen.
        is_framed = self.has_reused_addresses or (
            self.has_late_checks and seed % 2
        )
        if seed >= faults.FIRST_SEED_WITH_CRASHING_PARTS and not is_framed:
            self.engines.unframed_share = UNFRAMED_SHARE
        if self.has_lost_places:
            self.engines.torn_share = TORN_SHARE
        if seed >= faults.FIRST_SEED_WITH_CRASH_MOMENTS:
            self.engines.crash_moments = tuple(engines.CrashMoment)
            self.store.odd_row = store.ODD_ROWS[seed % len(store.ODD_ROWS)]
        self.renewed_at: dict[str, float] = {}
        self.add_engines(network, seed)
        self.version = 0
        self.keys = ['first-key']
        self.configure()
        peers = proxy.free_port(f'{network}.100', socket.SOCK_DGRAM)
        address = (self.store_host, self.store_port.getHost().port)
        self.instances = [
            instances.Instance(
                reactor,
                folder,
                f'relay-{number}',
                PLACES[number % len(PLACES)],
                f'{network}.{100 + number}',
                peers,
                address,
                self.retry_slack,
            )
            for number in range(fleet)
        ]
        self.paths: dict[tuple[str, str], proxy.Proxy] = {}
        if self.has_late_checks:
            self.add_paths(peers)
        self.black_hole = proxy.BlackHole(self.store_host)
        for instance in self.instances:
            self.write_cut(instance, '')
        self.callers = callers.Callers(reactor, self.rng, f's{seed}')
        if self.has_pauses:
            self.callers.most_events = MOST_EVENTS_WITH_PAUSES
        if self.has_letters:
            self.callers.kinds.append(callers.Kind.LETTER)
        if self.has_long_streams:
            self.lengthen_streams()
        self.loops = [
            task.LoopingCall(self.renew_entries),
            task.LoopingCall(self.look_at_instances),
        ]

    def lengthen_streams(self) -> None:
        """Have most callers ask for long streams alone, of slow engines."""
        self.engines.event_seconds = SLOW_EVENT_SECONDS
        self.callers.kinds = [callers.Kind.STREAM]
        self.callers.least_events = LONG_STREAM_EVENTS
        self.callers.most_events = LONG_STREAM_EVENTS
        self.callers.limits[callers.Kind.STREAM] = LONG_STREAM_SECONDS
        self.route_limits[callers.Kind.STREAM] = LONG_STREAM_SECONDS
        self.configure()

    def add_engines(self, network: str, seed: int) -> None:
        """Add the engines of both services."""
        models = MODEL_ENGINES
        if self.has_lost_places:
            models = MODEL_ENGINES_OF_LOST_PLACES
        services = [engines.STREAMS] * models
        services += [engines.CALLS] * CALL_ENGINES
        for number, service in enumerate(services):
            engines.Engine(
                self.engines,
                f'{network}.{10 + number}',
                service,
                PLACES[number % len(PLACES)],
                seed + number,
            )

    def add_paths(self, peer_port: int) -> None:
        """Put a link between each two instances, one each way."""
        for one, other in itertools.permutations(self.instances, 2):
            link = proxy.Proxy(self.reactor, other.host)
            link.far = (other.host, peer_port)
            link.far_source = one.host
            link.hides_ends = True
            self.paths[one.name, other.name] = link

    # -- the platform's part ------------------------------------------------

    def configure(self) -> None:
        """Write the next configuration."""
        self.version += 3
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the configuration that is to be in force."""
        routes = [
            route(
                'stream',
                engines.STREAMS,
                'streaming',
                int(1000 * self.route_limits[callers.Kind.STREAM]),
                ROUTE_ATTEMPTS[callers.Kind.STREAM],
            ),
            route(
                'call',
                engines.CALLS,
                'unsafe',
                900,
                ROUTE_ATTEMPTS[callers.Kind.CALL],
            ),
            route(
                'query',
                engines.CALLS,
                'safe',
                900,
                ROUTE_ATTEMPTS[callers.Kind.QUERY],
            ),
        ]
        if self.has_letters:
            letters = route(
                'letter',
                engines.STREAMS,
                'streaming',
                10_000,
                ROUTE_ATTEMPTS[callers.Kind.LETTER],
            )
            routes.append({**letters, 'resumable': False})
        model = {
            'slots': engines.SLOTS,
            'kv_capacity': 88_000,
            'backups': self.has_copies,
            'moves': False,
            'handle_s': 4.0,
        }
        self.store.put(
            'op',
            'config',
            {
                'version': self.version,
                'routes': routes,
                'services': [
                    service(engines.STREAMS, engine=model),
                    service(engines.CALLS),
                ],
                'limits': {},
                'tenants': [{'name': 'cottages', 'api_keys': self.keys}],
            },
        )

    def renew_entries(self) -> None:
        """Let engines renew their entries, and let others lapse."""
        now = self.reactor.seconds()
        self.store.keep_copy()
        for engine in self.engines.engines:
            if engine.lives and engine.state and not self.store.refusing:
                self.store.put('servers', engine.identity, engine.entry())
                self.renewed_at[engine.identity] = now
        for identity, at in list(self.renewed_at.items()):
            if now > at + LAPSE_HEARTBEATS * HEARTBEAT_SECONDS:
                del self.renewed_at[identity]
                self.store.remove('servers', identity)

    def look_at_instances(self) -> None:
        """Ask each instance whether it is ready, as a balancer does."""
        for instance in self.instances:
            instance.look_whether_ended()
            instance.look_at_memory()
            target = f'http://{instance.host}:{instance.ready_port}/ready'
            asked = self.callers.agent.request(b'GET', target.encode())
            asked.addTimeout(READY_POLL_SECONDS, self.reactor)
            asked.addCallbacks(
                lambda answer, i=instance: self.told_ready(i, answer),
                lambda _, i=instance: setattr(i, 'ready', False),
            )

    def told_ready(self, instance: instances.Instance, answer: object) -> None:
        """Take in whether an instance is ready."""
        instance.ready = answer.code == 200
        client.readBody(answer).addErrback(lambda _: None)

    # -- the run ------------------------------------------------------------

    @defer.inlineCallbacks
    def play(self, planned: list[faults.Fault]) -> object:
        """Start the fleet, let faults happen, calm down, and probe."""
        self.loops[0].start(HEARTBEAT_SECONDS)
        for instance in self.instances:
            instance.start()
        self.loops[1].start(READY_POLL_SECONDS)
        began = self.reactor.seconds()
        while not all(instance.ready for instance in self.instances):
            if self.reactor.seconds() > began + START_SECONDS:
                raise RuntimeError('the fleet did not get ready')
            yield self.sleep(0.1)
        calm_from = max([f.at + f.seconds for f in planned], default=1.0)
        now = self.reactor.seconds()
        until = now + calm_from + RECOVERY_SECONDS + PROBE_SECONDS
        self.probes_from = until - PROBE_SECONDS
        asking = [
            self.begin_caller(number, until)
            for number in range(self.caller_count)
        ]
        for fault in planned:
            task.deferLater(self.reactor, fault.at, self.inject, fault)
        yield defer.gatherResults(asking)

    @property
    def caller_count(self) -> int:
        """Return how many callers ask at a time."""
        if self.has_long_streams or self.has_lost_places:
            return CALLERS_OF_LONG_STREAMS
        if self.has_reused_addresses:
            return CALLERS
        return CALLERS_WITH_PAUSES if self.has_pauses else CALLERS

    @defer.inlineCallbacks
    def begin_caller(self, number: int, until: float) -> object:
        """Have a caller ask; those of long streams begin one by one."""
        kinds = self.callers.kinds
        if self.has_long_streams:
            yield self.sleep(SECONDS_BETWEEN_CALLERS * number)
            if number % CALLERS_FOR_ONE_OF_QUERIES == 0:
                kinds = [callers.Kind.QUERY]
        yield self.callers.caller(self.instances, until, kinds)

    def sleep(self, seconds: float) -> defer.Deferred:
        """Return a Deferred that fires after some seconds."""
        return task.deferLater(self.reactor, seconds, lambda: None)

    def close(self) -> None:
        """End all that was started."""
        for loop in self.loops:
            if loop.running:
                loop.stop()
        for instance in self.instances:
            instance.kill()
        self.black_hole.close()

    # -- faults -------------------------------------------------------------

    def note(self, fault: faults.Fault, target: str) -> None:
        """Keep what was done, for the judge."""
        now = self.reactor.seconds()
        self.moments.append(
            Moment(fault.what, target, now, now + fault.seconds)
        )

    def inject(self, fault: faults.Fault) -> None:
        """Bring a fault about, and its end."""
        if fault.what is faults.What.NEW_CONFIGURATION:
            self.change_keys(fault)
        elif fault.what is faults.What.CRASHING_PART:
            self.send_crashing_part(fault)
        elif fault.what is faults.What.KILL_ALL_INSTANCES:
            for instance in self.instances:
                self.harm_instance(fault, instance)
        elif fault.what in faults.OF_THE_STORE:
            self.harm_store(fault)
        elif fault.what is faults.What.LOST_PLACE:
            self.lose_place(fault)
        elif fault.what is faults.What.LOST_PATH:
            self.lose_path(fault)
        elif fault.what is faults.What.REUSED_ADDRESS:
            self.lose_address(fault)
        elif fault.what is faults.What.RETURNED_ENGINE:
            self.return_engine(fault)
        elif fault.what in faults.TO_ENGINES:
            self.harm_engine(fault)
        elif fault.what in faults.OF_MANY_ENGINES:
            self.hold_engines(fault)
        else:
            number = fault.target % len(self.instances)
            self.harm_instance(fault, self.instances[number])

    def later(self, fault: faults.Fault, call: object, *args: object) -> None:
        """Do something when a fault ends."""
        task.deferLater(self.reactor, fault.seconds, call, *args)

    def change_keys(self, fault: faults.Fault) -> None:
        """Add a key, and remove those that no caller shows any more."""
        self.note(fault, f'version {self.version + 3}')
        key = f'key-{self.version}'
        self.keys = next_keys(self.keys, shown=self.callers.key, added=key)
        self.configure()
        task.deferLater(
            self.reactor,
            CONFIG_APPLY_SECONDS,
            setattr,
            self.callers,
            'key',
            key,
        )

    def send_crashing_part(self, fault: faults.Fault) -> None:
        """Have requests come that share a part which crashes engines."""
        part = f'd{fault.target}'
        self.note(fault, part)
        self.engines.crashing_parts.add(part)

        def ask() -> None:
            ready = [i for i in self.instances if i.ready] or self.instances
            self.callers.ask(
                callers.Kind.STREAM,
                self.rng.choice(ready),
                parts=(callers.COMMON_PART, part),
            )

        asking = task.LoopingCall(ask)
        asking.start(CRASHING_EVERY_SECONDS)
        self.later(fault, asking.stop)

    def harm_instance(
        self, fault: faults.Fault, instance: instances.Instance
    ) -> None:
        """Harm one instance."""
        self.note(fault, instance.name)
        if fault.what in faults.OF_LINKS:
            self.cut_links(fault, instance)
            return
        if fault.what is faults.What.CROWDED_INSTANCE:
            self.callers.crowded = instance
            self.later(fault, self.end_crowd, instance)
            return
        match fault.what:
            case faults.What.KILL_INSTANCE | faults.What.KILL_ALL_INSTANCES:
                instance.kill()
                self.later(fault, self.revive, instance)
            case faults.What.STOP_INSTANCE:
                instance.stop()
                seconds = instances.GRACE_SECONDS + fault.seconds
                task.deferLater(self.reactor, seconds, self.revive, instance)
            case faults.What.PAUSE_INSTANCE:
                instance.signal(PAUSE_SIGNALS[0])
                self.later(fault, instance.signal, PAUSE_SIGNALS[1])
            case faults.What.RELOAD_INSTANCE:
                if instance.handles_signals:
                    instance.signal(signal.SIGHUP)

    def end_crowd(self, instance: instances.Instance) -> None:
        """End a crowd, unless there is one elsewhere by now."""
        if self.callers.crowded is instance:
            self.callers.crowded = None

    def cut_links(
        self, fault: faults.Fault, instance: instances.Instance
    ) -> None:
        """Cut an instance off from all engines."""
        mode = fault.what.value.removeprefix('links-')
        self.write_cut(instance, mode)
        instance.cuts += 1
        if fault.what is not faults.What.LINKS_REFUSED:
            for engine in self.engines.engines:
                reset = fault.what is faults.What.LINKS_RESET
                engine.link.cut_source(instance.host, reset=reset)
        self.later(fault, self.end_cut, instance, instance.cuts)

    def end_cut(self, instance: instances.Instance, number: int) -> None:
        """End a cut, unless a later one holds."""
        if instance.cuts == number:
            self.write_cut(instance, '')

    def lose_path(self, fault: faults.Fault) -> None:
        """Lose all between an instance and another one."""
        one = self.instances[fault.target % len(self.instances)]
        others = [each for each in self.instances if each is not one]
        if others:
            other = self.rng.choice(others)
            self.note(fault, f'{one.name} {other.name}')
            self.set_path((one, other), proxy.Mode.DARK)
            self.later(fault, self.set_path, (one, other), proxy.Mode.PASS)

    def set_path(
        self,
        ends: tuple[instances.Instance, instances.Instance],
        mode: proxy.Mode,
    ) -> None:
        """Write what becomes of the bytes between two instances."""
        for one, other in itertools.permutations(ends):
            self.paths[one.name, other.name].mode = mode
            self.write_cut(one, one.cut_mode)

    def write_cut(self, instance: instances.Instance, mode: str) -> None:
        """Write what becomes of an instance's new connections to engines."""
        instance.cut_mode = mode
        paths = [
            (other, self.paths[instance.name, other.name])
            for other in self.instances
            if (instance.name, other.name) in self.paths
        ]
        state = {
            'mode': mode,
            'paths': {other.host: link.port for other, link in paths},
            'lost_paths': [
                other.host
                for other, link in paths
                if link.mode is proxy.Mode.DARK
            ],
            'engines': [e.link.host for e in self.engines.engines],
            'hole': self.black_hole.address,
            'message_loss': self.message_loss,
            'message_delay': self.message_delay,
        }
        partial = instance.cut_file.with_suffix('.new')
        partial.write_text(json.dumps(state), 'utf-8')
        partial.replace(instance.cut_file)

    def revive(self, instance: instances.Instance) -> None:
        """Start an instance that has ended; kill one that should have."""
        instance.look_whether_ended()
        if instance.lives and instance.stop_asked_at is None:
            return
        instance.kill()
        instance.start()

    def harm_engine(self, fault: faults.Fault) -> None:
        """Harm one engine, or the links to it."""
        pool = self.engines.engines
        engine = pool[fault.target % len(pool)]
        if not engine.lives:
            return
        self.note(fault, engine.identity)
        link = engine.link
        match fault.what:
            case faults.What.CRASH_ENGINE:
                engine.crash()
                self.later(fault, engine.restart)
            case faults.What.RESTART_ENGINE:
                self.restart_engine(fault, engine)
            case faults.What.DARK_ENGINE:
                link.mode = proxy.Mode.DARK
                self.later(fault, setattr, link, 'mode', proxy.Mode.PASS)
            case faults.What.SILENT_ENGINE:
                link.silence()
            case faults.What.RESET_ENGINE:
                link.reset()
            case faults.What.SLOW_ENGINE_LINK:
                link.delay = 0.1
                self.later(fault, setattr, link, 'delay', 0.0)
            case faults.What.LOST_ENGINE_ANSWERS:
                link.mode = proxy.Mode.LOSE_ANSWERS
                self.later(fault, setattr, link, 'mode', proxy.Mode.PASS)
            case faults.What.LIMITED_ENGINE:
                rate = LIMITS[fault.target % len(LIMITS)]
                limit = engine.name_limit(rate)
                seconds = LIMIT_SECONDS + fault.seconds
                task.deferLater(
                    self.reactor, seconds, engine.lift_limit, limit
                )
            case faults.What.LEAVING_ENGINE:
                self.leave(engine, says_so=fault.target % 2 == 0)
            case faults.What.STATED_LEAVING:
                self.leave_by_answers(engine)
            case faults.What.RESTING_ENGINE:
                self.overload(fault, engine)

    def lose_place(self, fault: faults.Fault) -> None:
        """End most engines of a data centre; others follow them.

        Every other time its links are dark meanwhile, and nothing is reset.
        """
        place = PLACES[fault.target % len(PLACES)]
        lost = [
            engine
            for engine in self.engines.engines
            if engine.place == place
            and engine.lives
            and engine.service == engines.STREAMS
            and self.rng.random() < faults.LOST_PLACE_SHARE
        ]
        self.note(fault, ' '.join(engine.identity for engine in lost))
        is_dark = fault.target // len(PLACES) % 2
        for engine in lost:
            if is_dark:
                engine.crash_unnoticed()
            else:
                engine.crash()
            self.later(fault, self.follow, engine)

    def follow(self, engine: engines.Engine) -> None:
        """Start an engine in the place of one that has ended."""
        engine.link.mode = proxy.Mode.PASS
        engine.restart()

    def lose_address(self, fault: faults.Fault) -> None:
        """Have an engine crash; another service gets its address for a while.

        The engine works for an instance that is paused. Every other time its
        link is dark meanwhile, and nothing is reset.
        """
        paused = self.instances[fault.target % len(self.instances)]
        engine = next(
            (
                engine
                for engine in self.engines.engines
                if engine.service == engines.STREAMS
                and any(run.sender == paused.host for run in engine.running)
            ),
            None,
        )
        if engine is None:
            return
        self.note(fault, engine.identity)
        if fault.target % 2:
            engine.crash_unnoticed()
        else:
            engine.crash()
        self.later(fault, self.give_address, engine, engines.CALLS)
        seconds = fault.seconds + OTHER_SERVICE_SECONDS
        task.deferLater(self.reactor, seconds, engine.crash)
        seconds += fault.seconds
        task.deferLater(
            self.reactor, seconds, self.give_address, engine, engines.STREAMS
        )

    def give_address(self, engine: engines.Engine, service: str) -> None:
        """Start an engine of a service at the address of one that ended."""
        engine.service = service
        self.follow(engine)

    def return_engine(
        self, fault: faults.Fault, tries: int = IDLE_TRIES
    ) -> None:
        """Have an idle engine start again, and pause while it is new.

        Nobody suspects it, as nothing was lost.
        """
        idle = [
            engine
            for engine in self.engines.engines
            if engine.service == engines.STREAMS
            and engine.lives
            and not engine.running
            and engine.last_ended_at < self.reactor.seconds() - SENT_SECONDS
        ]
        if not idle:
            if tries:
                task.deferLater(
                    self.reactor,
                    IDLE_POLL_SECONDS,
                    self.return_engine,
                    fault,
                    tries - 1,
                )
            return
        engine = idle[fault.target % len(idle)]
        self.note(fault, engine.identity)
        engine.crash()
        task.deferLater(self.reactor, RETURN_SECONDS, engine.start_again)
        seconds = RETURN_SECONDS + fault.seconds
        pause = faults.Fault(
            faults.What.PAUSED_ENGINES,
            0.0,
            RETURNED_PAUSE_SECONDS,
            3 * self.engines.engines.index(engine),
        )
        task.deferLater(self.reactor, seconds, self.hold_engines, pause)

    def hold_engines(self, fault: faults.Fault) -> None:
        """Have one engine, every other one or all pause, fail or be full."""
        pool = self.engines.engines
        number = fault.target // 3
        match fault.target % 3:
            case 0:
                held = [pool[number % len(pool)]]
            case 1:
                held = pool[number % 2 :: 2]
            case _:
                held = pool
        self.note(fault, ' '.join(engine.identity for engine in held))
        until = self.reactor.seconds() + fault.seconds
        for engine in held:
            if fault.what is faults.What.FULL_ENGINES:
                engine.full_until = until
            elif fault.what is faults.What.FAILING_ENGINES:
                engine.failing_until = until
            elif fault.what is faults.What.LATE_CHECKS:
                engine.checks_late_until = until
            elif fault.what is faults.What.LOST_CHECKS:
                engine.checks_lost_until = until
            elif fault.what is faults.What.ENDLESS_ENGINES:
                engine.link.endless_kind = self.rng.randrange(1_000)
                engine.link.mode = proxy.Mode.ENDLESS
                self.later(fault, self.end_endless, engine)
            else:
                frozen = fault.what is faults.What.FROZEN_ENGINES
                engine.pause(until, frozen=frozen)

    def end_endless(self, engine: engines.Engine) -> None:
        """Have an engine answer properly again, on all its connections."""
        engine.link.mode = proxy.Mode.PASS
        for half in [h for h in engine.link.halves if h.dead]:
            half.transport.abortConnection()

    def restart_engine(
        self, fault: faults.Fault, engine: engines.Engine
    ) -> None:
        """Have an engine crash and start again under its identity.

        Every other time its link is dark meanwhile, and nothing is reset. One
        that leaves is spared: nobody could tell which life got work too late.
        """
        if engine.state != 'ready':
            return
        if fault.target % 2:
            engine.crash_unnoticed()
        else:
            engine.crash()
        self.later(fault, engine.start_again)

    def leave(self, engine: engines.Engine, *, says_so: bool) -> None:
        """Have an engine leave and come back; some just remove their entry."""
        if engine.state != 'ready' or self.store.refusing:
            return
        if says_so:
            engine.state = 'draining'
            self.store.put('servers', engine.identity, engine.entry())
        else:
            engine.state = ''
            self.renewed_at.pop(engine.identity, None)
            self.store.remove('servers', engine.identity)
        seconds = instances.DRAIN_SECONDS + 1.0
        task.deferLater(self.reactor, seconds, self.gone, engine)

    def overload(self, fault: faults.Fault, engine: engines.Engine) -> None:
        """Have an engine want rest, and every other time all of its service.

        Where only some of them do, the others get nearly all requests.
        """
        until = self.reactor.seconds() + REST_SECONDS + fault.seconds
        for other in self.engines.engines:
            of_service = fault.target % 2 and other.service == engine.service
            if other is engine or of_service:
                other.rests_until = until

    def leave_by_answers(self, engine: engines.Engine) -> None:
        """Have an engine leave whose row says that it is ready."""
        if engine.state != 'ready' or engine.states_leaving:
            return
        engine.states_leaving = True
        seconds = instances.DRAIN_SECONDS + STATED_LEAVING_SECONDS
        task.deferLater(
            self.reactor, seconds, self.end_stated, engine, engine.identity
        )

    def end_stated(self, engine: engines.Engine, identity: str) -> None:
        """End an engine that has said that it leaves, unless it has ended."""
        if engine.lives and engine.identity == identity:
            self.gone(engine)

    def gone(self, engine: engines.Engine) -> None:
        """End an engine that was leaving; another takes its place."""
        self.store.remove('servers', engine.identity)
        self.renewed_at.pop(engine.identity, None)
        engine.crash()
        task.deferLater(self.reactor, 1.0, engine.restart)

    def harm_store(self, fault: faults.Fault) -> None:
        """Harm the store, or an instance's link to it."""
        instance = self.instances[fault.target % len(self.instances)]
        links = [instance.store_link]
        if fault.what is faults.What.STORE_SLOW:
            links = [i.store_link for i in self.instances]
        self.note(fault, instance.name)
        match fault.what:
            case faults.What.STORE_AWAY:
                self.store.refusing = True
                self.later(fault, setattr, self.store, 'refusing', False)
            case faults.What.STORE_FORGETS:
                self.store.forget()
            case faults.What.STORE_RESTORED:
                self.restore_store(fault)
            case faults.What.STORE_SLOW:
                for link in links:
                    link.delay = 0.12
                    self.later(fault, setattr, link, 'delay', 0.0)
            case faults.What.STORE_ANSWERS_LOST:
                links[0].mode = proxy.Mode.LOSE_ANSWERS
                self.later(fault, setattr, links[0], 'mode', proxy.Mode.PASS)
            case faults.What.STORE_LINK_CUT:
                links[0].mode = proxy.Mode.DARK
                self.later(fault, setattr, links[0], 'mode', proxy.Mode.PASS)

    def restore_store(self, fault: faults.Fault) -> None:
        """Have the store come back from a copy after a moment.

        Operators and engines write again what they had written; entries of
        engines that have gone lapse.
        """
        self.store.refusing = True
        self.later(fault, self.store_is_back)

    def store_is_back(self) -> None:
        """Serve from the copy."""
        self.store.restore()
        self.store.refusing = False
        now = self.reactor.seconds()
        for identity in self.store.tables.get('servers', {}):
            self.renewed_at.setdefault(identity, now)
        self.write_configuration()


def next_keys(keys: list[str], shown: str, added: str) -> list[str]:
    """Return the keys that are in force once another one is added.

    Callers show a key until a later one must be in force everywhere. Instances
    that refuse one that was taken away sooner are right to do so.
    """
    return [*keys[keys.index(shown) :], added]


def route(
    name: str, to: str, kind: str, limit: int, attempts: int
) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': callers.HOST,
        'prefix': f'/{name}/',
        'service': to,
        'kind': kind,
        'timeout_ms': limit,
        'latency_goal_ms': 300,
        'max_attempts': attempts,
        'resumable': kind == 'streaming',
        'gap_aim_ms': 700,
    }


def service(name: str, **fields: object) -> dict[str, object]:
    """Return a service of the configuration."""
    return {'name': name, 'max_conns': 200, 'health_path': '/health', **fields}
