"""Finds out which relayed requests crash engines, and has them run no more.

A run that breaks off after it has begun makes its engine suspect; the engine
is asked, and if it has ended that counts against the request. The request
goes on elsewhere meanwhile, unless one more crash would be the last one: then
it waits for the answer, which takes milliseconds.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.sharing import crash_records
from greengagelb.coordination.sharing import suspicions
from greengagelb.state import crashes as crash_state
from greengagelb.state.relay import engines
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints

# How often what others know is asked for, in seconds.
PEER_QUERY_INTERVAL_SECONDS = 0.5

Action = relay_actions.RelayAction


# Timers of questions that are asked again, by the engine's life.
RECHECK_TIMER = 'relay-ask-suspect'


@dataclasses.dataclass(slots=True)
class EngineCheck:
    """An engine is asked whether it has ended.

    ``held`` are the runs whose requests wait for the answer.
    """

    entry: engines.EngineEntry
    attempts: int = 1
    held_runs: list[tuple[int, exchanges.Sent]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """What an answer leads to: requests that count now, and who may go on."""

    counted_fingerprints: tuple[str, ...]
    held_runs: tuple[tuple[int, exchanges.Sent], ...]


class CrashWatch:
    """What this instance knows of requests that crash engines.

    Invariant: each engine in ``questions`` has one question under way.
    """

    def __init__(self) -> None:
        self.records = crash_records.CrashRecords()
        self.suspicions = suspicions.Suspicions()
        self.checks: dict[str, EngineCheck] = {}
        self.next_peer_query_at = float('-inf')

    def is_blocked(self, exchange: exchanges.Exchange, now: float) -> bool:
        """Return whether a request must not be sent any more."""
        return self.records.is_blocked(exchange.fingerprint, now)

    # -- runs that broke off ------------------------------------------------

    def suspect_engine(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.Sent,
        began_at: float,
        now: float,
    ) -> list[Action]:
        """Suspect the engine of a run that had begun; have it asked."""
        life = sent.entry.life
        suspicion = suspicions.Suspicion(
            exchange.fingerprint, life, began_at, now
        )
        self.suspicions.forget_expired(now)
        self.suspicions.add(life, suspicion)
        if life in self.checks:
            return []
        self.checks[life] = EngineCheck(sent.entry)
        return [relay_actions.CheckEngine(sent.entry)]

    def hold_until_checked(
        self, exchange: exchanges.Exchange, sent: exchanges.Sent, now: float
    ) -> bool:
        """Return whether a request has to wait for what its engines did.

        It does if it must run no more should those that are asked have ended.
        """
        suspected_lives = self.suspicions.suspected_crashes(
            exchange.fingerprint
        )
        lives_under_check = [
            life for life in suspected_lives if life in self.checks
        ]
        if not lives_under_check:
            return False
        if not self.records.would_be_blocked(
            exchange.fingerprint, suspected_lives, now
        ):
            return False
        self.checks[lives_under_check[-1]].held_runs.append(
            (exchange.number, sent)
        )
        return True

    def handle_check(
        self, event: relay_events.EngineChecked, now: float
    ) -> CheckResult | actions.SetTimer:
        """Take in what has become of an engine, or have it asked again."""
        life = event.entry.life
        check = self.checks.get(life)
        if event.fate is relay_events.EngineFate.UNKNOWN and (
            check is not None and check.attempts < suspicions.MAX_PROBES
        ):
            again_at = now + suspicions.PROBE_RETRY_SECONDS
            return actions.SetTimer(f'{RECHECK_TIMER}:{life}', again_at)
        self.checks.pop(life, None)
        suspected_runs = self.suspicions.pop_suspicions(life, now)
        if event.fate is not relay_events.EngineFate.ENDED:
            suspected_runs = []
        counted_fingerprints = suspicions.count_crashes(
            suspected_runs, self.records, now
        )
        held_runs = check.held_runs if check is not None else []
        return CheckResult(tuple(counted_fingerprints), tuple(held_runs))

    def check_again(self, life: str) -> list[Action]:
        """Ask an engine once more that gave no answer."""
        check = self.checks.get(life)
        if check is None:
            return []
        check.attempts += 1
        return [relay_actions.CheckEngine(check.entry)]

    def note_survival(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[hints.Hint]:
        """Note that an engine ran a request to its end.

        Returns what the others have to know.
        """
        fingerprint = exchange.fingerprint
        if not self.records.record_survival(fingerprint, now, now):
            return []
        return [self.records.build_report(fingerprint, now)]

    # -- other instances ----------------------------------------------------

    def should_query_peer(self, digest: int, now: float) -> bool:
        """Return whether to ask an instance for what it knows."""
        if digest == self.records.digest() or now < self.next_peer_query_at:
            return False
        self.next_peer_query_at = now + PEER_QUERY_INTERVAL_SECONDS
        return True

    def known_reports(self, now: float) -> list[crash_state.CrashReport]:
        """Return what an instance is told that asks."""
        fingerprints = [
            *self.records.worst_fingerprints(),
            *self.records.cleared_fingerprints(),
        ]
        return [
            self.records.build_report(fingerprint, now)
            for fingerprint in fingerprints
        ]
