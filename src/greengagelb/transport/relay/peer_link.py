"""Exchanges heartbeats and hints with the other instances over UDP."""

import collections
from collections.abc import Callable
import dataclasses
import random

from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol

from greengagelb import errors
from greengagelb.coordination.relay import events as relay_events
from greengagelb.protocol import relay_hints
from greengagelb.state.relay import hints
from greengagelb.transport.relay import engine_side
from greengagelb.transport.relay import hint_batches

# How many instances of another data centre forward a datagram there; one of
# them may have died undetected.
FORWARDERS_PER_DATA_CENTRE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Address and data centre of another instance."""

    host: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What a heartbeat tells of its sender, and hints that go with it."""

    digests: hints.Digests = hints.EMPTY_DIGESTS
    more: tuple[hints.Hint, ...] = ()


class PeerLink(protocol.DatagramProtocol):
    """The socket for all other instances.

    ``peers`` has the known instances by incarnation. All instances use the
    same port. ``report_bad_datagram`` is called with the reason why a datagram
    could not be sent or decoded. ``datagrams_sent`` counts them. No other
    incarnation than one ``alone_at_host`` is known at its host. ``batch`` has
    what waits to be sent; ``get_status`` returns what a heartbeat tells.
    """

    def __init__(
        self,
        own: hints.Member,
        port: int,
        dispatch: engine_side.Dispatch,
        report_bad_datagram: Callable[[str], None],
        rng: random.Random,
        timing: hint_batches.Timing = hint_batches.DEFAULT_TIMING,
        get_status: Callable[[], Status] = Status,
    ) -> None:
        self.own = own
        self.port = port
        self.dispatch = dispatch
        self.report_bad_datagram = report_bad_datagram
        self.rng = rng
        self.timing = timing
        self.get_status = get_status
        self.batch = hint_batches.HintBatch()
        self.peers: dict[str, Peer] = {}
        self.alone_at_host: set[str] = set()
        self.datagrams_sent = 0

    def open_socket(self, reactor: interfaces.IReactorUDP) -> None:
        """Open the socket.

        Raises :class:`~greengagelb.errors.CannotListen`.
        """
        try:
            reactor.listenUDP(self.port, self, interface=self.own.host)
        except error.CannotListenError as exc:
            raise errors.CannotListen(str(exc)) from exc

    def host_of(self, incarnation: str) -> str | None:
        """Return the host of another instance, or None if it is unknown."""
        peer = self.peers.get(incarnation)
        return peer.host if peer is not None else None

    def is_known_host(self, host: str) -> bool:
        """Return whether another instance is at a host."""
        return any(peer.host == host for peer in self.peers.values())

    def send_hint_to_all(
        self, hint: hints.Hint, *, may_wait: bool = False
    ) -> None:
        """Send a hint to each other instance directly.

        In a large fleet one that ``may_wait`` is sent with later ones.
        """
        now = self.timing.seconds()
        wait = self.timing.hint_wait_seconds() if may_wait else 0.0
        self.batch.add_hint(hint, now + wait)
        if not wait:
            self.send_batch(now)

    def send_due(self) -> None:
        """Send the heartbeat and hints that are due."""
        now = self.timing.seconds()
        if self.batch.is_due(now):
            self.send_batch(now)

    def send_batch(self, now: float) -> None:
        """Send the hints that wait, and a heartbeat if it is time for one."""
        messages = [*map(relay_hints.to_wire, self.batch.take_hints())]
        early = self.timing.hint_wait_seconds() > 0.0
        if self.batch.includes_heartbeat(now, early=early):
            messages = [*self.heartbeat_messages(), *messages]
            next_at = self.timing.next_heartbeat_at(now)
            self.batch.note_heartbeat(now, next_at)
        own = self.own.incarnation
        for raw in relay_hints.encode_batch(own, messages):
            self.send_to_all(raw)

    def heartbeat_messages(self) -> list[relay_hints.Single]:
        """Return a heartbeat and the hints that go with it."""
        status = self.get_status()
        return [
            relay_hints.make_heartbeat(self.own, status.digests),
            *map(relay_hints.to_wire, status.more),
        ]

    def send_hint_to(self, incarnation: str, hint: hints.Hint) -> None:
        """Send a hint to one other instance, if it is known."""
        peer = self.peers.get(incarnation)
        if peer is not None:
            own = self.own.incarnation
            self.send_datagram(relay_hints.encode_hint(own, hint), peer.host)

    def broadcast_hints(self, sent_hints: tuple[hints.Hint, ...]) -> None:
        """Send hints to all instances, using forwarders in other data centres.

        All hints go through the same forwarders, as their order matters.
        """
        own = self.own.incarnation
        hosts = self.choose_forwarders()
        messages = [relay_hints.to_wire(hint) for hint in sent_hints]
        for raw in relay_hints.encode_batch(own, messages):
            self.send_within_data_centre(raw)
            forwarded = relay_hints.encode_forwarded(own, raw)
            for host in hosts:
                self.send_datagram(forwarded, host)

    def choose_forwarders(self) -> list[str]:
        """Return the hosts of random instances of each other data centre."""
        hosts_by_data_centre: dict[str, list[str]] = collections.defaultdict(
            list
        )
        for peer in self.peers.values():
            if peer.data_centre != self.own.data_centre:
                hosts_by_data_centre[peer.data_centre].append(peer.host)
        return [
            host
            for hosts in hosts_by_data_centre.values()
            for host in self.rng.sample(
                hosts, min(FORWARDERS_PER_DATA_CENTRE, len(hosts))
            )
        ]

    def send_within_data_centre(self, raw: bytes) -> None:
        """Send a datagram to the other instances of this data centre."""
        for peer in self.peers.values():
            if peer.data_centre == self.own.data_centre:
                self.send_datagram(raw, peer.host)

    def send_heartbeat(
        self,
        *,
        leaving: bool = False,
        known: hints.Digests = hints.EMPTY_DIGESTS,
    ) -> None:
        """Send a heartbeat to all others; ``leaving`` if this one stops.

        ``known`` are the digests of what this instance knows.
        """
        raw = relay_hints.encode_heartbeat(
            self.own, leaving=leaving, digests=known
        )
        self.send_to_all(raw)

    def send_to_all(self, raw: bytes) -> None:
        """Send a datagram to all others; ones that can't be sent are lost."""
        for peer in self.peers.values():
            self.send_datagram(raw, peer.host)

    def send_datagram(self, raw: bytes, host: str) -> None:
        """Send a datagram.

        The host is stated by the other instance. If it is not an IP address,
        the error must not prevent sending to the remaining instances.
        """
        self.datagrams_sent += 1
        try:
            self.transport.write(raw, (host, self.port))
        except (OSError, error.InvalidAddressError) as exc:
            self.report_bad_datagram(f'not sent to {host}: {exc}')

    def update_peers(self, members: tuple[hints.Member, ...]) -> None:
        """Replace the known peers; send a heartbeat to new ones."""
        found = {m.incarnation: Peer(m.host, m.data_centre) for m in members}
        greeting = relay_hints.encode_heartbeat(self.own)
        for incarnation, peer in found.items():
            if incarnation not in self.peers:
                self.send_datagram(greeting, peer.host)
        self.peers = found
        self.alone_at_host.clear()

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Decode a datagram, forward it if asked to, and dispatch it."""
        try:
            sender, message = relay_hints.decode_datagram(datagram)
            if isinstance(message, relay_hints.Forwarded):
                inner = message.datagram
                sender, message = relay_hints.decode_datagram(inner)
                self.forward_datagram(inner, message)
        except errors.ProtocolError as exc:
            self.report_bad_datagram(f'from {addr[0]}: {exc}')
            return
        if sender == self.own.incarnation:
            return
        match message:
            case relay_hints.Messages(messages):
                for one in messages:
                    self.handle_message(sender, one, addr)
            case _:
                self.handle_message(sender, message, addr)

    def handle_message(
        self, sender: str, message: relay_hints.Message, addr: tuple[str, int]
    ) -> None:
        """Handle one message of another instance."""
        match message:
            case relay_hints.Heartbeat():
                self.handle_heartbeat(sender, message)
            case relay_hints.Forwarded():
                self.report_bad_datagram(f'from {addr[0]}: forwarded twice')
            case _:
                self.dispatch(relay_events.PeerTold(sender, message))

    def forward_datagram(
        self, raw: bytes, message: relay_hints.Message
    ) -> None:
        """Forward a datagram within this data centre.

        One that was wrapped twice is not forwarded, as it would circulate.
        """
        if not isinstance(message, relay_hints.Forwarded):
            self.send_within_data_centre(raw)

    def handle_heartbeat(
        self, sender: str, heartbeat: relay_hints.Heartbeat
    ) -> None:
        """Note the sender as a peer, as the list of instances may be stale.

        An earlier incarnation on the same host is removed.
        """
        if heartbeat.leaving:
            self.peers.pop(sender, None)
            self.alone_at_host.discard(sender)
            self.dispatch(relay_events.PeerLeft(sender))
            return
        if sender not in self.alone_at_host:
            self.remove_earlier_incarnations(sender, heartbeat.host)
        self.peers[sender] = Peer(heartbeat.host, heartbeat.data_centre)
        known = hints.Digests(
            heartbeat.crashes_digest, heartbeat.limits_digest
        )
        self.dispatch(
            relay_events.PeerHeard(sender, heartbeat.data_centre, known)
        )

    def remove_earlier_incarnations(self, sender: str, host: str) -> None:
        """Remove all other incarnations at the host of a sender."""
        earlier = [
            incarnation
            for incarnation, peer in self.peers.items()
            if peer.host == host and incarnation != sender
        ]
        for incarnation in earlier:
            del self.peers[incarnation]
            self.alone_at_host.discard(incarnation)
            self.dispatch(relay_events.PeerLeft(incarnation))
        self.alone_at_host.add(sender)
