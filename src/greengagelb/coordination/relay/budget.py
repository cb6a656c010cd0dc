"""The budget of repeats that all instances share.

Each repeat is one more arrival at a service that may be failing because it
has too much to do. The operators bound the repeats of all instances together
over any window of some seconds. Every instance keeps to its own part, so
that the bound holds whoever can talk to whom.
"""

import collections

from greengagelb.state.relay import bounds

# The part of the shared allowance that is given out. What is left covers
# instances that have just come up and that the others do not know yet.
GIVEN_OUT = 0.8
# Before an instance knows how many others there are it takes next to nothing
# of what all share: as little as in a large fleet.
UNKNOWN_INSTANCES = 100


class ServiceWindow:
    """Requests and repeats of one service within the window."""

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def drop_before(self, moment: float) -> None:
        """Forget what lies before a moment."""
        for times in (self.requests, self.repeats):
            while times and times[0] < moment:
                times.popleft()


class SharedRetryBudget:
    """This instance's part of the repeats that a service may get.

    Over any window, an instance sends at most ``ratio`` times its own
    requests of that window plus its part of ``slack``. Summed over all
    instances that is what the operators allow.
    """

    def __init__(self, limits: bounds.RetryBounds) -> None:
        self.bounds = limits
        self.instances = UNKNOWN_INSTANCES
        self.services: dict[str, ServiceWindow] = {}

    def resize(self, instances: int) -> None:
        """Share the allowance with that many instances, this one included."""
        self.instances = max(1, instances)

    def window(self, service: str, now: float) -> ServiceWindow:
        """Return a service's window, up to date."""
        found = self.services.setdefault(service, ServiceWindow())
        found.drop_before(now - self.bounds.window_seconds)
        return found

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self.window(service, now).requests.append(now)

    def allowance(self, service: str, now: float) -> float:
        """Return how many repeats this instance may have in the window."""
        window = self.window(service, now)
        part = GIVEN_OUT * self.bounds.slack / self.instances
        return part + self.bounds.ratio * len(window.requests)

    def spend(self, service: str, now: float) -> bool:
        """Take one repeat, if there is one."""
        window = self.window(service, now)
        if len(window.repeats) + 1 > self.allowance(service, now):
            return False
        window.repeats.append(now)
        return True
