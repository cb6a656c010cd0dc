"""Event loops: timers while the clock is changed, and ends of sockets."""

import select
import socket
import struct
import time

import pytest
from twisted.internet import epollreactor
from twisted.internet import error
from twisted.internet import protocol

from greengagelb.state.relay import engines
from greengagelb.transport import reactors
from greengagelb.transport.relay import http_client


def test_timers_ignore_wall_clock_changes(monkeypatch):
    """The machine's clock is set forward.

    Timers that follow it would all fire at once: every engine would look
    silent and every caller overdue, and all streams would be moved or aborted
    at the same moment.
    """
    reactor = epollreactor.EPollReactor()
    reactors.use_monotonic_clock(reactor)
    fired = []
    reactor.callLater(10.0, fired.append, 'timer')
    monkeypatch.setattr(time, 'time', lambda: time.monotonic() + 1e9)
    reactor.runUntilCurrent()
    assert not fired


def test_clock_change_after_setting_timers_is_rejected():
    """Such timers would fire years late, or at once."""
    reactor = epollreactor.EPollReactor()
    reactor.callLater(10.0, print)
    with pytest.raises(RuntimeError):
        reactors.use_monotonic_clock(reactor)


def test_call_behind_a_failed_one_is_not_lost():
    """Guards against a stop that is lost as another call fails."""
    reactor = epollreactor.EPollReactor()
    called = []
    reactor.threadCallQueue += [
        (called.__getitem__, (0,), {}),
        (called.append, ('stop',), {}),
    ]
    with pytest.raises(IndexError):
        reactors.run_requested_calls(reactor)
    reactors.run_requested_calls(reactor)
    assert called == ['stop']


RESET_ON_CLOSE = struct.pack('ii', 1, 0)
ANSWER_IN_PART = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part'
HOST = ((b'Host', b'engine.example'),)
TURN_SECONDS = 0.01
MOST_TURNS = 500


class Answer:
    """Records what came of a request."""

    def __init__(self):
        self.body = b''
        self.ends = []

    def answer_started(self, response):
        pass

    def body_received(self, data):
        self.body += data

    def answer_completed(self, *, ended_by_close):
        self.ends.append('whole')

    def answer_failed(self, handed_over, detail):
        self.ends.append(detail)


class LoopbackPeer:
    """A reactor that is turned by hand, and a listening socket."""

    def __init__(self):
        self.reactor = epollreactor.EPollReactor()
        reactors.distinguish_resets(self.reactor)
        self.listening = socket.create_server(('127.0.0.1', 0))
        self.port = self.listening.getsockname()[1]

    def turn_until(self, is_done):
        """Let the reactor work until something is true."""
        for _ in range(MOST_TURNS):
            if is_done():
                return
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(TURN_SECONDS)
        raise AssertionError('nothing came of it')

    def accept(self):
        """Return the peer's end of a connection that is open."""
        accepted = []
        self.listening.settimeout(0)

        def is_accepted():
            try:
                accepted.append(self.listening.accept()[0])
            except BlockingIOError:
                return False
            return True

        self.turn_until(is_accepted)
        return accepted[0]

    def report_error_alone(self):
        """Report the error of the open connection as not readable.

        The kernel does so if the event is read while a reset is handled.
        """
        [connection] = [
            found
            for found in self.reactor.getReaders()
            if hasattr(found, 'protocol')
        ]
        self.reactor._doReadOrWrite(
            connection, connection.fileno(), select.EPOLLERR
        )


def reset(peer):
    """Have a peer reset its connection."""
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.close()


def is_request_read(peer):
    """Read what has arrived; return whether anything has."""
    try:
        return bool(peer.recv(1_000))
    except BlockingIOError:
        return False


def test_part_of_an_answer_is_not_whole_if_its_connection_was_reset():
    """Guards against a reset that is taken for the end of an answer.

    The engine has answered without a length before the upload was read, and
    the socket's error is seen before the socket counts as readable.
    """
    loop = LoopbackPeer()
    answer = Answer()
    pool = http_client.ConnectionPool(loop.reactor)
    request = http_client.WireRequest(b'POST', b'/', HOST, b'x' * 100)
    address = engines.Address('127.0.0.1', loop.port)
    pool.request('engine', address, lambda: request, answer)
    peer = loop.accept()
    peer.sendall(ANSWER_IN_PART)
    loop.turn_until(lambda: answer.body)
    reset(peer)
    loop.report_error_alone()
    assert answer.ends == [error.ConnectionLost.__name__]


def test_reset_connection_was_not_closed_in_order():
    """Guards against a reset that is passed on as an orderly close."""
    loop = LoopbackPeer()
    lost = []
    factory = protocol.ClientFactory()
    client = protocol.Protocol()
    client.connectionLost = lost.append
    factory.buildProtocol = lambda _: client
    loop.reactor.connectTCP('127.0.0.1', loop.port, factory)
    peer = loop.accept()
    loop.turn_until(lambda: client.connected)
    reset(peer)
    loop.report_error_alone()
    [reason] = lost
    assert reason.type is error.ConnectionLost


def test_connection_closed_in_order_is_not_taken_for_a_reset():
    """Guards against whole answers that are taken for cut ones."""
    loop = LoopbackPeer()
    answer = Answer()
    pool = http_client.ConnectionPool(loop.reactor)
    request = http_client.WireRequest(b'GET', b'/', HOST)
    address = engines.Address('127.0.0.1', loop.port)
    pool.request('engine', address, lambda: request, answer)
    peer = loop.accept()
    peer.setblocking(False)
    loop.turn_until(lambda: is_request_read(peer))
    peer.sendall(ANSWER_IN_PART)
    peer.close()
    loop.turn_until(lambda: answer.ends)
    assert answer.ends == ['whole']
