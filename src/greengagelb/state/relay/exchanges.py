"""A caller's request while it is being served."""

import dataclasses

from greengagelb.state import crashes
from greengagelb.state.relay import engines
from greengagelb.state.relay import requests


@dataclasses.dataclass(slots=True)
class InFlightSend:
    """One send of a request to an engine that is still in progress.

    ``silent_since`` is the monotonic time since which its engine's silence
    counts: that of its start, the head of the answer, or the last events, or
    the end of a pause of this process. It does not tell that the engine was
    alive. ``last_event_at`` is when the last events were read, and
    ``answered_at`` when the head of the answer was. ``asked_at`` is when its
    engine was last probed.
    ``first_due`` is the time by which its first event is expected.
    ``copy_to`` is the engine that gets a copy of the run's memory, where the
    copy is named ``copy_name``; ``copy_ordered`` is true if the copy was
    ordered and so expires after a time, and ``copy_orders`` is the number of
    orders so far. ``next_copy_to`` is the engine on which another copy is
    being made, while the former is kept. ``copy_postponed`` is true if an
    order waits for the end of the engine's rest. ``from_copy`` is true if the
    run continued from a copy. ``has_survived`` is true once its engine has
    lived long enough after the head to clear the parts of the prompt.
    ``is_suspected`` is true if it has been silent for too long since its last
    event, and ``is_unreachable`` if its engine did not answer a probe since;
    it is checked again from ``next_check_at``, after ``times_kept`` checks
    that have left it open. ``copy_used`` is true if its copy was used up.
    ``is_held`` is true if its engine then reported the run, and no event that
    has not arrived. ``probe_answered_at`` is when its engine last answered a
    probe. ``answers_elsewhere`` is true if the last answer came by another way
    than that of the run, and ``was_replaced_in_vain`` if neither its engine
    nor that of its last replacement was in reach.
    ``retry_number`` is that of the retry that was spent for it, if any.
    ``alone_with`` is the size of its prompt in tokens if the engine was idle
    and has to read the prompt, else 0.
    """

    number: int
    entry: engines.EngineEntry
    began_at: float
    silent_since: float
    last_event_at: float = float('-inf')
    answered_at: float = float('inf')
    asked_at: float = float('-inf')
    first_due: float = float('inf')
    copy_to: engines.EngineEntry | None = None
    copy_name: requests.CopyName | None = None
    copy_ordered: bool = False
    next_copy_to: engines.EngineEntry | None = None
    copy_orders: int = 0
    copy_postponed: bool = False
    from_copy: bool = False
    head: requests.AnswerHead | None = None
    events_seen: int = 0
    alone_with: int = 0
    has_survived: bool = False
    is_suspected: bool = False
    is_unreachable: bool = False
    is_held: bool = False
    probe_answered_at: float = float('-inf')
    answers_elsewhere: bool = False
    was_replaced_in_vain: bool = False
    next_check_at: float = float('-inf')
    times_kept: int = 0
    copy_used: bool = False
    retry_number: int | None = None


@dataclasses.dataclass(slots=True)
class Exchange:
    """A caller's request, its sends, and what the caller has been given.

    ``position`` is the number of the last event that the caller has.
    ``may_have_run`` is set once a send was handed to a connection, unless its
    engine confirmed that it did not run. ``failed`` keeps the error answer of
    an engine while another engine is tried. ``moved_at`` is when the caller
    got the last event. ``tried`` names the engines that got the request and
    ``refused_by`` those that had no capacity for it. ``causes`` has the
    fingerprints under which crashes of its engines count. From
    ``overlap_until`` a stream must not have two open runs.

    ``attempts`` counts the sends that the route's limit applies to,
    ``arrivals`` those that an engine may have received, also one that it was
    not meant for. ``retry_number`` is that of a retry spent for the next send.
    """

    request: requests.CallerRequest
    ruling: requests.Ruling
    causes: crashes.PossibleCauses
    sends: dict[int, InFlightSend] = dataclasses.field(default_factory=dict)
    tried: set[str] = dataclasses.field(default_factory=set)
    refused_by: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    arrivals: int = 0
    may_have_run: bool = False
    position: int = 0
    begun: bool = False
    failed: tuple[requests.AnswerHead, bytes] | None = None
    unconnected: int = 0
    moved_at: float = 0.0
    overlap_until: float = float('inf')
    retry_number: int | None = None

    @property
    def number(self) -> int:
        """Return the number of the exchange."""
        return self.request.exchange
