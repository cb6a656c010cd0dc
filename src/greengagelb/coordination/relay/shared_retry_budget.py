"""The retry budget that all instances share.

A retry is any send of a request after its first, except in place of a send
that was never connected. Each one adds load to a service that may be failing
from overload. The operators bound the retries of all instances together over
any window of some seconds.

Each instance spends only what is its own, so that the bound holds whatever
the instances know of each other:

- Each request earns a part of a retry at the instance that received it.
- Each instance has its share of the fixed allowance.
- An instance may lend what it has left to another one. The lender counts it as
  spent, so that no loan adds to the sum.
"""

import collections
import dataclasses
import itertools
import math

from greengagelb.state.relay import bounds

# The share of the fixed allowance that is allocated. The rest is for instances
# that have just started and are not known to the others yet.
ALLOCATED_SHARE = 0.8
# A retry may be counted this much later than it was sent. Engines count it
# when it arrives: those that make a pause, or whose connection does, read all
# that was sent meanwhile at once.
HELD_UP_SECONDS = 4.0
# The share of the ratio that a request earns. The retries of one window were
# earned in it and in the window before it; the bound counts the requests of
# only one of the two.
EARNED_SHARE = 0.5
# The assumed fleet size until it is known: an instance takes as little of the
# fixed allowance as in a large fleet.
ASSUMED_INSTANCES = 100
# How long a loan may be used, counted from when it was asked for. It is not
# given back, so a longer time would only keep the lender from using it.
LOAN_SECONDS = 0.5
# Parts that expire within such a time of each other are kept as one.
PART_SECONDS = 0.05
# Parts of a retry are summed in floating point.
ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class Part:
    """An earned or lent part of a retry.

    It may be spent before ``usable_until``, a monotonic time.
    """

    usable_until: float
    retries: float


@dataclasses.dataclass(frozen=True, slots=True)
class Spent:
    """One retry, or a loan to another instance, and where it came from.

    ``number`` is its own at this instance. ``at`` is the latest monotonic time
    at which it may be sent, ``slack`` what was taken of the fixed allowance.
    """

    number: int
    at: float
    parts: tuple[Part, ...]
    slack: float


class ServiceRetries:
    """The retries that one instance has for one service.

    Invariants: ``parts`` are in the order in which they expire; ``spent`` has
    all that still counts against the fixed allowance. A loan in it is dropped
    no earlier, and what follows it up to ``LOAN_SECONDS`` later.
    """

    def __init__(self) -> None:
        self.parts: collections.deque[Part] = collections.deque()
        self.spent: collections.deque[Spent] = collections.deque()

    def drop_expired(self, now: float, spent_before: float) -> None:
        """Drop expired parts, and what was spent before a monotonic time."""
        while self.parts and self.parts[0].usable_until <= now:
            self.parts.popleft()
        while self.spent and self.spent[0].at < spent_before:
            self.spent.popleft()

    def add_part(self, usable_until: float, retries: float) -> None:
        """Add a part, to another that expires a little earlier if possible."""
        index = len(self.parts)
        while index and self.parts[index - 1].usable_until > usable_until:
            index -= 1
        if index:
            earlier = self.parts[index - 1]
            if usable_until - earlier.usable_until < PART_SECONDS:
                earlier.retries += retries
                return
        self.parts.insert(index, Part(usable_until, retries))

    def take_parts(self, most: float, usable_until: float) -> list[Part]:
        """Take parts of up to ``most`` that can be used until then."""
        taken: list[Part] = []
        for part in self.parts:
            if most <= 0.0:
                break
            if part.usable_until < usable_until:
                continue
            retries = min(part.retries, most)
            part.retries -= retries
            most -= retries
            taken.append(Part(part.usable_until, retries))
        return taken

    def earned(self, usable_until: float) -> float:
        """Return the retries in parts that can be used until then."""
        return sum(
            part.retries
            for part in self.parts
            if part.usable_until >= usable_until
        )

    @property
    def slack_spent(self) -> float:
        """Return what is spent of the fixed allowance."""
        return sum(each.slack for each in self.spent)


class SharedRetryBudget:
    """The retries that a service may get, as far as one instance sends them.

    The sum over all instances keeps to the bound. A retry that arrives in a
    window was sent up to ``HELD_UP_SECONDS`` before it. It was earned by a
    request of that window or the one before it, or is part of the fixed
    allowance, of which no instance spends more than its share in the time in
    which retries can arrive in one window.

    ``fleet_size`` includes this instance; ``larger_sizes`` has the larger ones
    of before, each with the monotonic time when it ended. Until the time
    ``past_known_from``, the predecessor of this instance may have used its
    share of the fixed allowance, so it gets one of what is not allocated
    instead. It is None until this instance hears of the fleet.
    """

    def __init__(self, limits: bounds.RetryBounds) -> None:
        self.bounds = limits
        self.fleet_size: int | None = None
        self.larger_sizes: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.past_known_from: float | None = None
        self.services: dict[str, ServiceRetries] = {}
        self.numbers = itertools.count(1)

    @property
    def counted_seconds(self) -> float:
        """Return the time in which sends can arrive in one window."""
        return self.bounds.window_seconds + HELD_UP_SECONDS

    @property
    def earned_seconds(self) -> float:
        """Return how long an earned part may be spent."""
        return max(0.0, self.bounds.window_seconds - HELD_UP_SECONDS)

    def set_fleet_size(self, instances: int, now: float = 0.0) -> None:
        """Set the number of instances, this one included."""
        former, self.fleet_size = self.fleet_size, max(1, instances)
        if former is not None and former > self.fleet_size:
            self.larger_sizes.append((now, former))
        while self.larger_sizes and (
            self.larger_sizes[-1][1] <= self.fleet_size
        ):
            self.larger_sizes.pop()

    def sharing_instances(self, now: float) -> int:
        """Return by how many instances the fixed allowance is divided.

        Those that have stopped may have spent their shares, which therefore
        pass to the others only once that no longer counts.
        """
        sizes = self.larger_sizes
        while sizes and sizes[0][0] < now - self.counted_seconds:
            sizes.popleft()
        if sizes:
            return sizes[0][1]
        return self.fleet_size or ASSUMED_INSTANCES

    def note_fleet_heard(self, now: float) -> None:
        """Note that other instances are heard of from now on.

        Only the first such time counts.
        """
        if self.past_known_from is None:
            self.past_known_from = now + self.counted_seconds

    def is_past_known(self, now: float) -> bool:
        """Return whether no predecessor's retries count any longer."""
        return self.past_known_from is None or now >= self.past_known_from

    def retries_of(self, service: str, now: float) -> ServiceRetries:
        """Return the retries for a service, without expired ones."""
        found = self.services.setdefault(service, ServiceRetries())
        found.drop_expired(now, now - self.counted_seconds)
        return found

    def count_request(self, service: str, now: float) -> None:
        """Earn a part of a retry by a caller's request for a service."""
        earned = EARNED_SHARE * self.bounds.ratio
        usable_until = now + self.earned_seconds
        self.retries_of(service, now).add_part(usable_until, earned)

    def slack_share(self, now: float) -> float:
        """Return this instance's share of the fixed allowance."""
        instances = self.sharing_instances(now)
        share = ALLOCATED_SHARE / instances
        if not self.is_past_known(now):
            share = max(
                (1.0 - ALLOCATED_SHARE) / instances,
                ALLOCATED_SHARE / ASSUMED_INSTANCES,
            )
        return share * self.bounds.slack

    def available(
        self, service: str, now: float, usable_until: float | None = None
    ) -> float:
        """Return the retries, in parts, that can be used until then."""
        own = self.retries_of(service, now)
        slack = max(0.0, self.slack_share(now) - own.slack_spent)
        return slack + own.earned(
            now if usable_until is None else usable_until
        )

    def has_retry(self, service: str, now: float) -> bool:
        """Return whether one retry is left."""
        return self.available(service, now) >= 1.0 - ROUNDING

    def describe(self, service: str, now: float) -> str:
        """Return what is spent and left of a service, for the timeline."""
        own = self.retries_of(service, now)
        return (
            f'retries spent {len(own.spent)}, '
            f'left {self.available(service, now):.1f}, '
            f'slack {own.slack_spent:.1f} of {self.slack_share(now):.1f}, '
            f'{self.sharing_instances(now)} instances'
        )

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry of the budget; return whether there was one left."""
        return self.spend(service, now) is not None

    def spend(self, service: str, now: float) -> int | None:
        """Spend one retry; return its number, or None if none was left."""
        if not self.has_retry(service, now):
            return None
        return self.take(service, 1.0, now, sent_until=now)

    def take(
        self, service: str, retries: float, now: float, sent_until: float
    ) -> int:
        """Take parts that may be sent until then, the earned ones first.

        Returns the number under which they are spent.
        """
        own = self.retries_of(service, now)
        parts = own.take_parts(retries, sent_until)
        slack = max(0.0, retries - sum(part.retries for part in parts))
        number = next(self.numbers)
        own.spent.append(Spent(number, sent_until, tuple(parts), slack))
        return number

    def give_back(self, service: str, number: int) -> None:
        """Take back a retry that reached no engine."""
        own = self.services[service]
        for index, each in enumerate(own.spent):
            if each.number == number:
                del own.spent[index]
                for part in each.parts:
                    own.add_part(part.usable_until, part.retries)
                return

    def lend(self, service: str, most: float, now: float) -> float:
        """Lend up to ``most`` retries to another instance; return how many.

        It may use them for ``LOAN_SECONDS`` from when it asked.
        """
        sent_until = now + LOAN_SECONDS
        lent = min(most, self.available(service, now, sent_until))
        if not math.isfinite(lent) or lent <= 0.0:
            return 0.0
        self.take(service, lent, now, sent_until)
        return lent

    def add_loan(
        self, service: str, retries: float, asked_at: float, now: float
    ) -> None:
        """Add what another instance has lent after ``asked_at``."""
        usable_until = asked_at + LOAN_SECONDS
        if usable_until > now:
            self.retries_of(service, now).add_part(usable_until, retries)
