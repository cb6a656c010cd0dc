"""Timers of an instance that stood still while answers arrived."""

import socket
import time

import pytest
from twisted.internet import epollreactor
from twisted.internet import testing

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.state.relay import engines
from greengagelb.transport import decision_loop
from greengagelb.transport import reactors
from greengagelb.transport import recorder
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay import timed_requests
from tests.common import relay_wires

READ_BYTES = 65_536
END = b'!'


class Answer:
    """An answer to a request, as a reactor reads it."""

    def __init__(self, reactor, dispatch):
        self.dispatch = dispatch
        self.ours, self.theirs = socket.socketpair()
        for end in (self.ours, self.theirs):
            end.setblocking(False)
        # The kernel counts its own overhead: this holds 256 KiB of an answer.
        self.theirs.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 19)
        reactor.addReader(self)

    def fileno(self):
        return self.ours.fileno()

    def logPrefix(self):  # noqa: N802
        return 'answer'

    def doRead(self):  # noqa: N802
        if self.ours.recv(READ_BYTES).endswith(END):
            self.dispatch(events.CallerGone(1))

    def connectionLost(self, reason):  # noqa: N802
        self.ours.close()


class Decisions:
    """One request: its answer clears its deadline, and the reverse."""

    def __init__(self):
        self.outcomes = []

    def handle(self, event, now):
        match event:
            case events.TimerFired():
                self.outcomes.append('deadline-passed')
            case events.PauseDetected():
                self.outcomes.append('pause')
                return [actions.ClearTimer('deadline:1')]
            case events.CallerGone():
                self.outcomes.append('answered')
                return [actions.ClearTimer('deadline:1')]
        return []


def new_reactor():
    reactor = epollreactor.EPollReactor()
    reactors.use_monotonic_clock(reactor)
    reactors.read_before_timers(reactor)
    return reactor


@pytest.mark.parametrize(
    ('seconds', 'answer_bytes'), [(0.03, 100), (0.3, 100), (0.3, 200_000)]
)
def test_answer_that_came_in_time_wins_over_its_deadline(
    seconds, answer_bytes
):
    """An instance stands still; an answer arrives, then a deadline passes.

    Timers run before sockets are read: the caller would get 504 while the
    answer lies in the socket, and its engine would be blamed.
    """
    reactor = new_reactor()
    decisions = Decisions()
    loop = decision_loop.DecisionLoop(
        reactor,
        decisions,
        lambda action: loop.clear_timer(action.name),
        recorder.Recorder('instance-0', 10),
    )
    answer = Answer(reactor, loop.dispatch)
    loop.set_timer('deadline:1', reactor.seconds() + 0.02)
    sent = answer.theirs.send(bytes(answer_bytes - 1) + END)
    assert sent == answer_bytes
    time.sleep(seconds)
    for _ in range(3):
        reactor.iterate(0)
    assert decisions.outcomes == ['answered']


def stand_still_past_a_deadline(prepare):
    """Return what comes of a request whose deadline passes unnoticed.

    ``prepare`` is called before, with the loop and the answer.
    """
    reactor = new_reactor()
    decisions = Decisions()
    loop = decision_loop.DecisionLoop(
        reactor,
        decisions,
        lambda action: loop.clear_timer(action.name),
        recorder.Recorder('instance-0', 10),
    )
    answer = Answer(reactor, loop.dispatch)
    loop.set_timer('deadline:1', reactor.seconds() + 0.02)
    prepare(loop, answer)
    time.sleep(0.3)
    for _ in range(3):
        reactor.iterate(0)
    return decisions.outcomes


def test_late_timer_waits_for_connections_that_are_read_again():
    """Connections are paused between two relays of tokens.

    After a pause the timer that resumes them is due beside the deadline.
    """

    def pause_reading(loop, answer):
        loop.reactor.removeReader(answer)
        loop.reactor.callLater(0.01, loop.reactor.addReader, answer)
        answer.theirs.send(END)

    assert stand_still_past_a_deadline(pause_reading) == ['answered']


def test_late_timer_waits_until_the_pause_is_noticed():
    """The check that notices a pause is due later than other timers.

    They would blame engines for the time in which nothing was read. What the
    pause moves or clears must not fire.
    """

    def notice_pause(loop, answer):
        loop.reactor.callLater(0.1, loop.dispatch, events.PauseDetected(0.2))

    assert stand_still_past_a_deadline(notice_pause) == ['pause']


def test_late_timer_is_dispatched():
    assert stand_still_past_a_deadline(lambda loop, answer: None) == [
        'deadline-passed'
    ]


def test_stop_comes_before_requests_that_arrived_in_a_pause():
    """Guards against requests that are taken as if no stop were known.

    A stop is signalled to a process that stands still while requests arrive.
    """
    reactor = new_reactor()
    order = []
    request = Answer(reactor, lambda event: order.append('request'))
    reactor.callLater(0.01, order.append, 'timer')
    request.theirs.send(END)
    time.sleep(0.2)
    reactor.callFromThread(order.append, 'stop')
    reactor.iterate(0)
    assert order == ['stop', 'request', 'timer']


def test_timers_run_although_there_is_always_something_to_read():
    """A flood of input must not keep timers from running."""
    reactor = new_reactor()
    flood = Answer(reactor, lambda event: None)
    fired = []
    reactor.callLater(0.01, fired.append, 'timer')
    flood.theirs.send(bytes(100))
    flood.doRead = lambda: None
    time.sleep(0.2)
    reactor.iterate(0)
    assert fired == ['timer']


def ask(reactor, address):
    """Probe an engine, within 0.2 s; return the list of its answers."""
    request = http_client.WireRequest(b'GET', b'/', ((b'Host', b'e0'),))
    answers = []
    timed_requests.send_timed_request(
        http_client.ConnectionPool(reactor),
        timed_requests.TimedRequest(
            'e0', address, request, 0.2, allows_for_own_pause=True
        ),
        answers.append,
    )
    return answers


def test_probe_sent_after_a_pause_still_waits_for_its_answer():
    """An instance stands still while the connection of a probe opens.

    Its time is over before it was written: the engine would be taken for
    dead though it was never asked.
    """
    reactor = new_reactor()
    engine = socket.create_server(('127.0.0.1', 0))
    engine.settimeout(1.0)
    answers = ask(reactor, engines.Address(*engine.getsockname()))
    reactor.iterate(0)
    connection, _ = engine.accept()
    time.sleep(0.4)
    for _ in range(3):
        reactor.iterate(0)
    assert connection.recv(READ_BYTES).startswith(b'GET')
    assert not answers
    connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    reactor.iterate(0.1)
    assert answers[0].response is not None


def test_probe_that_waited_anew_after_a_pause_still_fails():
    """A pause must not make an instance wait for a dead engine for ever."""
    reactor = testing.MemoryReactorClock()
    answers = ask(reactor, relay_wires.ADDRESS)
    for _ in range(timed_requests.MAX_LATE_CHECKS):
        reactor.advance(0.4)
        assert not answers
    reactor.advance(0.4)
    assert answers[0].response is None


class Receiver:
    """Keeps why there is no answer."""

    def __init__(self):
        self.failures = []

    def answer_failed(self, handed_over, detail):
        self.failures.append((handed_over, detail))


@pytest.mark.parametrize('in_race', [False, True])
def test_connection_not_begun_before_a_pause_is_still_opened(in_race):
    """An instance stands still in the turn that wants a connection.

    Its time is over before it was begun: the engine would be taken for dead,
    though nothing was asked of it.
    """
    reactor = new_reactor()
    engine = socket.create_server(('127.0.0.1', 0))
    engine.settimeout(1.0)
    address = engines.Address(*engine.getsockname())
    pool = http_client.ConnectionPool(reactor)
    entry = engines.EngineEntry('e0', 'booking', address, 'north', 1, False, 1)
    opener = relay_wires.direct_opener(pool)
    receiver = Receiver()
    pool.request(
        entry.life,
        address,
        relay_wires.wire_request,
        receiver,
        open_connection=(
            (lambda pending: opener.open_for(entry, None, pending))
            if in_race
            else None
        ),
    )
    time.sleep(0.6)
    for _ in range(5):
        reactor.iterate(0.01)
    assert not receiver.failures
    connection, _ = engine.accept()
    connection.settimeout(1.0)
    assert connection.recv(READ_BYTES).startswith(b'GET')


def test_connection_that_never_opens_still_fails():
    """Guards against time limits that an instance extends for ever."""
    reactor = new_reactor()
    receiver = Receiver()
    # A full queue of connections: further ones get no answer.
    engine = socket.create_server(('127.0.0.1', 0), backlog=0)
    address = engines.Address(*engine.getsockname())
    waiting = [socket.socket() for _ in range(3)]
    for client in waiting:
        client.setblocking(False)
        client.connect_ex(engine.getsockname())
    pool = http_client.ConnectionPool(reactor)
    pool.request('e0', address, relay_wires.wire_request, receiver)
    for _ in range(2):
        reactor.iterate(0)
        time.sleep(0.6)
        assert not receiver.failures
    reactor.iterate(0)
    assert receiver.failures == [(False, 'connect: TimeoutError')]


def test_probe_waits_anew_only_once_for_one_pause():
    """A dead engine is found within twice the time of a probe."""
    reactor = testing.MemoryReactorClock()
    answers = ask(reactor, relay_wires.ADDRESS)
    reactor.advance(0.4)
    assert not answers
    reactor.pump([0.05] * 4)
    assert answers[0].response is None
