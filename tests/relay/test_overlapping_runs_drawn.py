"""Overlapping runs under drawn pauses, probes and losses of paths."""

import dataclasses

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.common import overlapping_runs
from tests.common import simulated_network

NEVER = float('inf')
STREAMS = 3
# Engines may be at work for so long after their caller has left.
GONE_SECONDS = 0.5
# The time for the streams to end: engines take 4 s for all events.
REST_SECONDS = 14.0
# For so long a path is lost; the deadline of a stream is later.
HARM_SECONDS = (0.1, 0.3, 0.5, 1.0, 2.0, 3.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """The engine of a stream writes nothing, and answers probes late."""

    stream: int
    seconds: float
    probe_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """The path from instance 0 to where it has a run's connection is lost.

    It is harmed in this mode for some seconds, or for good.
    """

    stream: int
    mode: simulated_network.Cut
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """The caller of a stream leaves."""

    stream: int


LOST_PATH = Loss(0, simulated_network.Cut.SILENT, 3.0)
numbers = st.integers(0, STREAMS - 1)
modes = st.sampled_from(simulated_network.Cut)
pauses = st.builds(
    Pause,
    numbers,
    st.sampled_from((0.5, 0.9, 1.5, 3.0)),
    st.sampled_from((0.0, 0.05, 0.2, 0.28, 0.5, 1.0, NEVER)),
)
losses = st.builds(Loss, numbers, modes, st.sampled_from(HARM_SECONDS))
losses_for_good = st.builds(Loss, numbers, modes, st.just(NEVER))
departures = st.builds(Departure, numbers)
# Departures and harm for good leave less to be seen afterwards.
acts = st.sampled_from(
    (*[pauses] * 4, *[losses] * 4, losses_for_good, departures)
).flatmap(lambda drawn: drawn)
steps = st.lists(
    st.tuples(st.sampled_from((0.0, 0.05, 0.13, 0.3, 0.39, 0.5, 0.8)), acts),
    min_size=3,
    max_size=8,
)


class Play:
    """Streams at instance 0, and what is done to them."""

    def __init__(self, is_direct, seed):
        self.is_direct = is_direct
        self.fleet = overlapping_runs.Fleet(size=4, seed=seed)
        if not is_direct:
            self.fleet.lose_direct_paths()
        self.asked = self.fleet.start_streams(STREAMS)
        self.left_at = {}
        self.lost = set()
        self.lost_for_good = set()

    def act(self, act):
        """Do something to a stream that is under way."""
        stream = self.asked[act.stream]
        run = self.fleet.runs_of(stream)[-1]
        match act:
            case Pause():
                engine = self.fleet.engines[run.engine]
                engine.silent_until = self.fleet.network.now + act.seconds
                engine.probe_seconds = act.probe_seconds
            case Loss():
                self.lose_path(run, act)
            case Departure() if stream.ended_at is None:
                self.left_at.setdefault(stream, self.fleet.network.now)
                stream.leave()

    def lose_path(self, run, loss):
        """Lose the path from instance 0 towards a run."""
        own = self.fleet.host_of(0)
        other = run.host if run.source == own else run.source
        self.fleet.harm_path(own, other, loss.mode, loss.seconds)
        self.lost.add(other)
        if loss.seconds == NEVER:
            self.lost_for_good.add(other)

    def could_be_served(self):
        """Return whether each stream could go on at all times.

        One of the ways has always been there, and retries were left.
        """
        ways = 6 if self.is_direct else 3
        return len(self.lost) < ways and len(self.lost_for_good) < 2

    def check(self):
        """Check what must hold, whatever was done."""
        for stream in self.asked:
            assert self.fleet.overlaps(stream) == [], 'overlap'
            got = stream.events
            assert got == list(range(1, len(got) + 1)), 'events'
            if stream in self.left_at:
                self.check_gone(stream)
            elif self.could_be_served():
                assert overlapping_runs.is_whole(stream), 'not whole'

    def check_gone(self, stream):
        """Check that no engine in reach is at work for nobody."""
        limit = self.left_at[stream] + GONE_SECONDS
        now = self.fleet.network.now
        for run in self.fleet.runs_of(stream):
            end = min(run.ended_at, now)
            if self.fleet.is_reached(run, self.left_at[stream], end):
                assert end <= limit, 'at work for nobody'


@settings(derandomize=True, deadline=None, max_examples=25)
@given(st.booleans(), st.integers(1, 5), steps)
@example(True, 1, [(0.0, Pause(0, 3.0, NEVER)), (0.13, Pause(1, 3.0, 0.5))])
@example(False, 1, [(0.0, Pause(0, 3.0, NEVER)), (0.45, LOST_PATH)])
def test_one_run_in_reach_works_on_a_stream(is_direct, seed, done):
    """Guards against two engines at work, and engines at work for nobody."""
    play = Play(is_direct, seed)
    for seconds, act in done:
        play.fleet.network.advance(seconds)
        play.act(act)
    play.fleet.network.advance(REST_SECONDS)
    play.check()
