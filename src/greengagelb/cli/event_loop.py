"""Runs the event loop once, for a command that ends by itself."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure

from greengagelb import errors

T = TypeVar('T')
SIGNALLED_MESSAGE = 'stopped by a signal'


class Interrupted(errors.GreengagelbError):
    """The command was stopped by a signal before it was done."""

    code = 'interrupted'


def run_coroutine(
    work: Callable[[interfaces.IReactorCore], Coroutine[Any, Any, T]],
) -> T:
    """Run a coroutine; return its result or raise its exception.

    A reactor can't be started twice in a process, so a command calls this
    once, with all of its work.
    """
    # Importing the reactor installs it, so only commands that run one do so.
    from twisted.internet import reactor  # noqa: PLC0415

    outcomes: list[Any] = []

    def finish(outcome: Any) -> None:
        outcomes.append(outcome)
        if reactor.running:
            reactor.stop()

    def start_work() -> None:
        defer.Deferred.fromCoroutine(work(reactor)).addBoth(finish)

    def record_interruption() -> None:
        # A signal stops the loop. The coroutine then fails because its
        # connections are lost, which would hide the interruption.
        if not outcomes:
            outcomes.append(failure.Failure(Interrupted(SIGNALLED_MESSAGE)))

    reactor.callWhenRunning(start_work)
    reactor.addSystemEventTrigger('before', 'shutdown', record_interruption)
    reactor.run()
    if isinstance(outcomes[0], failure.Failure):
        outcomes[0].raiseException()
    return outcomes[0]
