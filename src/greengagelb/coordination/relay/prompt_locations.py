"""Remembers which engine has recently read each prompt.

An engine keeps the parts of a prompt in memory for a while after a run. If a
caller sends the same prompt again, because its stream was cut or its
conversation continues, that engine need not read it again.
"""

import collections

# Maximum number of remembered prompts, of some hundred bytes each.
MAX_PROMPTS = 4_096
# How long an engine is likely to keep a prompt: under load its memory is full
# of newer prompts after some tens of runs.
PROMPT_KEPT_SECONDS = 30.0


class PromptLocations:
    """Maps the key of a prompt's own part to the engine that read it last.

    Invariant: holds at most ``MAX_PROMPTS`` entries, the latest ones.
    """

    def __init__(self) -> None:
        self.location_by_part: collections.OrderedDict[
            str, tuple[str, float]
        ] = collections.OrderedDict()

    def note_read(self, part: str, engine: str, now: float) -> None:
        """Record that an engine reads a prompt now."""
        if not part:
            return
        self.location_by_part[part] = (engine, now)
        self.location_by_part.move_to_end(part)
        if len(self.location_by_part) > MAX_PROMPTS:
            self.location_by_part.popitem(last=False)

    def forget_engine(self, engine: str) -> None:
        """Remove all prompts of an engine that has lost its memory."""
        for part, (holder, _) in list(self.location_by_part.items()):
            if holder == engine:
                del self.location_by_part[part]

    def likely_holder(self, part: str, now: float) -> str:
        """Return the engine likely to have a prompt in memory, or ''."""
        engine, read_since = self.location_by_part.get(
            part, ('', float('-inf'))
        )
        return engine if now < read_since + PROMPT_KEPT_SECONDS else ''
