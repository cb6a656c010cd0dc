"""Client of the instances' operator interface, for the command line."""

from collections.abc import Coroutine
import dataclasses
from typing import Any
from typing import TypeVar
import urllib.parse

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import http as web_http
from twisted.web import iweb

from greengagelb import errors
from greengagelb.protocol import caller_api
from greengagelb.protocol import codec
from greengagelb.protocol import operator_api
from greengagelb.protocol import timeline_api
from greengagelb.state import plans as plan_state
from greengagelb.state import timeline
from greengagelb.transport import http

T = TypeVar('T')
ANSWER_TIMEOUT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and port of an instance's operator interface."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


class OperatorClient:
    """Client of one instance's operator interface.

    Methods raise :class:`~greengagelb.errors.InstanceUnreachable` if no answer
    came, and :class:`~greengagelb.errors.InstanceRefused` if the instance
    refused the request.
    """

    def __init__(
        self, reactor: interfaces.IReactorTime, address: Address, key: str
    ) -> None:
        self.reactor = reactor
        self.address = address
        self.headers = {'Authorization': f'Bearer {key}'}
        self.treq = http.direct_client(http.fresh_connection_agent(reactor))

    def url_of(self, path: str) -> str:
        """Return the URL of a path at the instance."""
        return f'http://{self.address}{path}'

    async def propose_plan(self, intent: plan_state.Intent) -> plan_state.Plan:
        """Return the plan for an intent."""
        answer = self.treq.post(
            self.url_of('/v1/plans'),
            data=operator_api.encode_intent(intent),
            headers=self.headers,
        )
        return await self.decode_answer(answer, plan_state.Plan)

    async def confirm_plan(self, plan_id: str) -> plan_state.Plan:
        """Put a plan in force and return it as confirmed."""
        url = self.url_of(f'/v1/plans/{quote_path_segment(plan_id)}/confirm')
        answer = self.treq.post(url, headers=self.headers)
        return await self.decode_answer(answer, plan_state.Plan)

    async def show_plan(self, plan_id: str) -> plan_state.Plan:
        """Return a plan."""
        url = self.url_of(f'/v1/plans/{quote_path_segment(plan_id)}')
        answer = self.treq.get(url, headers=self.headers)
        return await self.decode_answer(answer, plan_state.Plan)

    async def fetch_status(self) -> operator_api.Status:
        """Return the instance's status."""
        answer = self.treq.get(self.url_of('/v1/status'), headers=self.headers)
        return await self.decode_answer(answer, operator_api.Status)

    async def timeline(
        self, wanted: timeline.Selection
    ) -> timeline_api.TimelinePart:
        """Return the selected events that the instance still holds."""
        answer = self.treq.get(
            self.url_of('/v1/timeline'),
            params=timeline_api.to_parameters(wanted),
            headers=self.headers,
        )
        return await self.decode_answer(answer, timeline_api.TimelinePart)

    async def decode_answer(
        self, answer: 'defer.Deferred[iweb.IResponse]', kind: type[T]
    ) -> T:
        """Return the decoded answer, or raise the error that it reports."""
        answer.addTimeout(ANSWER_TIMEOUT_SECONDS, self.reactor)
        try:
            response = await answer
            raw = await self.read_body(response)
        except Exception as exc:
            raise errors.InstanceUnreachable(
                f'{self.address}: {type(exc).__name__}'
            ) from exc
        try:
            if response.code == web_http.OK:
                return codec.decode(raw, kind)
            problem = codec.decode(raw, caller_api.Problem)
        except errors.ProtocolError as exc:
            raise errors.InstanceRefused(
                exc.code,
                f'{self.address} answered with status {response.code} in a '
                f'format that this release does not support: {exc}',
            ) from exc
        raise errors.InstanceRefused(
            problem.code, f'{self.address}: {problem.detail}'
        )

    def read_body(self, response: iweb.IResponse) -> 'defer.Deferred[bytes]':
        """Return the whole body of an answer, with a timeout."""
        body = http.read_whole_body(response)
        return body.addTimeout(ANSWER_TIMEOUT_SECONDS, self.reactor)


def quote_path_segment(word: str) -> str:
    """Return a word quoted as one segment of a path."""
    return urllib.parse.quote(word, safe='')


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """An instance that gave no usable answer, and the reason."""

    address: Address
    code: str
    reason: str


async def query_instances(
    clients: list[OperatorClient],
    query: Any,
) -> list[Any]:
    """Query all instances at once; :class:`NoAnswer` stands for a failure.

    One unreachable instance must not hide the answers of the others, as this
    is when an operator needs them.
    """
    answers = [
        defer.Deferred.fromCoroutine(answer_or_unreachable(client, query))
        for client in clients
    ]
    return await defer.gatherResults(answers)


async def answer_or_unreachable(client: OperatorClient, query: Any) -> Any:
    """Return an instance's answer, or the reason why there is none."""
    answer: Coroutine = query(client)
    try:
        return await answer
    except errors.TransportError as exc:
        return NoAnswer(client.address, exc.code, str(exc))
