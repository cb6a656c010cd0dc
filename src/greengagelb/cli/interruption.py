"""Signals to a command that has started other processes."""

import signal

from greengagelb.cli import event_loop

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Interruption:
    """Remembers a signal until the command can act on it.

    A signal that ended this process at once would leave the others running.
    An error raised from within the handler could come between the start of a
    process and the moment at which its end is arranged, and leave that one.
    So the command asks, at places of its own choice.
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
            # One that came after the last look at it counts too.
            self.raise_if_signalled()

    def handle_signal(self, number: int, frame: object) -> None:
        """Take in a signal."""
        self.signalled = True

    def raise_if_signalled(self) -> None:
        """Raise if a signal has come."""
        if self.signalled:
            raise event_loop.Interrupted(event_loop.SIGNALLED_MESSAGE)
