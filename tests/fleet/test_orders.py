"""Orders reach all engines although holders pause and lose the lease."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from greengagelb.coordination.configuration import orders
from greengagelb.state import orders as order_state
from tests.common import order_world

HOLDERS = st.integers(0, 2)


class Orders(stateful.RuleBasedStateMachine):
    """Three instances that all try to take the lease.

    Instances are stopped, the store loses answers or is down, orders are
    delayed and engines restart with their first version. Half of the engines
    ignore fencing numbers.
    """

    def __init__(self):
        super().__init__()
        self.world = order_world.OrderWorld(instances=3, engines=8)
        self.world.set_version('2')

    @stateful.rule(seconds=st.sampled_from([1, 5, 20, 40]))
    def time_passes(self, seconds):
        self.world.run(seconds)

    @stateful.rule(who=HOLDERS)
    def instance_is_stopped(self, who):
        self.world.stopped.add(who)

    @stateful.rule(seconds=st.sampled_from([3, 10, 25]))
    def holder_is_stopped_for_a_while(self, seconds):
        for who, member in enumerate(self.world.members):
            if member.fencing_number and who not in self.world.stopped:
                self.world.stopped.add(who)
        self.world.run(seconds)

    @stateful.rule(who=HOLDERS)
    def instance_wakes(self, who):
        self.world.wake(who)

    @stateful.rule(who=HOLDERS)
    def instance_wakes_and_acts_before_it_notices(self, who):
        self.world.stopped.discard(who)
        self.world.tick(who)

    @stateful.rule(version=st.sampled_from(['1', '2', '3']))
    def operator_changes_version(self, version):
        self.world.set_version(version)

    @stateful.rule(weather=st.sampled_from(['fair', 'down', 'lost']))
    def store_changes(self, weather):
        self.world.store_weather = weather

    @stateful.rule(delayed=st.booleans())
    def network_changes(self, delayed):
        self.world.delayed = delayed

    @stateful.rule()
    def late_orders_arrive(self):
        self.world.deliver_late_orders()

    @stateful.rule(number=st.integers(0, 7))
    def engine_restarts_with_the_old_version(self, number):
        self.world.engines[f'engine-{number}'].restart()

    @stateful.rule(number=st.integers(0, 7), count=st.integers(0, 2))
    def engine_runs(self, number, count):
        self.world.engines[f'engine-{number}'].busy = count

    @stateful.invariant()
    def at_most_one_holds_the_lease(self):
        holders = [
            m for m in self.world.members if m.holds_lease(self.world.now)
        ]
        assert len(holders) <= 1

    def teardown(self):
        self.world.store_weather = 'fair'
        self.world.delayed = False
        for who in range(3):
            self.world.wake(who)
        for engine in self.world.engines.values():
            engine.busy = 0
        self.world.run(250)
        self.world.deliver_late_orders()
        self.world.run(250)
        assert self.world.versions() == {self.world.version}


TestOrders = Orders.TestCase
TestOrders.settings = settings(
    max_examples=40, stateful_step_count=25, derandomize=True, deadline=None
)


def make_world(instances=1, engines=4):
    world = order_world.OrderWorld(instances, engines)
    world.set_version('2')
    return world


def test_rollout_changes_few_engines_at_a_time_and_ends():
    world = make_world(engines=8)
    most = 0
    for _ in range(300):
        world.run(1)
        most = max(most, len(world.members[0].held_engines))
    assert world.versions() == {'2'}
    assert most == 2
    assert world.members[0].fencing_number == 0
    assert world.lease.lease == orders.NO_HOLDER


def test_engine_is_not_ordered_before_its_streams_have_ended():
    world = make_world(engines=1)
    world.engines['engine-0'].busy = 1
    world.run(120)
    assert world.versions() == {'1'}
    world.engines['engine-0'].busy = 0
    world.run(60)
    assert world.versions() == {'2'}


def test_engine_that_restarts_with_the_old_version_is_ordered_again():
    """An engine restarts with the old version after a rollout.

    Without another order its pool would have one engine less.
    """
    world = make_world()
    world.run(300)
    world.engines['engine-0'].restart()
    world.run(100)
    assert world.versions() == {'2'}


def test_resumed_holder_without_lease_sends_no_order():
    """The holder pauses for a minute; another takes over and rolls back.

    The first holder resumes with its old state. Engines that ignore fencing
    numbers would carry out its old order.
    """
    world = make_world(instances=2)
    world.run(10)
    first = next(m for m in world.members if m.fencing_number)
    who = world.members.index(first)
    world.stopped.add(who)
    world.set_version('1')
    world.run(60)
    sent = len(world.sent)
    world.stopped.discard(who)
    world.tick(who)
    assert first.fencing_number == 0
    assert [order for w, order in world.sent[sent:] if w == who] == []


def test_next_holder_waits_for_orders_of_the_one_before():
    world = make_world(instances=2)
    world.run(10)
    taken_at = world.now
    first = next(m for m in world.members if m.fencing_number)
    other = next(m for m in world.members if not m.fencing_number)
    world.stopped.add(world.members.index(first))
    while not other.fencing_number:
        world.run(1)
    waited = world.now - taken_at
    least = orders.LEASE_SECONDS + orders.ORDER_TIMEOUT_SECONDS
    assert least - 2 * orders.RENEW_INTERVAL_SECONDS <= waited <= 2 * least


def test_lost_answer_of_the_lease_is_found_in_the_row():
    """The store writes the lease, but its answer is lost.

    If that counted as a failure, nobody would send orders until the lease
    had expired.
    """
    world = make_world()
    world.store_weather = 'lost'
    world.run(10)
    assert world.members[0].holds_lease(world.now)


def test_weight_store_is_asked_no_faster_than_it_allows():
    """A rollout over 40 engines must not request all loads at once."""
    world = make_world(engines=40)
    world.loads_apart = 7.0
    world.run(700)
    assert world.versions() == {'2'}
    assert world.loads_refused <= 3 * world.loads_allowed


@pytest.mark.parametrize('late', [1.0, 100.0])
def test_late_order_is_undone_at_an_engine_that_ignores_fencing(late):
    """A delayed order of a former holder arrives after the rollout."""
    world = make_world(engines=1)
    engine = world.engines['engine-0']
    engine.checks_fencing = False
    world.run(200)
    assert engine.target.version == '2'
    engine.target = order_state.Target('m', '1', '', 'generate')
    world.run(late + 60)
    assert engine.target.version == '2'
