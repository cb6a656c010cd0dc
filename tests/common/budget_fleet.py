"""Decisions of several instances, and engines that count what arrives.

No sockets: announcements between instances take a while, and some are lost.
"""

import bisect
import collections
import heapq
import itertools
import random

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from tests.common import relay_world

LINK_SECONDS = 0.001
PROBE_SECONDS = 0.3
TICK_SECONDS = 0.05
EVENT_SECONDS = 0.35
SERVED = 200
MISDIRECTED = 421
# An engine that has ended is followed by another one at its address after
# this time.
RESTART_SECONDS = 1.2


class Instance(relay_world.RelayWorld):
    """One life of an instance in the fleet."""

    def __init__(self, fleet, name, now):
        self.fleet = None
        super().__init__(fleet.engines, seed=fleet.rng.randrange(1_000_000))
        self.fleet = fleet
        self.name = name
        self.now = now

    def handle(self, event):
        done = super().handle(event)
        if self.fleet is not None:
            self.fleet.carry_out(self, done)
        return done


class BudgetFleet:
    """Instances whose sends and announcements travel on one clock.

    ``status`` is what engines answer a send with; after 200 they write an
    event every ``EVENT_SECONDS``, ``events`` in all. ``asked_at`` has the
    times of clients' requests, ``repeated_at`` those of the arrivals beyond
    the first of each. Until ``held_until``, sends stand in the engines'
    sockets. ``running`` has the sends whose engine works on them. Until
    ``silent_until`` no engine writes anything; they answer probes if they are
    ``in_reach``. ``followed_at`` has when another engine is at the address of
    one that has ended, ``misdirected`` the answers of such engines by request.
    """

    def __init__(
        self, size, seed=1, delays=(0.001, 0.005), loss=0.0, per_place=2
    ):
        self.engines = relay_world.fleet(per_place)
        self.rng = random.Random(seed)
        self.delays = delays
        self.loss = loss
        self.now = 100.0
        self.heap = []
        self.serials = itertools.count()
        self.status = 503
        self.held_until = 0.0
        self.events = 70
        self.silent_until = 0.0
        self.in_reach = True
        self.running = {}
        self.asked_at = []
        self.repeated_at = []
        self.arrivals = collections.Counter()
        self.followed_at = {}
        self.misdirected = collections.Counter()
        self.instances = []
        for _ in range(size):
            self.instances.append(self.start())
        for one in self.instances:
            self.introduce(one)

    def start(self):
        return Instance(self, f'{next(self.serials)}-i', self.now)

    def introduce(self, one):
        """Have an instance know all the others."""
        others = [other for other in self.instances if other is not one]
        members = tuple(
            hints.Member(other.name, other.name, '127.0.0.1', 'north')
            for other in others
        )
        one.handle(relay_events.MembersListed(members))
        for other in others:
            one.handle(
                relay_events.PeerHeard(other.name, 'north', one.relay.digests)
            )

    def restart(self, number):
        """Kill an instance; the next one starts at once."""
        killed = self.instances[number]
        self.instances[number] = self.start()
        for other in self.instances:
            other.now = self.now
            other.handle(relay_events.PeerLeft(killed.name))
            self.introduce(other)

    def at(self, seconds, call, *given):
        serial = next(self.serials)
        heapq.heappush(self.heap, (seconds, serial, call, given))

    def advance(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, given = heapq.heappop(self.heap)
            call(*given)
        self.now = until

    def ask(self, number):
        """Have a client ask an instance for a stream."""
        self.asked_at.append(self.now)
        asked = self.instances[number]
        asked.advance(self.now - asked.now)
        asked.ask_little()

    def ask_for(self, seconds, rate):
        """Have clients ask random instances for a time."""
        for _ in range(round(seconds * rate)):
            self.ask(self.rng.randrange(len(self.instances)))
            self.advance(1.0 / rate)

    def carry_out(self, one, done):
        for action in done:
            match action:
                case relay_actions.Send():
                    arrives_at = max(self.now, self.held_until) + LINK_SECONDS
                    self.at(arrives_at, self.arrive, one, action)
                case relay_actions.AbandonSend(exchange, send):
                    self.running.pop((one.name, exchange, send), None)
                case relay_actions.ProbeEngine(exchange, send):
                    alive = self.in_reach or self.now >= self.silent_until
                    probed = relay_events.EngineProbed(exchange, send, alive)
                    seconds = LINK_SECONDS if alive else PROBE_SECONDS
                    self.at(self.now + seconds, self.give, one, probed)
                case relay_actions.CheckEngine(entry):
                    has_ended = entry.engine in self.followed_at
                    fate = relay_events.EngineFate
                    checked = relay_events.EngineChecked(
                        entry, fate.ENDED if has_ended else fate.ALIVE
                    )
                    self.at(self.now + LINK_SECONDS, self.give, one, checked)
                case relay_actions.ProbeAddress(entry):
                    found = self.engine_at_address(entry.engine)
                    probed = relay_events.AddressProbed(
                        entry.engine,
                        found,
                        is_replaced=found not in ('', entry.engine),
                    )
                    self.at(self.now + LINK_SECONDS, self.give, one, probed)
                case relay_actions.TellPeer(name, hint):
                    for other in self.instances:
                        if other.name == name:
                            self.tell(one, other, hint)
                case relay_actions.TellPeers(hint):
                    for other in self.instances:
                        self.tell(one, other, hint)

    def tell(self, one, other, hint):
        """Have a hint travel to another instance, unless it is lost."""
        if other is not one and self.rng.random() >= self.loss:
            delay = self.rng.uniform(*self.delays)
            told = relay_events.PeerTold(one.name, hint)
            self.at(self.now + delay, self.give, other, told)

    def give(self, one, event):
        """Give an instance an event, unless it has been killed."""
        if one in self.instances:
            one.advance(self.now - one.now)
            one.handle(event)

    def serve(self, one, send):
        """Begin to answer a send."""
        key = (one.name, send.exchange, send.send)
        self.running[key] = one, send
        one.begin(send)
        first = (send.resume_after or 0) + 1
        self.at(self.now + EVENT_SECONDS, self.write, key, first)

    def write(self, key, number):
        """Write an event of a run, or its end, unless engines are silent."""
        if key not in self.running:
            return
        if self.now < self.silent_until:
            self.at(self.silent_until, self.write, key, number)
            return
        one, send = self.running[key]
        one.advance(self.now - one.now)
        if key not in self.running:
            return
        if number > self.events:
            del self.running[key]
            one.complete(send)
            return
        one.events(send, number)
        self.at(self.now + EVENT_SECONDS, self.write, key, number + 1)

    def break_all(self):
        """Break the connection of every run."""
        for one, send in list(self.running.values()):
            self.at(self.now, self.break_run, one, send)

    def break_run(self, one, send):
        if self.running.pop((one.name, send.exchange, send.send), None):
            self.give(
                one,
                relay_events.SendFailed(
                    send.exchange, send.send, True, 'ConnectionLost'
                ),
            )

    def lose_place(self, place):
        """End all model engines of a data centre; others follow them."""
        for entry in self.engines:
            is_model = entry.service == relay_world.STREAMS
            if is_model and entry.data_centre == place:
                self.followed_at[entry.engine] = self.now + RESTART_SECONDS
        for one, send in list(self.running.values()):
            if send.engine.engine in self.followed_at:
                self.at(self.now, self.break_run, one, send)

    def engine_at_address(self, engine):
        """Return which engine answers at an engine's address, or ''."""
        if engine not in self.followed_at:
            return engine
        is_followed = self.now >= self.followed_at[engine]
        return f'{engine}-next' if is_followed else ''

    def silence_all(self, seconds):
        """Have all engines write nothing for a time."""
        self.silent_until = self.now + seconds
        while self.now < self.silent_until:
            self.advance(TICK_SECONDS)
            for one in self.instances:
                one.advance(self.now - one.now)

    def arrive(self, one, send):
        """Count a send at its engine, which refuses or serves it."""
        found = self.engine_at_address(send.engine.engine)
        if not found:
            refused = relay_events.SendFailed(
                send.exchange, send.send, False, 'ConnectionRefusedError'
            )
            self.give(one, refused)
            return
        key = (one.name, send.exchange)
        self.arrivals[key] += 1
        if self.arrivals[key] > 1:
            self.repeated_at.append(self.now)
        if found != send.engine.engine:
            self.misdirected[key] += 1
            self.refuse(one, send, MISDIRECTED)
        elif self.status == SERVED:
            self.serve(one, send)
        else:
            self.refuse(one, send, self.status)

    def refuse(self, one, send, status):
        """Turn a send away that has not run."""
        answered = relay_events.AnswerComplete(
            send.exchange,
            send.send,
            relay_world.answer_head(status, sealed=False, not_run=True),
            b'',
        )
        self.give(one, answered)

    def excess(self):
        """Return by how much the worst window exceeds the bound, or less.

        The requests are those of that window, of the one before it, or of the
        one half a window before it.
        """
        bounds = relay_world.RETRIES
        seconds = bounds.window_seconds

        def count(times, start):
            first = bisect.bisect_left(times, start)
            return bisect.bisect_left(times, start + seconds) - first

        return max(
            count(self.repeated_at, start)
            - bounds.slack
            - bounds.ratio
            * max(
                count(self.asked_at, start - earlier)
                for earlier in (0.0, seconds / 2, seconds)
            )
            for start in self.repeated_at
        )
