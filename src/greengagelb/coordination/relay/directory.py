"""Which engines may be given requests, by what is known of each.

Whatever the list of engines shows, these hold for one life of an engine: one
that was listed as leaving or says that it leaves stays so, one that asks for
rest gets no request until its end, and one that failed here is avoided for a
while.
"""

import collections

from greengagelb.coordination.relay import listed_engines
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import engines

# Suspicion of a failed engine lasts for the base time, doubles with each
# failure in a row, and is capped. Crashed engines are back after one to a few
# seconds; the list drops them after about four.
BASE_SUSPICION_SECONDS = 1.0
MAX_SUSPICION_SECONDS = 8.0
# An engine that seems dead is trusted again after this many renewals of its
# entry: the first renewal may have been sent before it died. A restarted
# engine has another identity or a later start.
RENEWALS_BEFORE_TRUST = 2
# Where no renewals are seen, because another instance reads the list or the
# store is unavailable, the engine is tried again after this time. The entry of
# a silent engine is removed after three renewals, about four seconds.
RETRY_DEAD_SECONDS = 4.5
# This many failed engines make the rest of their data centre suspect.
DATA_CENTRE_FAILURE_COUNT = 2
# How long a failure reported by another instance counts against an engine.
PEER_DOUBT_SECONDS = 1.0
# Silences of streams within this time are taken for one event. Streams notice
# at different times, depending on when their last event arrived.
SILENCE_CORRELATION_SECONDS = 1.0


class EngineDirectory(listed_engines.ListedEngines):
    """All engines known to this instance, and how they have behaved."""

    def note_failure(
        self,
        engine: str,
        now: float,
        *,
        dead: bool,
        started_at_ms: int = engines.UNKNOWN_START,
    ) -> None:
        """Suspect an engine for a while.

        ``dead`` tells that the engine seems to have died, not only to have
        failed one request. Further failures during the suspicion are those of
        requests that were in flight, and do not extend it.
        """
        state = self.find_same_life(engine, started_at_ms)
        if state is None:
            return
        if dead:
            state.alive_from = state.entry.heartbeat + RENEWALS_BEFORE_TRUST
            state.retry_dead_at = now + RETRY_DEAD_SECONDS
        if now < state.suspected_until:
            return
        seconds = BASE_SUSPICION_SECONDS * 2.0**state.failures
        state.suspected_until = now + min(MAX_SUSPICION_SECONDS, seconds)
        state.failures += 1

    def note_call_error(
        self,
        engine: str,
        now: float,
        started_at_ms: int = engines.UNKNOWN_START,
    ) -> None:
        """Count an error answer or a late answer of an engine to a call."""
        state = self.find_same_life(engine, started_at_ms)
        if state is None:
            return
        service_engines = self.by_service[state.entry.service]
        others = [
            name
            for name, other in service_engines.items()
            if name != engine and other.is_usable(now)
        ]
        self.outliers.count_error(engine, others, now)

    def note_success(self, engine: str, now: float) -> None:
        """End the suspicion of an engine that has just answered."""
        self.note_heard(engine, now)
        state = self.states.get(engine)
        if state is None:
            return
        state.failures = 0
        state.alive_from = 0
        state.suspected_until = min(state.suspected_until, now)

    def note_heard(self, engine: str, now: float) -> None:
        """Record that an engine has sent something to this instance."""
        state = self.states.get(engine)
        if state is not None:
            state.heard_at = now

    def note_answered(self, engine: str, asked_at: float) -> None:
        """Record that an engine has answered what was sent at a time.

        When the answer is read does not tell when it was written: this process
        may have been paused, or the answer held up on its way.
        """
        state = self.states.get(engine)
        if state is not None:
            state.alive_at = max(state.alive_at, asked_at)

    def last_alive_at(self, engine: str) -> float:
        """Return the last monotonic time when an engine was surely alive."""
        state = self.states.get(engine)
        return state.alive_at if state is not None else float('-inf')

    def others_heard_at(self, entry: engines.EngineEntry) -> float:
        """Return when another engine of the same service was last heard.

        The result is a monotonic time.
        """
        return max(
            (
                state.heard_at
                for name, state in self.by_service.get(
                    entry.service, {}
                ).items()
                if name != entry.engine
            ),
            default=float('-inf'),
        )

    def has_other_sends(self, entry: engines.EngineEntry) -> bool:
        """Return whether other engines of a service have requests of ours."""
        return any(
            state.in_flight
            for name, state in self.by_service.get(entry.service, {}).items()
            if name != entry.engine
        )

    def note_replaced(
        self, engine: str, started_at_ms: int = engines.UNKNOWN_START
    ) -> None:
        """Note that another engine answers at the address of an engine.

        The entry stays in the list until it lapses. Without the mark every
        request in the meantime would lose attempts on this engine.
        """
        state = self.find_same_life(engine, started_at_ms)
        if state is not None:
            self.mark_replaced(state)

    def note_peer_failure(
        self,
        engine: str,
        now: float,
        started_at_ms: int = engines.UNKNOWN_START,
    ) -> None:
        """Prefer other engines to one that failed another instance.

        The engine stays a candidate, as the links of the other instance may be
        at fault.
        """
        state = self.find_same_life(engine, started_at_ms)
        if state is not None:
            state.doubted_until = now + PEER_DOUBT_SECONDS

    def note_silence(
        self,
        engine: str,
        now: float,
        started_at_ms: int = engines.UNKNOWN_START,
    ) -> bool:
        """Note that a stream fell silent; return whether another did too.

        A single stream may have lost its connection. Several at about the same
        time mean that the engine is unreachable, although no connection was
        reset.
        """
        state = self.find_same_life(engine, started_at_ms)
        if state is None:
            return False
        is_repeated = now < state.silent_at + SILENCE_CORRELATION_SECONDS
        state.silent_at = now
        if is_repeated:
            state.doubted_until = now + PEER_DOUBT_SECONDS
        return is_repeated

    def update_load(
        self, engine: str, load: engines.EngineLoad | None, now: float
    ) -> None:
        """Store the load that an engine reported."""
        state = self.states.get(engine)
        if state is None or load is None:
            return
        state.load = load
        state.load_at = now
        state.in_flight_at_load = state.in_flight

    def admits(self, entry: engines.EngineEntry, now: float) -> bool:
        """Return whether a request may be written to an engine now.

        It may have been chosen before the engine said that it leaves, or asked
        for rest.
        """
        state = self.find_same_life(entry.engine, entry.started_at_ms)
        if state is None:
            return True
        return not (state.is_leaving or state.is_resting(now))

    def usable_engines(
        self, service: str, excluded: set[str], now: float
    ) -> list[engine_states.EngineState]:
        """Return the engines of a service that may get work, now or later."""
        return [
            state
            for name, state in self.by_service.get(service, {}).items()
            if name not in excluded and state.is_usable(now)
        ]

    def resting_engines(self, service: str, now: float) -> set[str]:
        """Return the engines of a service that have asked for rest."""
        return {
            name
            for name, state in self.by_service.get(service, {}).items()
            if state.is_resting(now)
        }

    def candidates(
        self, service: str, excluded: set[str], now: float
    ) -> list[engine_states.EngineState]:
        """Return the trusted engines of a service that may get work now.

        If none of them is trusted, all that may get work are returned: the
        links of this instance may be at fault, and refusing the request for
        lack of engines would help nobody.
        """
        available = [
            state
            for state in self.usable_engines(service, excluded, now)
            if state.accepts_requests(now)
        ]
        trusted = [state for state in available if state.is_trusted(now)]
        return trusted or available

    def failure_risk_by_data_centre(
        self, service: str, now: float
    ) -> dict[str, float]:
        """Return the risk, 0 to 1, that the rest of each data centre fails.

        Engines of one data centre tend to fail together, when it loses power
        or its link. Two recent failures are taken as certainty.
        """
        failed: collections.Counter[str] = collections.Counter()
        for state in self.by_service.get(service, {}).values():
            if not state.is_usable(now):
                continue
            if now < state.doubted_until or not state.is_trusted(now):
                failed[state.entry.data_centre] += 1
        return {
            data_centre: min(1.0, failure_count / DATA_CENTRE_FAILURE_COUNT)
            for data_centre, failure_count in failed.items()
        }
