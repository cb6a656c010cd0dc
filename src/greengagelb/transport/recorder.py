"""Records events to the time line, the log and the metrics of this process."""

import time
from typing import TextIO

import structlog
from twisted import logger

from greengagelb.coordination import actions
from greengagelb.state import timeline
from greengagelb.transport import metrics

MAX_CLOCK_LEAD_MILLISECONDS = 60_000

log = structlog.get_logger()


def configure_logging(stream: TextIO | None = None) -> None:
    """Write logs as JSON lines to a stream, or to standard output."""
    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(stream),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        cache_logger_on_first_use=True,
    )
    logger.globalLogPublisher.addObserver(log_twisted_event)


def log_twisted_event(event: logger.LogEvent) -> None:
    """Log Twisted's own messages from level warn.

    Twisted reports errors in callbacks only there. Without this, the only sign
    of a broken code path would be an answer that never comes.
    """
    level = event.get('log_level')
    if level is None or level < logger.LogLevel.warn:
        return
    found = event.get('log_failure')
    detail = found.getTraceback() if found else logger.formatEvent(event)
    log.error('unhandled', detail=detail)


class Recorder:
    """Stamps events, and adds them to the time line, log and metrics."""

    def __init__(
        self,
        process: str,
        max_events: int,
        figures: metrics.Metrics | None = None,
    ) -> None:
        self.process = process
        self.clock = timeline.HybridClock()
        self.timeline = timeline.Timeline(max_events)
        self.metrics = figures or metrics.Metrics()

    def record(self, action: actions.Record) -> None:
        """Record an event."""
        request = action.request
        event = timeline.TimelineEvent(
            stamp=self.clock.tick(wall_milliseconds()),
            process=self.process,
            kind=action.kind,
            reason=action.reason,
            account=request.account if request else '',
            request=request.request if request else '',
            generation=action.generation,
            attempt=action.attempt,
            upstream=action.upstream,
        )
        self.timeline.append_event(event)
        self.metrics.events[action.kind] += 1
        log_event(event)

    def observe_stamp(self, stamp: timeline.Stamp) -> bool:
        """Make later events here sort after a received stamp.

        Returns False, and ignores the stamp, if it is too far ahead of this
        clock: it would advance the stamps of the whole fleet permanently.
        """
        wall = wall_milliseconds()
        if stamp.milliseconds - wall > MAX_CLOCK_LEAD_MILLISECONDS:
            return False
        self.clock.observe(stamp, wall)
        return True


def wall_milliseconds() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def log_event(event: timeline.TimelineEvent) -> None:
    """Log an event as one flat line, without its empty fields."""
    fields = {
        'process': event.process,
        'reason': event.reason,
        'account': event.account,
        'request': event.request,
        'generation': event.generation,
        'attempt': event.attempt,
        'upstream': event.upstream,
    }
    given = {name: value for name, value in fields.items() if value}
    stamp = f'{event.stamp.milliseconds}.{event.stamp.count}'
    log.info(event.kind, stamp=stamp, **given)
