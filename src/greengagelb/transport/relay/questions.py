"""Questions of our own: one request, one whole answer or none, in time."""

from collections.abc import Callable
import dataclasses

import h11

from greengagelb.state.relay import engines
from greengagelb.transport.relay import http_client

# What engines say of themselves is a few hundred bytes.
MOST_SHORT_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A request whose answer is gathered whole.

    ``key`` is that of the connections that may carry it. There is no answer
    later than after ``seconds``, and none of more than ``most_bytes``.
    """

    key: str
    address: engines.Address
    request: http_client.WireRequest
    seconds: float
    most_bytes: int = MOST_SHORT_BYTES
    fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What came of a question: a whole answer, or why there is none."""

    response: h11.Response | None
    body: bytes = b''
    detail: str = ''


class Gathering:
    """Receives one answer; ``done`` is called exactly once."""

    def __init__(
        self, question: Question, done: Callable[[Answer], None]
    ) -> None:
        self.question = question
        self.done = done
        self.response: h11.Response | None = None
        self.body: list[bytes] = []
        self.size = 0
        self.over = False

    def answer_began(self, response: h11.Response) -> None:
        """Keep the head."""
        self.response = response

    def answer_moved(self, data: bytes) -> None:
        """Gather the body, as far as its bound."""
        self.size += len(data)
        if self.size <= self.question.most_bytes:
            self.body.append(data)

    def answer_complete(self) -> None:
        """Give the answer to who asked."""
        if self.size > self.question.most_bytes:
            self.finish(Answer(None, detail='answer too large'))
        else:
            self.finish(Answer(self.response, b''.join(self.body)))

    def answer_broken(self, handed_over: bool, detail: str) -> None:
        """Tell who asked that there is none."""
        self.finish(Answer(None, detail=detail))

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
        done(answer)

    gathering = Gathering(question, finish)

    def too_late() -> None:
        pending.abandon()
        gathering.finish(Answer(None, detail='no answer in time'))

    timer = pool.reactor.callLater(question.seconds, too_late)
    pending = pool.request(
        question.key,
        question.address,
        lambda: question.request,
        gathering,
        question.fresh,
    )
