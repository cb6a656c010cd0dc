"""The event loop of a process, on a clock that never jumps.

Twisted's own loops run their timers by the time of day. Where that is set
forward, all timers fire at once: every engine looks silent and every caller
overdue. Where it is set back, no timer fires until it has caught up.
"""

import time

from twisted.internet import epollreactor
from twisted.internet import main


class MonotonicReactor(epollreactor.EPollReactor):
    """Runs timers by the monotonic clock."""

    def seconds(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()


def install() -> MonotonicReactor:
    """Make the monotonic loop the one of this process, and return it."""
    reactor = MonotonicReactor()
    main.installReactor(reactor)
    return reactor
