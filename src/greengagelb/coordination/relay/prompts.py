"""Where prompts have been read lately.

An engine keeps the parts of a prompt in memory for a while after a run. A
caller who comes back with the same prompt, since its stream was cut or its
conversation goes on, need not wait for it to be read again there.
"""

import collections

# Prompts that are remembered, some hundred bytes each.
MOST_PROMPTS = 4_096
# For how long an engine is likely to have a prompt, in seconds: under load
# its memory is full of newer ones after some tens of runs.
KEPT_SECONDS = 30.0


class PromptHolders:
    """Which engine has read a prompt last, by the prompt's own part.

    Invariant: at most ``MOST_PROMPTS`` entries, the latest ones.
    """

    def __init__(self) -> None:
        self.engines: collections.OrderedDict[str, tuple[str, float]] = (
            collections.OrderedDict()
        )

    def read_at(self, part: str, engine: str, now: float) -> None:
        """Note that an engine reads a prompt now."""
        if not part:
            return
        self.engines[part] = (engine, now)
        self.engines.move_to_end(part)
        if len(self.engines) > MOST_PROMPTS:
            self.engines.popitem(last=False)

    def forget(self, engine: str) -> None:
        """Note that an engine has no prompt in memory any more."""
        for part, (holder, _) in list(self.engines.items()):
            if holder == engine:
                del self.engines[part]

    def holder(self, part: str, now: float) -> str:
        """Return the engine that is likely to have a prompt, or ''."""
        engine, at = self.engines.get(part, ('', float('-inf')))
        return engine if now < at + KEPT_SECONDS else ''
