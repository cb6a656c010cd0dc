"""Holders of an order lease, a store and engines on one clock."""

from greengagelb.coordination.configuration import orders
from greengagelb.state import configuration
from greengagelb.state import orders as order_state

RETRY_SECONDS = 1.0


class Engine:
    """An engine that takes orders, and says what it is."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.number = 0
        self.busy = 0
        self.restart()

    def restart(self):
        """Come back with the first version, knowing no fencing number."""
        self.number = 0
        self.target = order_state.Target('m', '1', '', 'generate')

    def take(self, order):
        """Take an order; return whether it was not refused."""
        if self.checks_fencing and order.fencing_number < self.number:
            return False
        self.number = max(self.number, order.fencing_number)
        self.target = order.target
        return True


class OrderWorld:
    """Runs ``PoolOrders`` of several instances, second by second."""

    def __init__(self, instances, engines):
        self.now = 1000.0
        self.version = '1'
        self.members = [
            orders.PoolOrders(f'instance-{n}') for n in range(instances)
        ]
        self.engines = {
            f'engine-{n}': Engine(n % 2 == 0) for n in range(engines)
        }
        self.lease = order_state.LeaseRow(0, orders.NO_HOLDER)
        self.stopped = set()
        self.store_weather = 'fair'
        self.delayed = False
        self.late = []
        self.sent = []
        self.owners = {}
        self.loads_apart = 0.0
        self.next_load_at = 0.0
        self.loads_allowed = 0
        self.loads_refused = 0
        for member in self.members:
            member.is_lease_candidate = True

    def set_version(self, version):
        """Put a version in force."""
        self.version = version
        target = order_state.Target('m', version, '', 'generate')
        for member in self.members:
            member.set_targets(
                order_state.RequiredTarget(
                    configuration.Upstream(
                        name, '127.0.0.1', 1, 'kl-1', engine.checks_fencing
                    ),
                    target,
                )
                for name, engine in self.engines.items()
            )

    def versions(self):
        """Return the versions that engines have."""
        return {engine.target.version for engine in self.engines.values()}

    def run(self, seconds):
        """Let time pass for all that are not stopped."""
        end = self.now + seconds
        while self.now < end:
            self.now += 1.0
            for who in range(len(self.members)):
                if who not in self.stopped:
                    self.report(who)
                    self.tick(who)

    def wake(self, who):
        """Let a stopped instance go on, and notice that it was stopped."""
        if who in self.stopped:
            self.stopped.discard(who)
            self.members[who].handle_own_pause()

    def report(self, who):
        """Let an instance read the reports of all engines."""
        for name, engine in self.engines.items():
            self.members[who].update_report(
                name,
                order_state.EngineObservation(
                    'x', engine.target, engine.busy, self.now
                ),
            )

    def tick(self, who):
        """Let an instance act, and carry its actions out."""
        for action in self.members[who].tick(self.now):
            self.carry_out(who, action)

    def carry_out(self, who, action):
        """Carry out an action."""
        member = self.members[who]
        match action:
            case orders.ReadLease():
                if self.store_weather == 'down':
                    member.handle_lease_failure()
                else:
                    member.handle_lease_read(self.lease, self.now)
            case orders.WriteLease(expected, lease):
                self.write(member, expected, lease)
            case orders.RequestLoad(name):
                self.load(member, name)
            case orders.SendOrder():
                self.send(who, action)

    def write(self, member, expected, lease):
        """Write the lease's row under the store's weather."""
        if self.store_weather == 'down' or expected != self.lease.number:
            member.handle_lease_failure()
            return
        self.lease = order_state.LeaseRow(expected + 1, lease)
        if lease != orders.NO_HOLDER:
            self.owners[expected + 1] = self.members.index(member)
        if self.store_weather == 'lost':
            member.handle_lease_failure()
        else:
            member.handle_lease_written(expected + 1)

    def load(self, member, name):
        """Allow a load, unless loads come too fast."""
        if self.now < self.next_load_at:
            self.loads_refused += 1
            member.handle_load_refused(name, RETRY_SECONDS, self.now)
            return
        self.loads_allowed += 1
        self.next_load_at = self.now + self.loads_apart
        member.handle_load_allowed(name)

    def send(self, who, order):
        """Bring an order to its engine, now or late."""
        assert self.owners[max(self.owners)] == who
        self.sent.append((who, order))
        if self.delayed:
            self.late.append(order)
        elif not self.engines[order.upstream.name].take(order):
            self.members[who].handle_fenced_order(order.upstream.name)

    def deliver_late_orders(self):
        """Bring the delayed orders to their engines."""
        late, self.late = self.late, []
        for order in late:
            self.engines[order.upstream.name].take(order)
