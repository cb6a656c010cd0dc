"""A relaying instance whose sockets, store and clock are the test's."""

import dataclasses

from twisted.internet import defer
from twisted.internet import testing

from greengagelb import relay_settings
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import engines
from greengagelb.transport.relay import instance
from greengagelb.transport.relay import store_watch
from tests.common import relay_wires
from tests.common import relay_world

HOST = '127.0.0.1'
CALLERS_PORT = 1
READY_PORT = 2
METRICS_PORT = 3
GRACE_SECONDS = 8.0


class Port:
    """A listening port; ``open`` until it is told to stop listening."""

    def __init__(self, factory):
        self.factory = factory
        self.open = True

    def stopListening(self):
        self.open = False
        return defer.succeed(None)


class Datagrams:
    """A socket for datagrams that nobody receives."""

    def write(self, raw, address):
        """Nothing depends on it here."""


class Reactor(testing.MemoryReactorClock):
    """Timers that the test moves, and ports that it connects to."""

    def __init__(self):
        super().__init__()
        self.ports = {}

    def listenTCP(self, port, factory, backlog=50, interface=''):
        self.ports[port] = Port(factory)
        return self.ports[port]

    def listenUDP(self, port, protocol, interface=''):
        protocol.transport = Datagrams()


class Store:
    """A store that answers when the test says so.

    ``removals`` are the calls that take the own entry back. Without
    ``registers`` it never answers the one that writes it.
    """

    def __init__(self, *, registers):
        self.registers = registers
        self.removals = []

    def use_address(self, address):
        """Nothing depends on it here."""

    def read_configuration(self, position, wait_seconds):
        return defer.Deferred()

    def read_engines(self, position):
        return defer.Deferred()

    def register(self, member):
        return defer.succeed(None) if self.registers else defer.Deferred()

    def read_members(self):
        return defer.succeed(store_watch.MembersRead(()))

    def unregister(self, member):
        removal = defer.Deferred()
        self.removals.append(removal)
        return removal


class Dialect(relay_wires.Dialect):
    """As the tests' connections speak, for the routes of the tests."""

    def read_request(self, exchange, head, body, received_at):
        request = super().read_request(exchange, head, body, received_at)
        return dataclasses.replace(
            request, host=relay_world.HOST, key=relay_world.KEY
        )


class InstanceWorld:
    """One instance; ``ended`` once its process would end.

    Without ``configured`` it has just started and knows no configuration.
    """

    def __init__(self, *, configured=True, registers=True):
        self.reactor = Reactor()
        self.store = Store(registers=registers)
        place = relay_settings.InstanceSettings(
            'relay-0',
            'north',
            engines.Address(HOST, CALLERS_PORT),
            engines.Address(HOST, READY_PORT),
            peer_port=4,
            metrics_port=METRICS_PORT,
        )
        self.instance = instance.RelayInstance(
            self.reactor,
            relay_settings.RelaySettings(
                place,
                relay_settings.StoreSettings(engines.Address(HOST, 5)),
                relay_world.RETRIES,
                relay_settings.StopSettings(GRACE_SECONDS),
                relay_world.ENGINE_BOUNDS,
            ),
            Dialect(),
            lambda pool: self.store,
        )
        self.ended = False
        self.instance.stopped.addCallback(self.note_end)
        self.instance.start()
        if configured:
            self.configure()

    def configure(self):
        """Give it a configuration and engines."""
        table = relay_world.route_table()
        self.handle(relay_events.ConfigurationOffered(table, 'test'))
        self.handle(relay_events.EnginesListed(relay_world.fleet()))

    def note_end(self, result):
        self.ended = True

    def handle(self, event):
        self.instance.loop.dispatch(event)

    def advance(self, seconds):
        """Let time pass, in steps that no timer of ours is finer than."""
        steps = max(1, round(seconds / 0.01))
        for _ in range(steps):
            self.reactor.advance(seconds / steps)
            self.close_what_is_flushed()

    def close_what_is_flushed(self):
        """Close the connections that were to close once all is written."""
        for connection in list(self.instance.callers.connections):
            if connection.transport.disconnecting:
                relay_wires.close(connection)

    # -- callers ------------------------------------------------------------

    @property
    def listens(self):
        """Whether a caller can connect."""
        return self.reactor.ports[CALLERS_PORT].open

    def connect(self):
        """Return a new connection of a caller."""
        factory = self.reactor.ports[CALLERS_PORT].factory
        connection = factory.buildProtocol(None)
        connection.makeConnection(relay_wires.Wire())
        return connection

    @property
    def engine_requests(self):
        """Return how many connections to engines were asked for."""
        return len(self.reactor.tcpClients)


def answers(connection):
    """Return status and body of each answer that a caller received."""
    return relay_wires.parse_answers(connection.transport.value())
