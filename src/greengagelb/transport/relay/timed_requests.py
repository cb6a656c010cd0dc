"""Requests of this instance, with a timeout and a bounded answer."""

from collections.abc import Callable
import dataclasses

import h11
from twisted.internet import interfaces

from greengagelb.coordination import timers
from greengagelb.state.relay import engines
from greengagelb.transport import reactors
from greengagelb.transport.relay import http_client

# Engines' answers to probes have a few hundred bytes.
DEFAULT_MAX_BYTES = 65_536
# The longest pause within an answer. A lost packet is retransmitted within a
# quarter of a second; a connection without input for longer may be dead.
MAX_PAUSE_SECONDS = 0.6
# A check that runs late proves nothing about the server: this process stood
# still, and may not even have written the request. An event loop that is
# always late still detects a dead server after MAX_LATE_CHECKS.
MAX_LATE_CHECKS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class TimedRequest:
    """A request whose answer is collected completely.

    ``key`` selects the connections that may carry it. The request fails if no
    answer is complete after ``seconds``, or if the body exceeds ``max_bytes``.
    An answer that has started by then may take ``receive_seconds`` from its
    start, as long as it does not pause: a long answer takes time on a slow
    link, and a repeated request would take as long again. With
    ``allows_for_own_pause`` a check that this process makes late is made again
    after as long as it was late, but no longer than ``seconds``.
    ``open_connection`` is that of :meth:`http_client.ConnectionPool.request`.
    """

    key: str
    address: engines.Address
    request: http_client.WireRequest
    seconds: float
    max_bytes: int = DEFAULT_MAX_BYTES
    fresh: bool = False
    receive_seconds: float = 0.0
    allows_for_own_pause: bool = False
    open_connection: Callable[[http_client.PendingRequest], None] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The complete answer to a request, or the reason why there is none.

    ``response`` is None on a failure, and ``detail`` its reason. ``too_long``
    tells that the answer was too large or still being received at the timeout,
    and ``connection_refused`` that the address refused the connection. ``via``
    is that of the connection on which a response came.
    """

    response: h11.Response | None
    body: bytes = b''
    detail: str = ''
    too_long: bool = False
    connection_refused: bool = False
    via: str = ''


class AnswerCollector:
    """Collects one answer; ``done`` is called exactly once.

    ``head_received`` is called before, once the head of an answer is there.
    ``pending`` is the request, once there is one.

    ``answer_started_at`` and ``last_received_at`` are when the first and the
    last part of the answer arrived.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        timed_request: TimedRequest,
        done: Callable[[Answer], None],
        head_received: Callable[[h11.Response], None],
    ) -> None:
        self.reactor = reactor
        self.timed_request = timed_request
        self.done = done
        self.head_received = head_received
        self.asked_at = reactor.seconds()
        self.answer_started_at: float | None = None
        self.last_received_at = float('-inf')
        self.response: h11.Response | None = None
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.is_finished = False
        self.late_checks = 0
        self.pending: http_client.PendingRequest | None = None
        self.timer: interfaces.IDelayedCall | None = reactor.callLater(
            timed_request.seconds, self.check_expiry
        )

    @property
    def expires_at(self) -> float:
        """Return when the request times out if no more input arrives."""
        timed_request = self.timed_request
        first = self.asked_at + timed_request.seconds
        if self.answer_started_at is None:
            return first
        last = self.answer_started_at + timed_request.receive_seconds
        return max(first, min(self.last_received_at + MAX_PAUSE_SECONDS, last))

    def answer_started(self, response: h11.Response) -> None:
        """Note the head of the answer."""
        self.response = response
        self.answer_started_at = self.last_received_at = self.reactor.seconds()
        self.head_received(response)

    def body_received(self, data: bytes) -> None:
        """Append a part of the body, up to ``max_bytes``."""
        self.last_received_at = self.reactor.seconds()
        self.body_bytes += len(data)
        if self.body_bytes <= self.timed_request.max_bytes:
            self.body.append(data)
            return
        self.pending.abandon()
        self.deliver_too_large()

    def answer_completed(self, *, ended_by_close: bool) -> None:
        """Deliver the answer."""
        via = self.pending.connection.via
        self.deliver_answer(
            Answer(self.response, b''.join(self.body), via=via)
        )

    def deliver_too_large(self) -> None:
        """Deliver the failure of an answer that exceeds ``max_bytes``."""
        why = f'answer too large, over {self.timed_request.max_bytes} bytes'
        self.deliver_answer(Answer(None, detail=why, too_long=True))

    def answer_failed(self, handed_over: bool, detail: str) -> None:
        """Deliver the failure of the request."""
        self.deliver_answer(Answer(None, detail=detail))

    def check_expiry(self) -> None:
        """Give the request up if it has timed out."""
        now = self.reactor.seconds()
        wait = self.expires_at - now
        late = reactors.lateness(self.reactor, self.timer)
        if (
            self.timed_request.allows_for_own_pause
            and late > timers.LATE_TIMER_SECONDS
            and self.late_checks < MAX_LATE_CHECKS
        ):
            self.late_checks += 1
            wait = min(late, self.timed_request.seconds)
        if wait > 0:
            self.timer = self.reactor.callLater(wait, self.check_expiry)
            return
        self.timer = None
        self.pending.abandon()
        self.deliver_timeout()

    def deliver_timeout(self) -> None:
        """Deliver a timeout, with the number of bytes received."""
        is_receiving = (
            self.reactor.seconds() < self.last_received_at + MAX_PAUSE_SECONDS
        )
        why = f'no complete answer in time, {self.body_bytes} bytes received'
        self.deliver_answer(Answer(None, detail=why, too_long=is_receiving))

    def deliver_answer(self, answer: Answer) -> None:
        """Call ``done``, unless it was called before."""
        if self.is_finished:
            return
        self.is_finished = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.pending is not None and self.pending.connection_refused:
            answer = dataclasses.replace(answer, connection_refused=True)
        self.done(answer)


def send_timed_request(
    pool: http_client.ConnectionPool,
    timed_request: TimedRequest,
    done: Callable[[Answer], None],
    head_received: Callable[[h11.Response], None] = lambda _: None,
) -> None:
    """Send a request; call ``done`` with the answer or its failure.

    ``head_received`` is called as soon as the head of an answer is there.
    """
    collector = AnswerCollector(
        pool.reactor, timed_request, done, head_received
    )
    collector.pending = pool.request(
        timed_request.key,
        timed_request.address,
        lambda: timed_request.request,
        collector,
        timed_request.fresh,
        open_connection=timed_request.open_connection,
    )
