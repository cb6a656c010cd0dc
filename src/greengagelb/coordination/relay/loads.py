"""How much of each model engine's memory and time is taken.

Reports of engines are late, and everybody reads the same ones. What is put
on an engine, here and by the other instances, is known at once. So loads are
counted from the runs themselves: each has a prompt to be read, one after the
other, and keeps memory until it ends.
"""

import dataclasses

from greengagelb.coordination.relay import prompt_locations

# Tokens of prompts that an engine reads in a second, before any are measured:
# eight in a millisecond, as the users state for their engines.
INITIAL_READING_RATE = 8_000.0
# How much one measured prompt moves the rate that is believed.
READING_RATE_SMOOTHING = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run on an engine, and the copy of its memory on another.

    ``attempt`` is 1 for the first send of its request, more for each repeat,
    and 0 for one in place of a send that never left.
    """

    engine: str
    memory_tokens: int
    unread_tokens: int
    copy_to: str = ''
    part: str = ''
    attempt: int = 0


@dataclasses.dataclass(slots=True)
class EngineWork:
    """What the runs on an engine add up to.

    ``reading_until`` is the monotonic time at which all prompts that were
    given to it should be read.
    """

    runs: int = 0
    memory_tokens: int = 0
    copied_tokens: int = 0
    reading_until: float = float('-inf')


class RunLoads:
    """Adds up the runs on each engine, and knows who has read what.

    Invariant: the sums of an engine are those of the runs that name it.
    """

    def __init__(self) -> None:
        self.runs: dict[tuple[str, int], Run] = {}
        self.work: dict[str, EngineWork] = {}
        self.prompts = prompt_locations.PromptLocations()
        self.reading_rate = INITIAL_READING_RATE

    def reading_seconds(self, tokens: int) -> float:
        """Return how long an engine reads a prompt, without any wait."""
        return tokens / self.reading_rate

    def update_reading_rate(self, tokens: int, seconds: float) -> None:
        """Take in how long an engine took for a prompt that it had alone."""
        if tokens and seconds > 0:
            difference = tokens / seconds - self.reading_rate
            self.reading_rate += READING_RATE_SMOOTHING * difference

    def work_on(self, engine: str) -> EngineWork:
        """Return the work of an engine."""
        return self.work.get(engine) or EngineWork()

    def add_run(self, key: tuple[str, int], run: Run, now: float) -> None:
        """Count a run; ``key`` names the instance and its send.

        A run that is counted already has got another copy.
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
                reading_from + run.unread_tokens / self.reading_rate
            )
        if run.copy_to:
            copy_work = self.work.setdefault(run.copy_to, EngineWork())
            copy_work.copied_tokens += run.memory_tokens

    def remove_run(self, key: tuple[str, int]) -> bool:
        """Count a run no longer; return whether it was counted."""
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
        """Count nothing at an engine that has lost all that it held.

        The runs of the instance ``own`` stay counted: it ends each of them
        itself, and the copies that they have there.
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
