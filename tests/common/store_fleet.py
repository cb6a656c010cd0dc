"""The instances of some data centres around a store that counts its calls."""

import random

from twisted.internet import defer
from twisted.internet import task

from greengagelb import errors
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import relay
from greengagelb.state.relay import hints
from greengagelb.state.relay import positions
from greengagelb.transport.relay import store_watch
from tests.common import relay_world

PLACE = 'north'
# As the users state them: a call of the store takes some milliseconds, and a
# datagram one between machines of a data centre. In seconds.
ANSWER_SECONDS = 0.006
DATAGRAM_SECONDS = 0.001
HEARTBEAT_SECONDS = 2.0
# How often it is looked whether a frozen instance goes on.
FROZEN_SECONDS = 0.05


class CountingStore:
    """What the store holds, with a count of the calls that it was sent.

    It refuses the calls of the instances in ``turned_away``, and all of them
    while it is ``down``. Those in ``frozen`` read its answers once they go on.
    """

    def __init__(self, clock):
        self.clock = clock
        self.calls = []
        self.down = False
        self.turned_away = set()
        self.frozen = set()
        self.version = 1
        self.changed_at = 1
        self.entries = {e.engine: e for e in relay_world.fleet()}
        self.rows = []
        self.members = {}
        self.position = 1
        self.era = positions.NO_ERA
        self.waiting = []

    @property
    def here(self):
        return positions.StorePosition(self.era, self.position)

    def count(self, kind):
        return sum(call[0] == kind for call in self.calls)

    def configure(self):
        """Put the next configuration in force."""
        self.version += 1
        self.position += 1
        self.changed_at = self.position
        waiting, self.waiting = self.waiting, []
        for answer in waiting:
            answer()

    def remove(self, engine):
        """Take an engine off the list."""
        del self.entries[engine]
        self.position += 1
        self.rows.append((self.position, engine))

    def ask(self, name, kind, answer):
        """Count a call, and answer it after a moment unless it is refused."""
        self.calls.append((kind, name, self.clock.seconds()))
        done = defer.Deferred()
        self.clock.callLater(ANSWER_SECONDS, self.end, name, done, answer)
        return done

    def end(self, name, done, answer):
        if name in self.frozen:
            self.clock.callLater(FROZEN_SECONDS, self.end, name, done, answer)
        elif self.down or name in self.turned_away:
            done.errback(errors.PlatformUnavailable('refused'))
        else:
            answer(done)


class CountingClock:
    """The clock of all, with a count of the timers that are set on it."""

    def __init__(self, clock):
        self.clock = clock
        self.timers = 0

    def seconds(self):
        return self.clock.seconds()

    def callLater(self, *arguments, **named):  # noqa: N802
        self.timers += 1
        return self.clock.callLater(*arguments, **named)


class OwnSource:
    """The store as one instance asks it."""

    def __init__(self, store, name):
        self.store = store
        self.name = name

    def read_configuration(self, position, wait_seconds):
        store = self.store

        def now(done):
            table = None
            if position is None or position.version < store.changed_at:
                table = relay_world.route_table(store.version)
            done.callback(store_watch.ConfigurationRead(store.here, table))

        def answer(done):
            news = position is None or position.version < store.changed_at
            if news or not wait_seconds:
                now(done)
                return
            late = store.clock.callLater(wait_seconds, lambda: tell())

            def tell():
                if late.active():
                    late.cancel()
                if tell in store.waiting:
                    store.waiting.remove(tell)
                if not done.called:
                    now(done)

            store.waiting.append(tell)

        return store.ask(self.name, 'configuration', answer)

    def read_engines(self, position):
        store = self.store

        def answer(done):
            since = position.version if position else 0
            removed = tuple(n for at, n in store.rows if at > since)
            entries = tuple(store.entries.values())
            done.callback(
                store_watch.EnginesRead(store.here, entries, removed)
            )

        return store.ask(self.name, 'engines', answer)

    def register(self, member):
        def answer(done):
            self.store.members[member.name] = member
            done.callback(None)

        return self.store.ask(self.name, 'register', answer)

    def read_members(self):
        def answer(done):
            members = tuple(self.store.members.values())
            done.callback(store_watch.MembersRead(members))

        return self.store.ask(self.name, 'members', answer)


class Instance:
    """One relay with its watch on the store; its hints reach the others."""

    def __init__(self, fleet, number):
        name = f'n{number:03}'
        self.fleet = fleet
        place = fleet.places[number % len(fleet.places)]
        self.own = hints.Member(name, f'{number:03}-x', '127.0.0.1', place)
        self.relay = relay.Relay(
            random.Random(number),
            self.own,
            relay_world.RETRIES,
            relay_world.ENGINE_BOUNDS,
        )
        self.alive = True
        self.unread = []
        self.watch = store_watch.StoreWatch(
            fleet.watch_clock,
            OwnSource(fleet.store, name),
            self.dispatch,
            lambda record: None,
            self.own,
            self.relay.sharing,
            lambda members: None,
        )

    @property
    def version(self):
        """Return the version of the configuration in force here."""
        return self.relay.route_table.version if self.relay.route_table else 0

    def knows(self, engine):
        """Return whether an engine may get work here."""
        state = self.relay.engines.states.get(engine)
        return state is not None and state.is_usable(
            self.fleet.clock.seconds()
        )

    def dispatch(self, event):
        if not self.alive:
            return
        if self.frozen:
            self.unread.append(event)
            return
        for action in self.relay.handle(event, self.fleet.clock.seconds()):
            match action:
                case relay_actions.BroadcastHints(told):
                    self.fleet.told += len(told)
                    for hint in told:
                        event = relay_events.PeerTold(
                            self.own.incarnation, hint
                        )
                        self.fleet.tell_others(self, event)
                case relay_actions.RescheduleStoreRead():
                    self.watch.schedule_read_check()

    def beat(self):
        if not self.alive:
            return
        if self.frozen:
            self.fleet.clock.callLater(FROZEN_SECONDS, self.beat)
            return
        heard = relay_events.PeerHeard(
            self.own.incarnation, self.own.data_centre
        )
        self.fleet.tell_others(self, heard)
        self.fleet.clock.callLater(HEARTBEAT_SECONDS, self.beat)

    @property
    def frozen(self):
        return self.own.name in self.fleet.store.frozen

    def freeze(self):
        """Stand still; what comes meanwhile is read later."""
        self.fleet.store.frozen.add(self.own.name)

    def go_on(self):
        """Read what has come meanwhile."""
        self.fleet.store.frozen.discard(self.own.name)
        unread, self.unread = self.unread, []
        for event in unread:
            self.dispatch(event)

    def kill(self):
        """End without a word."""
        self.alive = False
        self.watch.stopped = True


class StoreFleet:
    """Some instances; nothing is told into or out of the places ``cut``."""

    def __init__(self, size, places=(PLACE,)):
        random.seed(1)
        self.places = places
        self.cut = set()
        self.told = 0
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.watch_clock = CountingClock(self.clock)
        self.store = CountingStore(self.clock)
        self.instances = [Instance(self, number) for number in range(size)]
        draw = random.Random(size)
        for instance in self.instances:
            self.clock.callLater(draw.uniform(0.0, 0.3), instance.beat)
            self.clock.callLater(draw.uniform(0.0, 0.3), instance.watch.start)

    @property
    def readers(self):
        """Return the living instances that read for all."""
        return [
            instance
            for instance in self.instances
            if instance.alive and instance.relay.sharing.reads_for_all
        ]

    def hears(self, one, other):
        """Return whether a datagram gets from one instance to another."""
        places = {one.own.data_centre, other.own.data_centre}
        return len(places) == 1 or not places & self.cut

    def tell_others(self, sender, event):
        hearing = [
            other
            for other in self.instances
            if other is not sender and self.hears(sender, other)
        ]

        def arrive():
            for other in hearing:
                other.dispatch(event)

        self.clock.callLater(DATAGRAM_SECONDS, arrive)

    def play(self, seconds):
        """Let time pass; return how many calls were made meanwhile."""
        before = len(self.store.calls)
        until = self.clock.seconds() + seconds
        while self.clock.seconds() < until:
            self.clock.advance(0.001)
        return len(self.store.calls) - before
