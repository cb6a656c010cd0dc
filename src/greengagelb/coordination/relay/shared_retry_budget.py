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

import bisect
import dataclasses

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
# The time between the beginnings of the windows that are checked.
WINDOW_STEP_SECONDS = 1.0
# The assumed fleet size until it is known: an instance takes as little of the
# shared allowance as in a large fleet.
ASSUMED_INSTANCES = 100


class SendTimes:
    """Monotonic times of sends, in order."""

    def __init__(self) -> None:
        self.times: list[float] = []

    def __len__(self) -> int:
        return len(self.times)

    def append(self, at: float) -> None:
        """Add the time of a send, which is the latest one."""
        self.times.append(at)

    def count(self, begin: float, end: float = float('inf')) -> int:
        """Return the number of sends from ``begin`` until before ``end``."""
        first = bisect.bisect_left(self.times, begin)
        return bisect.bisect_left(self.times, end) - first

    def drop_before(self, earliest: float) -> None:
        """Drop all times before a monotonic time."""
        del self.times[: bisect.bisect_left(self.times, earliest)]


@dataclasses.dataclass(frozen=True, slots=True)
class WindowCounts:
    """What counts in one window: own sends, and all that are known."""

    own_requests: int
    all_requests: int
    own_retries: int
    all_retries: int


class ServiceSends:
    """The times of requests and retries of one service.

    ``peer_requests`` and ``peer_retries`` are those announced by other
    instances.
    """

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.requests = SendTimes()
        self.retries = SendTimes()
        self.peer_requests = SendTimes()
        self.peer_retries = SendTimes()

    def drop_expired(self, now: float) -> None:
        """Drop the times that are in none of the open windows."""
        for requests in (self.requests, self.peer_requests):
            requests.drop_before(now - 2.0 * self.window_seconds)
        for retries in (self.retries, self.peer_retries):
            retries.drop_before(now - self.window_seconds - HELD_UP_SECONDS)

    def open_windows(self, now: float) -> list[WindowCounts]:
        """Return the counts of windows that contain the present time.

        A retry counts in all of them, so each must have room for it. They
        begin at regular times, the first one a whole window ago.
        """
        steps = round(self.window_seconds / WINDOW_STEP_SECONDS)
        return [
            self.count_window(now - step * WINDOW_STEP_SECONDS)
            for step in range(steps, -1, -1)
        ]

    def count_window(self, begin: float) -> WindowCounts:
        """Return the counts of the window from a monotonic time on.

        Its requests are those in it, in the one before it, or in the one half
        a window before it, whichever are most.
        """
        window = self.window_seconds
        begins = (begin, begin - window / 2.0, begin - window)
        own = [self.requests.count(at, at + window) for at in begins]
        peers = [self.peer_requests.count(at, at + window) for at in begins]
        sent_from = begin - HELD_UP_SECONDS
        own_retries = self.retries.count(sent_from)
        return WindowCounts(
            max(own),
            max(map(sum, zip(own, peers, strict=True))),
            own_retries,
            own_retries + self.peer_retries.count(sent_from),
        )


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
        self.services: dict[str, ServiceSends] = {}

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

    def sends(self, service: str, now: float) -> ServiceSends:
        """Return the sends to a service, without expired ones."""
        found = self.services.setdefault(
            service, ServiceSends(self.bounds.window_seconds)
        )
        found.window_seconds = self.bounds.window_seconds
        found.drop_expired(now)
        return found

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self.sends(service, now).requests.append(now)

    def count_peer_send(
        self, service: str, now: float, *, is_retry: bool
    ) -> None:
        """Count a send of another instance."""
        sends = self.sends(service, now)
        send_times = sends.peer_retries if is_retry else sends.peer_requests
        send_times.append(now)

    def own_allowance(self, counts: WindowCounts, now: float) -> float:
        """Return how many retries this instance may send in a window."""
        share = ALLOCATED_SHARE / self.instances
        if not self.is_past_known(now):
            share = max(
                (1.0 - ALLOCATED_SHARE) / self.instances,
                ALLOCATED_SHARE / ASSUMED_INSTANCES,
            )
        own_slack = share * self.bounds.slack
        return own_slack + self.bounds.ratio * counts.own_requests

    def shared_allowance(self, counts: WindowCounts) -> float:
        """Return how many retries all reachable instances may send together.

        The unreachable ones have as much for themselves.
        """
        slack = self.bounds.slack * self.reachable / self.instances
        return slack + self.bounds.ratio * counts.all_requests

    def describe(self, service: str, now: float) -> str:
        """Return the retries in the last window, for the timeline."""
        sends = self.sends(service, now)
        counts = sends.count_window(now - self.bounds.window_seconds)
        return (
            f'own retries {counts.own_retries} '
            f'of {self.own_allowance(counts, now):.1f}, '
            f'known {counts.all_retries} '
            f'of {self.shared_allowance(counts):.1f}, '
            f'{self.reachable} of {self.instances} instances'
        )

    def try_spend_misdirected(self, service: str, now: float) -> bool:
        """Spend a retry for a request that only wrong engines have received.

        They reject it at the addresses of engines that have ended. Each does
        so once or twice before all instances know, so that borrowing does not
        need to be limited to the part of the instances that are heard.
        """
        sends = self.sends(service, now)
        allowed = all(
            counts.all_retries + 1
            <= BORROWING_SHARE
            * (self.bounds.slack + self.bounds.ratio * counts.all_requests)
            for counts in sends.open_windows(now)
        )
        if allowed:
            sends.retries.append(now)
        return allowed

    def try_spend(
        self, service: str, now: float, *, announced: bool = False
    ) -> bool:
        """Spend one retry of the budget; return whether there was one left.

        ``announced`` tells that every send to the service is announced to the
        other instances.
        """
        sends = self.sends(service, now)
        windows = sends.open_windows(now)
        allowed = all(
            counts.own_retries + 1 <= self.own_allowance(counts, now)
            for counts in windows
        )
        if announced and (allowed or self.is_past_known(now)):
            share = ALLOCATED_SHARE if allowed else BORROWING_SHARE
            allowed = all(
                counts.all_retries + 1 <= share * self.shared_allowance(counts)
                for counts in windows
            )
        if allowed:
            sends.retries.append(now)
        return allowed
