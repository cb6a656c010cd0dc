"""Chooses engines for calls, for streams, and for copies of their memory."""

import random

from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import loads
from greengagelb.coordination.sharing import limit_keeper
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes

# An engine's own word on its load counts for less the older it is, and for
# nothing after this many seconds: short calls are over by then.
LOAD_TRUST_SECONDS = 0.5
# What an engine of another data centre has to be better by, as a part of its
# slots for calls. A link between data centres may be cut at any moment.
FAR_CALL_PENALTY = 0.15
# What an engine costs that fails more calls than the others, in the same
# unit: it is used only where all slots of the others are taken.
ERRING_CALL_PENALTY = 1.0
# What an engine costs that has named a limit, in the same unit: it is in need,
# and the others come first as far as they have room. And what each second
# costs for which a permit is waited for.
LIMITED_CALL_PENALTY = 0.25
PERMIT_CALL_PENALTY = 10.0
# The same for streams, in seconds of waiting for the first event. More would
# crowd the engines nearby, where prompts then wait for one another.
FAR_STREAM_SECONDS = 0.03
# What an engine costs a new stream that has named a limit, in seconds beside
# the wait for its permit.
LIMITED_STREAM_SECONDS = 0.1
# What each run on an engine costs a new one there, in seconds: all runs share
# each step, and the new prompt holds up the others.
RUN_SECONDS = 0.05
# Spreads choices that instances make at the same moment by the same figures.
JITTER_SECONDS = 0.02
# The same for a prompt that has to be read again after a loss. The streams of
# a data centre are lost within a millisecond, before instances can hear of
# each other's choices; with the small spread all of them chose the few engines
# with the least work, and their callers waited for each other's prompts. Less
# than half of the time that an engine reads a usual prompt for.
LOSS_SPREAD_SECONDS = 0.4
# Copies are put on the emptiest of so many engines that are drawn by chance,
# for the same reason.
COPY_CHOICES = 3
# What an engine without room in its memory costs: the run would wait there
# or push out another one.
FULL_SECONDS = 10.0
# What a data centre costs whose engines fail one after the other, in seconds.
# A link that is cut costs each request that tries it a quarter of a second a
# time, and a prompt given to an engine that dies next costs a second.
FAILING_PLACE_SECONDS = 1.5
# What the word of another instance against an engine costs it, in seconds.
DOUBT_PENALTY_SECONDS = 1.0
# Copies of memory take no more than this part of an engine's memory together
# with its runs, counted at their greatest, so that they push out no run. A
# run without a copy costs a prompt read again at the next loss.
MOST_COPIED = 0.95


class Chooser:
    """Chooses by what the directory and the loads tell."""

    def __init__(
        self,
        engines: directory.EngineDirectory,
        run_loads: loads.RunLoads,
        keeper: limit_keeper.LimitKeeper,
        rng: random.Random,
        data_centre: str,
    ) -> None:
        self.engines = engines
        self.loads = run_loads
        self.keeper = keeper
        self.rng = rng
        self.data_centre = data_centre

    # -- limits -------------------------------------------------------------

    def open(
        self, service: str, excluded: set[str], account: str, now: float
    ) -> list[engine_states.EngineState]:
        """Return the engines that may take a request of an account now."""
        found = self.engines.candidates(service, excluded, now)
        if not self.keeper.table.known_limits:
            return found
        return [
            state
            for state in found
            if self.keeper.next_permit_at(state.entry.life, account, now)
            is None
        ]

    def back_at(
        self, service: str, excluded: set[str], now: float, account: str
    ) -> float | None:
        """Return when engines that have reached their limits take more.

        None if there are no such engines.
        """
        found = [
            self.keeper.next_permit_at(state.entry.life, account, now)
            for state in self.engines.candidates(service, excluded, now)
        ]
        return min((at for at in found if at is not None), default=None)

    # -- calls --------------------------------------------------------------

    def for_call(
        self, service: str, excluded: set[str], now: float, account: str = ''
    ) -> engine_states.EngineState | None:
        """Return the engine that is likely to answer a short call soonest."""
        found = self.open(service, excluded, account, now)
        if not found:
            return None
        self.rng.shuffle(found)
        return min(found, key=lambda state: self.call_score(state, now))

    def call_score(
        self, state: engine_states.EngineState, now: float
    ) -> float:
        """Return how taken an engine is; lower is better."""
        taken = state.in_flight + self.others_at(state, now)
        score = taken / max(1, state.entry.slots)
        if state.entry.data_centre != self.data_centre:
            score += FAR_CALL_PENALTY
        if self.engines.erring.avoided(state.entry.engine, now):
            score += ERRING_CALL_PENALTY
        life = state.entry.life
        if self.keeper.is_limited(life):
            wait = self.keeper.expected_wait_seconds(life, now)
            score += LIMITED_CALL_PENALTY + PERMIT_CALL_PENALTY * wait
        return score

    def others_at(self, state: engine_states.EngineState, now: float) -> float:
        """Return the work of other instances on an engine, by its word."""
        if state.load is None:
            return 0.0
        age = now - state.load_at
        trust = max(0.0, 1.0 - age / LOAD_TRUST_SECONDS)
        told = state.load.running + state.load.waiting
        return trust * max(0, told - state.in_flight_at_load)

    # -- streams ------------------------------------------------------------

    def for_stream(
        self,
        ruling: requests.Ruling,
        prompt: requests.Prompt | None,
        excluded: set[str],
        now: float,
        spread: float = JITTER_SECONDS,
    ) -> engine_states.EngineState | None:
        """Return the engine where a prompt is likely to be read soonest.

        Those that differ by less than ``spread`` seconds are as good.
        """
        service = ruling.service
        found = self.open(service.name, excluded, ruling.account, now)
        if not found:
            return None
        need = prompt.most_memory if prompt else 0
        part = prompt.own_part if prompt else ''
        holder = self.loads.prompts.holder(part, now)
        failing = self.engines.failing_places(service.name, now)

        def score(state: engine_states.EngineState) -> float:
            place = failing.get(state.entry.data_centre, 0.0)
            seconds = self.stream_score(state, service, need, now)
            seconds += self.rng.uniform(0.0, spread)
            if state.entry.engine == holder and prompt is not None:
                seconds -= self.loads.reading_seconds(prompt.tokens)
            return seconds + FAILING_PLACE_SECONDS * place

        return min(found, key=score)

    def stream_score(
        self,
        state: engine_states.EngineState,
        service: routes.Service,
        need: int,
        now: float,
    ) -> float:
        """Return about how many seconds an engine costs a new stream."""
        work = self.loads.of(state.entry.engine)
        score = max(0.0, work.reading_until - now)
        score += RUN_SECONDS * work.runs
        if now < state.doubted_until:
            score += DOUBT_PENALTY_SECONDS
        if state.entry.data_centre != self.data_centre:
            score += FAR_STREAM_SECONDS
        life = state.entry.life
        if self.keeper.is_limited(life):
            score += LIMITED_STREAM_SECONDS
            score += self.keeper.expected_wait_seconds(life, now)
        room = service.engines.memory_tokens if service.engines else 0
        # A configuration need not say how much memory its engines have.
        if room > 0:
            held = work.memory_tokens + work.copied_tokens
            over = held + need - room
            if over > 0:
                score += FULL_SECONDS * (1.0 + over / room)
        return score

    def for_copy(
        self,
        service: routes.Service,
        prompt: requests.Prompt | None,
        running_on: engine_states.EngineState,
        excluded: set[str],
        now: float,
    ) -> engine_states.EngineState | None:
        """Return the engine that should hold a copy of a run's memory.

        What kills an engine often kills its neighbours too, and links
        between data centres are cut. So one of the two stands in this data
        centre and the other one outside, where that can be had. Engines of a
        data centre that is just failing come last: their entries outlive
        them by seconds.
        """
        if service.engines is None or not service.engines.copies:
            return None
        need = prompt.most_memory if prompt else 0
        capacity = MOST_COPIED * service.engines.memory_tokens
        own = running_on.entry
        able = [
            state
            for state in self.engines.candidates(
                service.name, excluded | {own.engine}, now
            )
            if state.trusted(now)
            and now >= state.doubted_until
            and self.held(state.entry.engine) + need <= capacity
        ]
        if not able:
            return None
        failing = self.engines.failing_places(service.name, now)
        calm = [s for s in able if failing.get(s.entry.data_centre, 0.0) < 1]
        able = calm or able
        apart = [s for s in able if s.entry.data_centre != own.data_centre]
        near = [s for s in apart if s.entry.data_centre == self.data_centre]
        found = near or apart or able
        drawn = self.rng.sample(found, min(COPY_CHOICES, len(found)))
        return min(drawn, key=self.copy_score)

    def held(self, engine: str) -> int:
        """Return the tokens that runs and copies hold on an engine."""
        work = self.loads.of(engine)
        return work.memory_tokens + work.copied_tokens

    def copy_score(self, state: engine_states.EngineState) -> float:
        """Return how much an engine holds already; lower is better."""
        return self.held(state.entry.engine) + self.rng.random()
