"""HTTP client for plain services: one connection per call, never reused."""

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure
from twisted.web import http_headers
from twisted.web import iweb

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.protocol import service_api
from greengagelb.transport import answer_memory
from greengagelb.transport import answer_statements
from greengagelb.transport import engine_client
from greengagelb.transport import http


class ServiceClient:
    """This instance's calls that are in flight."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        dispatch: engine_client.Dispatch,
        memory: answer_memory.AnswerMemory | None = None,
    ) -> None:
        self.reactor = reactor
        self.memory = memory or answer_memory.AnswerMemory()
        self.dispatch = dispatch
        agent = http.fresh_connection_agent(reactor)
        self.treq = http.direct_client(agent)
        self.tries_in_flight: dict[int, dict[int, defer.Deferred]] = {}

    def send_call(self, action: actions.DispatchCall) -> None:
        """Send a call to a plain service."""
        request = action.request
        path = f'/call/{request.operation}'
        url = engine_client.url_of(action.upstream, path)
        headers = {
            service_api.ACCOUNT_HEADER: request.request.account,
            service_api.REQUEST_HEADER: request.request.request,
        }
        answer = self.treq.post(
            url,
            data=request.body,
            headers=headers,
            unbuffered=True,
        )
        tries = self.tries_in_flight.setdefault(action.exchange, {})
        tries[action.try_number] = answer
        answer.addCallback(self.read_response, action, self.reactor.seconds())
        answer.addErrback(self.report_failure, action)

    def read_response(
        self,
        response: iweb.IResponse,
        action: actions.DispatchCall,
        asked_at: float,
    ) -> defer.Deferred:
        """Read an answer, if it belongs to this call.

        What it states about its upstream counts in any case.
        """
        answer_statements.report_statement(
            self.dispatch,
            action.upstream.name,
            response,
            asked_at,
            action.request.request,
        )
        try:
            self.check_echo(response.headers, action)
        except errors.ProtocolError:
            http.discard_body(response)
            raise
        body = http.read_whole_body(response, memory=self.memory)
        return body.addCallback(self.report_answer, response, action)

    def check_echo(
        self,
        headers: http_headers.Headers,
        action: actions.DispatchCall,
    ) -> None:
        """Raise if an answer belongs to another request.

        If a service mixed up two answers, a caller would otherwise receive
        data meant for another one.
        """
        echoed = (
            first_header(headers, service_api.ACCOUNT_HEADER),
            first_header(headers, service_api.REQUEST_HEADER),
        )
        request = action.request.request
        if echoed != (request.account, request.request):
            raise errors.ProtocolError('answer to another request')

    def report_answer(
        self,
        body: bytes,
        response: iweb.IResponse,
        action: actions.DispatchCall,
    ) -> None:
        """Report an answer, or that the service refused before running."""
        if not self.forget_try(action):
            return
        exchange, number = action.exchange, action.try_number
        limit = answer_statements.read_limit_headers(response.headers)
        if first_header(response.headers, service_api.NOT_RUN_HEADER) == '1':
            self.dispatch(
                events.CallBroken(exchange, 'refused', False, number, limit)
            )
            return
        self.dispatch(
            events.CallAnswered(exchange, response.code, body, number, limit)
        )

    def report_failure(
        self, why: failure.Failure, action: actions.DispatchCall
    ) -> None:
        """Report a try that ended without an answer."""
        if not self.forget_try(action):
            return
        self.dispatch(
            events.CallBroken(
                action.exchange,
                why.type.__name__,
                http.was_handed_over(why),
                action.try_number,
            )
        )

    def forget_try(self, action: actions.DispatchCall) -> bool:
        """Forget a try; return False if it was abandoned before."""
        tries = self.tries_in_flight.get(action.exchange, {})
        was_known = tries.pop(action.try_number, None) is not None
        if not tries:
            self.tries_in_flight.pop(action.exchange, None)
        return was_known

    def abandon_call(self, exchange: int) -> None:
        """Close the connections of a call whose answer is not needed."""
        for answer in self.tries_in_flight.pop(exchange, {}).values():
            answer.cancel()


def first_header(headers: http_headers.Headers, name: str) -> str:
    """Return the first value of a header, or an empty string."""
    values = headers.getRawHeaders(name, [])
    return values[0] if values else ''
