"""The retry budget that all instances share.

A retry is any send of a request after its first, except in place of a send
that was never connected. Each one adds load to a service that may be failing
from overload. The operators bound the retries of all instances together over
any window of some seconds. Every instance has a part of its own, so that the
bound holds whichever instances can communicate. In a large fleet that part is
a few retries, and the streams of a failed engine are spread unevenly over the
instances. Beyond its part an instance may therefore use what all others leave,
as far as they announce their sends.
"""

import collections

from greengagelb.state.relay import bounds

# The share of the allowance that is allocated. The rest covers instances that
# have just started and are not known to the others yet, and sends that the
# others do not know of yet, or never will.
ALLOCATED_SHARE = 0.8
# An instance may exceed its own part while all known retries are below this
# share of the shared allowance. The rest is left for retries that are not
# known yet: when one of three data centres fails, all instances retry its
# streams, a third of all, within the travel time of a datagram. That is about
# as many as the other half allows.
BORROWING_SHARE = 0.5
# A retry stays counted for this much longer than the window. Engines count it
# when it arrives: those that make a pause, or whose connection does, read all
# that was sent meanwhile at once.
HELD_UP_SECONDS = 4.0
# The assumed fleet size until it is known: an instance takes as little of the
# shared allowance as in a large fleet.
ASSUMED_INSTANCES = 100


class ServiceWindow:
    """The times of requests and retries of one service in the window.

    ``peer_requests`` and ``peer_retries`` are those announced by other
    instances.
    """

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()
        self.peer_requests: collections.deque[float] = collections.deque()
        self.peer_retries: collections.deque[float] = collections.deque()

    @property
    def all_requests(self) -> int:
        """Return the number of requests known to this instance."""
        return len(self.requests) + len(self.peer_requests)

    @property
    def all_retries(self) -> int:
        """Return the number of retries known to this instance."""
        return len(self.retries) + len(self.peer_retries)

    def drop_before(self, earliest: float) -> None:
        """Drop the requests before a monotonic time, and older retries."""
        for request_times in (self.requests, self.peer_requests):
            drop_times_before(request_times, earliest)
        for retry_times in (self.retries, self.peer_retries):
            drop_times_before(retry_times, earliest - HELD_UP_SECONDS)


class SharedRetryBudget:
    """The retries that a service may get, as known to one instance.

    Over any window an instance sends at most ``ratio`` times its own requests
    plus its part of ``slack``. The sum over all instances is what the
    operators allow. For sends that are announced to the others, an instance
    may send more while the retries of all are few, and less when they are
    close to the bound.

    ``instances`` is the size of the fleet, ``reachable`` how many of these are
    known to be alive; both include this instance. Until the monotonic time
    ``past_known_from``, sends of before this instance started may still be in
    the window: its predecessor's, and those that others borrowed. They may
    have used up its part of ``slack``, so it gets one of what is not allocated
    instead. It is None until this instance hears of the fleet.
    """

    def __init__(self, limits: bounds.RetryBounds) -> None:
        self.bounds = limits
        self.instances = ASSUMED_INSTANCES
        self.reachable = 1
        self.past_known_from: float | None = None
        self.services: dict[str, ServiceWindow] = {}

    def set_fleet_size(self, instances: int, reachable: int = 1) -> None:
        """Divide the allowance by the number of instances, this one included.

        ``reachable`` of them are known to be alive, and announce their sends.
        """
        self.instances = max(1, instances)
        self.reachable = min(self.instances, max(1, reachable))

    def note_fleet_heard(self, now: float) -> None:
        """Note that the sends of other instances are heard from now on.

        Only the first such time counts.
        """
        if self.past_known_from is None:
            self.past_known_from = (
                now + self.bounds.window_seconds + HELD_UP_SECONDS
            )

    def is_past_known(self, now: float) -> bool:
        """Return whether this instance has heard all sends of the window."""
        return self.past_known_from is None or now >= self.past_known_from

    def window(self, service: str, now: float) -> ServiceWindow:
        """Return the window of a service, without expired times."""
        found = self.services.setdefault(service, ServiceWindow())
        found.drop_before(now - self.bounds.window_seconds)
        return found

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self.window(service, now).requests.append(now)

    def count_peer_send(
        self, service: str, now: float, *, is_retry: bool
    ) -> None:
        """Count a send of another instance."""
        window = self.window(service, now)
        send_times = window.peer_retries if is_retry else window.peer_requests
        send_times.append(now)

    def own_allowance(self, window: ServiceWindow, now: float) -> float:
        """Return how many retries this instance may send in the window."""
        share = ALLOCATED_SHARE / self.instances
        if not self.is_past_known(now):
            share = max(
                (1.0 - ALLOCATED_SHARE) / self.instances,
                ALLOCATED_SHARE / ASSUMED_INSTANCES,
            )
        own_slack = share * self.bounds.slack
        return own_slack + self.bounds.ratio * len(window.requests)

    def shared_allowance(self, window: ServiceWindow) -> float:
        """Return how many retries all reachable instances may send together.

        The unreachable ones have as much for themselves.
        """
        slack = self.bounds.slack * self.reachable / self.instances
        return slack + self.bounds.ratio * window.all_requests

    def describe(self, service: str, now: float) -> str:
        """Return the retries of a service in the window, for the timeline."""
        window = self.window(service, now)
        return (
            f'own retries {len(window.retries)} '
            f'of {self.own_allowance(window, now):.1f}, '
            f'known {window.all_retries} '
            f'of {self.shared_allowance(window):.1f}, '
            f'{self.reachable} of {self.instances} instances'
        )

    def try_spend_misdirected(self, service: str, now: float) -> bool:
        """Spend a retry for a request that only wrong engines have received.

        They reject it at the addresses of engines that have ended. Each does
        so once or twice before all instances know, so that borrowing does not
        need to be limited to the part of the instances that are heard. A new
        instance knows neither which were replaced nor what was sent.
        """
        window = self.window(service, now)
        most = self.bounds.slack + self.bounds.ratio * window.all_requests
        allowed = (
            self.is_past_known(now)
            and window.all_retries + 1 <= BORROWING_SHARE * most
        )
        if allowed:
            window.retries.append(now)
        return allowed

    def try_spend(
        self, service: str, now: float, *, announced: bool = False
    ) -> bool:
        """Spend one retry of the budget; return whether there was one left.

        ``announced`` tells that every send to the service is announced to the
        other instances.
        """
        window = self.window(service, now)
        allowed = len(window.retries) + 1 <= self.own_allowance(window, now)
        if announced and (allowed or self.is_past_known(now)):
            share = ALLOCATED_SHARE if allowed else BORROWING_SHARE
            allowed = window.all_retries + 1 <= share * self.shared_allowance(
                window
            )
        if allowed:
            window.retries.append(now)
        return allowed

    def give_back(self, service: str, spent_at: float) -> None:
        """Take back a retry of a monotonic time that reached no engine."""
        retry_times = self.services[service].retries
        if spent_at in retry_times:
            retry_times.remove(spent_at)


def drop_times_before(
    times: collections.deque[float], earliest: float
) -> None:
    """Drop the times before another one; they are in order."""
    while times and times[0] < earliest:
        times.popleft()
