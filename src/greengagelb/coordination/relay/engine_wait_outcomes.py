"""Continues requests that waited for an engine to end its rest."""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import engine_waits
from greengagelb.coordination.relay import permit_outcomes
from greengagelb.coordination.relay import permit_waits
from greengagelb.coordination.relay import relay_components
from greengagelb.state.relay import exchanges

ENGINE_WAIT_TIMER = 'relay-engine-wait'
# The most and the least time between two checks of the waiting requests.
CHECK_SECONDS = 0.1
MIN_CHECK_SECONDS = 0.001

Action = relay_actions.RelayAction


class EngineWaitHandler:
    """Connects the waiting requests with their continuation and the timer."""

    def __init__(
        self,
        components: relay_components.RelayComponents,
        permits: permit_outcomes.PermitOutcomeHandler,
        open_exchanges: dict[int, exchanges.Exchange],
    ) -> None:
        self.components = components
        self.waits = components.engine_waits
        self.permits = permits
        self.open_exchanges = open_exchanges
        self.timer_set_for = float('inf')

    def set_timer(self, now: float) -> list[Action]:
        """Return the timer of the next check, if requests were added."""
        if not self.waits.schedule_changed:
            return []
        self.waits.schedule_changed = False
        due_at = self.next_check_at(now)
        if due_at == self.timer_set_for:
            return []
        self.timer_set_for = due_at
        return [actions.SetTimer(ENGINE_WAIT_TIMER, due_at)]

    def next_check_at(self, now: float) -> float:
        """Return when a request can go on, or must not wait any longer.

        Engines may also become available for other reasons than the end of a
        rest, so the requests are checked from time to time.
        """
        times = [request.deadline for request in self.waits.waiting.values()]
        for service in self.waits.services():
            times += [
                state.available_at
                for state in self.components.engines.usable_engines(
                    service, set(), now
                )
                if state.available_at > now
            ]
        earliest = max(now + MIN_CHECK_SECONDS, min(times))
        return min(now + CHECK_SECONDS, earliest)

    def continue_waiting(self, now: float) -> list[Action]:
        """Continue the requests that can go on or may wait no longer."""
        self.timer_set_for = float('inf')
        resulting: list[Action] = []
        for request in self.waits.take_expired(now):
            resulting += self.continue_request(request, now)
        for service in self.waits.services():
            resulting += self.continue_service(service, now)
        self.waits.schedule_changed = bool(self.waits.waiting)
        return resulting

    def continue_service(self, service: str, now: float) -> list[Action]:
        """Continue requests for a service while an engine may be sent one."""
        resulting: list[Action] = []
        set_aside: list[engine_waits.WaitingRequest] = []
        for _ in range(self.waits.waiting_for(service)):
            if not self.components.engines.candidates(service, set(), now):
                break
            request = self.waits.take_next(service)
            if self.has_engine(request, now):
                resulting += self.continue_request(request, now)
            else:
                set_aside.append(request)
        for request in set_aside:
            self.waits.add(request)
        return resulting

    def has_engine(
        self, request: engine_waits.WaitingRequest, now: float
    ) -> bool:
        """Return whether an engine may be sent a request that waits."""
        exchange = self.open_exchanges[request.exchange]
        is_stream = isinstance(request.continuation, permit_waits.StreamStart)
        excluded = exchange.refused_by if is_stream else exchange.tried
        return bool(
            self.components.selector.available_engines(
                request.service, excluded, request.account, now
            )
        )

    def continue_request(
        self, request: engine_waits.WaitingRequest, now: float
    ) -> list[Action]:
        """Choose an engine again for a request, if its caller still waits."""
        exchange = self.open_exchanges.get(request.exchange)
        if exchange is None:
            return []
        return self.permits.send_elsewhere(request.continuation, exchange, now)
