"""Has requests that crash engines run no more, by the product's own interface.

A try that broke off makes its upstream suspect. The upstream is asked for its
report; if nobody listens there, or it has started again since, the request
has crashed it.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.sharing import crash_records
from greengagelb.coordination.sharing import fingerprints
from greengagelb.coordination.sharing import suspicions
from greengagelb.state import configuration as configuration_state
from greengagelb.state import crashes as crash_state

# The codes of what is answered to a request that crashes engines: when it
# comes, and after it has just had an engine.
BLOCKED_NOT_RUN_CODE = 'request-crashes-engines'
BLOCKED_RAN_CODE = 'engine-deaths-exceeded'
PROBE_TIMER = 'ask-suspect'
# For how long others are told of a suspect after it was last news, in
# seconds, and for how long of one with a single crash: each request that was
# on the engine is one.
REPORT_SECONDS = 30.0
REPORT_SINGLE_CRASH_SECONDS = 5.0
# The most suspects in a heartbeat.
MAX_REPORTS_PER_HEARTBEAT = 24


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """An upstream with tries that broke off is asked whether it has ended.

    ``incarnation`` is as it was when these began.
    """

    upstream: configuration_state.Upstream
    incarnation: str
    probe_count: int = 1


class CrashGuard:
    """What this instance knows of requests that crash engines."""

    def __init__(self) -> None:
        self.records = crash_records.CrashRecords()
        self.suspicions = suspicions.Suspicions()
        self.pending_probes: dict[str, PendingProbe] = {}
        self.cached_change_count = 0
        self.cached_suspects: tuple[crash_state.Suspect, ...] = ()

    # -- the verdict --------------------------------------------------------

    def blocked_until(
        self, request: fingerprints.OwnRequest, now: float
    ) -> float | None:
        """Return until when a request must not run, or None if it may."""
        if not self.records.histories:
            return None
        fingerprint = fingerprints.for_own_request(request)
        return self.records.blocked_until(fingerprint, now)

    def is_blocked(self, request: fingerprints.OwnRequest, now: float) -> bool:
        """Return whether a request must not run now."""
        return self.blocked_until(request, now) is not None

    def has_blocking_suspicions(
        self, request: fingerprints.OwnRequest, now: float
    ) -> bool:
        """Return whether the crashes that are suspected would be enough."""
        if not self.suspicions.by_engine:
            return False
        fingerprint = fingerprints.for_own_request(request)
        suspected = self.suspicions.suspected_crashes(fingerprint)
        if not suspected:
            return False
        return self.records.would_be_blocked(fingerprint, suspected, now)

    def must_not_run(
        self, request: fingerprints.OwnRequest, now: float
    ) -> bool:
        """Return whether a request crashes engines, or seems to."""
        return self.is_blocked(request, now) or self.has_blocking_suspicions(
            request, now
        )

    # -- what is seen here --------------------------------------------------

    def suspect_upstream(
        self,
        request: fingerprints.OwnRequest,
        upstream: configuration_state.Upstream,
        incarnation: str,
        began_at: float,
        now: float,
    ) -> list[actions.Action]:
        """Suspect the upstream of a try that had begun; have it asked."""
        self.forget_expired(now)
        name = upstream.name
        suspicion = suspicions.Suspicion(
            fingerprints.for_own_request(request),
            f'{name} {incarnation}',
            began_at,
            now,
        )
        is_first = self.suspicions.add(name, suspicion)
        if not is_first and name in self.pending_probes:
            self.pending_probes[name].incarnation = incarnation
            return []
        self.pending_probes[name] = PendingProbe(upstream, incarnation)
        return [actions.ProbeUpstream(upstream)]

    def handle_report(
        self, event: events.UpstreamReported, now: float
    ) -> list[str]:
        """Take in a report; return the requests with one crash more."""
        name = event.engine.name
        probe = self.pending_probes.pop(name, None)
        if probe is None:
            return []
        known_incarnation = probe.incarnation
        if known_incarnation and known_incarnation != event.engine.incarnation:
            return self.count_crash(name, now)
        self.suspicions.clear_engine(name)
        return []

    def handle_unreachable(
        self, event: events.UpstreamUnreachable, now: float
    ) -> list[str]:
        """Take in that an upstream gave no report; see ``reported``."""
        if not event.refused or event.name not in self.pending_probes:
            return []
        del self.pending_probes[event.name]
        return self.count_crash(event.name, now)

    def schedule_probe(
        self, event: events.UpstreamUnreachable, now: float
    ) -> list[actions.Action]:
        """Return the timer for the next question, if there is to be one."""
        probe = self.pending_probes.get(event.name)
        if probe is None or probe.probe_count >= suspicions.MAX_PROBES:
            return []
        timer = f'{PROBE_TIMER}:{event.name}'
        return [actions.SetTimer(timer, now + suspicions.PROBE_RETRY_SECONDS)]

    def repeat_probe(self, name: str) -> list[actions.Action]:
        """Ask an upstream again that did not answer."""
        probe = self.pending_probes.get(name)
        if probe is None or probe.probe_count >= suspicions.MAX_PROBES:
            return []
        probe.probe_count += 1
        return [actions.ProbeUpstream(probe.upstream)]

    def count_crash(self, name: str, now: float) -> list[str]:
        """Count the crash of an upstream; return what it counts against."""
        runs = self.suspicions.pop_suspicions(name, now)
        return suspicions.count_crashes(runs, self.records, now)

    def record_survival(
        self, request: fingerprints.OwnRequest, now: float
    ) -> None:
        """Note that an upstream ran a request to its end."""
        if self.records.histories:
            self.records.record_survival(
                fingerprints.for_own_request(request), now, now
            )

    def forget_expired(self, now: float) -> None:
        """Forget upstreams that never showed what became of them."""
        self.suspicions.forget_expired(now)
        for name in (
            self.pending_probes.keys() - self.suspicions.by_engine.keys()
        ):
            del self.pending_probes[name]

    # -- other instances ----------------------------------------------------

    def merge_reports(
        self, reports: tuple[crash_state.CrashReport, ...], now: float
    ) -> list[str]:
        """Take in what others know; return what must not run from now on."""
        return [
            report.fingerprint
            for report in reports
            if self.records.merge_report(report, now)
        ]

    def sorted_suspects(self) -> tuple[crash_state.Suspect, ...]:
        """Return the suspects that others are told of, the worst first."""
        if self.cached_change_count == self.records.change_count:
            return self.cached_suspects
        self.cached_change_count = self.records.change_count
        by_severity = sorted(
            self.records.histories,
            key=lambda fingerprint: (
                -len(self.records.histories[fingerprint].crashes)
            ),
        )
        self.cached_suspects = tuple(
            self.records.get_suspect(fingerprint)
            for fingerprint in by_severity
        )
        return self.cached_suspects


def heartbeat_reports(
    suspects: tuple[crash_state.Suspect, ...], now: float, *, include_all: bool
) -> tuple[crash_state.CrashReport, ...]:
    """Return what a heartbeat tells of suspects, the worst first."""
    selected = [
        suspect
        for suspect in suspects
        if include_all or now < suspect.changed_at + report_seconds(suspect)
    ]
    return tuple(
        crash_state.report_on(suspect, now)
        for suspect in selected[:MAX_REPORTS_PER_HEARTBEAT]
    )


def report_seconds(suspect: crash_state.Suspect) -> float:
    """Return for how long a suspect is told of."""
    is_single = len(suspect.crashes) == 1
    return REPORT_SINGLE_CRASH_SECONDS if is_single else REPORT_SECONDS
