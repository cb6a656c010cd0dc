"""Carries messages between instances over one zmq socket.

The socket is a ROUTER that both listens and connects: what is sent goes over
the connections made here, what comes in over those made by the others. One
socket has one descriptor in the event loop, however many instances there are.

zmq runs a thread of its own in C beside the loop; no Python runs on it.
"""

from collections.abc import Callable
from collections.abc import Iterable

from twisted.internet import interfaces
import zmq
from zope import interface

from greengagelb import errors
from greengagelb import settings
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.fleet import membership
from greengagelb.protocol import codec
from greengagelb.protocol import limit_messages
from greengagelb.protocol import peer_api
from greengagelb.protocol import platform_api
from greengagelb.state import configuration as configuration_state
from greengagelb.state import fleet
from greengagelb.transport import recorder

UNACKNOWLEDGED_TIMEOUT_MILLISECONDS = 10_000
PING_INTERVAL_MILLISECONDS = 30_000
MIN_RECONNECT_MILLISECONDS = 100
MAX_RECONNECT_MILLISECONDS = 2_000
MAX_QUEUED_MESSAGES = 64
LINGER_MILLISECONDS = 200
FRAMES_PER_MESSAGE = 2


@interface.implementer(interfaces.IReadDescriptor)
class PeerSocket:
    """The zmq socket as a reader of the event loop."""

    def __init__(
        self,
        reactor: interfaces.IReactorFDSet,
        receive_frame: Callable[[bytes], None],
    ) -> None:
        self.reactor = reactor
        self.receive_frame = receive_frame
        self.context = zmq.Context()
        self.socket = self.context.socket(zmq.ROUTER)
        self.connected_addresses: set[fleet.PeerAddress] = set()
        self.set_options()

    def set_options(self) -> None:
        """Bound what waits, and notice connections that went silent.

        A connection that something between the ends has lost track of takes
        messages for a quarter of an hour before TCP gives up. So TCP is told
        to give up early, and zmq's own heartbeats notice what acknowledges
        bytes without passing them on; either way zmq connects afresh.
        """
        options = {
            zmq.LINGER: LINGER_MILLISECONDS,
            zmq.SNDHWM: MAX_QUEUED_MESSAGES,
            zmq.MAXMSGSIZE: peer_api.MAX_MESSAGE_BYTES,
            zmq.TCP_MAXRT: UNACKNOWLEDGED_TIMEOUT_MILLISECONDS,
            zmq.HEARTBEAT_IVL: PING_INTERVAL_MILLISECONDS,
            zmq.HEARTBEAT_TIMEOUT: PING_INTERVAL_MILLISECONDS,
            zmq.RECONNECT_IVL: MIN_RECONNECT_MILLISECONDS,
            zmq.RECONNECT_IVL_MAX: MAX_RECONNECT_MILLISECONDS,
        }
        for option, value in options.items():
            self.socket.setsockopt(option, value)

    def __enter__(self) -> 'PeerSocket':
        return self

    def __exit__(self, *exception: object) -> None:
        self.reactor.removeReader(self)
        self.socket.close()
        self.context.term()

    def bind(self, address: fleet.PeerAddress) -> None:
        """Listen on an address and begin to read."""
        try:
            self.socket.bind(endpoint_of(address))
        except zmq.ZMQError as exc:
            raise errors.CannotListen(
                f'{endpoint_of(address)}: {exc}'
            ) from exc
        self.reactor.addReader(self)
        self.reactor.callLater(0, self.doRead)

    def send(self, address: fleet.PeerAddress, frame: bytes) -> None:
        """Send a frame to an address, or drop it where too many wait."""
        if self.socket.closed:
            return
        if address not in self.connected_addresses:
            self.connect(address)
        route = endpoint_of(address).encode()
        try:
            self.socket.send_multipart([route, frame], zmq.NOBLOCK)
        except zmq.ZMQError:
            return
        finally:
            # Sending may consume the one signal that messages have come in.
            self.reactor.callLater(0, self.doRead)

    def connect(self, address: fleet.PeerAddress) -> None:
        """Open the connection over which an address is sent to."""
        endpoint = endpoint_of(address)
        self.socket.setsockopt(zmq.CONNECT_ROUTING_ID, endpoint.encode())
        self.socket.connect(endpoint)
        self.connected_addresses.add(address)

    def disconnect(self, address: fleet.PeerAddress) -> None:
        """Close the connection to an address, if there is one."""
        if address in self.connected_addresses:
            self.connected_addresses.remove(address)
            self.socket.disconnect(endpoint_of(address))

    # -- names that the event loop calls ------------------------------------

    def fileno(self) -> int:
        """Return the descriptor that becomes readable on any change."""
        return -1 if self.socket.closed else self.socket.fileno()

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name under which the loop logs this reader."""
        return 'peers'

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Do nothing; the socket outlives its connections."""

    def doRead(self) -> None:  # noqa: N802
        """Read all messages that are there.

        The descriptor signals a change once. Messages left unread would stay
        so until the next one comes, and the instance would seem deaf.
        """
        while not self.socket.closed:
            try:
                frames = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            if len(frames) == FRAMES_PER_MESSAGE:
                self.receive_frame(frames[1])


def endpoint_of(address: fleet.PeerAddress) -> str:
    """Return an address as zmq writes it."""
    return f'tcp://{address.host}:{address.port}'


class PeerLink:
    """Carries out what the membership decides, and feeds it."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        instance_settings: settings.Settings,
        incarnation: str,
        dispatch: Callable[[events.Event], None],
        configuration: Callable[[], configuration_state.Configuration],
        events_recorder: recorder.Recorder,
    ) -> None:
        own_settings = instance_settings.instance
        self.reactor = reactor
        self.dispatch = dispatch
        self.configuration = configuration
        self.recorder = events_recorder
        self.codec = peer_api.PeerCodec(
            instance_settings.secrets.cursor_secret
        )
        self.socket = PeerSocket(reactor, self.receive_frame)
        self.own_peer = fleet.PeerId(
            own_settings.name,
            incarnation,
            own_settings.data_centre,
            fleet.PeerAddress(own_settings.host, own_settings.peer_port),
        )
        self.membership = membership.Membership(
            self.own_peer,
            instance_settings.peers.addresses,
            instance_settings.peers.heartbeat_seconds,
        )
        self.sent_bytes = 0
        self.sent_messages = 0
        self.clocks_ahead: set[str] = set()

    def start(self) -> None:
        """Listen and send the first heartbeats."""
        self.socket.bind(self.own_peer.address)
        self.tick()

    def stop(self) -> None:
        """Close the socket."""
        self.socket.__exit__()

    # -- what comes in ------------------------------------------------------

    def tick(self) -> None:
        """Send the regular heartbeats."""
        self.membership.stamp = self.recorder.clock.tick(
            recorder.wall_milliseconds()
        )
        self.carry_out(self.membership.tick(self.reactor.seconds()))

    def update_own_state(self, own: fleet.OwnState) -> None:
        """Tell others what has changed here."""
        self.carry_out(
            self.membership.update_own_state(own, self.reactor.seconds())
        )

    def handle_own_pause(self, seconds: float) -> None:
        """Read what has come in meanwhile before anybody is judged."""
        now = self.reactor.seconds()
        self.membership.handle_own_pause(seconds, now)
        self.socket.doRead()

    def apply_instance_list(
        self, instances: Iterable[platform_api.Instance]
    ) -> None:
        """Take in the platform's list.

        It may show upstreams as well; those have no peer port, and matter
        here only once they are leaving.
        """
        found = []
        for instance in instances:
            if instance.peer_port:
                found.append(listed_instance(instance))
            elif instance.state == platform_api.LEAVING:
                engine = platform_api.to_engine_id(instance)
                source = 'platform list'
                self.dispatch(events.UpstreamLeaving(engine, source))
        now = self.reactor.seconds()
        self.carry_out(self.membership.apply_instance_list(found, now))

    def receive_frame(self, frame: bytes) -> None:
        """Take in a message; one that can't be understood is dropped."""
        try:
            message = self.codec.open_frame(frame)
            self.handle_message(message)
        except errors.ProtocolError as exc:
            self.record('peer-message-dropped', str(exc))

    def handle_message(self, message: peer_api.Message) -> None:
        """Pass a message to whom it concerns."""
        now = self.reactor.seconds()
        match message:
            case peer_api.HeartbeatMessage():
                heartbeat = peer_api.to_heartbeat(message)
                self.observe_clock(heartbeat)
                self.carry_out(
                    self.membership.handle_heartbeat(heartbeat, now)
                )
            case peer_api.ConfigurationQuery(host, port):
                self.send_configuration(fleet.PeerAddress(host, port))
            case peer_api.ConfigurationCopy(name, document):
                offered = codec.decompress(
                    document, configuration_state.Configuration
                )
                self.dispatch(
                    events.ConfigurationOffered(offered, f'peer {name}')
                )
            case peer_api.LimitMessage(incarnation, wire):
                told = limit_messages.from_wire(wire)
                self.dispatch(events.PeerMessageReceived(incarnation, told))
            case peer_api.Introduction(pairs):
                addresses = [fleet.PeerAddress(*pair) for pair in pairs]
                self.carry_out(
                    self.membership.handle_introduction(addresses, now)
                )

    def observe_clock(self, heartbeat: fleet.Heartbeat) -> None:
        """Keep this instance's stamps behind no other's."""
        if self.recorder.observe_stamp(heartbeat.stamp):
            return
        if heartbeat.sender.incarnation not in self.clocks_ahead:
            self.clocks_ahead.add(heartbeat.sender.incarnation)
            wall = recorder.wall_milliseconds()
            lead = heartbeat.stamp.milliseconds - wall
            self.record('clock-ahead', f'{heartbeat.sender.name} by {lead} ms')

    def send_configuration(self, address: fleet.PeerAddress) -> None:
        """Send the configuration in force here."""
        applied = self.configuration()
        if applied.version:
            self.membership.mark_contacted(address)
            document = codec.compress(applied)
            self.send(
                address,
                peer_api.ConfigurationCopy(self.own_peer.name, document),
            )

    # -- what goes out ------------------------------------------------------

    def carry_out(self, wanted: Iterable[membership.Action]) -> None:
        """Carry out what the membership has decided."""
        for action in wanted:
            match action:
                case membership.SendHeartbeat(address, heartbeat):
                    self.send(address, peer_api.to_message(heartbeat))
                case membership.AskForConfiguration(address):
                    own = self.own_peer.address
                    query = peer_api.ConfigurationQuery(own.host, own.port)
                    self.send(address, query)
                case membership.IntroducePeers(address, peers):
                    pairs = [(peer.host, peer.port) for peer in peers]
                    self.send(address, peer_api.Introduction(pairs))
                case membership.Disconnect(address):
                    self.socket.disconnect(address)
                case membership.EmitEvent(event):
                    self.dispatch(event)
                case membership.Explain(kind, reason):
                    self.record(kind, reason)

    def send_limit_message(self, action: actions.SendPeerMessage) -> None:
        """Send what is said about limits to one instance, or to all here."""
        members = self.membership
        addresses = {members.address_of(action.incarnation)}
        if not action.incarnation:
            addresses = members.local_addresses()
        wire = limit_messages.to_wire(action.message)
        for address in addresses - {None}:
            message = peer_api.LimitMessage(self.own_peer.incarnation, wire)
            self.send(address, message)

    def send(
        self, address: fleet.PeerAddress, message: peer_api.Message
    ) -> None:
        """Send a message to the instance at an address."""
        frame = self.codec.seal_message(message)
        self.sent_bytes += len(frame)
        self.sent_messages += 1
        self.socket.send(address, frame)

    def record(self, kind: str, reason: str) -> None:
        """Put an automatic act on the time line."""
        self.recorder.record(actions.Record(kind, reason))


def listed_instance(
    instance: platform_api.Instance,
) -> fleet.ListedInstance:
    """Return an entry of the platform's list as the decisions see it."""
    return fleet.ListedInstance(
        fleet.PeerId(
            instance.name,
            instance.incarnation or instance.name,
            instance.data_centre,
            fleet.PeerAddress(instance.host, instance.peer_port),
        ),
        instance.state == platform_api.LEAVING,
    )
