"""Finds the engines that succeed crashed ones at the same address.

An engine restarts under another identity or with a later start, which the list
shows only while the store is available. Without it, the address identifies a
successor: an address is given to no engine of another service until some
seconds after its last engine has ended. An engine that answers there within
that time, counted from when the old engine was certainly alive, is therefore
the same engine restarted. After that time it belongs to the same service if it
has the memory of a model engine and only one service has such engines. Without
this search, engines that crash during an outage of the store would be lost
until it ends.
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
# Delay of the first probe after a loss, and the interval of the following
# ones. Engines are back after a second or more, and usually the list has shown
# them by then.
FIRST_ASK_DELAY_SECONDS = 1.3
ASK_INTERVAL_SECONDS = 0.25
# The interval once the address may belong to another service: two requests
# are needed each time then, and the first second has shown that the engine
# takes longer.
LATE_ASK_INTERVAL_SECONDS = 0.5
# An engine is not expected back after this time; machines restart in one to a
# few seconds.
MAX_SEARCH_SECONDS = 10.0

Action = relay_actions.RelayAction


@dataclasses.dataclass(frozen=True, slots=True)
class LostEngine:
    """An engine that seems to have crashed.

    ``same_service_until`` is the monotonic time until which its address can
    not have been given to another service, and ``give_up_at`` that of the last
    probe.
    """

    entry: engines.EngineEntry
    same_service_until: float
    give_up_at: float


class SuccessorSearch:
    """Probes the addresses of lost engines to find which engine answers there.

    ``address_reuse_seconds`` is the least time before an address is given to
    another service. ``health_paths`` has the path of the status check of each
    service; ``model_services`` are the services with model engines.
    """

    def __init__(
        self,
        engine_directory: directory.EngineDirectory,
        address_reuse_seconds: float,
    ) -> None:
        self.engines = engine_directory
        self.address_reuse_seconds = address_reuse_seconds
        self.health_paths: dict[str, str] = {}
        self.model_services: list[str] = []
        self.lost_engines: dict[int, LostEngine] = {}
        self.last_number = 0

    def configure(self, table: routes.RouteTable) -> None:
        """Apply the services of a configuration."""
        services = table.services.values()
        self.health_paths = {s.name: s.health_path for s in services}
        self.model_services = [s.name for s in services if s.engines]

    def search_after_loss(
        self, entry: engines.EngineEntry, now: float
    ) -> list[Action]:
        """Schedule questions at the address of a lost engine."""
        alive_at = self.engines.last_alive_at(entry.engine)
        same_service_until = alive_at + self.address_reuse_seconds
        if (
            now + FIRST_ASK_DELAY_SECONDS > same_service_until
            and not self.is_worth_asking(entry)
        ):
            return []
        return self.schedule_search(
            entry, same_service_until, now + FIRST_ASK_DELAY_SECONDS, now
        )

    def search_after_replacement(
        self, entry: engines.EngineEntry, now: float
    ) -> list[Action]:
        """Ask at once which engine answers in another's place."""
        if not self.is_worth_asking(entry):
            return []
        return self.schedule_search(entry, float('-inf'), now, now)

    def is_worth_asking(self, entry: engines.EngineEntry) -> bool:
        """Return whether to ask once the address may have been reused.

        While the list can be read it shows new engines without questions.
        """
        return self.engines.is_store_lost and self.model_services == [
            entry.service
        ]

    def schedule_search(
        self,
        entry: engines.EngineEntry,
        same_service_until: float,
        ask_at: float,
        now: float,
    ) -> list[Action]:
        """Schedule the first question at an address, once per entry."""
        if self.engines.is_former_life(entry):
            return []
        if entry in [lost.entry for lost in self.lost_engines.values()]:
            return []
        self.last_number += 1
        self.lost_engines[self.last_number] = LostEngine(
            entry, same_service_until, now + MAX_SEARCH_SECONDS
        )
        return [self.ask_timer(self.last_number, ask_at)]

    def ask_timer(self, number: int, ask_at: float) -> actions.SetTimer:
        """Return the timer of the next question."""
        name = timers.timer_name(SUCCESSOR_TIMER, number)
        return actions.SetTimer(name, ask_at)

    def ask_address(self, number: int, now: float) -> list[Action]:
        """Ask which engine is at an address, unless it is known by now."""
        lost = self.lost_engines.get(number)
        if lost is None:
            return []
        is_late = now > lost.same_service_until
        if self.is_settled(lost, now) or (
            is_late and not self.is_worth_asking(lost.entry)
        ):
            del self.lost_engines[number]
            return []
        path = self.health_paths.get(lost.entry.service, '/')
        interval = (
            LATE_ASK_INTERVAL_SECONDS if is_late else ASK_INTERVAL_SECONDS
        )
        return [
            relay_actions.ProbeAddress(lost.entry, path, is_late),
            self.ask_timer(number, now + interval),
        ]

    def is_settled(self, lost: LostEngine, now: float) -> bool:
        """Return whether the search at an address is over."""
        engines_there = self.engines.engines_at_address(
            lost.entry.address, now
        )
        other_engines = engines_there - {lost.entry.engine}
        is_former = self.engines.is_former_life(lost.entry)
        return bool(other_engines) or is_former or now > lost.give_up_at

    def accept_answer(
        self, event: relay_events.AddressProbed, now: float
    ) -> bool:
        """Apply an answer; return whether it is from a new successor."""
        for number, lost in list(self.lost_engines.items()):
            if lost.entry.engine != event.old:
                continue
            if event.new in ('', event.old):
                continue
            if now <= lost.same_service_until or (
                event.has_model_memory
                and self.model_services == [lost.entry.service]
            ):
                del self.lost_engines[number]
                return self.engines.add_successor(event.old, event.new, now)
        return False
