"""Holds back hints against engines until own links are not at fault.

The other instances avoid an engine that one of them has called failed or
silent, and replace the copies on it. If this instance has lost its links, the
sends that replace the failed ones show it within a moment.
"""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay.forwarding import engine_paths
from greengagelb.state.relay import hints

BLAMING_HINTS = (hints.EngineFailed, hints.StreamSilent, hints.EngineErrored)
WITHHELD_TIMER = 'relay-withheld-hints'
# A connection through another instance opens well within this time.
HOLD_SECONDS = 0.1

Action = relay_actions.RelayAction


class WithheldHints:
    """The hints that are held back, with the times at which they are due."""

    def __init__(self, paths: engine_paths.EnginePaths) -> None:
        self.paths = paths
        self.held: list[tuple[float, hints.Hint]] = []

    def hold(self, pending: list[hints.Hint], now: float) -> list[Action]:
        """Take the blaming hints out of the pending ones."""
        found = [hint for hint in pending if isinstance(hint, BLAMING_HINTS)]
        if not found:
            return []
        pending[:] = [hint for hint in pending if hint not in found]
        if self.paths.is_at_fault(now):
            return []
        is_first = not self.held
        due = now + HOLD_SECONDS
        self.held += [(due, hint) for hint in found]
        return [actions.SetTimer(WITHHELD_TIMER, due)] if is_first else []

    def tell_due(self, now: float) -> list[Action]:
        """Tell the hints that are due, unless own links are at fault."""
        if self.paths.is_at_fault(now):
            self.held.clear()
            return []
        due = [hint for at, hint in self.held if at <= now]
        self.held = self.held[len(due) :]
        resulting: list[Action] = [relay_actions.TellPeers(h) for h in due]
        if self.held:
            timer = actions.SetTimer(WITHHELD_TIMER, self.held[0][0])
            resulting.append(timer)
        return resulting
