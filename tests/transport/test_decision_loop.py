"""The decision loop continues after errors in its callbacks."""

import random

from twisted.internet import task

from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.transport import decision_loop
from greengagelb.transport import recorder


def new_loop(carry_out):
    return decision_loop.DecisionLoop(
        task.Clock(),
        node.Node('i', random.Random(1)),
        carry_out,
        recorder.Recorder('instance-0', 10),
    )


def test_periodic_call_continues_after_an_error():
    """Polling the platform raises an unexpected error.

    An instance whose polling stopped there would serve with an old
    configuration for as long as it runs.
    """
    calls = []

    def poll():
        calls.append(len(calls))
        if len(calls) == 1:
            raise KeyError('unforeseen')

    loop = new_loop(lambda action: None)
    loop.call_periodically(1.0, poll)
    loop.reactor.pump([1.0, 1.0])
    assert calls == [0, 1, 2]
    assert loop.recorder.metrics.decision_errors == 1


def test_event_dispatched_during_an_action_is_queued():
    seen = []

    def carry_out(action):
        seen.append(action.kind)
        if len(seen) == 1:
            loop.dispatch(events.PauseDetected(1.0))
            seen.append('first action done')

    loop = new_loop(carry_out)
    loop.dispatch(events.PauseDetected(2.0))
    assert seen == ['own-pause', 'first action done', 'own-pause']


def test_decision_error_does_not_propagate_to_the_dispatcher():
    """Carrying out an action raises within a connection's callback.

    A propagated error would count as a broken connection to that engine.
    """

    def carry_out(action):
        raise RuntimeError('no such thing')

    loop = new_loop(carry_out)
    loop.dispatch(events.PauseDetected(2.0))
    assert loop.recorder.metrics.decision_errors == 1
