"""Talks to the platform's service: tables and the instance list."""

from typing import Any
import urllib.parse

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure
from twisted.web import http as web_http
from twisted.web import iweb

from greengagelb import errors
from greengagelb import settings
from greengagelb.protocol import codec
from greengagelb.protocol import platform_api
from greengagelb.transport import http


class PlatformClient:
    """Requests to the platform's service, each within its time."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        platform: settings.PlatformSettings,
    ) -> None:
        self.reactor = reactor
        self.settings = platform
        agent = http.fresh_connection_agent(reactor)
        self.treq = http.cookieless_client(agent)

    def url(self, path: str) -> str:
        """Return the URL of a path at the platform."""
        return f'http://{self.settings.host}:{self.settings.port}{path}'

    def row_url(self, table: str, key: str) -> str:
        """Return the URL of a row."""
        return self.url(f'/tables/{table}/row?key={urllib.parse.quote(key)}')

    @defer.inlineCallbacks
    def read(self, table: str, key: str) -> Any:
        """Return a :class:`~.platform_api.Row`, or None if there is none.

        Raises :class:`~greengagelb.errors.PlatformUnavailable`.
        """
        status, body = yield self.ask(self.treq.get(self.row_url(table, key)))
        if status == web_http.NOT_FOUND:
            return None
        return codec.decode(body, platform_api.Row)

    @defer.inlineCallbacks
    def list_rows(self, table: str) -> Any:
        """Return all rows of a table."""
        _, body = yield self.ask(
            self.treq.get(self.url(f'/tables/{table}/rows'))
        )
        return codec.decode(body, list[platform_api.Row])

    @defer.inlineCallbacks
    def write(
        self, table: str, key: str, expected_version: int, value: str
    ) -> Any:
        """Write a row if it has the expected version; return the new row.

        Raises :class:`~greengagelb.errors.VersionConflict` where it has
        another one, and :class:`~greengagelb.errors.PlatformUnavailable`
        where nobody can tell whether the write took effect.
        """
        write = platform_api.Write(expected_version, value)
        status, body = yield self.ask(
            self.treq.put(self.row_url(table, key), data=codec.encode(write))
        )
        if status == web_http.CONFLICT:
            raise errors.VersionConflict(key)
        return codec.decode(body, platform_api.Row)

    @defer.inlineCallbacks
    def list_instances(self) -> Any:
        """Return the platform's list of instances, which lags."""
        _, body = yield self.ask(self.treq.get(self.url('/instances')))
        return codec.decode(body, list[platform_api.Instance])

    def ask(
        self, answer: 'defer.Deferred[iweb.IResponse]'
    ) -> 'defer.Deferred[tuple[int, bytes]]':
        """Return status and body, or raise that the platform is away."""

        def read(response: iweb.IResponse) -> defer.Deferred:
            if response.code >= web_http.INTERNAL_SERVER_ERROR:
                http.discard_body(response)
                raise errors.PlatformUnavailable(f'status {response.code}')
            body = http.read_whole_body(response)
            return body.addCallback(lambda raw: (response.code, raw))

        def unavailable(why: failure.Failure) -> None:
            unavailable = errors.PlatformUnavailable(why.type.__name__)
            unavailable.handed_over = http.was_handed_over(why)
            raise unavailable from why.value

        answer.addCallback(read)
        answer.addTimeout(self.settings.timeout_seconds, self.reactor)
        return answer.addErrback(unavailable)
