"""When engines ended, to tell crashes by a request from other ends.

Engines of a data centre that end at one moment were ended by something else
than what one of them ran. Where engines often end alone, what one of them ran
is on others that end by chance.
"""

import bisect
import dataclasses

from greengagelb.state import crashes

# Engines of a data centre that end within so much time end together.
TOGETHER_SECONDS = 0.3
# So many other engines show that the data centre was lost. Two engines may end
# together by what a rack or a machine had to run.
OTHERS_OF_A_LOSS = 2
# How long before a crash other ends tell how often engines end.
RATE_WINDOW_SECONDS = 30.0
# Memory bound; an end takes about 150 bytes.
MAX_ENDS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEnd:
    """The end of an engine's life; ``ended_at`` is a monotonic time."""

    life: str
    data_centre: str
    ended_at: float


class EngineEnds:
    """The engines that have ended, by life.

    Invariants: ``by_life`` has at most ``MAX_ENDS`` lives, in the order in
    which they were learned of; ``by_data_centre`` has the same ends, in the
    order of their times.
    """

    def __init__(self) -> None:
        self.by_life: dict[str, EngineEnd] = {}
        self.by_data_centre: dict[str, list[EngineEnd]] = {}

    def note(self, crash: crashes.Crash) -> None:
        """Note the end of an engine; the earliest known time is kept."""
        known = self.by_life.get(crash.life)
        if known is not None:
            if known.ended_at <= crash.ended_at:
                return
            self.forget(known)
        end = EngineEnd(crash.life, crash.data_centre, crash.ended_at)
        self.by_life[crash.life] = end
        ends = self.by_data_centre.setdefault(crash.data_centre, [])
        bisect.insort(ends, end, key=end_time)
        if len(self.by_life) > MAX_ENDS:
            self.forget(next(iter(self.by_life.values())))

    def forget(self, end: EngineEnd) -> None:
        """Drop an end."""
        del self.by_life[end.life]
        self.by_data_centre[end.data_centre].remove(end)
        if not self.by_data_centre[end.data_centre]:
            del self.by_data_centre[end.data_centre]

    def forget_before(self, oldest_kept_at: float) -> None:
        """Drop the ends that are older than a time."""
        for end in list(self.by_life.values()):
            if end.ended_at <= oldest_kept_at:
                self.forget(end)

    def ends_between(
        self, data_centre: str, first: float, last: float, own: set[str]
    ) -> list[EngineEnd]:
        """Return the ends in a data centre within a time, but for ``own``."""
        ends = self.by_data_centre.get(data_centre, [])
        begin = bisect.bisect_left(ends, first, key=end_time)
        end = bisect.bisect_right(ends, last, key=end_time)
        return [found for found in ends[begin:end] if found.life not in own]

    def is_of_loss(
        self, data_centre: str, ended_at: float, own: set[str]
    ) -> bool:
        """Return whether an engine ended as its data centre was lost.

        ``own`` are the lives that end for the cause that is judged.
        """
        if not data_centre:
            return False
        first = ended_at - TOGETHER_SECONDS
        last = ended_at + TOGETHER_SECONDS
        others = self.ends_between(data_centre, first, last, own)
        return len(others) >= OTHERS_OF_A_LOSS

    def count_others(self, until: float, own: set[str]) -> int:
        """Return how many engines ended alone shortly before a time.

        Without those that ended for the cause that is judged. Engines of a
        data centre that ended together count once, and not at all if there
        are enough for a loss.
        """
        first = until - RATE_WINDOW_SECONDS
        return sum(
            count_alone(self.ends_between(data_centre, first, until, own))
            for data_centre in self.by_data_centre
        )


def end_time(end: EngineEnd) -> float:
    """Return when an engine ended, as a sort key."""
    return end.ended_at


def count_alone(ends: list[EngineEnd]) -> int:
    """Return how many groups of some ends, in order, are not of a loss."""
    sizes: list[int] = []
    last_ended_at = float('-inf')
    for end in ends:
        if end.ended_at - last_ended_at <= TOGETHER_SECONDS:
            sizes[-1] += 1
        else:
            sizes.append(1)
        last_ended_at = end.ended_at
    return sum(size <= OTHERS_OF_A_LOSS for size in sizes)
