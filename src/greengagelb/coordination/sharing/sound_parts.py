"""Parts of prompts that engines have survived."""

# How long it is remembered that a part was sound.
SOUND_TTL_SECONDS = 600.0
# Memory bound; a part takes about 150 bytes.
MAX_SOUND_PARTS = 4096


class SoundParts:
    """When an engine last survived a part.

    Invariant: ``sound_at`` is in the order of its last changes and has at most
    ``MAX_SOUND_PARTS`` parts. Times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self.sound_at: dict[str, float] = {}

    def note(self, part: str, at: float) -> None:
        """Note that an engine survived a part at a time."""
        at = max(at, self.sound_at.pop(part, at))
        self.sound_at[part] = at
        if len(self.sound_at) > MAX_SOUND_PARTS:
            del self.sound_at[next(iter(self.sound_at))]

    def last_sound_at(self, part: str) -> float:
        """Return when a part was last sound, or minus infinity."""
        return self.sound_at.get(part, float('-inf'))

    def was_sound(self, part: str, now: float) -> bool:
        """Return whether a part has been sound recently."""
        return now - self.last_sound_at(part) < SOUND_TTL_SECONDS
