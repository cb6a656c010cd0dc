"""Instances find each other and spread versions despite network faults."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from greengagelb.coordination import events
from greengagelb.coordination.fleet import membership
from greengagelb.state import fleet
from greengagelb.state import identity
from tests.common import members

NUMBERS = st.integers(0, 5)


class Fleet(stateful.RuleBasedStateMachine):
    """Six instances in two data centres; the list shows any subset.

    Instances restart and are cut off from each other. Versions must never
    decrease, and all instances must agree once the network works again.
    """

    def __init__(self):
        super().__init__()
        self.network = members.Network()
        self.starts = dict.fromkeys(range(6), 0)
        self.highest = 0
        for number in range(6):
            self.restart(number)

    def who(self, number):
        where = 'kl-1' if number < 4 else 'kl-2'
        return members.peer(number, where, self.starts[number])

    def member(self, number):
        return self.network.members.get(self.who(number).address)

    @stateful.rule(number=NUMBERS)
    def restart(self, number):
        self.starts[number] += 1
        first = members.peer(0).address
        self.network.start(self.who(number), [first])

    @stateful.rule(number=NUMBERS)
    def apply_next_version(self, number):
        self.highest += 1
        self.network.apply(self.member(number), self.highest)

    @stateful.rule(one=NUMBERS, other=NUMBERS)
    def cut(self, one, other):
        pair = {self.who(one).address, self.who(other).address}
        self.network.cut.add(frozenset(pair))

    @stateful.rule(number=NUMBERS, shown=st.sets(NUMBERS))
    def platform_shows(self, number, shown):
        peers = [self.who(n) for n in sorted(shown)]
        member = self.member(number)
        done = member.apply_instance_list(
            members.listed(*peers), self.network.now
        )
        self.network.deliver(member, done)

    @stateful.rule(seconds=st.sampled_from([4, 12, 30]))
    def time_passes(self, seconds):
        self.network.run(seconds)

    @stateful.rule(number=NUMBERS)
    def engine_leaves(self, number):
        engine = identity.EngineId(f'engine-{number}', 'a')
        member = self.member(number)
        own = fleet.OwnState(
            member.own_state.version, False, frozenset({engine})
        )
        self.network.deliver(
            member, member.update_own_state(own, self.network.now)
        )

    @stateful.invariant()
    def no_view_is_ahead_of_what_was_confirmed(self):
        for member in self.network.members.values():
            assert member.own_state.version <= self.highest
            for view in member.peers.values():
                assert view.version <= self.highest
                assert view.peer.address != member.own_id.address

    @stateful.invariant()
    def whoever_is_heard_is_kept(self):
        for member in self.network.members.values():
            size = member.count_live_instances(self.network.now)
            assert 1 <= size <= 4

    def teardown(self):
        self.network.cut.clear()
        for number in range(6):
            everyone = [self.who(n) for n in range(6)]
            self.member(number).apply_instance_list(
                members.listed(*everyone), self.network.now
            )
        self.network.run(40)
        applied = {m.own_state.version for m in self.network.members.values()}
        assert len(applied) == 1
        for number in range(4):
            member = self.member(number)
            assert member.count_live_instances(self.network.now) == 4
            assert member.build_summary(self.network.now).in_force_on == 4


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)


def data_centre(count, seeds=(), names=None):
    network = members.Network()
    peers = [members.peer(number) for number in range(count)]
    for who in peers:
        member = network.start(who, seeds)
        network.deliver(
            member,
            member.apply_instance_list(members.listed(*peers), network.now),
        )
    network.run(members.INTERVAL)
    return network, list(network.members.values())


def test_shrunken_list_drops_nobody_who_is_heard():
    """The platform's list is empty while all instances work.

    If an instance trusted the list, it would count itself as the only one and
    grant the full limit of every client account.
    """
    network, found = data_centre(5)
    for member in found:
        network.deliver(member, member.apply_instance_list([], network.now))
    network.run(120)
    for member in found:
        assert member.count_live_instances(network.now) == 5


def test_own_pause_marks_no_peer_as_dead():
    """A process pauses for a minute and hears nothing meanwhile."""
    network, found = data_centre(3)
    network.now += 60.0
    found[0].handle_own_pause(60.0, network.now)
    assert found[0].count_live_instances(network.now) == 3


def test_killed_instance_is_counted_out_and_forgotten():
    network, found = data_centre(3)
    del network.members[found[2].own_id.address]
    for member in found[:2]:
        shown = members.listed(found[0].own_id, found[1].own_id)
        network.deliver(member, member.apply_instance_list(shown, network.now))
    network.run(20)
    assert found[0].count_live_instances(network.now) == 2
    network.run(80)
    assert found[2].own_id.incarnation not in found[0].peers
    sizes = network.reports[found[0].own_id.incarnation]
    assert sizes[-1] == events.FleetSizeChanged(2)


def test_list_that_shows_an_older_start_does_not_replace_the_new_one():
    """The list still shows the old incarnation of a restarted instance."""
    network, found = data_centre(2)
    new = network.start(members.peer(1, start=1), [found[0].own_id.address])
    network.deliver(new, new.tick(network.now))
    old = members.listed(members.peer(1), leaving=True)
    network.deliver(found[0], found[0].apply_instance_list(old, network.now))
    assert set(found[0].peers) == {'1.1'}
    assert found[0].count_live_instances(network.now) == 2


def test_instance_that_starts_without_the_list_learns_of_all_by_one_seed():
    """An instance starts without the platform's list and knows one address.

    The others must hear of it soon. Otherwise they would count one instance
    too few and not send it new versions.
    """
    network, found = data_centre(4)
    network.apply(found[2], 9)
    new = network.start(members.peer(7), [found[0].own_id.address])
    network.deliver(new, new.tick(network.now))
    assert new.own_state.version == 9
    assert new.count_live_instances(network.now) == 5
    network.run(members.INTERVAL)
    assert {m.count_live_instances(network.now) for m in found} == {5}


def test_leaving_upstream_is_told_to_all_at_once():
    network, found = data_centre(4)
    engine = identity.EngineId('engine-1', 'x')
    own = fleet.OwnState(0, False, frozenset({engine}))
    network.deliver(found[0], found[0].update_own_state(own, network.now))
    for member in found[1:]:
        told = network.reports[member.own_id.incarnation][-1]
        assert told == events.UpstreamLeaving(engine, 'peer router-0')


def test_few_instances_send_to_another_data_centre():
    """Only the gateways of a data centre send to other data centres.

    If all 66 instances of a data centre sent to the 264 others, the traffic
    would exceed an instance's budget for control messages.
    """
    network = members.Network()
    peers = [members.peer(n, f'kl-{n // 10}') for n in range(30)]
    for who in peers:
        member = network.start(who)
        network.deliver(
            member,
            member.apply_instance_list(members.listed(*peers), network.now),
        )
    network.run(40)
    network.apply(network.members[peers[3].address], 5)
    network.run(8)
    assert {m.own_state.version for m in network.members.values()} == {5}
    network.sent.clear()
    network.run(members.INTERVAL)
    where = {who.address: who.data_centre for who in peers}
    across = [
        sender
        for sender, to in network.sent
        if where[to] != sender.data_centre
    ]
    pairs_of_data_centres = 3 * 2
    steady = (
        pairs_of_data_centres
        * membership.GATEWAYS_PER_DATA_CENTRE
        * membership.GATEWAYS_PER_DATA_CENTRE
    )
    assert steady <= len(across) <= 2 * steady
    summaries = network.members[peers[0].address].latest_summaries()
    assert {s.data_centre for s in summaries} == {'kl-1', 'kl-2'}
    assert {s.in_force_on for s in summaries} == {10}


@pytest.mark.parametrize('seed', range(4))
def test_version_crosses_between_data_centres_that_know_one_address(seed):
    """The instances of a data centre start without the platform's list.

    They know only the address of one instance in another data centre, which
    may not be a gateway. A version that is confirmed there must reach them.
    """
    network = members.Network()
    for number in range(8):
        where = 'kl-1' if number < 4 else 'kl-2'
        seeds = [members.peer(seed).address]
        network.start(members.peer(number, where), seeds)
    network.run(20)
    network.apply(network.members[members.peer(2).address], 3)
    network.run(members.INTERVAL)
    applied = [member.own_state.version for member in network.members.values()]
    assert applied == [3] * 8
