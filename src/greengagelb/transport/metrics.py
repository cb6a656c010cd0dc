"""Metrics of this process.

Events per token or per answer are counted in plain numbers, which are copied
into the registry only when a scraper asks. Label values never come from
callers, so that they can't make the number of series grow.
"""

import collections
from collections.abc import Callable
import dataclasses

import aioprometheus

import greengagelb
from greengagelb.coordination import actions
from greengagelb.state import limits as limit_state
from greengagelb.state import statements as statement_state

COMPLETE = 'complete'
ANSWERED = 'answered'
SAME_ENGINE = 'same-engine'
ELSEWHERE = 'elsewhere'
AFRESH = 'afresh'
PREFIX = 'greengagelb'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The instance's name and data centre from its settings."""

    name: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The state of an instance at the time of a scrape.

    ``settings_seconds`` is the time since the settings were applied, and
    ``store_seconds`` the age of the data read from the store; None if there is
    none, or if the store is not followed.
    """

    identity: Identity | None = None
    stopping: bool = False
    settings_digest: int = 0
    settings_seconds: float = 0.0
    engines: int = 0
    store_seconds: float | None = None

    running: int = 0
    waiting: int = 0
    stale_events: int = 0
    configuration_version: int = 0
    timeline_dropped: int = 0
    suspects: int = 0
    blocked: int = 0
    limits: limit_state.LimitStatistics = limit_state.LimitStatistics()
    statements: statement_state.StatementStatistics = (
        statement_state.StatementStatistics()
    )


class Metrics:
    """Counts the actions and events of an instance."""

    def __init__(self) -> None:
        self.tokens = 0
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.events: collections.Counter[str] = collections.Counter()
        self.resumes: collections.Counter[str] = collections.Counter()
        self.decision_errors = 0
        self.sample: Callable[[], Sample] = Sample
        self.registry = aioprometheus.Registry()
        self.token_counter = self.new_counter(
            'tokens', 'Tokens given to callers'
        )
        self.outcome_counter = self.new_counter(
            'requests', 'Final answers by outcome code'
        )
        self.event_counter = self.new_counter(
            'events', 'Time line events by kind'
        )
        self.resume_counter = self.new_counter(
            'resumes', 'Steps taken after a loss, by kind of step'
        )
        self.error_counter = self.new_counter(
            'decision_errors', 'Errors of this program itself in decisions'
        )
        self.stale_counter = self.new_counter(
            'stale_events', 'Events of replaced attempts that were dropped'
        )
        self.dropped_counter = self.new_counter(
            'timeline_dropped', 'Time line events that had to make room'
        )
        self.running_gauge = self.new_gauge('running', 'Requests running now')
        self.waiting_gauge = self.new_gauge('waiting', 'Requests waiting now')
        self.version_gauge = self.new_gauge(
            'configuration_version', 'Configuration version in force here'
        )

        self.instance_gauge = self.new_gauge(
            'instance', 'This instance: its name, place and release'
        )
        self.stopping_gauge = self.new_gauge(
            'stopping', 'Whether this instance was asked to stop'
        )
        self.digest_gauge = self.new_gauge(
            'settings_digest', 'Differs where settings of a fleet differ'
        )
        self.settings_age_gauge = self.new_gauge(
            'settings_age_seconds', 'For how long the settings are in force'
        )
        self.engines_gauge = self.new_gauge('engines', 'Engines known here')
        self.store_age_gauge = self.new_gauge(
            'store_age_seconds', 'How old what is known of the store is'
        )
        self.suspect_gauge = self.new_gauge(
            'crash_suspects', 'Requests that were on an engine that crashed'
        )
        self.blocked_gauge = self.new_gauge(
            'blocked_requests', 'Requests refused because they crash engines'
        )
        self.leaving_gauge = self.new_gauge(
            'leaving_engines', 'Engines that leave, by how that became known'
        )
        self.resting_gauge = self.new_gauge(
            'resting_engines', 'Engines that have asked for no requests'
        )
        self.engine_wait_gauge = self.new_gauge(
            'requests_without_engine', 'Requests that wait for an engine now'
        )
        self.engine_wait_counter = self.new_counter(
            'engine_waits', 'Requests that had to wait for an engine'
        )
        self.limit_gauge = self.new_gauge(
            'engine_limits', 'Engines that name a limit on their requests'
        )
        self.limit_rate_gauge = self.new_gauge(
            'engine_limit_rate', 'Sum of these limits, in requests a second'
        )
        self.held_gauge = self.new_gauge(
            'held_requests',
            'Requests that wait for a permit of such an engine',
        )
        self.permit_counter = self.new_counter(
            'permits', 'Permits asked for here by what came of it'
        )

    def new_counter(self, name: str, doc: str) -> aioprometheus.Counter:
        """Return a new registered counter."""
        return aioprometheus.Counter(
            f'{PREFIX}_{name}', doc, registry=self.registry
        )

    def new_gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        """Return a new registered gauge."""
        return aioprometheus.Gauge(
            f'{PREFIX}_{name}', doc, registry=self.registry
        )

    def count_action(self, action: actions.Action) -> None:
        """Count an action, if its type is counted."""
        match action:
            case actions.SendTokens(tokens=tokens):
                self.tokens += len(tokens)
            case actions.StartAttempt(received=received) if received:
                self.resumes[ELSEWHERE] += 1
            case actions.AttachAttempt():
                self.resumes[SAME_ENGINE] += 1
            case actions.SendRestart():
                self.resumes[AFRESH] += 1
            case actions.SendEnd():
                self.outcomes[COMPLETE] += 1
            case actions.SendAnswer():
                self.outcomes[ANSWERED] += 1
            case actions.SendFailure(failure=failure):
                self.outcomes[failure.code] += 1

    def count_refusal(self, code: str) -> None:
        """Count a request that was refused before it reached the decisions."""
        self.outcomes[code] += 1

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        sample = self.sample()
        self.token_counter.set({}, self.tokens)
        for step, number in self.resumes.items():
            self.resume_counter.set({'step': step}, number)
        for code, number in self.outcomes.items():
            self.outcome_counter.set({'outcome': code}, number)
        for kind, number in self.events.items():
            self.event_counter.set({'kind': kind}, number)
        self.error_counter.set({}, self.decision_errors)
        self.stale_counter.set({}, sample.stale_events)
        self.dropped_counter.set({}, sample.timeline_dropped)
        self.running_gauge.set({}, sample.running)
        self.waiting_gauge.set({}, sample.waiting)
        self.version_gauge.set({}, sample.configuration_version)
        self.set_instance_gauges(sample)
        self.suspect_gauge.set({}, sample.suspects)
        self.blocked_gauge.set({}, sample.blocked)
        statements = sample.statements
        for kind in statement_state.SourceKind:
            number = statements.leaving.get(kind, 0)
            self.leaving_gauge.set({'known_by': kind.value}, number)
        self.resting_gauge.set({}, statements.resting)
        self.engine_wait_gauge.set({}, statements.held)
        self.engine_wait_counter.set({}, statements.held_count)
        self.limit_gauge.set({}, sample.limits.in_force)
        self.limit_rate_gauge.set({}, sample.limits.rate)
        self.held_gauge.set({}, sample.limits.held)
        self.permit_counter.set({'outcome': 'granted'}, sample.limits.granted)
        self.permit_counter.set({'outcome': 'denied'}, sample.limits.denied)
        text, _ = aioprometheus.render(self.registry, [])
        return text

    def set_instance_gauges(self, sample: Sample) -> None:
        """Set the gauges of the instance's identity, settings and engines."""
        if sample.identity is not None:
            labels = {
                'name': sample.identity.name,
                'data_centre': sample.identity.data_centre,
                'release': greengagelb.__version__,
            }
            self.instance_gauge.set(labels, 1)
        self.stopping_gauge.set({}, int(sample.stopping))
        self.digest_gauge.set({}, sample.settings_digest)
        self.settings_age_gauge.set({}, sample.settings_seconds)
        self.engines_gauge.set({}, sample.engines)
        if sample.store_seconds is not None:
            self.store_age_gauge.set({}, sample.store_seconds)
