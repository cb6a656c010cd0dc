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
ASK_PEERS_SECONDS = 0.5

Action = relay_actions.RelayAction


# Timers of questions that are asked again, by the engine's life.
ASK_TIMER = 'relay-ask-suspect'


@dataclasses.dataclass(slots=True)
class Question:
    """An engine is asked whether it has ended.

    ``held`` are the runs whose requests wait for the answer.
    """

    entry: engines.EngineEntry
    asked: int = 1
    held: list[tuple[int, exchanges.Sent]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What an answer leads to: requests that count now, and who may go on."""

    counted: tuple[str, ...]
    held: tuple[tuple[int, exchanges.Sent], ...]


class CrashWatch:
    """What this instance knows of requests that crash engines.

    Invariant: each engine in ``questions`` has one question under way.
    """

    def __init__(self) -> None:
        self.records = crash_records.CrashRecords()
        self.suspicions = suspicions.Suspicions()
        self.questions: dict[str, Question] = {}
        self.ask_peers_at = float('-inf')

    def blocks(self, exchange: exchanges.Exchange, now: float) -> bool:
        """Return whether a request must not be sent any more."""
        return self.records.is_blocked(exchange.fingerprint, now)

    # -- runs that broke off ------------------------------------------------

    def broke_off(
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
        if life in self.questions:
            return []
        self.questions[life] = Question(sent.entry)
        return [relay_actions.CheckEngine(sent.entry)]

    def holds(
        self, exchange: exchanges.Exchange, sent: exchanges.Sent, now: float
    ) -> bool:
        """Return whether a request has to wait for what its engines did.

        It does if it must run no more should those that are asked have ended.
        """
        suspected = self.suspicions.suspected_crashes(exchange.fingerprint)
        asked = [life for life in suspected if life in self.questions]
        if not asked:
            return False
        if not self.records.would_be_blocked(
            exchange.fingerprint, suspected, now
        ):
            return False
        self.questions[asked[-1]].held.append((exchange.number, sent))
        return True

    def checked(
        self, event: relay_events.EngineChecked, now: float
    ) -> Verdict | actions.SetTimer:
        """Take in what has become of an engine, or have it asked again."""
        life = event.entry.life
        question = self.questions.get(life)
        if event.fate is relay_events.EngineFate.UNKNOWN and (
            question is not None and question.asked < suspicions.MAX_PROBES
        ):
            again_at = now + suspicions.PROBE_RETRY_SECONDS
            return actions.SetTimer(f'{ASK_TIMER}:{life}', again_at)
        self.questions.pop(life, None)
        found = self.suspicions.pop_suspicions(life, now)
        if event.fate is not relay_events.EngineFate.ENDED:
            found = []
        counted = suspicions.count_crashes(found, self.records, now)
        held = question.held if question is not None else []
        return Verdict(tuple(counted), tuple(held))

    def ask_again(self, life: str) -> list[Action]:
        """Ask an engine once more that gave no answer."""
        question = self.questions.get(life)
        if question is None:
            return []
        question.asked += 1
        return [relay_actions.CheckEngine(question.entry)]

    def survived(
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

    def differs(self, digest: int, now: float) -> bool:
        """Return whether to ask an instance for what it knows."""
        if digest == self.records.digest() or now < self.ask_peers_at:
            return False
        self.ask_peers_at = now + ASK_PEERS_SECONDS
        return True

    def reports(self, now: float) -> list[crash_state.CrashReport]:
        """Return what an instance is told that asks."""
        names = [
            *self.records.worst_fingerprints(),
            *self.records.cleared_fingerprints(),
        ]
        return [self.records.build_report(name, now) for name in names]
