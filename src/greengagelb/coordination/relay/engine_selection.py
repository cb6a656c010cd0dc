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
LOAD_REPORT_MAX_AGE_SECONDS = 0.5
# What an engine of another data centre has to be better by, as a part of its
# slots for calls. A link between data centres may be cut at any moment.
REMOTE_CALL_PENALTY = 0.15
# What an engine costs that fails more calls than the others, in the same
# unit: it is used only where all slots of the others are taken.
ERRING_CALL_PENALTY = 1.0
# What an engine costs that has named a limit, in the same unit: it is in need,
# and the others come first as far as they have room. And what each second
# costs for which a permit is waited for.
LIMITED_CALL_PENALTY = 0.25
PERMIT_WAIT_CALL_PENALTY_PER_SECOND = 10.0
# The same for streams, in seconds of waiting for the first event. More would
# crowd the engines nearby, where prompts then wait for one another.
REMOTE_STREAM_PENALTY_SECONDS = 0.03
# What an engine costs a new stream that has named a limit, in seconds beside
# the wait for its permit.
LIMITED_STREAM_PENALTY_SECONDS = 0.1
# What each run on an engine costs a new one there, in seconds: all runs share
# each step, and the new prompt holds up the others.
RUN_PENALTY_SECONDS = 0.05
# Spreads choices that instances make at the same moment by the same figures.
JITTER_SECONDS = 0.02
# The same for a prompt that has to be read again after a loss. The streams of
# a data centre are lost within a millisecond, before instances can hear of
# each other's choices; with the small spread all of them chose the few engines
# with the least work, and their callers waited for each other's prompts. Less
# than half of the time that an engine reads a usual prompt for.
LOSS_JITTER_SECONDS = 0.4
# Copies are put on the emptiest of so many engines that are drawn by chance,
# for the same reason.
COPY_SAMPLE_SIZE = 3
# What an engine without room in its memory costs: the run would wait there
# or push out another one.
FULL_ENGINE_PENALTY_SECONDS = 10.0
# What a data centre costs whose engines fail one after the other, in seconds.
# A link that is cut costs each request that tries it a quarter of a second a
# time, and a prompt given to an engine that dies next costs a second.
FAILING_DATA_CENTRE_PENALTY_SECONDS = 1.5
# What the word of another instance against an engine costs it, in seconds.
DOUBT_PENALTY_SECONDS = 1.0
# Copies of memory take no more than this part of an engine's memory together
# with its runs, counted at their greatest, so that they push out no run. A
# run without a copy costs a prompt read again at the next loss.
MAX_COPIED_MEMORY_SHARE = 0.95


class EngineSelector:
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

    def available_engines(
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

    def available_again_at(
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

    def choose_for_call(
        self, service: str, excluded: set[str], now: float, account: str = ''
    ) -> engine_states.EngineState | None:
        """Return the engine that is likely to answer a short call soonest."""
        found = self.available_engines(service, excluded, account, now)
        if not found:
            return None
        self.rng.shuffle(found)
        return min(found, key=lambda state: self.call_cost(state, now))

    def call_cost(self, state: engine_states.EngineState, now: float) -> float:
        """Return how taken an engine is; lower is better."""
        in_use = state.in_flight + self.load_from_others(state, now)
        cost = in_use / max(1, state.entry.slots)
        if state.entry.data_centre != self.data_centre:
            cost += REMOTE_CALL_PENALTY
        if self.engines.erring.avoided(state.entry.engine, now):
            cost += ERRING_CALL_PENALTY
        life = state.entry.life
        if self.keeper.is_limited(life):
            wait = self.keeper.expected_wait_seconds(life, now)
            cost += (
                LIMITED_CALL_PENALTY
                + PERMIT_WAIT_CALL_PENALTY_PER_SECOND * wait
            )
        return cost

    def load_from_others(
        self, state: engine_states.EngineState, now: float
    ) -> float:
        """Return the work of other instances on an engine, by its word."""
        if state.load is None:
            return 0.0
        age = now - state.load_at
        report_weight = max(0.0, 1.0 - age / LOAD_REPORT_MAX_AGE_SECONDS)
        reported = state.load.running + state.load.waiting
        return report_weight * max(0, reported - state.in_flight_at_load)

    # -- streams ------------------------------------------------------------

    def choose_for_stream(
        self,
        ruling: requests.Ruling,
        prompt: requests.Prompt | None,
        excluded: set[str],
        now: float,
        jitter_seconds: float = JITTER_SECONDS,
    ) -> engine_states.EngineState | None:
        """Return the engine where a prompt is likely to be read soonest.

        Those that differ by less than ``spread`` seconds are as good.
        """
        service = ruling.service
        found = self.available_engines(
            service.name, excluded, ruling.account, now
        )
        if not found:
            return None
        needed_tokens = prompt.most_memory if prompt else 0
        prompt_part = prompt.own_part if prompt else ''
        holder = self.loads.prompts.likely_holder(prompt_part, now)
        failing_by_data_centre = self.engines.failing_places(service.name, now)

        def cost(state: engine_states.EngineState) -> float:
            failing_score = failing_by_data_centre.get(
                state.entry.data_centre, 0.0
            )
            seconds = self.stream_cost_seconds(
                state, service, needed_tokens, now
            )
            seconds += self.rng.uniform(0.0, jitter_seconds)
            if state.entry.engine == holder and prompt is not None:
                seconds -= self.loads.reading_seconds(prompt.tokens)
            return (
                seconds + FAILING_DATA_CENTRE_PENALTY_SECONDS * failing_score
            )

        return min(found, key=cost)

    def stream_cost_seconds(
        self,
        state: engine_states.EngineState,
        service: routes.Service,
        needed_tokens: int,
        now: float,
    ) -> float:
        """Return about how many seconds an engine costs a new stream."""
        work = self.loads.of(state.entry.engine)
        cost = max(0.0, work.reading_until - now)
        cost += RUN_PENALTY_SECONDS * work.runs
        if now < state.doubted_until:
            cost += DOUBT_PENALTY_SECONDS
        if state.entry.data_centre != self.data_centre:
            cost += REMOTE_STREAM_PENALTY_SECONDS
        life = state.entry.life
        if self.keeper.is_limited(life):
            cost += LIMITED_STREAM_PENALTY_SECONDS
            cost += self.keeper.expected_wait_seconds(life, now)
        capacity_tokens = (
            service.engines.memory_tokens if service.engines else 0
        )
        # A configuration need not say how much memory its engines have.
        if capacity_tokens > 0:
            used_tokens = work.memory_tokens + work.copied_tokens
            excess_tokens = used_tokens + needed_tokens - capacity_tokens
            if excess_tokens > 0:
                cost += FULL_ENGINE_PENALTY_SECONDS * (
                    1.0 + excess_tokens / capacity_tokens
                )
        return cost

    def choose_for_copy(
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
        needed_tokens = prompt.most_memory if prompt else 0
        copy_limit_tokens = (
            MAX_COPIED_MEMORY_SHARE * service.engines.memory_tokens
        )
        run_entry = running_on.entry
        eligible = [
            state
            for state in self.engines.candidates(
                service.name, excluded | {run_entry.engine}, now
            )
            if state.trusted(now)
            and now >= state.doubted_until
            and self.held_tokens(state.entry.engine) + needed_tokens
            <= copy_limit_tokens
        ]
        if not eligible:
            return None
        failing_by_data_centre = self.engines.failing_places(service.name, now)
        stable = [
            s
            for s in eligible
            if failing_by_data_centre.get(s.entry.data_centre, 0.0) < 1
        ]
        eligible = stable or eligible
        outside = [
            s for s in eligible if s.entry.data_centre != run_entry.data_centre
        ]
        local = [s for s in outside if s.entry.data_centre == self.data_centre]
        found = local or outside or eligible
        sampled = self.rng.sample(found, min(COPY_SAMPLE_SIZE, len(found)))
        return min(sampled, key=self.copy_cost)

    def held_tokens(self, engine: str) -> int:
        """Return the tokens that runs and copies hold on an engine."""
        work = self.loads.of(engine)
        return work.memory_tokens + work.copied_tokens

    def copy_cost(self, state: engine_states.EngineState) -> float:
        """Return how much an engine holds already; lower is better."""
        return self.held_tokens(state.entry.engine) + self.rng.random()
