"""A cause always sorts before its effect, whatever the clocks show."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.state import timeline
from greengagelb.transport import recorder
from tests.common import caller_sites

HOUR = 3_600_000


@settings(derandomize=True, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.integers(0, 2),
            strategies.integers(0, 50),
        ),
        max_size=60,
    )
)
def test_stamps_increase_in_each_process_and_along_each_message(history):
    clocks = [timeline.HybridClock() for _ in range(3)]
    for sender, receiver, wall in history:
        before = clocks[receiver].latest
        sent = clocks[sender].tick(wall)
        arrived = clocks[receiver].observe(sent, wall)
        assert arrived > sent
        assert arrived > before


def test_resumed_stream_sorts_after_the_lost_instance(monkeypatch):
    """The clock of a lost instance is ahead of its successor's clock.

    The caller sends its cursor to the next instance. Without the stamp in the
    cursor, the time line would show the resumption of the stream before its
    start.
    """
    wall = recorder.wall_milliseconds()
    ahead = timeline.Stamp(wall + 5_000, 3)
    site = caller_sites.CallerSite()
    point = caller_sites.sample_point('teratak')
    cursor = site.seal.seal_point(point, ahead).encode()
    site.connect().send(
        caller_sites.request(
            '/v1/chat/completions', None, b'Last-Event-ID: ' + cursor
        )
    )
    assert isinstance(site.events[0], events.GenerationResumed)
    site.recorder.record(actions.Record('stream-attached', 'caller came back'))
    assert site.recorder.timeline.events[-1].stamp > ahead


def test_stamp_far_ahead_is_not_adopted():
    """A machine's clock is an hour ahead.

    If its stamps were adopted, all later stamps of the fleet would be an hour
    ahead.
    """
    found = recorder.Recorder('instance-0', 10)
    wall = recorder.wall_milliseconds()
    assert not found.observe_stamp(timeline.Stamp(wall + HOUR, 0))
    found.record(actions.Record('stopping', 'stop requested'))
    assert found.timeline.events[-1].stamp.milliseconds < wall + HOUR
