"""What an account's failing requests may cost the others."""

import collections

from greengagelb.coordination.sharing import rates
from greengagelb.state import identity

WINDOW_SECONDS = 60.0
MAX_REMEMBERED_REQUESTS = 1024


class ReplayBudgets:
    """Bounds each account's replays per minute at this instance.

    A replay makes another engine read the prompt and all tokens so far. An
    account whose requests kill engines would take that time from all others.
    Returns of callers are bounded where requests are admitted.
    """

    def __init__(self) -> None:
        self.buckets: dict[str, rates.CostBucket] = {}

    def take_replay(self, account: str, per_minute: int, now: float) -> float:
        """Take one replay; return 0, or the seconds until one is left."""
        burst = float(per_minute)
        rate = max(burst, 1.0) / WINDOW_SECONDS
        bucket = self.buckets.setdefault(account, rates.CostBucket(burst, now))
        return bucket.take(1.0, rate, burst, now) or 0.0


class ExhaustedRequests:
    """Requests that had too many engines die under them.

    A caller that comes back with an older cursor brings an older count of
    deaths, and could go on killing engines.
    """

    def __init__(self) -> None:
        self.requests: collections.OrderedDict[identity.RequestId, None] = (
            collections.OrderedDict()
        )

    def add(self, request: identity.RequestId) -> None:
        """Remember a request, at the cost of the oldest one."""
        self.requests[request] = None
        if len(self.requests) > MAX_REMEMBERED_REQUESTS:
            self.requests.popitem(last=False)

    def __contains__(self, request: identity.RequestId) -> bool:
        return request in self.requests
