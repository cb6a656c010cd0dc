"""What an instance knows about an upstream."""

import dataclasses

from greengagelb.state import configuration


@dataclasses.dataclass(slots=True)
class UpstreamView:
    """One upstream as seen from this instance; loads are counts of requests.

    ``reported_at`` is a monotonic time; a report older than a few seconds is
    of little use. ``probed_at`` is when the upstream last answered this
    instance directly; loads may also be forwarded by other instances.
    ``in_flight_at_report`` is this instance's own part of the reported load.
    Until ``suspected_until`` an upstream that has just failed gets no new
    work; ``failures`` counts consecutive failures, and ``returned_at`` is
    when it last recovered. ``leaving`` is final for the incarnation. Until
    ``rest_until`` the incarnation ``rest_incarnation`` has asked this instance
    for no requests; its unusable statements are recorded again from
    ``next_unusable_record_at``. ``incarnation_known_at`` is when the current
    incarnation first reported.
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
    incarnation_known_at: float = float('-inf')
    rest_until: float = float('-inf')
    rest_incarnation: str = ''
    next_unusable_record_at: float = float('-inf')
