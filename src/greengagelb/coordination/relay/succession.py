"""Finds the engines that took the place of those that crashed.

An engine that restarts does so under another identity or with a later start,
which the list tells only while the store is there. Its address tells it too:
it is given to no engine of another service until some seconds after the old
one has ended. So whoever answers there within that time, counted from the
last sign of the old engine, is the same engine restarted.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import directory
from greengagelb.coordination.streams import stalls
from greengagelb.state.relay import engines

SUCCESSOR_TIMER = 'relay-successor'
# When the address is asked first, in seconds after the loss, and how often
# after that. Engines are back after a second or more, and usually the list
# has told of them by then.
FIRST_QUESTION = 1.3
NEXT_QUESTION = 0.25

Action = relay_actions.RelayAction


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """An engine that seems to have crashed.

    ``same_service_until`` is the monotonic time until which its address
    can't have been given to another service.
    """

    entry: engines.EngineEntry
    same_service_until: float


class Succession:
    """Asks at the addresses of lost engines who answers there now.

    ``health_paths`` has the path of the status check of each service.
    """

    def __init__(
        self, known: directory.EngineDirectory, address_reuse: float
    ) -> None:
        self.engines = known
        self.address_reuse = address_reuse
        self.health_paths: dict[str, str] = {}
        self.lost: dict[int, Lost] = {}
        self.count = 0

    def lose(
        self, entry: engines.EngineEntry, heard_at: float, now: float
    ) -> list[Action]:
        """Plan to ask at the address of a lost engine."""
        if self.engines.is_over(entry):
            return []
        if entry in [lost.entry for lost in self.lost.values()]:
            return []
        until = heard_at + self.address_reuse
        if now + FIRST_QUESTION > until:
            return []
        self.count += 1
        self.lost[self.count] = Lost(entry, until)
        return [self.timer(self.count, now + FIRST_QUESTION)]

    def timer(self, number: int, at: float) -> actions.SetTimer:
        """Return the timer of the next question."""
        name = stalls.timer_name(SUCCESSOR_TIMER, number)
        return actions.SetTimer(name, at)

    def ask(self, number: int, now: float) -> list[Action]:
        """Ask who answers at an address, unless that is known by now."""
        lost = self.lost.get(number)
        if lost is None:
            return []
        known = self.engines.at_address(lost.entry.address, now)
        answered = known - {lost.entry.engine}
        if answered or self.engines.is_over(lost.entry):
            del self.lost[number]
            return []
        if now > lost.same_service_until:
            del self.lost[number]
            return []
        return [
            relay_actions.AskSuccessor(
                lost.entry, self.health_paths.get(lost.entry.service, '/')
            ),
            self.timer(number, now + NEXT_QUESTION),
        ]

    def seen(self, old: str, new: str, now: float) -> bool:
        """Take in who answered; return whether it is a successor."""
        for number, lost in list(self.lost.items()):
            if lost.entry.engine != old:
                continue
            if now > lost.same_service_until:
                del self.lost[number]
            elif new not in ('', old):
                del self.lost[number]
                return self.engines.succeed(old, new, now)
        return False
