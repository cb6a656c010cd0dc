"""What opening connections to engines shows about the paths to them."""

import dataclasses
import enum

from greengagelb.state import identity
from greengagelb.state.relay import engines


class ForwardingOutcome(enum.Enum):
    """Why another instance did not open a connection to an engine.

    ``UNREACHABLE`` is the other instance itself, ``UNWILLING`` one that
    forwards nothing now, and ``NOT_ADMITTED`` one that knows that the engine
    must get no request. With the other two it has tried to connect.
    """

    UNREACHABLE = 'unreachable'
    UNWILLING = 'unwilling'
    NOT_ADMITTED = 'not-admitted'
    ENGINE_REFUSED = 'engine-refused'
    ENGINE_SILENT = 'engine-silent'


@dataclasses.dataclass(frozen=True, slots=True)
class DirectPathLost:
    """An engine was reached through another instance, but not directly.

    ``silent`` tells that connection attempts get no answer, so that open
    connections may be dead without a sign.
    """

    entry: engines.EngineEntry
    via: str
    silent: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class DirectPathOpened:
    """A direct connection to an engine was opened."""

    entry: engines.EngineEntry


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedElsewhere:
    """An engine has refused enough instances to be at fault itself."""

    entry: engines.EngineEntry


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingFailed:
    """Another instance did not open a connection to an engine.

    ``is_verified`` tells that it has lately reached other engines directly.
    """

    entry: engines.EngineEntry
    via: str
    outcome: ForwardingOutcome
    is_verified: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionForwarded:
    """A connection through another instance is about to carry a request.

    ``request`` is None if this instance asks by itself. ``reason`` is what
    became of the direct connection.
    """

    entry: engines.EngineEntry
    via: str
    request: identity.RequestId | None
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionTakenOver:
    """This instance opened a connection for another one."""

    entry: engines.EngineEntry
    host: str
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakenOverConnectionEnded:
    """A connection that was opened for another instance has ended.

    ``reason`` tells which end has closed it.
    """

    entry: engines.EngineEntry
    host: str
    request: str
    reason: str


ForwardingEvent = (
    DirectPathLost
    | DirectPathOpened
    | RefusedElsewhere
    | ForwardingFailed
    | ConnectionForwarded
    | ConnectionTakenOver
    | TakenOverConnectionEnded
)
