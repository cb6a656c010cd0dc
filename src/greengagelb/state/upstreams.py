"""What an instance knows of an upstream."""

import dataclasses

from greengagelb.state import configuration


@dataclasses.dataclass(slots=True)
class UpstreamView:
    """One upstream as seen from this instance; loads are counts of requests.

    ``reported_at`` is a monotonic time; a report older than a few seconds
    says little. ``probed_at`` is when this instance was last answered by the
    upstream itself; until then a load may have been passed on by another
    instance. ``in_flight_at_report`` tells what of the reported load is this
    instance's own. ``suspected_until`` keeps new work away from an upstream
    that has just failed, ``failures`` counts such times in a row and
    ``returned_at`` is when it last came back.
    ``leaving`` is final for the incarnation.
    """

    upstream: configuration.Upstream
    incarnation: str = ''
    model: str = ''
    version: str = ''
    adapter: str = ''
    role: str = 'generate'
    in_flight: int = 0
    in_flight_at_report: int = 0
    reported_running: int = 0
    reported_queued: int = 0
    reported_at: float = float('-inf')
    probed_at: float = float('-inf')
    step_seconds: float = 0.0
    leaving: bool = False
    suspected_at: float = float('-inf')
    suspected_until: float = float('-inf')
    returned_at: float = float('-inf')
    failures: int = 0
    prefixes: set[str] = dataclasses.field(default_factory=set)
    cache_sequence: int = 0
    cache_known: bool = False
