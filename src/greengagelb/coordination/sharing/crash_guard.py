"""Has requests that crash engines run no more, by the product's own interface.

A try that broke off makes its upstream suspect. The upstream is asked for its
report; if nobody listens there, or it has started again since, the request
has crashed it.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.sharing import crashes
from greengagelb.coordination.sharing import fingerprints
from greengagelb.coordination.sharing import suspicions
from greengagelb.state import configuration as configuration_state
from greengagelb.state import crashes as crash_state

# The codes of what is answered to a request that crashes engines: when it
# comes, and after it has just had an engine.
NOT_RUN_CODE = 'request-crashes-engines'
RAN_CODE = 'engine-deaths-exceeded'
ASK_TIMER = 'ask-suspect'
# For how long others are told of a suspect after it was last news, in
# seconds, and for how long of one with a single crash: each request that was
# on the engine is one.
TELL_SECONDS = 30.0
TELL_ONE_SECONDS = 5.0
# The most suspects in a heartbeat.
MOST_IN_HEARTBEAT = 24


@dataclasses.dataclass(slots=True)
class Question:
    """An upstream with tries that broke off is asked whether it has ended.

    ``incarnation`` is as it was when these began.
    """

    upstream: configuration_state.Upstream
    incarnation: str
    asked: int = 1


class CrashGuard:
    """What this instance knows of requests that crash engines."""

    def __init__(self) -> None:
        self.records = crashes.CrashRecords()
        self.suspicions = suspicions.Suspicions()
        self.questions: dict[str, Question] = {}
        self.listed_changes = 0
        self.listed: tuple[crash_state.Suspect, ...] = ()

    # -- the verdict --------------------------------------------------------

    def blocked_until(
        self, request: fingerprints.OwnRequest, now: float
    ) -> float | None:
        """Return until when a request must not run, or None if it may."""
        if not self.records.histories:
            return None
        fingerprint = fingerprints.of_own(request)
        return self.records.blocked_until(fingerprint, now)

    def blocks(self, request: fingerprints.OwnRequest, now: float) -> bool:
        """Return whether a request must not run now."""
        return self.blocked_until(request, now) is not None

    def holds(self, request: fingerprints.OwnRequest, now: float) -> bool:
        """Return whether the crashes that are suspected would be enough."""
        if not self.suspicions.waiting:
            return False
        fingerprint = fingerprints.of_own(request)
        suspected = self.suspicions.crashes_of(fingerprint)
        if not suspected:
            return False
        return self.records.would_block(fingerprint, suspected, now)

    def must_not_run(
        self, request: fingerprints.OwnRequest, now: float
    ) -> bool:
        """Return whether a request crashes engines, or seems to."""
        return self.blocks(request, now) or self.holds(request, now)

    # -- what is seen here --------------------------------------------------

    def broke_off(
        self,
        request: fingerprints.OwnRequest,
        upstream: configuration_state.Upstream,
        incarnation: str,
        began_at: float,
        now: float,
    ) -> list[actions.Action]:
        """Suspect the upstream of a try that had begun; have it asked."""
        self.forget_old(now)
        name = upstream.name
        suspicion = suspicions.Suspicion(
            fingerprints.of_own(request),
            f'{name} {incarnation}',
            began_at,
            now,
        )
        is_first = self.suspicions.add(name, suspicion)
        if not is_first and name in self.questions:
            self.questions[name].incarnation = incarnation
            return []
        self.questions[name] = Question(upstream, incarnation)
        return [actions.ProbeUpstream(upstream)]

    def reported(
        self, event: events.UpstreamReported, now: float
    ) -> list[str]:
        """Take in a report; return the requests with one crash more."""
        name = event.engine.name
        question = self.questions.pop(name, None)
        if question is None:
            return []
        known = question.incarnation
        if known and known != event.engine.incarnation:
            return self.ended(name, now)
        self.suspicions.lives(name)
        return []

    def unreachable(
        self, event: events.UpstreamUnreachable, now: float
    ) -> list[str]:
        """Take in that an upstream gave no report; see ``reported``."""
        if not event.refused or event.name not in self.questions:
            return []
        del self.questions[event.name]
        return self.ended(event.name, now)

    def ask_again(
        self, event: events.UpstreamUnreachable, now: float
    ) -> list[actions.Action]:
        """Return the timer for the next question, if there is to be one."""
        question = self.questions.get(event.name)
        if question is None or question.asked >= suspicions.MOST_QUESTIONS:
            return []
        timer = f'{ASK_TIMER}:{event.name}'
        return [actions.SetTimer(timer, now + suspicions.ASK_AGAIN_SECONDS)]

    def ask_due(self, name: str) -> list[actions.Action]:
        """Ask an upstream again that did not answer."""
        question = self.questions.get(name)
        if question is None or question.asked >= suspicions.MOST_QUESTIONS:
            return []
        question.asked += 1
        return [actions.ProbeUpstream(question.upstream)]

    def ended(self, name: str, now: float) -> list[str]:
        """Count the crash of an upstream; return what it counts against."""
        found = self.suspicions.ended(name, now)
        return suspicions.count(found, self.records, now)

    def survived(self, request: fingerprints.OwnRequest, now: float) -> None:
        """Note that an upstream ran a request to its end."""
        if self.records.histories:
            self.records.survived(fingerprints.of_own(request), now, now)

    def forget_old(self, now: float) -> None:
        """Forget upstreams that never showed what became of them."""
        self.suspicions.forget_old(now)
        for name in self.questions.keys() - self.suspicions.waiting.keys():
            del self.questions[name]

    # -- other instances ----------------------------------------------------

    def told(
        self, reports: tuple[crash_state.CrashReport, ...], now: float
    ) -> list[str]:
        """Take in what others know; return what must not run from now on."""
        return [
            report.fingerprint
            for report in reports
            if self.records.told(report, now)
        ]

    def suspects(self) -> tuple[crash_state.Suspect, ...]:
        """Return the suspects that others are told of, the worst first."""
        if self.listed_changes == self.records.changes:
            return self.listed
        self.listed_changes = self.records.changes
        names = sorted(
            self.records.histories,
            key=lambda name: -len(self.records.histories[name].crashes),
        )
        self.listed = tuple(self.records.suspect(name) for name in names)
        return self.listed


def reports_of(
    suspects: tuple[crash_state.Suspect, ...], now: float, *, whole: bool
) -> tuple[crash_state.CrashReport, ...]:
    """Return what a heartbeat tells of suspects, the worst first."""
    told = [
        suspect
        for suspect in suspects
        if whole or now < suspect.changed_at + tell_seconds(suspect)
    ]
    return tuple(
        crash_state.report_on(suspect, now)
        for suspect in told[:MOST_IN_HEARTBEAT]
    )


def tell_seconds(suspect: crash_state.Suspect) -> float:
    """Return for how long a suspect is told of."""
    one = len(suspect.crashes) == 1
    return TELL_ONE_SECONDS if one else TELL_SECONDS
