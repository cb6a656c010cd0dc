"""Questions of our own: one request, one whole answer or none, in time."""

from collections.abc import Callable
import dataclasses

import h11
from twisted.internet import interfaces

from greengagelb.state.relay import engines
from greengagelb.transport.relay import http_client

# What engines say of themselves is a few hundred bytes.
MOST_SHORT_BYTES = 65_536
# The longest pause within an answer that is on its way, in seconds. A packet
# that was lost is there again within a quarter of a second; on a connection
# that is silent for longer nothing may ever come.
PAUSE_SECONDS = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
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
    most_bytes: int = MOST_SHORT_BYTES
    fresh: bool = False
    coming_seconds: float = 0.0


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
    refused: bool = False


class Gathering:
    """Receives one answer; ``done`` is called exactly once.

    ``began_at`` and ``moved_at`` are when its first and its last part came.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        question: Question,
        done: Callable[[Answer], None],
    ) -> None:
        self.reactor = reactor
        self.question = question
        self.done = done
        self.asked_at = reactor.seconds()
        self.began_at: float | None = None
        self.moved_at = float('-inf')
        self.response: h11.Response | None = None
        self.body: list[bytes] = []
        self.size = 0
        self.over = False

    @property
    def give_up_at(self) -> float:
        """Return when the answer is to be given up if nothing more comes."""
        question = self.question
        first = self.asked_at + question.seconds
        if self.began_at is None:
            return first
        last = self.began_at + question.coming_seconds
        return max(first, min(self.moved_at + PAUSE_SECONDS, last))

    def answer_began(self, response: h11.Response) -> None:
        """Keep the head."""
        self.response = response
        self.began_at = self.moved_at = self.reactor.seconds()

    def answer_moved(self, data: bytes) -> None:
        """Gather the body, as far as its bound."""
        self.moved_at = self.reactor.seconds()
        self.size += len(data)
        if self.size <= self.question.most_bytes:
            self.body.append(data)

    def answer_complete(self) -> None:
        """Give the answer to who asked."""
        if self.size > self.question.most_bytes:
            why = f'answer too large, {self.size} bytes'
            self.finish(Answer(None, detail=why, too_long=True))
        else:
            self.finish(Answer(self.response, b''.join(self.body)))

    def answer_broken(self, handed_over: bool, detail: str) -> None:
        """Tell who asked that there is none."""
        self.finish(Answer(None, detail=detail))

    def give_up(self) -> None:
        """Tell who asked that it took too long, and how much had come."""
        coming = self.reactor.seconds() < self.moved_at + PAUSE_SECONDS
        why = f'no answer in time, {self.size} bytes came'
        self.finish(Answer(None, detail=why, too_long=coming))

    def finish(self, answer: Answer) -> None:
        """Call back once."""
        if not self.over:
            self.over = True
            self.done(answer)


def ask(
    pool: http_client.ConnectionPool,
    question: Question,
    done: Callable[[Answer], None],
) -> None:
    """Ask, and have ``done`` called with what comes of it."""

    def finish(answer: Answer) -> None:
        if timer.active():
            timer.cancel()
        if pending is not None and pending.refused:
            answer = dataclasses.replace(answer, refused=True)
        done(answer)

    def look() -> None:
        nonlocal timer
        left = gathering.give_up_at - pool.reactor.seconds()
        if left > 0:
            timer = pool.reactor.callLater(left, look)
            return
        pending.abandon()
        gathering.give_up()

    pending: http_client.Pending | None = None
    gathering = Gathering(pool.reactor, question, finish)
    timer = pool.reactor.callLater(question.seconds, look)
    pending = pool.request(
        question.key,
        question.address,
        lambda: question.request,
        gathering,
        question.fresh,
    )
