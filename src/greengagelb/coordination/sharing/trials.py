"""Requests that decide which of several parts of prompts crashes engines.

Each may end the engine that it is sent to, so there is one at a time for a
part. It ends as its engine survives the part, or with a crash.
"""

# How long other requests with the parts are refused if nothing is heard of the
# outcome: engines read all but the longest prompts within this time.
TRIAL_SECONDS = 3.0


class Trials:
    """The parts on trial, with the monotonic times at which trials lapse."""

    def __init__(self) -> None:
        self.lapse_at: dict[str, float] = {}

    def is_running(self, parts: tuple[str, ...], now: float) -> bool:
        """Return whether one of some parts is on trial."""
        return any(self.lapse_at.get(part, now) > now for part in parts)

    def begin(self, parts: tuple[str, ...], now: float) -> None:
        """Put parts on trial, here or at another instance."""
        for part, lapse_at in list(self.lapse_at.items()):
            if lapse_at <= now:
                del self.lapse_at[part]
        for part in parts:
            self.lapse_at[part] = now + TRIAL_SECONDS

    def end(self, parts: tuple[str, ...]) -> None:
        """End the trials of parts of which the outcome is known."""
        for part in parts:
            self.lapse_at.pop(part, None)
