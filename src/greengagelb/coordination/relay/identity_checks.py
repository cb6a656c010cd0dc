"""Finds the engines that have ended together with another one.

What ends many engines of a data centre at once, such as a loss of power, also
brings them back at once, under other identities at the same addresses. The
first that turns a request away as misdirected shows this before the list of
engines does. The others are asked who they are before they get a request: each
refusal would cost a retry, and a data centre may have a hundred engines.

A few are asked at first. Each one that has ended as well has further ones
asked. Once all answers are in, those that were not asked count as unchanged.
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
# How many engines are asked at first, and for each one that has ended.
FIRST_QUESTIONS = 4
FURTHER_QUESTIONS = 2

Action = relay_actions.RelayAction
# A service and a data centre.
Place = tuple[str, str]


class IdentityChecks:
    """The engines that are asked who they are, each with its place."""

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
        self.asked: dict[str, Place] = {}

    def check_neighbours(
        self, replaced: engines.EngineEntry, now: float
    ) -> list[Action]:
        """Check the engines that may have ended together with another one."""
        place = place_of(replaced)
        if place in self.asked.values():
            return self.ask(place, FURTHER_QUESTIONS, now)
        for state in self.engines_in(place, now):
            if now >= state.heard_at + HEARD_SECONDS:
                state.identity_unknown_until = now + HOLD_SECONDS
        return self.ask(place, FIRST_QUESTIONS, now)

    def engines_in(
        self, place: Place, now: float
    ) -> list[engine_states.EngineState]:
        """Return the usable engines of a service in a data centre."""
        service = place[0]
        return [
            state
            for state in self.engines.by_service.get(service, {}).values()
            if place_of(state.entry) == place and state.is_usable(now)
        ]

    def ask(self, place: Place, count: int, now: float) -> list[Action]:
        """Ask some more of the engines whose identity is unknown."""
        unknown = [
            state.entry
            for state in self.engines_in(place, now)
            if now < state.identity_unknown_until
            and state.entry.engine not in self.asked
        ]
        chosen = self.rng.sample(unknown, min(count, len(unknown)))
        self.asked.update({entry.engine: place for entry in chosen})
        path = self.succession.health_paths.get(place[0], '/')
        return [relay_actions.ProbeAddress(entry, path) for entry in chosen]

    def accept_answer(
        self, event: relay_events.AddressProbed, now: float
    ) -> list[Action]:
        """Apply an answer, and ask further engines if it shows an end.

        An engine that gives no answer is held until its time is over.
        """
        place = self.asked.pop(event.old, None)
        state = self.engines.states.get(event.old)
        if place is None or state is None:
            return []
        questions: list[Action] = []
        if event.new == event.old:
            state.identity_unknown_until = float('-inf')
            self.engines.note_heard(event.old, now)
        else:
            questions = self.ask(place, FURTHER_QUESTIONS, now)
        if event.is_replaced:
            self.send_manager.announce_replaced(state.entry)
        if place not in self.asked.values():
            self.release(place, now)
        return questions

    def release(self, place: Place, now: float) -> None:
        """Take the engines that were not asked for unchanged."""
        for state in self.engines_in(place, now):
            state.identity_unknown_until = float('-inf')


def place_of(entry: engines.EngineEntry) -> Place:
    """Return the service and the data centre of an engine."""
    return entry.service, entry.data_centre
