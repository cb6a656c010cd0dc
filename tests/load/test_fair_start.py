"""Which waiting request starts next, and which ones are refused."""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.state import requests
from tests.common import loaded_node


def test_account_at_its_limit_blocks_no_other_account():
    """An account has reached its limit of running requests.

    Its next request is at the head of the queue. If the queue waited for it,
    all other accounts would get no answer while engines are free.
    """
    node = loaded_node.new_node(
        [
            loaded_node.account('busy', most_running=1),
            loaded_node.account('other'),
        ],
        slots=8,
    )
    node.handle(loaded_node.draft(1, 'busy'), 1.0)
    node.handle(loaded_node.draft(2, 'busy'), 1.0)
    node.handle(loaded_node.draft(4, 'other', tokens=50), 1.0)
    done = node.handle(loaded_node.draft(3, 'other'), 1.0)
    assert loaded_node.started(done) == ['r3']
    done = loaded_node.end(node, 1, 2.0)
    assert loaded_node.started(done) == ['r2']


def test_waiting_request_is_told_not_run_at_its_deadline():
    """All engines are busy until after the caller's deadline.

    Without a timer the caller would get no answer while the engines stay busy,
    and would not know that its request never ran.
    """
    node = loaded_node.new_node([loaded_node.account('a')])
    node.handle(loaded_node.draft(1, 'a'), 1.0)
    done = node.handle(loaded_node.draft(2, 'a', deadline=5.0), 1.0)
    (timer,) = loaded_node.only(actions.SetTimer, done)
    assert timer.deadline == 5.0
    done = node.handle(events.TimerFired(timer.name), 5.0)
    failure = loaded_node.failures(done)[2]
    assert failure.code == 'deadline-passed'
    assert failure.ran is requests.Ran.NO
    assert not loaded_node.started(loaded_node.end(node, 1, 6.0))


def test_short_call_starts_while_long_work_fills_the_queue():
    """An account submits more long work than the engines can run.

    Without places that long work cannot take, a short call on the same engine
    would wait for minutes.
    """
    node = loaded_node.new_node([loaded_node.account('a')], slots=4)
    for exchange in range(10):
        node.handle(loaded_node.draft(exchange, 'a'), 1.0)
    done = node.handle(loaded_node.draft(20, 'a', service='quick'), 1.0)
    assert loaded_node.started(done) == ['r20']


def test_stream_without_engine_goes_before_new_long_work():
    """The engine of a stream dies while every other place is taken.

    The next free place has to go to the broken stream. If new work took it,
    the stream would fail after some seconds.
    """
    node = loaded_node.new_node([loaded_node.account('a')], engines=2)
    node.handle(loaded_node.draft(1, 'a'), 1.0)
    node.handle(loaded_node.draft(2, 'a'), 1.0)
    node.handle(loaded_node.draft(3, 'a'), 1.0)
    lost = node.stream_supervisor.streams[1].attempt.attempt_id
    for _ in range(2):
        node.handle(events.AttemptBroken(lost, 'killed', True), 1.1)
    assert node.stream_supervisor.streams[1].attempt is None
    done = loaded_node.end(node, 2, 1.2)
    assert loaded_node.started(done) == ['r1']


def test_arriving_tokens_trigger_no_upstream_selection(monkeypatch):
    """Requests of many accounts wait while streams run.

    Selecting upstreams on each batch of tokens would take processor time away
    from relaying the tokens.
    """
    node = loaded_node.new_node([loaded_node.account('a')])
    for exchange in (1, 2):
        node.handle(loaded_node.draft(exchange, 'a'), 1.0)
    attempt = node.stream_supervisor.streams[1].attempt.attempt_id
    monkeypatch.setattr(node.directory, 'choose_upstream', None)
    done = node.handle(events.TokensArrived(attempt, 0, ('x',)), 1.0)
    assert loaded_node.only(actions.SendTokens, done)


def test_retry_after_grows_with_the_queue():
    """A flood fills the queues, and late requests are refused on arrival.

    With a constant Retry-After all refused callers would return at the same
    time and be refused again.
    """
    node = loaded_node.new_node([loaded_node.account('a')])
    node.handle(loaded_node.draft(1, 'a', tokens=100), 0.0)
    loaded_node.end(node, 1, 10.0)
    seen = []
    for exchange in range(2, 12):
        node.handle(loaded_node.draft(exchange, 'a', tokens=100), 10.0)
        late = loaded_node.draft(100 + exchange, 'a', 100, deadline=15.0)
        failure = loaded_node.failures(node.handle(late, 10.0))[100 + exchange]
        assert failure.code == 'deadline-too-near'
        assert failure.ran is requests.Ran.NO
        seen.append(failure.retry_after)
    assert len(set(seen)) == len(seen)
    for waiting, seconds in enumerate(seen):
        assert max(1, 10 * waiting) <= seconds <= max(2, 20 * waiting)


def test_request_is_not_kept_waiting_longer_than_its_service_allows():
    """All engines are busy, and a service bounds the wait for a start.

    Without the bound, a caller with a late deadline would wait for its first
    token until then. It gets "not run" as soon as the bound is reached.
    """
    node = loaded_node.new_node([loaded_node.account('a')])
    offered = node.configuration
    services = [
        dataclasses.replace(service, most_wait=2.0)
        for service in offered.services
    ]
    offered = dataclasses.replace(offered, version=2, services=tuple(services))
    node.handle(events.ConfigurationOffered(offered, 'test'), 0.5)
    node.handle(loaded_node.draft(1, 'a'), 1.0)
    done = node.handle(loaded_node.draft(2, 'a'), 1.0)
    (timer,) = loaded_node.only(actions.SetTimer, done)
    assert timer.deadline == 3.0
    failure = loaded_node.failures(
        node.handle(events.TimerFired(timer.name), 3.0)
    )[2]
    assert failure.code == 'wait-too-long'
    assert failure.ran is requests.Ran.NO
