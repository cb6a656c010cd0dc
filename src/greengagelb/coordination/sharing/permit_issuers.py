"""The permits that this instance issues to all instances.

While permits are requested, it borrows the parts of all instances that it
hears, and answers each request.
"""

from collections.abc import Callable
import dataclasses

from greengagelb.coordination.sharing import issuer_ranking
from greengagelb.coordination.sharing import leases
from greengagelb.coordination.sharing import limit_table
from greengagelb.coordination.sharing import permits
from greengagelb.state import limits

# While permits are requested, parts are renewed this long before they expire,
# at most once per RENEW_INTERVAL_SECONDS.
RENEW_MARGIN_SECONDS = 1.5
RENEW_INTERVAL_SECONDS = 0.25
# After the last permit request for a life, its parts are renewed for
# RENEW_IDLE_SECONDS, and its permit issuer is dropped after
# FORGET_IDLE_SECONDS.
RENEW_IDLE_SECONDS = 5.0
FORGET_IDLE_SECONDS = 30.0
# If another instance has become the issuer, the parts are returned once no
# permit was requested for this long.
HAND_OVER_IDLE_SECONDS = 0.3
# How long requests wait for the first leases of a life.
FIRST_LEASES_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class IssuedLife:
    """A life whose permits this instance issues since ``began_at``.

    No request is answered before ``ready_at``; ``renewed_at`` is when parts
    were last requested.
    """

    permit_issuer: permits.PermitIssuer
    began_at: float
    ready_at: float = float('-inf')
    renewed_at: float = float('-inf')


class PermitIssuers:
    """All lives whose permits this instance issues, and its own parts.

    ``send`` delivers a message to an instance, including this one.
    """

    def __init__(
        self,
        own_incarnation: str,
        table: limit_table.LimitTable,
        ranking: issuer_ranking.IssuerRanking,
        send: Callable[[str, limits.Message, float], None],
    ) -> None:
        self.own_incarnation = own_incarnation
        self.table = table
        self.ranking = ranking
        self.send = send
        self.parts = leases.OwnParts()
        self.lives: dict[str, IssuedLife] = {}

    def apply_limit_change(self, life: str, now: float) -> None:
        """Apply a changed limit."""
        limit = self.table.known_limits.get(life)
        issued = self.lives.get(life)
        if issued is None:
            return
        if limit is None or limit.rate is None:
            del self.lives[life]
        else:
            issued.permit_issuer.change_rate(
                limit_table.send_rate(limit, now), now
            )

    def forget_life(self, life: str) -> None:
        """Drop a life that has ended."""
        self.lives.pop(life, None)
        self.parts.forget_life(life)

    def remove_instance(self, incarnation: str, now: float) -> None:
        """Remove an instance that has stopped."""
        self.parts.take_back_all(incarnation, now)
        for issued in self.lives.values():
            issued.permit_issuer.accrue(now)
            issued.permit_issuer.borrowed.end_part(incarnation, now)

    def handle_lease_wanted(
        self, sender: str, wanted: limits.LeaseRequest, now: float
    ) -> None:
        """Lend a part to an issuer, unless it is lent to another."""
        life = wanted.life
        limit = self.table.known_limits.get(life)
        share = self.parts.share(now)
        if limit is None or limit.rate is None or not share:
            return
        if not self.ranking.has_part(life):
            return
        unused = self.parts.lend(life, sender, limit.known_at, now)
        if unused is not None:
            lease = limits.LeaseGrant(life, share, unused, wanted.stamp)
            self.send(sender, lease, now)

    def handle_lease(
        self, sender: str, lease: limits.LeaseGrant, now: float
    ) -> None:
        """Add a leased part, unless it was requested before a hand-over."""
        issued = self.lives.get(lease.life)
        if issued is not None and issued.began_at <= lease.stamp <= now:
            until = lease.stamp + leases.LEASE_SECONDS
            issued.permit_issuer.add_lease(sender, lease, until, now)

    def renew_parts(self, life: str, issued: IssuedLife, now: float) -> None:
        """Request the parts of all instances that are heard."""
        if now < issued.renewed_at + RENEW_INTERVAL_SECONDS:
            return
        issued.renewed_at = now
        borrowed = issued.permit_issuer.borrowed
        is_first = not borrowed.total_share(now)
        lenders = {*self.ranking.members(life), self.own_incarnation}
        wanted = limits.LeaseRequest(life, now)
        lenders_to_ask = borrowed.lenders_ending_before(
            lenders, now + RENEW_MARGIN_SECONDS
        )
        if is_first and lenders_to_ask - {self.own_incarnation}:
            issued.ready_at = now + FIRST_LEASES_SECONDS
        for lender in lenders_to_ask:
            self.send(lender, wanted, now)

    def handle_permit_wanted(
        self, sender: str, wanted: limits.PermitRequestMessage, now: float
    ) -> None:
        """Process a permit request, of this or another instance."""
        life = wanted.life
        limit = self.table.known_limits[life]
        request_key = (sender, wanted.number)
        if limit.rate is None:
            granted = permits.Answer(request_key, limits.Verdict.GRANTED, 0.0)
            self.send_answer(life, granted, now)
            return
        issued = self.lives.get(life)
        if issued is None:
            rate = limit_table.send_rate(limit, now)
            permit_issuer = permits.PermitIssuer(
                rate, now, self.parts.relative_rank
            )
            issued = self.lives[life] = IssuedLife(permit_issuer, now)
        answer = issued.permit_issuer.request_permit(wanted, request_key, now)
        self.renew_parts(life, issued, now)
        if answer is not None:
            self.send_answer(life, answer, now)
        self.send_due_answers(life, issued, now)

    def send_due_answers(
        self, life: str, issued: IssuedLife, now: float
    ) -> None:
        """Answer the requests that can be answered now."""
        if now < issued.ready_at:
            return
        for answer in issued.permit_issuer.take_answers(now):
            self.send_answer(life, answer, now)

    def send_answer(
        self, life: str, answer: permits.Answer, now: float
    ) -> None:
        """Send an answer to the instance that asked."""
        receiver, number = answer.request_key
        issued = self.lives.get(life)
        share = (
            issued.permit_issuer.borrowed.total_share(now) if issued else 1.0
        )
        message = limits.PermitAnswer(
            life, number, answer.verdict, answer.wait_seconds, share
        )
        self.send(receiver, message, now)

    def handle_permit_returned(
        self, sender: str, returned: limits.PermitReturned, now: float
    ) -> None:
        """Make a returned permit available to other requests."""
        issued = self.lives.get(returned.life)
        if issued is not None:
            issued.permit_issuer.return_permit((sender, returned.number), now)
            self.send_due_answers(returned.life, issued, now)

    def handle_spent(self, spent: limits.UnpermittedSends, now: float) -> None:
        """Count requests that were sent to a life without a permit."""
        issued = self.lives.get(spent.life)
        if issued is not None:
            issued.permit_issuer.count_unpermitted(spent.count, now)

    def run_due(self, now: float) -> None:
        """Renew parts, answer requests, and hand over or drop idle lives."""
        for life, issued in list(self.lives.items()):
            idle_seconds = now - issued.permit_issuer.last_asked_at
            if idle_seconds >= FORGET_IDLE_SECONDS:
                del self.lives[life]
            elif idle_seconds >= HAND_OVER_IDLE_SECONDS and (
                self.ranking.issuer_of(life, now) != self.own_incarnation
            ):
                self.hand_over(life, issued, now)
            else:
                if idle_seconds < RENEW_IDLE_SECONDS:
                    self.renew_parts(life, issued, now)
                self.send_due_answers(life, issued, now)

    def hand_over(self, life: str, issued: IssuedLife, now: float) -> None:
        """Return all parts of a life, which another instance issues now."""
        del self.lives[life]
        for lender in issued.permit_issuer.borrowed.parts:
            self.send(lender, limits.LeaseReturned(life), now)

    def next_due_at(self, now: float) -> float:
        """Return when ``run_due`` has something to do."""
        times = [float('inf')]
        for issued in self.lives.values():
            permit_issuer = issued.permit_issuer
            if permit_issuer.waiting_requests:
                times.append(
                    max(issued.ready_at, permit_issuer.next_due_at(now))
                )
            if now < permit_issuer.last_asked_at + RENEW_IDLE_SECONDS:
                times.append(issued.renewed_at + RENEW_INTERVAL_SECONDS)
            else:
                times.append(permit_issuer.last_asked_at + FORGET_IDLE_SECONDS)
        return min(times)
