"""Keeps all instances together within the limits that engines name.

For each life of an engine with a limit one instance issues permits. Which one
follows from the instances that are heard, by rendezvous hashing. Instances
that hear others may choose another issuer; then each issuer has only the
parts that were lent to it (see :mod:`.leases`), so the sum stays within the
limit. Nothing here is kept anywhere else, and nobody has to agree.

A request waits for its permit where it came in. Datagrams may be lost: the
question is asked again, under the same number, until it is answered.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import itertools

from greengagelb.coordination.fleet import rendezvous
from greengagelb.coordination.sharing import leases
from greengagelb.coordination.sharing import limit_book
from greengagelb.coordination.sharing import permits
from greengagelb.state import limits

# A question without an answer is asked again after the first figure, twice as
# late each time, and at most after the second one. In seconds.
ASK_AGAIN_SECONDS = 0.015
MOST_ASK_AGAIN_SECONDS = 0.25
# An issuer that has answered none of so many questions for so many seconds is
# passed over for the third figure, twice as long each time in a row.
SILENT_QUESTIONS = 6
SILENT_SECONDS = 0.2
PASS_OVER_SECONDS = 1.0
MOST_PASS_OVER_SECONDS = 8.0
# An issuer asks for parts again so long before they end, and no more often
# than every so many seconds, while permits are asked for.
RENEW_BEFORE_SECONDS = 1.5
RENEW_SECONDS = 0.25
# How long after the last question an issuer still has parts lent, and how
# long after that it is forgotten, in seconds.
IDLE_SECONDS = 5.0
FORGET_SECONDS = 30.0
# A limit is told again after so many seconds, as datagrams are lost.
RETELL_SECONDS = (0.4, 1.2)
# How often what others know is asked for, in seconds.
ASK_NEWS_SECONDS = 0.5
# ``due`` is not called again before so many seconds.
LEAST_STEP = 0.001
# A former issuer that was asked for nothing for so long returns its parts.
HAND_OVER_SECONDS = 0.3
# How long an issuer's answer may take, in seconds.
ANSWER_SECONDS = 0.02
# How long the first parts take that an issuer asks for, in seconds.
GATHER_SECONDS = 0.02
# An engine that takes nothing gets nothing for so many seconds, and then so
# many requests a second to see whether that is over.
ZERO_SECONDS = 30.0
TRIAL_RATE = 0.1
# So many instances are tried before this one issues permits itself.
MOST_RANKED = 3
# Which instances there are is looked at again after so many seconds.
RANKED_SECONDS = 0.5
# Where a permit was denied, none is asked for again before so many seconds.
LEAST_CLOSED_SECONDS = 0.05
# The most of these that are remembered.
MOST_CLOSED = 4_096
# The wait that is told where no issuer answers, in seconds.
NO_ANSWER_WAIT = 0.25


@dataclasses.dataclass(slots=True)
class Ask:
    """A request of this instance that waits for a permit.

    ``again_at`` is when it is asked for once more; ``asked_for`` how often it
    was. ``expected_at`` is when the issuer expects to grant it.
    """

    number: int
    life: str
    account: str
    urgent: bool
    deadline: float
    issuer: str = ''
    asked_for: int = 0
    again_at: float = 0.0
    expected_at: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Unanswered:
    """Questions to an issuer that has said nothing since."""

    since: float
    count: int = 0

    @property
    def silent_at(self) -> float:
        """Return when the issuer counts as silent."""
        few = self.count < SILENT_QUESTIONS
        return float('inf') if few else self.since + SILENT_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class PassedOver:
    """An issuer is not asked until a time, for so many seconds in all."""

    until: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """One request may be sent to a life now, by a permit of an issuer.

    ``issuer`` is empty where the life has no limit any more.
    """

    number: int
    issuer: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """A request may not be sent to a life within the time that it has.

    ``issuer`` had the part ``share`` of the limit; none answered where it is
    empty.
    """

    number: int
    wait: float
    issuer: str = ''
    share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Until when a life is not asked for an account, and what it was told."""

    until: float
    back_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ranking:
    """The instances in the order in which they issue a life's permits."""

    names: tuple[str, ...]
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to another instance, or to all where ``receiver`` is empty."""

    receiver: str
    message: limits.Message


class LimitKeeper:
    """One instance's part in keeping the limits.

    ``members`` returns which others are heard and may issue permits of a life,
    and ``has_part`` whether this instance may.
    ``outgoing`` and ``outcomes`` are taken and emptied by whoever calls, and
    ``stirred`` tells that ``next_at`` may have changed.
    Invariant: each number in ``asks`` has had no outcome yet, and gets one.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.members: Callable[[str], Collection[str]] = nobody
        self.has_part: Callable[[str], bool] = always
        self.book = limit_book.LimitBook()
        self.parts = leases.OwnParts()
        self.issuers: dict[str, permits.Issuer] = {}
        self.ready_at: dict[str, float] = {}
        self.renewed_at: dict[str, float] = {}
        self.asks: dict[int, Ask] = {}
        self.numbers = itertools.count(1)
        self.rankings: dict[str, Ranking] = {}
        self.unanswered: dict[str, Unanswered] = {}
        self.passed_over: dict[str, PassedOver] = {}
        self.closed: dict[tuple[str, str], Closed] = {}
        self.had: dict[int, float] = {}
        self.retell: list[tuple[float, str]] = []
        self.ask_news_at = float('-inf')
        self.stirred = False
        self.outgoing: list[Outgoing] = []
        self.outcomes: list[Granted | Denied] = []

    # -- limits -------------------------------------------------------------

    def limited(self, life: str) -> bool:
        """Return whether a request to a life needs a permit."""
        return self.book.rate(life) is not None

    def named(
        self, life: str, rate: float | None, asked_at: float, now: float
    ) -> limits.LimitNews | None:
        """Take in what an answer says; tell the others if that is news."""
        news = self.book.named(life, rate, asked_at, now)
        if news is not None:
            self.tell('', news)
            self.retell += [
                (now + seconds, life) for seconds in RETELL_SECONDS
            ]
            self.changed(life, now)
        return news

    def differs(self, incarnation: str, digest: int, now: float) -> None:
        """Ask an instance that knows other limits for what it knows."""
        if digest == self.book.digest() or now < self.ask_news_at:
            return
        self.ask_news_at = now + ASK_NEWS_SECONDS
        self.tell(incarnation, limits.NewsWanted())

    def told(self, news: limits.LimitNews, now: float) -> bool:
        """Take in what another instance knows; return whether it is news."""
        is_news = self.book.told(news, now)
        if is_news:
            self.changed(news.life, now)
        return is_news

    def changed(self, life: str, now: float) -> None:
        """Go by a limit that has changed."""
        self.stirred = True
        known = self.book.known.get(life)
        for key in [key for key in self.closed if key[0] == life]:
            del self.closed[key]
        if known is None or known.rate is None:
            self.lift(life)
        elif life in self.issuers:
            self.issuers[life].change(flow_of(known, now), now)

    def lift(self, life: str) -> None:
        """Let go all that waits for a permit that is not needed any more."""
        self.drop_issuer(life)
        self.parts.forget(life)
        for ask in [a for a in self.asks.values() if a.life == life]:
            del self.asks[ask.number]
            self.outcomes.append(Granted(ask.number))

    def ended(self, life: str) -> None:
        """Forget a life that is over."""
        self.stirred = True
        self.book.forget(life)
        self.drop_issuer(life)
        self.parts.forget(life)
        for ask in [a for a in self.asks.values() if a.life == life]:
            self.deny(ask, 0.0)

    def drop_issuer(self, life: str) -> None:
        """Issue no permits for a life any more."""
        self.issuers.pop(life, None)
        self.ready_at.pop(life, None)
        self.renewed_at.pop(life, None)

    # -- permits for requests of this instance ------------------------------

    def back_at(self, life: str, account: str, now: float) -> float | None:
        """Return when an account may come back to a life that is closed.

        None if it may be asked for now.
        """
        known = self.book.known.get(life)
        if known is None or known.rate is None:
            return None
        if not flow_of(known, now):
            return known.known_at + ZERO_SECONDS
        found = self.closed.get((life, account))
        if found is None or now >= found.until:
            return None
        return found.back_at

    def expected_wait(self, life: str, now: float) -> float:
        """Return how long the last request for a life has to wait yet."""
        waits = [
            ask.expected_at - now
            for ask in self.asks.values()
            if ask.life == life
        ]
        return max(0.0, *waits) if waits else 0.0

    def ask(
        self,
        life: str,
        account: str,
        deadline: float,
        now: float,
        *,
        urgent: bool = False,
    ) -> int:
        """Ask for a permit; its outcome bears the number returned."""
        number = next(self.numbers)
        ask = Ask(number, life, account, urgent, deadline)
        self.asks[number] = ask
        self.put(ask, now)
        return number

    def put(self, ask: Ask, now: float) -> None:
        """Ask whoever issues permits now."""
        self.stirred = True
        issuer = self.issuer_of(ask.life, now)
        if issuer != ask.issuer:
            ask.asked_for = 0
        ask.issuer = issuer
        wait = ASK_AGAIN_SECONDS * 2.0**ask.asked_for
        ask.again_at = now + min(MOST_ASK_AGAIN_SECONDS, wait)
        ask.asked_for += 1
        known = self.book.known.get(ask.life)
        if known is None or known.rate is None:
            return
        wanted = limits.PermitWanted(
            ask.life,
            ask.number,
            ask.account,
            ask.urgent,
            max(0.0, ask.deadline - now),
            known.rate,
            known.version,
        )
        if issuer == self.own:
            self.wanted(self.own, wanted, now)
            return
        found = self.unanswered.setdefault(issuer, Unanswered(now))
        found.count += 1
        self.tell(issuer, wanted)

    def give_back(self, life: str, granted: Granted, now: float) -> None:
        """Return a permit that is not used."""
        self.stirred = True
        returned = limits.PermitReturned(life, granted.number)
        if granted.issuer == self.own:
            self.permit_returned(self.own, returned, now)
        elif granted.issuer:
            self.tell(granted.issuer, returned)

    def spend(self, life: str, count: int, now: float) -> None:
        """Count what was sent to a life without a permit."""
        issuer = self.issuer_of(life, now)
        if issuer != self.own:
            self.tell(issuer, limits.Spent(life, count))
        elif life in self.issuers:
            self.issuers[life].spend(count, now)

    def issuer_of(self, life: str, now: float) -> str:
        """Return who issues a life's permits, as far as is known here."""
        ranking = self.rankings.get(life)
        if ranking is None or now >= ranking.until:
            found = set(self.members(life))
            if self.has_part(life):
                found.add(self.own)
            names = rendezvous.highest(life, found, MOST_RANKED)
            ranking = Ranking(tuple(names), now + RANKED_SECONDS)
            self.rankings[life] = ranking
        for name in ranking.names:
            passed_over = self.passed_over.get(name)
            if passed_over is None or now >= passed_over.until:
                return name
        return self.own

    def deny(
        self, ask: Ask, wait: float, issuer: str = '', share: float = 0.0
    ) -> None:
        """Give a request its outcome, and ask no more for its account."""
        del self.asks[ask.number]
        self.outcomes.append(Denied(ask.number, wait, issuer, share))

    def close(self, ask: Ask, wait: float, now: float) -> None:
        """Ask no more for an account until its wait can be borne."""
        patience = max(0.0, ask.deadline - now)
        seconds = max(LEAST_CLOSED_SECONDS, wait - patience)
        if len(self.closed) >= MOST_CLOSED:
            self.closed.clear()
        key = (ask.life, ask.account)
        self.closed[key] = Closed(now + seconds, now + wait)

    # -- other instances ----------------------------------------------------

    def resize(self, size: int, heartbeat_seconds: float, now: float) -> None:
        """Share limits with that many instances, this one included."""
        self.parts.resize(size, heartbeat_seconds, now)

    def left(self, incarnation: str, now: float) -> None:
        """Do without an instance that has stopped."""
        self.stirred = True
        self.parts.left(incarnation, now)
        self.rankings.clear()
        self.unanswered.pop(incarnation, None)
        self.passed_over.pop(incarnation, None)
        for issuer in self.issuers.values():
            issuer.count(now)
            issuer.borrowed.drop(incarnation, now)
        for ask in self.asks.values():
            if ask.issuer == incarnation:
                ask.again_at = now

    def hear(self, sender: str, message: limits.Message, now: float) -> None:
        """Take in a message of another instance."""
        self.stirred = True
        self.unanswered.pop(sender, None)
        self.passed_over.pop(sender, None)
        match message:
            case limits.LimitNews():
                self.told(message, now)
            case limits.NewsWanted():
                for news in self.book.reports():
                    self.tell(sender, news)
            case limits.LeaseWanted():
                self.lease_wanted(sender, message, now)
            case limits.Leased(life):
                if life in self.issuers:
                    until = message.stamp + leases.LEASE_SECONDS
                    self.issuers[life].lent(sender, message, until, now)
            case limits.LeaseReturned(life):
                self.parts.returned(life, sender, now)
            case limits.PermitWanted():
                self.wanted(sender, message, now)
            case limits.PermitAnswer():
                self.answered(sender, message, now)
            case limits.PermitReturned():
                self.permit_returned(sender, message, now)
            case limits.Spent(life, count):
                if life in self.issuers:
                    self.issuers[life].spend(count, now)

    def lease_wanted(
        self, sender: str, wanted: limits.LeaseWanted, now: float
    ) -> None:
        """Lend a part to who issues permits, if nobody else has it."""
        lease = self.lend(sender, wanted.life, wanted.stamp, now)
        if lease is not None:
            self.tell(sender, lease)

    def lend(
        self, borrower: str, life: str, stamp: float, now: float
    ) -> limits.Leased | None:
        """Lend this instance's part, if it has one that is free."""
        known = self.book.known.get(life)
        share = self.parts.share(now)
        if known is None or known.rate is None or not share:
            return None
        if not self.has_part(life):
            return None
        unused = self.parts.lend(life, borrower, known.known_at, now)
        if unused is None:
            return None
        return limits.Leased(life, share, unused, stamp)

    def answered(
        self, sender: str, answer: limits.PermitAnswer, now: float
    ) -> None:
        """Take in what an issuer says."""
        ask = self.asks.get(answer.number)
        granted = answer.verdict is limits.Verdict.GRANTED
        if ask is None or ask.life != answer.life:
            # Asked twice, a permit is granted twice; the first counts.
            if granted and answer.number not in self.had:
                returned = limits.PermitReturned(answer.life, answer.number)
                self.tell(sender, returned)
            return
        match answer.verdict:
            case limits.Verdict.GRANTED if now > gives_up_at(ask):
                # This process may have stood still since it was granted.
                self.give_up(ask, now)
            case limits.Verdict.GRANTED:
                del self.asks[ask.number]
                self.remember(ask.number, now)
                self.outcomes.append(Granted(ask.number, sender))
            case limits.Verdict.QUEUED:
                ask.expected_at = now + answer.wait
                wait = max(ASK_AGAIN_SECONDS, answer.wait)
                ask.again_at = now + wait + ASK_AGAIN_SECONDS
            case limits.Verdict.DENIED:
                self.close(ask, answer.wait, now)
                self.deny(ask, answer.wait, sender, answer.share)

    def remember(self, number: int, now: float) -> None:
        """Know a permit again that is granted once more."""
        self.had[number] = now
        for known, at in list(self.had.items()):
            if now < at + permits.REMEMBER_SECONDS:
                return
            del self.had[known]

    # -- permits that this instance issues ----------------------------------

    def wanted(
        self, sender: str, wanted: limits.PermitWanted, now: float
    ) -> None:
        """Have a request wait for a permit of this instance."""
        life = wanted.life
        news = limits.LimitNews(life, wanted.rate, wanted.version)
        self.told(news, now)
        known = self.book.known[life]
        if known.version > wanted.version:
            news = limits.LimitNews(life, known.rate, known.version)
            self.tell(sender, news)
        holder = (sender, wanted.number)
        if known.rate is None:
            granted = permits.Answer(holder, limits.Verdict.GRANTED, 0.0)
            self.answer(life, granted, now)
            return
        issuer = self.issuers.get(life)
        if issuer is None:
            rate = flow_of(known, now)
            phase = self.parts.phase
            issuer = permits.Issuer(rate, now, phase)
            self.issuers[life] = issuer
        answer = issuer.ask(wanted, holder, now)
        self.renew(life, issuer, now)
        if answer is not None:
            self.answer(life, answer, now)
        self.serve(life, issuer, now)

    def renew(self, life: str, issuer: permits.Issuer, now: float) -> None:
        """Borrow the parts of all instances that are heard."""
        if now < self.renewed_at.get(life, float('-inf')) + RENEW_SECONDS:
            return
        self.renewed_at[life] = now
        had_parts = issuer.borrowed.total(now) > 0.0
        lenders = {*self.members(life), self.own}
        wanted = limits.LeaseWanted(life, now)
        ends = now + RENEW_BEFORE_SECONDS
        for lender in issuer.borrowed.ending(lenders, ends):
            if lender != self.own:
                self.tell(lender, wanted)
                if not had_parts:
                    self.ready_at[life] = now + GATHER_SECONDS
                continue
            lease = self.lend(self.own, life, now, now)
            if lease is not None:
                until = now + leases.LEASE_SECONDS
                issuer.lent(self.own, lease, until, now)

    def serve(self, life: str, issuer: permits.Issuer, now: float) -> None:
        """Answer the requests that can be answered by now."""
        if now < self.ready_at.get(life, float('-inf')):
            return
        for answer in issuer.answers(now):
            self.answer(life, answer, now)

    def answer(self, life: str, answer: permits.Answer, now: float) -> None:
        """Tell an instance what comes of its request."""
        receiver, number = answer.holder
        issuer = self.issuers.get(life)
        share = issuer.borrowed.total(now) if issuer else 1.0
        told = limits.PermitAnswer(
            life, number, answer.verdict, answer.wait, share
        )
        if receiver == self.own:
            self.answered(self.own, told, now)
        else:
            self.tell(receiver, told)

    def permit_returned(
        self, sender: str, returned: limits.PermitReturned, now: float
    ) -> None:
        """Have a permit for somebody else."""
        issuer = self.issuers.get(returned.life)
        if issuer is not None:
            issuer.returned((sender, returned.number), now)
            self.serve(returned.life, issuer, now)

    # -- time ---------------------------------------------------------------

    def due(self, now: float) -> None:
        """Do what it is time for."""
        self.stirred = True
        for issuer, found in list(self.unanswered.items()):
            if now >= found.silent_at:
                del self.unanswered[issuer]
                self.pass_over(issuer, now)
        for ask in list(self.asks.values()):
            if now >= gives_up_at(ask):
                self.give_up(ask, now)
            elif now >= ask.again_at:
                self.put(ask, now)
        for life, issuer in list(self.issuers.items()):
            self.look_after(life, issuer, now)
        for at, life in list(self.retell):
            if now >= at:
                self.retell.remove((at, life))
                self.tell_again(life)

    def pass_over(self, issuer: str, now: float) -> None:
        """Ask others for a while, longer each time in a row."""
        known = self.passed_over.get(issuer)
        seconds = PASS_OVER_SECONDS
        if known is not None:
            seconds = min(MOST_PASS_OVER_SECONDS, 2.0 * known.seconds)
        self.passed_over[issuer] = PassedOver(now + seconds, seconds)

    def tell_again(self, life: str) -> None:
        """Tell all others of a limit once more."""
        known = self.book.known.get(life)
        if known is not None:
            self.tell('', limits.LimitNews(life, known.rate, known.version))

    def give_up(self, ask: Ask, now: float) -> None:
        """Wait no longer for an answer."""
        self.close(ask, NO_ANSWER_WAIT, now)
        self.deny(ask, NO_ANSWER_WAIT)
        if ask.issuer != self.own:
            returned = limits.PermitReturned(ask.life, ask.number)
            self.tell(ask.issuer, returned)

    def look_after(
        self, life: str, issuer: permits.Issuer, now: float
    ) -> None:
        """Renew an issuer's parts, serve who waits, or give it up."""
        if now >= issuer.asked_at + FORGET_SECONDS:
            self.drop_issuer(life)
            return
        asked_for = now - issuer.asked_at
        if asked_for >= HAND_OVER_SECONDS and (
            self.issuer_of(life, now) != self.own
        ):
            self.hand_over(life, issuer, now)
            return
        if asked_for < IDLE_SECONDS:
            self.renew(life, issuer, now)
        self.serve(life, issuer, now)

    def hand_over(self, life: str, issuer: permits.Issuer, now: float) -> None:
        """Leave the permits of a life to another instance at once."""
        for lender in issuer.borrowed.parts:
            if lender == self.own:
                self.parts.returned(life, self.own, now)
            else:
                self.tell(lender, limits.LeaseReturned(life))
        self.drop_issuer(life)

    def next_at(self, now: float) -> float:
        """Return when ``due`` has something to do."""
        times = [min(a.again_at, gives_up_at(a)) for a in self.asks.values()]
        times += [found.silent_at for found in self.unanswered.values()]
        for life, issuer in self.issuers.items():
            ready_at = self.ready_at.get(life, now)
            if issuer.waiting:
                times.append(max(ready_at, issuer.next_at(now)))
            if now < issuer.asked_at + IDLE_SECONDS:
                times.append(self.renewed_at[life] + RENEW_SECONDS)
            else:
                times.append(issuer.asked_at + FORGET_SECONDS)
        times += [at for at, _ in self.retell]
        return max(now + LEAST_STEP, min(times, default=float('inf')))

    def tell(self, receiver: str, message: limits.Message) -> None:
        """Send a message to an instance, or to all."""
        self.outgoing.append(Outgoing(receiver, message))


def nobody(life: str) -> Collection[str]:
    """Return no other instances."""
    return ()


def always(life: str) -> bool:
    """Return that this instance has a part of each limit."""
    return True


def flow_of(known: limits.KnownLimit, now: float) -> float:
    """Return the requests a second that are sent to a life with a limit.

    Only an answer tells that a limit of zero is over. So after a while some
    requests are sent to an engine that takes none.
    """
    rate = known.rate or 0.0
    zero_for = now - known.known_at
    return TRIAL_RATE if not rate and zero_for >= ZERO_SECONDS else rate


def gives_up_at(ask: Ask) -> float:
    """Return when a request waits for no answer any more.

    An issuer that has given it a place answers at its deadline.
    """
    queued = ask.expected_at > float('-inf')
    return ask.deadline + (ANSWER_SECONDS if queued else 0.0)
