"""Finds the relayed requests that crash engines, and blocks them.

A run that breaks off after it has begun makes its engine suspect. The engine
is checked, and if it has ended, that counts against the request. Meanwhile the
request continues elsewhere, unless one more crash would block it: then it
waits for the result of the check, which takes milliseconds.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.sharing import broken_runs
from greengagelb.coordination.sharing import crash_blame
from greengagelb.coordination.sharing import crash_records
from greengagelb.coordination.sharing import trials
from greengagelb.state import crashes as crash_state
from greengagelb.state.relay import engines
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints

# The least time between two queries for the reports of other instances.
PEER_QUERY_INTERVAL_SECONDS = 0.5

Action = relay_actions.RelayAction
EndOfAnswer = relay_events.StreamComplete | relay_events.AnswerComplete


# How often the engine of a kept answer is checked after MAX_PROBES.
KEPT_ANSWER_CHECK_SECONDS = 0.25
# How often an engine that gives no answer is checked after MAX_PROBES.
SILENT_ENGINE_CHECK_SECONDS = 1.0
# Timers of repeated checks, by the engine's life.
RECHECK_TIMER = 'relay-ask-suspect'


@dataclasses.dataclass(slots=True)
class EngineCheck:
    """A check in progress whether an engine has ended.

    ``requests_awaiting_check`` has the numbers of the exchange and the send of
    each run whose request waits for the result, ``ended_answers`` the answers
    that are complete only if the engine lives.
    """

    entry: engines.EngineEntry
    attempts: int = 1
    requests_awaiting_check: list[tuple[int, exchanges.InFlightSend]] = (
        dataclasses.field(default_factory=list)
    )
    ended_answers: list[EndOfAnswer] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """What a crash counts against, and the requests to resume.

    ``blocked`` are those of the ``counted_fingerprints`` that are blocked,
    ``newly_blocked`` those that were not before. ``request_ids`` are those of
    the requests that the engine had begun,
    ``ends_of_answers`` what the answers that waited for the check have become,
    ``undecided_answers`` those whose engine has not answered. It is checked
    again at ``next_check_at``, if any.
    """

    counted_fingerprints: tuple[str, ...] = ()
    blocked: tuple[str, ...] = ()
    newly_blocked: tuple[str, ...] = ()
    request_ids: tuple[str, ...] = ()
    requests_awaiting_check: tuple[
        tuple[int, exchanges.InFlightSend], ...
    ] = ()
    ends_of_answers: tuple[EndOfAnswer | relay_events.SendFailed, ...] = ()
    undecided_answers: tuple[EndOfAnswer, ...] = ()
    next_check_at: float | None = None


class CrashWatch:
    """What this instance knows of requests that crash engines.

    Invariant: each engine life in ``checks`` has one check in progress.
    """

    def __init__(self) -> None:
        self.records = crash_records.CrashRecords()
        self.broken_runs = broken_runs.BrokenRuns()
        self.checks: dict[str, EngineCheck] = {}
        self.trials = trials.Trials()
        self.next_peer_query_at = float('-inf')

    def judge(
        self, exchange: exchanges.Exchange, now: float
    ) -> crash_blame.Verdict:
        """Return the verdict on a request by the known crashes."""
        if not self.records.histories:
            return crash_blame.NOT_BLAMED
        return crash_blame.CrashBlame(self.records).judge(exchange.causes, now)

    def is_blocked(self, exchange: exchanges.Exchange, now: float) -> bool:
        """Return whether a request must not be sent any more."""
        return isinstance(self.judge(exchange, now), crash_blame.Blocked)

    def suspect_engine(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        began_at: float,
        now: float,
        *,
        has_begun: bool = True,
    ) -> list[Action]:
        """Suspect the engine of a run that broke off; have it checked.

        An engine that has lived on after it began to write has survived the
        parts of the prompt, but the request may crash it at any time.
        """
        life = sent.entry.life
        fingerprints = exchange.causes.fingerprints
        if sent.has_survived:
            fingerprints = (exchange.causes.request,)
        broken_run = broken_runs.BrokenRun(
            fingerprints,
            life,
            began_at,
            now,
            exchange.request.request_id,
            sent.entry.data_centre,
            has_begun,
        )
        self.broken_runs.forget_expired(now)
        self.broken_runs.add(life, broken_run)
        if life in self.checks:
            return []
        self.checks[life] = EngineCheck(sent.entry)
        return [relay_actions.CheckEngine(sent.entry)]

    def hold_ended_answer(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: EndOfAnswer,
        now: float,
    ) -> list[Action]:
        """Hold the end of an answer until its engine was checked.

        The connections of a process that dies are closed in good order, too.
        """
        began_at = sent.answered_at if sent.head else sent.began_at
        resulting = self.suspect_engine(exchange, sent, began_at, now)
        self.checks[sent.entry.life].ended_answers.append(event)
        return resulting

    def check_that_may_block(
        self, exchange: exchanges.Exchange, now: float
    ) -> str | None:
        """Return the engine life whose check may block a request, or None.

        The request would be blocked should all its engines under check turn
        out to have ended.
        """
        lives_under_check = [
            life
            for fingerprint in exchange.causes.fingerprints
            for life in self.broken_runs.suspected_crashes(fingerprint)
            if self.is_answer_expected(life)
        ]
        if not lives_under_check:
            return None
        blame = crash_blame.CrashBlame(
            self.records, self.broken_runs.suspected
        )
        verdict = blame.judge(exchange.causes, now)
        if not isinstance(verdict, crash_blame.Blocked):
            return None
        return lives_under_check[-1]

    def hold_until_checked(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> bool:
        """Hold a request that the checks in progress may block.

        Returns whether it is held.
        """
        life = self.check_that_may_block(exchange, now)
        if life is None:
            return False
        self.checks[life].requests_awaiting_check.append(
            (exchange.number, sent)
        )
        return True

    def handle_check(
        self, event: relay_events.EngineChecked, now: float
    ) -> CheckResult | actions.SetTimer:
        """Apply the result of a check, or have it repeated."""
        life = event.entry.life
        check = self.checks.get(life)
        if event.fate is relay_events.EngineFate.UNKNOWN and (
            check is not None and check.attempts < broken_runs.MAX_PROBES
        ):
            again_at = now + broken_runs.PROBE_RETRY_SECONDS
            return actions.SetTimer(f'{RECHECK_TIMER}:{life}', again_at)
        if event.fate is relay_events.EngineFate.UNKNOWN and (
            check is not None and self.broken_runs.has_recent(life, now)
        ):
            return self.go_on_checking(check, now)
        self.checks.pop(life, None)
        suspected_runs = self.broken_runs.pop_broken_runs(life, now)
        if event.fate is not relay_events.EngineFate.ENDED:
            suspected_runs = []
        blocked_before = {
            fingerprint
            for run in suspected_runs
            for fingerprint in run.fingerprints
            if self.records.is_blocked(fingerprint, now)
        }
        counted_fingerprints = broken_runs.count_crashes(
            suspected_runs, self.records, now
        )
        blocked = [
            fingerprint
            for fingerprint in counted_fingerprints
            if self.records.is_blocked(fingerprint, now)
        ]
        if check is None:
            check = EngineCheck(event.entry)
        return CheckResult(
            tuple(counted_fingerprints),
            tuple(blocked),
            tuple(f for f in blocked if f not in blocked_before),
            tuple(run.request_id for run in suspected_runs),
            tuple(check.requests_awaiting_check),
            *decide_ends(check.ended_answers, event.fate),
        )

    def is_answer_expected(self, life: str) -> bool:
        """Return whether the check of an engine is likely to be answered."""
        check = self.checks.get(life)
        return check is not None and check.attempts < broken_runs.MAX_PROBES

    def go_on_checking(self, check: EngineCheck, now: float) -> CheckResult:
        """Release what waits for the check of an engine, and repeat it.

        An engine that has ended may refuse connections, or have a successor,
        only later.
        """
        self.checks[check.entry.life] = EngineCheck(
            check.entry, check.attempts
        )
        interval = (
            KEPT_ANSWER_CHECK_SECONDS
            if check.ended_answers
            else SILENT_ENGINE_CHECK_SECONDS
        )
        return CheckResult(
            requests_awaiting_check=tuple(check.requests_awaiting_check),
            undecided_answers=tuple(check.ended_answers),
            next_check_at=now + interval,
        )

    def keep_answers(
        self,
        entry: engines.EngineEntry,
        kept: tuple[EndOfAnswer, ...],
        now: float,
    ) -> list[Action]:
        """Go on checking the engine of answers that nothing can replace."""
        if not kept:
            return []
        check = self.checks.get(entry.life)
        if check is not None:
            check.ended_answers.extend(kept)
            return []
        self.checks[entry.life] = EngineCheck(
            entry, broken_runs.MAX_PROBES, ended_answers=list(kept)
        )
        again_at = now + KEPT_ANSWER_CHECK_SECONDS
        return [actions.SetTimer(f'{RECHECK_TIMER}:{entry.life}', again_at)]

    def check_again(self, life: str) -> list[Action]:
        """Repeat the check of an engine that gave no answer."""
        check = self.checks.get(life)
        if check is None:
            return []
        check.attempts += 1
        return [relay_actions.CheckEngine(check.entry)]

    def note_survival(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[hints.Hint]:
        """Note that an engine ran a request to its end.

        Returns the hints for the other instances.
        """
        return self.note_survivals((exchange.causes.request,), now)

    def note_progress(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[hints.Hint]:
        """Note that an engine has written an event of an answer.

        The parts of the prompt are cleared once a crash would not be an early
        one any more. Returns the hints for the other instances.
        """
        outlived_at = sent.answered_at + crash_records.EARLY_CRASH_SECONDS
        if sent.has_survived or now < outlived_at:
            return []
        sent.has_survived = True
        return self.note_sound_parts(exchange, now)

    def note_sound_parts(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[hints.Hint]:
        """Note that an engine has survived the parts of a prompt.

        Returns the hints for the other instances.
        """
        self.trials.end(exchange.causes.parts)
        return self.note_survivals(exchange.causes.parts, now)

    def note_survivals(
        self, fingerprints: tuple[str, ...], now: float
    ) -> list[hints.Hint]:
        """Note what an engine has survived; return hints of what cleared."""
        cleared = [
            fingerprint
            for fingerprint in fingerprints
            if self.records.record_survival(fingerprint, now, now)
        ]
        for fingerprint in cleared:
            self.records.note_survival_told(fingerprint, now)
        return [self.records.build_report(f, now) for f in cleared]

    def should_query_peer(self, digest: int, now: float) -> bool:
        """Return whether to ask an instance for its reports."""
        if digest == self.records.digest() or now < self.next_peer_query_at:
            return False
        self.next_peer_query_at = now + PEER_QUERY_INTERVAL_SECONDS
        return True

    def known_reports(self, now: float) -> list[crash_state.CrashReport]:
        """Return the reports for an instance that asks."""
        fingerprints = [
            *self.records.worst_fingerprints(),
            *self.records.cleared_fingerprints(),
        ]
        return [
            self.records.build_report(fingerprint, now)
            for fingerprint in fingerprints
        ]


def decide_ends(
    ended: list[EndOfAnswer], fate: relay_events.EngineFate
) -> tuple[tuple, tuple]:
    """Return what ended answers have become, and those left undecided."""
    if fate is relay_events.EngineFate.UNKNOWN:
        return (), tuple(ended)
    return tuple(decide_end(answer, fate) for answer in ended), ()


def decide_end(
    event: EndOfAnswer, fate: relay_events.EngineFate
) -> EndOfAnswer | relay_events.SendFailed:
    """Return what the end of an answer was, from the fate of its engine."""
    if fate is relay_events.EngineFate.ALIVE:
        return dataclasses.replace(event, ended_by_close=False)
    detail = f'connection closed, engine {fate.value}'
    return relay_events.SendFailed(event.exchange, event.send, True, detail)
