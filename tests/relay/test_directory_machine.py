"""Random histories of the engine list and of events at engines."""

import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import listed_engines
from tests.common import relay_world

LEAST_LAPSE = relay_world.ENGINE_BOUNDS.least_lapse_seconds
NAMES = st.sampled_from([f'engine-{number}' for number in range(6)])
# Six engines share three addresses, as restarted engines do.
PORTS = {f'engine-{number}': 7_000 + number % 3 for number in range(6)}


class DirectoryMachine(RuleBasedStateMachine):
    """Compares the directory with a model of what it must never forget."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.known = directory.EngineDirectory(LEAST_LAPSE)
        self.left_engines: set[str] = set()
        self.removed: dict[str, float] = {}
        self.unusable: set[str] = set()
        self.last_read_at = float('-inf')

    def entry(self, name, heartbeat=1, *, leaving=False):
        return relay_world.engine(
            name,
            relay_world.STREAMS,
            'north',
            heartbeat,
            leaving=leaving,
            port=PORTS[name],
        )

    def note_read(self, entries, removed):
        """Record what a read has shown for certain."""
        self.left_engines |= {
            entry.engine for entry in entries if entry.leaving
        }
        for entry in entries:
            self.removed.pop(entry.engine, None)
            self.unusable.discard(entry.engine)
        for name in removed:
            if name in self.known.states:
                self.removed.setdefault(name, self.now)
        self.last_read_at = self.now

    @rule(seconds=st.sampled_from([0.01, 0.4, 1.0, 3.0, 61.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(
        names=st.sets(NAMES),
        leaving=st.sets(NAMES),
        removed=st.sets(NAMES),
        heartbeat=st.integers(1, 9),
    )
    def read_changes(self, names, leaving, removed, heartbeat):
        entries = tuple(
            self.entry(name, heartbeat, leaving=name in leaving)
            for name in sorted(names)
        )
        removed_engines = tuple(sorted(removed - names))
        self.known.apply_changes(entries, removed_engines, self.now)
        self.note_read(entries, removed_engines)

    @rule(names=st.sets(NAMES))
    def read_whole_list(self, names):
        entries = tuple(self.entry(name) for name in sorted(names))
        removed_engines = self.known.find_missing_engines(entries)
        self.known.apply_changes(entries, removed_engines, self.now)
        self.note_read(entries, removed_engines)

    @rule(names=st.sets(NAMES))
    def read_entries_that_cannot_be_used(self, names):
        """Each engine in use is returned once, the others are not."""
        used = {n for n in names if self.known.is_in_use(n, self.now)}
        assert set(self.known.remove_unusable(tuple(names), self.now)) == used
        assert not self.known.remove_unusable(tuple(names), self.now)
        self.unusable |= names

    @rule(name=NAMES)
    def read_an_entry_of_another_service(self, name):
        entry = dataclasses.replace(
            self.entry(name), service=relay_world.CALLS
        )
        known = name in self.known.states
        assert bool(self.known.find_service_conflicts((entry,))) == known

    @rule()
    def lose_the_store(self):
        self.known.note_store_lost()

    @rule(name=NAMES, dead=st.booleans())
    def fail(self, name, dead):
        self.known.note_failure(name, self.now, dead=dead)

    @rule(name=NAMES)
    def answer(self, name):
        self.known.note_success(name, self.now)

    @rule(name=NAMES)
    def doubt(self, name):
        self.known.note_peer_failure(name, self.now)

    @rule(name=NAMES)
    def fall_silent(self, name):
        self.known.note_silence(name, self.now)

    def candidates(self):
        found = self.known.candidates(relay_world.STREAMS, set(), self.now)
        return {state.entry.engine for state in found}

    @invariant()
    def services_name_exactly_the_known_engines(self):
        by_service = {
            name
            for of_service in self.known.by_service.values()
            for name in of_service
        }
        assert by_service == set(self.known.states)

    @invariant()
    def engine_that_left_gets_no_work(self):
        """Holds whatever the list shows later."""
        known_left_engines = self.left_engines & set(self.known.states)
        self.left_engines = known_left_engines
        assert not self.candidates() & known_left_engines

    @invariant()
    def removed_engine_gets_no_work_after_the_grace_period(self):
        for name, at in self.removed.items():
            if self.now > at + listed_engines.REGISTRATION_GRACE_SECONDS:
                assert name not in self.candidates()

    @invariant()
    def engine_whose_entry_cannot_be_used_gets_no_work(self):
        """Holds until the list has a usable entry of the engine."""
        assert not self.candidates() & self.unusable

    @invariant()
    def suspicion_alone_never_empties_the_candidates(self):
        """Refusing a request for lack of engines would help nobody."""
        usable = [
            state
            for state in self.known.states.values()
            if state.is_usable(self.now)
        ]
        assert bool(usable) == bool(self.candidates())

    @invariant()
    def equal_lists_have_equal_digests(self):
        other = directory.EngineDirectory(LEAST_LAPSE)
        entries = tuple(
            dataclasses.replace(state.entry, leaving=state.leaving)
            for state in self.known.states.values()
            if state.listed
        )
        other.apply_changes(entries, (), self.now)
        assert other.digest() == self.known.digest()


TestDirectory = DirectoryMachine.TestCase
TestDirectory.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
