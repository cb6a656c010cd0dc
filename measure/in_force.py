"""How long it takes to see what is in force at many addresses.

    .venv/bin/python -m measure.in_force --instances 300

Serves that many stand-in pages on loopback ports of this process, has the
command's reader ask all of them, and prints the seconds. Every tenth address
is silent: it accepts a connection and never answers.
"""

import argparse
import time

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task
from twisted.web import resource
from twisted.web import server

from greengagelb.state import in_force
from greengagelb.transport import metrics
from greengagelb.transport import operator_client
from greengagelb.transport import page_reader
from greengagelb.transport.relay import relay_metrics

HOST = '127.0.0.1'
SILENT_EVERY = 10


class Page(resource.Resource):
    """A page of metrics that never changes."""

    isLeaf = True  # noqa: N815

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Return the page."""
        figures = relay_metrics.RelayMetrics()
        sample = metrics.Sample(identity=metrics.Identity('a', 'north'))
        figures.sample = lambda: sample
        return figures.render_relay(connections_opened=0)


async def look(reactor: interfaces.IReactorCore, instances: int) -> None:
    """Serve the pages, read them, and print how long that took."""
    site = server.Site(Page())
    silent = protocol.Factory.forProtocol(protocol.Protocol)
    ports = [
        reactor.listenTCP(
            0, silent if number % SILENT_EVERY == 0 else site, interface=HOST
        )
        for number in range(1, instances + 1)
    ]
    addresses = [
        operator_client.Address(HOST, port.getHost().port) for port in ports
    ]
    reader = page_reader.PageReader(reactor)
    began_at = time.monotonic()
    found = await reader.read_all_pages(addresses)
    seconds = time.monotonic() - began_at
    answers = sum(
        isinstance(page, in_force.InstanceReport) for _, page in found
    )
    print(f'{answers} of {instances} answered, {seconds:.2f} s')


def main() -> None:
    """Run once."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, default=300)
    chosen = parser.parse_args()
    task.react(
        lambda reactor: defer.Deferred.fromCoroutine(
            look(reactor, chosen.instances)
        )
    )


if __name__ == '__main__':
    main()
