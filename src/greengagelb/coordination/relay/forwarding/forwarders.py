"""Selects the instances that open connections to engines for this one."""

import dataclasses
import random

from greengagelb.coordination.relay import fleet

# How long an instance that could not be reached or refused to forward is not
# asked again.
UNWILLING_SECONDS = 1.0
# Instances of the own data centre are preferred while at least this share of
# them reaches the engines; the few that are left would be overloaded.
MIN_LOCAL_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class UnreachableServices:
    """The services that an instance has told it can't reach, until when."""

    services: frozenset[str]
    until: float


class ForwarderSelector:
    """Selects among the instances that were heard lately.

    ``unwilling_until`` has instances that did not forward, and
    ``unreachable`` those that have lost their links to services themselves.
    """

    def __init__(
        self,
        fleet_view: fleet.FleetView,
        rng: random.Random,
        data_centre: str,
    ) -> None:
        self.fleet = fleet_view
        self.rng = rng
        self.data_centre = data_centre
        self.unwilling_until: dict[str, float] = {}
        self.unreachable: dict[str, UnreachableServices] = {}

    def note_unwilling(self, incarnation: str, now: float) -> None:
        """Ask an instance for nothing for a while."""
        self.unwilling_until = {
            known: until
            for known, until in self.unwilling_until.items()
            if now < until
        }
        self.unwilling_until[incarnation] = now + UNWILLING_SECONDS

    def note_unreachable(
        self, incarnation: str, services: tuple[str, ...], now: float
    ) -> None:
        """Note which services an instance can't reach itself.

        It repeats this with its heartbeats.
        """
        self.unreachable = {
            known: told
            for known, told in self.unreachable.items()
            if now < told.until and known != incarnation
        }
        if services:
            until = now + self.fleet.silence_limit_seconds
            self.unreachable[incarnation] = UnreachableServices(
                frozenset(services), until
            )

    def reaches(self, incarnation: str, service: str, now: float) -> bool:
        """Return whether an instance has not told that it lost a service."""
        told = self.unreachable.get(incarnation)
        return (
            told is None or now >= told.until or service not in told.services
        )

    def choose(
        self, service: str, excluded: set[str], now: float
    ) -> str | None:
        """Return the incarnation of an instance to ask, or None."""
        reaching = [
            name
            for name in self.fleet.heard_at
            if self.reaches(name, service, now)
        ]
        found = [
            name
            for name in reaching
            if name not in excluded
            and now >= self.unwilling_until.get(name, float('-inf'))
        ]
        if not found:
            return None
        local = [name for name in found if self.is_local(name)]
        all_local = [n for n in self.fleet.heard_at if self.is_local(n)]
        # This instance itself has lost its links.
        if len(local) >= MIN_LOCAL_SHARE * (1 + len(all_local)):
            found = local
        return self.rng.choice(found)

    def is_local(self, incarnation: str) -> bool:
        """Return whether an instance is in the data centre of this one."""
        return self.fleet.data_centres.get(incarnation) == self.data_centre
