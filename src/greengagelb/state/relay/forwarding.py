"""What an instance has forwarded, for its metrics."""

import dataclasses


@dataclasses.dataclass(slots=True)
class ForwardingStatistics:
    """Connections to engines that were opened for other instances.

    ``lost_services`` are the services that this instance itself reaches only
    through others, and ``open_connections`` those that are open for others
    now. Orders were refused, or came from ``strangers``.
    """

    lost_services: int = 0
    open_connections: int = 0
    taken_over: int = 0
    refused: int = 0
    strangers: int = 0
