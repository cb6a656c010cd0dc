"""Bounds what failing requests of one account cost the other accounts."""

import collections

from greengagelb.coordination.sharing import rates
from greengagelb.state import identity

WINDOW_SECONDS = 60.0
MAX_REMEMBERED_REQUESTS = 1024


class ReplayBudgets:
    """Bounds the replays per minute of each account at this instance.

    A replay continues a stream on another engine, which processes the prompt
    and all tokens generated so far. Without a bound, an account whose requests
    kill engines would take that capacity from all others. Resumes by callers
    are bounded in admission.
    """

    def __init__(self) -> None:
        self.buckets: dict[str, rates.CostBucket] = {}

    def take_replay(self, account: str, per_minute: int, now: float) -> float:
        """Take one replay; return 0, or the seconds until one is available."""
        burst = float(per_minute)
        rate = max(burst, 1.0) / WINDOW_SECONDS
        bucket = self.buckets.setdefault(account, rates.CostBucket(burst, now))
        return bucket.take(1.0, rate, burst, now) or 0.0


class ExhaustedRequests:
    """Requests that exceeded the allowed number of engine deaths.

    A caller that resumes with an older cursor brings an older count of deaths,
    and could otherwise go on killing engines.
    """

    def __init__(self) -> None:
        self.requests: collections.OrderedDict[identity.RequestId, None] = (
            collections.OrderedDict()
        )

    def add(self, request: identity.RequestId) -> None:
        """Remember a request; drop the oldest one if the set is full."""
        self.requests[request] = None
        if len(self.requests) > MAX_REMEMBERED_REQUESTS:
            self.requests.popitem(last=False)

    def __contains__(self, request: identity.RequestId) -> bool:
        return request in self.requests
