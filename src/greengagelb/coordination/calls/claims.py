"""Claims requests that may not be repeated, before they are dispatched.

Instances share nothing but the platform's table service. Whoever gets the
row of (client account, idempotency key) written, on top of the version it
expected, is the holder, and only the holder dispatches. Nothing lapses: a
holder that was paused is still the only one who may, and one that is gone
leaves its row taken for good, since nobody can tell how far it came.

What the caller is told rests on who holds the row:

* the holder that did not dispatch says "not run" and gives the row up, so
  that a later retry may take it over;
* everybody else says "outcome unknown", for a twin of the request may run
  or have run elsewhere. The one exception is a request that its caller has
  marked as the first send of its key: no twin of it was sent before.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
import itertools
import random

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.sharing import fingerprints
from greengagelb.coordination.sharing import retry_budget
from greengagelb.state import claims
from greengagelb.state import configuration as configuration_state
from greengagelb.state import identity
from greengagelb.state import requests

DEADLINE_TIMER = 'claim-deadline'
SETTLE_TIMER = 'claim-settle'
MAX_CLAIM_TRIES = 2
SETTLE_RETRY_DELAY_SECONDS = 0.5
SETTLE_TIMEOUT_SECONDS = 30.0
MAX_KEPT_BODY_BYTES = 16 << 10
GENERATION_STATUS = 200

Claimable = requests.CallRequest | requests.GenerationRequest


@dataclasses.dataclass(slots=True)
class Claim:
    """One holder's part in a claim.

    ``record`` is what the row should say next and ``version`` the version
    that it is to be written on. ``writing`` is the write under way; there is
    never more than one. ``may_be_written`` is false as long as it is certain
    that the table service has nothing of this holder.
    """

    request: Claimable
    key: str
    record: claims.ClaimRecord
    phase: claims.ClaimPhase = claims.ClaimPhase.CLAIMING
    version: int = 0
    pending_write: claims.ClaimRecord | None = None
    tries: int = 0
    may_be_written: bool = False
    was_held: bool = False
    settle_deadline: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimStep:
    """What an event about a claim leads to.

    ``granted`` is the request that its holder may dispatch now, once.
    """

    actions: list[actions.Action]
    granted_request: Claimable | None = None


def claim_key(request: identity.RequestId) -> str:
    """Return the key of a request's claim row.

    Both parts are hashed apart: joined as they are, ``a/b`` and ``c`` would
    share a row with ``a`` and ``b/c``, and one account's charge would keep
    another account's from running.
    """
    return f'{text_digest(request.account)}.{text_digest(request.request)}'


def text_digest(text: str) -> str:
    """Return a short digest of a text of any length."""
    encoded = text.encode('utf-8', 'surrogatepass')
    return hashlib.blake2b(encoded, digest_size=16).hexdigest()


def content_digest(request: Claimable) -> str:
    """Return the digest of what a request asks for."""
    return fingerprints.digest_parts(fingerprints.content_parts(request))


class ClaimSupervisor:
    """All claims of this instance that are not settled yet.

    Invariant: a holder has at most one write under way, is granted at most
    once, and never after the final answer of its exchange.
    """

    def __init__(self, incarnation: str, rng: random.Random) -> None:
        self.incarnation = incarnation
        self.retry_advice = retry_budget.RetryAdvice(rng)
        self.claim_by_holder: dict[str, Claim] = {}
        self.holder_by_exchange: dict[int, str] = {}
        self.holder_numbers = itertools.count(1)

    # -- claiming -----------------------------------------------------------

    def start_claim(self, request: Claimable) -> list[actions.Action]:
        """Try to become the holder of a request's row."""
        holder = f'{self.incarnation}.{next(self.holder_numbers)}'
        record = claims.ClaimRecord(
            holder, claims.ClaimStage.CLAIMED, content_digest(request)
        )
        claim = Claim(request, claim_key(request.request), record)
        self.claim_by_holder[holder] = claim
        self.holder_by_exchange[request.exchange] = holder
        timer = f'{DEADLINE_TIMER}:{request.exchange}'
        return [
            actions.SetTimer(timer, request.deadline),
            self.write_claim(claim),
        ]

    def write_claim(self, claim: Claim) -> actions.WriteClaim:
        """Return the write of what the row should say next."""
        if claim.pending_write is not None:
            raise errors.InvariantViolated('two writes of one claim at once')
        claim.pending_write = claim.record
        return actions.WriteClaim(
            claim.record.holder,
            claim.key,
            claim.version,
            claim.record,
            claim.request.request.account,
        )

    def handle_write_result(
        self,
        event: events.ClaimWritten
        | events.ClaimConflicted
        | events.ClaimWriteFailed,
        now: float,
    ) -> ClaimStep:
        """Handle the answer to a write, or that there is none."""
        claim = self.claim_by_holder.get(event.holder)
        if claim is None or claim.pending_write is None:
            return ClaimStep([])
        written_record, claim.pending_write = claim.pending_write, None
        match event:
            case events.ClaimWritten(version=version):
                return self.handle_owned_row(
                    claim, version, written_record, now
                )
            case events.ClaimConflicted(row=row):
                if row.record.holder == claim.record.holder:
                    return self.handle_owned_row(
                        claim, row.version, row.record, now
                    )
                return ClaimStep(self.handle_foreign_row(claim, row, now))
            case events.ClaimWriteFailed(handed_over=handed_over):
                return ClaimStep(
                    self.handle_write_failure(claim, handed_over, now)
                )

    def handle_owned_row(
        self,
        claim: Claim,
        version: int,
        found_record: claims.ClaimRecord,
        now: float,
    ) -> ClaimStep:
        """Go on as the owner of a row that says ``found``."""
        self.retry_advice.record_success()
        claim.version = version
        claim.may_be_written = True
        match claim.phase:
            case claims.ClaimPhase.HELD:
                raise errors.InvariantViolated('a held claim was granted')
            case claims.ClaimPhase.SETTLING:
                if found_record.stage is claim.record.stage:
                    return ClaimStep(self.forget_claim(claim))
                return ClaimStep([self.write_claim(claim)])
        if now >= claim.request.deadline:
            # A holder that was paused reads the answer to its write before
            # its own deadline timer fires. Nobody waits for the call then.
            return ClaimStep(
                self.give_up_claim(
                    claim, 'deadline-passed', requests.Ran.NO, now
                )
            )
        claim.phase = claims.ClaimPhase.HELD
        claim.was_held = True
        timer = f'{DEADLINE_TIMER}:{claim.request.exchange}'
        return ClaimStep([actions.ClearTimer(timer)], claim.request)

    def handle_foreign_row(
        self, claim: Claim, row: claims.ClaimRow, now: float
    ) -> list[actions.Action]:
        """Give the answer of the row's holder, as far as it is known.

        While settling there is nothing left to do: versions only grow, so no
        delayed write of this holder can take effect on this row any more.
        """
        self.retry_advice.record_success()
        if claim.phase is claims.ClaimPhase.SETTLING:
            return self.report_overwritten_claim(
                claim, row
            ) + self.forget_claim(claim)
        record = row.record
        exchange = claim.request.exchange
        if record.stage is claims.ClaimStage.RELEASED:
            claim.version = row.version
            return [self.write_claim(claim)]
        if record.content != claim.record.content:
            return self.refuse_request(
                claim, 'idempotency-key-reused', requests.Ran.UNKNOWN, None
            )
        if record.stage is claims.ClaimStage.CLAIMED:
            wait_seconds = self.retry_advice.add_jitter(
                retry_budget.BASE_BACKOFF_SECONDS
            )
            return self.refuse_request(
                claim,
                'twin-outcome-unknown',
                requests.Ran.UNKNOWN,
                wait_seconds,
            )
        if not record.body_kept:
            return self.refuse_request(
                claim, 'answer-not-kept', requests.Ran.YES, None
            )
        answer = actions.SendAnswer(exchange, record.status, record.body)
        return [answer, *self.forget_claim(claim)]

    def report_overwritten_claim(
        self, claim: Claim, row: claims.ClaimRow
    ) -> list[actions.Action]:
        """Report a row that was taken from a holder that kept it.

        Nothing in here does that. It happens when rows are deleted too early
        or the store is restored from an old copy, and shows only here: the
        request may then have run twice.
        """
        if not claim.was_held:
            return []
        return [self.record(claim, 'claim-overwritten', row.record.holder)]

    def handle_write_failure(
        self, claim: Claim, handed_over: bool, now: float
    ) -> list[actions.Action]:
        """Write again, or give up at once where that promises nothing.

        The lost write may take effect at any time. Writing the same record
        on the same version again is harmless, and its answer tells whose the
        row is.
        """
        claim.may_be_written = claim.may_be_written or handed_over
        if claim.phase is claims.ClaimPhase.SETTLING:
            return self.retry_settlement(claim, now)
        claim.tries += 1
        is_in_time = now < claim.request.deadline
        if handed_over and is_in_time and claim.tries < MAX_CLAIM_TRIES:
            return [self.write_claim(claim)]
        return self.give_up_claim(
            claim,
            'platform-unavailable',
            unclaimed_outcome(claim.request),
            now,
        )

    def handle_timer(
        self, kind: str, timer_key: str, now: float
    ) -> list[actions.Action]:
        """Handle one of this object's timers."""
        if kind == SETTLE_TIMER:
            claim = self.claim_by_holder.get(timer_key)
            if claim is None or claim.pending_write is not None:
                return []
            return [self.write_claim(claim)]
        claim = self.find_pending_claim(int(timer_key))
        if claim is None:
            return []
        return self.give_up_claim(
            claim, 'deadline-passed', unclaimed_outcome(claim.request), now
        )

    def find_pending_claim(self, exchange: int) -> Claim | None:
        """Return the claim that an exchange waits for, if any."""
        claim = self.claim_by_holder.get(
            self.holder_by_exchange.get(exchange, '')
        )
        if claim is None or claim.phase is not claims.ClaimPhase.CLAIMING:
            return None
        return claim

    def handle_caller_gone(
        self, exchange: int, now: float
    ) -> list[actions.Action]:
        """Give up a claim that nobody waits for."""
        claim = self.find_pending_claim(exchange)
        if claim is None:
            return []
        return self.release_claim(claim, now)

    # -- ends ---------------------------------------------------------------

    def settle_answered_claims(
        self, planned: Iterable[actions.Action], now: float
    ) -> list[actions.Action]:
        """Settle the claims whose exchanges get their final answer here.

        A "not run" comes from a holder that did not dispatch, so its row is
        given up. After any other failure the row stays taken, unless the
        outcome comes in after all: the request may run even now, and a retry
        must not run it again.
        """
        settled: list[actions.Action] = []
        for action in planned:
            match action:
                case actions.SendAnswer(exchange, status, body):
                    settled += self.settle_with_answer(
                        exchange, status, body, now
                    )
                case actions.SendEnd(exchange):
                    settled += self.settle_with_answer(
                        exchange, GENERATION_STATUS, None, now
                    )
                case actions.SendFailure(exchange, failure):
                    settled += self.handle_failure(exchange, failure, now)
        return settled

    def find_held_claim(self, exchange: int) -> Claim | None:
        """Return the claim under which an exchange is served, if any."""
        claim = self.claim_by_holder.get(
            self.holder_by_exchange.get(exchange, '')
        )
        if claim is None or claim.phase is not claims.ClaimPhase.HELD:
            return None
        return claim

    def settle_with_answer(
        self, exchange: int, status: int, body: bytes | None, now: float
    ) -> list[actions.Action]:
        """Keep the answer for a retry that comes later."""
        claim = self.find_held_claim(exchange)
        if claim is None:
            return []
        is_kept = body is not None and len(body) <= MAX_KEPT_BODY_BYTES
        record = dataclasses.replace(
            claim.record,
            stage=claims.ClaimStage.DONE,
            status=status,
            body=body if is_kept and body is not None else b'',
            body_kept=is_kept,
        )
        return self.settle_claim(claim, record, now)

    def handle_failure(
        self, exchange: int, failure: requests.Failure, now: float
    ) -> list[actions.Action]:
        """Release the row of a request that provably did not run."""
        claim = self.find_held_claim(exchange)
        if claim is None:
            return []
        if failure.ran is requests.Ran.NO:
            return self.release_claim(claim, now)
        return []

    def release_unrun_request(
        self, exchange: int, now: float
    ) -> list[actions.Action]:
        """Release the row of a request that turned out not to have run."""
        claim = self.find_held_claim(exchange)
        return self.release_claim(claim, now) if claim is not None else []

    def leave_row_taken(self, exchange: int) -> None:
        """Forget a claim whose request ended without a final answer."""
        claim = self.find_held_claim(exchange)
        if claim is not None:
            self.forget_claim(claim)

    def give_up_claim(
        self,
        claim: Claim,
        code: str,
        ran: requests.Ran,
        now: float,
    ) -> list[actions.Action]:
        """Answer a caller whose request this holder won't dispatch."""
        wait_seconds = self.retry_advice.record_failure()
        failure = self.build_failure(claim, code, ran, wait_seconds)
        answer = actions.SendFailure(claim.request.exchange, failure)
        return [
            self.record(claim, 'claim-given-up', code),
            answer,
            *self.release_claim(claim, now),
        ]

    def refuse_request(
        self,
        claim: Claim,
        code: str,
        ran: requests.Ran,
        wait_seconds: float | None,
    ) -> list[actions.Action]:
        """Answer a caller whose row belongs to another holder."""
        failure = self.build_failure(claim, code, ran, wait_seconds)
        return [
            self.record(claim, 'claim-taken', code),
            actions.SendFailure(claim.request.exchange, failure),
            *self.forget_claim(claim),
        ]

    def build_failure(
        self,
        claim: Claim,
        code: str,
        ran: requests.Ran,
        wait_seconds: float | None,
    ) -> requests.Failure:
        """Return a final answer about a claim."""
        detail = f'service {claim.request.service}'
        return requests.Failure(code, ran, detail, wait_seconds)

    # -- settling -----------------------------------------------------------

    def release_claim(self, claim: Claim, now: float) -> list[actions.Action]:
        """Give the row up: this holder never dispatches from here on."""
        record = dataclasses.replace(
            claim.record, stage=claims.ClaimStage.RELEASED
        )
        return self.settle_claim(claim, record, now)

    def settle_claim(
        self, claim: Claim, record: claims.ClaimRecord, now: float
    ) -> list[actions.Action]:
        """Have the row say how the request ended.

        A write of the claim may still be on its way, and would leave the row
        taken by a holder that has given up. The settling write goes on top
        of the same version: whichever of the two comes first, the other one
        fails, and its conflict shows the row.
        """
        exchange = claim.request.exchange
        self.holder_by_exchange.pop(exchange, None)
        timer = actions.ClearTimer(f'{DEADLINE_TIMER}:{exchange}')
        claim.phase = claims.ClaimPhase.SETTLING
        claim.record = record
        claim.settle_deadline = now + SETTLE_TIMEOUT_SECONDS
        if claim.pending_write is not None:
            return [timer]
        if not claim.may_be_written:
            return [timer, *self.forget_claim(claim)]
        return [timer, self.write_claim(claim)]

    def retry_settlement(
        self, claim: Claim, now: float
    ) -> list[actions.Action]:
        """Write again after a while, unless it has taken too long."""
        if not claim.may_be_written:
            return self.forget_claim(claim)
        if now >= claim.settle_deadline:
            left_taken = self.record(claim, 'claim-left-taken', 'store away')
            return [left_taken, *self.forget_claim(claim)]
        wait_seconds = self.retry_advice.add_jitter(SETTLE_RETRY_DELAY_SECONDS)
        name = f'{SETTLE_TIMER}:{claim.record.holder}'
        return [actions.SetTimer(name, now + wait_seconds)]

    def forget_claim(self, claim: Claim) -> list[actions.Action]:
        """Drop a claim that needs nothing more from this holder."""
        exchange = claim.request.exchange
        self.claim_by_holder.pop(claim.record.holder, None)
        if self.holder_by_exchange.get(exchange) == claim.record.holder:
            del self.holder_by_exchange[exchange]
        return [
            actions.ClearTimer(f'{DEADLINE_TIMER}:{exchange}'),
            actions.ClearTimer(f'{SETTLE_TIMER}:{claim.record.holder}'),
        ]

    def record(self, claim: Claim, kind: str, reason: str) -> actions.Record:
        """Return a time line event about a claim."""
        return actions.Record(
            kind,
            reason,
            claim.request.request,
            attempt=claim.record.holder,
        )


def unclaimed_outcome(request: Claimable) -> requests.Ran:
    """Return what may be said of a request whose row nobody here holds.

    This instance has not run it. But the same request may have come in
    before, at an instance that dispatched it and died: "not run" would then
    make the owner of a cottage book, and pay, a second time.
    """
    if request.has_idempotency_key and not request.first_send:
        return requests.Ran.UNKNOWN
    return requests.Ran.NO


def with_known_outcome(
    failure: requests.Failure,
    request: Claimable,
    service: configuration_state.Service | None,
) -> requests.Failure:
    """Return a refusal that says "not run" only where that is known."""
    is_repeatable = service is None or service.idempotent
    if is_repeatable or failure.ran is not requests.Ran.NO:
        return failure
    return dataclasses.replace(failure, ran=unclaimed_outcome(request))
