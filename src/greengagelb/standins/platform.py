"""A stand-in for the platform's service, with outages at a switch.

``POST /standin/faults`` takes a :class:`Faults`; ``PUT /standin/instances``
sets the list of instances, which shows only after its lag.
"""

import collections

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import http as web_http
from twisted.web import server

from greengagelb.protocol import codec
from greengagelb.protocol import platform_api
from greengagelb.transport import http

LOADS_PER_SECOND = 4.0


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the platform does wrong from now on.

    ``outage`` refuses everything; ``delay_seconds`` passes before each
    answer; ``lose_write_answers`` carries writes out and then closes the
    connection; ``list_lag_seconds`` delays what the instance list shows.
    """

    outage: bool = False
    delay_seconds: float = 0.0
    lose_write_answers: bool = False
    list_lag_seconds: float = 0.0


class PlatformStandIn:
    """Tables with conditional writes, objects, weights, instance list."""

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self.reactor = reactor
        self.faults = Faults()
        self.tables: dict[str, dict[str, platform_api.Row]] = {}
        self.objects: dict[str, bytes] = {}
        self.instances: list[platform_api.Instance] = []
        self.next_load = 0.0
        self.reads = 0
        self.writes = 0
        self.writes_asked: collections.Counter[str] = collections.Counter()
        self.app = klein.Klein()
        row = '/tables/<table>/row'
        self.app.route(row, methods=['GET'])(self.read_row)
        self.app.route(row, methods=['PUT'])(self.write_row)
        self.app.route('/tables/<table>/rows')(self.list_rows)
        self.app.route('/objects', methods=['GET'])(self.read_object)
        self.app.route('/objects', methods=['PUT'])(self.write_object)
        self.app.route('/instances')(self.list_instances)
        self.app.route('/weights/<model>/<version>', methods=['POST'])(
            self.load_weights
        )
        self.app.route('/standin/faults', methods=['POST'])(self.set_faults)
        self.app.route('/standin/writes')(self.show_writes)
        self.app.route('/standin/instances', methods=['PUT'])(
            self.set_instances
        )

    @defer.inlineCallbacks
    def before(self, request: server.Request) -> object:
        """Return whether the platform answers, after its delay."""
        if self.faults.delay_seconds:
            yield task.deferLater(self.reactor, self.faults.delay_seconds)
        if self.faults.outage:
            request.setResponseCode(web_http.SERVICE_UNAVAILABLE)
            return False
        return True

    @defer.inlineCallbacks
    def read_row(self, request: server.Request, table: str) -> object:
        """Return a row."""
        if not (yield self.before(request)):
            return b''
        self.reads += 1
        row = self.tables.get(table, {}).get(key_of(request))
        if row is None:
            request.setResponseCode(web_http.NOT_FOUND)
            return b''
        return http.json_answer(request, row)

    @defer.inlineCallbacks
    def write_row(self, request: server.Request, table: str) -> object:
        """Write a row if its version is the expected one."""
        self.writes_asked[table] += 1
        if not (yield self.before(request)):
            return b''
        self.writes += 1
        write = codec.decode(request.content.read(), platform_api.Write)
        key = key_of(request)
        rows = self.tables.setdefault(table, {})
        found = rows.get(key, platform_api.Row(key, 0, ''))
        if found.version != write.expected_version:
            return http.json_answer(request, found, web_http.CONFLICT)
        rows[key] = platform_api.Row(key, found.version + 1, write.value)
        if self.faults.lose_write_answers:
            request.transport.abortConnection()
            return b''
        return http.json_answer(request, rows[key])

    @defer.inlineCallbacks
    def list_rows(self, request: server.Request, table: str) -> object:
        """Return all rows of a table."""
        if not (yield self.before(request)):
            return b''
        self.reads += 1
        rows = list(self.tables.get(table, {}).values())
        return http.json_answer(request, rows)

    @defer.inlineCallbacks
    def read_object(self, request: server.Request) -> object:
        """Return an object."""
        if not (yield self.before(request)):
            return b''
        self.reads += 1
        found = self.objects.get(key_of(request))
        if found is None:
            request.setResponseCode(web_http.NOT_FOUND)
            return b''
        return found

    @defer.inlineCallbacks
    def write_object(self, request: server.Request) -> object:
        """Write an object."""
        if not (yield self.before(request)):
            return b''
        self.writes += 1
        self.objects[key_of(request)] = request.content.read()
        return b''

    @defer.inlineCallbacks
    def list_instances(self, request: server.Request) -> object:
        """Return the list of instances."""
        if not (yield self.before(request)):
            return b''
        return http.json_answer(request, self.instances)

    @defer.inlineCallbacks
    def load_weights(
        self, request: server.Request, model: str, version: str
    ) -> object:
        """Allow a load of weights, unless loads come too fast."""
        if not (yield self.before(request)):
            return b''
        now = self.reactor.seconds()
        if now < self.next_load:
            request.setResponseCode(http.TOO_MANY_REQUESTS)
            request.setHeader(b'retry-after', b'1')
            return b''
        self.next_load = now + 1.0 / LOADS_PER_SECOND
        return http.json_answer(request, {'model': model, 'version': version})

    def set_faults(self, request: server.Request) -> bytes:
        """Behave wrongly from now on."""
        self.faults = codec.decode(request.content.read(), Faults)
        return b'{}'

    def show_writes(self, request: server.Request) -> bytes:
        """Tell how many writes of each table arrived, before their delay."""
        return http.json_answer(request, dict(self.writes_asked))

    def set_instances(self, request: server.Request) -> bytes:
        """Change the list of instances, after its lag."""
        instances = codec.decode(
            request.content.read(), list[platform_api.Instance]
        )
        self.reactor.callLater(
            self.faults.list_lag_seconds, self.show_instances, instances
        )
        return b'{}'

    def show_instances(self, instances: list[platform_api.Instance]) -> None:
        """Let the list show what it was set to."""
        self.instances = instances


def key_of(request: server.Request) -> str:
    """Return the key in a request's query."""
    return request.args.get(b'key', [b''])[0].decode()
