"""What handling events costs this process, by kind of event."""

import collections
import dataclasses
import re
import time

from greengagelb.coordination import events
from greengagelb.coordination.relay import events as relay_events

# The processor time is measured for one in so many events of a kind.
SAMPLED_EVENTS = 16
# How many kinds the line at the end of a process names.
MAX_KINDS_TOLD = 12


@dataclasses.dataclass(slots=True)
class EventCost:
    """How many events of a kind there were, and what a part of them took."""

    count: int = 0
    sampled: int = 0
    sampled_seconds: float = 0.0

    @property
    def seconds(self) -> float:
        """Return the estimated processor time of all events of the kind."""
        if not self.sampled:
            return 0.0
        return self.sampled_seconds * self.count / self.sampled


class EventCosts:
    """Counts the events that are handled, and samples their processor time."""

    def __init__(self) -> None:
        self.by_kind: collections.defaultdict[str, EventCost] = (
            collections.defaultdict(EventCost)
        )
        self.names: dict[type, str] = {}

    def count(self, event: events.Event) -> EventCost | None:
        """Count an event; return its cost if its time is to be measured."""
        cost = self.by_kind[self.kind_of(event)]
        cost.count += 1
        return cost if cost.count % SAMPLED_EVENTS == 1 else None

    def kind_of(self, event: events.Event) -> str:
        """Return the kind of an event; of a hint, that of the hint."""
        if isinstance(event, relay_events.PeerTold):
            return f'hint-{self.name_of(event.hint)}'
        return self.name_of(event)

    def name_of(self, value: object) -> str:
        """Return the name of a value's type, in lower case with hyphens."""
        kind = type(value)
        name = self.names.get(kind)
        if name is None:
            name = re.sub(r'(?<!^)(?=[A-Z])', '-', kind.__name__).lower()
            self.names[kind] = name
        return name

    def summary(self) -> str:
        """Return the processor time of this process and its largest parts."""
        largest = sorted(
            self.by_kind.items(), key=lambda item: -item[1].seconds
        )
        parts = ', '.join(
            f'{kind} {cost.count} in {cost.seconds:.3f} s'
            for kind, cost in largest[:MAX_KINDS_TOLD]
        )
        return f'{time.process_time():.3f} s; decisions: {parts}'
