"""Reads the metrics pages of many instances with limited concurrency."""

from collections.abc import Sequence

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import http as web_http

from greengagelb import errors
from greengagelb.protocol import metrics_page
from greengagelb.state import in_force
from greengagelb.transport import http
from greengagelb.transport import operator_client

MAX_CONCURRENT_READS = 64
# The timeout for the whole page of one instance.
PAGE_TIMEOUT_SECONDS = 1.0
MAX_PAGE_BYTES = 1 << 20
METRICS_PATH = '/metrics'


class PageReader:
    """Reads metrics pages; a failure only affects one instance."""

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self.reactor = reactor
        agent = http.fresh_connection_agent(reactor, PAGE_TIMEOUT_SECONDS)
        self.treq = http.direct_client(agent)
        self.read_slots = defer.DeferredSemaphore(MAX_CONCURRENT_READS)

    async def read_all_pages(
        self, addresses: Sequence[operator_client.Address]
    ) -> list[
        tuple[str, in_force.InstanceReport | in_force.ReportUnavailable]
    ]:
        """Return what is in force at each address, in the order given."""
        pages = [
            self.read_slots.run(
                lambda a=address: defer.Deferred.fromCoroutine(
                    self.read_page(a)
                )
            )
            for address in addresses
        ]
        found = await defer.gatherResults(pages)
        names = map(str, addresses)
        return list(zip(names, found, strict=True))

    async def read_page(
        self, address: operator_client.Address
    ) -> in_force.InstanceReport | in_force.ReportUnavailable:
        """Return what is in force at an address."""
        page = defer.Deferred.fromCoroutine(self.fetch_page(address))
        page.addTimeout(PAGE_TIMEOUT_SECONDS, self.reactor)
        try:
            return metrics_page.parse_page(await page)
        except errors.ProtocolError as exc:
            return in_force.ReportUnavailable(
                f'not the metrics page of an instance: {exc}'
            )
        except errors.TransportError as exc:
            return in_force.ReportUnavailable(str(exc))
        except Exception as exc:  # noqa: BLE001 - reported as no page
            return in_force.ReportUnavailable(
                f'no answer: {type(exc).__name__}'
            )

    async def fetch_page(self, address: operator_client.Address) -> bytes:
        """Return the bytes of a page."""
        response = await self.treq.get(f'http://{address}{METRICS_PATH}')
        if response.code != web_http.OK:
            http.discard_body(response)
            raise errors.TransportError(f'status {response.code}')
        return await http.read_whole_body(response, MAX_PAGE_BYTES)
