"""Which instances there are, and what each of them has applied.

Instances of one data centre send each other heartbeats; only a few of them
send any to other data centres. A change, such as a new configuration or an
upstream that leaves, is told at once; the regular heartbeats repair what was
lost and tell who is there.

The platform's list lags and may be empty, short or old. So what it shows is
added to what is heard, and an instance that is heard is never dropped because
the list no longer has it.
"""

from collections.abc import Iterable
import dataclasses

from greengagelb.coordination import events
from greengagelb.coordination.fleet import rendezvous
from greengagelb.coordination.sharing import crash_guard
from greengagelb.state import fleet
from greengagelb.state import identity
from greengagelb.state import timeline

SILENT_INTERVALS = 3.25
FORGET_SECONDS = 60.0
FORGET_ELSEWHERE_SECONDS = 3600.0
NOTICE_SECONDS = 30.0
ASK_AGAIN_SECONDS = 1.0
RELAYS = 2
MOST_MISSING_NAMED = 4


@dataclasses.dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat to the instance at an address."""

    address: fleet.PeerAddress
    heartbeat: fleet.Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class AskForConfiguration:
    """Ask an instance for the document that it has applied."""

    address: fleet.PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class IntroducePeers:
    """Tell a newly heard instance which others there are."""

    address: fleet.PeerAddress
    peers: tuple[fleet.PeerAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnect:
    """Nothing is sent to an address any more."""

    address: fleet.PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Pass an event to the other decisions of this instance."""

    event: events.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Put an automatic act on the time line."""

    kind: str
    reason: str


Action = (
    SendHeartbeat
    | AskForConfiguration
    | IntroducePeers
    | Disconnect
    | Report
    | Explain
)


class Membership:
    """The other instances as known to this one.

    Invariants: an instance heard within the last minute is kept, whatever
    the list shows; the version of an incarnation never falls, and its
    leaving is final.
    """

    def __init__(
        self,
        me: fleet.PeerId,
        seeds: Iterable[fleet.PeerAddress],
        interval: float,
    ) -> None:
        self.me = me
        self.seeds = {seed for seed in seeds if seed != me.address}
        self.interval = interval
        self.own = fleet.OwnState()
        self.stamp = timeline.Stamp(0, 0)
        self.loads: tuple[fleet.UpstreamLoad, ...] = ()
        self.peers: dict[str, fleet.PeerView] = {}
        self.noticed: dict[identity.EngineId, float] = {}
        self.summaries: dict[str, tuple[float, fleet.DataCentreSummary]] = {}
        self.asked_version = 0
        self.ask_again_at = float('-inf')
        self.reported_size = 0
        self.reported_peers: tuple[tuple[str, str], ...] = ()
        self.connected: set[fleet.PeerAddress] = set()

    # -- what comes in ------------------------------------------------------

    def own_changed(self, own: fleet.OwnState, now: float) -> list[Action]:
        """Take over this instance's own state; tell others if it changed."""
        if own == self.own:
            return []
        for engine in own.leaving_upstreams - self.own.leaving_upstreams:
            self.noticed[engine] = now
        self.own = own
        return self.tell(now)

    def listed(
        self, instances: Iterable[fleet.ListedInstance], now: float
    ) -> list[Action]:
        """Take in the platform's list."""
        for view in self.peers.values():
            view.listed = False
        for instance in instances:
            self.list_one(instance, now)
        return self.sized(now)

    def list_one(self, instance: fleet.ListedInstance, now: float) -> None:
        """Take in one entry of the list, unless a newer start is known."""
        peer = instance.peer
        if peer.address == self.me.address:
            return
        view = self.peers.get(peer.incarnation)
        if view is None:
            if self.heard_at_address(peer.address, now):
                return
            self.drop_address(peer.address)
            view = self.peers[peer.incarnation] = fleet.PeerView(peer, now)
        view.listed = True
        view.leaving = view.leaving or instance.leaving

    def heard(self, heartbeat: fleet.Heartbeat, now: float) -> list[Action]:
        """Take in a heartbeat."""
        peer = heartbeat.sender
        if peer.incarnation == self.me.incarnation:
            return []
        done: list[Action] = []
        view = self.peers.get(peer.incarnation)
        if view is None:
            self.drop_address(peer.address)
            view = self.peers[peer.incarnation] = fleet.PeerView(peer, now)
        if not self.is_heard(view, now):
            done += self.welcome(peer, now)
        if heartbeat.held or view.holds:
            view.holds = bool(heartbeat.held)
            done.append(
                Report(events.UpstreamsHeld(peer.incarnation, heartbeat.held))
            )
        view.heard_at = now
        view.version = max(view.version, heartbeat.version)
        view.leaving = view.leaving or heartbeat.leaving
        self.take_summaries(heartbeat, now)
        for engine in heartbeat.leaving_upstreams:
            done.append(
                Report(events.UpstreamLeaving(engine, f'peer {peer.name}'))
            )
        if heartbeat.crash_reports:
            heard = events.CrashesHeard(heartbeat.crash_reports)
            done.append(Report(heard))
        if heartbeat.loads and heartbeat.version == self.own.version:
            done.append(Report(events.LoadsHeard(heartbeat.loads)))
        return [*done, *self.ask_if_newer(view, now), *self.sized(now)]

    def welcome(self, peer: fleet.PeerId, now: float) -> list[Action]:
        """Tell a newly heard instance all that it may have missed.

        That includes who else is in its own data centre.
        """
        others = tuple(
            view.peer.address
            for view in self.peers.values()
            if view.heard_at is not None
            and view.peer.data_centre == peer.data_centre
        )
        self.connected.add(peer.address)
        done: list[Action] = [
            Explain('peer-heard', f'{peer.name} {peer.incarnation}'),
            SendHeartbeat(peer.address, self.heartbeat(now, whole=True)),
        ]
        if others:
            done.append(IntroducePeers(peer.address, others))
        if peer.data_centre != self.me.data_centre:
            done += self.introduce_stranger(peer)
        return done

    def introduce_stranger(self, peer: fleet.PeerId) -> list[Action]:
        """Tell this data centre of an instance of another one.

        Without the platform's list, those who are to speak to the other data
        centre may know of nobody there, and versions would not get across.
        """
        return [
            IntroducePeers(view.peer.address, (peer.address,))
            for view in self.peers.values()
            if view.heard_at is not None
            and view.peer.data_centre == self.me.data_centre
        ]

    def introduced(
        self, addresses: Iterable[fleet.PeerAddress], now: float
    ) -> list[Action]:
        """Make oneself known to instances that a peer has told of."""
        known = {view.peer.address for view in self.peers.values()}
        return [
            SendHeartbeat(address, self.heartbeat(now, whole=True))
            for address in addresses
            if address not in known and address != self.me.address
        ]

    def take_summaries(self, heartbeat: fleet.Heartbeat, now: float) -> None:
        """Remember what other data centres say of themselves."""
        for summary in heartbeat.summaries:
            if summary.data_centre != self.me.data_centre:
                self.summaries[summary.data_centre] = (now, summary)

    def ask_if_newer(self, view: fleet.PeerView, now: float) -> list[Action]:
        """Ask for a configuration that this instance has not applied yet.

        The same version is asked for again after a while only: until the
        answer is here, every heartbeat would else ask for a large document.
        """
        if view.version <= self.own.version:
            return []
        if view.version <= self.asked_version and now < self.ask_again_at:
            return []
        self.asked_version = view.version
        self.ask_again_at = now + ASK_AGAIN_SECONDS
        self.connected.add(view.peer.address)
        return [AskForConfiguration(view.peer.address)]

    def pause_noticed(self, seconds: float, now: float) -> None:
        """Forgive others the silence of a time in which nothing was read.

        To a process that stood still all others seem to have fallen silent.
        Counting them as gone would let it take their share of every limit.
        """
        for view in self.peers.values():
            if view.heard_at is not None:
                view.heard_at = min(now, view.heard_at + seconds)

    def asked(self, address: fleet.PeerAddress) -> None:
        """Note that an answer goes to an address, to disconnect it later."""
        self.connected.add(address)

    # -- what goes out ------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Send the regular heartbeats and forget who has gone for good."""
        done = self.tell(now)
        for incarnation, view in list(self.peers.items()):
            if not view.listed and self.is_gone(view, now):
                del self.peers[incarnation]
                reason = f'{view.peer.name} {incarnation}'
                done.append(Explain('peer-forgotten', reason))
        self.noticed = {
            engine: since
            for engine, since in self.noticed.items()
            if now - since < NOTICE_SECONDS
        }
        return [*done, *self.sized(now)]

    def tell(self, now: float) -> list[Action]:
        """Send a heartbeat to all that should have one."""
        heartbeat = self.heartbeat(now)
        local = self.local_addresses()
        remote = self.remote_addresses(now)
        with_loads = dataclasses.replace(heartbeat, loads=self.loads)
        done: list[Action] = [
            SendHeartbeat(address, with_loads) for address in sorted(local)
        ]
        if remote:
            summary = self.summary(now)
            heartbeat = dataclasses.replace(heartbeat, summaries=(summary,))
            done += [SendHeartbeat(a, heartbeat) for a in sorted(remote)]
        wanted = local | remote
        done += [Disconnect(a) for a in sorted(self.connected - wanted)]
        self.connected = wanted
        return done

    def heartbeat(self, now: float, whole: bool = False) -> fleet.Heartbeat:
        """Return a heartbeat; a ``whole`` one leaves no notice out."""
        notices = self.own.leaving_upstreams
        if not whole:
            notices = frozenset(self.noticed) & notices
        relayed = tuple(
            summary
            for heard_at, summary in self.summaries.values()
            if now - heard_at < self.silent_seconds
            and self.relays_from(summary.data_centre, now)
        )
        return fleet.Heartbeat(
            self.me,
            self.own.version,
            self.own.leaving,
            self.stamp,
            tuple(sorted(notices, key=lambda e: (e.name, e.incarnation))),
            relayed,
            self.own.held,
            crash_reports=crash_guard.reports_of(
                self.own.suspects, now, whole=whole
            ),
        )

    def local_addresses(self) -> set[fleet.PeerAddress]:
        """Return the addresses within this data centre."""
        known = {
            view.peer.address
            for view in self.peers.values()
            if view.peer.data_centre == self.me.data_centre
        }
        elsewhere = {v.peer.address for v in self.peers.values()} - known
        return known | (self.seeds - elsewhere)

    def remote_addresses(self, now: float) -> set[fleet.PeerAddress]:
        """Return the addresses elsewhere that this instance relays to.

        Two instances of a data centre speak to two of each other one; each
        time those that were heard last are preferred, as the list may show
        some that are gone.
        """
        chosen: set[fleet.PeerAddress] = set()
        for data_centre in self.other_data_centres():
            if not self.relays_to(data_centre, now):
                continue
            views = self.usable_elsewhere(data_centre, now)
            picked = rendezvous.highest(self.me.data_centre, views, RELAYS)
            chosen |= {views[name].peer.address for name in picked}
        return chosen

    def other_data_centres(self) -> list[str]:
        """Return the names of all other data centres that are known."""
        names = {view.peer.data_centre for view in self.peers.values()}
        return sorted(names - {self.me.data_centre})

    def usable_elsewhere(
        self, data_centre: str, now: float
    ) -> dict[str, fleet.PeerView]:
        """Return views of another data centre by incarnation.

        Of those never heard, which may be gone, a new two are tried each
        interval until some answer.
        """
        views = {
            incarnation: view
            for incarnation, view in self.peers.items()
            if view.peer.data_centre == data_centre and not view.leaving
        }
        live = {i: v for i, v in views.items() if self.is_heard(v, now)}
        if len(live) >= RELAYS or not views:
            return live or views
        turn = f'{self.me.incarnation}{int(now / self.interval)}'
        tried = rendezvous.highest(turn, set(views) - set(live), RELAYS)
        return {i: views[i] for i in {*live, *tried}}

    def relays_to(self, data_centre: str, now: float) -> bool:
        """Return whether this instance speaks to another data centre."""
        return self.is_relay(f'{self.me.data_centre}>{data_centre}', now)

    def relays_from(self, data_centre: str, now: float) -> bool:
        """Return whether this instance passes on what it was told there."""
        return any(
            self.is_heard(view, now)
            for view in self.peers.values()
            if view.peer.data_centre == data_centre
        )

    def is_relay(self, key: str, now: float) -> bool:
        """Return whether this instance is one of the few for a task."""
        names = {
            incarnation
            for incarnation, view in self.peers.items()
            if view.peer.data_centre == self.me.data_centre
            and self.is_heard(view, now)
            and not view.leaving
        }
        names.add(self.me.incarnation)
        return self.me.incarnation in rendezvous.highest(key, names, RELAYS)

    # -- what is known ------------------------------------------------------

    @property
    def silent_seconds(self) -> float:
        """The silence after which an instance is not counted as live."""
        return self.interval * SILENT_INTERVALS

    def silence(self, view: fleet.PeerView, now: float) -> float:
        """Return for how many seconds nothing has been heard of it."""
        since = view.known_at if view.heard_at is None else view.heard_at
        return now - since

    def is_gone(self, view: fleet.PeerView, now: float) -> bool:
        """Return whether an instance that is not listed can be forgotten.

        Those elsewhere are kept for long. Few instances hear of them, and
        when these few die the others have to know whom to speak to.
        """
        local = view.peer.data_centre == self.me.data_centre
        patience = FORGET_SECONDS if local else FORGET_ELSEWHERE_SECONDS
        return self.silence(view, now) > patience

    def is_heard(self, view: fleet.PeerView, now: float) -> bool:
        """Return whether an instance was heard of lately."""
        if view.heard_at is None:
            return False
        return self.silence(view, now) < self.silent_seconds

    def heard_at_address(self, address: fleet.PeerAddress, now: float) -> bool:
        """Return whether some instance is heard at an address.

        The list lags: what it shows there is then an older start.
        """
        return any(
            self.is_heard(view, now)
            for view in self.peers.values()
            if view.peer.address == address
        )

    def drop_address(self, address: fleet.PeerAddress) -> None:
        """Forget what was at an address before."""
        for incarnation, view in list(self.peers.items()):
            if view.peer.address == address:
                del self.peers[incarnation]

    def standing(self, view: fleet.PeerView, now: float) -> fleet.Standing:
        """Return what an instance can be counted on for."""
        if view.leaving:
            return fleet.Standing.LEAVING
        if self.is_heard(view, now):
            return fleet.Standing.LIVE
        if view.heard_at is None:
            return fleet.Standing.LISTED
        return fleet.Standing.SILENT

    def counted(self, view: fleet.PeerView, now: float) -> bool:
        """Return whether an instance may be serving.

        One that is listed counts for a minute though it is not heard: counted
        out too early, its share of a limit would be given out twice.
        """
        if view.leaving:
            return False
        if self.is_heard(view, now):
            return True
        return view.listed and self.silence(view, now) < FORGET_SECONDS

    def live_instances(self, now: float) -> int:
        """Return how many instances of this data centre may be serving."""
        return 1 + sum(
            self.counted(view, now)
            for view in self.peers.values()
            if view.peer.data_centre == self.me.data_centre
        )

    def sized(self, now: float) -> list[Action]:
        """Report the size of the fleet here if it has changed."""
        done: list[Action] = []
        peers = self.serving_peers(now)
        if peers != self.reported_peers:
            self.reported_peers = peers
            done.append(Report(events.PeersKnown(peers)))
        size = self.live_instances(now)
        if size != self.reported_size:
            self.reported_size = size
            done.append(Report(events.FleetSized(size)))
        return done

    def serving_peers(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return who else may be serving, here and elsewhere."""
        return tuple(
            sorted(
                (incarnation, view.peer.data_centre)
                for incarnation, view in self.peers.items()
                if self.counted(view, now)
            )
        )

    def address_of(self, incarnation: str) -> fleet.PeerAddress | None:
        """Return where an instance is, if it is known."""
        view = self.peers.get(incarnation)
        return view.peer.address if view is not None else None

    def live_incarnations(self, now: float) -> set[str]:
        """Return who is live in this data centre, this instance included."""
        found = {
            incarnation
            for incarnation, view in self.peers.items()
            if view.peer.data_centre == self.me.data_centre
            and self.standing(view, now) is fleet.Standing.LIVE
        }
        return found | {self.me.incarnation}

    def summary(self, now: float) -> fleet.DataCentreSummary:
        """Return what this data centre says of its instances."""
        views = [
            view
            for view in self.peers.values()
            if view.peer.data_centre == self.me.data_centre
            and not view.leaving
        ]
        version = max([self.own.version, *(v.version for v in views)])
        missing = sorted(v.peer.name for v in views if v.version < version)
        if self.own.version < version:
            missing.append(self.me.name)
        return fleet.DataCentreSummary(
            self.me.data_centre,
            version,
            len(views) + 1 - len(missing),
            len(views) + 1,
            tuple(missing[:MOST_MISSING_NAMED]),
        )

    def fresh_summaries(self) -> list[fleet.DataCentreSummary]:
        """Return the last word of each other data centre."""
        return [summary for _, summary in self.summaries.values()]
