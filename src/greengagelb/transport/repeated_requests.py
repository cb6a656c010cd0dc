"""Sends a request to an engine again before the wait for its answer is over.

The connection of a cancellation can be lost like any other. The engine would
work on for as long as the answer is waited for.
"""

from collections.abc import Callable

from twisted.internet import defer
from twisted.internet import interfaces

# The time from a request to the next one, doubled with each.
FIRST_REPEAT_SECONDS = 0.05
MAX_REQUESTS = 3


class RepeatedRequest:
    """Sends the same request on further connections until one is answered.

    ``send`` sends it once, and returns what fires with the answer or fails;
    the request must have the same effect however often it arrives.
    ``report`` is called once: with whether any of them was answered.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        send: Callable[[], defer.Deferred],
        report: Callable[[bool], None],
    ) -> None:
        self.reactor = reactor
        self.send = send
        self.report = report
        self.requests = 0
        self.unanswered: list[defer.Deferred] = []
        self.next_request: interfaces.IDelayedCall | None = None
        self.is_over = False

    def send_next(self) -> None:
        """Send the request, and schedule the next one."""
        self.next_request = None
        delay_seconds = FIRST_REPEAT_SECONDS * 2**self.requests
        self.requests += 1
        if self.requests < MAX_REQUESTS:
            self.next_request = self.reactor.callLater(
                delay_seconds, self.send_next
            )
        answer = self.send()
        self.unanswered.append(answer)
        answer.addCallbacks(
            lambda _: self.end(True), lambda _: self.handle_failure(answer)
        )

    def handle_failure(self, answer: defer.Deferred) -> None:
        """End with a failure if no other request can still be answered."""
        self.unanswered.remove(answer)
        if not self.unanswered:
            self.end(False)

    def end(self, is_answered: bool) -> None:
        """Report the result, and close the other connections."""
        if self.is_over:
            return
        self.is_over = True
        if self.next_request is not None:
            self.next_request.cancel()
        for answer in list(self.unanswered):
            answer.cancel()
        self.report(is_answered)
