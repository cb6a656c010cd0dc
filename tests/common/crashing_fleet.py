"""Relays around engines that some requests crash, without sockets.

Datagrams between instances may be lost or cut. An engine that crashes ends
all that it had, refuses connections for a while, and is listed again under
another identity.
"""

import dataclasses
import heapq
import itertools
import random

from greengagelb.coordination import actions as common_actions
from greengagelb.coordination import events as common_events
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import relay
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from tests.common import relay_world

CRASHING = b'what crashes engines'
# Each request whose prompt has one of these parts crashes engines.
CRASHING_PART = 'crashing part'
OTHER_CRASHING_PART = 'other crashing part'
CRASHING_PARTS = frozenset({CRASHING_PART, OTHER_CRASHING_PART})
# Parts that sound requests and crashing ones have in common.
SYSTEM_PART = 'system prompt'
TOOLS_PART = 'description of tools'
SOUND_PARTS = ((SYSTEM_PART,), (SYSTEM_PART, TOOLS_PART))
# Time for sound requests before the first crashing one.
WARM_SECONDS = 8.0
# Within so many seconds instances that hear each other know of a crash.
CONTACT_SECONDS = 3.0
NETWORK_SECONDS = 0.001
READING_SECONDS = 1.0
COPY_SECONDS = 0.02
CRASH_SECONDS = 0.03
# The share of the engines of a data centre that end as it is lost.
LOST_SHARE = 0.9
PART_SECONDS = 0.25
PARTS = 12
CALL_SECONDS = 0.03
DOWN_SECONDS = 2.0
LISTED_SECONDS = 0.5
CALLER_SECONDS = 25.0
PATHS = {
    'stream': b'/drafts/1',
    'query': b'/queries/1',
    'call': b'/booking/1',
}


@dataclasses.dataclass(frozen=True)
class CrashMoment:
    """When a request crashes its engine.

    ``read_share`` is the share of its prompt that was read. The head of the
    answer was written if that is more than the whole, then ``events`` of it,
    and the engine ends ``seconds`` after the head.
    """

    read_share: float = 2.0
    events: int = 0
    seconds: float = CRASH_SECONDS

    @property
    def has_head(self):
        return self.read_share > 1.0


WHILE_READING = CrashMoment(read_share=0.4)
BEFORE_HEAD = CrashMoment(read_share=1.0)
AT_HEAD = CrashMoment()
AFTER_EVENT = CrashMoment(events=1, seconds=0.05)
AFTER_EVENTS = CrashMoment(events=4, seconds=0.35)
MOMENTS = {
    'while reading': WHILE_READING,
    'before the head': BEFORE_HEAD,
    'at the head': AT_HEAD,
    'after an event': AFTER_EVENT,
    'after events': AFTER_EVENTS,
}


@dataclasses.dataclass(eq=False)
class Run:
    """A send that an engine has."""

    instance: 'Instance'
    send: relay_actions.Send
    moment: CrashMoment = AT_HEAD
    ended: bool = False
    begun: bool = False

    @property
    def crashes(self):
        request = self.send.request
        crashing_parts = self.instance.fleet.crashing_parts
        return request.body.startswith(
            CRASHING
        ) or not crashing_parts.isdisjoint(request.shared_parts)


class Engine:
    """One engine's lives, one after the other, at one address."""

    def __init__(self, entry):
        self.entry = entry
        self.alive = True
        self.runs = []
        self.free_at = 0.0


class Instance:
    """One relay; what it wants done is carried out by the fleet."""

    def __init__(self, fleet, number, life=0):
        self.fleet = fleet
        self.number = number
        place = relay_world.PLACES[number % len(relay_world.PLACES)]
        self.own = hints.Member(
            f'n{number:03}', f'{number:03}-{life}', '127.0.0.1', place
        )
        self.relay = relay.Relay(
            random.Random(1000 * life + number),
            self.own,
            relay_world.RETRIES,
            relay_world.ENGINE_BOUNDS,
        )
        self.alive = True
        self.timers = {}
        self.answers = {}
        self.records = []

    def handle(self, event):
        if not self.alive:
            return
        for action in self.relay.handle(event, self.fleet.now):
            self.fleet.carry_out(self, action)

    def fire(self, name, deadline):
        if self.timers.get(name) == deadline:
            del self.timers[name]
            self.handle(common_events.TimerFired(name))

    def beat(self):
        if self.alive:
            self.fleet.send_heartbeat(self)
            now = self.fleet.now
            wait = (
                self.relay.fleet.next_heartbeat_at(now, self.relay.rng) - now
            )
            self.fleet.after(wait, self.beat)


class CrashingFleet:
    """Instances and engines on one clock.

    ``arrivals`` and ``crashes`` are the times at which engines got, and were
    ended by, what crashes them. ``loss`` is the part of all datagrams that is
    lost, and nothing passes between a place in ``cut`` and others. Each crash
    has one of the ``moments``, drawn, and checks of engines are answered with
    the probability ``answered``.
    """

    def __init__(self, size, per_place=3, loss=0.0, seed=1):
        self.rng = random.Random(seed)
        self.loss = loss
        self.peer_seconds = NETWORK_SECONDS
        self.cut = set()
        self.now = 100.0
        self.events = []
        self.order = itertools.count()
        self.last_exchange = 0
        self.arrivals = []
        self.crashing_parts = set(CRASHING_PARTS)
        self.moments = (AT_HEAD,)
        self.answered = 1.0
        self.store = {}
        self.crashes = []
        self.datagrams = 0
        self.engines = {
            entry.engine: Engine(entry)
            for entry in relay_world.fleet(per_place)
        }
        self.instances = [Instance(self, number) for number in range(size)]
        for instance in self.instances:
            self.set_up(instance)
        self.run(2.5)

    # -- time ---------------------------------------------------------------

    def after(self, seconds, function, *arguments):
        at = self.now + seconds
        heapq.heappush(
            self.events, (at, next(self.order), function, arguments)
        )

    def run(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        self.now = until

    # -- instances ----------------------------------------------------------

    def set_up(self, instance):
        """Give an instance what it reads in the store when it starts."""
        table = relay_world.table_of_two_accounts()
        instance.handle(relay_events.ConfigurationOffered(table, 'store'))
        entries = [e.entry for e in self.engines.values() if e.alive]
        instance.handle(relay_events.EnginesListed(tuple(entries)))
        members = tuple(
            other.own for other in self.instances if other is not instance
        )
        instance.handle(relay_events.MembersListed(members))
        kept = tuple(
            dataclasses.replace(
                report,
                crashes=tuple(
                    dataclasses.replace(c, age=c.age + self.now - at)
                    for c in report.crashes
                ),
            )
            for at, report in self.store.values()
        )
        instance.handle(relay_events.CrashesListed(kept))
        self.after(self.rng.uniform(0.0, 0.2), instance.beat)

    def restart(self, number):
        """Kill an instance and start it anew."""
        former = self.instances[number]
        former.alive = False
        life = int(former.own.incarnation.rpartition('-')[2]) + 1
        self.instances[number] = Instance(self, number, life)
        self.set_up(self.instances[number])
        return self.instances[number]

    def reached(self, one, other):
        """Return whether a datagram that is sent now arrives."""
        self.datagrams += 1
        places = {one.own.data_centre, other.own.data_centre}
        if len(places) > 1 and places & self.cut:
            return False
        return self.rng.random() >= self.loss

    def tell(self, sender, event):
        """Send a datagram to all others."""
        for other in self.instances:
            if other is not sender and self.reached(sender, other):
                self.after(self.peer_seconds, other.handle, event)

    def send_heartbeat(self, sender):
        own = sender.own
        heard = relay_events.PeerHeard(
            own.incarnation, own.data_centre, sender.relay.digests
        )
        self.tell(sender, heard)

    # -- callers ------------------------------------------------------------

    def ask(
        self,
        kind='stream',
        body=b'innocent',
        instance=None,
        parts=(),
        key=relay_world.KEY,
    ):
        """Send a request to an instance, drawn if none is given.

        ``parts`` are those of its prompt that others share. Returns the
        instance and the exchange.
        """
        instance = instance or self.rng.choice(self.instances)
        self.last_exchange += 1
        number = self.last_exchange
        stream = kind == 'stream'
        prompt = requests.Prompt(8_000, 780, f'part{number}')
        instance.handle(
            relay_events.RequestArrived(
                requests.CallerRequest(
                    number,
                    b'POST',
                    PATHS[kind],
                    relay_world.HOST,
                    (),
                    body,
                    f'r{number}',
                    key,
                    self.now,
                    self.now + CALLER_SECONDS,
                    prompt=prompt if stream else None,
                    shared_parts=parts,
                )
            )
        )
        return instance, number

    def ask_again_and_again(self, kind, seconds, every):
        """Have what crashes engines come at any instance, under new ids."""
        for number in range(int(seconds / every)):
            self.after(number * every, self.ask, kind, CRASHING)
        self.run(seconds)

    def ask_with_parts(self, kind, seconds, every, *choices):
        """Have different requests come at any instance.

        Each has the parts of one of the ``choices``. Returns a list that is
        filled with their instances and exchanges as they come.
        """
        asked = []

        def ask():
            body = b'content %d' % self.last_exchange
            parts = self.rng.choice(choices)
            asked.append(self.ask(kind, body, parts=parts))

        for number in range(int(seconds / every)):
            self.after(number * every, ask)
        return asked

    def play_parts(self, seconds, every, choices, *, warm):
        """Play sound requests and crashing ones; return the sound ones.

        The crashing ones come ``every`` so many seconds and have the parts of
        one of the ``choices``; without choices there are none. ``warm`` is
        whether sound requests came before.
        """
        if warm:
            self.ask_with_parts('stream', 4.0, 0.5, *SOUND_PARTS)
            self.run(WARM_SECONDS)
        sound = self.ask_with_parts('stream', seconds, 0.5, *SOUND_PARTS)
        if choices:
            self.ask_with_parts('stream', seconds, every, *choices)
        self.run(seconds + CALLER_SECONDS)
        return sound

    def served_share(self, asked):
        """Return the share of requests that got their whole answer."""
        whole = (relay_actions.EndStream, relay_actions.PassAnswer)
        served = [
            isinstance(instance.answers.get(exchange), whole)
            for instance, exchange in asked
        ]
        return sum(served) / len(served)

    def count_refused_for_crashes(self, asked):
        """Return how many requests were refused as engines crashed."""
        codes = (answers.CRASHES_ENGINES, answers.CRASHES_UNDECIDED)
        return sum(
            getattr(instance.answers.get(exchange), 'code', '') in codes
            for instance, exchange in asked
        )

    def refuses(self, instance, kind='stream'):
        """Return whether an instance refuses what crashes engines."""
        _, exchange = self.ask(kind, CRASHING, instance)
        answer = instance.answers.get(exchange)
        return isinstance(answer, relay_actions.Refuse)

    def retries_after_the_third_crash(self):
        """Return how often engines got it once all instances must know."""
        return self.arrivals_after_crash(3)

    def arrivals_after_crash(self, number):
        """Return how often engines got it once a crash must be known."""
        if len(self.crashes) < number:
            return 0
        known_at = self.crashes[number - 1] + CONTACT_SECONDS
        return sum(at > known_at for at in self.arrivals)

    # -- what instances want done -------------------------------------------

    def carry_out(self, instance, action):
        match action:
            case relay_actions.Send():
                self.after(NETWORK_SECONDS, self.deliver, instance, action)
            case relay_actions.AbandonSend(exchange, send):
                self.abandon(instance, exchange, send)
            case relay_actions.TellPeers(hint):
                self.tell(
                    instance,
                    relay_events.PeerTold(instance.own.incarnation, hint),
                )
            case relay_actions.TellPeer(incarnation, hint):
                told = relay_events.PeerTold(instance.own.incarnation, hint)
                for other in self.instances:
                    found = other.own.incarnation == incarnation
                    if found and self.reached(instance, other):
                        self.after(self.peer_seconds, other.handle, told)
            case relay_actions.StoreCrashReport(report):
                self.store[report.fingerprint] = (self.now, report)
            case relay_actions.DeleteCrashReport(fingerprint):
                self.store.pop(fingerprint, None)
            case relay_actions.CheckEngine(entry):
                fate = relay_events.EngineFate.ENDED
                if self.life_of(entry) is not None:
                    fate = relay_events.EngineFate.ALIVE
                if self.answered < 1.0 and self.rng.random() > self.answered:
                    fate = relay_events.EngineFate.UNKNOWN
                checked = relay_events.EngineChecked(entry, fate)
                self.after(2 * NETWORK_SECONDS, instance.handle, checked)
            case relay_actions.BroadcastHints(told):
                for hint in told:
                    self.tell(
                        instance,
                        relay_events.PeerTold(instance.own.incarnation, hint),
                    )
            case common_actions.SetTimer(name, deadline):
                instance.timers[name] = deadline
                wait = max(0.0, deadline - self.now)
                self.after(wait, instance.fire, name, deadline)
            case common_actions.ClearTimer(name):
                instance.timers.pop(name, None)
            case common_actions.Record():
                instance.records.append(action)
            case relay_actions.ProbeEngine(exchange, send, entry):
                engine = self.life_of(entry)
                probed = relay_events.EngineProbed(
                    exchange, send, engine is not None
                )
                self.after(2 * NETWORK_SECONDS, instance.handle, probed)
            case (
                relay_actions.PassAnswer(exchange=exchange)
                | relay_actions.EndStream(exchange=exchange)
                | relay_actions.AbortStream(exchange=exchange)
                | relay_actions.Refuse(exchange=exchange)
            ):
                instance.answers[exchange] = action

    def draw_moment(self):
        """Return when a request crashes its engine, if it does."""
        if len(self.moments) == 1:
            return self.moments[0]
        return self.rng.choice(self.moments)

    def life_of(self, entry):
        """Return the engine of an entry, if that life has not ended."""
        engine = self.engines.get(entry.engine)
        return engine if engine and engine.alive else None

    def deliver(self, instance, send):
        engine = self.life_of(send.engine)
        if engine is None:
            broken = relay_events.SendFailed(
                send.exchange, send.send, False, 'connect: refused'
            )
            instance.handle(broken)
            return
        run = Run(instance, send, self.draw_moment())
        engine.runs.append(run)
        self.arrived(engine, run)
        if run.crashes:
            self.arrivals.append(self.now)
        if send.stream:
            takes = COPY_SECONDS if send.copy_from else READING_SECONDS
            reads_from = max(self.now, engine.free_at)
            engine.free_at = reads_from + takes
            if run.crashes and not run.moment.has_head:
                ends_at = reads_from + takes * run.moment.read_share
                self.after(ends_at - self.now, self.crash_by, engine, run)
                return
            self.after(engine.free_at - self.now, self.begin, engine, run)
        elif run.crashes:
            self.after(CALL_SECONDS, self.crash_by, engine, run)
        else:
            self.after(CALL_SECONDS, self.answer, engine, run)

    def abandon(self, instance, exchange, send):
        for engine in self.engines.values():
            for run in engine.runs:
                if (
                    run.instance is instance
                    and run.send.exchange == exchange
                    and run.send.send == send
                ):
                    run.ended = True

    # -- engines ------------------------------------------------------------

    def arrived(self, engine, run):
        """Note that an engine has got a request."""

    def head_of(self, engine, run):
        """Return the head of an engine's answer."""
        return relay_world.answer_head()

    def begin(self, engine, run):
        """Begin to answer a stream, as its prompt is read."""
        if run.ended:
            return
        head = self.head_of(engine, run)
        run.instance.handle(
            relay_events.AnswerStarted(run.send.exchange, run.send.send, head)
        )
        if run.crashes:
            self.write_until_crash(engine, run)
        else:
            run.begun = True
            first = (run.send.resume_after or 0) + 1
            self.after(PART_SECONDS, self.go_on, engine, run, first)

    def write_until_crash(self, engine, run):
        """Write some events, then crash."""
        moment = run.moment
        first = (run.send.resume_after or 0) + 1
        for written in range(moment.events):
            wait = moment.seconds * (written + 1) / (moment.events + 1)
            self.after(wait, self.write_event, run, first + written)
        self.after(moment.seconds, self.crash_by, engine, run)

    def write_event(self, run, number):
        if run.ended:
            return
        moved = requests.StreamEvent(number, b'id: %d\n\n' % number)
        run.instance.handle(
            relay_events.StreamProgressed(
                run.send.exchange, run.send.send, (moved,)
            )
        )

    def go_on(self, engine, run, number):
        if run.ended:
            return
        run.begun = False
        self.write_event(run, number)
        if number < PARTS:
            self.after(PART_SECONDS, self.go_on, engine, run, number + 1)
            return
        self.finish(engine, run)
        run.instance.handle(
            relay_events.StreamComplete(run.send.exchange, run.send.send)
        )

    def answer(self, engine, run):
        if not run.ended:
            self.finish(engine, run)
            run.instance.handle(
                relay_events.AnswerComplete(
                    run.send.exchange,
                    run.send.send,
                    self.head_of(engine, run),
                    b'ok',
                )
            )

    def finish(self, engine, run):
        run.ended = True
        engine.runs.remove(run)

    def crash_by(self, engine, run):
        if engine.alive and not run.ended:
            self.crashes.append(self.now)
            self.crash(engine)

    def lose_data_centre(self, place):
        """End nine in ten of the engines of a data centre at once."""
        for engine in list(self.engines.values()):
            in_place = engine.entry.data_centre == place
            if engine.alive and in_place and self.rng.random() < LOST_SHARE:
                self.crash(engine)

    def lose_data_centres(self, seconds, every):
        """Lose one data centre after the other."""
        for number in range(int(seconds / every)):
            place = relay_world.PLACES[number % len(relay_world.PLACES)]
            self.after(every * (number + 0.5), self.lose_data_centre, place)

    def crash_busy_engine(self):
        """End an engine that has something to do, if there is one."""
        busy = [e for e in self.engines.values() if e.alive and e.runs]
        if busy:
            self.crash(self.rng.choice(busy))

    def crash_any_engine(self):
        """End a model engine that has just begun to write, if there is one."""
        begun = [
            engine
            for engine in self.engines.values()
            if engine.alive and any(run.begun for run in engine.runs)
        ]
        if begun:
            self.crash(self.rng.choice(begun))

    def crash(self, engine):
        """End an engine with all that it has; it is back after a while."""
        engine.alive = False
        runs, engine.runs = engine.runs, []
        for run in runs:
            if not run.ended:
                run.ended = True
                broken = relay_events.SendFailed(
                    run.send.exchange, run.send.send, True, 'ConnectionLost'
                )
                self.after(NETWORK_SECONDS, run.instance.handle, broken)
        self.after(DOWN_SECONDS, self.come_back, engine)

    def come_back(self, engine):
        former = engine.entry
        del self.engines[former.engine]
        name, _, life = former.engine.partition('+')
        entry = dataclasses.replace(
            former,
            engine=f'{name}+{int(life or 0) + 1}',
            started_at_ms=engines.UNKNOWN_START,
        )
        self.engines[entry.engine] = Engine(entry)
        news = relay_events.EnginesChanged((entry,), (former.engine,))
        for instance in self.instances:
            self.after(LISTED_SECONDS, instance.handle, news)
