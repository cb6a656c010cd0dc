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
MAX_PERMIT_WAIT_SECONDS = 60.0
UNUSED_PERMIT_SECONDS = 0.25
RESERVED_PERMIT_SECONDS = 2.0
# How long what has lost its upstream waits for a permit, in seconds.
RETRY_PERMIT_WAIT_SECONDS = 1.0
# Permits of the last so many seconds tell how many come in.
GRANT_WINDOW_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An upstream's answer to a request that was sent at ``asked_at``."""

    upstream: str
    asked_at: float
    said: limits.Said


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """A permit that this instance has, until a monotonic time."""

    life: str
    granted: limit_keeper.Granted
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequester:
    """For whom an upstream is looked for, and until when it can wait.

    An ``urgent`` request goes on with what was begun.
    """

    account: str = ''
    deadline: float = float('inf')
    urgent: bool = False


NO_REQUESTER = PermitRequester()


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
        self.keeper.ranking.members = self.local_peers_of
        self.keeper.ranking.has_part = self.shares_limit
        self.limited_lives: dict[str, str] = {}
        self.upstream_data_centres: dict[str, str] = {}
        self.peer_data_centres: dict[str, str] = {}
        self.requester = NO_REQUESTER
        self.denied_at: dict[str, float] = {}
        self.pending_requests: dict[str, int] = {}
        self.unused_permits: dict[str, list[Permit]] = {}
        self.reserved_permits: dict[int, tuple[str, Permit]] = {}
        self.granted_at: dict[str, collections.deque[float]] = {}
        self.changed_upstreams: set[str] = set()
        self.timer_at = float('inf')

    # -- what is known ------------------------------------------------------

    def rate(self, name: str) -> float | None:
        """Return the limit in force of an upstream, or None without one."""
        life = self.limited_lives.get(name)
        return None if life is None else self.keeper.book.rate(life)

    def data_centre_of(self, life: str) -> str:
        """Return the data centre of an upstream."""
        return self.upstream_data_centres.get(
            upstream_of_life(life), self.data_centre
        )

    def local_peers_of(self, life: str) -> Collection[str]:
        """Return the other instances of an upstream's data centre."""
        data_centre = self.data_centre_of(life)
        return [
            name
            for name, at in self.peer_data_centres.items()
            if at == data_centre
        ]

    def shares_limit(self, life: str) -> bool:
        """Return whether this instance has a part of an upstream's limit."""
        return self.data_centre_of(life) == self.data_centre

    def update_peers(self, peers: dict[str, str], now: float) -> None:
        """Take in which other instances there are, and where."""
        departed = self.peer_data_centres.keys() - peers.keys()
        joined = peers.keys() - self.peer_data_centres.keys()
        self.peer_data_centres = peers
        own = self.keeper.own
        self.keeper.parts.rank = sum(
            name < own and data_centre == self.data_centre
            for name, data_centre in peers.items()
        )
        for incarnation in departed:
            self.keeper.left(incarnation, now)
        for incarnation in joined:
            if peers[incarnation] == self.data_centre:
                for news in self.keeper.book.reports():
                    self.keeper.tell(incarnation, news)

    def handle_answer(
        self, answer: UpstreamAnswer, known: str, now: float
    ) -> list[actions.Action]:
        """Take in an answer of an upstream; ``known`` is its incarnation."""
        name, said = answer.upstream, answer.said
        incarnation = said.incarnation or known
        self.reset_for_incarnation(name, incarnation)
        if isinstance(said.limit, limits.Unusable):
            reason = f'limit-unusable: {said.limit.text}'
            refusal = actions.Record(
                'engine-limit-refused', reason, upstream=name
            )
            return [refusal]
        life = f'{name} {incarnation}'
        news = self.keeper.named(life, said.limit, answer.asked_at, now)
        if news is None:
            return []
        return self.apply_limit(news)

    def apply_limit(
        self, news: limits.LimitNews, source: str = ''
    ) -> list[actions.Action]:
        """Go by a limit that has changed."""
        name = upstream_of_life(news.life)
        self.limited_lives[name] = news.life
        self.changed_upstreams.add(name)
        reason = limit_book.told(news)
        if source:
            reason += f', from {source}'
        return [actions.Record('engine-limit', reason, upstream=name)]

    def reset_for_incarnation(self, name: str, incarnation: str) -> None:
        """Forget the limit of a life that is over."""
        life = self.limited_lives.get(name)
        if life is not None and life != f'{name} {incarnation}':
            del self.limited_lives[name]
            self.unused_permits.pop(name, None)
            self.keeper.ended(life)
            self.changed_upstreams.add(name)

    def handle_peer_message(
        self, sender: str, message: limits.Message, known: str, now: float
    ) -> list[actions.Action]:
        """Take in what another instance says.

        ``known`` is the incarnation that the upstream has here, if any.
        """
        match message:
            case limits.LimitNews(life):
                if known and life != f'{upstream_of_life(life)} {known}':
                    return []
                if not self.keeper.told(message, now):
                    return []
                return self.apply_limit(message, sender)
        self.keeper.hear(sender, message, now)
        return []

    # -- permits ------------------------------------------------------------

    def set_retry_requester(
        self, account: str, now: float, *, urgent: bool = False
    ) -> None:
        """Ask from now on for a request that has had an upstream before."""
        self.requester = PermitRequester(
            account, now + RETRY_PERMIT_WAIT_SECONDS, urgent
        )

    def has_or_requests_permit(self, name: str, now: float) -> bool:
        """Return whether an upstream may get a request now.

        If it may not for want of a permit, one is asked for.
        """
        if self.rate(name) is None:
            return True
        if any(
            now < permit.expires_at
            for permit in self.unused_permits.get(name, ())
        ):
            return True
        life = self.limited_lives[name]
        requester = self.requester
        is_backing_off = (
            self.keeper.back_at(life, requester.account, now) is not None
        )
        if name not in self.pending_requests and not is_backing_off:
            self.pending_requests[name] = self.keeper.ask(
                life,
                requester.account,
                min(requester.deadline, now + MAX_PERMIT_WAIT_SECONDS),
                now,
                urgent=requester.urgent,
            )
        return False

    def spend_permit(self, name: str, now: float) -> None:
        """Count a request that is sent to an upstream."""
        if self.rate(name) is None:
            return
        found = self.unused_permits.get(name)
        if found:
            found.pop(0)
        else:
            self.keeper.spend(self.limited_lives[name], 1, now)

    def reserve_permit(self, name: str, exchange: int, now: float) -> None:
        """Keep a permit for a request that is being claimed."""
        found = self.unused_permits.get(name)
        if found:
            permit = found.pop(0)
            expires_at = now + RESERVED_PERMIT_SECONDS
            kept = Permit(permit.life, permit.granted, expires_at)
            self.reserved_permits[exchange] = (name, kept)

    def unreserve_permit(self, exchange: int) -> str:
        """Have a permit in stock that was kept for a request.

        Returns the upstream that it is for, empty if there is none.
        """
        name, permit = self.reserved_permits.pop(exchange, ('', None))
        if permit is not None:
            self.unused_permits.setdefault(name, []).insert(0, permit)
        return name

    def available_rate(self, name: str, now: float) -> float:
        """Return the permits of an upstream that may be had here a second.

        All of them, unless some were denied lately.
        """
        rate = self.rate(name) or 0.0
        if (
            now
            >= self.denied_at.get(name, float('-inf')) + GRANT_WINDOW_SECONDS
        ):
            return rate
        granted_at = self.granted_at.get(name, ())
        recent_grants = sum(
            at > now - GRANT_WINDOW_SECONDS for at in granted_at
        )
        return max(
            recent_grants / GRANT_WINDOW_SECONDS,
            rate / (1 + len(self.peer_data_centres)),
        )

    def estimate_wait_seconds(
        self,
        names: Collection[str],
        account: str,
        requests_ahead: float,
        now: float,
    ) -> float:
        """Return how long a request waits for any of some upstreams.

        All of them have limits; ``ahead`` is how many requests of this
        instance go before it.
        """
        available_rate = sum(self.available_rate(name, now) for name in names)
        wait = (
            requests_ahead / available_rate
            if available_rate > 0.0
            else permits.NO_PART_WAIT
        )
        retry_times = [
            self.keeper.back_at(self.limited_lives[name], account, now)
            for name in names
        ]
        if None in retry_times:
            return wait
        return wait + min(at for at in retry_times if at is not None) - now

    # -- after each event ---------------------------------------------------

    def process_permit_outcomes(self, now: float) -> set[str]:
        """Take in what has come of what was asked for.

        Returns the upstreams that may take a request now.
        """
        outcomes, self.keeper.outcomes = self.keeper.outcomes, []
        numbers = {
            number: name for name, number in self.pending_requests.items()
        }
        for outcome in outcomes:
            name = numbers.get(outcome.number)
            if name is None:
                continue
            del self.pending_requests[name]
            self.changed_upstreams.add(name)
            match outcome:
                case limit_keeper.Granted():
                    self.store_permit(name, outcome, now)
                case limit_keeper.Denied():
                    self.denied_at[name] = now
        changed, self.changed_upstreams = self.changed_upstreams, set()
        return changed

    def store_permit(
        self, name: str, granted: limit_keeper.Granted, now: float
    ) -> None:
        """Keep a permit until it is used."""
        life = self.limited_lives.get(name)
        if life is None or not granted.issuer:
            return
        permit = Permit(life, granted, now + UNUSED_PERMIT_SECONDS)
        self.unused_permits.setdefault(name, []).append(permit)
        granted_at = self.granted_at.setdefault(name, collections.deque())
        granted_at.append(now)
        while granted_at and granted_at[0] <= now - GRANT_WINDOW_SECONDS:
            granted_at.popleft()

    def return_permits(self, wanted: bool, now: float) -> None:
        """Return the permits that are too old, and all if none are wanted."""
        for name, found in list(self.unused_permits.items()):
            for permit in found:
                if now >= permit.expires_at or not wanted:
                    self.keeper.give_back(permit.life, permit.granted, now)
            kept = [p for p in found if now < p.expires_at and wanted]
            self.unused_permits[name] = kept
            if not kept:
                del self.unused_permits[name]
        for exchange, (_, permit) in list(self.reserved_permits.items()):
            if now >= permit.expires_at:
                del self.reserved_permits[exchange]
                self.keeper.give_back(permit.life, permit.granted, now)

    def pending_actions(self, now: float) -> list[actions.Action]:
        """Return what is to be told to others, and when to look again."""
        due_actions: list[actions.Action] = [
            actions.TellPeer(outgoing.receiver, outgoing.message)
            for outgoing in self.keeper.outgoing
        ]
        self.keeper.outgoing.clear()
        if not (
            self.keeper.stirred or self.unused_permits or self.reserved_permits
        ):
            return due_actions
        self.keeper.stirred = False
        due_at = self.keeper.next_at(now)
        for found in self.unused_permits.values():
            due_at = min([due_at, *(permit.expires_at for permit in found)])
        for _, permit in self.reserved_permits.values():
            due_at = min(due_at, permit.expires_at)
        if due_at == self.timer_at:
            return due_actions
        self.timer_at = due_at
        name = timers.timer_name(LIMITS_TIMER, 0)
        if due_at == float('inf'):
            return [*due_actions, actions.ClearTimer(name)]
        return [*due_actions, actions.SetTimer(name, due_at)]

    def handle_timer(self, now: float) -> None:
        """Do what it is time for."""
        self.timer_at = float('inf')
        self.keeper.due(now)


def upstream_of_life(life: str) -> str:
    """Return the upstream of a life."""
    return life.rpartition(' ')[0]
