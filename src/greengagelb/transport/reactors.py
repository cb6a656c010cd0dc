"""Runs the timers of the event loop on a monotonic clock.

Twisted's reactors run their timers by the wall clock. If it is set forward,
all timers fire at once: every engine looks silent and every caller overdue. If
it is set back, no timer fires until the clock has caught up.
"""

import time

from twisted.internet import base


def use_monotonic_clock(reactor: base.ReactorBase) -> None:
    """Make a reactor run its timers by the monotonic clock.

    Must be called before any timer is set, as the two clocks are unrelated.
    Raises ``RuntimeError`` otherwise.
    """
    if reactor.getDelayedCalls():
        raise RuntimeError('timers were set before the clock was replaced')
    reactor.seconds = time.monotonic
