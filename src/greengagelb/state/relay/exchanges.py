"""One caller's request while it is being served."""

import dataclasses

from greengagelb.state.relay import engines
from greengagelb.state.relay import requests


@dataclasses.dataclass(slots=True)
class InFlightSend:
    """One send of a request to an engine that is still under way.

    ``moved_at`` is the monotonic time of the last sign of this send: its
    start, the answer's head, or events. ``answered_at`` is when the answer's
    head was here. ``asked_at`` is when its engine was
    last asked for a sign of life. ``first_due`` is when its first event
    should have come at the latest. ``copy_to`` names the engine that gets a
    copy of the run's memory, which is there as ``copy_name``; ``copy_ordered``
    tells that it was ordered and lapses in time, and ``copy_orders`` how many
    orders were given. ``from_copy`` tells that the
    send went on from a copy. ``alone_with`` is the size of its prompt where
    the engine had nothing else to do and has to read it.
    """

    number: int
    entry: engines.EngineEntry
    began_at: float
    moved_at: float
    answered_at: float = float('inf')
    asked_at: float = float('-inf')
    first_due: float = float('inf')
    copy_to: engines.EngineEntry | None = None
    copy_name: requests.CopyName | None = None
    copy_ordered: bool = False
    copy_orders: int = 0
    from_copy: bool = False
    head: requests.AnswerHead | None = None
    events_seen: int = 0
    alone_with: int = 0


@dataclasses.dataclass(slots=True)
class Exchange:
    """A caller's request, its sends, and what the caller has been given.

    ``position`` is the number of the last event that the caller has.
    ``may_have_run`` is set as soon as a send that no engine has disowned was
    handed to a connection. ``failed`` keeps an engine's own failure while
    another engine is tried. ``moved_at`` is when the caller got the last
    event. ``tried`` names the engines that got it and
    ``refused_by`` those that had no room for it. ``fingerprint`` is that of
    the request.
    """

    request: requests.CallerRequest
    ruling: requests.Ruling
    fingerprint: str = ''
    sends: dict[int, InFlightSend] = dataclasses.field(default_factory=dict)
    tried: set[str] = dataclasses.field(default_factory=set)
    refused_by: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    may_have_run: bool = False
    position: int = 0
    begun: bool = False
    failed: tuple[requests.AnswerHead, bytes] | None = None
    unconnected: int = 0
    moved_at: float = 0.0

    @property
    def number(self) -> int:
        """Return the number of the exchange."""
        return self.request.exchange
