"""Random histories of the connections to engines.

Each answer names the request that it belongs to, so that one that reaches
another request's receiver is found out.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from tests.common import relay_wires

PICK = st.integers(0, 15)


class Asked(relay_wires.Receiver):
    """A request; counts how often it was told of an end."""

    def __init__(self, number):
        super().__init__()
        self.number = number
        self.ends = 0
        self.left = False
        self.pending = None

    @property
    def own_answer(self):
        return f'answer to {self.number}'.encode()

    def answer_complete(self):
        super().answer_complete()
        self.ends += 1

    def answer_broken(self, handed_over, detail):
        super().answer_broken(handed_over, detail)
        self.ends += 1


def head(length):
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % length


class ConnectionMachine(RuleBasedStateMachine):
    """Requests, and engines that answer well, badly, late or not at all."""

    def __init__(self):
        super().__init__()
        self.server = relay_wires.Server()
        self.asked = []
        self.spoiled = set()

    # -- helpers ------------------------------------------------------------

    @property
    def open(self):
        return [c for c in self.server.connections if not c.closed]

    @property
    def busy(self):
        return [c for c in self.open if c.receiver is not None]

    def lose(self, connection):
        """Tell a connection that we have reset that it is closed."""
        if connection.transport.aborted:
            relay_wires.reset(connection)

    # -- rules --------------------------------------------------------------

    @rule(fresh=st.booleans(), key=st.sampled_from(['engine-1', 'engine-2']))
    def ask(self, fresh, key):
        request = Asked(len(self.asked))
        before = len(self.server.reactor.tcpClients)
        request.pending = self.server.pool.request(
            key,
            relay_wires.ADDRESS,
            relay_wires.wire_request,
            request,
            fresh,
        )
        if len(self.server.reactor.tcpClients) > before:
            self.server.accept()
        self.asked.append(request)
        carrier = request.pending.connection
        assert carrier not in self.spoiled, 'a spoiled connection is reused'

    @precondition(lambda self: self.busy)
    @rule(number=PICK, pieces=st.integers(1, 3))
    def answer_whole(self, number, pieces):
        connection = self.busy[number % len(self.busy)]
        body = connection.receiver.own_answer
        raw = head(len(body)) + body
        step = -(-len(raw) // pieces)
        for at in range(0, len(raw), step):
            connection.dataReceived(raw[at : at + step])

    @precondition(lambda self: self.busy)
    @rule(number=PICK)
    def answer_with_surplus(self, number):
        connection = self.busy[number % len(self.busy)]
        body = connection.receiver.own_answer
        raw = head(len(body)) + body
        self.spoiled.add(connection)
        connection.dataReceived(raw + raw)

    @precondition(lambda self: self.busy)
    @rule(number=PICK)
    def answer_in_part_and_close(self, number):
        connection = self.busy[number % len(self.busy)]
        connection.dataReceived(head(50) + b'only a part')
        self.spoiled.add(connection)
        relay_wires.close(connection)

    @precondition(lambda self: self.open)
    @rule(number=PICK)
    def send_unasked_bytes(self, number):
        idle = [c for c in self.open if c.receiver is None and not c.settling]
        for connection in idle[number % 3 :][:1]:
            self.spoiled.add(connection)
            connection.dataReceived(head(3) + b'old')

    @precondition(lambda self: self.open)
    @rule(number=PICK, in_order=st.booleans())
    def end_connection(self, number, in_order):
        connection = self.open[number % len(self.open)]
        self.spoiled.add(connection)
        end = relay_wires.close if in_order else relay_wires.reset
        end(connection)

    @precondition(lambda self: self.asked)
    @rule(number=PICK)
    def give_up(self, number):
        request = self.asked[number % len(self.asked)]
        if request.ends == 0:
            request.left = True
            if request.pending.connection is not None:
                self.spoiled.add(request.pending.connection)
            request.pending.abandon()

    @rule(seconds=st.sampled_from([0.001, 0.01, 1.0, 5.0]))
    def wait(self, seconds):
        self.server.reactor.advance(seconds)
        self.server.pool.close_expired()

    @rule()
    def hear_of_own_resets(self):
        for connection in self.open:
            self.lose(connection)

    # -- promises -----------------------------------------------------------

    @invariant()
    def each_request_gets_its_own_answer_or_none(self):
        for request in self.asked:
            if request.complete:
                assert request.body == request.own_answer

    @invariant()
    def each_request_is_told_of_one_end_at_most(self):
        for request in self.asked:
            assert request.ends <= 1
            assert not (request.left and request.ends)

    @invariant()
    def idle_connections_carry_nothing(self):
        for kept in self.server.pool.idle.values():
            for connection in kept:
                assert connection.receiver is None
                assert connection.settling is None
                assert connection not in self.spoiled

    def teardown(self):
        """A request whose connection is gone has heard of it."""
        for connection in self.open:
            relay_wires.reset(connection)
        for request in self.asked:
            assert request.left or request.ends == 1


TestConnections = ConnectionMachine.TestCase
TestConnections.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
