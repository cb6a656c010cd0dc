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
MIN_EXCESS_ERRORS = 4
MEAN_ERRORS_FACTOR = 3.0
# It is avoided for the first figure, twice as long each time that it errs
# again within the window after, and at most for the second. In seconds.
BASE_AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 8.0


@dataclasses.dataclass(slots=True)
class EngineErrors:
    """The errors of one engine, and until when it is avoided for them.

    ``times`` counts how often in a row it was found erring.
    """

    error_times: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    consecutive_detections: int = 0
    avoided_until: float = float('-inf')


class OutlierDetector:
    """Counts errors of engines, those that other instances saw included."""

    def __init__(self) -> None:
        self.errors: dict[str, EngineErrors] = {}

    def count_error(self, engine: str, others: list[str], now: float) -> None:
        """Count an error; ``others`` are the engines it is compared with."""
        engine_errors = self.errors.setdefault(engine, EngineErrors())
        engine_errors.error_times.append(now)
        if now < engine_errors.avoided_until or not others:
            return
        counts = [self.recent_error_count(other, now) for other in others]
        mean_count = sum(counts) / len(counts)
        if (
            self.recent_error_count(engine, now)
            <= MIN_EXCESS_ERRORS + MEAN_ERRORS_FACTOR * mean_count
        ):
            return
        if now > engine_errors.avoided_until + WINDOW_SECONDS:
            engine_errors.consecutive_detections = 0
        seconds = min(
            MAX_AVOID_SECONDS,
            BASE_AVOID_SECONDS * 2.0**engine_errors.consecutive_detections,
        )
        engine_errors.consecutive_detections += 1
        engine_errors.avoided_until = now + seconds
        engine_errors.error_times.clear()

    def recent_error_count(self, engine: str, now: float) -> int:
        """Return how many errors of an engine lie within the window."""
        engine_errors = self.errors.get(engine)
        if engine_errors is None:
            return 0
        while (
            engine_errors.error_times
            and engine_errors.error_times[0] < now - WINDOW_SECONDS
        ):
            engine_errors.error_times.popleft()
        return len(engine_errors.error_times)

    def is_avoided(self, engine: str, now: float) -> bool:
        """Return whether other engines are to be preferred."""
        engine_errors = self.errors.get(engine)
        return engine_errors is not None and now < engine_errors.avoided_until

    def forget_engines(self, engines: set[str]) -> None:
        """Drop what is known of engines that are not there any more."""
        for engine in engines & self.errors.keys():
            del self.errors[engine]
