"""Random histories of engines that restart with their identity."""

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from tests.common import relay_invariants
from tests.common import relay_world

# Starts of three lives of each engine; 0 is the start of unknown lives.
STARTS = (1_796_000_000_000, 1_796_000_060_000, 1_796_000_120_000)
LIVES = st.sampled_from(STARTS)
REPORTED_LIVES = st.sampled_from((0, *STARTS))
ENTRIES = {entry.engine: entry for entry in relay_world.fleet()}
NAMES = st.sampled_from(sorted(ENTRIES))
# The start of an engine that was forgotten long after its end.
FORGOTTEN = -1


class EngineLives(
    relay_invariants.CountsAddUp, stateful.RuleBasedStateMachine
):
    """Lists, failures and reports of all lives, late and in any order.

    ``latest`` is the latest start of each engine that this instance was told
    of; ``leaving_engines`` are those whose latest life is known as leaving.
    """

    def __init__(self):
        super().__init__()
        first = [
            dataclasses.replace(entry, started_at_ms=STARTS[0])
            for entry in ENTRIES.values()
        ]
        self.world = relay_world.RelayWorld(first)
        self.latest = dict.fromkeys(ENTRIES, STARTS[0])
        self.leaving_engines = set()
        self.processed_actions = 0
        self.sent = {}
        self.copies = {}

    def note_start(self, name, start, *, leaving=False):
        """Note a reported start; those of former lives are ignored."""
        if start and start < self.latest[name]:
            return
        if start > self.latest[name]:
            if self.latest[name]:
                self.leaving_engines.discard(name)
            self.latest[name] = start
        if leaving:
            self.leaving_engines.add(name)

    def note_reported_start(self, name, start):
        """Note a start that was reported by another source than the list."""
        if 0 < self.latest[name] < start:
            self.note_start(name, start)

    def state(self, name):
        return self.world.relay.engines.states[name]

    def process_actions(self):
        """Check the actions that the relay has taken since the last call."""
        for action in self.world.actions[self.processed_actions :]:
            match action:
                case relay_actions.Send():
                    self.check_send(action)
                case relay_actions.AbandonSend(exchange, send):
                    self.sent.pop((exchange, send), None)
        self.processed_actions = len(self.world.actions)
        for name in set(ENTRIES) - set(self.world.relay.engines.states):
            self.latest[name] = FORGOTTEN
            self.leaving_engines.discard(name)

    def check_send(self, send):
        """Check that no send goes to a former life or uses its copies."""
        assert self.is_latest_life(send.engine)
        self.sent[send.exchange, send.send] = send
        held = self.copies.setdefault(send.exchange, [])
        if send.copy_from is not None:
            named = [c for c in held if c.address == send.copy_from.address]
            assert all(self.is_latest_life(copy) for copy in named[-1:])
        if send.copy_to is not None:
            assert self.is_latest_life(send.copy_to)
            held.append(send.copy_to)

    def is_latest_life(self, entry):
        return entry.started_at_ms == self.latest[entry.engine]

    @stateful.rule(
        names=st.sets(NAMES, max_size=4),
        start=REPORTED_LIVES,
        heartbeat=st.integers(1, 60),
        leaving=st.booleans(),
        from_peer=st.booleans(),
    )
    def read_entries(self, names, start, heartbeat, leaving, from_peer):
        entries = tuple(
            dataclasses.replace(
                ENTRIES[name],
                heartbeat=heartbeat,
                leaving=leaving,
                started_at_ms=start,
            )
            for name in sorted(names)
        )
        for name in names:
            self.note_start(name, start, leaving=leaving)
        if from_peer:
            hint = hints.EngineListChanged(entries, ())
            self.world.handle(relay_events.PeerTold('other', hint))
        else:
            self.world.change_engines(*entries)
        self.process_actions()

    @stateful.rule(names=st.sets(NAMES, max_size=2))
    def entries_lapse(self, names):
        self.world.change_engines(removed=sorted(names))
        self.process_actions()

    @stateful.rule()
    def store_goes_away(self):
        self.world.handle(relay_events.StoreLost('away'))

    @stateful.rule()
    def store_is_read_again(self):
        self.world.change_engines()
        self.process_actions()

    @stateful.rule(name=NAMES, start=REPORTED_LIVES)
    def engine_is_found_at_its_address(self, name, start):
        self.note_reported_start(name, start)
        self.world.handle(relay_events.AddressProbed(name, name, start))
        self.process_actions()

    @stateful.rule(name=NAMES, start=LIVES)
    def peer_reports_a_restart(self, name, start):
        self.note_reported_start(name, start)
        hint = hints.EngineRestarted(name, start)
        self.world.handle(relay_events.PeerTold('other', hint))
        self.process_actions()

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data(), start=REPORTED_LIVES, alive=st.booleans())
    def probe_is_answered(self, data, start, alive):
        send = self.draw_send(data)
        exchange = self.world.relay.exchanges.get(send.exchange)
        asked = exchange is not None and send.send in exchange.sends
        if asked and send.stream and alive:
            self.note_reported_start(send.engine.engine, start)
        start = start if alive else 0
        self.world.handle(
            relay_events.EngineProbed(send.exchange, send.send, alive, start)
        )
        self.process_actions()

    @stateful.rule(
        name=NAMES,
        start=REPORTED_LIVES,
        kind=st.sampled_from([hints.EngineFailed, hints.StreamSilent]),
    )
    def peer_reports_a_failure(self, name, start, kind):
        is_former = 0 < start < self.latest[name]
        before = self.state(name).doubted_until if is_former else None
        hint = kind(name, start)
        self.world.handle(relay_events.PeerTold('other', hint))
        if is_former:
            assert self.state(name).doubted_until == before
        self.process_actions()

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data(), handed_over=st.booleans())
    def connection_breaks(self, data, handed_over):
        send = self.draw_send(data)
        del self.sent[send.exchange, send.send]
        state = self.state(send.engine.engine)
        before = (state.suspected_until, state.alive_from)
        self.world.lose(send, handed_over=handed_over)
        if send.engine.started_at_ms < self.latest[send.engine.engine]:
            assert (state.suspected_until, state.alive_from) == before
        self.process_actions()

    def draw_send(self, data):
        return self.sent[data.draw(st.sampled_from(sorted(self.sent)))]

    @stateful.rule(kind=st.sampled_from(['stream', 'call', 'query']))
    def ask(self, kind):
        asks = {
            'stream': self.world.ask_little,
            'call': self.world.call,
            'query': self.world.query,
        }
        asks[kind]()
        self.process_actions()

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def engine_streams(self, data):
        send = self.draw_send(data)
        if send.stream:
            given = self.world.passed_events(send.exchange)
            self.world.begin(send)
            self.world.events(send, (given[-1] if given else 0) + 1)
            self.process_actions()

    @stateful.rule(
        number=st.integers(1, 4),
        name=NAMES,
        copy_to=NAMES,
        is_former=st.booleans(),
    )
    def peer_starts_or_ends_a_run(self, number, name, copy_to, is_former):
        hint = hints.RunPlaced(
            number, name, 400, 400, copy_to, f'part{number}'
        )
        if is_former:
            hint = hints.RunEnded(number)
        self.world.handle(relay_events.PeerTold('other', hint))

    @stateful.rule(seconds=st.sampled_from([0.1, 0.6, 2.0, 5.0]))
    def time_passes(self, seconds):
        self.world.advance(seconds)
        self.process_actions()

    @stateful.invariant()
    def latest_life_is_known(self):
        for name, start in self.latest.items():
            state = self.world.relay.engines.states.get(name)
            if state is not None:
                assert state.entry.started_at_ms == start

    @stateful.invariant()
    def leaving_mark_belongs_to_the_latest_life(self):
        for name, state in self.world.relay.engines.states.items():
            assert state.leaving == (name in self.leaving_engines)

    @stateful.invariant()
    def engines_are_indexed_by_the_service_of_their_latest_life(self):
        known = self.world.relay.engines
        for service, states in known.by_service.items():
            for name, state in states.items():
                assert state is known.states[name]
                assert state.entry.service == service

    @stateful.invariant()
    def no_copy_is_assumed_at_a_past_life(self):
        relay = self.world.relay
        for exchange in relay.exchanges.values():
            for sent in exchange.sends.values():
                assert sent.copy_to is None or self.is_latest_life(
                    sent.copy_to
                )

    @stateful.invariant()
    def calls_are_sent_once(self):
        """An engine accepts what is sent under its identity, in any life."""
        for exchange in self.world.relay.exchanges.values():
            if exchange.ruling.route is relay_world.CALL_ROUTE:
                broken = exchange.unconnected
                sends = self.world.sends(exchange.number)
                assert len(sends) <= 1 + broken


EngineLives.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestEngineLives = EngineLives.TestCase
