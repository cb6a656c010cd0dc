"""Time line, log and metrics of this process, fed from one place."""

import dataclasses
import time

import aioprometheus
import structlog
from twisted import logger

from greengagelb.coordination import actions
from greengagelb.state import timeline

log = structlog.get_logger()


def configure_logging() -> None:
    """Write logs as JSON lines to standard output."""
    structlog.configure(
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

    def __init__(self, process: str, most_events: int) -> None:
        self.process = process
        self.clock = timeline.HybridClock()
        self.timeline = timeline.Timeline(most_events)
        self.registry = aioprometheus.Registry()
        self.event_counter = self.counter(
            'greengagelb_events', 'Time line events by kind.'
        )
        self.error_counter = self.counter(
            'greengagelb_errors', 'Errors of this program itself.'
        )
        self.token_counter = self.counter(
            'greengagelb_tokens', 'Tokens passed to callers.'
        )

    def counter(self, name: str, doc: str) -> aioprometheus.Counter:
        """Return a new counter of this process."""
        counter = aioprometheus.Counter(name, doc)
        self.registry.register(counter)
        return counter

    def record(self, action: actions.Record) -> None:
        """Put an event on the time line."""
        request = action.request
        event = timeline.TimelineEvent(
            stamp=self.clock.tick(time.time_ns() // 1_000_000),
            process=self.process,
            kind=action.kind,
            reason=action.reason,
            account=request.account if request else '',
            request=request.request if request else '',
            generation=action.generation,
            attempt=action.attempt,
            upstream=action.upstream,
        )
        self.timeline.append(event)
        self.event_counter.inc({'kind': action.kind})
        fields = dataclasses.asdict(event)
        kind = fields.pop('kind')
        log.info(
            kind, **{key: value for key, value in fields.items() if value}
        )

    def render_metrics(self) -> bytes:
        """Return the metrics in the text format that scrapers read."""
        text, _ = aioprometheus.render(self.registry, [])
        return text
