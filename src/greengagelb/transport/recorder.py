"""Time line, log and metrics of this process, fed from one place."""

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
    """Log what Twisted itself reports, from a warning up.

    Errors in callbacks end up there and nowhere else: without this a broken
    code path would only show as an answer that never comes.
    """
    level = event.get('log_level')
    if level is None or level < logger.LogLevel.warn:
        return
    found = event.get('log_failure')
    detail = found.getTraceback() if found else logger.formatEvent(event)
    log.error('unhandled', detail=detail)


class Recorder:
    """Stamps events and keeps, logs and counts them."""

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
        """Put an event on the time line."""
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
        """Let later events here sort behind a stamp that came in.

        Returns False for a stamp far ahead of this clock. That is not
        followed: it would drag the stamps of the whole fleet with it, for
        good.
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
    """Log an event as one flat line; what is empty is left out."""
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
