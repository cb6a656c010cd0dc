"""Finds the engines that took the place of those that crashed.

An engine that restarts does so under another identity or with a later start,
which the list tells only while the store is there. Its address tells it too:
it is given to no engine of another service until some seconds after the old
one has ended. So whoever answers there within that time, counted from the
last sign of the old engine, is the same engine restarted. After that time it
is one of the same service if it has the memory of a model engine, and only
one service has such engines. Without this, engines that crash while the store
is away would be lost until it is back.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import engines
from greengagelb.state.relay import routes

SUCCESSOR_TIMER = 'relay-successor'
# When the address is asked first, in seconds after the loss, and how often
# after that. Engines are back after a second or more, and usually the list
# has told of them by then.
FIRST_QUESTION = 1.3
NEXT_QUESTION = 0.25
# The same once the address may be another service's: two questions are due
# then, and the first second has shown that the engine takes longer.
NEXT_LATE_QUESTION = 0.5
# So long after a loss an engine is not expected back any more, in seconds.
# Machines restart in one to a few seconds.
MOST_QUESTION_SECONDS = 10.0

Action = relay_actions.RelayAction


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """An engine that seems to have crashed.

    ``same_service_until`` is the monotonic time until which its address
    can't have been given to another service, and ``give_up_at`` that of the
    last question.
    """

    entry: engines.EngineEntry
    same_service_until: float
    give_up_at: float


class Succession:
    """Asks at the addresses of lost engines who answers there now.

    ``health_paths`` has the path of the status check of each service, and
    ``model_services`` names those with model engines.
    """

    def __init__(
        self, known: directory.EngineDirectory, address_reuse: float
    ) -> None:
        self.engines = known
        self.address_reuse = address_reuse
        self.health_paths: dict[str, str] = {}
        self.model_services: list[str] = []
        self.lost: dict[int, Lost] = {}
        self.count = 0

    def configure(self, table: routes.RouteTable) -> None:
        """Take in what the configuration says of the services."""
        services = table.services.values()
        self.health_paths = {s.name: s.health_path for s in services}
        self.model_services = [s.name for s in services if s.engines]

    def lose(
        self, entry: engines.EngineEntry, heard_at: float, now: float
    ) -> list[Action]:
        """Plan to ask at the address of a lost engine."""
        until = heard_at + self.address_reuse
        if now + FIRST_QUESTION > until and not self.is_worth_asking(entry):
            return []
        return self.plan(entry, until, now + FIRST_QUESTION, now)

    def replaced(self, entry: engines.EngineEntry, now: float) -> list[Action]:
        """Ask at once who it is that answers in the place of an engine."""
        if not self.is_worth_asking(entry):
            return []
        return self.plan(entry, float('-inf'), now, now)

    def is_worth_asking(self, entry: engines.EngineEntry) -> bool:
        """Return whether questions help after the address may be reused.

        Not while the list can be had, which tells of new engines by itself.
        """
        return self.engines.lost and self.model_services == [entry.service]

    def plan(
        self, entry: engines.EngineEntry, until: float, at: float, now: float
    ) -> list[Action]:
        """Plan the first question at an address, unless one is planned."""
        if self.engines.is_over(entry):
            return []
        if entry in [lost.entry for lost in self.lost.values()]:
            return []
        self.count += 1
        self.lost[self.count] = Lost(entry, until, now + MOST_QUESTION_SECONDS)
        return [self.timer(self.count, at)]

    def timer(self, number: int, at: float) -> actions.SetTimer:
        """Return the timer of the next question."""
        name = timers.timer_name(SUCCESSOR_TIMER, number)
        return actions.SetTimer(name, at)

    def ask(self, number: int, now: float) -> list[Action]:
        """Ask who answers at an address, unless that is known by now."""
        lost = self.lost.get(number)
        if lost is None:
            return []
        late = now > lost.same_service_until
        if self.is_settled(lost, now) or (
            late and not self.is_worth_asking(lost.entry)
        ):
            del self.lost[number]
            return []
        path = self.health_paths.get(lost.entry.service, '/')
        pause = NEXT_LATE_QUESTION if late else NEXT_QUESTION
        return [
            relay_actions.AskSuccessor(lost.entry, path, late),
            self.timer(number, now + pause),
        ]

    def is_settled(self, lost: Lost, now: float) -> bool:
        """Return whether nothing more is to be learnt at an address."""
        known = self.engines.at_address(lost.entry.address, now)
        answered = known - {lost.entry.engine}
        over = self.engines.is_over(lost.entry)
        return bool(answered) or over or now > lost.give_up_at

    def seen(self, event: relay_events.SuccessorSeen, now: float) -> bool:
        """Take in who answered; return whether it is a successor."""
        for number, lost in list(self.lost.items()):
            if lost.entry.engine != event.old:
                continue
            if event.new in ('', event.old):
                continue
            if now <= lost.same_service_until or (
                event.has_model_memory
                and self.model_services == [lost.entry.service]
            ):
                del self.lost[number]
                return self.engines.succeed(event.old, event.new, now)
        return False
