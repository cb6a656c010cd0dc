"""Carries messages between instances over one zmq socket.

The socket is a ROUTER that both listens and connects: it sends over its own
connections, and receives over those of the other instances. One socket has one
descriptor in the event loop, independent of the number of instances.

zmq runs a background thread in C, which runs no Python code.
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
        """Limit the queues, and detect silent connections.

        If a device between the ends has lost track of a connection, TCP
        accepts messages for a quarter of an hour before it gives up. A shorter
        TCP timeout detects this, and zmq's own heartbeats detect a device that
        acknowledges bytes without passing them on. In both cases zmq
        reconnects.
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
        """Listen on an address and start reading."""
        try:
            self.socket.bind(endpoint_of(address))
        except zmq.ZMQError as exc:
            raise errors.CannotListen(
                f'{endpoint_of(address)}: {exc}'
            ) from exc
        self.reactor.addReader(self)
        self.reactor.callLater(0, self.doRead)

    def send(self, address: fleet.PeerAddress, frame: bytes) -> None:
        """Send a frame to an address; drop it if its queue is full."""
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
            # Sending may consume the one signal that messages are available.
            self.reactor.callLater(0, self.doRead)

    def connect(self, address: fleet.PeerAddress) -> None:
        """Open the connection used for sending to an address."""
        endpoint = endpoint_of(address)
        self.socket.setsockopt(zmq.CONNECT_ROUTING_ID, endpoint.encode())
        self.socket.connect(endpoint)
        self.connected_addresses.add(address)

    def disconnect(self, address: fleet.PeerAddress) -> None:
        """Close the connection to an address, if there is one."""
        if address in self.connected_addresses:
            self.connected_addresses.remove(address)
            self.socket.disconnect(endpoint_of(address))

    def fileno(self) -> int:
        """Return the descriptor that becomes readable on any change."""
        return -1 if self.socket.closed else self.socket.fileno()

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name of this reader in the logs of the reactor."""
        return 'peers'

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Do nothing; the socket outlives its connections."""

    def doRead(self) -> None:  # noqa: N802
        """Read all available messages.

        The descriptor signals a change only once. Unread messages would stay
        unread until the next one arrives, and the instance would seem
        unresponsive.
        """
        while not self.socket.closed:
            try:
                frames = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            if len(frames) == FRAMES_PER_MESSAGE:
                self.receive_frame(frames[1])


def endpoint_of(address: fleet.PeerAddress) -> str:
    """Return the zmq endpoint of an address."""
    return f'tcp://{address.host}:{address.port}'


class PeerLink:
    """Connects the membership to the peer socket and to the decisions."""

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

    def tick(self) -> None:
        """Send the periodic heartbeats."""
        self.membership.stamp = self.recorder.clock.tick(
            recorder.wall_milliseconds()
        )
        self.carry_out(self.membership.tick(self.reactor.seconds()))

    def update_own_state(self, own: fleet.OwnState) -> None:
        """Tell peers about changes of the own state."""
        self.carry_out(
            self.membership.update_own_state(own, self.reactor.seconds())
        )

    def handle_own_pause(self, seconds: float) -> None:
        """Read the messages that arrived during a pause of this process."""
        now = self.reactor.seconds()
        self.membership.handle_own_pause(seconds, now)
        self.socket.doRead()

    def apply_instance_list(
        self, instances: Iterable[platform_api.Instance]
    ) -> None:
        """Apply the platform's list of instances.

        It may list upstreams as well; those have no peer port, and matter here
        only once they are leaving.
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
        """Handle a message; one that is invalid is dropped."""
        try:
            message = self.codec.open_frame(frame)
            self.handle_message(message)
        except errors.ProtocolError as exc:
            self.record('peer-message-dropped', str(exc))

    def handle_message(self, message: peer_api.Message) -> None:
        """Pass a message on according to its type."""
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
        """Advance the own clock to a heartbeat's stamp, if it is plausible."""
        if self.recorder.observe_stamp(heartbeat.stamp):
            return
        if heartbeat.sender.incarnation not in self.clocks_ahead:
            self.clocks_ahead.add(heartbeat.sender.incarnation)
            wall = recorder.wall_milliseconds()
            lead = heartbeat.stamp.milliseconds - wall
            self.record('clock-ahead', f'{heartbeat.sender.name} by {lead} ms')

    def send_configuration(self, address: fleet.PeerAddress) -> None:
        """Send the configuration in force here to a peer."""
        applied = self.configuration()
        if applied.version:
            self.membership.mark_contacted(address)
            document = codec.compress(applied)
            self.send(
                address,
                peer_api.ConfigurationCopy(self.own_peer.name, document),
            )

    def carry_out(self, wanted: Iterable[membership.Action]) -> None:
        """Carry out the actions of the membership."""
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
        """Send a message about limits to one instance or all local ones."""
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
        """Record an automatic action on the time line."""
        self.recorder.record(actions.Record(kind, reason))


def listed_instance(
    instance: platform_api.Instance,
) -> fleet.ListedInstance:
    """Convert an entry of the platform's list for the decisions."""
    return fleet.ListedInstance(
        fleet.PeerId(
            instance.name,
            instance.incarnation or instance.name,
            instance.data_centre,
            fleet.PeerAddress(instance.host, instance.peer_port),
        ),
        instance.state == platform_api.LEAVING,
    )
