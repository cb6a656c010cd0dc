"""Metrics of a relaying instance.

Durations are histograms, as operators need the slow ones. Labels are never
taken from callers, so that callers can't increase the number of series.
"""

from collections.abc import Callable
from collections.abc import Mapping
import time

import aioprometheus

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.state.relay import forwarding
from greengagelb.state.relay import store_calls
from greengagelb.transport import event_costs
from greengagelb.transport import metrics
from greengagelb.transport.relay import unusable_entries

# The bounds are closest around the pause that callers of streams do not notice
# and the goals of short calls.
HISTOGRAM_BOUNDS_SECONDS = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.4,
    0.7,
    1.0,
    2.0,
    4.5,
    10.0,
    30.0,
)


class RelayMetrics(metrics.Metrics):
    """Counters and histograms of a relaying instance.

    ``get_unusable_entries`` returns the unusable entries by the kind of list,
    ``store_calls`` counts the calls to the store, and ``forwarding`` returns
    what was forwarded for other instances. ``event_costs`` counts the events
    that were handled, and ``datagrams_sent`` datagrams to other instances.
    """

    def __init__(self) -> None:
        super().__init__()
        self.get_unusable_entries: Callable[
            [], Mapping[str, unusable_entries.UnusableEntries]
        ] = dict
        self.store_calls = store_calls.StoreCalls()
        self.forwarding: Callable[[], forwarding.ForwardingStatistics] = (
            forwarding.ForwardingStatistics
        )
        self.event_costs = event_costs.EventCosts()
        self.datagrams_sent = 0
        self.answer_counts: dict[str, int] = {}
        self.send_count = 0
        self.passed_event_count = 0
        self.answer_counter = self.new_counter(
            'answers', 'Final answers by kind and status'
        )
        self.send_counter = self.new_counter(
            'sends', 'Requests sent to engines, repeats included'
        )
        self.passed_counter = self.new_counter(
            'stream_events', 'Events of streams given to callers'
        )
        self.connection_counter = self.new_counter(
            'engine_connections', 'Connections opened to engines and store'
        )
        self.store_call_counter = self.new_counter(
            'store_calls', 'Calls to the store by what they ask, and why'
        )
        self.unusable_gauge = self.new_gauge(
            'unusable_entries', 'Entries in the store that can not be used now'
        )
        self.unusable_counter = self.new_counter(
            'unusable_entries_told', 'Mistakes in entries that were logged'
        )
        self.lost_services_gauge = self.new_gauge(
            'lost_services', 'Services that are reached through others only'
        )
        self.forwarded_gauge = self.new_gauge(
            'forwarded_connections', 'Connections open for other instances'
        )
        self.forwarding_counter = self.new_counter(
            'forwarding_orders', 'Orders for connections by outcome'
        )
        self.handled_counter = self.new_counter(
            'handled_events', 'Events that were decided on, by kind'
        )
        self.decision_counter = self.new_counter(
            'decision_seconds', 'Processor time of these by kind, sampled'
        )
        self.processor_counter = self.new_counter(
            'processor_seconds', 'Processor time of this process'
        )
        self.datagram_counter = self.new_counter(
            'datagrams_sent', 'Datagrams sent to other instances'
        )
        self.duration_histograms = {
            relay_actions.DurationKind.FIRST_EVENT: self.histogram(
                'first_event_seconds', 'Time to the first event of a stream'
            ),
            relay_actions.DurationKind.RESUME: self.histogram(
                'resume_seconds',
                'Pause of a stream that went on at another engine',
            ),
            relay_actions.DurationKind.CALL: self.histogram(
                'call_seconds', 'Time to the answer of a short call'
            ),
        }

    def histogram(self, name: str, doc: str) -> aioprometheus.Histogram:
        """Return a new histogram of durations in seconds."""
        return aioprometheus.Histogram(
            f'{metrics.PREFIX}_{name}',
            doc,
            registry=self.registry,
            buckets=list(HISTOGRAM_BOUNDS_SECONDS),
        )

    def count_action(self, action: relay_actions.RelayAction) -> None:
        """Count an action, if there is a metric for it."""
        match action:
            case relay_actions.Send():
                self.send_count += 1
            case relay_actions.PassEvents(events=events):
                self.passed_event_count += len(events)
            case relay_actions.PassAnswer(head=head):
                self.count_answer(f'engine {head.status}')
            case relay_actions.EndStream():
                self.count_answer('stream whole')
            case relay_actions.AbortStream():
                self.count_answer('stream broken off')
            case relay_actions.Refuse(status=status, code=code):
                self.count_answer(f'own {status} {code}')
            case relay_actions.ObserveDuration(kind, seconds):
                self.duration_histograms[kind].observe({}, seconds)

    def count_answer(self, kind: str) -> None:
        """Count a final answer by its kind."""
        self.answer_counts[kind] = self.answer_counts.get(kind, 0) + 1

    def render_relay(self, connections_opened: int) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        for kind, number in self.answer_counts.items():
            self.answer_counter.set({'kind': kind}, number)
        self.send_counter.set({}, self.send_count)
        self.passed_counter.set({}, self.passed_event_count)
        self.connection_counter.set({}, connections_opened)
        for call_and_cause, number in self.store_calls.counts.items():
            labels = {
                'call': call_and_cause.call.value,
                'cause': call_and_cause.cause.value,
            }
            self.store_call_counter.set(labels, number)
        for kind, entries in self.get_unusable_entries().items():
            self.unusable_gauge.set({'kind': kind}, len(entries.reasons))
            self.unusable_counter.set({'kind': kind}, entries.reported_count)
        self.set_forwarding(self.forwarding())
        self.set_costs()
        return self.render()

    def set_costs(self) -> None:
        """Set the metrics of processor time and messages."""
        for kind, cost in self.event_costs.by_kind.items():
            self.handled_counter.set({'kind': kind}, cost.count)
            self.decision_counter.set({'kind': kind}, cost.seconds)
        self.processor_counter.set({}, time.process_time())
        self.datagram_counter.set({}, self.datagrams_sent)

    def set_forwarding(self, counts: forwarding.ForwardingStatistics) -> None:
        """Set the metrics of connections for other instances."""
        self.lost_services_gauge.set({}, counts.lost_services)
        self.forwarded_gauge.set({}, counts.open_connections)
        for outcome, number in (
            ('taken-over', counts.taken_over),
            ('refused', counts.refused),
            ('stranger', counts.strangers),
        ):
            self.forwarding_counter.set({'outcome': outcome}, number)
