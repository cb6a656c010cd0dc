"""Membership of the fleet and the configuration version of each instance.

The instances of a data centre send each other heartbeats; a few of them, the
gateways, also send heartbeats to other data centres. A change, such as a new
configuration or a leaving upstream, is sent at once. Regular heartbeats make
up for lost messages and show which instances are alive.

The platform's list of instances lags and may be empty, incomplete or out of
date. It only adds instances to those that are heard; an instance that is heard
is never removed because it is missing from the list.
"""

from collections.abc import Iterable
import dataclasses

from greengagelb.coordination import events
from greengagelb.coordination.fleet import rendezvous
from greengagelb.coordination.sharing import crash_guard
from greengagelb.state import fleet
from greengagelb.state import identity
from greengagelb.state import timeline

SILENT_AFTER_INTERVALS = 3.25
FORGET_AFTER_SECONDS = 60.0
FORGET_REMOTE_AFTER_SECONDS = 3600.0
LEAVING_NOTICE_SECONDS = 30.0
CONFIGURATION_RETRY_SECONDS = 1.0
GATEWAYS_PER_DATA_CENTRE = 2
MAX_MISSING_NAMES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat to the instance at an address."""

    address: fleet.PeerAddress
    heartbeat: fleet.Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class AskForConfiguration:
    """Ask an instance for the configuration that it has applied."""

    address: fleet.PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class IntroducePeers:
    """Send an instance the addresses of other instances."""

    address: fleet.PeerAddress
    peers: tuple[fleet.PeerAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to an address that gets no more messages."""

    address: fleet.PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class EmitEvent:
    """Pass an event to the other decision modules of this instance."""

    event: events.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Record an automatic action on the time line."""

    kind: str
    reason: str


Action = (
    SendHeartbeat
    | AskForConfiguration
    | IntroducePeers
    | Disconnect
    | EmitEvent
    | Explain
)


class Membership:
    """The other instances as known to this one.

    ``peers`` and ``reported_peers`` are by incarnation, ``summaries`` by data
    centre with the monotonic time of their arrival.
    ``contacted_addresses`` are the recipients of the last round of heartbeats
    and the addresses that were contacted since.

    Invariants: an instance that was heard within the last minute is kept
    whatever the list shows; the version of an incarnation never decreases; an
    incarnation that is leaving never returns.
    """

    def __init__(
        self,
        own_id: fleet.PeerId,
        seeds: Iterable[fleet.PeerAddress],
        interval_seconds: float,
    ) -> None:
        self.own_id = own_id
        self.seeds = {seed for seed in seeds if seed != own_id.address}
        self.interval_seconds = interval_seconds
        self.own_state = fleet.OwnState()
        self.stamp = timeline.Stamp(0, 0)
        self.loads: tuple[fleet.UpstreamLoad, ...] = ()
        self.peers: dict[str, fleet.PeerView] = {}
        self.leaving_noticed_at: dict[identity.EngineId, float] = {}
        self.summaries: dict[str, tuple[float, fleet.DataCentreSummary]] = {}
        self.requested_version = 0
        self.request_again_at = float('-inf')
        self.reported_instance_count = 0
        self.reported_peers: tuple[tuple[str, str], ...] = ()
        self.contacted_addresses: set[fleet.PeerAddress] = set()

    def update_own_state(
        self, own: fleet.OwnState, now: float
    ) -> list[Action]:
        """Update this instance's own state and send it if it changed."""
        if own == self.own_state:
            return []
        for engine in own.leaving_upstreams - self.own_state.leaving_upstreams:
            self.leaving_noticed_at[engine] = now
        self.own_state = own
        return self.send_heartbeats(now)

    def apply_instance_list(
        self, instances: Iterable[fleet.ListedInstance], now: float
    ) -> list[Action]:
        """Apply the platform's list of instances."""
        for view in self.peers.values():
            view.listed = False
        for instance in instances:
            self.apply_list_entry(instance, now)
        return self.emit_size_changes(now)

    def apply_list_entry(
        self, instance: fleet.ListedInstance, now: float
    ) -> None:
        """Apply an entry of the list.

        An unknown incarnation is ignored while another one is heard at the
        same address, as the list lags.
        """
        peer = instance.peer
        if peer.address == self.own_id.address:
            return
        view = self.peers.get(peer.incarnation)
        if view is None:
            if self.has_live_peer_at(peer.address, now):
                return
            self.forget_address(peer.address)
            view = self.peers[peer.incarnation] = fleet.PeerView(peer, now)
        view.listed = True
        view.leaving = view.leaving or instance.leaving

    def handle_heartbeat(
        self, heartbeat: fleet.Heartbeat, now: float
    ) -> list[Action]:
        """Handle a heartbeat of another instance."""
        peer = heartbeat.sender
        if peer.incarnation == self.own_id.incarnation:
            return []
        actions: list[Action] = []
        view = self.peers.get(peer.incarnation)
        if view is None:
            self.forget_address(peer.address)
            view = self.peers[peer.incarnation] = fleet.PeerView(peer, now)
        if not self.is_recently_heard(view, now):
            actions += self.greet_peer(peer, now)
        if heartbeat.held or view.holds:
            view.holds = bool(heartbeat.held)
            actions.append(
                EmitEvent(
                    events.UpstreamsHeld(peer.incarnation, heartbeat.held)
                )
            )
        view.heard_at = now
        view.version = max(view.version, heartbeat.version)
        view.leaving = view.leaving or heartbeat.leaving
        self.store_summaries(heartbeat, now)
        for engine in heartbeat.leaving_upstreams:
            actions.append(
                EmitEvent(events.UpstreamLeaving(engine, f'peer {peer.name}'))
            )
        if heartbeat.crash_reports:
            crashes_heard = events.CrashReportsReceived(
                heartbeat.crash_reports
            )
            actions.append(EmitEvent(crashes_heard))
        if heartbeat.loads and heartbeat.version == self.own_state.version:
            actions.append(
                EmitEvent(events.PeerLoadsReceived(heartbeat.loads))
            )
        return [
            *actions,
            *self.request_newer_configuration(view, now),
            *self.emit_size_changes(now),
        ]

    def greet_peer(self, peer: fleet.PeerId, now: float) -> list[Action]:
        """Send a newly heard instance all state that it may have missed.

        That includes the addresses of the instances in its data centre.
        """
        others = tuple(
            view.peer.address
            for view in self.peers.values()
            if view.heard_at is not None
            and view.peer.data_centre == peer.data_centre
        )
        self.contacted_addresses.add(peer.address)
        actions: list[Action] = [
            Explain('peer-heard', f'{peer.name} {peer.incarnation}'),
            SendHeartbeat(
                peer.address, self.build_heartbeat(now, include_all=True)
            ),
        ]
        if others:
            actions.append(IntroducePeers(peer.address, others))
        if peer.data_centre != self.own_id.data_centre:
            actions += self.announce_remote_peer(peer)
        return actions

    def announce_remote_peer(self, peer: fleet.PeerId) -> list[Action]:
        """Send the address of a remote instance to the local instances.

        Without the platform's list the gateways to that data centre might
        know no instance there, and new versions would not reach it.
        """
        return [
            IntroducePeers(view.peer.address, (peer.address,))
            for view in self.peers.values()
            if view.heard_at is not None
            and view.peer.data_centre == self.own_id.data_centre
        ]

    def handle_introduction(
        self, addresses: Iterable[fleet.PeerAddress], now: float
    ) -> list[Action]:
        """Send heartbeats to unknown instances that a peer has named."""
        known = {view.peer.address for view in self.peers.values()}
        return [
            SendHeartbeat(address, self.build_heartbeat(now, include_all=True))
            for address in addresses
            if address not in known and address != self.own_id.address
        ]

    def store_summaries(self, heartbeat: fleet.Heartbeat, now: float) -> None:
        """Store the summaries of other data centres in a heartbeat."""
        for summary in heartbeat.summaries:
            if summary.data_centre != self.own_id.data_centre:
                self.summaries[summary.data_centre] = (now, summary)

    def request_newer_configuration(
        self, view: fleet.PeerView, now: float
    ) -> list[Action]:
        """Request a configuration that this instance has not applied yet.

        The same version is requested again only after
        ``CONFIGURATION_RETRY_SECONDS``. Otherwise each heartbeat would request
        the large document until the answer arrives.
        """
        if view.version <= self.own_state.version:
            return []
        if (
            view.version <= self.requested_version
            and now < self.request_again_at
        ):
            return []
        self.requested_version = view.version
        self.request_again_at = now + CONFIGURATION_RETRY_SECONDS
        self.contacted_addresses.add(view.peer.address)
        return [AskForConfiguration(view.peer.address)]

    def handle_own_pause(self, seconds: float, now: float) -> None:
        """Exclude a pause of this process from the silence of peers.

        After a pause all peers appear silent. If they were counted as gone,
        this instance would use their share of every limit.
        """
        for view in self.peers.values():
            if view.heard_at is not None:
                view.heard_at = min(now, view.heard_at + seconds)

    def mark_contacted(self, address: fleet.PeerAddress) -> None:
        """Record that an address gets an answer, to disconnect it later."""
        self.contacted_addresses.add(address)

    def tick(self, now: float) -> list[Action]:
        """Send the regular heartbeats and remove peers that have gone."""
        actions = self.send_heartbeats(now)
        for incarnation, view in list(self.peers.items()):
            if not view.listed and self.can_forget(view, now):
                del self.peers[incarnation]
                reason = f'{view.peer.name} {incarnation}'
                actions.append(Explain('peer-forgotten', reason))
        self.leaving_noticed_at = {
            engine: since
            for engine, since in self.leaving_noticed_at.items()
            if now - since < LEAVING_NOTICE_SECONDS
        }
        return [*actions, *self.emit_size_changes(now)]

    def send_heartbeats(self, now: float) -> list[Action]:
        """Send heartbeats to local peers and, as a gateway, to remote ones.

        Addresses that get no more messages are disconnected.
        """
        heartbeat = self.build_heartbeat(now)
        local = self.local_addresses()
        remote = self.remote_addresses(now)
        with_loads = dataclasses.replace(heartbeat, loads=self.loads)
        actions: list[Action] = [
            SendHeartbeat(address, with_loads) for address in sorted(local)
        ]
        if remote:
            summary = self.build_summary(now)
            heartbeat = dataclasses.replace(heartbeat, summaries=(summary,))
            actions += [SendHeartbeat(a, heartbeat) for a in sorted(remote)]
        recipients = local | remote
        actions += [
            Disconnect(a)
            for a in sorted(self.contacted_addresses - recipients)
        ]
        self.contacted_addresses = recipients
        return actions

    def build_heartbeat(
        self, now: float, include_all: bool = False
    ) -> fleet.Heartbeat:
        """Return a heartbeat of this instance.

        With ``include_all`` it has the notices of all leaving upstreams and
        all crash reports, otherwise only recent ones.
        """
        notices = self.own_state.leaving_upstreams
        if not include_all:
            notices = frozenset(self.leaving_noticed_at) & notices
        summaries = tuple(
            summary
            for heard_at, summary in self.summaries.values()
            if now - heard_at < self.silent_after_seconds
            and self.has_live_peer_in(summary.data_centre, now)
        )
        return fleet.Heartbeat(
            self.own_id,
            self.own_state.version,
            self.own_state.leaving,
            self.stamp,
            tuple(sorted(notices, key=lambda e: (e.name, e.incarnation))),
            summaries,
            self.own_state.held,
            crash_reports=crash_guard.heartbeat_reports(
                self.own_state.suspects, now, include_all=include_all
            ),
        )

    def local_addresses(self) -> set[fleet.PeerAddress]:
        """Return the addresses in this data centre, including seeds.

        Seeds that are known to be in another data centre are left out.
        """
        known = {
            view.peer.address
            for view in self.peers.values()
            if view.peer.data_centre == self.own_id.data_centre
        }
        remote = {v.peer.address for v in self.peers.values()} - known
        return known | (self.seeds - remote)

    def remote_addresses(self, now: float) -> set[fleet.PeerAddress]:
        """Return the addresses in other data centres to send heartbeats to.

        ``GATEWAYS_PER_DATA_CENTRE`` instances of a data centre send to as many
        instances of each other data centre. Instances that are heard are
        preferred, as the list may show some that are gone.
        """
        chosen: set[fleet.PeerAddress] = set()
        for data_centre in self.other_data_centres():
            if not self.is_gateway_to(data_centre, now):
                continue
            views = self.remote_candidates(data_centre, now)
            picked = rendezvous.highest_scoring(
                self.own_id.data_centre, views, GATEWAYS_PER_DATA_CENTRE
            )
            chosen |= {views[name].peer.address for name in picked}
        return chosen

    def other_data_centres(self) -> list[str]:
        """Return the names of the other known data centres, sorted."""
        names = {view.peer.data_centre for view in self.peers.values()}
        return sorted(names - {self.own_id.data_centre})

    def remote_candidates(
        self, data_centre: str, now: float
    ) -> dict[str, fleet.PeerView]:
        """Return the instances of a data centre that may be contacted.

        The result is by incarnation. While too few are heard, it includes
        ``GATEWAYS_PER_DATA_CENTRE`` of the others, which may be gone; another
        selection is tried in each heartbeat interval.
        """
        views = {
            incarnation: view
            for incarnation, view in self.peers.items()
            if view.peer.data_centre == data_centre and not view.leaving
        }
        live = {
            i: v for i, v in views.items() if self.is_recently_heard(v, now)
        }
        if len(live) >= GATEWAYS_PER_DATA_CENTRE or not views:
            return live or views
        turn = f'{self.own_id.incarnation}{int(now / self.interval_seconds)}'
        tried = rendezvous.highest_scoring(
            turn, set(views) - set(live), GATEWAYS_PER_DATA_CENTRE
        )
        return {i: views[i] for i in {*live, *tried}}

    def is_gateway_to(self, data_centre: str, now: float) -> bool:
        """Return whether this instance sends to another data centre."""
        return self.is_gateway(f'{self.own_id.data_centre}>{data_centre}', now)

    def has_live_peer_in(self, data_centre: str, now: float) -> bool:
        """Return whether an instance of a data centre was heard recently."""
        return any(
            self.is_recently_heard(view, now)
            for view in self.peers.values()
            if view.peer.data_centre == data_centre
        )

    def is_gateway(self, key: str, now: float) -> bool:
        """Return whether this instance is one of the gateways for a key."""
        incarnations = {
            incarnation
            for incarnation, view in self.peers.items()
            if view.peer.data_centre == self.own_id.data_centre
            and self.is_recently_heard(view, now)
            and not view.leaving
        }
        incarnations.add(self.own_id.incarnation)
        return self.own_id.incarnation in rendezvous.highest_scoring(
            key, incarnations, GATEWAYS_PER_DATA_CENTRE
        )

    @property
    def silent_after_seconds(self) -> float:
        """The silence after which an instance is no longer live."""
        return self.interval_seconds * SILENT_AFTER_INTERVALS

    def silence_seconds(self, view: fleet.PeerView, now: float) -> float:
        """Return for how many seconds an instance has not been heard."""
        since = view.known_at if view.heard_at is None else view.heard_at
        return now - since

    def can_forget(self, view: fleet.PeerView, now: float) -> bool:
        """Return whether an instance that is not listed can be removed.

        Instances of other data centres are kept longer. Only the gateways
        hear them, and when these die the others need the addresses.
        """
        local = view.peer.data_centre == self.own_id.data_centre
        forget_after_seconds = (
            FORGET_AFTER_SECONDS if local else FORGET_REMOTE_AFTER_SECONDS
        )
        return self.silence_seconds(view, now) > forget_after_seconds

    def is_recently_heard(self, view: fleet.PeerView, now: float) -> bool:
        """Return whether an instance was heard recently."""
        if view.heard_at is None:
            return False
        return self.silence_seconds(view, now) < self.silent_after_seconds

    def has_live_peer_at(self, address: fleet.PeerAddress, now: float) -> bool:
        """Return whether an instance was heard recently at an address.

        A listed instance of that address is then an older incarnation.
        """
        return any(
            self.is_recently_heard(view, now)
            for view in self.peers.values()
            if view.peer.address == address
        )

    def forget_address(self, address: fleet.PeerAddress) -> None:
        """Remove the instances that were known at an address."""
        for incarnation, view in list(self.peers.items()):
            if view.peer.address == address:
                del self.peers[incarnation]

    def standing_of(self, view: fleet.PeerView, now: float) -> fleet.Standing:
        """Return the standing of another instance."""
        if view.leaving:
            return fleet.Standing.LEAVING
        if self.is_recently_heard(view, now):
            return fleet.Standing.LIVE
        if view.heard_at is None:
            return fleet.Standing.LISTED
        return fleet.Standing.SILENT

    def counts_as_serving(self, view: fleet.PeerView, now: float) -> bool:
        """Return whether an instance counts as serving.

        A listed instance counts for ``FORGET_AFTER_SECONDS`` without being
        heard. If it stopped counting too early, its share of a limit would be
        used twice.
        """
        if view.leaving:
            return False
        if self.is_recently_heard(view, now):
            return True
        return (
            view.listed
            and self.silence_seconds(view, now) < FORGET_AFTER_SECONDS
        )

    def count_live_instances(self, now: float) -> int:
        """Return how many local instances count as serving, with this one."""
        return 1 + sum(
            self.counts_as_serving(view, now)
            for view in self.peers.values()
            if view.peer.data_centre == self.own_id.data_centre
        )

    def emit_size_changes(self, now: float) -> list[Action]:
        """Emit events if the serving instances or their number changed."""
        actions: list[Action] = []
        peers = self.serving_peers(now)
        if peers != self.reported_peers:
            self.reported_peers = peers
            actions.append(EmitEvent(events.PeersChanged(peers)))
        size = self.count_live_instances(now)
        if size != self.reported_instance_count:
            self.reported_instance_count = size
            actions.append(EmitEvent(events.FleetSizeChanged(size)))
        return actions

    def serving_peers(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return incarnation and data centre of other serving instances."""
        return tuple(
            sorted(
                (incarnation, view.peer.data_centre)
                for incarnation, view in self.peers.items()
                if self.counts_as_serving(view, now)
            )
        )

    def address_of(self, incarnation: str) -> fleet.PeerAddress | None:
        """Return the address of an instance, or None if it is unknown."""
        view = self.peers.get(incarnation)
        return view.peer.address if view is not None else None

    def live_incarnations(self, now: float) -> set[str]:
        """Return the live incarnations of this data centre, with this one."""
        found = {
            incarnation
            for incarnation, view in self.peers.items()
            if view.peer.data_centre == self.own_id.data_centre
            and self.standing_of(view, now) is fleet.Standing.LIVE
        }
        return found | {self.own_id.incarnation}

    def build_summary(self, now: float) -> fleet.DataCentreSummary:
        """Return the summary of this data centre for other ones."""
        views = [
            view
            for view in self.peers.values()
            if view.peer.data_centre == self.own_id.data_centre
            and not view.leaving
        ]
        version = max([self.own_state.version, *(v.version for v in views)])
        missing = sorted(v.peer.name for v in views if v.version < version)
        if self.own_state.version < version:
            missing.append(self.own_id.name)
        return fleet.DataCentreSummary(
            self.own_id.data_centre,
            version,
            len(views) + 1 - len(missing),
            len(views) + 1,
            tuple(missing[:MAX_MISSING_NAMES]),
        )

    def latest_summaries(self) -> list[fleet.DataCentreSummary]:
        """Return the latest summary of each other data centre."""
        return [summary for _, summary in self.summaries.values()]
