"""Whole instances, engines and callers over a simulated network."""

import collections
import dataclasses

import h11
from twisted.internet import defer
from twisted.internet import protocol

from greengagelb import relay_settings
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import engines
from greengagelb.state.relay import requests
from greengagelb.transport.relay import http1
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay import instance
from greengagelb.transport.relay import store_watch
from tests.common import instance_world
from tests.common import relay_world
from tests.common import simulated_network

CALLERS_PORT = 1
READY_PORT = 2
METRICS_PORT = 3
PEER_PORT = 4
ENGINE_PORT = 8000
CALL_SECONDS = 0.02
SLOTS = 6
FALLEN_SECONDS = 3.0
EVENT_SECONDS = 0.05
EVENTS = 40
LIST_SECONDS = 1.0
CALLER_HOST = '10.9.0.1'


class Dialect(instance_world.Dialect):
    """As the tests' connections speak, with probes and prompts."""

    def read_request(self, exchange, head, body, received_at):
        request = super().read_request(exchange, head, body, received_at)
        own_part = request.request_id
        return dataclasses.replace(
            request, prompt=requests.Prompt(100, 40, own_part)
        )

    def write_send(self, send, now):
        written = super().write_send(send, now)
        if send.resume_after is None:
            return written
        after = (b'After', str(send.resume_after).encode())
        return dataclasses.replace(written, headers=(*written.headers, after))

    def write_probe(self, engine):
        return http_client.WireRequest(b'GET', b'/probe', ((b'Host', b'e'),))

    def write_copy_request(self, copy):
        return self.write_probe(copy.source)

    def read_copy_handle(self, status, body):
        return ''

    def write_identity_request(self, engine, path):
        return self.write_probe(engine)


class EngineConnection(protocol.Protocol):
    """One connection at an engine."""

    def __init__(self, engine):
        self.engine = engine
        self.http = h11.Connection(h11.SERVER)
        self.timers = []

    def connectionMade(self):
        self.source = self.transport.getPeer().host

    def connectionLost(self, reason=protocol.connectionDone):
        for timer in self.timers:
            if timer.active():
                timer.cancel()

    def dataReceived(self, data):
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                self.head = event
            elif isinstance(event, h11.EndOfMessage):
                self.handle_request()
            elif not isinstance(event, h11.Data):
                return

    def later(self, seconds, call, *args):
        timer = self.engine.network.call_later(seconds, call, *args)
        self.timers.append(timer)

    def handle_request(self):
        fields = tuple(self.head.headers.raw_items())
        request_id = http1.first_header_value(fields, b'id')
        if request_id is None:
            self.answer([], b'')
            return
        name = request_id.decode()
        self.engine.arrivals.append((name, self.source))
        if self.engine.is_down:
            return
        if self.engine.is_leaving:
            headers = [(b'Id', request_id), (b'Seal', b'x')]
            self.answer([*headers, (b'Leaving', b'1')], b'done')
            return
        if not self.head.target.startswith(b'/drafts/'):
            self.engine.take_call(self, request_id)
            return
        after = http1.first_header_value(fields, b'after') or b'0'
        self.send_head([(b'Id', request_id), (b'Seal', b'x')])
        self.send_event(int(after) + 1)

    def send_head(self, headers, status=200):
        head = h11.Response(status_code=status, headers=headers)
        self.transport.write(self.http.send(head))

    def send_event(self, number):
        raw = f'id: {number}\ndata: {number}\n\n'.encode()
        self.transport.write(self.http.send(h11.Data(data=raw)))
        if number < EVENTS:
            self.later(EVENT_SECONDS, self.send_event, number + 1)
        else:
            self.end()

    def answer(self, headers, body, status=200):
        length = (b'Content-Length', str(len(body)).encode())
        self.send_head([*headers, length], status)
        if body:
            self.transport.write(self.http.send(h11.Data(data=body)))
        self.end()

    def end(self):
        self.transport.write(self.http.send(h11.EndOfMessage()))
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.transport.loseConnection()


class Engine(protocol.Factory):
    """An engine; ``arrivals`` has id and sender of each request.

    It lets ``room`` calls wait. With a ``refusal_rate`` it falls over, for
    some seconds, if it has to turn more than that away within a second.
    """

    def __init__(self, network, entry):
        self.network = network
        self.entry = entry
        self.arrivals = []
        self.call_seconds = CALL_SECONDS
        self.is_leaving = False
        self.is_down = False
        self.port = None
        self.room = float('inf')
        self.refusal_rate = None
        self.refused_at = []
        self.falls = 0
        self.running = 0
        self.waiting = collections.deque()

    def start(self):
        host = simulated_network.Host(self.network, self.entry.address.host)
        self.port = host.listenTCP(ENGINE_PORT, self)

    def take_call(self, connection, request_id):
        """Work on a call, let it wait, or turn it away."""
        if self.running < SLOTS:
            self.run_call(connection, request_id)
        elif len(self.waiting) < self.room:
            self.waiting.append((connection, request_id))
        else:
            self.refuse_call(connection, request_id)

    def run_call(self, connection, request_id):
        self.running += 1
        self.network.call_later(
            self.call_seconds, self.end_call, connection, request_id
        )

    def end_call(self, connection, request_id):
        self.running -= 1
        if not connection.transport.ended:
            headers = [(b'Id', request_id), (b'Seal', b'x'), *self.stated()]
            connection.answer(headers, b'done')
        while self.waiting and self.running < SLOTS:
            waiting, waiting_id = self.waiting.popleft()
            if not waiting.transport.ended:
                self.run_call(waiting, waiting_id)

    def stated(self):
        if self.refusal_rate is None:
            return []
        return [(b'Refusal-Rate', str(self.refusal_rate).encode())]

    def refuse_call(self, connection, request_id):
        now = self.network.now
        self.refused_at = [at for at in self.refused_at if now < at + 1.0]
        self.refused_at.append(now)
        if (
            self.refusal_rate is not None
            and len(self.refused_at) > self.refusal_rate
        ):
            self.fall()
            return
        headers = [(b'Id', request_id), (b'Not-Run', b'1'), *self.stated()]
        connection.answer(headers, b'full', 503)

    def fall(self):
        """Crash, and start again after some seconds."""
        self.falls += 1
        self.refused_at.clear()
        self.waiting.clear()
        self.is_down = True
        self.crash()
        self.network.call_later(FALLEN_SECONDS, self.rise)

    def rise(self):
        self.is_down = False
        self.start()

    def crash(self):
        """End the process: connections are reset, new ones refused."""
        self.port.stopListening()
        for socket in self.sockets():
            socket.abortConnection()

    def sockets(self):
        """Return the open connections at the engine."""
        host = self.entry.address.host
        return [s for s in list(self.network.sockets) if s.host == host]

    def buildProtocol(self, addr):
        return EngineConnection(self)


class Store(instance_world.Store):
    """A store that lists the other instances."""

    def __init__(self, fleet, host):
        super().__init__(registers=True)
        self.fleet = fleet
        self.host = host

    def read_members(self):
        members = tuple(
            other.own
            for other in self.fleet.instances
            if other.own.host != self.host
        )
        return defer.succeed(store_watch.MembersRead(members))

    def write_crashes(self, kept):
        return defer.succeed(None)

    def delete_crashes(self, fingerprint):
        return defer.succeed(None)


class Asked(protocol.Protocol):
    """One request of a caller, on a connection of its own."""

    def __init__(self, fleet, at_instance, name, target):
        self.fleet = fleet
        self.instance = at_instance
        self.name = name
        self.target = target
        self.began_at = fleet.network.now
        self.ended_at = None
        self.received = b''

    def connectionMade(self):
        self.transport.write(
            b'POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\n'
            b'Connection: close\r\nContent-Length: 1\r\n\r\nx'
            % (self.target, self.name.encode())
        )

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason=protocol.connectionDone):
        self.ended_at = self.fleet.network.now

    def leave(self):
        """Close the connection without waiting for the answer."""
        self.transport.abortConnection()

    @property
    def status(self):
        """Return the status of a whole answer, or None."""
        if self.ended_at is None:
            return None
        found = instance_world.relay_wires.parse_answers(self.received)
        if not found or found[0][1] is None:
            return None
        return found[0][0]

    @property
    def is_served(self):
        return self.status == 200

    @property
    def events(self):
        """Return the numbers of the events received so far."""
        return [
            int(line[4:])
            for line in self.received.splitlines()
            if line.startswith(b'id: ')
        ]

    @property
    def seconds(self):
        return self.ended_at - self.began_at


class LinkedFleet:
    """Instances before engines, over links that can be cut."""

    engine_class = Engine

    def __init__(self, size=3, per_place=2, seed=1, loss=0.0):
        self.network = simulated_network.Network(seed, loss)
        self.engines = {}
        for number, entry in enumerate(relay_world.fleet(per_place)):
            address = engines.Address(f'10.8.0.{number + 1}', ENGINE_PORT)
            listed = dataclasses.replace(entry, address=address)
            engine = self.engine_class(self.network, listed)
            engine.start()
            self.engines[entry.engine] = engine
        self.instances = []
        self.records = collections.defaultdict(list)
        self.asked = []
        for number in range(size):
            self.instances.append(self.add_instance(number, seed))
        for started in self.instances:
            self.start(started)
        self.network.advance(3.0)

    def add_instance(self, number, seed):
        host = f'10.0.{number // 250}.{number % 250 + 1}'
        place = relay_world.PLACES[number % len(relay_world.PLACES)]
        settings = relay_settings.RelaySettings(
            relay_settings.InstanceSettings(
                f'relay-{number}',
                place,
                engines.Address(host, CALLERS_PORT),
                engines.Address(host, READY_PORT),
                peer_port=PEER_PORT,
                metrics_port=METRICS_PORT,
            ),
            relay_settings.StoreSettings(engines.Address('10.7.0.1', 5)),
            relay_world.RETRIES,
            relay_settings.StopSettings(8.0),
            relay_world.ENGINE_BOUNDS,
        )
        made = instance.RelayInstance(
            simulated_network.Host(self.network, host),
            settings,
            Dialect(),
            lambda pool: Store(self, host),
        )
        made.relay.rng.seed(1000 * seed + number)
        made.recorder.record = self.records[host].append
        return made

    def start(self, started):
        started.start()
        table = relay_world.route_table()
        offered = relay_events.ConfigurationOffered(table, 'test')
        started.loop.dispatch(offered)
        self.show_list(started, 1)

    def show_list(self, shown_to, heartbeat):
        """Show an instance the list of engines, again and again."""
        entries = tuple(
            dataclasses.replace(engine.entry, heartbeat=heartbeat)
            for engine in self.engines.values()
        )
        shown_to.loop.dispatch(relay_events.EnginesListed(entries))
        self.network.call_later(
            LIST_SECONDS, self.show_list, shown_to, heartbeat + 1
        )

    def cut(self, number, mode, names=None):
        """Cut an instance from engines, all of them if none are named."""
        for engine in self.named(names):
            host = self.instances[number].own.host
            self.network.cut(host, engine.entry.address.host, mode)

    def kill(self, number):
        """End an instance's process; its kernel closes the connections."""
        host = self.instances[number].own.host
        for key in [k for k in self.network.ports if k[0] == host]:
            del self.network.ports[key]
        self.network.datagram_ports.pop((host, PEER_PORT))
        for socket in list(self.network.sockets):
            if socket.host == host:
                socket.loseConnection()
        self.network.silenced.add(host)

    def restart(self, number):
        """Stop an instance in order; a new one starts once it has ended."""
        stopping = self.instances[number]

        def start_again(result):
            self.instances[number] = self.add_instance(number, seed=99)
            self.start(self.instances[number])

        stopping.stopped.addCallback(start_again)
        stopping.stop()

    def heal(self, number, names=None):
        """End the cut of an instance."""
        for engine in self.named(names):
            host = self.instances[number].own.host
            self.network.heal(host, engine.entry.address.host)

    def named(self, names):
        return [
            engine
            for name, engine in self.engines.items()
            if names is None or name in names
        ]

    def ask(self, number, target=b'/booking/1'):
        """Have a caller ask an instance."""
        name = f'r{len(self.asked)}'
        asked = Asked(self, number, name, target)
        self.asked.append(asked)
        caller = simulated_network.Host(self.network, CALLER_HOST)
        host = self.instances[number].own.host
        opener = simulated_network.Opener(asked)
        caller.connectTCP(host, CALLERS_PORT, opener)
        return asked

    def ask_for(self, seconds, numbers, targets, pause=0.05):
        """Have callers ask instances in turn for a time; return all asked."""
        before = len(self.asked)
        for step in range(round(seconds / pause)):
            for number in numbers:
                self.ask(number, targets[step % len(targets)])
            self.network.advance(pause)
        return self.asked[before:]

    def arrivals(self, name):
        """Return the senders of a request, as the engines saw them."""
        return [
            source
            for engine in self.engines.values()
            for found, source in engine.arrivals
            if found == name
        ]

    def kinds(self, number):
        """Return the kinds of records of an instance."""
        host = self.instances[number].own.host
        return collections.Counter(r.kind for r in self.records[host])


def served_share(asked):
    """Return the share of requests that were served."""
    return sum(a.is_served for a in asked) / len(asked)
