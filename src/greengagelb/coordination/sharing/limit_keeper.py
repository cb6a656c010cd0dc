"""Keeps all instances together within the limits that engines report.

For each life of an engine with a limit, one instance issues permits. Instances
that hear different members may choose different issuers; then each issuer has
only the parts that were lent to it (see :mod:`.leases`), so the sum stays
within the limit. The state is in memory only and needs no consensus.

A request waits for its permit at the instance where it arrived. Datagrams may
be lost: a permit request is sent again with the same number until it is
answered.
"""

import dataclasses
import itertools

from greengagelb.coordination.sharing import issuer_ranking
from greengagelb.coordination.sharing import limit_table
from greengagelb.coordination.sharing import permit_issuers
from greengagelb.coordination.sharing import permits
from greengagelb.state import limits

# An unanswered permit request is sent again after this delay, which doubles
# each time up to the maximum.
FIRST_RESEND_SECONDS = 0.015
MAX_RESEND_SECONDS = 0.25
# A limit is broadcast again after these delays, as datagrams may be lost.
REBROADCAST_DELAYS_SECONDS = (0.4, 1.2)
# The least time between two requests for the limits of others.
LIMITS_REQUEST_INTERVAL_SECONDS = 0.5
# The least time between two calls of ``run_due``.
MIN_STEP_SECONDS = 0.001
# How long an issuer's answer may take to arrive.
ANSWER_DELAY_SECONDS = 0.02
# After a denial no permit is requested again for at least this long.
MIN_BLOCK_SECONDS = 0.05
MAX_ACCOUNT_BLOCKS = 4_096
# The wait that is reported if no issuer answers.
NO_ANSWER_WAIT_SECONDS = 0.25


@dataclasses.dataclass(slots=True)
class PermitRequest:
    """A request of this instance that waits for a permit.

    It was sent ``send_count`` times and is sent again at ``resend_at``.
    ``expected_grant_at`` is when the issuer expects to grant it.
    """

    number: int
    life: str
    account: str
    urgent: bool
    deadline: float
    issuer: str = ''
    send_count: int = 0
    resend_at: float = 0.0
    expected_grant_at: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A permit to send one request to a life now.

    ``issuer`` is empty if the life has no limit any more.
    """

    number: int
    issuer: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The refusal of a permit within the time of the request.

    ``wait`` is in seconds. ``issuer`` had borrowed the share ``share`` of the
    limit; it is empty if none answered.
    """

    number: int
    wait: float
    issuer: str = ''
    share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AccountBlock:
    """A denied account, for which no permit is requested before ``until``.

    ``next_permit_at`` is when the issuer expected a permit.
    """

    until: float
    next_permit_at: float


class LimitKeeper:
    """Requests and issues permits, and exchanges limits with instances.

    It requests permits for the sends of this instance, issues permits to all
    instances, and exchanges the limits that engines report.

    The caller takes and empties ``outgoing`` and ``outcomes``.
    ``schedule_changed`` is set when the result of ``next_due_at`` may have
    changed.

    Invariant: each number in ``requests`` has had no outcome yet, and gets
    one.
    """

    def __init__(self, own_incarnation: str) -> None:
        self.own_incarnation = own_incarnation
        self.table = limit_table.LimitTable()
        self.ranking = issuer_ranking.IssuerRanking(own_incarnation)
        self.issuers = permit_issuers.PermitIssuers(
            own_incarnation, self.table, self.ranking, self.send_or_handle
        )
        self.parts = self.issuers.parts
        self.requests: dict[int, PermitRequest] = {}
        self.numbers = itertools.count(1)
        self.account_blocks: dict[tuple[str, str], AccountBlock] = {}
        self.recent_grants: dict[int, float] = {}
        self.rebroadcasts: list[tuple[float, str]] = []
        self.next_limits_request_at = float('-inf')
        self.granted_count = 0
        self.denied_count = 0
        self.schedule_changed = False
        self.outgoing: list[issuer_ranking.OutgoingMessage] = []
        self.outcomes: list[Granted | Denied] = []

    def is_limited(self, life: str) -> bool:
        """Return whether a request to a life needs a permit."""
        return self.table.rate_of(life) is not None

    def update_from_answer(
        self, life: str, rate: float | None, asked_at: float, now: float
    ) -> limits.LimitUpdate | None:
        """Apply the limit in an answer; broadcast it if it is new."""
        update = self.table.update_from_answer(life, rate, asked_at, now)
        if update is not None:
            self.send('', update)
            self.rebroadcasts += [
                (now + seconds, life) for seconds in REBROADCAST_DELAYS_SECONDS
            ]
            self.apply_limit_change(life, now)
        return update

    def figures(self) -> limits.LimitStatistics:
        """Return the metrics of limits."""
        rates = self.table.limits_in_force().values()
        return limits.LimitStatistics(
            len(rates),
            sum(rates),
            len(self.requests),
            self.granted_count,
            self.denied_count,
        )

    def request_limits_if_different(
        self, incarnation: str, digest: int, now: float
    ) -> None:
        """Request the limits of an instance with another digest."""
        if digest == self.table.digest() or now < self.next_limits_request_at:
            return
        self.next_limits_request_at = now + LIMITS_REQUEST_INTERVAL_SECONDS
        self.send(incarnation, limits.LimitUpdatesRequest())

    def merge_limit(self, update: limits.LimitUpdate, now: float) -> bool:
        """Merge the limit of another instance; return whether it is newer."""
        is_newer = self.table.merge_limit(update, now)
        if is_newer:
            self.apply_limit_change(update.life, now)
        return is_newer

    def apply_limit_change(self, life: str, now: float) -> None:
        """Apply a changed limit; grant what needs no permit any more."""
        self.schedule_changed = True
        for key in [key for key in self.account_blocks if key[0] == life]:
            del self.account_blocks[key]
        self.issuers.apply_limit_change(life, now)
        if self.is_limited(life):
            return
        for request in [a for a in self.requests.values() if a.life == life]:
            del self.requests[request.number]
            self.outcomes.append(Granted(request.number))

    def carry_over_limit(self, former: str, life: str, now: float) -> None:
        """Hold the next life of an engine to the limit of the former one."""
        if self.table.carry_over(former, life, now):
            self.apply_limit_change(life, now)

    def forget_life(self, life: str) -> None:
        """Drop a life that has ended."""
        self.schedule_changed = True
        self.table.forget_life(life)
        self.issuers.forget_life(life)
        for request in [a for a in self.requests.values() if a.life == life]:
            self.deny_request(request, 0.0)

    def withdraw_requests(self, life: str, now: float) -> None:
        """Deny the requests for a life that is to get none; return permits."""
        self.schedule_changed = True
        for request in [a for a in self.requests.values() if a.life == life]:
            self.deny_request(request, 0.0)
            returned = limits.PermitReturned(life, request.number)
            self.send_or_handle(request.issuer, returned, now)

    def next_permit_at(
        self, life: str, account: str, now: float
    ) -> float | None:
        """Return when a blocked account may get a permit of a life again.

        None if a permit may be requested now.
        """
        limit = self.table.known_limits.get(life)
        if limit is None or limit.rate is None:
            return None
        if not limit_table.send_rate(limit, now):
            return limit.known_at + limit_table.ZERO_LIMIT_SECONDS
        block = self.account_blocks.get((life, account))
        if block is None or now >= block.until:
            return None
        return block.next_permit_at

    def expected_wait_seconds(self, life: str, now: float) -> float:
        """Return the longest expected wait among the requests for a life."""
        waits = [
            request.expected_grant_at - now
            for request in self.requests.values()
            if request.life == life
        ]
        return max(0.0, *waits) if waits else 0.0

    def request_permit(
        self,
        life: str,
        account: str,
        deadline: float,
        now: float,
        *,
        urgent: bool = False,
    ) -> int:
        """Request a permit; return the number that its outcome will have."""
        number = next(self.numbers)
        request = PermitRequest(number, life, account, urgent, deadline)
        self.requests[number] = request
        self.send_request(request, now)
        return number

    def send_request(self, request: PermitRequest, now: float) -> None:
        """Send a permit request to the current issuer."""
        self.schedule_changed = True
        issuer = self.ranking.issuer_of(request.life, now)
        if issuer != request.issuer:
            request.send_count = 0
        request.issuer = issuer
        resend_seconds = FIRST_RESEND_SECONDS * 2.0**request.send_count
        request.resend_at = now + min(MAX_RESEND_SECONDS, resend_seconds)
        request.send_count += 1
        limit = self.table.known_limits.get(request.life)
        if limit is None or limit.rate is None:
            return
        wanted = limits.PermitRequestMessage(
            request.life,
            request.number,
            request.account,
            request.urgent,
            max(0.0, request.deadline - now),
            limit.rate,
            limit.version,
        )
        if issuer != self.own_incarnation:
            self.ranking.count_permit_request(issuer, now)
        self.send_or_handle(issuer, wanted, now)

    def return_permit(self, life: str, granted: Granted, now: float) -> None:
        """Return an unused permit."""
        self.schedule_changed = True
        if granted.issuer:
            returned = limits.PermitReturned(life, granted.number)
            self.send_or_handle(granted.issuer, returned, now)

    def count_unpermitted(self, life: str, count: int, now: float) -> None:
        """Report requests that were sent to a life without a permit."""
        issuer = self.ranking.issuer_of(life, now)
        self.send_or_handle(issuer, limits.UnpermittedSends(life, count), now)

    def deny_request(
        self,
        request: PermitRequest,
        wait: float,
        issuer: str = '',
        share: float = 0.0,
    ) -> None:
        """Give a request a denial as its outcome."""
        del self.requests[request.number]
        self.denied_count += 1
        self.outcomes.append(Denied(request.number, wait, issuer, share))

    def block_account(
        self, request: PermitRequest, wait: float, now: float
    ) -> None:
        """Request no permits for an account until its wait is acceptable."""
        remaining_seconds = max(0.0, request.deadline - now)
        seconds = max(MIN_BLOCK_SECONDS, wait - remaining_seconds)
        if len(self.account_blocks) >= MAX_ACCOUNT_BLOCKS:
            self.account_blocks.clear()
        key = (request.life, request.account)
        self.account_blocks[key] = AccountBlock(now + seconds, now + wait)

    def set_instance_count(
        self, instance_count: int, heartbeat_seconds: float, now: float
    ) -> None:
        """Set the number of instances that share limits, with this one."""
        self.parts.set_instance_count(instance_count, heartbeat_seconds, now)

    def remove_instance(self, incarnation: str, now: float) -> None:
        """Remove an instance that has stopped."""
        self.schedule_changed = True
        self.ranking.remove_instance(incarnation)
        self.issuers.remove_instance(incarnation, now)
        for request in self.requests.values():
            if request.issuer == incarnation:
                request.resend_at = now

    def handle_message(
        self, sender: str, message: limits.Message, now: float
    ) -> None:
        """Process a message of another instance, or of this one."""
        self.schedule_changed = True
        self.ranking.mark_alive(sender)
        match message:
            case limits.LimitUpdate():
                self.merge_limit(message, now)
            case limits.LimitUpdatesRequest():
                for update in self.table.list_limits():
                    self.send(sender, update)
            case limits.LeaseRequest():
                self.issuers.handle_lease_wanted(sender, message, now)
            case limits.LeaseGrant():
                self.issuers.handle_lease(sender, message, now)
            case limits.LeaseReturned(life):
                self.parts.take_back(life, sender, now)
            case limits.PermitRequestMessage():
                self.handle_permit_wanted(sender, message, now)
            case limits.PermitAnswer():
                self.handle_permit_answer(sender, message, now)
            case limits.PermitReturned():
                self.issuers.handle_permit_returned(sender, message, now)
            case limits.UnpermittedSends():
                self.issuers.handle_spent(message, now)
            case limits.LivenessQuery() | limits.IssuerSilent(
                self.own_incarnation
            ):
                self.send(sender, limits.LivenessReply())
            case limits.IssuerSilent(issuer):
                self.ranking.suspect_reported(issuer, now)

    def handle_permit_wanted(
        self, sender: str, wanted: limits.PermitRequestMessage, now: float
    ) -> None:
        """Process a permit request and its sender's view of the limit."""
        life = wanted.life
        update = limits.LimitUpdate(life, wanted.rate, wanted.version)
        self.merge_limit(update, now)
        limit = self.table.known_limits[life]
        if limit.version > wanted.version:
            newer = limits.LimitUpdate(life, limit.rate, limit.version)
            self.send(sender, newer)
        self.issuers.handle_permit_wanted(sender, wanted, now)

    def handle_permit_answer(
        self, sender: str, answer: limits.PermitAnswer, now: float
    ) -> None:
        """Process an issuer's answer to a permit request."""
        request = self.requests.get(answer.number)
        is_granted = answer.verdict is limits.Verdict.GRANTED
        if request is None or request.life != answer.life:
            # A request that was sent twice may be granted twice; the second
            # permit is returned.
            if is_granted and answer.number not in self.recent_grants:
                returned = limits.PermitReturned(answer.life, answer.number)
                self.send_or_handle(sender, returned, now)
            return
        match answer.verdict:
            case limits.Verdict.GRANTED if now > give_up_at(request):
                # This process may have been suspended since the grant.
                self.give_up_request(request, now)
            case limits.Verdict.GRANTED:
                del self.requests[request.number]
                self.granted_count += 1
                self.remember_grant(request.number, now)
                self.outcomes.append(Granted(request.number, sender))
            case limits.Verdict.QUEUED:
                request.expected_grant_at = now + answer.wait
                wait = max(FIRST_RESEND_SECONDS, answer.wait)
                request.resend_at = now + wait + FIRST_RESEND_SECONDS
            case limits.Verdict.DENIED:
                self.block_account(request, answer.wait, now)
                self.deny_request(request, answer.wait, sender, answer.share)

    def remember_grant(self, number: int, now: float) -> None:
        """Remember a granted number, to recognize a repeated grant."""
        self.recent_grants[number] = now
        for recent_number, granted_at in list(self.recent_grants.items()):
            if now < granted_at + permits.GRANT_MEMORY_SECONDS:
                return
            del self.recent_grants[recent_number]

    def send(self, receiver: str, message: limits.Message) -> None:
        """Queue a message to an instance, or to all if empty."""
        self.outgoing.append(issuer_ranking.OutgoingMessage(receiver, message))

    def send_or_handle(
        self, receiver: str, message: limits.Message, now: float
    ) -> None:
        """Send a message, or handle it if this instance is the receiver."""
        if receiver == self.own_incarnation:
            self.handle_message(receiver, message, now)
        else:
            self.send(receiver, message)

    def run_due(self, now: float) -> None:
        """Run everything that is due."""
        self.schedule_changed = True
        self.ranking.suspect_unanswered(now)
        self.outgoing += self.ranking.due_messages(now)
        for request in list(self.requests.values()):
            if now >= give_up_at(request):
                self.give_up_request(request, now)
            elif now >= request.resend_at:
                self.send_request(request, now)
        self.issuers.run_due(now)
        for due_at, life in list(self.rebroadcasts):
            if now >= due_at:
                self.rebroadcasts.remove((due_at, life))
                self.rebroadcast_limit(life)

    def rebroadcast_limit(self, life: str) -> None:
        """Broadcast a limit again."""
        limit = self.table.known_limits.get(life)
        if limit is not None:
            self.send('', limits.LimitUpdate(life, limit.rate, limit.version))

    def give_up_request(self, request: PermitRequest, now: float) -> None:
        """Deny a request that was not answered in time."""
        self.block_account(request, NO_ANSWER_WAIT_SECONDS, now)
        self.deny_request(request, NO_ANSWER_WAIT_SECONDS)
        returned = limits.PermitReturned(request.life, request.number)
        self.send_or_handle(request.issuer, returned, now)

    def next_due_at(self, now: float) -> float:
        """Return when ``run_due`` has something to do."""
        times = [self.ranking.next_due_at(), self.issuers.next_due_at(now)]
        times += [
            min(a.resend_at, give_up_at(a)) for a in self.requests.values()
        ]
        times += [due_at for due_at, _ in self.rebroadcasts]
        return max(now + MIN_STEP_SECONDS, min(times))


def give_up_at(request: PermitRequest) -> float:
    """Return when a request stops waiting for an answer.

    An issuer that has queued it answers at its deadline, so that answer is
    given time to arrive.
    """
    is_queued = request.expected_grant_at > float('-inf')
    return request.deadline + (ANSWER_DELAY_SECONDS if is_queued else 0.0)
