"""Signal handling for a command that has started other processes."""

import signal

from greengagelb.cli import event_loop

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Interruption:
    """Keeps a signal until the command checks for it.

    If a signal ended this process at once, the processes that it started would
    go on running. An exception raised in the handler could come between the
    start of a process and the registration of its cleanup, and leave that
    process running. So the command checks for signals where it is safe.
    """

    def __init__(self) -> None:
        self.signalled = False
        self.previous_handlers = {}

    def __enter__(self) -> 'Interruption':
        for number in SIGNALS:
            self.previous_handlers[number] = signal.signal(
                number, self.handle_signal
            )
        return self

    def __exit__(self, *exception: object) -> None:
        for number, handler in self.previous_handlers.items():
            signal.signal(number, handler)
        if exception[0] is None:
            # A signal may have come after the last check.
            self.raise_if_signalled()

    def handle_signal(self, number: int, frame: object) -> None:
        """Note that a signal has arrived."""
        self.signalled = True

    def raise_if_signalled(self) -> None:
        """Raise ``Interrupted`` if a signal has arrived."""
        if self.signalled:
            raise event_loop.Interrupted(event_loop.SIGNALLED_MESSAGE)
