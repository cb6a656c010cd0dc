"""Selects the instances that open connections to engines for this one."""

import dataclasses
import random

from greengagelb.coordination.relay import fleet

# How long an instance that could not be reached or refused to forward is not
# asked again.
UNWILLING_SECONDS = 1.0
# How long an instance comes last that did not reach an engine, although the
# engine may be at fault, and first once it was seen to reach engines.
DOUBTFUL_SECONDS = 3.0
PROVEN_SECONDS = 3.0
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

    ``unwilling_until`` has instances that did not forward,
    ``doubtful_until`` those that did not reach an engine, ``proven_until``
    those that have opened connections for this or another one, and
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
        self.doubtful_until: dict[str, float] = {}
        self.proven_until: dict[str, float] = {}
        self.unreachable: dict[str, UnreachableServices] = {}

    def note_unwilling(self, incarnation: str, now: float) -> None:
        """Ask an instance for nothing for a while."""
        self.proven_until.pop(incarnation, None)
        set_until(
            self.unwilling_until, incarnation, now, now + UNWILLING_SECONDS
        )

    def note_doubtful(self, incarnation: str, now: float) -> None:
        """Ask an instance last for a while."""
        self.proven_until.pop(incarnation, None)
        set_until(
            self.doubtful_until, incarnation, now, now + DOUBTFUL_SECONDS
        )

    def note_proven(self, incarnation: str, now: float) -> None:
        """Note that an instance reaches engines."""
        self.doubtful_until.pop(incarnation, None)
        self.unwilling_until.pop(incarnation, None)
        set_until(self.proven_until, incarnation, now, now + PROVEN_SECONDS)

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
        """Return the incarnation of an instance to ask, or None.

        After a first one, of those that did not connect, proven ones are
        preferred. The first one is not, as all instances would ask the same.
        """
        found = [
            name
            for name in self.fleet.heard_at
            if name not in excluded
            and not is_before(self.unwilling_until, name, now)
            and self.reaches(name, service, now)
        ]
        if not found:
            return None
        proven = [n for n in found if is_before(self.proven_until, n, now)]
        if excluded and proven:
            return self.rng.choice(proven)
        found = [
            name
            for name in found
            if not is_before(self.doubtful_until, name, now)
        ] or found
        local = [name for name in found if self.is_local(name)]
        all_local = [n for n in self.fleet.heard_at if self.is_local(n)]
        # This instance itself has lost its links.
        if len(local) >= MIN_LOCAL_SHARE * (1 + len(all_local)):
            found = local
        return self.rng.choice(found)

    def is_local(self, incarnation: str) -> bool:
        """Return whether an instance is in the data centre of this one."""
        return self.fleet.data_centres.get(incarnation) == self.data_centre


def is_before(times: dict[str, float], name: str, now: float) -> bool:
    """Return whether the time that is kept for an instance is to come."""
    return now < times.get(name, float('-inf'))


def set_until(
    times: dict[str, float], name: str, now: float, until: float
) -> None:
    """Keep a time for an instance; drop those that have passed."""
    for known in [known for known, at in times.items() if at <= now]:
        del times[known]
    times[name] = until
