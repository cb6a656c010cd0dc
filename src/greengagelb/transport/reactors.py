"""Prepares the event loop: its clock, its order, and ends of connections.

Twisted's reactors run their timers by the wall clock. If it is set forward,
all timers fire at once: every engine looks silent and every caller overdue. If
it is set back, no timer fires until the clock has caught up.

They also run all timers that are due before they read their sockets. After a
process stood still, answers that arrived in time would be given up, as the
timers that wait for them fire first.

And they take a connection for closed in order if the error of its socket is
reported before the socket counts as readable, as happens while the kernel
handles a reset. A part of an answer that such a close ends would be whole.
"""

import select
import time
import weakref

from twisted.internet import base
from twisted.internet import epollreactor
from twisted.internet import interfaces
from twisted.internet import tcp

from greengagelb.coordination import timers

# How long sockets are read before timers that are due, if there is always
# something to read: timers that are punctual wait for MIN_READ_SECONDS, others
# as long again as they are late, up to MAX_READ_SECONDS.
MIN_READ_SECONDS = 0.01
MAX_READ_SECONDS = 0.25
# The most by which a time limit is extended for a pause of this process.
MAX_EXTENSION_SECONDS = 0.5


def use_monotonic_clock(reactor: base.ReactorBase) -> None:
    """Make a reactor run its timers by the monotonic clock.

    Must be called before any timer is set, as the two clocks are unrelated.
    Raises ``RuntimeError`` otherwise.
    """
    if reactor.getDelayedCalls():
        raise RuntimeError('timers were set before the clock was replaced')
    reactor.seconds = time.monotonic


def read_before_timers(reactor: epollreactor.EPollReactor) -> None:
    """Make a reactor read what has arrived before it runs due timers."""
    run_due_timers = reactor.runUntilCurrent
    # An epoll object can itself be polled: is anything of it ready?
    unread = select.poll()
    unread.register(reactor._poller.fileno(), select.POLLIN)
    extended: weakref.WeakSet[interfaces.IDelayedCall] = weakref.WeakSet()

    def read_then_run_timers() -> None:
        if reactor.timeout() == 0:
            run_requested_calls(reactor)
            extend_connect_limits(reactor, extended)
            read_arrived(reactor, unread)
        run_due_timers()

    reactor.runUntilCurrent = read_then_run_timers


def distinguish_resets(reactor: epollreactor.EPollReactor) -> None:
    """Make a reactor read a socket to learn why its connection has ended.

    Only the error of that read tells a reset from an orderly close.
    """
    handle_event = reactor._doReadOrWrite

    def read_ended(
        selectable: interfaces.IReadWriteDescriptor, fd: int, event: int
    ) -> None:
        if event & reactor._POLL_DISCONNECTED and fd in reactor._reads:
            event |= reactor._POLL_IN
        handle_event(selectable, fd, event)

    reactor._doReadOrWrite = read_ended


def lateness(
    reactor: base.ReactorBase, call: interfaces.IDelayedCall
) -> float:
    """Return for how many seconds a call has been due."""
    return reactor.seconds() - call.getTime()


def extend_connect_limits(
    reactor: epollreactor.EPollReactor,
    extended: weakref.WeakSet[interfaces.IDelayedCall],
) -> None:
    """Extend, once, time limits of connects that passed during a pause.

    The connect may not even have begun: Twisted begins it by a timer, and its
    time limit is due in the same turn. ``extended`` has the limits extended.
    """
    if (
        lateness(reactor, reactor._pendingTimedCalls[0])
        <= timers.LATE_TIMER_SECONDS
    ):
        return
    for call in reactor.getDelayedCalls():
        late = lateness(reactor, call)
        if late <= timers.LATE_TIMER_SECONDS or call in extended:
            continue
        function = getattr(call.func, '__func__', None)
        if function is tcp.BaseClient.failIfNotConnected:
            extended.add(call)
            call.reset(min(late, MAX_EXTENSION_SECONDS))


def run_requested_calls(reactor: epollreactor.EPollReactor) -> None:
    """Run what handlers of signals have asked the event loop for.

    Requests that are read next must know of a stop that came before them. If
    a call fails, the reactor logs its error, and the next turn runs the rest.
    """
    for _ in range(len(reactor.threadCallQueue)):
        function, arguments, named = reactor.threadCallQueue.pop(0)
        function(*arguments, **named)


def read_arrived(
    reactor: epollreactor.EPollReactor, unread: select.poll
) -> None:
    """Read sockets until nothing is unread, or for the time allowed.

    One turn of the reactor reads a part of what a socket holds.
    """
    late = max(0.0, lateness(reactor, reactor._pendingTimedCalls[0]))
    allowed = min(MIN_READ_SECONDS + late, MAX_READ_SECONDS)
    read_until = reactor.seconds() + allowed
    while unread.poll(0):
        reactor.doIteration(0)
        if reactor.seconds() >= read_until:
            return
