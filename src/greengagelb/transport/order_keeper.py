"""Carries out the actions of the order decisions: leases, loads, orders."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import http as web_http

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.coordination.configuration import orders
from greengagelb.coordination.fleet import rendezvous
from greengagelb.protocol import codec
from greengagelb.protocol import engine_api
from greengagelb.state import configuration as configuration_state
from greengagelb.state import orders as order_state
from greengagelb.state import upstreams as upstream_state
from greengagelb.transport import engine_client
from greengagelb.transport import http
from greengagelb.transport import platform_client

LEASE_TABLE = 'order-leases'


class OrderKeeper:
    """The orders of all pools in this instance's data centre."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        platform: platform_client.PlatformClient,
        decisions: node.Node,
        data_centre: str,
        dispatch: Callable[[events.Event], None],
        record: Callable[[actions.Record], None],
    ) -> None:
        self.reactor = reactor
        self.platform = platform
        self.node = decisions
        self.data_centre = data_centre
        self.dispatch = dispatch
        self.record = record
        self.treq = http.direct_client(http.fresh_connection_agent(reactor))
        self.pools: dict[str, orders.PoolOrders] = {}
        self.version = 0
        self.held_engines: frozenset[str] = frozenset()

    def tick(self, live: set[str]) -> None:
        """Advance all pools; ``live`` holds the incarnations alive here."""
        self.adopt_targets()
        for name, pool in self.pools.items():
            self.forward_engine_reports(pool)
            chosen = rendezvous.highest_scoring(f'orders {name}', live)
            pool.is_lease_candidate = (
                chosen == [self.node.incarnation] and not self.node.is_stopping
            )
            self.carry_out(name, pool.tick(self.reactor.seconds()))
        held = frozenset().union(
            *(p.held_engines for p in self.pools.values())
        )
        if held or self.held_engines:
            self.held_engines = held
            source = self.node.incarnation
            self.dispatch(events.UpstreamsHeld(source, held))

    def adopt_targets(self) -> None:
        """Adopt the targets of the configuration in force."""
        applied = self.node.configuration
        if applied.version == self.version:
            return
        self.version = applied.version
        engine_pools = {p.name: p for p in applied.pools if p.version}
        for name, pool in engine_pools.items():
            pool_orders = self.pools.setdefault(
                name, orders.PoolOrders(self.node.incarnation)
            )
            pool_orders.set_targets(self.targets_of_pool(pool))
        for name in set(self.pools) - set(engine_pools):
            del self.pools[name]

    def targets_of_pool(
        self, pool: configuration_state.Pool
    ) -> list[order_state.RequiredTarget]:
        """Return the targets of a pool's engines in this data centre."""
        return [
            order_state.RequiredTarget(
                upstream,
                order_state.Target(
                    pool.model, pool.version, pool.adapter, upstream.role
                ),
            )
            for upstream in pool.upstreams
            if upstream.data_centre == self.data_centre
        ]

    def forward_engine_reports(self, pool: orders.PoolOrders) -> None:
        """Pass on the latest reports of the engines of a pool."""
        for name in pool.targets:
            view = self.node.directory.views.get(name)
            if view is not None and view.incarnation:
                pool.update_report(name, last_engine_seen(view))

    def engines_to_probe(self) -> list[configuration_state.Upstream]:
        """Return the engines whose reports the orders wait for.

        Normally only a few instances probe an engine. The instance that sends
        it orders has to observe itself that it is idle, and that it has
        reached its target.
        """
        return [
            pool.targets[name].upstream
            for pool in self.pools.values()
            for name in pool.held_engines
            if name in pool.targets
        ]

    def handle_own_pause(self) -> None:
        """Drop all leases: they may have expired during the pause."""
        for name, pool in self.pools.items():
            self.carry_out(name, pool.handle_own_pause())

    def carry_out(self, name: str, wanted: list[orders.Action]) -> None:
        """Carry out the actions of the orders of a pool."""
        for action in wanted:
            match action:
                case orders.ReadLease():
                    self.read_lease(name)
                case orders.WriteLease():
                    self.write_lease(name, action)
                case orders.RequestLoad():
                    self.ask_to_load(name, action)
                case orders.SendOrder():
                    self.send_order(name, action)
                case orders.Explain(kind, reason, upstream):
                    text = f'pool {name}: {reason}'
                    self.record(actions.Record(kind, text, upstream=upstream))

    def lease_key(self, name: str) -> str:
        """Return the key of a pool's lease in this data centre."""
        return f'{self.data_centre}/{name}'

    @defer.inlineCallbacks
    def read_lease(self, name: str) -> Any:
        """Read the row of a pool's lease."""
        pool = self.pools[name]
        try:
            row = yield self.platform.read_row(
                LEASE_TABLE, self.lease_key(name)
            )
        except errors.GreengagelbError:
            pool.handle_lease_failure()
            return
        found = order_state.LeaseRow(0, orders.NO_HOLDER)
        if row is not None:
            lease = codec.decode(row.value, order_state.Lease)
            found = order_state.LeaseRow(row.version, lease)
        now = self.reactor.seconds()
        self.carry_out(name, pool.handle_lease_read(found, now))

    @defer.inlineCallbacks
    def write_lease(self, name: str, action: orders.WriteLease) -> Any:
        """Write the row of a pool's lease."""
        pool = self.pools[name]
        value = codec.encode(action.lease).decode()
        try:
            row = yield self.platform.write_row(
                LEASE_TABLE, self.lease_key(name), action.expected, value
            )
        except errors.GreengagelbError:
            pool.handle_lease_failure()
            return
        self.carry_out(name, pool.handle_lease_written(row.version))

    @defer.inlineCallbacks
    def ask_to_load(self, name: str, action: orders.RequestLoad) -> Any:
        """Ask the weight store whether an engine may load now."""
        pool = self.pools[name]
        target = action.target
        try:
            wait = yield self.platform.ask_to_load(
                target.model, target.version
            )
        except errors.PlatformUnavailable:
            wait = platform_client.LOAD_RETRY_SECONDS
        if wait is None:
            pool.handle_load_allowed(action.upstream)
            return
        now = self.reactor.seconds()
        self.carry_out(
            name, pool.handle_load_refused(action.upstream, wait, now)
        )

    @defer.inlineCallbacks
    def send_order(self, name: str, action: orders.SendOrder) -> Any:
        """Send an order, unless its lease has expired.

        The answer only matters if it is a refusal; the engine's reports tell
        whether it has reached its target.
        """
        if self.reactor.seconds() >= action.deadline:
            return
        order = engine_api.TargetOrder(
            fencing_number=action.fencing_number,
            model=action.target.model,
            version=action.target.version,
            adapter=action.target.adapter,
            role=action.target.role,
        )
        url = engine_client.url_of(action.upstream, '/v1/target')
        answer = self.treq.post(url, data=codec.encode(order))
        answer.addTimeout(orders.ORDER_TIMEOUT_SECONDS, self.reactor)
        pool = self.pools[name]
        upstream = action.upstream.name
        try:
            response = yield answer
            yield http.read_whole_body(response)
        except Exception as exc:
            reason = f'pool {name}: {type(exc).__name__}'
            self.record(
                actions.Record('order-unanswered', reason, upstream=upstream)
            )
            return
        if response.code == web_http.CONFLICT:
            self.carry_out(name, pool.handle_fenced_order(upstream))


def last_engine_seen(
    view: upstream_state.UpstreamView,
) -> order_state.EngineObservation:
    """Return the state of an engine from its latest report."""
    return order_state.EngineObservation(
        view.incarnation,
        order_state.Target(view.model, view.version, view.adapter, view.role),
        max(view.reported_running + view.reported_queued, view.in_flight),
        view.probed_at,
    )
