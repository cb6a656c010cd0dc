"""Detects engines that fail more calls than the others of their service.

An engine may answer all calls with errors, or leave them unanswered, while it
passes its status check and answers at once. Instances prefer engines of their
own data centre. Without outlier detection the callers in the engine's data
centre would get no answers, and a call that may run only once cannot be tried
elsewhere. A single instance sees too few calls to
tell such an engine from chance. Instances therefore tell each other of each
error and each late answer. Calls that are wrong themselves fail on all engines
equally, and make none an outlier.
"""

import collections
import dataclasses

# Errors within this time are compared.
WINDOW_SECONDS = 3.0
# An engine is an outlier if it has more than this many errors beyond a
# multiple of the mean of the others. In three seconds a fleet of a few
# instances sees about two errors per engine that the calls themselves cause.
MIN_EXCESS_ERRORS = 4
MEAN_ERRORS_FACTOR = 3.0
# An outlier is avoided for the base time. The time doubles, up to the maximum,
# if the engine is an outlier again within WINDOW_SECONDS after the last time.
BASE_AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 8.0


@dataclasses.dataclass(slots=True)
class EngineErrors:
    """The recent errors of one engine.

    ``consecutive_detections`` counts how often in a row it was an outlier, and
    ``avoided_until`` is the monotonic time until which others are preferred.
    """

    error_times: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    consecutive_detections: int = 0
    avoided_until: float = float('-inf')


class OutlierDetector:
    """Counts errors of engines, those seen by other instances included."""

    def __init__(self) -> None:
        self.errors: dict[str, EngineErrors] = {}

    def count_error(self, engine: str, others: list[str], now: float) -> None:
        """Count an error; ``others`` are the engines to compare with."""
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
        """Return the number of errors of an engine within the window."""
        engine_errors = self.errors.get(engine)
        if engine_errors is None:
            return 0
        while (
            engine_errors.error_times
            and engine_errors.error_times[0] < now - WINDOW_SECONDS
        ):
            engine_errors.error_times.popleft()
        return len(engine_errors.error_times)

    def is_outlier(self, engine: str, now: float) -> bool:
        """Return whether an engine is avoided as an outlier."""
        engine_errors = self.errors.get(engine)
        return engine_errors is not None and now < engine_errors.avoided_until

    def forget_engines(self, engines: set[str]) -> None:
        """Drop the errors of engines that have gone."""
        for engine in engines & self.errors.keys():
            del self.errors[engine]
