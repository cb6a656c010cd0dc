"""Timers while the wall clock is changed."""

import time

import pytest
from twisted.internet import epollreactor

from greengagelb.transport import reactors


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
