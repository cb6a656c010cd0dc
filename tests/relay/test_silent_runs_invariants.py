"""Invariants of relayed streams under random events of engines."""

import collections
import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from greengagelb.coordination import timers
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import silent_runs
from tests.common import relay_world

MAX_OVERLAP_SECONDS = 0.4
NEVER = float('inf')
PROBE_SECONDS = 0.3
# How long an engine that is not silent takes to answer a probe. Such answers
# also come after the overlap of two runs has ended.
DELAYS = (0.02, 0.02, 0.1, 0.2, 0.28, 0.32, 0.5, 1.0, NEVER)
# The instance through which a run or a probe goes; none for a direct one.
WAYS = ('', 'between')
# How many events an engine lists beyond those that have arrived; none if it
# does not list the run.
UNSEEN = (None, 0, 1)
ACTS = (
    'wait',
    'wait',
    'wait',
    'event',
    'event',
    'ask',
    'break',
    'unconnected',
    'refuse',
    'misdirected',
    'rest',
    'fail',
    'restart',
    'complete',
    'silence',
    'limit',
    'pause',
    'empty',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """How an engine answers a probe."""

    seconds: float
    via: str
    run_via: str
    unseen: int | None


ANSWERS = [
    Answer(seconds, via, run_via, unseen)
    for seconds in DELAYS
    for via in WAYS
    for run_via in WAYS
    for unseen in UNSEEN
]


class Play:
    """Streams at engines that write, pause, refuse and fail at random."""

    def __init__(self, data):
        self.data = data
        self.world = relay_world.RelayWorld()
        self.dead = set()
        self.probes = 0
        self.written = {}
        self.both_since = {}
        self.starts = collections.Counter()
        self.answers_at = []

    def known(self):
        return self.world.relay.exchanges

    def open_sends(self):
        numbers = {
            number for one in self.known().values() for number in one.sends
        }
        return [s for s in self.world.sends() if s.send in numbers]

    def wait(self, seconds):
        until = self.world.now + seconds
        while self.world.now < until:
            self.world.advance(0.025)
            self.answer_probes()
            self.check()

    def answer_probes(self):
        asked = self.world.of_kind(relay_actions.ProbeEngine)
        for probe in asked[self.probes :]:
            answer = self.data.draw(st.sampled_from(ANSWERS))
            if probe.engine.engine in self.dead:
                answer = dataclasses.replace(answer, seconds=NEVER)
            seconds = answer.seconds
            if seconds == NEVER:
                seconds = PROBE_SECONDS
            self.answers_at.append((self.world.now + seconds, probe, answer))
        self.probes = len(asked)
        due = [a for a in self.answers_at if a[0] <= self.world.now]
        self.answers_at = [a for a in self.answers_at if a not in due]
        for _, probe, answer in due:
            self.answer_probe(probe, answer)

    def answer_probe(self, probe, answer):
        """Have an engine answer a probe, or the time for that pass."""
        alive = answer.seconds < NEVER
        one = self.known().get(probe.exchange)
        sent = one.sends.get(probe.send) if one else None
        listed = None
        if alive and sent is not None and answer.unseen is not None:
            listed = sent.events_seen + answer.unseen
        self.world.handle(
            relay_events.EngineProbed(
                probe.exchange,
                probe.send,
                alive,
                run_events=listed,
                via=answer.via if alive else '',
                run_via=answer.run_via,
            )
        )

    def check(self):
        world = self.world
        flights = collections.Counter()
        checks = world.relay.crash_watch.checks.values()
        held = {n for c in checks for n, _ in c.requests_awaiting_check}
        waiting = world.relay.permit_outcomes.waiting.values()
        permits = {w.exchange for w in waiting}
        waits = world.relay.engine_wait_outcomes.waits.waiting
        for number, one in self.known().items():
            assert (
                one.sends
                or number in held
                or number in permits
                or number in waits
            ), 'stalled'
            assert len(one.sends) <= 2, 'three runs'
            most = one.ruling.route.most_attempts
            assert one.attempts <= most, 'attempts'
            if one.sends:
                assert number not in held
                name = timers.timer_name(silent_runs.SILENCE_TIMER, number)
                assert name in world.timers, 'no timer'
                due = min(
                    world.relay.streams.silent_runs.next_event_due_at(one, s)
                    for s in one.sends.values()
                )
                assert world.timers[name] <= max(due, world.now), 'late'
            for sent in one.sends.values():
                flights[sent.entry.engine] += 1
            self.check_overlap(number, one)
        for engine, state in world.relay.engines.states.items():
            assert state.in_flight == flights[engine], 'in flight'
        for number in range(1, world.last_exchange + 1):
            got = world.passed_events(number)
            assert got == list(range(1, len(got) + 1)), 'events'

    def check_overlap(self, number, one):
        """Check the time with two open runs, whatever the probes say."""
        runs = tuple(one.sends)
        since, pair = self.both_since.pop(number, (self.world.now, None))
        if pair is not None and pair != runs:
            assert len({*pair} & {*runs}) == 1, 'not one run after an overlap'
            since = self.world.now
        if len(runs) < 2:
            return
        self.both_since[number] = (since, runs)
        assert self.world.now - since < MAX_OVERLAP_SECONDS, 'overlap'

    def write(self, send):
        one = self.known()[send.exchange]
        position = self.written.get(send.send, send.resume_after or 0)
        if send.send not in self.written:
            self.world.begin(send)
        if send.send not in one.sends:
            return
        self.written[send.send] = position + 1
        self.world.events(send, position + 1)
        assert list(one.sends) == [send.send], 'a run beside the winner'

    def act(self):
        data = self.data
        act = data.draw(st.sampled_from(ACTS))
        sends = self.open_sends()
        if act == 'wait':
            self.wait(data.draw(st.sampled_from((0.05, 0.2, 0.4, 1.1))))
            return
        if act == 'ask' or not sends:
            self.world.ask()
            return
        send = data.draw(st.sampled_from(sends))
        name = send.engine.engine
        match act:
            case 'event':
                self.write(send)
            case 'break':
                self.world.lose(send)
            case 'unconnected':
                if send.send not in self.written:
                    self.world.lose(send, handed_over=False)
            case 'refuse' | 'misdirected':
                if send.send not in self.written:
                    status = 503 if act == 'refuse' else 421
                    self.world.refuse(send, status)
            case 'rest':
                if send.send not in self.written:
                    self.world.ask_for_rest(send, 0.6)
            case 'fail':
                if send.send not in self.written:
                    self.world.answer(send, status=500)
            case 'complete':
                if send.send in self.written:
                    self.world.complete(send)
            case 'empty':
                if send.send not in self.written:
                    self.world.begin(send)
                    self.world.complete(send)
            case 'silence':
                self.dead ^= {name}
            case 'limit':
                if send.send not in self.written:
                    self.world.begin(send, limit=1.0)
                    self.written[send.send] = send.resume_after or 0
            case 'pause':
                self.world.now += 1.0
                self.world.advance(0.0)
            case 'restart':
                self.starts[name] += 1
                self.world.handle(
                    relay_events.AddressProbed(
                        name, name, 1_000 * self.starts[name]
                    )
                )


@settings(derandomize=True, deadline=None, max_examples=250)
@given(st.data())
def test_streams_are_watched_and_never_stall(data):
    """Guards against a stream without a run, a wait or a timer."""
    play = Play(data)
    for _ in range(data.draw(st.integers(1, 3))):
        play.write(play.world.last_send(play.world.ask()))
    for _ in range(data.draw(st.integers(5, 60))):
        play.act()
        play.answer_probes()
        play.check()
