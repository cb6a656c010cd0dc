"""The limits of upstreams, by the product's own interface.

A request is begun only where a permit is in stock. Where one would begin but
for that, a permit is asked for; what comes and is not used goes back. The
instances of an upstream's data centre share its limit, and those of others ask
them.
"""

import collections
from collections.abc import Collection
import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.sharing import limit_book
from greengagelb.coordination.sharing import limit_keeper
from greengagelb.coordination.sharing import permits
from greengagelb.state import limits

LIMITS_TIMER = 'limits'
# How long a permit is waited for at most, how long one is kept that is not
# used yet, and how long for a request that is being claimed. In seconds.
MOST_PERMIT_SECONDS = 60.0
STOCK_SECONDS = 0.25
RESERVED_SECONDS = 2.0
# How long what has lost its upstream waits for a permit, in seconds.
REPEAT_SECONDS = 1.0
# Permits of the last so many seconds tell how many come in.
FLOW_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """An upstream's answer to a request that was sent at ``asked_at``."""

    upstream: str
    asked_at: float
    said: limits.Said


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """A permit that this instance has, until a monotonic time."""

    life: str
    granted: limit_keeper.Granted
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Asker:
    """For whom an upstream is looked for, and until when it can wait.

    An ``urgent`` request goes on with what was begun.
    """

    account: str = ''
    deadline: float = float('inf')
    urgent: bool = False


NOBODY = Asker()


class UpstreamLimits:
    """Which upstreams have named a limit, and the permits for them.

    ``lives`` are those of which a limit is known, by the upstream's name.
    ``places`` are the data centres of upstreams and ``peers`` those of the
    other instances. ``news`` names upstreams that may have a permit by now, or
    no limit any more. ``denied_at`` is when a permit was last denied.
    Invariant: an upstream is in ``asking`` while a permit of it is asked for.
    """

    def __init__(self, incarnation: str = '', data_centre: str = '') -> None:
        self.data_centre = data_centre
        self.keeper = limit_keeper.LimitKeeper(incarnation)
        self.keeper.ranking.members = self.members
        self.keeper.ranking.has_part = self.has_part
        self.lives: dict[str, str] = {}
        self.places: dict[str, str] = {}
        self.peers: dict[str, str] = {}
        self.asker = NOBODY
        self.denied_at: dict[str, float] = {}
        self.asking: dict[str, int] = {}
        self.stock: dict[str, list[Permit]] = {}
        self.reserved: dict[int, tuple[str, Permit]] = {}
        self.came: dict[str, collections.deque[float]] = {}
        self.news: set[str] = set()
        self.timer_at = float('inf')

    # -- what is known ------------------------------------------------------

    def rate(self, name: str) -> float | None:
        """Return the limit in force of an upstream, or None without one."""
        life = self.lives.get(name)
        return None if life is None else self.keeper.book.rate(life)

    def place_of(self, life: str) -> str:
        """Return the data centre of an upstream."""
        return self.places.get(name_of(life), self.data_centre)

    def members(self, life: str) -> Collection[str]:
        """Return the other instances of an upstream's data centre."""
        place = self.place_of(life)
        return [name for name, at in self.peers.items() if at == place]

    def has_part(self, life: str) -> bool:
        """Return whether this instance has a part of an upstream's limit."""
        return self.place_of(life) == self.data_centre

    def know_peers(self, peers: dict[str, str], now: float) -> None:
        """Take in which other instances there are, and where."""
        gone = self.peers.keys() - peers.keys()
        come = peers.keys() - self.peers.keys()
        self.peers = peers
        own = self.keeper.own
        self.keeper.parts.rank = sum(
            name < own and place == self.data_centre
            for name, place in peers.items()
        )
        for incarnation in gone:
            self.keeper.left(incarnation, now)
        for incarnation in come:
            if peers[incarnation] == self.data_centre:
                for news in self.keeper.book.reports():
                    self.keeper.tell(incarnation, news)

    def answered(
        self, answer: Answered, known: str, now: float
    ) -> list[actions.Action]:
        """Take in an answer of an upstream; ``known`` is its incarnation."""
        name, said = answer.upstream, answer.said
        incarnation = said.incarnation or known
        self.met(name, incarnation)
        if isinstance(said.limit, limits.Unusable):
            why = f'limit-unusable: {said.limit.text}'
            told = actions.Record('engine-limit-refused', why, upstream=name)
            return [told]
        life = f'{name} {incarnation}'
        news = self.keeper.named(life, said.limit, answer.asked_at, now)
        if news is None:
            return []
        return self.changed(news)

    def changed(
        self, news: limits.LimitNews, source: str = ''
    ) -> list[actions.Action]:
        """Go by a limit that has changed."""
        name = name_of(news.life)
        self.lives[name] = news.life
        self.news.add(name)
        why = limit_book.told(news)
        if source:
            why += f', from {source}'
        return [actions.Record('engine-limit', why, upstream=name)]

    def met(self, name: str, incarnation: str) -> None:
        """Forget the limit of a life that is over."""
        life = self.lives.get(name)
        if life is not None and life != f'{name} {incarnation}':
            del self.lives[name]
            self.stock.pop(name, None)
            self.keeper.ended(life)
            self.news.add(name)

    def heard(
        self, sender: str, message: limits.Message, known: str, now: float
    ) -> list[actions.Action]:
        """Take in what another instance says.

        ``known`` is the incarnation that the upstream has here, if any.
        """
        match message:
            case limits.LimitNews(life):
                if known and life != f'{name_of(life)} {known}':
                    return []
                if not self.keeper.told(message, now):
                    return []
                return self.changed(message, sender)
        self.keeper.hear(sender, message, now)
        return []

    # -- permits ------------------------------------------------------------

    def ask_again_for(
        self, account: str, now: float, *, urgent: bool = False
    ) -> None:
        """Ask from now on for a request that has had an upstream before."""
        self.asker = Asker(account, now + REPEAT_SECONDS, urgent)

    def admits(self, name: str, now: float) -> bool:
        """Return whether an upstream may get a request now.

        If it may not for want of a permit, one is asked for.
        """
        if self.rate(name) is None:
            return True
        if any(now < permit.until for permit in self.stock.get(name, ())):
            return True
        life = self.lives[name]
        asker = self.asker
        closed = self.keeper.back_at(life, asker.account, now) is not None
        if name not in self.asking and not closed:
            self.asking[name] = self.keeper.ask(
                life,
                asker.account,
                min(asker.deadline, now + MOST_PERMIT_SECONDS),
                now,
                urgent=asker.urgent,
            )
        return False

    def use(self, name: str, now: float) -> None:
        """Count a request that is sent to an upstream."""
        if self.rate(name) is None:
            return
        found = self.stock.get(name)
        if found:
            found.pop(0)
        else:
            self.keeper.spend(self.lives[name], 1, now)

    def reserve(self, name: str, exchange: int, now: float) -> None:
        """Keep a permit for a request that is being claimed."""
        found = self.stock.get(name)
        if found:
            permit = found.pop(0)
            until = now + RESERVED_SECONDS
            kept = Permit(permit.life, permit.granted, until)
            self.reserved[exchange] = (name, kept)

    def unreserve(self, exchange: int) -> str:
        """Have a permit in stock that was kept for a request.

        Returns the upstream that it is for, empty if there is none.
        """
        name, permit = self.reserved.pop(exchange, ('', None))
        if permit is not None:
            self.stock.setdefault(name, []).insert(0, permit)
        return name

    def flow(self, name: str, now: float) -> float:
        """Return the permits of an upstream that may be had here a second.

        All of them, unless some were denied lately.
        """
        rate = self.rate(name) or 0.0
        if now >= self.denied_at.get(name, float('-inf')) + FLOW_SECONDS:
            return rate
        came = self.came.get(name, ())
        lately = sum(at > now - FLOW_SECONDS for at in came)
        return max(lately / FLOW_SECONDS, rate / (1 + len(self.peers)))

    def wait_for(
        self, names: Collection[str], account: str, ahead: float, now: float
    ) -> float:
        """Return how long a request waits for any of some upstreams.

        All of them have limits; ``ahead`` is how many requests of this
        instance go before it.
        """
        flow = sum(self.flow(name, now) for name in names)
        wait = ahead / flow if flow > 0.0 else permits.NO_PART_WAIT
        back = [
            self.keeper.back_at(self.lives[name], account, now)
            for name in names
        ]
        if None in back:
            return wait
        return wait + min(at for at in back if at is not None) - now

    # -- after each event ---------------------------------------------------

    def take_outcomes(self, now: float) -> set[str]:
        """Take in what has come of what was asked for.

        Returns the upstreams that may take a request now.
        """
        outcomes, self.keeper.outcomes = self.keeper.outcomes, []
        numbers = {number: name for name, number in self.asking.items()}
        for outcome in outcomes:
            name = numbers.get(outcome.number)
            if name is None:
                continue
            del self.asking[name]
            self.news.add(name)
            match outcome:
                case limit_keeper.Granted():
                    self.put_in_stock(name, outcome, now)
                case limit_keeper.Denied():
                    self.denied_at[name] = now
        news, self.news = self.news, set()
        return news

    def put_in_stock(
        self, name: str, granted: limit_keeper.Granted, now: float
    ) -> None:
        """Keep a permit until it is used."""
        life = self.lives.get(name)
        if life is None or not granted.issuer:
            return
        permit = Permit(life, granted, now + STOCK_SECONDS)
        self.stock.setdefault(name, []).append(permit)
        came = self.came.setdefault(name, collections.deque())
        came.append(now)
        while came and came[0] <= now - FLOW_SECONDS:
            came.popleft()

    def give_back(self, wanted: bool, now: float) -> None:
        """Return the permits that are too old, and all if none are wanted."""
        for name, found in list(self.stock.items()):
            for permit in found:
                if now >= permit.until or not wanted:
                    self.keeper.give_back(permit.life, permit.granted, now)
            kept = [p for p in found if now < p.until and wanted]
            self.stock[name] = kept
            if not kept:
                del self.stock[name]
        for exchange, (_, permit) in list(self.reserved.items()):
            if now >= permit.until:
                del self.reserved[exchange]
                self.keeper.give_back(permit.life, permit.granted, now)

    def actions(self, now: float) -> list[actions.Action]:
        """Return what is to be told to others, and when to look again."""
        done: list[actions.Action] = [
            actions.TellPeer(outgoing.receiver, outgoing.message)
            for outgoing in self.keeper.outgoing
        ]
        self.keeper.outgoing.clear()
        if not (self.keeper.stirred or self.stock or self.reserved):
            return done
        self.keeper.stirred = False
        due_at = self.keeper.next_at(now)
        for found in self.stock.values():
            due_at = min([due_at, *(permit.until for permit in found)])
        for _, permit in self.reserved.values():
            due_at = min(due_at, permit.until)
        if due_at == self.timer_at:
            return done
        self.timer_at = due_at
        name = timers.timer_name(LIMITS_TIMER, 0)
        if due_at == float('inf'):
            return [*done, actions.ClearTimer(name)]
        return [*done, actions.SetTimer(name, due_at)]

    def due(self, now: float) -> None:
        """Do what it is time for."""
        self.timer_at = float('inf')
        self.keeper.due(now)


def name_of(life: str) -> str:
    """Return the upstream of a life."""
    return life.rpartition(' ')[0]
