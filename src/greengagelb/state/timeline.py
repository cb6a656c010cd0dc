"""Events of the time line that on-call operators read.

Each automatic action is one event with its reason. Stamps come from a hybrid
logical clock: the wall clock, with a counter that orders events after a
message from a process whose clock is ahead, so that a cause always sorts
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
    """One action of a process; ``request`` is empty if none is concerned."""

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
    """Filter for events; an empty string matches any value."""

    account: str = ''
    request: str = ''
    kind: str = ''
    most_events: int = 2_000

    def matches(self, event: TimelineEvent) -> bool:
        """Return whether an event passes the filter."""
        return (
            self.account in ('', event.account)
            and self.request in ('', event.request)
            and self.kind in ('', event.kind)
        )


def sort_key(event: TimelineEvent) -> tuple[int, int, str]:
    """Return the sort key for events of several processes."""
    stamp = event.stamp
    return stamp.milliseconds, stamp.count, event.process


class HybridClock:
    """Hybrid logical clock: stamps increase locally and along messages."""

    def __init__(self) -> None:
        self.latest = Stamp(0, 0)

    def tick(self, wall_milliseconds: int) -> Stamp:
        """Return the stamp of a local event at this wall clock time."""
        return self.observe(Stamp(0, 0), wall_milliseconds)

    def observe(self, remote: Stamp, wall_milliseconds: int) -> Stamp:
        """Return the stamp of the arrival of a message stamped ``remote``."""
        latest_known = max(self.latest, remote)
        if wall_milliseconds > latest_known.milliseconds:
            self.latest = Stamp(wall_milliseconds, 0)
        else:
            self.latest = Stamp(
                latest_known.milliseconds, latest_known.count + 1
            )
        return self.latest


class Timeline:
    """The latest events of this process; the oldest are dropped when full.

    ``dropped`` counts dropped events, so that readers can show the gap.
    """

    def __init__(self, most_events: int) -> None:
        self.events: collections.deque[TimelineEvent] = collections.deque(
            maxlen=most_events
        )
        self.dropped = 0

    def append_event(self, event: TimelineEvent) -> None:
        """Append an event; if full, drop the oldest one."""
        if len(self.events) == self.events.maxlen:
            self.dropped += 1
        self.events.append(event)

    def select_events(self, selection: Selection) -> list[TimelineEvent]:
        """Return the latest events that pass the filter, oldest first.

        Events are filtered here and not by the reader, as fetching all events
        of a large fleet would take too long for an interactive command.
        """
        found: list[TimelineEvent] = []
        for event in reversed(self.events):
            if len(found) == selection.most_events:
                break
            if selection.matches(event):
                found.append(event)
        found.reverse()
        return found
