"""Feeds events to the decisions, one after the other, and keeps their timers.

Events that come up while actions are carried out wait: the decisions are
never entered twice at once, so that each of them sees a state that the one
before has left whole.
"""

import collections
from collections.abc import Callable
from typing import Protocol

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.transport import recorder


class Decisions(Protocol):
    """The seam: whatever turns events into actions, without I/O.

    Either kind of instance has its own. Imported from here, the other one's
    would take a tenth of the time until an instance serves.
    """

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Return what an event leads to at a monotonic time."""


class DecisionLoop:
    """Events in, actions out, on the one loop of the process."""

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
        self.pending_events: collections.deque[events.Event] = (
            collections.deque()
        )
        self.is_dispatching = False

    # -- events -------------------------------------------------------------

    def dispatch(self, event: events.Event) -> None:
        """Have an event decided on, after those that came before it."""
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
        """Decide on one event and carry out what follows.

        An error in here is this program's own. Events come from within HTTP
        callbacks, and an error that got out would be taken for a broken
        connection to whatever upstream the event came from.
        """
        try:
            for action in self.decisions.handle(event, self.reactor.seconds()):
                self.carry_out(action)
        except Exception:
            recorder.log.exception('decision-failed', event_kind=repr(event))
            self.recorder.metrics.decision_errors += 1

    # -- timers -------------------------------------------------------------

    def set_timer(self, name: str, deadline: float) -> None:
        """Fire an event at a monotonic time."""
        wait = max(0.0, deadline - self.reactor.seconds())
        pending = self.timers.get(name)
        if pending is not None and pending.active():
            pending.reset(wait)
            return
        self.timers[name] = self.reactor.callLater(wait, self.fire_timer, name)

    def clear_timer(self, name: str) -> None:
        """Forget a timer."""
        pending = self.timers.pop(name, None)
        if pending is not None and pending.active():
            pending.cancel()

    def fire_timer(self, name: str) -> None:
        """Report that a timer is due."""
        del self.timers[name]
        self.dispatch(events.TimerFired(name))

    # -- what is done now and again -----------------------------------------

    def call_periodically(
        self, seconds: float, function: Callable[[], object]
    ) -> None:
        """Call a function now and again, as long as the process lives.

        A looping call ends for good at the first error. An instance whose
        poll has ended that way would serve on with an old configuration, and
        nothing but its version would show it.
        """

        def call() -> defer.Deferred:
            return defer.maybeDeferred(function).addErrback(
                self.log_unhandled_error
            )

        looping = task.LoopingCall(call)
        looping.clock = self.reactor
        looping.start(seconds)

    def log_unhandled_error(self, why: failure.Failure) -> None:
        """Log an error of this program itself."""
        recorder.log.error('unhandled', detail=why.getTraceback())
        self.recorder.metrics.decision_errors += 1
