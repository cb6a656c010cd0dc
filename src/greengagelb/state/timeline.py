"""Events of the time line that an on-call person reads.

Each automatic act is one event with its reason. Stamps come from a hybrid
logical clock: the wall clock where clocks agree, a counter where a message
arrives from a process whose clock runs ahead, so that a cause always sorts
before its effect.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A hybrid logical time: milliseconds since the epoch, then a count."""

    milliseconds: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One act of one process; ``request`` is empty where none is concerned."""

    stamp: Stamp
    process: str
    kind: str
    reason: str
    account: str = ''
    request: str = ''
    generation: int = 0
    attempt: str = ''
    upstream: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """Which events a reader wants; an empty string stands for any."""

    account: str = ''
    request: str = ''
    kind: str = ''
    most_events: int = 2_000

    def matches(self, event: TimelineEvent) -> bool:
        """Return whether an event is wanted."""
        return (
            self.account in ('', event.account)
            and self.request in ('', event.request)
            and self.kind in ('', event.kind)
        )


def sort_key(event: TimelineEvent) -> tuple[int, int, str]:
    """Return what events of several processes are sorted by."""
    stamp = event.stamp
    return stamp.milliseconds, stamp.count, event.process


class HybridClock:
    """Gives stamps that never fall, neither here nor along messages."""

    def __init__(self) -> None:
        self.latest = Stamp(0, 0)

    def tick(self, wall_milliseconds: int) -> Stamp:
        """Stamp a local event at this wall clock reading."""
        return self.observe(Stamp(0, 0), wall_milliseconds)

    def observe(self, remote: Stamp, wall_milliseconds: int) -> Stamp:
        """Stamp the arrival of a message that carries ``remote``."""
        latest_known = max(self.latest, remote)
        if wall_milliseconds > latest_known.milliseconds:
            self.latest = Stamp(wall_milliseconds, 0)
        else:
            self.latest = Stamp(
                latest_known.milliseconds, latest_known.count + 1
            )
        return self.latest


class Timeline:
    """The last events of this process; the oldest are dropped when full.

    ``dropped`` counts those, so that a reader knows of the gap.
    """

    def __init__(self, most_events: int) -> None:
        self.events: collections.deque[TimelineEvent] = collections.deque(
            maxlen=most_events
        )
        self.dropped = 0

    def append_event(self, event: TimelineEvent) -> None:
        """Keep an event, at the cost of the oldest one."""
        if len(self.events) == self.events.maxlen:
            self.dropped += 1
        self.events.append(event)

    def select_events(self, selection: Selection) -> list[TimelineEvent]:
        """Return the last events that are wanted, oldest first.

        The choice is made here and not by the reader: the events of a large
        fleet would be more than a reader can fetch while somebody waits.
        """
        found: list[TimelineEvent] = []
        for event in reversed(self.events):
            if len(found) == selection.most_events:
                break
            if selection.matches(event):
                found.append(event)
        found.reverse()
        return found
