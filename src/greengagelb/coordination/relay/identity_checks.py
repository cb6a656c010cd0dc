"""Finds the engines that have ended together with another one.

What ends many engines of a data centre at once, such as a loss of power, also
brings them back at once, under other identities at the same addresses. The
first that turns a request away as misdirected shows this before the list of
engines does. The others are asked who they are before they get a request: each
refusal would cost a retry, and a data centre may have a hundred engines.

A few are asked at first. Each one that has ended as well, or gives no answer,
has further ones asked. Once all answers are in, those that were not asked
count as unchanged.
"""

import random

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import sending
from greengagelb.coordination.relay import successor_search
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import engines

# How long an engine gets no requests while it is asked, or others are. Live
# engines answer in a few milliseconds.
HOLD_SECONDS = 0.3
# An engine that was heard from this recently has not ended: engines take a
# second or more to start.
HEARD_SECONDS = 0.5
# How many engines are asked at first, and for each one that seems lost.
FIRST_QUESTIONS = 4
FURTHER_QUESTIONS = 2

Action = relay_actions.RelayAction
# The engines of a service in a data centre, by the names of both.
Group = tuple[str, str]


class IdentityChecks:
    """The engines that are asked who they are, each with its group."""

    def __init__(
        self,
        engine_directory: directory.EngineDirectory,
        send_manager: sending.SendManager,
        succession: successor_search.SuccessorSearch,
        rng: random.Random,
    ) -> None:
        self.engines = engine_directory
        self.send_manager = send_manager
        self.succession = succession
        self.rng = rng
        self.asked: dict[str, Group] = {}

    def check_neighbours(
        self, replaced: engines.EngineEntry, now: float
    ) -> list[Action]:
        """Check the engines that may have ended together with another one."""
        group = group_of(replaced)
        if group in self.asked.values():
            return self.ask(group, FURTHER_QUESTIONS, now)
        for state in self.engines_in(group, now):
            if now >= state.heard_at + HEARD_SECONDS:
                state.identity_unknown_until = now + HOLD_SECONDS
        return self.ask(group, FIRST_QUESTIONS, now)

    def engines_in(
        self, group: Group, now: float
    ) -> list[engine_states.EngineState]:
        """Return the usable engines of a service in a data centre."""
        service = group[0]
        return [
            state
            for state in self.engines.by_service.get(service, {}).values()
            if group_of(state.entry) == group and state.is_usable(now)
        ]

    def ask(self, group: Group, count: int, now: float) -> list[Action]:
        """Ask some more of the engines whose identity is unknown."""
        unknown = [
            state.entry
            for state in self.engines_in(group, now)
            if now < state.identity_unknown_until
            and state.entry.engine not in self.asked
        ]
        chosen = self.rng.sample(unknown, min(count, len(unknown)))
        self.asked.update({entry.engine: group for entry in chosen})
        path = self.succession.health_paths.get(group[0], '/')
        return [relay_actions.ProbeAddress(entry, path) for entry in chosen]

    def accept_answer(
        self, event: relay_events.AddressProbed, now: float
    ) -> list[Action]:
        """Apply an answer, and ask further engines if it shows an end."""
        group = self.asked.pop(event.old, None)
        state = self.engines.states.get(event.old)
        if group is None or state is None:
            return []
        if event.new == event.old:
            state.identity_unknown_until = float('-inf')
            self.engines.note_heard(event.old, now)
            questions = []
        else:
            self.note_lost(state, event, now)
            questions = self.ask(group, FURTHER_QUESTIONS, now)
        if group not in self.asked.values():
            self.release(group, now)
        return questions

    def note_lost(
        self,
        state: engine_states.EngineState,
        event: relay_events.AddressProbed,
        now: float,
    ) -> None:
        """Note that an engine was replaced, or gave no answer."""
        state.identity_unknown_until = float('-inf')
        if event.is_replaced:
            self.send_manager.announce_replaced(state.entry)
        else:
            self.engines.note_failure(event.old, now, dead=False)

    def release(self, group: Group, now: float) -> None:
        """Take the engines that were not asked for unchanged."""
        for state in self.engines_in(group, now):
            state.identity_unknown_until = float('-inf')


def group_of(entry: engines.EngineEntry) -> Group:
    """Return the service and the data centre of an engine."""
    return entry.service, entry.data_centre
