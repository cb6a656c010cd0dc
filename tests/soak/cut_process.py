"""Runs one instance whose connections to engines can be cut from outside.

The instance's connections leave from its own address, so that the links of the
engines can tell them apart. A file says what becomes of new ones: they hang,
or are refused. Open ones are the links' part.
"""

import json
import pathlib
import random
import sys

from twisted.internet import reactor

from greengagelb.platform import process

REFUSED_PORT = 1


class Messages:
    """Loses some of the messages to other instances, and delays the others."""

    def __init__(self, control: pathlib.Path) -> None:
        self.control = control
        state = json.loads(control.read_text('utf-8'))
        self.loss = state['message_loss']
        self.delay = state['message_delay']
        self.rng = random.Random(str(control))
        self.plain = reactor.listenUDP

    def listen(self, port: int, protocol: object, interface: str) -> object:
        """Open a socket whose datagrams are harmed."""
        opened = self.plain(port, protocol, interface=interface)
        send = opened.write

        def write(raw: bytes, address: tuple[str, int]) -> None:
            state = json.loads(self.control.read_text('utf-8'))
            is_lost = self.rng.random() < self.loss
            if is_lost or address[0] in state['lost_paths']:
                return
            if not self.delay:
                send(raw, address)
                return
            seconds = self.rng.uniform(0.5, 1.0) * self.delay
            reactor.callLater(seconds, send, raw, address)

        opened.write = write
        return opened


class Connections:
    """Opens the connections of the process."""

    def __init__(self, host: str, control: pathlib.Path) -> None:
        self.host = host
        self.control = control
        self.plain = reactor.connectTCP

    def connect(
        self,
        host: str,
        port: int,
        factory: object,
        timeout: float = 30,
        bindAddress: tuple[str, int] | None = None,  # noqa: N803
    ) -> object:
        """Open a connection, unless it goes to an engine that is cut off."""
        state = json.loads(self.control.read_text('utf-8'))
        port = state['paths'].get(host, port)
        if host in state['engines']:
            bindAddress = (self.host, 0)  # noqa: N806
            if state['mode'] == 'refused':
                port = REFUSED_PORT
            elif state['mode']:
                host, port = state['hole']
        return self.plain(host, port, factory, timeout, bindAddress)


def main() -> int:
    """Run the instance."""
    host, control = sys.argv[1:]
    connections = Connections(host, pathlib.Path(control))
    reactor.connectTCP = connections.connect
    messages = Messages(pathlib.Path(control))
    reactor.listenUDP = messages.listen
    return process.main()


if __name__ == '__main__':
    sys.exit(main())
