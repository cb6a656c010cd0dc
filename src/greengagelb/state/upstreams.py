"""What an instance knows of an upstream."""

import dataclasses

from greengagelb.state import configuration


@dataclasses.dataclass(slots=True)
class UpstreamView:
    """One upstream as seen from this instance; loads are counts of requests.

    ``reported_at`` is a monotonic time; a report older than a few seconds
    says little. ``suspected_until`` keeps new work away from an upstream
    that has just failed; ``leaving`` is final for the incarnation.
    """

    upstream: configuration.Upstream
    incarnation: str = ''
    model: str = ''
    version: str = ''
    adapter: str = ''
    in_flight: int = 0
    reported_running: int = 0
    reported_queued: int = 0
    reported_at: float = float('-inf')
    step_seconds: float = 0.0
    leaving: bool = False
    suspected_until: float = float('-inf')
