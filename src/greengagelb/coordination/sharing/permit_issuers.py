"""The permits that this instance issues for all others.

It borrows the parts of all that it hears while permits are asked for, and
answers each question for one.
"""

from collections.abc import Callable
import dataclasses

from greengagelb.coordination.sharing import issuer_ranking
from greengagelb.coordination.sharing import leases
from greengagelb.coordination.sharing import limit_table
from greengagelb.coordination.sharing import permits
from greengagelb.state import limits

# An issuer asks for parts again so long before they end, and no more often
# than every so many seconds, while permits are asked for.
RENEW_MARGIN_SECONDS = 1.5
RENEW_INTERVAL_SECONDS = 0.25
# How long after the last question an issuer still has parts lent, and how
# long after that it is forgotten, in seconds.
RENEW_IDLE_SECONDS = 5.0
FORGET_IDLE_SECONDS = 30.0
# A former issuer that was asked for nothing for so long returns its parts.
HAND_OVER_IDLE_SECONDS = 0.3
# How long the first parts take that an issuer asks for, in seconds.
FIRST_LEASES_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class IssuedLife:
    """A life whose permits this instance issues.

    ``began_at`` is since when. Nothing is answered before ``ready_at``, and
    ``renewed_at`` is when parts were last asked for.
    """

    issuer: permits.PermitIssuer
    began_at: float
    ready_at: float = float('-inf')
    renewed_at: float = float('-inf')


class PermitIssuers:
    """All lives whose permits this instance issues, and its own parts.

    ``tell`` sends a message, to this instance as well.
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

    # -- limits -------------------------------------------------------------

    def apply_limit_change(self, life: str, now: float) -> None:
        """Go by a limit that has changed."""
        limit = self.table.known_limits.get(life)
        issued = self.lives.get(life)
        if issued is None:
            return
        if limit is None or limit.rate is None:
            del self.lives[life]
        else:
            issued.issuer.change_rate(limit_table.send_rate(limit, now), now)

    def forget_life(self, life: str) -> None:
        """Forget a life that is over."""
        self.lives.pop(life, None)
        self.parts.forget_life(life)

    def remove_instance(self, incarnation: str, now: float) -> None:
        """Do without an instance that has stopped."""
        self.parts.take_back_all(incarnation, now)
        for issued in self.lives.values():
            issued.issuer.accrue(now)
            issued.issuer.borrowed.end_part(incarnation, now)

    # -- parts --------------------------------------------------------------

    def handle_lease_wanted(
        self, sender: str, wanted: limits.LeaseWanted, now: float
    ) -> None:
        """Lend a part to who issues permits, if nobody else has it."""
        life = wanted.life
        limit = self.table.known_limits.get(life)
        share = self.parts.share(now)
        if limit is None or limit.rate is None or not share:
            return
        if not self.ranking.has_part(life):
            return
        unused = self.parts.lend(life, sender, limit.known_at, now)
        if unused is not None:
            lease = limits.Leased(life, share, unused, wanted.stamp)
            self.send(sender, lease, now)

    def handle_lease(
        self, sender: str, lease: limits.Leased, now: float
    ) -> None:
        """Have a part, unless it was asked for before it was returned."""
        issued = self.lives.get(lease.life)
        if issued is not None and issued.began_at <= lease.stamp <= now:
            until = lease.stamp + leases.LEASE_SECONDS
            issued.issuer.add_lease(sender, lease, until, now)

    def renew_parts(self, life: str, issued: IssuedLife, now: float) -> None:
        """Borrow the parts of all instances that are heard."""
        if now < issued.renewed_at + RENEW_INTERVAL_SECONDS:
            return
        issued.renewed_at = now
        borrowed = issued.issuer.borrowed
        is_first = not borrowed.total_share(now)
        lenders = {*self.ranking.members(life), self.own_incarnation}
        wanted = limits.LeaseWanted(life, now)
        lenders_to_ask = borrowed.lenders_ending_before(
            lenders, now + RENEW_MARGIN_SECONDS
        )
        if is_first and lenders_to_ask - {self.own_incarnation}:
            issued.ready_at = now + FIRST_LEASES_SECONDS
        for lender in lenders_to_ask:
            self.send(lender, wanted, now)

    # -- permits ------------------------------------------------------------

    def handle_permit_wanted(
        self, sender: str, wanted: limits.PermitWanted, now: float
    ) -> None:
        """Have a request wait for a permit of this instance."""
        life = wanted.life
        limit = self.table.known_limits[life]
        holder = (sender, wanted.number)
        if limit.rate is None:
            granted = permits.Answer(holder, limits.Verdict.GRANTED, 0.0)
            self.send_answer(life, granted, now)
            return
        issued = self.lives.get(life)
        if issued is None:
            rate = limit_table.send_rate(limit, now)
            issuer = permits.PermitIssuer(rate, now, self.parts.phase)
            issued = self.lives[life] = IssuedLife(issuer, now)
        answer = issued.issuer.request_permit(wanted, holder, now)
        self.renew_parts(life, issued, now)
        if answer is not None:
            self.send_answer(life, answer, now)
        self.send_due_answers(life, issued, now)

    def send_due_answers(
        self, life: str, issued: IssuedLife, now: float
    ) -> None:
        """Answer the requests that can be answered by now."""
        if now < issued.ready_at:
            return
        for answer in issued.issuer.take_answers(now):
            self.send_answer(life, answer, now)

    def send_answer(
        self, life: str, answer: permits.Answer, now: float
    ) -> None:
        """Tell an instance what comes of its request."""
        receiver, number = answer.holder
        issued = self.lives.get(life)
        share = issued.issuer.borrowed.total_share(now) if issued else 1.0
        message = limits.PermitAnswer(
            life, number, answer.verdict, answer.wait, share
        )
        self.send(receiver, message, now)

    def handle_permit_returned(
        self, sender: str, returned: limits.PermitReturned, now: float
    ) -> None:
        """Have a permit for somebody else."""
        issued = self.lives.get(returned.life)
        if issued is not None:
            issued.issuer.return_permit((sender, returned.number), now)
            self.send_due_answers(returned.life, issued, now)

    def handle_spent(self, spent: limits.Spent, now: float) -> None:
        """Count what was sent to a life without a permit."""
        issued = self.lives.get(spent.life)
        if issued is not None:
            issued.issuer.count_unpermitted(spent.count, now)

    # -- time ---------------------------------------------------------------

    def run_due(self, now: float) -> None:
        """Renew parts, serve who waits, and leave what others issue now."""
        for life, issued in list(self.lives.items()):
            idle_seconds = now - issued.issuer.last_asked_at
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
        """Leave the permits of a life to another instance at once."""
        del self.lives[life]
        for lender in issued.issuer.borrowed.parts:
            self.send(lender, limits.LeaseReturned(life), now)

    def next_due_at(self, now: float) -> float:
        """Return when ``due`` has something to do."""
        times = [float('inf')]
        for issued in self.lives.values():
            issuer = issued.issuer
            if issuer.waiting_requests:
                times.append(max(issued.ready_at, issuer.next_due_at(now)))
            if now < issuer.last_asked_at + RENEW_IDLE_SECONDS:
                times.append(issued.renewed_at + RENEW_INTERVAL_SECONDS)
            else:
                times.append(issuer.last_asked_at + FORGET_IDLE_SECONDS)
        return min(times)
