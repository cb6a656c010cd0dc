"""The budget of repeats that all instances share.

Each repeat is one more arrival at a service that may be failing because it
has too much to do. The operators bound the repeats of all instances together
over any window of some seconds. Every instance has its own part, so that the
bound holds whoever can talk to whom. In a large fleet that part is a few
repeats, and the streams that an engine takes with it are not spread evenly: so
beyond its part an instance may use what all others together leave, as far as
they tell what they send.
"""

import collections

from greengagelb.state.relay import bounds

# The part of the shared allowance that is given out. What is left covers
# instances that have just come up and that the others do not know yet, and
# sends that the others have not been told of yet or never are.
ALLOCATED_SHARE = 0.8
# The part of it up to which an instance may use more than its own. What all
# decide within the time of a datagram nobody has been told of: a data centre
# of engines takes a third of all streams with it, about as many as the other
# half allows.
BORROWING_SHARE = 0.5
# Before an instance knows how many others there are it takes next to nothing
# of what all share: as little as in a large fleet.
ASSUMED_INSTANCES = 100


class ServiceWindow:
    """Requests and repeats of one service within the window.

    ``others_requests`` and ``others_repeats`` are those that other instances
    have told of.
    """

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()
        self.peer_requests: collections.deque[float] = collections.deque()
        self.peer_repeats: collections.deque[float] = collections.deque()

    @property
    def all_requests(self) -> int:
        """Return how many requests there were as far as this one knows."""
        return len(self.requests) + len(self.peer_requests)

    @property
    def all_repeats(self) -> int:
        """Return how many repeats there were as far as this one knows."""
        return len(self.repeats) + len(self.peer_repeats)

    def drop_before(self, earliest: float) -> None:
        """Forget what lies before a moment."""
        for send_times in (
            self.requests,
            self.repeats,
            self.peer_requests,
            self.peer_repeats,
        ):
            while send_times and send_times[0] < earliest:
                send_times.popleft()


class SharedRetryBudget:
    """The repeats that a service may get, as one instance sees them.

    Over any window, an instance sends at most ``ratio`` times its own
    requests of that window plus its part of ``slack``. Summed over all
    instances that is what the operators allow. Where all sends are told to
    the others, it may send more while the repeats of all are few, and less
    when they are nearly what is allowed.
    """

    def __init__(self, limits: bounds.RetryBounds) -> None:
        self.bounds = limits
        self.instances = ASSUMED_INSTANCES
        self.reachable = 1
        self.services: dict[str, ServiceWindow] = {}

    def set_fleet_size(self, instances: int, reachable: int = 1) -> None:
        """Share the allowance with that many instances, this one included.

        ``heard`` of them are known to live, and tell what they send.
        """
        self.instances = max(1, instances)
        self.reachable = min(self.instances, max(1, reachable))

    def window(self, service: str, now: float) -> ServiceWindow:
        """Return a service's window, up to date."""
        found = self.services.setdefault(service, ServiceWindow())
        found.drop_before(now - self.bounds.window_seconds)
        return found

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self.window(service, now).requests.append(now)

    def count_peer_send(
        self, service: str, now: float, *, repeat: bool
    ) -> None:
        """Count what another instance has sent."""
        window = self.window(service, now)
        send_times = window.peer_repeats if repeat else window.peer_requests
        send_times.append(now)

    def own_allowance(self, window: ServiceWindow) -> float:
        """Return how many repeats this instance may have in the window."""
        own_slack = ALLOCATED_SHARE * self.bounds.slack / self.instances
        return own_slack + self.bounds.ratio * len(window.requests)

    def shared_allowance(self, window: ServiceWindow) -> float:
        """Return how many repeats all may have whom this instance hears.

        Those that it does not hear have as much for themselves.
        """
        slack = self.bounds.slack * self.reachable / self.instances
        return slack + self.bounds.ratio * window.all_requests

    def try_spend(
        self, service: str, now: float, *, announced: bool = False
    ) -> bool:
        """Take one repeat, if there is one.

        ``all_told`` tells that each send to the service is told to the other
        instances.
        """
        window = self.window(service, now)
        allowed = len(window.repeats) + 1 <= self.own_allowance(window)
        if announced:
            share = ALLOCATED_SHARE if allowed else BORROWING_SHARE
            allowed = window.all_repeats + 1 <= share * self.shared_allowance(
                window
            )
        if allowed:
            window.repeats.append(now)
        return allowed
