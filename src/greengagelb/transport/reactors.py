"""Prepares the event loop: its clock, and the order of reads and timers.

Twisted's reactors run their timers by the wall clock. If it is set forward,
all timers fire at once: every engine looks silent and every caller overdue. If
it is set back, no timer fires until the clock has caught up.

They also run all timers that are due before they read their sockets. After a
process stood still, answers that arrived in time would be given up, as the
timers that wait for them fire first.
"""

import select
import time

from twisted.internet import base
from twisted.internet import epollreactor

# How long sockets are read before timers that are due, if there is always
# something to read: timers that are punctual wait for MIN_READ_SECONDS, others
# as long again as they are late, up to MAX_READ_SECONDS.
MIN_READ_SECONDS = 0.01
MAX_READ_SECONDS = 0.25


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

    def read_then_run_timers() -> None:
        if reactor.timeout() == 0:
            read_arrived(reactor, unread)
        run_due_timers()

    reactor.runUntilCurrent = read_then_run_timers


def read_arrived(
    reactor: epollreactor.EPollReactor, unread: select.poll
) -> None:
    """Read sockets until nothing is unread, or for the time allowed.

    One turn of the reactor reads a part of what a socket holds.
    """
    now = reactor.seconds()
    due_at = reactor._pendingTimedCalls[0].getTime()
    allowed = MIN_READ_SECONDS + max(0.0, now - due_at)
    read_until = now + min(allowed, MAX_READ_SECONDS)
    while unread.poll(0):
        reactor.doIteration(0)
        if reactor.seconds() >= read_until:
            return
