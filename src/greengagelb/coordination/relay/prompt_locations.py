"""Where prompts have been read lately.

An engine keeps the parts of a prompt in memory for a while after a run. A
caller who comes back with the same prompt, since its stream was cut or its
conversation goes on, need not wait for it to be read again there.
"""

import collections

# Prompts that are remembered, some hundred bytes each.
MAX_PROMPTS = 4_096
# For how long an engine is likely to have a prompt, in seconds: under load
# its memory is full of newer ones after some tens of runs.
PROMPT_KEPT_SECONDS = 30.0


class PromptLocations:
    """Which engine has read a prompt last, by the prompt's own part.

    Invariant: at most ``MOST_PROMPTS`` entries, the latest ones.
    """

    def __init__(self) -> None:
        self.location_by_part: collections.OrderedDict[
            str, tuple[str, float]
        ] = collections.OrderedDict()

    def note_read(self, part: str, engine: str, now: float) -> None:
        """Note that an engine reads a prompt now."""
        if not part:
            return
        self.location_by_part[part] = (engine, now)
        self.location_by_part.move_to_end(part)
        if len(self.location_by_part) > MAX_PROMPTS:
            self.location_by_part.popitem(last=False)

    def forget_engine(self, engine: str) -> None:
        """Note that an engine has no prompt in memory any more."""
        for part, (holder, _) in list(self.location_by_part.items()):
            if holder == engine:
                del self.location_by_part[part]

    def likely_holder(self, part: str, now: float) -> str:
        """Return the engine that is likely to have a prompt, or ''."""
        engine, read_since = self.location_by_part.get(
            part, ('', float('-inf'))
        )
        return engine if now < read_since + PROMPT_KEPT_SECONDS else ''
