"""Sends hints to the other instances and hears theirs."""

from collections.abc import Callable

from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol

from greengagelb import errors
from greengagelb.coordination.relay import events as relay_events
from greengagelb.protocol import relay_hints
from greengagelb.state.relay import hints
from greengagelb.transport.relay import engine_side


class PeerLink(protocol.DatagramProtocol):
    """One socket for all other instances.

    ``hosts`` maps the incarnations that are known to their hosts, and
    ``neighbours`` names those of the own data centre. All instances use the
    same port.
    """

    def __init__(
        self,
        own: hints.Member,
        port: int,
        dispatch: engine_side.Dispatch,
        bad_datagram: Callable[[str], None],
    ) -> None:
        self.own = own
        self.port = port
        self.dispatch = dispatch
        self.bad_datagram = bad_datagram
        self.hosts: dict[str, str] = {}
        self.neighbours: set[str] = set()

    def open(self, reactor: interfaces.IReactorUDP) -> None:
        """Open the socket."""
        try:
            reactor.listenUDP(self.port, self, interface=self.own.host)
        except error.CannotListenError as exc:
            raise errors.CannotListen(str(exc)) from exc

    # -- sending ------------------------------------------------------------

    def tell(self, hint: hints.Hint) -> None:
        """Send a hint to all others."""
        self.send_to_all(relay_hints.encode_hint(self.own.incarnation, hint))

    def tell_neighbours(self, hint: hints.Hint) -> None:
        """Send a hint to the others of the own data centre."""
        raw = relay_hints.encode_hint(self.own.incarnation, hint)
        for incarnation in self.neighbours & self.hosts.keys():
            self.send(raw, self.hosts[incarnation])

    def beat(self, *, leaving: bool = False) -> None:
        """Tell all others that this instance is there, or stops."""
        raw = relay_hints.encode_heartbeat(self.own, leaving=leaving)
        self.send_to_all(raw)

    def send_to_all(self, raw: bytes) -> None:
        """Send a datagram to all others; what can't be sent is lost."""
        for host in self.hosts.values():
            self.send(raw, host)

    def send(self, raw: bytes, host: str) -> None:
        """Send a datagram.

        A host is what another one says of itself. If it is no IP number, that
        must not keep the others from being told.
        """
        try:
            self.transport.write(raw, (host, self.port))
        except (OSError, error.InvalidAddressError) as exc:
            self.bad_datagram(f'not sent to {host}: {exc}')

    def listed(self, members: tuple[hints.Member, ...]) -> None:
        """Take in who else is there, and greet those that are new."""
        found = {m.incarnation: m.host for m in members}
        greeting = relay_hints.encode_heartbeat(self.own)
        for incarnation, host in found.items():
            if incarnation not in self.hosts:
                self.send(greeting, host)
        self.hosts = found
        self.neighbours = {
            m.incarnation
            for m in members
            if m.data_centre == self.own.data_centre
        }

    # -- hearing ------------------------------------------------------------

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Hand what others tell to the decisions."""
        try:
            sender, message = relay_hints.decode(datagram)
        except errors.ProtocolError as exc:
            self.bad_datagram(f'from {addr[0]}: {exc}')
            return
        if sender == self.own.incarnation:
            return
        if isinstance(message, relay_hints.Heartbeat):
            self.take_heartbeat(sender, message)
        else:
            self.dispatch(relay_events.PeerTold(sender, message))

    def take_heartbeat(self, sender: str, beat: relay_hints.Heartbeat) -> None:
        """Note who is there; the list of instances may lag behind."""
        if beat.leaving:
            self.hosts.pop(sender, None)
            self.dispatch(relay_events.PeerLeft(sender))
            return
        stale = [
            incarnation
            for incarnation, host in self.hosts.items()
            if host == beat.host and incarnation != sender
        ]
        for incarnation in stale:
            del self.hosts[incarnation]
            self.dispatch(relay_events.PeerLeft(incarnation))
        self.hosts[sender] = beat.host
        if beat.data_centre == self.own.data_centre:
            self.neighbours.add(sender)
        self.dispatch(relay_events.PeerHeard(sender, beat.data_centre))
