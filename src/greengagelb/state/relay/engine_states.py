"""What an instance knows about an engine beyond the list of engines."""

import dataclasses

from greengagelb.state import statements
from greengagelb.state.relay import engines

# After a rest, an engine gets as many requests as it has slots within this
# time, evenly spread; whoever waited would otherwise overload it again.
AFTER_REST_SECONDS = 0.25


@dataclasses.dataclass(slots=True)
class EngineState:
    """What this instance knows about one life of an engine.

    Times are monotonic seconds. ``learned_at`` is when this instance learned
    of the engine. ``is_service_assumed`` tells that its service is only that
    of the engine before it at its address. ``listed`` tells whether it is on
    the list, and ``gone_at`` is the time from which it counts as removed.
    ``in_flight`` is the number of this instance's sends in progress.
    ``replaced`` is set when another engine answers at its address. After an
    apparent death, a heartbeat of at least ``alive_from`` proves that it is
    alive, and from ``retry_dead_at`` it is tried without that proof. Until
    ``doubted_until`` it is suspected on a report of another instance.
    ``silent_at`` is when a stream last stalled there. Requests sent until
    ``former_until`` certainly went to its previous life. ``heard_at`` is when
    something of it was last read, and ``alive_at`` when something was last
    sent that it has answered.

    ``leaving`` is what the list shows; ``leaving_source`` is where the engine
    itself was heard to say so. Until ``rest_until`` the engine has asked this
    instance for no requests, as ``rest_source`` says; ``next_send_at`` is when
    it gets the next one shortly after that. Until ``peer_rest_until`` it has
    asked another instance for none, so that others are preferred. Its unusable
    statements are recorded again from ``next_unusable_record_at``. Shortly
    after a rest, requests are spread by the number of instances that share it,
    ``resting_instances``.

    Until ``identity_unknown_until`` another engine may be at its address, as
    one is at that of a neighbour; it is being asked, and gets no requests.

    Answers don't tell which life gave them. Until ``unconfirmed_until`` what
    the engine has stated may be the next life's; it is asked for its start
    ``start_questions`` more times.
    """

    entry: engines.EngineEntry
    learned_at: float
    is_service_assumed: bool = False
    leaving: bool = False
    listed: bool = False
    gone_at: float | None = None
    suspected_until: float = float('-inf')
    failures: int = 0
    replaced: bool = False
    alive_from: int = 0
    retry_dead_at: float = float('-inf')
    doubted_until: float = float('-inf')
    silent_at: float = float('-inf')
    in_flight: int = 0
    load: engines.EngineLoad | None = None
    load_at: float = float('-inf')
    in_flight_at_load: int = 0
    heard_at: float = float('-inf')
    alive_at: float = float('-inf')
    former_until: float = float('-inf')
    leaving_source: statements.Source | None = None
    rest_until: float = float('-inf')
    rest_source: statements.Source | None = None
    next_send_at: float = float('-inf')
    peer_rest_until: float = float('-inf')
    next_unusable_record_at: float = float('-inf')
    resting_instances: int = 1
    identity_unknown_until: float = float('-inf')
    unconfirmed_until: float = float('-inf')
    start_questions: int = 0

    def next_life(
        self, entry: engines.EngineEntry, now: float
    ) -> 'EngineState':
        """Return what holds for the next life of the engine as it begins.

        Sends stay counted until each of them has ended. What was stated holds
        if this life may not have been the one that stated it.
        """
        state = EngineState(entry, now, in_flight=self.in_flight)
        if now >= self.unconfirmed_until:
            return state
        return dataclasses.replace(
            state,
            leaving_source=self.leaving_source,
            rest_until=self.rest_until,
            rest_source=self.rest_source,
            next_send_at=self.next_send_at,
            resting_instances=self.resting_instances,
            unconfirmed_until=self.unconfirmed_until,
            start_questions=self.start_questions,
        )

    def forget_statements(self) -> None:
        """Forget what the life before has stated."""
        self.leaving_source = None
        self.rest_until = float('-inf')
        self.rest_source = None
        self.next_send_at = float('-inf')

    @property
    def is_leaving(self) -> bool:
        """Return whether this life is about to end; it stays so."""
        return self.leaving or self.leaving_source is not None

    @property
    def available_at(self) -> float:
        """Return from when on it may be sent a request, as to its rest."""
        return max(self.rest_until, self.next_send_at)

    def accepts_requests(self, now: float) -> bool:
        """Return whether it may be sent one, as to its rest and identity."""
        return now >= max(self.available_at, self.identity_unknown_until)

    @property
    def seconds_between_sends_after_rest(self) -> float:
        """Return the seconds between two sends shortly after a rest."""
        seconds = AFTER_REST_SECONDS / max(1, self.entry.slots)
        return seconds * self.resting_instances

    def is_resting(self, now: float) -> bool:
        """Return whether it has asked for no requests until later."""
        return now < self.rest_until

    def note_send(self, now: float) -> None:
        """Note that it is sent a request."""
        if now < self.rest_until + AFTER_REST_SECONDS:
            self.next_send_at = now + self.seconds_between_sends_after_rest

    def is_usable(self, now: float) -> bool:
        """Return whether the engine may get new work."""
        if self.leaving or self.replaced or self.leaving_source is not None:
            return False
        return self.gone_at is None or now < self.gone_at

    def is_trusted(self, now: float) -> bool:
        """Return whether it is usable and neither suspected nor dead."""
        if not self.is_usable(now) or now < self.suspected_until:
            return False
        is_alive = self.entry.heartbeat >= self.alive_from
        return is_alive or now >= self.retry_dead_at

    def is_reachable(self, now: float) -> bool:
        """Return whether it may still hold its runs from before a failure."""
        is_alive = self.entry.heartbeat >= self.alive_from
        return self.is_usable(now) and (is_alive or now >= self.retry_dead_at)
