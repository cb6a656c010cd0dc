"""Keeps all instances together within the limits that engines name.

For each life of an engine with a limit one instance issues permits. Instances
that hear others may choose another issuer; then each issuer has only the
parts that were lent to it (see :mod:`.leases`), so the sum stays within the
limit. Nothing here is kept anywhere else, and nobody has to agree.

A request waits for its permit where it came in. Datagrams may be lost: the
question is asked again, under the same number, until it is answered.
"""

import dataclasses
import itertools

from greengagelb.coordination.sharing import issuer_ranking
from greengagelb.coordination.sharing import issuing
from greengagelb.coordination.sharing import limit_book
from greengagelb.coordination.sharing import permits
from greengagelb.state import limits

# A question without an answer is asked again after the first figure, twice as
# late each time, and at most after the second one. In seconds.
ASK_AGAIN_SECONDS = 0.015
MOST_ASK_AGAIN_SECONDS = 0.25
# A limit is told again after so many seconds, as datagrams are lost.
RETELL_SECONDS = (0.4, 1.2)
# How often what others know is asked for, in seconds.
ASK_NEWS_SECONDS = 0.5
# ``due`` is not called again before so many seconds.
LEAST_STEP = 0.001
# How long an issuer's answer may take, in seconds.
ANSWER_SECONDS = 0.02
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


class LimitKeeper:
    """One instance's part in keeping the limits.

    ``outgoing`` and ``outcomes`` are taken and emptied by whoever calls, and
    ``stirred`` tells that ``next_at`` may have changed.
    Invariant: each number in ``asks`` has had no outcome yet, and gets one.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.book = limit_book.LimitBook()
        self.ranking = issuer_ranking.IssuerRanking(own)
        self.issuing = issuing.Issuing(
            own, self.book, self.ranking, self.tell_or_hear
        )
        self.parts = self.issuing.parts
        self.asks: dict[int, Ask] = {}
        self.numbers = itertools.count(1)
        self.closed: dict[tuple[str, str], Closed] = {}
        self.had: dict[int, float] = {}
        self.retell: list[tuple[float, str]] = []
        self.ask_news_at = float('-inf')
        self.granted = 0
        self.denied = 0
        self.stirred = False
        self.outgoing: list[issuer_ranking.Outgoing] = []
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

    def figures(self) -> limits.Figures:
        """Return what a scrape shows of limits."""
        rates = self.book.in_force().values()
        return limits.Figures(
            len(rates),
            sum(rates),
            len(self.asks),
            self.granted,
            self.denied,
        )

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
        for key in [key for key in self.closed if key[0] == life]:
            del self.closed[key]
        self.issuing.changed(life, now)
        if self.limited(life):
            return
        for ask in [a for a in self.asks.values() if a.life == life]:
            del self.asks[ask.number]
            self.outcomes.append(Granted(ask.number))

    def ended(self, life: str) -> None:
        """Forget a life that is over."""
        self.stirred = True
        self.book.forget(life)
        self.issuing.ended(life)
        for ask in [a for a in self.asks.values() if a.life == life]:
            self.deny(ask, 0.0)

    # -- permits for requests of this instance ------------------------------

    def back_at(self, life: str, account: str, now: float) -> float | None:
        """Return when an account may come back to a life that is closed.

        None if it may be asked for now.
        """
        known = self.book.known.get(life)
        if known is None or known.rate is None:
            return None
        if not limit_book.flow_of(known, now):
            return known.known_at + limit_book.ZERO_SECONDS
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
        issuer = self.ranking.issuer_of(ask.life, now)
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
        if issuer != self.own:
            self.ranking.asked(issuer, now)
        self.tell_or_hear(issuer, wanted, now)

    def give_back(self, life: str, granted: Granted, now: float) -> None:
        """Return a permit that is not used."""
        self.stirred = True
        if granted.issuer:
            returned = limits.PermitReturned(life, granted.number)
            self.tell_or_hear(granted.issuer, returned, now)

    def spend(self, life: str, count: int, now: float) -> None:
        """Count what was sent to a life without a permit."""
        issuer = self.ranking.issuer_of(life, now)
        self.tell_or_hear(issuer, limits.Spent(life, count), now)

    def deny(
        self, ask: Ask, wait: float, issuer: str = '', share: float = 0.0
    ) -> None:
        """Give a request its outcome, and ask no more for its account."""
        del self.asks[ask.number]
        self.denied += 1
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
        self.ranking.left(incarnation)
        self.issuing.left(incarnation, now)
        for ask in self.asks.values():
            if ask.issuer == incarnation:
                ask.again_at = now

    def hear(self, sender: str, message: limits.Message, now: float) -> None:
        """Take in a message of another instance, or of this one."""
        self.stirred = True
        self.ranking.heard(sender)
        match message:
            case limits.LimitNews():
                self.told(message, now)
            case limits.NewsWanted():
                for news in self.book.reports():
                    self.tell(sender, news)
            case limits.LeaseWanted():
                self.issuing.lease_wanted(sender, message, now)
            case limits.Leased():
                self.issuing.leased(sender, message, now)
            case limits.LeaseReturned(life):
                self.parts.returned(life, sender, now)
            case limits.PermitWanted():
                self.wanted(sender, message, now)
            case limits.PermitAnswer():
                self.answered(sender, message, now)
            case limits.PermitReturned():
                self.issuing.returned(sender, message, now)
            case limits.Spent():
                self.issuing.spent(message, now)
            case limits.PresenceWanted() | limits.IssuerSilent(self.own):
                self.tell(sender, limits.Present())
            case limits.IssuerSilent(issuer):
                self.ranking.silent_elsewhere(issuer, now)

    def wanted(
        self, sender: str, wanted: limits.PermitWanted, now: float
    ) -> None:
        """Take in a question for a permit, and what its sender knows."""
        life = wanted.life
        news = limits.LimitNews(life, wanted.rate, wanted.version)
        self.told(news, now)
        known = self.book.known[life]
        if known.version > wanted.version:
            newer = limits.LimitNews(life, known.rate, known.version)
            self.tell(sender, newer)
        self.issuing.wanted(sender, wanted, now)

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
                self.tell_or_hear(sender, returned, now)
            return
        match answer.verdict:
            case limits.Verdict.GRANTED if now > gives_up_at(ask):
                # This process may have stood still since it was granted.
                self.give_up(ask, now)
            case limits.Verdict.GRANTED:
                del self.asks[ask.number]
                self.granted += 1
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

    def tell(self, receiver: str, message: limits.Message) -> None:
        """Send a message to an instance, or to all."""
        self.outgoing.append(issuer_ranking.Outgoing(receiver, message))

    def tell_or_hear(
        self, receiver: str, message: limits.Message, now: float
    ) -> None:
        """Send a message to an instance, which may be this one."""
        if receiver == self.own:
            self.hear(receiver, message, now)
        else:
            self.tell(receiver, message)

    # -- time ---------------------------------------------------------------

    def due(self, now: float) -> None:
        """Do what it is time for."""
        self.stirred = True
        self.ranking.due(now)
        self.outgoing += self.ranking.questions(now)
        for ask in list(self.asks.values()):
            if now >= gives_up_at(ask):
                self.give_up(ask, now)
            elif now >= ask.again_at:
                self.put(ask, now)
        self.issuing.due(now)
        for at, life in list(self.retell):
            if now >= at:
                self.retell.remove((at, life))
                self.tell_again(life)

    def tell_again(self, life: str) -> None:
        """Tell all others of a limit once more."""
        known = self.book.known.get(life)
        if known is not None:
            self.tell('', limits.LimitNews(life, known.rate, known.version))

    def give_up(self, ask: Ask, now: float) -> None:
        """Wait no longer for an answer."""
        self.close(ask, NO_ANSWER_WAIT, now)
        self.deny(ask, NO_ANSWER_WAIT)
        returned = limits.PermitReturned(ask.life, ask.number)
        self.tell_or_hear(ask.issuer, returned, now)

    def next_at(self, now: float) -> float:
        """Return when ``due`` has something to do."""
        times = [self.ranking.next_at(), self.issuing.next_at(now)]
        times += [min(a.again_at, gives_up_at(a)) for a in self.asks.values()]
        times += [at for at, _ in self.retell]
        return max(now + LEAST_STEP, min(times))


def gives_up_at(ask: Ask) -> float:
    """Return when a request waits for no answer any more.

    An issuer that has given it a place answers at its deadline.
    """
    queued = ask.expected_at > float('-inf')
    return ask.deadline + (ANSWER_SECONDS if queued else 0.0)
