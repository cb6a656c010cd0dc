"""Blocks requests of the product's own API that crash engines.

When the connection of an attempt breaks, its upstream may have crashed and is
probed: it is asked for its report. If the connection is refused, or the
upstream reports another incarnation, the crash counts against the request.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.sharing import broken_runs
from greengagelb.coordination.sharing import crash_blame
from greengagelb.coordination.sharing import crash_records
from greengagelb.coordination.sharing import fingerprints
from greengagelb.coordination.sharing import trials
from greengagelb.state import attempts
from greengagelb.state import configuration as configuration_state
from greengagelb.state import crashes as crash_state
from greengagelb.state import requests

# Error codes for a blocked request: refused on arrival, and stopped after an
# engine has begun to run it.
BLOCKED_NOT_RUN_CODE = 'request-crashes-engines'
BLOCKED_RAN_CODE = 'engine-deaths-exceeded'
PROBE_TIMER = 'ask-suspect'
# How long a suspected request is reported in heartbeats after its last change.
# The time is shorter for a single crash, because one crash makes every request
# on the engine a suspect.
REPORT_SECONDS = 30.0
REPORT_SINGLE_CRASH_SECONDS = 5.0
MAX_REPORTS_PER_HEARTBEAT = 24


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """A pending check whether an upstream has ended.

    ``incarnation`` is the one that the upstream had when the broken attempts
    began.
    """

    upstream: configuration_state.Upstream
    incarnation: str
    probe_count: int = 1


class ProductCrashGuard:
    """Crash records and broken runs of requests of the product's own API."""

    def __init__(self) -> None:
        self.records = crash_records.CrashRecords()
        self.broken_runs = broken_runs.BrokenRuns()
        self.pending_probes: dict[str, PendingProbe] = {}
        self.trials = trials.Trials()
        self.cached_change_count = 0
        self.cached_suspects: tuple[crash_state.SuspectRequest, ...] = ()

    def judge(
        self, request: fingerprints.ProductRequest, now: float
    ) -> crash_blame.Verdict:
        """Return the verdict on a request by the known crashes."""
        if not self.records.histories:
            return crash_blame.NOT_BLAMED
        causes = fingerprints.causes_of_product_request(request)
        return crash_blame.CrashBlame(self.records).judge(causes, now)

    def refused_until(
        self, request: fingerprints.ProductRequest, now: float
    ) -> float | None:
        """Return until when a new request is refused, or None.

        While it is not decided which part of a prompt crashes engines, one
        request at a time is admitted to find out.
        """
        match self.judge(request, now):
            case crash_blame.Blocked(until=until):
                return until
            case crash_blame.Undecided(parts):
                if self.trials.is_running(parts, now):
                    return now + trials.TRIAL_SECONDS
                self.trials.begin(parts, now)
        return None

    def is_blocked(
        self, request: fingerprints.ProductRequest, now: float
    ) -> bool:
        """Return whether a request is blocked now."""
        return isinstance(self.judge(request, now), crash_blame.Blocked)

    def has_blocking_suspected_crashes(
        self, request: fingerprints.ProductRequest, now: float
    ) -> bool:
        """Return whether suspected crashes would block a request."""
        if not self.broken_runs.by_engine:
            return False
        causes = fingerprints.causes_of_product_request(request)
        suspected = self.broken_runs.suspected
        if not any(name in suspected for name in causes.fingerprints):
            return False
        blame = crash_blame.CrashBlame(self.records, suspected)
        return isinstance(blame.judge(causes, now), crash_blame.Blocked)

    def must_not_run(
        self, request: fingerprints.ProductRequest, now: float
    ) -> bool:
        """Return whether known or suspected crashes block a request."""
        return self.is_blocked(
            request, now
        ) or self.has_blocking_suspected_crashes(request, now)

    def suspect_upstream(
        self,
        request: fingerprints.ProductRequest,
        upstream: configuration_state.Upstream,
        incarnation: str,
        began_at: float,
        now: float,
        *,
        has_survived: bool = False,
        has_begun: bool = True,
    ) -> list[actions.Action]:
        """Record a broken attempt and have its upstream probed.

        One that has survived the parts of the prompt counts against the
        request only.
        """
        causes = fingerprints.causes_of_product_request(request)
        self.forget_expired(now)
        name = upstream.name
        broken_run = broken_runs.BrokenRun(
            (causes.request,) if has_survived else causes.fingerprints,
            f'{name} {incarnation}',
            began_at,
            now,
            data_centre=upstream.data_centre,
            has_begun=has_begun,
        )
        is_first = self.broken_runs.add(name, broken_run)
        if not is_first and name in self.pending_probes:
            self.pending_probes[name].incarnation = incarnation
            return []
        self.pending_probes[name] = PendingProbe(upstream, incarnation)
        return [actions.ProbeUpstream(upstream)]

    def suspect_attempt(
        self,
        request: fingerprints.ProductRequest,
        attempt: attempts.Attempt,
        accepted_at: float,
        now: float,
    ) -> list[actions.Action]:
        """Record a broken attempt of a stream; have its upstream probed.

        An upstream may read a prompt for any time after it has accepted it.
        """
        began_at = accepted_at
        is_early = now <= accepted_at + crash_records.EARLY_CRASH_SECONDS
        if not is_early:
            began_at = min(attempt.progressed_at, now)
        return self.suspect_upstream(
            request,
            attempt.upstream,
            attempt.incarnation,
            began_at,
            now,
            has_survived=attempt.has_survived,
            has_begun=is_early or attempt.has_progressed,
        )

    def handle_report(
        self, event: events.UpstreamReported, now: float
    ) -> list[str]:
        """Process a report; return the fingerprints with one crash more."""
        name = event.engine.name
        probe = self.pending_probes.pop(name, None)
        if probe is None:
            return []
        known_incarnation = probe.incarnation
        if known_incarnation and known_incarnation != event.engine.incarnation:
            return self.count_crash(name, now)
        self.broken_runs.remove_engine(name)
        return []

    def handle_unreachable(
        self, event: events.UpstreamUnreachable, now: float
    ) -> list[str]:
        """Process that an upstream gave no report.

        Returns the fingerprints with one crash more. Only a refused connection
        proves that the upstream has ended.
        """
        if not event.refused or event.name not in self.pending_probes:
            return []
        del self.pending_probes[event.name]
        return self.count_crash(event.name, now)

    def schedule_probe(
        self, event: events.UpstreamUnreachable, now: float
    ) -> list[actions.Action]:
        """Return the timer of the next probe, if one is to follow."""
        probe = self.pending_probes.get(event.name)
        if probe is None or probe.probe_count >= broken_runs.MAX_PROBES:
            return []
        timer = f'{PROBE_TIMER}:{event.name}'
        return [actions.SetTimer(timer, now + broken_runs.PROBE_RETRY_SECONDS)]

    def repeat_probe(self, name: str) -> list[actions.Action]:
        """Probe an upstream again that did not answer."""
        probe = self.pending_probes.get(name)
        if probe is None or probe.probe_count >= broken_runs.MAX_PROBES:
            return []
        probe.probe_count += 1
        return [actions.ProbeUpstream(probe.upstream)]

    def count_crash(self, name: str, now: float) -> list[str]:
        """Count the crash of an upstream; return the affected fingerprints."""
        runs = self.broken_runs.pop_broken_runs(name, now)
        counted = broken_runs.count_crashes(runs, self.records, now)
        self.trials.end(counted)
        return counted

    def record_survival(
        self, request: fingerprints.ProductRequest, now: float
    ) -> None:
        """Record that an upstream ran a request to its end."""
        if self.records.histories:
            self.records.record_survival(
                fingerprints.for_product_request(request), now, now
            )

    def record_progress(
        self,
        request: requests.GenerationRequest,
        attempt: attempts.Attempt,
        now: float,
    ) -> None:
        """Record that tokens of an attempt have arrived.

        The parts of the prompt are cleared once a crash would not be an early
        one any more.
        """
        attempt.progressed_at = min(attempt.progressed_at, now)
        outlived_at = attempt.progressed_at + crash_records.EARLY_CRASH_SECONDS
        if not attempt.has_survived and now >= outlived_at:
            attempt.has_survived = True
            self.record_sound_parts(request, now)

    def record_completion(
        self, request: requests.GenerationRequest, now: float
    ) -> None:
        """Record that an upstream ran an attempt to its end."""
        self.record_survival(request, now)
        self.record_sound_parts(request, now)

    def record_sound_parts(
        self, request: requests.GenerationRequest, now: float
    ) -> None:
        """Record that an upstream has survived the parts of a prompt."""
        parts = fingerprints.for_shared_parts(
            request.shared_parts, request.service
        )
        self.trials.end(parts)
        for part in parts:
            self.records.record_survival(part, now, now)

    def forget_expired(self, now: float) -> None:
        """Drop broken runs and probes that were never resolved."""
        self.broken_runs.forget_expired(now)
        for name in (
            self.pending_probes.keys() - self.broken_runs.by_engine.keys()
        ):
            del self.pending_probes[name]

    def merge_reports(
        self, reports: tuple[crash_state.CrashReport, ...], now: float
    ) -> list[str]:
        """Merge reports of others; return the newly blocked fingerprints."""
        return [
            report.fingerprint
            for report in reports
            if self.records.merge_report(report, now)
        ]

    def sorted_suspects(self) -> tuple[crash_state.SuspectRequest, ...]:
        """Return the suspected requests, those with most crashes first."""
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
    suspects: tuple[crash_state.SuspectRequest, ...],
    now: float,
    *,
    include_all: bool,
) -> tuple[crash_state.CrashReport, ...]:
    """Return the crash reports for a heartbeat, most crashes first."""
    selected = [
        suspect
        for suspect in suspects
        if include_all or now < suspect.changed_at + report_seconds(suspect)
    ]
    return tuple(
        crash_state.build_crash_report(suspect, now)
        for suspect in selected[:MAX_REPORTS_PER_HEARTBEAT]
    )


def report_seconds(suspect: crash_state.SuspectRequest) -> float:
    """Return for how many seconds a suspected request is reported."""
    is_single = len(suspect.crashes) == 1
    return REPORT_SINGLE_CRASH_SECONDS if is_single else REPORT_SECONDS
