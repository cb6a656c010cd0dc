"""Invariants of relayed streams under random events of engines."""

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from greengagelb.coordination import timers
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import silent_runs
from tests.common import relay_world

MAX_OVERLAP_SECONDS = 0.4
LAST_EVENT = 12
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


class Play:
    """Streams at engines that write, pause, refuse and fail at random."""

    def __init__(self):
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
            alive = probe.engine.engine not in self.dead
            delay = 0.02 if alive else 0.3
            self.answers_at.append((self.world.now + delay, probe, alive))
        self.probes = len(asked)
        due = [a for a in self.answers_at if a[0] <= self.world.now]
        self.answers_at = [a for a in self.answers_at if a not in due]
        for _, probe, alive in due:
            self.world.handle(
                relay_events.EngineProbed(probe.exchange, probe.send, alive)
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
        alive = all(
            s.entry.engine not in self.dead for s in one.sends.values()
        )
        if len(one.sends) < 2 or not alive:
            self.both_since.pop(number, None)
            return
        key = tuple(one.sends)
        since, known = self.both_since.get(number, (self.world.now, key))
        if known[-1] != key[-1]:
            since = self.world.now
        self.both_since[number] = (since, key)
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

    def act(self, data):
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
                self.both_since.clear()
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
    play = Play()
    play.world.ask()
    for _ in range(data.draw(st.integers(5, 60))):
        play.act(data)
        play.answer_probes()
        play.check()
