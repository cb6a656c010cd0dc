"""Configurations that reach an instance in random order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import store_sharing
from greengagelb.state.relay import hints
from tests.common import relay_world

READER = '0-before-all-others'
VERSIONS = st.integers(1, 12)


def route_of(version):
    """Return a route whose name and prefix contain a version."""
    route = relay_world.CALL_ROUTE
    return type(route)(
        **{
            field: getattr(route, field)
            for field in route.__dataclass_fields__
            if field not in ('name', 'prefix')
        },
        name=f'v{version}',
        prefix=f'/v{version}/',
    )


class ConfigurationMachine(RuleBasedStateMachine):
    """Versions arrive late, twice and in any order; some hints are lost."""

    def __init__(self):
        super().__init__()
        self.world = relay_world.RelayWorld()
        self.highest = self.world.relay.route_table.version
        self.highest_announced = self.highest
        self.announced_at = float('-inf')
        self.highest_announced_at = float('-inf')

    @property
    def relay(self):
        return self.world.relay

    @rule(version=VERSIONS, seconds=st.sampled_from([0.0, 0.01, 0.5]))
    def read_from_the_store(self, version, seconds):
        """The store answers with the newest version when it was asked."""
        asked_at = self.world.now - seconds
        if asked_at >= self.highest_announced_at:
            version = max(version, self.highest_announced)
        table = relay_world.route_table(version, [route_of(version)])
        self.world.offer(table)
        if version > self.highest:
            self.highest = version
        self.relay.sharing.configuration_freshness.note_current(asked_at)

    @rule(version=VERSIONS, lost=st.booleans())
    def peer_applies_configuration(self, version, lost):
        if lost:
            return
        self.world.handle(relay_events.PeerHeard(READER, 'north'))
        self.world.handle(
            relay_events.PeerTold(READER, hints.ConfigurationApplied(version))
        )
        self.announced_at = self.world.now
        if version > self.highest_announced:
            self.highest_announced = version
            self.highest_announced_at = self.world.now

    @rule(version=VERSIONS)
    def store_is_restored_from_an_older_copy(self, version):
        """Its configuration may be older than the one in force."""
        self.world.handle(relay_events.StoreRestored())
        table = relay_world.route_table(version, [route_of(version)])
        self.world.offer(table)
        self.highest = max(self.highest, version)

    @rule(seconds=st.sampled_from([0.1, 0.8, 1.5, 6.0]))
    def wait(self, seconds):
        self.world.advance(seconds)

    @rule(version=VERSIONS)
    def caller_sends_request(self, version):
        """Requests are routed by the version in force, and by no other."""
        exchange = self.world.ask(f'/v{version}/x'.encode(), 1.5, prompt=None)
        in_force = version == self.highest and self.highest > 1
        served = bool(self.world.sends(exchange))
        statuses = [r.status for r in self.world.refusals(exchange)]
        assert served == in_force
        assert in_force or statuses == [404]
        self.world.leave(exchange)

    @invariant()
    def version_never_falls(self):
        assert self.relay.route_table.version == self.highest

    @invariant()
    def configuration_is_due_once_the_reader_is_silent(self):
        """The reader may be dead; a notification is valid for a moment."""
        now = self.world.now
        late = (
            now > self.announced_at + store_sharing.NOTIFICATION_WAIT_SECONDS
        )
        sharing = self.relay.sharing
        read_at = sharing.configuration_freshness.fresh_at
        if late and now > read_at + store_sharing.NOTIFICATION_WAIT_SECONDS:
            assert sharing.is_configuration_read_due(now)

    @invariant()
    def announced_newer_version_is_due(self):
        if self.highest_announced > self.highest:
            assert self.relay.sharing.is_configuration_read_due(self.world.now)


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
