"""Which engines fail more of their calls than the others of their service.

An engine may answer errors to all that it is given while its status check is
good and it answers at once, or leave calls without an answer. Instances prefer
engines of their own data centre, so its callers would get nothing there, and a
call that may run once only can't be tried elsewhere. One instance sees too few
calls to tell such an engine from bad luck; so the instances tell each other of
each error and each late answer. Calls that are wrong by themselves fail at all
engines alike, and count against none.
"""

import collections
import dataclasses

# Errors of so many seconds are compared.
WINDOW_SECONDS = 3.0
# An engine errs if it has failed more than so many calls beyond so many times
# as many as the others did in the mean. In three seconds a fleet of a few
# instances sees some two errors an engine that come from the calls themselves.
LEAST_ERRORS = 4
TIMES_THE_OTHERS = 3.0
# It is avoided for the first figure, twice as long each time that it errs
# again within the window after, and at most for the second. In seconds.
AVOID_SECONDS = 1.0
MOST_AVOID_SECONDS = 8.0


@dataclasses.dataclass(slots=True)
class Errors:
    """The errors of one engine, and until when it is avoided for them.

    ``times`` counts how often in a row it was found erring.
    """

    at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    times: int = 0
    avoided_until: float = float('-inf')


class ErringEngines:
    """Counts errors of engines, those that other instances saw included."""

    def __init__(self) -> None:
        self.errors: dict[str, Errors] = {}

    def erred(self, engine: str, others: list[str], now: float) -> None:
        """Count an error; ``others`` are the engines it is compared with."""
        found = self.errors.setdefault(engine, Errors())
        found.at.append(now)
        if now < found.avoided_until or not others:
            return
        counts = [self.count(other, now) for other in others]
        usual = sum(counts) / len(counts)
        if self.count(engine, now) <= LEAST_ERRORS + TIMES_THE_OTHERS * usual:
            return
        if now > found.avoided_until + WINDOW_SECONDS:
            found.times = 0
        seconds = min(MOST_AVOID_SECONDS, AVOID_SECONDS * 2.0**found.times)
        found.times += 1
        found.avoided_until = now + seconds
        found.at.clear()

    def count(self, engine: str, now: float) -> int:
        """Return how many errors of an engine lie within the window."""
        found = self.errors.get(engine)
        if found is None:
            return 0
        while found.at and found.at[0] < now - WINDOW_SECONDS:
            found.at.popleft()
        return len(found.at)

    def avoided(self, engine: str, now: float) -> bool:
        """Return whether other engines are to be preferred."""
        found = self.errors.get(engine)
        return found is not None and now < found.avoided_until

    def forget(self, engines: set[str]) -> None:
        """Drop what is known of engines that are not there any more."""
        for engine in engines & self.errors.keys():
            del self.errors[engine]
