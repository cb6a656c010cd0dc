"""Timers of an instance that stood still while answers arrived."""

import socket
import time

import pytest
from twisted.internet import epollreactor

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.transport import decision_loop
from greengagelb.transport import reactors
from greengagelb.transport import recorder

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
    reactor.iterate(0)
    sent = answer.theirs.send(bytes(answer_bytes - 1) + END)
    assert sent == answer_bytes
    time.sleep(seconds)
    for _ in range(3):
        reactor.iterate(0)
    assert decisions.outcomes == ['answered']


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
