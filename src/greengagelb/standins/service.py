"""A stand-in for a plain service that counts how often each call ran.

``POST /standin/faults`` takes a :class:`Faults`; ``GET /standin/runs`` gives
the count of each (account, request id) as ``account/request``.
"""

import collections
import os
import secrets
import signal

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import server

from greengagelb.protocol import codec
from greengagelb.protocol import engine_api
from greengagelb.protocol import service_api
from greengagelb.transport import answer_statements
from greengagelb.transport import http


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the stand-in does wrong from now on.

    ``drop_answers`` runs each call and closes the connection without an
    answer; ``delay_seconds`` passes before each answer; ``refuse`` answers
    that the call did not run. The process dies of a body that holds
    ``dies_of``, where that is given. ``limit`` is named in the answers to
    calls. With ``states_leaving`` it answers calls, and says each time but not
    in its report that it leaves; with ``rest`` it turns calls away and asks
    for that rest.
    """

    drop_answers: bool = False
    delay_seconds: float = 0.0
    refuse: bool = False
    dies_of: str = ''
    limit: str = ''
    states_leaving: bool = False
    rest: str = ''


class ServiceStandIn:
    """A plain service whose calls may not be repeated."""

    def __init__(self, reactor: interfaces.IReactorTime, name: str) -> None:
        self.reactor = reactor
        self.name = name
        self.incarnation = secrets.token_hex(6)
        self.faults = Faults()
        self.runs: collections.Counter[str] = collections.Counter()
        self.arrivals = 0
        self.app = klein.Klein()
        self.app.route('/call/<operation>', methods=['POST'])(self.call)
        self.app.route('/v1/report')(self.report)
        self.app.route('/standin/faults', methods=['POST'])(self.set_faults)
        self.app.route('/standin/runs')(self.show_runs)
        self.app.route('/standin/arrivals')(self.show_arrivals)

    @defer.inlineCallbacks
    def call(self, request: server.Request, operation: str) -> object:
        """Run a call, and answer unless told not to."""
        answer_statements.set_limit_headers(
            request, self.faults.limit, self.incarnation
        )
        self.arrivals += 1
        answer_statements.set_statement_headers(
            request,
            leaving=self.faults.states_leaving,
            rest=self.faults.rest,
        )
        account = request.getHeader(service_api.ACCOUNT_HEADER)
        request_id = request.getHeader(service_api.REQUEST_HEADER)
        request.setHeader(service_api.ACCOUNT_HEADER, account)
        request.setHeader(service_api.REQUEST_HEADER, request_id)
        if self.faults.refuse or self.faults.rest:
            request.setHeader(service_api.NOT_RUN_HEADER, '1')
            request.setResponseCode(503)
            return b''
        self.runs[f'{account}/{request_id}'] += 1
        count = self.runs[f'{account}/{request_id}']
        dies_of = self.faults.dies_of.encode()
        if dies_of and dies_of in request.content.read():
            os.kill(os.getpid(), signal.SIGKILL)
        if self.faults.drop_answers:
            request.transport.abortConnection()
            return b''
        if self.faults.delay_seconds:
            yield task.deferLater(self.reactor, self.faults.delay_seconds)
        body = {'operation': operation, 'request': request_id, 'run': count}
        return http.json_answer(request, body)

    def report(self, request: server.Request) -> bytes:
        """Tell what this service is."""
        report = engine_api.EngineReport(
            name=self.name,
            incarnation=self.incarnation,
            model='',
            version='',
            adapter='',
            running=0,
            queued=0,
            step_seconds=0.0,
            steps=sum(self.runs.values()),
            prompt_tokens=0,
            leaving=False,
        )
        return http.json_answer(request, report)

    def set_faults(self, request: server.Request) -> bytes:
        """Behave wrongly from now on."""
        self.faults = codec.decode(request.content.read(), Faults)
        return b'{}'

    def show_arrivals(self, request: server.Request) -> bytes:
        """Tell how many calls arrived, those that did not run included."""
        return http.json_answer(request, self.arrivals)

    def show_runs(self, request: server.Request) -> bytes:
        """Tell how often each call ran."""
        return http.json_answer(request, dict(self.runs))
