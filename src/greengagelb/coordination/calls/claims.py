"""Claims non-idempotent requests before they are dispatched.

Instances share only the platform's table service. The holder of a claim is
whoever wrote the row of (client account, idempotency key) by a conditional
write on the version it expected; only the holder dispatches. Claims do not
expire: a paused holder remains the only one that may dispatch, and a dead
holder's row stays taken for good, since its progress can't be known.

The answer to the caller depends on who holds the row:

* a holder that did not dispatch answers "not run" and releases the row, so
  that a later retry may claim it;
* any other instance answers "outcome unknown", because the same request may
  be running or have run elsewhere. The exception is a request marked by its
  caller as the first send of its key, which can't have run before.
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
    """One holder's state of a claim.

    ``record`` is the next content of the row and ``version`` the row version
    that the write expects. ``pending_write`` is the record being written;
    there is at most one write at a time. ``may_be_written`` is false as long
    as the table service certainly has no write of this holder.
    ``settle_deadline`` (monotonic seconds) ends the retries of settling.
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
    """The outcome of an event about a claim.

    ``granted_request`` is the request that the holder may now dispatch once.
    """

    actions: list[actions.Action]
    granted_request: Claimable | None = None


def claim_key(request: identity.RequestId) -> str:
    """Return the key of a request's claim row.

    Both parts are hashed separately. If they were just joined, ``a/b`` and
    ``c`` would share a row with ``a`` and ``b/c``, and one account's charge
    would prevent another account's from running.
    """
    return f'{text_digest(request.account)}.{text_digest(request.request)}'


def text_digest(text: str) -> str:
    """Return a 128 bit digest of a text, in hexadecimal."""
    encoded = text.encode('utf-8', 'surrogatepass')
    return hashlib.blake2b(encoded, digest_size=16).hexdigest()


def content_digest(request: Claimable) -> str:
    """Return the digest of a request's operation and content."""
    return fingerprints.digest_parts(fingerprints.content_parts(request))


class ClaimSupervisor:
    """Holds all claims of this instance that are not settled yet.

    Invariant: a holder has at most one write at a time. It is granted its
    request at most once, and never after the final answer of its exchange.
    """

    def __init__(self, incarnation: str, rng: random.Random) -> None:
        self.incarnation = incarnation
        self.retry_advice = retry_budget.RetryAdvice(rng)
        self.claim_by_holder: dict[str, Claim] = {}
        self.holder_by_exchange: dict[int, str] = {}
        self.holder_numbers = itertools.count(1)

    def start_claim(self, request: Claimable) -> list[actions.Action]:
        """Write the first claim on a request's row."""
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
        """Return the write of the claim's record; mark it as pending."""
        if claim.pending_write is not None:
            raise errors.InvariantViolated(
                'a claim has two writes at the same time'
            )
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
        """Handle the result of a write, or its failure."""
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
        """Continue as the owner of a row that holds ``found_record``."""
        self.retry_advice.record_success()
        claim.version = version
        claim.may_be_written = True
        match claim.phase:
            case claims.ClaimPhase.HELD:
                raise errors.InvariantViolated(
                    'a held claim was granted again'
                )
            case claims.ClaimPhase.SETTLING:
                if found_record.stage is claim.record.stage:
                    return ClaimStep(self.forget_claim(claim))
                return ClaimStep([self.write_claim(claim)])
        if now >= claim.request.deadline:
            # After a pause, the result of the write may be read before the
            # deadline timer fires. The caller no longer waits then.
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
        """Answer from a row that another holder owns.

        While settling nothing is left to do: versions only grow, so no
        delayed write of this holder can take effect on the row any more.
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
        """Record that the row of a held claim has another holder.

        No instance overwrites a held row. It happens when rows are deleted
        too early or the store is restored from an old copy, and can be
        detected only here: the request may then have run twice.
        """
        if not claim.was_held:
            return []
        return [self.record(claim, 'claim-overwritten', row.record.holder)]

    def handle_write_failure(
        self, claim: Claim, handed_over: bool, now: float
    ) -> list[actions.Action]:
        """Retry the write, or give up if a retry can't help.

        The failed write may still take effect at any time. Writing the same
        record on the same version again is harmless, and its result shows
        who owns the row.
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
        """Handle a deadline or settle timer of a claim."""
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
        """Return the claim whose first write an exchange awaits, if any."""
        claim = self.claim_by_holder.get(
            self.holder_by_exchange.get(exchange, '')
        )
        if claim is None or claim.phase is not claims.ClaimPhase.CLAIMING:
            return None
        return claim

    def handle_caller_gone(
        self, exchange: int, now: float
    ) -> list[actions.Action]:
        """Release the pending claim of a caller that has disconnected."""
        claim = self.find_pending_claim(exchange)
        if claim is None:
            return []
        return self.release_claim(claim, now)

    def settle_answered_claims(
        self, planned: Iterable[actions.Action], now: float
    ) -> list[actions.Action]:
        """Settle the claims of exchanges whose final answer is planned.

        "Not run" comes from a holder that did not dispatch, so its row is
        released. After any other failure the row stays taken unless the
        outcome arrives later: the request may still be running, and a retry
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
        """Return the held claim of an exchange, if any."""
        claim = self.claim_by_holder.get(
            self.holder_by_exchange.get(exchange, '')
        )
        if claim is None or claim.phase is not claims.ClaimPhase.HELD:
            return None
        return claim

    def settle_with_answer(
        self, exchange: int, status: int, body: bytes | None, now: float
    ) -> list[actions.Action]:
        """Store the answer in the row, for later retries."""
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
        """Release the row if the request provably did not run."""
        claim = self.find_held_claim(exchange)
        if claim is None:
            return []
        if failure.ran is requests.Ran.NO:
            return self.release_claim(claim, now)
        return []

    def release_unrun_request(
        self, exchange: int, now: float
    ) -> list[actions.Action]:
        """Release the row of a request now known not to have run."""
        claim = self.find_held_claim(exchange)
        return self.release_claim(claim, now) if claim is not None else []

    def leave_row_taken(self, exchange: int) -> None:
        """Remove an unanswered request's claim; its row stays taken."""
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
        """Fail a request that this holder won't dispatch; release its row."""
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
        """Fail a request whose row belongs to another holder."""
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
        """Return a final failure for a claim's request."""
        detail = f'service {claim.request.service}'
        return requests.Failure(code, ran, detail, wait_seconds)

    def release_claim(self, claim: Claim, now: float) -> list[actions.Action]:
        """Release the row; this holder never dispatches after this."""
        record = dataclasses.replace(
            claim.record, stage=claims.ClaimStage.RELEASED
        )
        return self.settle_claim(claim, record, now)

    def settle_claim(
        self, claim: Claim, record: claims.ClaimRecord, now: float
    ) -> list[actions.Action]:
        """Write the outcome of the request to the row.

        A write of the claim may still be in flight and would leave the row
        taken by a holder that has given up. The settling write expects the
        same version: whichever of the two arrives first, the other one
        fails, and its conflict returns the row.
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
        """Schedule another settling write, or give up at its deadline."""
        if not claim.may_be_written:
            return self.forget_claim(claim)
        if now >= claim.settle_deadline:
            left_taken = self.record(
                claim, 'claim-left-taken', 'store unavailable'
            )
            return [left_taken, *self.forget_claim(claim)]
        wait_seconds = self.retry_advice.add_jitter(SETTLE_RETRY_DELAY_SECONDS)
        name = f'{SETTLE_TIMER}:{claim.record.holder}'
        return [actions.SetTimer(name, now + wait_seconds)]

    def forget_claim(self, claim: Claim) -> list[actions.Action]:
        """Remove a claim that this holder is done with, and its timers."""
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
    """Return what is known of a request whose claim is not held here.

    This instance has not run it, but an earlier send of it may have been
    dispatched by an instance that died. "Not run" would then lead the caller
    to repeat it, and for instance pay for a booking twice.
    """
    if request.has_idempotency_key and not request.first_send:
        return requests.Ran.UNKNOWN
    return requests.Ran.NO


def with_known_outcome(
    failure: requests.Failure,
    request: Claimable,
    service: configuration_state.Service | None,
) -> requests.Failure:
    """Return a failure that says "not run" only if that is known."""
    is_repeatable = service is None or service.idempotent
    if is_repeatable or failure.ran is not requests.Ran.NO:
        return failure
    return dataclasses.replace(failure, ran=unclaimed_outcome(request))
