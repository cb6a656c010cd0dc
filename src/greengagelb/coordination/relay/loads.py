"""Counts the memory and prompt reading time in use on each model engine.

Load reports of engines are late, and all instances act on the same ones. What
this instance and the others put on an engine is known at once, so that loads
are counted from the runs: the prompts of an engine are read one after the
other, and each run holds memory until it ends.
"""

import dataclasses

from greengagelb.coordination.relay import prompt_locations

# Prompt tokens read per second, used until a prompt was measured: eight per
# millisecond, as the users state for their engines.
INITIAL_READING_RATE = 8_000.0
# The weight of one measured prompt in the estimated rate.
READING_RATE_SMOOTHING = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run on an engine, and the copy of its memory on another engine."""

    engine: str
    memory_tokens: int
    unread_tokens: int
    copy_to: str = ''
    part: str = ''


@dataclasses.dataclass(slots=True)
class EngineWork:
    """The sums over the runs on an engine.

    ``reading_until`` is the monotonic time at which the engine should have
    read all prompts that were sent to it.
    """

    runs: int = 0
    memory_tokens: int = 0
    copied_tokens: int = 0
    reading_until: float = float('-inf')


class RunLoads:
    """Sums the runs on each engine, and knows which prompts it has read.

    Invariant: the sums of an engine are those of the runs that name it.
    """

    def __init__(self) -> None:
        self.runs: dict[tuple[str, int], Run] = {}
        self.work: dict[str, EngineWork] = {}
        self.prompts = prompt_locations.PromptLocations()
        self.reading_tokens_per_second = INITIAL_READING_RATE

    def reading_seconds(self, tokens: int) -> float:
        """Return the time in which an idle engine reads a prompt."""
        return tokens / self.reading_tokens_per_second

    def update_reading_rate(self, tokens: int, seconds: float) -> None:
        """Apply the measured time of a prompt that was read alone."""
        if tokens and seconds > 0:
            difference = tokens / seconds - self.reading_tokens_per_second
            self.reading_tokens_per_second += (
                READING_RATE_SMOOTHING * difference
            )

    def work_on(self, engine: str) -> EngineWork:
        """Return the sums of an engine."""
        return self.work.get(engine) or EngineWork()

    def add_run(self, key: tuple[str, int], run: Run, now: float) -> None:
        """Count a run; ``key`` has the instance and the number of its send.

        If the run is counted already, only the engine of its copy has changed,
        and its prompt is not added to the reading time again.
        """
        was_counted = self.remove_run(key)
        self.runs[key] = run
        self.prompts.note_read(run.part, run.engine, now)
        work = self.work.setdefault(run.engine, EngineWork())
        work.runs += 1
        work.memory_tokens += run.memory_tokens
        if not was_counted:
            reading_from = max(now, work.reading_until)
            work.reading_until = (
                reading_from
                + run.unread_tokens / self.reading_tokens_per_second
            )
        if run.copy_to:
            copy_work = self.work.setdefault(run.copy_to, EngineWork())
            copy_work.copied_tokens += run.memory_tokens

    def remove_run(self, key: tuple[str, int]) -> bool:
        """Stop counting a run; return whether it was counted."""
        run = self.runs.pop(key, None)
        if run is None:
            return False
        work = self.work[run.engine]
        work.runs -= 1
        work.memory_tokens -= run.memory_tokens
        if run.copy_to:
            self.work[run.copy_to].copied_tokens -= run.memory_tokens
        return True

    def forget_lost_runs(self, engine: str, own: str) -> None:
        """Drop the runs on an engine that has lost them by a restart.

        Runs of the instance ``own`` stay counted: it ends each of them itself,
        and their copies on the engine.
        """
        self.prompts.forget_engine(engine)
        work = self.work.get(engine)
        if work is None:
            return
        work.reading_until = float('-inf')
        for key, run in list(self.runs.items()):
            if key[0] == own:
                continue
            if run.engine == engine:
                self.remove_run(key)
            elif run.copy_to == engine:
                self.runs[key] = dataclasses.replace(run, copy_to='')
                work.copied_tokens -= run.memory_tokens
