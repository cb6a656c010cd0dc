"""Selects engines for calls, streams, and copies of stream memory."""

import random

from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import loads
from greengagelb.coordination.sharing import limit_keeper
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes

# The weight of an engine's load report falls to zero over this time, as the
# reported short calls are over by then.
LOAD_REPORT_MAX_AGE_SECONDS = 0.5
# The cost of an engine in another data centre, as a share of its call slots: a
# link between data centres may be cut at any moment.
REMOTE_CALL_PENALTY = 0.15
# The cost of an engine that fails more calls than others, in the same unit: it
# is used only while all slots of the others are in use.
OUTLIER_CALL_PENALTY = 1.0
# The cost of an engine that has asked another instance for rest: it is likely
# to turn away requests of this one as well.
PEER_REST_CALL_PENALTY = 1.0
PEER_REST_STREAM_PENALTY_SECONDS = 1.0
# The cost of an engine that has set a rate limit, in the same unit: it is
# short of capacity, so others with free slots come first. Each second of
# waiting for a permit adds to the cost.
LIMITED_CALL_PENALTY = 0.25
PERMIT_WAIT_CALL_PENALTY_PER_SECOND = 10.0
# The cost of an engine in another data centre for streams, in seconds until
# the first event. With a higher one, prompts would queue at local engines
# while remote ones are idle.
REMOTE_STREAM_PENALTY_SECONDS = 0.03
# The cost of an engine with a rate limit for a new stream, in addition to the
# wait for a permit.
LIMITED_STREAM_PENALTY_SECONDS = 0.1
# The cost of each run on an engine for a new one: all runs share each step,
# and reading the new prompt delays the others.
RUN_PENALTY_SECONDS = 0.05
# Random cost that spreads the choices that instances make at the same time
# from the same figures.
JITTER_SECONDS = 0.02
# The same for a prompt that has to be read again after a loss. A data
# centre's streams are lost within a millisecond, before instances hear of
# each other's choices. With the small jitter all of them chose the few least
# loaded engines, and their callers waited for each other's prompts. The larger
# jitter is less than half of the time in which an engine reads a usual prompt.
LOSS_JITTER_SECONDS = 0.4
# A copy is put on the emptiest of this many randomly sampled engines, so that
# instances do not all choose the same one.
COPY_SAMPLE_SIZE = 3
# The cost of an engine without free memory: the run would wait there or evict
# another one.
FULL_ENGINE_PENALTY_SECONDS = 10.0
# The cost of a data centre whose engines fail one after another. Each attempt
# over a cut link takes a quarter of a second, and a prompt sent to an engine
# that fails next takes a second.
FAILING_DATA_CENTRE_PENALTY_SECONDS = 1.5
# The cost of an engine that another instance has reported as failing.
DOUBT_PENALTY_SECONDS = 1.0
# Runs, at their maximum size, and copies together use at most this share of an
# engine's memory, so that copies evict no run. After a loss, a run without a
# copy has its prompt read again.
MAX_MEMORY_SHARE_WITH_COPIES = 0.95


class EngineSelector:
    """Selects engines by the directory, the run loads and the limits."""

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

    def available_engines(
        self, service: str, excluded: set[str], account: str, now: float
    ) -> list[engine_states.EngineState]:
        """Return the engines that may accept an account's request now."""
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
        """Return when engines at their limits accept requests again.

        The result is a monotonic time, or None if there are no such engines.
        Engines that rest until later count from the end of their rest.
        """
        found = []
        for state in self.engines.usable_engines(service, excluded, now):
            at = self.keeper.next_permit_at(state.entry.life, account, now)
            if at is not None:
                found.append(max(at, state.available_at))
        return min(found, default=None)

    def next_rested_engine(
        self, service: str, excluded: set[str], now: float, account: str
    ) -> engine_states.EngineState | None:
        """Return the engine whose rest ends first, if that is all it lacks."""
        found = [
            state
            for state in self.engines.usable_engines(service, excluded, now)
            if now < state.available_at
            and self.keeper.next_permit_at(state.entry.life, account, now)
            is None
        ]
        return min(found, key=lambda state: state.available_at, default=None)

    def identities_known_by(
        self, service: str, excluded: set[str], now: float
    ) -> float:
        """Return until when an engine is asked for its identity, or ``now``.

        Such an engine may get requests by then.
        """
        ends = [
            state.identity_unknown_until
            for state in self.engines.usable_engines(service, excluded, now)
        ]
        return max([now, *ends])

    def rested_at(self, service: str, now: float) -> float:
        """Return when the first engine of a service has ended its rest.

        It may have asked this instance for it, or another one. The result is
        ``now`` if an engine rests for neither, or if there is none.
        """
        ends = [
            max(state.available_at, state.peer_rest_until)
            for state in self.engines.usable_engines(service, set(), now)
        ]
        return max(now, min(ends, default=now))

    def choose_for_call(
        self, service: str, excluded: set[str], now: float, account: str = ''
    ) -> engine_states.EngineState | None:
        """Return the engine likely to answer a short call first, or None."""
        found = self.available_engines(service, excluded, account, now)
        if not found:
            return None
        self.rng.shuffle(found)
        return min(found, key=lambda state: self.call_cost(state, now))

    def call_cost(self, state: engine_states.EngineState, now: float) -> float:
        """Return the share of an engine's slots in use, plus penalties."""
        in_use = state.in_flight + self.load_from_others(state, now)
        cost = in_use / max(1, state.entry.slots)
        if state.entry.data_centre != self.data_centre:
            cost += REMOTE_CALL_PENALTY
        if self.engines.outliers.is_outlier(state.entry.engine, now):
            cost += OUTLIER_CALL_PENALTY
        if now < state.peer_rest_until:
            cost += PEER_REST_CALL_PENALTY
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
        """Return the load from other instances that an engine reported."""
        if state.load is None:
            return 0.0
        age = now - state.load_at
        report_weight = max(0.0, 1.0 - age / LOAD_REPORT_MAX_AGE_SECONDS)
        reported = state.load.running + state.load.waiting
        return report_weight * max(0, reported - state.in_flight_at_load)

    def choose_for_stream(
        self,
        ruling: requests.Ruling,
        prompt: requests.Prompt | None,
        excluded: set[str],
        now: float,
        jitter_seconds: float = JITTER_SECONDS,
    ) -> engine_states.EngineState | None:
        """Return the engine likely to read a prompt first, or None.

        Engines whose costs differ by less than ``jitter_seconds`` may be
        chosen in any order.
        """
        service = ruling.service
        found = self.available_engines(
            service.name, excluded, ruling.account, now
        )
        if not found:
            return None
        needed_tokens = prompt.max_memory_tokens if prompt else 0
        prompt_part = prompt.own_part if prompt else ''
        holder = self.loads.prompts.likely_holder(prompt_part, now)
        failure_risks = self.engines.failure_risk_by_data_centre(
            service.name, now
        )

        def cost(state: engine_states.EngineState) -> float:
            failure_risk = failure_risks.get(state.entry.data_centre, 0.0)
            seconds = self.stream_cost_seconds(
                state, service, needed_tokens, now
            )
            seconds += self.rng.uniform(0.0, jitter_seconds)
            if state.entry.engine == holder and prompt is not None:
                seconds -= self.loads.reading_seconds(prompt.tokens)
            return seconds + FAILING_DATA_CENTRE_PENALTY_SECONDS * failure_risk

        return min(found, key=cost)

    def stream_cost_seconds(
        self,
        state: engine_states.EngineState,
        service: routes.Service,
        needed_tokens: int,
        now: float,
    ) -> float:
        """Return the estimated delay of a new stream, plus penalties."""
        work = self.loads.work_on(state.entry.engine)
        cost = max(0.0, work.reading_until - now)
        cost += RUN_PENALTY_SECONDS * work.runs
        if now < state.doubted_until:
            cost += DOUBT_PENALTY_SECONDS
        if now < state.peer_rest_until:
            cost += PEER_REST_STREAM_PENALTY_SECONDS
        if state.entry.data_centre != self.data_centre:
            cost += REMOTE_STREAM_PENALTY_SECONDS
        life = state.entry.life
        if self.keeper.is_limited(life):
            cost += LIMITED_STREAM_PENALTY_SECONDS
            cost += self.keeper.expected_wait_seconds(life, now)
        capacity_tokens = (
            service.engines.memory_tokens if service.engines else 0
        )
        # The configuration may omit the memory size of its engines.
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

        Engines of one data centre often fail together, and links between data
        centres are cut. So, if possible, either the run or its copy is in this
        data centre and the other one is outside. Engines of a data centre that
        is failing come last: their entries stay listed for seconds after they
        have failed.
        """
        if service.engines is None or not service.engines.copies:
            return None
        needed_tokens = prompt.max_memory_tokens if prompt else 0
        copy_limit_tokens = (
            MAX_MEMORY_SHARE_WITH_COPIES * service.engines.memory_tokens
        )
        run_entry = running_on.entry
        eligible = [
            state
            for state in self.engines.candidates(
                service.name, excluded | {run_entry.engine}, now
            )
            if state.is_trusted(now)
            and now >= state.doubted_until
            and self.held_tokens(state.entry.engine) + needed_tokens
            <= copy_limit_tokens
        ]
        if not eligible:
            return None
        failure_risks = self.engines.failure_risk_by_data_centre(
            service.name, now
        )
        stable = [
            s
            for s in eligible
            if failure_risks.get(s.entry.data_centre, 0.0) < 1
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
        """Return the memory in use by runs and copies, in tokens."""
        work = self.loads.work_on(engine)
        return work.memory_tokens + work.copied_tokens

    def copy_cost(self, state: engine_states.EngineState) -> float:
        """Return the tokens in use on an engine, ties broken at random."""
        return self.held_tokens(state.entry.engine) + self.rng.random()
