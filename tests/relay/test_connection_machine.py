"""Random sequences of events on the connections to engines.

Each answer contains the number of its request, so a test can tell when it
reaches the receiver of another request.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from tests.common import relay_wires

INDEX = st.integers(0, 15)


class TrackedRequest(relay_wires.Receiver):
    """A request; counts how often its end was reported."""

    def __init__(self, number):
        super().__init__()
        self.number = number
        self.end_count = 0
        self.is_abandoned = False
        self.pending = None

    @property
    def own_answer(self):
        return f'answer to {self.number}'.encode()

    def answer_completed(self, *, ended_by_close):
        super().answer_completed(ended_by_close=ended_by_close)
        self.end_count += 1

    def answer_failed(self, handed_over, detail):
        super().answer_failed(handed_over, detail)
        self.end_count += 1


def response_head(length):
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % length


class ConnectionMachine(RuleBasedStateMachine):
    """Requests to engines whose answers are valid, invalid, late or missing.

    ``unusable`` has the connections that must not be reused.
    """

    def __init__(self):
        super().__init__()
        self.server = relay_wires.Server()
        self.requests = []
        self.unusable = set()

    @property
    def open_connections(self):
        return [c for c in self.server.connections if not c.is_closed]

    @property
    def busy_connections(self):
        return [c for c in self.open_connections if c.receiver is not None]

    def report_own_reset(self, connection):
        """Report the loss of a connection that the pool has reset."""
        if connection.transport.aborted:
            relay_wires.reset(connection)

    @rule(fresh=st.booleans(), key=st.sampled_from(['engine-1', 'engine-2']))
    def ask(self, fresh, key):
        request = TrackedRequest(len(self.requests))
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
        self.requests.append(request)
        carrier = request.pending.connection
        assert carrier not in self.unusable, 'an unusable connection is reused'

    @precondition(lambda self: self.busy_connections)
    @rule(number=INDEX, pieces=st.integers(1, 3))
    def answer_whole(self, number, pieces):
        connection = self.busy_connections[number % len(self.busy_connections)]
        body = connection.receiver.own_answer
        raw = response_head(len(body)) + body
        step = -(-len(raw) // pieces)
        for at in range(0, len(raw), step):
            connection.dataReceived(raw[at : at + step])

    @precondition(lambda self: self.busy_connections)
    @rule(number=INDEX)
    def answer_with_surplus(self, number):
        connection = self.busy_connections[number % len(self.busy_connections)]
        body = connection.receiver.own_answer
        raw = response_head(len(body)) + body
        self.unusable.add(connection)
        connection.dataReceived(raw + raw)

    @precondition(lambda self: self.busy_connections)
    @rule(number=INDEX)
    def answer_in_part_and_close(self, number):
        connection = self.busy_connections[number % len(self.busy_connections)]
        connection.dataReceived(response_head(50) + b'only a part')
        self.unusable.add(connection)
        relay_wires.close(connection)

    @precondition(lambda self: self.open_connections)
    @rule(number=INDEX)
    def send_unasked_bytes(self, number):
        idle = [
            c
            for c in self.open_connections
            if c.receiver is None and not c.delayed_request
        ]
        for connection in idle[number % 3 :][:1]:
            self.unusable.add(connection)
            connection.dataReceived(response_head(3) + b'old')

    @precondition(lambda self: self.open_connections)
    @rule(number=INDEX, in_order=st.booleans())
    def end_connection(self, number, in_order):
        connection = self.open_connections[number % len(self.open_connections)]
        self.unusable.add(connection)
        end = relay_wires.close if in_order else relay_wires.reset
        end(connection)

    @precondition(lambda self: self.requests)
    @rule(number=INDEX)
    def give_up(self, number):
        request = self.requests[number % len(self.requests)]
        if request.end_count == 0:
            request.is_abandoned = True
            if request.pending.connection is not None:
                self.unusable.add(request.pending.connection)
            request.pending.abandon()

    @rule(seconds=st.sampled_from([0.001, 0.01, 1.0, 5.0]))
    def wait(self, seconds):
        self.server.reactor.advance(seconds)
        self.server.pool.close_expired()

    @rule()
    def report_own_resets(self):
        for connection in self.open_connections:
            self.report_own_reset(connection)

    @invariant()
    def each_request_gets_its_own_answer_or_none(self):
        for request in self.requests:
            if request.complete:
                assert request.body == request.own_answer

    @invariant()
    def each_request_is_told_of_one_end_at_most(self):
        for request in self.requests:
            assert request.end_count <= 1
            assert not (request.is_abandoned and request.end_count)

    @invariant()
    def idle_connections_carry_nothing(self):
        for kept in self.server.pool.idle_connections.values():
            for connection in kept:
                assert connection.receiver is None
                assert connection.delayed_request is None
                assert connection not in self.unusable

    def teardown(self):
        """Check that each request whose connection is closed has ended."""
        for connection in self.open_connections:
            relay_wires.reset(connection)
        for request in self.requests:
            assert request.is_abandoned or request.end_count == 1


TestConnections = ConnectionMachine.TestCase
TestConnections.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
