"""Orders engines to the model version, adapter and role that they shall have.

One instance at a time orders the engines of one pool in one data centre. It
holds a lease, a row of the platform's table whose version is the fencing
number of its orders. Which instance tries to hold it is picked by rendezvous
hash; that only saves work. Safety rests on the lease:

- its deadline is counted on the holder's monotonic clock from before the
  write was sent, is checked right before each order, and the lease is dropped
  after a pause of the process;
- engines that check fencing numbers refuse those of a former holder;
- for those that don't, the next holder waits, from when it first saw the row
  as it is, for the whole lease and the time to live of an order.

An order sets a target. The engine's report is compared with it until both
agree, so an order that came too late, was lost, or was undone by a restart
with the old version, is followed by another one.
"""

from collections.abc import Iterable
import dataclasses

from greengagelb import errors
from greengagelb.state import configuration as configuration_state
from greengagelb.state import orders as order_state

LEASE_SECONDS = 15.0
ORDER_SECONDS = 5.0
RENEW_SECONDS = 5.0
READ_AGAIN_SECONDS = 3.0
HOLD_SECONDS = 6.0
RESEND_SECONDS = 20.0
FRESH_REPORT_SECONDS = 5.0
MOST_LOAD_WAIT_SECONDS = 30.0
SHARE_AT_ONCE = 0.25
NOBODY = order_state.Lease('')


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease's row."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease's row if its number is still ``expected``."""

    expected: int
    lease: order_state.Lease


@dataclasses.dataclass(frozen=True, slots=True)
class AskToLoad:
    """Ask the weight store whether an engine may load its target now."""

    upstream: str
    target: order_state.Target


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order, unless ``deadline`` has passed by then."""

    upstream: configuration_state.Upstream
    target: order_state.Target
    number: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Put an automatic act on the time line."""

    kind: str
    reason: str
    upstream: str = ''


Action = ReadLease | WriteLease | AskToLoad | SendOrder | Explain


def engines_at_once(engines: int) -> int:
    """Return how many engines of a pool may be out of work at once."""
    return max(1, int(engines * SHARE_AT_ONCE))


class PoolOrders:
    """Orders of one pool in one data centre, as seen by one instance.

    Invariants: no order is sent at or after the lease's deadline, nor to an
    engine that runs something, and no more engines are held at once than
    ``engines_at_once`` allows.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.wanted: dict[str, order_state.Wanted] = {}
        self.seen: dict[str, order_state.EngineSeen] = {}
        self.progress: dict[str, order_state.OrderProgress] = {}
        self.picked = False
        self.number = 0
        self.deadline = float('-inf')
        self.row: order_state.LeaseRow | None = None
        self.row_seen_at = float('-inf')
        self.row_read_at = float('-inf')
        self.busy = False
        self.written = NOBODY
        self.written_at = float('-inf')
        self.writes = 0
        self.next_load_at = float('-inf')
        self.load_asked_for = ''
        self.load_refusals = 0

    # -- what comes in ------------------------------------------------------

    def want(self, wanted: Iterable[order_state.Wanted]) -> None:
        """Take over the targets of a configuration."""
        self.wanted = {one.upstream.name: one for one in wanted}
        for name, under_way in list(self.progress.items()):
            if name not in self.wanted:
                del self.progress[name]
            else:
                under_way.may_load = False

    def reported(self, name: str, seen: order_state.EngineSeen) -> None:
        """Take in an engine's report."""
        self.seen[name] = seen

    def pause_noticed(self) -> list[Action]:
        """Drop the lease: it may have lapsed while this process stood still.

        The clock that the deadline is checked on may have stood still too.
        """
        if not self.number:
            return []
        self.drop()
        return [Explain('order-lease-dropped', 'this process stood still')]

    def drop(self) -> None:
        """Hold the lease no more."""
        self.number = 0
        self.deadline = float('-inf')
        self.progress.clear()

    def lease_read(
        self, row: order_state.LeaseRow, now: float
    ) -> list[Action]:
        """Take in the row as it is in the store."""
        self.busy = False
        self.row_read_at = now
        if row != self.row:
            self.row = row
            self.row_seen_at = now
        if (
            self.number
            and row.number > self.number
            and (row.lease != self.written)
        ):
            self.drop()
            return [Explain('order-lease-lost', f'number {row.number}')]
        if row.lease == self.written != NOBODY:
            return self.take(row.number)
        return []

    def lease_written(self, number: int) -> list[Action]:
        """Take in that this instance's own write took effect."""
        self.busy = False
        self.row = order_state.LeaseRow(number, self.written)
        self.row_seen_at = self.row_read_at = self.written_at
        if self.written == NOBODY:
            return []
        return self.take(number)

    def lease_unsettled(self) -> None:
        """Take in that a read or write failed, or was not answered.

        The row is read again before anything else: it may have been written.
        """
        self.busy = False
        self.row_read_at = float('-inf')

    def take(self, number: int) -> list[Action]:
        """Hold the lease, from before the write of it was sent."""
        first = not self.number
        self.number = number
        self.deadline = self.written_at + LEASE_SECONDS
        if not first:
            return []
        return [Explain('order-lease-taken', f'number {number}')]

    def order_refused(self, name: str) -> list[Action]:
        """Take in that an engine knows a higher fencing number."""
        self.drop()
        return [Explain('order-fenced', 'an engine knows a newer one', name)]

    def load_allowed(self, name: str) -> None:
        """Take in that the weight store allows an engine to load."""
        self.load_asked_for = ''
        self.load_refusals = 0
        if name in self.progress:
            self.progress[name].may_load = True

    def load_refused(
        self, name: str, retry_after: float, now: float
    ) -> list[Action]:
        """Take in that the weight store allows no load yet.

        Refused again and again it is asked more and more seldom: a rollout
        over many engines must not use up the store's own rate.
        """
        self.load_asked_for = ''
        wait = min(retry_after * 2**self.load_refusals, MOST_LOAD_WAIT_SECONDS)
        self.load_refusals += 1
        self.next_load_at = now + wait
        reason = f'weight store is busy; asked again in {wait:.0f} s'
        return [Explain('load-delayed', reason, name)]

    # -- what goes out ------------------------------------------------------

    def holds(self, now: float) -> bool:
        """Return whether an order may be sent now."""
        return self.number > 0 and now < self.deadline

    @property
    def held(self) -> frozenset[str]:
        """Return the engines that shall get no new work."""
        return frozenset(self.progress)

    def tick(self, now: float) -> list[Action]:
        """Go on with the lease and the orders."""
        if self.number and not self.holds(now):
            self.drop()
        done = self.finish_reached()
        if not self.picked or not self.deviating():
            return [*done, *self.give_back(now)]
        done += self.keep_lease(now)
        if self.holds(now):
            done += self.go_on(now)
        return done

    def deviating(self) -> list[str]:
        """Return the engines that report another than their target."""
        return [
            name
            for name, wanted in self.wanted.items()
            if name in self.seen and self.seen[name].target != wanted.target
        ]

    def finish_reached(self) -> list[Action]:
        """Give new work again to engines that have reached their target."""
        done: list[Action] = []
        deviating = set(self.deviating())
        for name in list(self.progress):
            if name not in deviating:
                del self.progress[name]
                reason = 'engine reports its target'
                done.append(Explain('order-reached', reason, name))
        return done

    def give_back(self, now: float) -> list[Action]:
        """Let others take the lease at once, as no order is under way."""
        if not self.number or self.busy:
            return []
        if self.progress:
            return []
        expected = self.number
        self.drop()
        return [self.write(expected, NOBODY, now)]

    def keep_lease(self, now: float) -> list[Action]:
        """Read, take or renew the lease, whichever is next."""
        if self.busy:
            return []
        if self.row is None or now - self.row_read_at >= READ_AGAIN_SECONDS:
            self.busy = True
            return [ReadLease()]
        if self.holds(now):
            if now - self.written_at < RENEW_SECONDS:
                return []
        elif not self.may_take(now):
            return []
        self.writes += 1
        token = order_state.Lease(f'{self.incarnation}.{self.writes}')
        return [self.write(self.row.number, token, now)]

    def may_take(self, now: float) -> bool:
        """Return whether no other holder can have an order under way."""
        if self.row is None:
            return False
        if self.row.lease == NOBODY:
            return True
        return now >= self.row_seen_at + LEASE_SECONDS + ORDER_SECONDS

    def write(
        self, expected: int, lease: order_state.Lease, now: float
    ) -> WriteLease:
        """Return the write of a lease, and note when it was sent."""
        self.busy = True
        self.written = lease
        self.written_at = now
        return WriteLease(expected, lease)

    def go_on(self, now: float) -> list[Action]:
        """Hold engines, wait until they are idle, and order them."""
        done = self.hold_more(now)
        for name, under_way in self.progress.items():
            done += self.advance(name, under_way, now)
        if len(self.progress) > engines_at_once(len(self.wanted)):
            raise errors.InvariantViolated('too many engines out of work')
        return done

    def hold_more(self, now: float) -> list[Action]:
        """Take the idlest engines out of work, as many as may be."""
        done: list[Action] = []
        room = engines_at_once(len(self.wanted)) - len(self.progress)
        waiting = [n for n in self.deviating() if n not in self.progress]
        waiting.sort(key=lambda name: (self.seen[name].busy, name))
        for name in waiting[: max(0, room)]:
            self.progress[name] = order_state.OrderProgress(now)
            target = self.wanted[name].target
            reason = f'drained for {target.model} {target.version}'
            done.append(Explain('order-held', reason, name))
        return done

    def advance(
        self, name: str, under_way: order_state.OrderProgress, now: float
    ) -> list[Action]:
        """Order one engine once it runs nothing any more.

        Other instances hear of the hold with a delay; until all have, an
        engine that is idle now may be given work in the next moment.
        """
        seen = self.seen[name]
        if now < under_way.held_at + HOLD_SECONDS or seen.busy:
            return []
        if now - seen.reported_at > FRESH_REPORT_SECONDS:
            return []
        if now < under_way.resend_at:
            return []
        if self.needs_load(name) and not under_way.may_load:
            return self.ask_to_load(name, now)
        return [*self.explain_send(name, under_way), self.order(name, now)]

    def needs_load(self, name: str) -> bool:
        """Return whether the target needs other weights than are loaded."""
        wanted, seen = self.wanted[name].target, self.seen[name].target
        return (wanted.model, wanted.version, wanted.adapter) != (
            seen.model,
            seen.version,
            seen.adapter,
        )

    def ask_to_load(self, name: str, now: float) -> list[Action]:
        """Ask the weight store for one load at a time."""
        if now < self.next_load_at or self.load_asked_for:
            return []
        self.load_asked_for = name
        return [AskToLoad(name, self.wanted[name].target)]

    def explain_send(
        self, name: str, under_way: order_state.OrderProgress
    ) -> list[Action]:
        """Return why an order is sent."""
        reason = f'engine reports {self.seen[name].target.version}'
        if under_way.sent:
            return [Explain('order-repeated', reason, name)]
        return [Explain('order-sent', reason, name)]

    def order(self, name: str, now: float) -> SendOrder:
        """Return the order that sets an engine's target."""
        if not self.holds(now):
            raise errors.InvariantViolated('order without a lease')
        under_way = self.progress[name]
        under_way.resend_at = now + RESEND_SECONDS
        under_way.may_load = False
        under_way.sent += 1
        wanted = self.wanted[name]
        return SendOrder(
            wanted.upstream, wanted.target, self.number, self.deadline
        )
