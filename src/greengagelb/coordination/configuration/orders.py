"""Orders engines to change to their configured model version and role.

One instance at a time sends orders to the engines of a pool in a data centre.
It holds a lease, a row of the platform's table whose version is the fencing
number of its orders. The instance that tries to take the lease is selected by
rendezvous hashing, which only avoids contention. Safety depends on the lease:

- Its deadline is measured on the holder's monotonic clock from before the
  write was sent and is checked right before each order. The lease is dropped
  after a pause of the process.
- Engines that check fencing numbers refuse orders of a former holder.
- For engines that don't, the next holder waits for the duration of a lease and
  the timeout of an order after it first saw the current row.

An order sets a target, and the engine's reports are compared with the target
until they agree. An order that arrives late, is lost, or is undone by a
restart with the old version is therefore followed by another one.
"""

from collections.abc import Iterable
import dataclasses

from greengagelb import errors
from greengagelb.state import configuration as configuration_state
from greengagelb.state import orders as order_state

LEASE_SECONDS = 15.0
ORDER_TIMEOUT_SECONDS = 5.0
RENEW_INTERVAL_SECONDS = 5.0
READ_INTERVAL_SECONDS = 3.0
HOLD_SPREAD_SECONDS = 6.0
RESEND_AFTER_SECONDS = 20.0
MAX_REPORT_AGE_SECONDS = 5.0
MAX_LOAD_WAIT_SECONDS = 30.0
MAX_DRAINED_SHARE = 0.25
NO_HOLDER = order_state.Lease('')


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the row of the lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the row of the lease if its version is still ``expected``."""

    expected: int
    lease: order_state.Lease


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLoad:
    """Ask the weight store whether an engine may load its target now."""

    upstream: str
    target: order_state.Target


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order unless the monotonic time ``deadline`` has passed."""

    upstream: configuration_state.Upstream
    target: order_state.Target
    fencing_number: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Record an automatic action on the time line."""

    kind: str
    reason: str
    upstream: str = ''


Action = ReadLease | WriteLease | RequestLoad | SendOrder | Explain


def max_drained_engines(engines: int) -> int:
    """Return how many engines of a pool may be drained at once."""
    return max(1, int(engines * MAX_DRAINED_SHARE))


class PoolOrders:
    """One instance's orders to the engines of a pool in a data centre.

    ``targets``, ``reports`` and ``progress`` are by upstream name; the engines
    in ``progress`` are held, which means that they get no new work. Times are
    monotonic seconds. ``fencing_number`` is 0 without a lease.
    ``store_request_pending`` tells that a read or write of the lease is
    unanswered.

    Invariants: no order is sent at or after the lease's deadline, nor to an
    engine that runs requests, and at most :func:`max_drained_engines` are held
    at once.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.targets: dict[str, order_state.RequiredTarget] = {}
        self.reports: dict[str, order_state.EngineObservation] = {}
        self.progress: dict[str, order_state.OrderProgress] = {}
        self.is_lease_candidate = False
        self.fencing_number = 0
        self.lease_deadline = float('-inf')
        self.lease_row: order_state.LeaseRow | None = None
        self.row_changed_at = float('-inf')
        self.row_read_at = float('-inf')
        self.store_request_pending = False
        self.written_lease = NO_HOLDER
        self.write_sent_at = float('-inf')
        self.write_count = 0
        self.next_load_at = float('-inf')
        self.load_requested_for = ''
        self.load_refusals = 0

    def set_targets(
        self, wanted: Iterable[order_state.RequiredTarget]
    ) -> None:
        """Set the targets of a configuration."""
        self.targets = {one.upstream.name: one for one in wanted}
        for name, progress in list(self.progress.items()):
            if name not in self.targets:
                del self.progress[name]
            else:
                progress.may_load = False

    def update_report(
        self, name: str, seen: order_state.EngineObservation
    ) -> None:
        """Store the latest report of an engine."""
        self.reports[name] = seen

    def handle_own_pause(self) -> list[Action]:
        """Drop the lease after a pause of this process.

        The lease may have expired meanwhile, and the clock on which its
        deadline is checked may have stopped as well.
        """
        if not self.fencing_number:
            return []
        self.drop_lease()
        return [Explain('order-lease-dropped', 'this process was paused')]

    def drop_lease(self) -> None:
        """Give up the lease and all held engines without a write."""
        self.fencing_number = 0
        self.lease_deadline = float('-inf')
        self.progress.clear()

    def handle_lease_read(
        self, row: order_state.LeaseRow, now: float
    ) -> list[Action]:
        """Handle the row of the lease as read from the store."""
        self.store_request_pending = False
        self.row_read_at = now
        if row != self.lease_row:
            self.lease_row = row
            self.row_changed_at = now
        if (
            self.fencing_number
            and row.number > self.fencing_number
            and (row.lease != self.written_lease)
        ):
            self.drop_lease()
            return [Explain('order-lease-lost', f'number {row.number}')]
        if row.lease == self.written_lease != NO_HOLDER:
            return self.hold_lease(row.number)
        return []

    def handle_lease_written(self, number: int) -> list[Action]:
        """Handle a successful write of the lease."""
        self.store_request_pending = False
        self.lease_row = order_state.LeaseRow(number, self.written_lease)
        self.row_changed_at = self.row_read_at = self.write_sent_at
        if self.written_lease == NO_HOLDER:
            return []
        return self.hold_lease(number)

    def handle_lease_failure(self) -> None:
        """Handle a failed or unanswered read or write of the lease.

        The row is read again first, as it may have been written.
        """
        self.store_request_pending = False
        self.row_read_at = float('-inf')

    def hold_lease(self, number: int) -> list[Action]:
        """Hold the lease, counted from the time its write was sent."""
        is_new = not self.fencing_number
        self.fencing_number = number
        self.lease_deadline = self.write_sent_at + LEASE_SECONDS
        if not is_new:
            return []
        return [Explain('order-lease-taken', f'number {number}')]

    def handle_fenced_order(self, name: str) -> list[Action]:
        """Drop the lease, as an engine knows a higher fencing number."""
        self.drop_lease()
        return [
            Explain(
                'order-fenced', 'an engine knows a newer fencing number', name
            )
        ]

    def handle_load_allowed(self, name: str) -> None:
        """Record that the weight store allows an engine to load."""
        self.load_requested_for = ''
        self.load_refusals = 0
        if name in self.progress:
            self.progress[name].may_load = True

    def handle_load_refused(
        self, name: str, retry_after: float, now: float
    ) -> list[Action]:
        """Back off, as the weight store allows no load yet.

        The wait doubles with each refusal, so that a rollout over many
        engines doesn't exhaust the rate of the weight store.
        """
        self.load_requested_for = ''
        wait = min(retry_after * 2**self.load_refusals, MAX_LOAD_WAIT_SECONDS)
        self.load_refusals += 1
        self.next_load_at = now + wait
        reason = f'weight store is busy; asked again in {wait:.0f} s'
        return [Explain('load-delayed', reason, name)]

    def holds_lease(self, now: float) -> bool:
        """Return whether an order may be sent now."""
        return self.fencing_number > 0 and now < self.lease_deadline

    @property
    def held_engines(self) -> frozenset[str]:
        """Return the names of engines that must get no new work."""
        return frozenset(self.progress)

    def tick(self, now: float) -> list[Action]:
        """Advance the lease and the orders."""
        if self.fencing_number and not self.holds_lease(now):
            self.drop_lease()
        actions = self.release_reached_engines()
        if not self.is_lease_candidate or not self.engines_off_target():
            return [*actions, *self.release_lease(now)]
        actions += self.maintain_lease(now)
        if self.holds_lease(now):
            actions += self.advance_orders(now)
        return actions

    def engines_off_target(self) -> list[str]:
        """Return the names of engines whose report differs from the target."""
        return [
            name
            for name, wanted in self.targets.items()
            if name in self.reports
            and self.reports[name].target != wanted.target
        ]

    def release_reached_engines(self) -> list[Action]:
        """Release held engines that have reached their target."""
        actions: list[Action] = []
        off_target = set(self.engines_off_target())
        for name in list(self.progress):
            if name not in off_target:
                del self.progress[name]
                reason = 'engine reports its target'
                actions.append(Explain('order-reached', reason, name))
        return actions

    def release_lease(self, now: float) -> list[Action]:
        """Release the lease at once if no order is in progress."""
        if not self.fencing_number or self.store_request_pending:
            return []
        if self.progress:
            return []
        expected = self.fencing_number
        self.drop_lease()
        return [self.build_lease_write(expected, NO_HOLDER, now)]

    def maintain_lease(self, now: float) -> list[Action]:
        """Read, take or renew the lease, whichever is due."""
        if self.store_request_pending:
            return []
        if (
            self.lease_row is None
            or now - self.row_read_at >= READ_INTERVAL_SECONDS
        ):
            self.store_request_pending = True
            return [ReadLease()]
        if self.holds_lease(now):
            if now - self.write_sent_at < RENEW_INTERVAL_SECONDS:
                return []
        elif not self.can_take_lease(now):
            return []
        self.write_count += 1
        token = order_state.Lease(f'{self.incarnation}.{self.write_count}')
        return [self.build_lease_write(self.lease_row.number, token, now)]

    def can_take_lease(self, now: float) -> bool:
        """Return whether no other holder can have an order in progress."""
        if self.lease_row is None:
            return False
        if self.lease_row.lease == NO_HOLDER:
            return True
        return (
            now >= self.row_changed_at + LEASE_SECONDS + ORDER_TIMEOUT_SECONDS
        )

    def build_lease_write(
        self, expected: int, lease: order_state.Lease, now: float
    ) -> WriteLease:
        """Return the write of a lease and record when it is sent."""
        self.store_request_pending = True
        self.written_lease = lease
        self.write_sent_at = now
        return WriteLease(expected, lease)

    def advance_orders(self, now: float) -> list[Action]:
        """Hold engines, and send orders to those that are idle."""
        actions = self.hold_engines(now)
        for name, progress in self.progress.items():
            actions += self.advance_order(name, progress, now)
        if len(self.progress) > max_drained_engines(len(self.targets)):
            raise errors.InvariantViolated('too many engines are held at once')
        return actions

    def hold_engines(self, now: float) -> list[Action]:
        """Hold the least busy engines, as many as are allowed."""
        actions: list[Action] = []
        room = max_drained_engines(len(self.targets)) - len(self.progress)
        waiting = [
            n for n in self.engines_off_target() if n not in self.progress
        ]
        waiting.sort(key=lambda name: (self.reports[name].busy, name))
        for name in waiting[: max(0, room)]:
            self.progress[name] = order_state.OrderProgress(now)
            target = self.targets[name].target
            reason = f'drained for {target.model} {target.version}'
            actions.append(Explain('order-held', reason, name))
        return actions

    def advance_order(
        self, name: str, progress: order_state.OrderProgress, now: float
    ) -> list[Action]:
        """Send an order to an engine once it is idle.

        Other instances learn of the hold with a delay. For
        ``HOLD_SPREAD_SECONDS`` they may still send work to an idle engine.
        """
        seen = self.reports[name]
        if now < progress.held_at + HOLD_SPREAD_SECONDS or seen.busy:
            return []
        if now - seen.reported_at > MAX_REPORT_AGE_SECONDS:
            return []
        if now < progress.resend_at:
            return []
        if self.needs_other_weights(name) and not progress.may_load:
            return self.request_load(name, now)
        return [
            *self.explain_order(name, progress),
            self.build_order(name, now),
        ]

    def needs_other_weights(self, name: str) -> bool:
        """Return whether the target needs weights that aren't loaded."""
        wanted, seen = self.targets[name].target, self.reports[name].target
        return (wanted.model, wanted.version, wanted.adapter) != (
            seen.model,
            seen.version,
            seen.adapter,
        )

    def request_load(self, name: str, now: float) -> list[Action]:
        """Request a load from the weight store, one at a time."""
        if now < self.next_load_at or self.load_requested_for:
            return []
        self.load_requested_for = name
        return [RequestLoad(name, self.targets[name].target)]

    def explain_order(
        self, name: str, progress: order_state.OrderProgress
    ) -> list[Action]:
        """Return the time line entry for an order that is sent."""
        reason = f'engine reports {self.reports[name].target.version}'
        if progress.sent:
            return [Explain('order-repeated', reason, name)]
        return [Explain('order-sent', reason, name)]

    def build_order(self, name: str, now: float) -> SendOrder:
        """Return the order that sets the target of an engine."""
        if not self.holds_lease(now):
            raise errors.InvariantViolated(
                'order would be sent without a valid lease'
            )
        progress = self.progress[name]
        progress.resend_at = now + RESEND_AFTER_SECONDS
        progress.may_load = False
        progress.sent += 1
        wanted = self.targets[name]
        return SendOrder(
            wanted.upstream,
            wanted.target,
            self.fencing_number,
            self.lease_deadline,
        )
