"""When engines ended, to tell crashes by a request from other ends.

Engines of a data centre that end at one moment were ended by something else
than what one of them ran. Where engines often end alone, what one of them ran
is on others that end by chance.
"""

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

    Invariant: ``by_life`` has at most ``MAX_ENDS`` lives, in the order in
    which they were learned of.
    """

    def __init__(self) -> None:
        self.by_life: dict[str, EngineEnd] = {}

    def note(self, crash: crashes.Crash) -> None:
        """Note the end of an engine; the earliest known time is kept."""
        known = self.by_life.get(crash.life)
        if known is not None and known.ended_at <= crash.ended_at:
            return
        self.by_life[crash.life] = EngineEnd(
            crash.life, crash.data_centre, crash.ended_at
        )
        if len(self.by_life) > MAX_ENDS:
            del self.by_life[next(iter(self.by_life))]

    def forget_before(self, oldest_kept_at: float) -> None:
        """Drop the ends that are older than a time."""
        for life, end in list(self.by_life.items()):
            if end.ended_at <= oldest_kept_at:
                del self.by_life[life]

    def is_of_loss(
        self, data_centre: str, ended_at: float, own: set[str]
    ) -> bool:
        """Return whether an engine ended as its data centre was lost.

        ``own`` are the lives that end for the cause that is judged.
        """
        if not data_centre:
            return False
        others = sum(
            end.data_centre == data_centre
            and abs(end.ended_at - ended_at) <= TOGETHER_SECONDS
            and end.life not in own
            for end in self.by_life.values()
        )
        return others >= OTHERS_OF_A_LOSS

    def count_others(self, until: float, own: set[str]) -> int:
        """Return how many engines ended alone shortly before a time.

        Without those that ended for the cause that is judged. Engines of a
        data centre that ended together count once.
        """
        began_at = until - RATE_WINDOW_SECONDS
        found = sorted(
            (end.data_centre, end.ended_at)
            for end in self.by_life.values()
            if end.life not in own and began_at < end.ended_at <= until
        )
        groups: list[list[tuple[str, float]]] = []
        for data_centre, ended_at in found:
            last = groups[-1][-1] if groups else None
            if (
                last is not None
                and last[0] == data_centre
                and ended_at - last[1] <= TOGETHER_SECONDS
            ):
                groups[-1].append((data_centre, ended_at))
            else:
                groups.append([(data_centre, ended_at)])
        return sum(len(group) <= OTHERS_OF_A_LOSS for group in groups)
