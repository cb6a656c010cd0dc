"""Questions of our own: one request, one whole answer or none, in time."""

from collections.abc import Callable
import dataclasses

import h11
from twisted.internet import interfaces

from greengagelb.state.relay import engines
from greengagelb.transport.relay import http_client

# What engines say of themselves is a few hundred bytes.
DEFAULT_MAX_BYTES = 65_536
# The longest pause within an answer that is on its way, in seconds. A packet
# that was lost is there again within a quarter of a second; on a connection
# that is silent for longer nothing may ever come.
MAX_PAUSE_SECONDS = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class TimedRequest:
    """A request whose answer is gathered whole.

    ``key`` is that of the connections that may carry it. There is no answer
    later than after ``seconds``, and none of more than ``most_bytes``. One
    that has begun by then may take ``coming_seconds`` from its beginning, if
    it does not pause: on a slow link a long answer takes its time, and asked
    for once more it would take as long again.
    """

    key: str
    address: engines.Address
    request: http_client.WireRequest
    seconds: float
    max_bytes: int = DEFAULT_MAX_BYTES
    fresh: bool = False
    receive_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What came of a question: a whole answer, or why there is none.

    ``too_long`` tells that it was given up while it still came, and
    ``refused`` that nobody listened at the address.
    """

    response: h11.Response | None
    body: bytes = b''
    detail: str = ''
    too_long: bool = False
    connection_refused: bool = False


class AnswerCollector:
    """Receives one answer; ``done`` is called exactly once.

    ``began_at`` and ``moved_at`` are when its first and its last part came.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        timed_request: TimedRequest,
        done: Callable[[Answer], None],
    ) -> None:
        self.reactor = reactor
        self.timed_request = timed_request
        self.done = done
        self.asked_at = reactor.seconds()
        self.answer_started_at: float | None = None
        self.last_received_at = float('-inf')
        self.response: h11.Response | None = None
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.is_finished = False

    @property
    def expires_at(self) -> float:
        """Return when the answer is to be given up if nothing more comes."""
        timed_request = self.timed_request
        first = self.asked_at + timed_request.seconds
        if self.answer_started_at is None:
            return first
        last = self.answer_started_at + timed_request.receive_seconds
        return max(first, min(self.last_received_at + MAX_PAUSE_SECONDS, last))

    def answer_started(self, response: h11.Response) -> None:
        """Keep the head."""
        self.response = response
        self.answer_started_at = self.last_received_at = self.reactor.seconds()

    def body_received(self, data: bytes) -> None:
        """Gather the body, as far as its bound."""
        self.last_received_at = self.reactor.seconds()
        self.body_bytes += len(data)
        if self.body_bytes <= self.timed_request.max_bytes:
            self.body.append(data)

    def answer_completed(self) -> None:
        """Give the answer to who asked."""
        if self.body_bytes > self.timed_request.max_bytes:
            why = f'answer too large, {self.body_bytes} bytes'
            self.deliver_answer(Answer(None, detail=why, too_long=True))
        else:
            self.deliver_answer(Answer(self.response, b''.join(self.body)))

    def answer_failed(self, handed_over: bool, detail: str) -> None:
        """Tell who asked that there is none."""
        self.deliver_answer(Answer(None, detail=detail))

    def deliver_timeout(self) -> None:
        """Tell who asked that it took too long, and how much had come."""
        is_receiving = (
            self.reactor.seconds() < self.last_received_at + MAX_PAUSE_SECONDS
        )
        why = f'no answer in time, {self.body_bytes} bytes came'
        self.deliver_answer(Answer(None, detail=why, too_long=is_receiving))

    def deliver_answer(self, answer: Answer) -> None:
        """Call back once."""
        if not self.is_finished:
            self.is_finished = True
            self.done(answer)


def send_timed_request(
    pool: http_client.ConnectionPool,
    timed_request: TimedRequest,
    done: Callable[[Answer], None],
) -> None:
    """Ask, and have ``done`` called with what comes of it."""

    def deliver_answer(answer: Answer) -> None:
        if timer.active():
            timer.cancel()
        if pending is not None and pending.connection_refused:
            answer = dataclasses.replace(answer, connection_refused=True)
        done(answer)

    def check_expiry() -> None:
        nonlocal timer
        left = collector.expires_at - pool.reactor.seconds()
        if left > 0:
            timer = pool.reactor.callLater(left, check_expiry)
            return
        pending.abandon()
        collector.deliver_timeout()

    pending: http_client.PendingRequest | None = None
    collector = AnswerCollector(pool.reactor, timed_request, deliver_answer)
    timer = pool.reactor.callLater(timed_request.seconds, check_expiry)
    pending = pool.request(
        timed_request.key,
        timed_request.address,
        lambda: timed_request.request,
        collector,
        timed_request.fresh,
    )
