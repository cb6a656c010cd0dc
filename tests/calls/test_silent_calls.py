"""Idempotent calls whose connection or service has become silent."""

import random

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests

STALL = 'call-stall:1'
DEADLINE = 60.0


def node_with_call(upstreams=2, idempotent=True):
    """Return an instance and its actions on the submission of one call."""
    instance = node.Node('i', random.Random(1))
    service = configuration.Service(
        'stop',
        configuration.ServiceKind.CALL,
        'mowers',
        idempotent,
        configuration.Priority.SHORT,
    )
    pool = configuration.Pool(
        'mowers',
        tuple(
            configuration.Upstream(f'p{n}', '127.0.0.1', n + 1, 'per-1')
            for n in range(upstreams)
        ),
    )
    offered = configuration.Configuration(
        version=1,
        accounts=(configuration.ClientAccount('karri', '', ('stop',)),),
        services=(service,),
        pools=(pool,),
    )
    instance.handle(events.ConfigurationOffered(offered, 'test'), 0.0)
    request = requests.CallRequest(
        1, identity.RequestId('karri', 'r'), 'stop', 'stop', b'', DEADLINE
    )
    return instance, instance.handle(events.CallSubmitted(request), 0.0)


def of_kind(kind, done):
    return [action for action in done if isinstance(action, kind)]


def test_silent_call_is_tried_elsewhere_and_the_first_answer_counts():
    """The connection of an urgent call to its upstream is dead.

    Waiting would take until the caller's deadline, while a second try
    answers within seconds.
    """
    instance, done = node_with_call()
    (first,) = of_kind(actions.DispatchCall, done)
    (timer,) = [a for a in done if a == actions.SetTimer(STALL, 2.0)]
    done = instance.handle(events.TimerFired(timer.name), timer.deadline)
    (second,) = of_kind(actions.DispatchCall, done)
    assert second.upstream != first.upstream
    answer = events.CallAnswered(1, 200, b'stopped', second.try_number)
    done = instance.handle(answer, 2.1)
    assert actions.SendAnswer(1, 200, b'stopped') in done
    assert actions.AbandonCall(1) in done
    late = events.CallAnswered(1, 200, b'late', first.try_number)
    assert instance.handle(late, 3.0) == []
    silent = instance.directory.views[first.upstream.name]
    assert silent.suspected_until > 2.1
    assert instance.directory.views['p0'].in_flight == 0
    assert instance.directory.views['p1'].in_flight == 0


def test_only_upstream_is_asked_again_over_a_new_connection():
    """The connection is dead while the service still works."""
    instance, done = node_with_call(upstreams=1)
    done = instance.handle(events.TimerFired(STALL), 2.0)
    assert len(of_kind(actions.DispatchCall, done)) == 1


def test_broken_try_leaves_the_other_one_running():
    instance, _ = node_with_call()
    instance.handle(events.TimerFired(STALL), 2.0)
    assert not of_kind(
        actions.SendFailure,
        instance.handle(events.CallBroken(1, 'reset', True, 1), 2.1),
    )
    done = instance.handle(events.CallAnswered(1, 200, b'', 2), 2.2)
    assert of_kind(actions.SendAnswer, done)


def test_silent_call_that_may_not_repeat_gets_no_second_try():
    """A charge is slow, and a second try could charge twice."""
    instance, done = node_with_call(idempotent=False)
    assert STALL not in [a.name for a in of_kind(actions.SetTimer, done)]
    assert instance.handle(events.TimerFired(STALL), 2.0) == []
