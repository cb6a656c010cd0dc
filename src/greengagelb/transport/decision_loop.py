"""Passes events to the decisions one at a time, and runs their timers.

Events that are dispatched while actions are carried out are queued. The
decisions are never re-entered, so each event is handled in a consistent state.
"""

import collections
from collections.abc import Callable
import time
from typing import Protocol

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import timers
from greengagelb.transport import event_costs
from greengagelb.transport import reactors
from greengagelb.transport import recorder


class Decisions(Protocol):
    """The interface of the decisions: turns events into actions, without I/O.

    Each of the two kinds of instance has its own implementation. Importing the
    other kind's here would take up a tenth of the time until an instance
    serves.
    """

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Return the actions for an event at a monotonic time."""


class DecisionLoop:
    """Dispatches events and carries out actions, on the reactor thread.

    ``postponed_timers`` are those of ``timers`` that were late and wait for
    the next turn of the reactor.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        decisions: Decisions,
        carry_out: Callable[[actions.Action], None],
        events_recorder: recorder.Recorder,
    ) -> None:
        self.reactor = reactor
        self.decisions = decisions
        self.carry_out = carry_out
        self.recorder = events_recorder
        self.timers: dict[str, interfaces.IDelayedCall] = {}
        self.postponed_timers: set[str] = set()
        self.pending_events: collections.deque[events.Event] = (
            collections.deque()
        )
        self.is_dispatching = False
        self.costs = event_costs.EventCosts()

    def dispatch(self, event: events.Event) -> None:
        """Process an event after all events dispatched before it."""
        self.pending_events.append(event)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.pending_events:
                self.process_event(self.pending_events.popleft())
        finally:
            self.is_dispatching = False

    def process_event(self, event: events.Event) -> None:
        """Decide on one event and carry out the resulting actions.

        Errors in here are bugs of this program. Events are dispatched from
        HTTP callbacks, and an error that propagated would be taken for a
        broken connection to the upstream that the event came from.
        """
        measured = self.costs.count(event)
        began_at = time.process_time() if measured is not None else 0.0
        try:
            for action in self.decisions.handle(event, self.reactor.seconds()):
                self.carry_out(action)
        except Exception:
            recorder.log.exception('decision-failed', event_kind=repr(event))
            self.recorder.metrics.decision_errors += 1
        if measured is not None:
            measured.sampled += 1
            measured.sampled_seconds += time.process_time() - began_at

    def set_timer(self, name: str, deadline: float) -> None:
        """Set a timer to a monotonic time, or move it there."""
        self.postponed_timers.discard(name)
        wait = max(0.0, deadline - self.reactor.seconds())
        pending = self.timers.get(name)
        if pending is not None and pending.active():
            pending.reset(wait)
            return
        self.timers[name] = self.reactor.callLater(wait, self.fire_timer, name)

    def clear_timer(self, name: str) -> None:
        """Cancel a timer, if it is set."""
        self.postponed_timers.discard(name)
        pending = self.timers.pop(name, None)
        if pending is not None and pending.active():
            pending.cancel()

    def fire_timer(self, name: str) -> None:
        """Dispatch the event of a timer that is due.

        After a pause of this process others are due as well, such as those
        that notice the pause or resume the reading of connections. A late
        timer is dispatched in the next turn of the reactor, unless it is moved
        or cleared until then.
        """
        late = reactors.lateness(self.reactor, self.timers[name])
        is_late = late > timers.LATE_TIMER_SECONDS
        if is_late and name not in self.postponed_timers:
            self.postponed_timers.add(name)
            self.timers[name] = self.reactor.callLater(
                0, self.fire_timer, name
            )
            return
        self.postponed_timers.discard(name)
        del self.timers[name]
        self.dispatch(events.TimerFired(name))

    def call_periodically(
        self, seconds: float, function: Callable[[], object]
    ) -> None:
        """Call a function every ``seconds``, even after it has raised.

        A looping call stops for good at the first error. An instance whose
        polling had stopped that way would keep serving with an old
        configuration, and nothing but its version would show it.
        """

        def call() -> defer.Deferred:
            return defer.maybeDeferred(function).addErrback(
                self.log_unhandled_error
            )

        looping = task.LoopingCall(call)
        looping.clock = self.reactor
        looping.start(seconds)

    def log_unhandled_error(self, why: failure.Failure) -> None:
        """Log and count an error that is a bug of this program."""
        recorder.log.error('unhandled', detail=why.getTraceback())
        self.recorder.metrics.decision_errors += 1
