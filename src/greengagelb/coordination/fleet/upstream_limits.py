"""Request limits that upstreams announce, and the permits for them.

A request is sent to a limited upstream only if this instance has a permit for
it. If only the permit is missing, one is requested; a permit that isn't used
in time is returned. The instances of an upstream's data centre share its
limit, and those of other data centres request permits from them.
"""

import collections
from collections.abc import Collection
import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.sharing import limit_keeper
from greengagelb.coordination.sharing import limit_table
from greengagelb.coordination.sharing import permits
from greengagelb.state import limits

LIMITS_TIMER = 'limits'
MAX_PERMIT_WAIT_SECONDS = 60.0
UNUSED_PERMIT_SECONDS = 0.25
# For permits of requests that are being claimed.
RESERVED_PERMIT_SECONDS = 2.0
# For requests that have lost their upstream.
RETRY_PERMIT_WAIT_SECONDS = 1.0
# The rate of granted permits is measured over this time.
GRANT_WINDOW_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An upstream's answer to a request that was sent at ``asked_at``."""

    upstream: str
    asked_at: float
    said: limits.UpstreamAdvertisement


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """A permit of this instance; ``expires_at`` is a monotonic time."""

    life: str
    granted: limit_keeper.Granted
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequester:
    """The request for which a permit is needed.

    ``deadline`` is the monotonic time until which it can wait. An ``urgent``
    request continues one that has already begun.
    """

    account: str = ''
    deadline: float = float('inf')
    urgent: bool = False


NO_REQUESTER = PermitRequester()


class UpstreamLimits:
    """The limits of upstreams and this instance's permits for them.

    A life is one incarnation of an upstream, as ``'name incarnation'``.
    ``limited_lives`` has the lives with a known limit by upstream name.
    ``upstream_data_centres`` and ``peer_data_centres`` have the data centres
    by upstream name and by incarnation of another instance.
    ``changed_upstreams`` names upstreams that may have gained a permit or lost
    their limit. ``denied_at`` and ``granted_at`` are the monotonic times of
    the last denial and of recent grants.
    Invariant: an upstream is in ``pending_requests`` while a permit request
    for it is unanswered.
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

    def rate(self, name: str) -> float | None:
        """Return the limit of an upstream in requests a second, or None."""
        life = self.limited_lives.get(name)
        return None if life is None else self.keeper.table.rate_of(life)

    def data_centre_of(self, life: str) -> str:
        """Return the data centre of the upstream of a life."""
        return self.upstream_data_centres.get(
            upstream_of_life(life), self.data_centre
        )

    def local_peers_of(self, life: str) -> Collection[str]:
        """Return the other instances in the data centre of an upstream."""
        data_centre = self.data_centre_of(life)
        return [
            name
            for name, at in self.peer_data_centres.items()
            if at == data_centre
        ]

    def shares_limit(self, life: str) -> bool:
        """Return whether this instance has a share of an upstream's limit."""
        return self.data_centre_of(life) == self.data_centre

    def update_peers(self, peers: dict[str, str], now: float) -> None:
        """Update the other instances; ``peers`` has their data centres."""
        departed = self.peer_data_centres.keys() - peers.keys()
        joined = peers.keys() - self.peer_data_centres.keys()
        self.peer_data_centres = peers
        own = self.keeper.own_incarnation
        self.keeper.parts.rank = sum(
            name < own and data_centre == self.data_centre
            for name, data_centre in peers.items()
        )
        for incarnation in departed:
            self.keeper.remove_instance(incarnation, now)
        for incarnation in joined:
            if peers[incarnation] == self.data_centre:
                for news in self.keeper.table.list_limits():
                    self.keeper.send(incarnation, news)

    def handle_answer(
        self, answer: UpstreamAnswer, known: str, now: float
    ) -> list[actions.Action]:
        """Apply the limit that an upstream's answer announces.

        ``known`` is the upstream's known incarnation, which is used if the
        answer has none.
        """
        name, said = answer.upstream, answer.said
        incarnation = said.incarnation or known
        self.reset_for_incarnation(name, incarnation)
        if isinstance(said.limit, limits.UnusableLimit):
            reason = f'limit-unusable: {said.limit.text}'
            refusal = actions.Record(
                'engine-limit-refused', reason, upstream=name
            )
            return [refusal]
        life = f'{name} {incarnation}'
        news = self.keeper.update_from_answer(
            life, said.limit, answer.asked_at, now
        )
        if news is None:
            return []
        return self.apply_limit(news)

    def apply_limit(
        self, news: limits.LimitUpdate, source: str = ''
    ) -> list[actions.Action]:
        """Apply a changed limit; ``source`` is the peer that reported it."""
        name = upstream_of_life(news.life)
        self.limited_lives[name] = news.life
        self.changed_upstreams.add(name)
        reason = limit_table.describe_limit(news)
        if source:
            reason += f', from {source}'
        return [actions.Record('engine-limit', reason, upstream=name)]

    def reset_for_incarnation(self, name: str, incarnation: str) -> None:
        """Discard the limit of a former incarnation of an upstream."""
        life = self.limited_lives.get(name)
        if life is not None and life != f'{name} {incarnation}':
            del self.limited_lives[name]
            self.unused_permits.pop(name, None)
            self.keeper.forget_life(life)
            self.changed_upstreams.add(name)

    def handle_peer_message(
        self, sender: str, message: limits.Message, known: str, now: float
    ) -> list[actions.Action]:
        """Handle a message about limits from another instance.

        ``known`` is the upstream's incarnation as known to this instance;
        news about another incarnation is ignored. It is empty if unknown.
        """
        match message:
            case limits.LimitUpdate(life):
                if known and life != f'{upstream_of_life(life)} {known}':
                    return []
                if not self.keeper.merge_limit(message, now):
                    return []
                return self.apply_limit(message, sender)
        self.keeper.handle_message(sender, message, now)
        return []

    def set_retry_requester(
        self, account: str, now: float, *, urgent: bool = False
    ) -> None:
        """Set the requester to a request that has had an upstream before.

        It waits for a permit at most ``RETRY_PERMIT_WAIT_SECONDS``.
        """
        self.requester = PermitRequester(
            account, now + RETRY_PERMIT_WAIT_SECONDS, urgent
        )

    def has_or_requests_permit(self, name: str, now: float) -> bool:
        """Return whether the limit of an upstream permits a request now.

        If a permit is missing, one is requested for the current requester.
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
            self.keeper.next_permit_at(life, requester.account, now)
            is not None
        )
        if name not in self.pending_requests and not is_backing_off:
            self.pending_requests[name] = self.keeper.request_permit(
                life,
                requester.account,
                min(requester.deadline, now + MAX_PERMIT_WAIT_SECONDS),
                now,
                urgent=requester.urgent,
            )
        return False

    def spend_permit(self, name: str, now: float) -> None:
        """Use up a permit for a request that is sent to an upstream.

        Without a permit the request is counted against the limit directly.
        """
        if self.rate(name) is None:
            return
        found = self.unused_permits.get(name)
        if found:
            found.pop(0)
        else:
            self.keeper.count_unpermitted(self.limited_lives[name], 1, now)

    def reserve_permit(self, name: str, exchange: int, now: float) -> None:
        """Reserve a permit for a request that is being claimed."""
        found = self.unused_permits.get(name)
        if found:
            permit = found.pop(0)
            expires_at = now + RESERVED_PERMIT_SECONDS
            kept = Permit(permit.life, permit.granted, expires_at)
            self.reserved_permits[exchange] = (name, kept)

    def unreserve_permit(self, exchange: int) -> str:
        """Make the reserved permit of a request available again.

        Returns the upstream of the permit, or an empty string if there is
        none.
        """
        name, permit = self.reserved_permits.pop(exchange, ('', None))
        if permit is not None:
            self.unused_permits.setdefault(name, []).insert(0, permit)
        return name

    def available_rate(self, name: str, now: float) -> float:
        """Return the permits a second that this instance can expect.

        That is the whole limit unless a permit was denied within
        ``GRANT_WINDOW_SECONDS``.
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
        """Return how many seconds a request waits for one of the upstreams.

        All of them must have limits. ``requests_ahead`` is the number of
        requests of this instance that are served before it.
        """
        available_rate = sum(self.available_rate(name, now) for name in names)
        wait = (
            requests_ahead / available_rate
            if available_rate > 0.0
            else permits.NO_SHARE_WAIT_SECONDS
        )
        retry_times = [
            self.keeper.next_permit_at(self.limited_lives[name], account, now)
            for name in names
        ]
        if None in retry_times:
            return wait
        return wait + min(at for at in retry_times if at is not None) - now

    def release_permits(self, name: str, now: float) -> None:
        """Return the unused permits of an upstream that wants no requests."""
        for permit in self.unused_permits.pop(name, ()):
            self.keeper.return_permit(permit.life, permit.granted, now)

    def process_permit_outcomes(self, now: float) -> set[str]:
        """Process the answers to permit requests.

        Returns the names of upstreams that may accept a request now.
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
        """Keep a granted permit for at most ``UNUSED_PERMIT_SECONDS``."""
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
        """Return expired permits, and all unused ones unless ``wanted``."""
        for name, found in list(self.unused_permits.items()):
            for permit in found:
                if now >= permit.expires_at or not wanted:
                    self.keeper.return_permit(permit.life, permit.granted, now)
            kept = [p for p in found if now < p.expires_at and wanted]
            self.unused_permits[name] = kept
            if not kept:
                del self.unused_permits[name]
        for exchange, (_, permit) in list(self.reserved_permits.items()):
            if now >= permit.expires_at:
                del self.reserved_permits[exchange]
                self.keeper.return_permit(permit.life, permit.granted, now)

    def pending_actions(self, now: float) -> list[actions.Action]:
        """Return the messages to send and the timer to set, if it changed."""
        due_actions: list[actions.Action] = [
            actions.SendPeerMessage(outgoing.receiver, outgoing.message)
            for outgoing in self.keeper.outgoing
        ]
        self.keeper.outgoing.clear()
        if not (
            self.keeper.schedule_changed
            or self.unused_permits
            or self.reserved_permits
        ):
            return due_actions
        self.keeper.schedule_changed = False
        due_at = self.keeper.next_due_at(now)
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
        """Handle the timer set by :meth:`pending_actions`."""
        self.timer_at = float('inf')
        self.keeper.run_due(now)


def upstream_of_life(life: str) -> str:
    """Return the name of the upstream of a life."""
    return life.rpartition(' ')[0]
