"""One attempt of an engine at a generation, as its instance tracks it."""

import dataclasses

from greengagelb.state import configuration
from greengagelb.state import identity


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that counts as in flight at ``upstream``.

    ``incarnation`` is that of the engine, empty until the engine has
    reported. ``suspected`` is true while a new connection is checking the
    attempt and no token has arrived since. ``silent`` is true once that has
    taken too long as well, and ``unreachable`` while the new connection could
    not be opened. Times are monotonic seconds.
    ``accepted_at`` is when the engine first answered, ``progressed_at`` when
    its first token arrived. ``has_survived`` is true once it has lived long
    enough after that to clear the parts of the prompt. ``confirming`` is true
    once the stall deadline has passed and only data that may already wait in
    the sockets remains to be read.
    """

    attempt_id: identity.AttemptId
    upstream: configuration.Upstream
    incarnation: str
    suspected: bool = False
    silent: bool = False
    unreachable: bool = False
    answered: bool = False
    accepted_at: float = float('inf')
    has_progressed: bool = False
    progressed_at: float = float('inf')
    has_survived: bool = False
    latest_arrival: float | None = None
    ordered_at: float = float('inf')
    attached_at: float = float('-inf')
    stall_deadline: float = float('inf')
    confirming: bool = False
    late_timers: int = 0
    returned_to: bool = False
