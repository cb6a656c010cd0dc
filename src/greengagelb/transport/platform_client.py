"""Client of the platform's service: tables and the instance list."""

from collections.abc import Callable
import random
from typing import Any
import urllib.parse

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure
from twisted.web import http as web_http
from twisted.web import iweb

from greengagelb import errors
from greengagelb import settings
from greengagelb.coordination import actions
from greengagelb.coordination.sharing import store_budget
from greengagelb.protocol import codec
from greengagelb.protocol import platform_api
from greengagelb.transport import http

RecordAction = Callable[[actions.Record], None]
StartRequest = Callable[[], 'defer.Deferred[iweb.IResponse]']


LOAD_RETRY_SECONDS = 1.0


class PlatformClient:
    """Sends requests to the platform's service, with timeouts and a budget.

    A request that the budget refuses fails at once with
    ``PlatformUnavailable`` and ``handed_over`` False; nothing is queued for a
    store that is down.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        platform: settings.PlatformSettings,
        record: RecordAction = lambda _: None,
    ) -> None:
        self.reactor = reactor
        self.settings = platform
        self.record = record
        self.budget = store_budget.StoreBudget(
            platform.reads_per_second,
            platform.writes_per_second,
            random.Random(),
            reactor.seconds(),
        )
        agent = http.fresh_connection_agent(reactor)
        self.treq = http.direct_client(agent)

    def url_of(self, path: str) -> str:
        """Return the URL of a path at the platform."""
        return f'http://{self.settings.host}:{self.settings.port}{path}'

    def row_url(self, table: str, key: str) -> str:
        """Return the URL of a row."""
        return self.url_of(
            f'/tables/{table}/row?key={urllib.parse.quote(key)}'
        )

    @defer.inlineCallbacks
    def read_row(self, table: str, key: str) -> Any:
        """Return a :class:`~.platform_api.Row`, or None if there is none.

        Raises :class:`~greengagelb.errors.PlatformUnavailable`.
        """
        status, body = yield self.send_request(
            store_budget.RequestKind.READ,
            lambda: self.treq.get(self.row_url(table, key)),
        )
        if status == web_http.NOT_FOUND:
            return None
        return codec.decode(body, platform_api.Row)

    @defer.inlineCallbacks
    def list_rows(self, table: str) -> Any:
        """Return all rows of a table."""
        _, body = yield self.send_request(
            store_budget.RequestKind.READ,
            lambda: self.treq.get(self.url_of(f'/tables/{table}/rows')),
        )
        return codec.decode(body, list[platform_api.Row])

    @defer.inlineCallbacks
    def write_row(
        self,
        table: str,
        key: str,
        expected_version: int,
        value: str,
        kind: store_budget.RequestKind = store_budget.RequestKind.WRITE,
        account: str = '',
    ) -> Any:
        """Write a row if it has the expected version; return the new row.

        Raises :class:`~greengagelb.errors.VersionConflict` if it has another
        version, and :class:`~greengagelb.errors.PlatformUnavailable` if it is
        unknown whether the write took effect.
        """
        write = platform_api.Write(expected_version, value)
        data = codec.encode(write)
        status, body = yield self.send_request(
            kind,
            lambda: self.treq.put(self.row_url(table, key), data=data),
            account,
        )
        if status == web_http.CONFLICT:
            found = codec.decode(body, platform_api.Row)
            raise errors.VersionConflict(key, found)
        return codec.decode(body, platform_api.Row)

    @defer.inlineCallbacks
    def list_instances(self) -> Any:
        """Return the platform's list of instances, which lags behind."""
        _, body = yield self.send_request(
            store_budget.RequestKind.READ,
            lambda: self.treq.get(self.url_of('/instances')),
        )
        return codec.decode(body, list[platform_api.Instance])

    @defer.inlineCallbacks
    def ask_to_load(self, model: str, version: str) -> Any:
        """Ask the weight store for a load; return seconds to wait, or None.

        Not counted in the budget of the table requests: a busy weight store
        must not block claims.
        """
        url = self.url_of(f'/weights/{model}/{version}')
        answer = self.treq.post(url)
        answer.addTimeout(self.settings.timeout_seconds, self.reactor)
        try:
            response = yield answer
        except Exception as exc:
            raise errors.PlatformUnavailable(type(exc).__name__) from exc
        http.discard_body(response)
        if response.code == web_http.OK:
            return None
        return LOAD_RETRY_SECONDS

    def send_request(
        self,
        kind: store_budget.RequestKind,
        start: StartRequest,
        account: str = '',
    ) -> 'defer.Deferred[tuple[int, bytes]]':
        """Return status and body; fail if the platform is unavailable."""
        refusal = self.budget.admit(kind, self.reactor.seconds(), account)
        if refusal is not None:
            refused = errors.PlatformUnavailable(refusal.value)
            refused.handed_over = False
            return defer.fail(refused)
        # An exception raised here, rather than a failed Deferred, would leave
        # the request counted as in flight forever, and would block the only
        # probe of a half-open circuit.
        answer = defer.maybeDeferred(start)
        answer.addCallback(self.read_response)
        answer.addTimeout(self.settings.timeout_seconds, self.reactor)
        return answer.addCallbacks(self.handle_success, self.handle_failure)

    def read_response(self, response: iweb.IResponse) -> defer.Deferred:
        """Return status and body; raise on an error of the platform."""
        code = response.code
        busy = code == http.TOO_MANY_REQUESTS
        if busy or code >= web_http.INTERNAL_SERVER_ERROR:
            http.discard_body(response)
            raise errors.PlatformUnavailable(f'status {code}')
        body = http.read_whole_body(response)
        return body.addCallback(lambda raw: (code, raw))

    def handle_success(self, answer: tuple[int, bytes]) -> tuple[int, bytes]:
        """Record that the platform answered."""
        for action in self.budget.record_success():
            self.record(action)
        return answer

    def handle_failure(self, why: failure.Failure) -> None:
        """Record that the platform is unavailable, and raise it."""
        for action in self.budget.record_failure(self.reactor.seconds()):
            self.record(action)
        unavailable = errors.PlatformUnavailable(why.type.__name__)
        unavailable.handed_over = http.was_handed_over(why)
        raise unavailable from why.value
