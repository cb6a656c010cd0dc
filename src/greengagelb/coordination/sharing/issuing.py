"""The permits that this instance issues for all others.

It borrows the parts of all that it hears while permits are asked for, and
answers each question for one.
"""

from collections.abc import Callable
import dataclasses

from greengagelb.coordination.sharing import issuer_ranking
from greengagelb.coordination.sharing import leases
from greengagelb.coordination.sharing import limit_book
from greengagelb.coordination.sharing import permits
from greengagelb.state import limits

# An issuer asks for parts again so long before they end, and no more often
# than every so many seconds, while permits are asked for.
RENEW_BEFORE_SECONDS = 1.5
RENEW_SECONDS = 0.25
# How long after the last question an issuer still has parts lent, and how
# long after that it is forgotten, in seconds.
IDLE_SECONDS = 5.0
FORGET_SECONDS = 30.0
# A former issuer that was asked for nothing for so long returns its parts.
HAND_OVER_SECONDS = 0.3
# How long the first parts take that an issuer asks for, in seconds.
GATHER_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class Issued:
    """A life whose permits this instance issues.

    ``began_at`` is since when. Nothing is answered before ``ready_at``, and
    ``renewed_at`` is when parts were last asked for.
    """

    issuer: permits.Issuer
    began_at: float
    ready_at: float = float('-inf')
    renewed_at: float = float('-inf')


class Issuing:
    """All lives whose permits this instance issues, and its own parts.

    ``tell`` sends a message, to this instance as well.
    """

    def __init__(
        self,
        own: str,
        book: limit_book.LimitBook,
        ranking: issuer_ranking.IssuerRanking,
        tell: Callable[[str, limits.Message, float], None],
    ) -> None:
        self.own = own
        self.book = book
        self.ranking = ranking
        self.tell = tell
        self.parts = leases.OwnParts()
        self.issued: dict[str, Issued] = {}

    # -- limits -------------------------------------------------------------

    def changed(self, life: str, now: float) -> None:
        """Go by a limit that has changed."""
        known = self.book.known.get(life)
        found = self.issued.get(life)
        if found is None:
            return
        if known is None or known.rate is None:
            del self.issued[life]
        else:
            found.issuer.change(limit_book.flow_of(known, now), now)

    def ended(self, life: str) -> None:
        """Forget a life that is over."""
        self.issued.pop(life, None)
        self.parts.forget(life)

    def left(self, incarnation: str, now: float) -> None:
        """Do without an instance that has stopped."""
        self.parts.left(incarnation, now)
        for found in self.issued.values():
            found.issuer.count(now)
            found.issuer.borrowed.drop(incarnation, now)

    # -- parts --------------------------------------------------------------

    def lease_wanted(
        self, sender: str, wanted: limits.LeaseWanted, now: float
    ) -> None:
        """Lend a part to who issues permits, if nobody else has it."""
        life = wanted.life
        known = self.book.known.get(life)
        share = self.parts.share(now)
        if known is None or known.rate is None or not share:
            return
        if not self.ranking.has_part(life):
            return
        unused = self.parts.lend(life, sender, known.known_at, now)
        if unused is not None:
            lease = limits.Leased(life, share, unused, wanted.stamp)
            self.tell(sender, lease, now)

    def leased(self, sender: str, lease: limits.Leased, now: float) -> None:
        """Have a part, unless it was asked for before it was returned."""
        found = self.issued.get(lease.life)
        if found is not None and found.began_at <= lease.stamp <= now:
            until = lease.stamp + leases.LEASE_SECONDS
            found.issuer.lent(sender, lease, until, now)

    def renew(self, life: str, found: Issued, now: float) -> None:
        """Borrow the parts of all instances that are heard."""
        if now < found.renewed_at + RENEW_SECONDS:
            return
        found.renewed_at = now
        borrowed = found.issuer.borrowed
        is_first = not borrowed.total(now)
        lenders = {*self.ranking.members(life), self.own}
        wanted = limits.LeaseWanted(life, now)
        asked = borrowed.ending(lenders, now + RENEW_BEFORE_SECONDS)
        if is_first and asked - {self.own}:
            found.ready_at = now + GATHER_SECONDS
        for lender in asked:
            self.tell(lender, wanted, now)

    # -- permits ------------------------------------------------------------

    def wanted(
        self, sender: str, wanted: limits.PermitWanted, now: float
    ) -> None:
        """Have a request wait for a permit of this instance."""
        life = wanted.life
        known = self.book.known[life]
        holder = (sender, wanted.number)
        if known.rate is None:
            granted = permits.Answer(holder, limits.Verdict.GRANTED, 0.0)
            self.answer(life, granted, now)
            return
        found = self.issued.get(life)
        if found is None:
            rate = limit_book.flow_of(known, now)
            issuer = permits.Issuer(rate, now, self.parts.phase)
            found = self.issued[life] = Issued(issuer, now)
        answer = found.issuer.ask(wanted, holder, now)
        self.renew(life, found, now)
        if answer is not None:
            self.answer(life, answer, now)
        self.serve(life, found, now)

    def serve(self, life: str, found: Issued, now: float) -> None:
        """Answer the requests that can be answered by now."""
        if now < found.ready_at:
            return
        for answer in found.issuer.answers(now):
            self.answer(life, answer, now)

    def answer(self, life: str, answer: permits.Answer, now: float) -> None:
        """Tell an instance what comes of its request."""
        receiver, number = answer.holder
        found = self.issued.get(life)
        share = found.issuer.borrowed.total(now) if found else 1.0
        told = limits.PermitAnswer(
            life, number, answer.verdict, answer.wait, share
        )
        self.tell(receiver, told, now)

    def returned(
        self, sender: str, returned: limits.PermitReturned, now: float
    ) -> None:
        """Have a permit for somebody else."""
        found = self.issued.get(returned.life)
        if found is not None:
            found.issuer.returned((sender, returned.number), now)
            self.serve(returned.life, found, now)

    def spent(self, spent: limits.Spent, now: float) -> None:
        """Count what was sent to a life without a permit."""
        found = self.issued.get(spent.life)
        if found is not None:
            found.issuer.spend(spent.count, now)

    # -- time ---------------------------------------------------------------

    def due(self, now: float) -> None:
        """Renew parts, serve who waits, and leave what others issue now."""
        for life, found in list(self.issued.items()):
            unasked_for = now - found.issuer.asked_at
            if unasked_for >= FORGET_SECONDS:
                del self.issued[life]
            elif unasked_for >= HAND_OVER_SECONDS and (
                self.ranking.issuer_of(life, now) != self.own
            ):
                self.hand_over(life, found, now)
            else:
                if unasked_for < IDLE_SECONDS:
                    self.renew(life, found, now)
                self.serve(life, found, now)

    def hand_over(self, life: str, found: Issued, now: float) -> None:
        """Leave the permits of a life to another instance at once."""
        del self.issued[life]
        for lender in found.issuer.borrowed.parts:
            self.tell(lender, limits.LeaseReturned(life), now)

    def next_at(self, now: float) -> float:
        """Return when ``due`` has something to do."""
        times = [float('inf')]
        for found in self.issued.values():
            issuer = found.issuer
            if issuer.waiting:
                times.append(max(found.ready_at, issuer.next_at(now)))
            if now < issuer.asked_at + IDLE_SECONDS:
                times.append(found.renewed_at + RENEW_SECONDS)
            else:
                times.append(issuer.asked_at + FORGET_SECONDS)
        return min(times)
