"""The platform's store as one instance reaches it: over a link of its own.

It speaks HTTP over wires without sockets, in virtual time, and sends no
faster than the link carries. What it is asked for it answers in full, the
changes since a version with every version in between.
"""

import base64
import json
import random
import urllib.parse

import h11
from twisted.internet import testing

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import relay
from greengagelb.platform import store
from greengagelb.state.relay import hints
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay import store_watch
from tests.common import relay_wires
from tests.common import relay_world

OWN = hints.Member('n07', '07-x', '127.0.0.1', 'north')
# As the users state it: an answer takes some milliseconds. In seconds.
ANSWER_SECONDS = 0.004
# How often the emulated link sends on, in seconds.
TICK_SECONDS = 0.02
# An engine renews its entry so often, in seconds.
RENEWAL_SECONDS = 1.2
CONFIGURATION = ('op', 'config')


def engine_value(number, renewal, state='ready'):
    """Return what an engine writes of itself."""
    return {
        'service': relay_world.STREAMS,
        'address': f'10.3.{number // 250}.{number % 250 + 1}:8000',
        'zone': 'north',
        'version': '1.0.0',
        'slots': 16,
        'state': state,
        'cold_left_ms': 0,
        'seq': renewal,
    }


def configuration_value(version, routes):
    """Return a configuration with some routes that nobody asks for."""
    route = {
        'host': 'api.example',
        'kind': 'safe',
        'timeout_ms': 1200,
        'service': relay_world.CALLS,
    }
    return {
        'version': version,
        'routes': [
            {'name': f'r{n}', 'prefix': f'/p{n}/', **route}
            for n in range(routes)
        ],
        'services': [
            {'name': relay_world.STREAMS},
            {'name': relay_world.CALLS},
        ],
    }


class StoreWire(relay_wires.Wire):
    """A connection to the store; ``cut`` keeps all bytes from passing."""

    def __init__(self, owner):
        super().__init__()
        self.owner = owner
        self.server = h11.Connection(h11.SERVER)
        self.unsent = b''
        self.client = None

    def write(self, data):
        self.server.receive_data(data)
        while not self.aborted:
            event = self.server.next_event()
            if isinstance(event, h11.Request):
                self.target = event.target.decode()
            elif isinstance(event, h11.EndOfMessage):
                self.owner.asked(self, self.target)
                return
            elif event is h11.NEED_DATA:
                return

    def answer(self, body, status=200):
        """Hand the store's answer to the link."""
        length = str(len(body)).encode()
        headers = [(b'Content-Length', length)]
        if self.owner.era is not None:
            headers.append((b'Store-Era', str(self.owner.era).encode()))
        head = h11.Response(status_code=status, headers=headers)
        self.unsent += self.server.send(head)
        self.unsent += self.server.send(h11.Data(data=body))
        self.unsent += self.server.send(h11.EndOfMessage())
        self.server.start_next_cycle()


class LinkReactor(testing.MemoryReactorClock):
    """Connects at once, to the store of a test."""

    def __init__(self):
        super().__init__()
        self.store = None

    def connectTCP(self, host, port, factory, **named):  # noqa: N802
        connector = super().connectTCP(host, port, factory, **named)
        self.callLater(0.001, self.store.connected, factory)
        return connector


class WireStore:
    """Rows with their whole history, behind a link of some bytes a second."""

    def __init__(self, reactor, bytes_a_second):
        self.reactor = reactor
        self.bytes_a_second = bytes_a_second
        self.cut = False
        self.era = None
        self.version = 0
        self.history = []
        self.rows = {}
        self.wires = []
        self.waiting = []
        self.calls = 0
        reactor.store = self
        self.tick()

    # -- what others write --------------------------------------------------

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.change(table, {'key': key, 'value': text})

    def drop(self, table, key):
        self.change(table, {'key': key, 'value': '', 'tombstone': True})

    def change(self, table, row):
        self.version += 1
        row['ver'] = self.version
        self.history.append((table, row))
        self.rows[table, row['key']] = row
        for answer in list(self.waiting):
            answer()

    def copy(self):
        """Return a copy, from which the store may come back."""
        return self.version, list(self.history), dict(self.rows)

    def restore(self, copy):
        """Come back from a copy; what was written since is gone."""
        self.version, history, rows = copy
        self.history, self.rows = list(history), dict(rows)
        self.era = (self.era or 0) + 1

    # -- calls --------------------------------------------------------------

    def connected(self, factory):
        wire = StoreWire(self)
        wire.client = factory.buildProtocol(None)
        wire.client.makeConnection(wire)
        self.wires.append(wire)

    def asked(self, wire, target):
        """Answer a call, unless no byte passes."""
        self.calls += 1
        if not self.cut:
            self.reactor.callLater(ANSWER_SECONDS, self.reply, wire, target)

    def reply(self, wire, target):
        path, _, query = target.partition('?')
        fields = urllib.parse.parse_qs(query)
        match path:
            case '/api/rows-get':
                wire.answer(self.listed(fields['table'][0]))
            case '/api/rows-feed':
                self.reply_with_changes(wire, fields)
            case '/api/rows-tx':
                wire.answer(json.dumps({'ver': self.version}).encode())

    def reply_with_changes(self, wire, fields):
        table = fields['table'][0]
        since = int(fields['after_rev'][0])
        if since > self.version:
            wire.answer(b'{}', status=410)
            return

        def reply():
            if reply not in self.waiting:
                return
            found = self.changes(table, since)
            if found or self.reactor.seconds() >= until:
                self.waiting.remove(reply)
                wire.answer(self.encode(found))

        until = self.reactor.seconds() + int(fields['wait_ms'][0]) / 1000.0
        self.waiting.append(reply)
        reply()
        self.reactor.callLater(until - self.reactor.seconds(), reply)

    def listed(self, table):
        found = [row for (name, _), row in self.rows.items() if name == table]
        return self.encode([row for row in found if 'tombstone' not in row])

    def changes(self, table, since):
        return [
            row
            for name, row in self.history
            if name == table and row['ver'] > since
        ]

    def encode(self, rows):
        return json.dumps({'rows': rows, 'ver': self.version}).encode()

    # -- the link -----------------------------------------------------------

    def tick(self):
        """Send on what the link carries until the next tick."""
        self.reactor.callLater(TICK_SECONDS, self.tick)
        left = int(self.bytes_a_second * TICK_SECONDS)
        for wire in list(self.wires):
            if wire.aborted:
                self.wires.remove(wire)
            elif not self.cut and left > 0 and wire.unsent:
                part, wire.unsent = wire.unsent[:left], wire.unsent[left:]
                left -= len(part)
                wire.client.dataReceived(part)


class LinkedInstance:
    """An instance's decisions, and its watch on a store behind a link."""

    def __init__(self, bytes_a_second):
        random.seed(1)
        self.reactor = LinkReactor()
        self.store = WireStore(self.reactor, bytes_a_second)
        self.relay = relay.Relay(
            random.Random(1),
            OWN,
            relay_world.RETRIES,
            relay_world.ENGINE_BOUNDS,
        )
        self.records = []
        pool = http_client.ConnectionPool(self.reactor)
        self.watch = store_watch.StoreWatch(
            self.reactor,
            store.PlatformStore(pool, relay_wires.ADDRESS),
            self.dispatch,
            self.records.append,
            OWN,
            self.relay.sharing,
            lambda members: None,
        )

    def dispatch(self, event):
        """Have an event decided, and look at the store if it says so."""
        for action in self.relay.handle(event, self.reactor.seconds()):
            match action:
                case relay_actions.RescheduleStoreRead():
                    self.watch.schedule_read_check()
                case actions.SetTimer(name, deadline):
                    wait = max(0.0, deadline - self.reactor.seconds())
                    fired = events.TimerFired(name)
                    self.reactor.callLater(wait, self.dispatch, fired)

    @property
    def version(self):
        """Return the version of the configuration in force."""
        return self.relay.route_table.version if self.relay.route_table else 0

    def knows(self, engine):
        """Return whether an engine may get work."""
        state = self.relay.engines.states.get(engine)
        return state is not None and state.is_usable(self.reactor.seconds())

    def play(self, seconds):
        """Let time pass."""
        until = self.reactor.seconds() + seconds
        while self.reactor.seconds() < until:
            self.reactor.advance(0.005)
