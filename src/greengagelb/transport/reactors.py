"""The event loop of a process, on a clock that never jumps.

Twisted's own loops run their timers by the time of day. Where that is set
forward, all timers fire at once: every engine looks silent and every caller
overdue. Where it is set back, no timer fires until it has caught up.
"""

import time

from twisted.internet import base


def use_monotonic_clock(reactor: base.ReactorBase) -> None:
    """Have a loop run its timers by the monotonic clock.

    Before any timer is set: the two clocks have nothing in common.
    """
    if reactor.getDelayedCalls():
        raise RuntimeError('timers are set already')
    reactor.seconds = time.monotonic
