"""Signals to a command that has started other processes."""

import signal

from greengagelb.cli import running

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
        self.before = {}

    def __enter__(self) -> 'Interruption':
        for number in SIGNALS:
            self.before[number] = signal.signal(number, self.remember)
        return self

    def __exit__(self, *exception: object) -> None:
        for number, handler in self.before.items():
            signal.signal(number, handler)
        if exception[0] is None:
            # One that came after the last look at it counts too.
            self.check()

    def remember(self, number: int, frame: object) -> None:
        """Take in a signal."""
        self.signalled = True

    def check(self) -> None:
        """Raise if a signal has come."""
        if self.signalled:
            raise running.Interrupted(running.SIGNALLED)
